//! The `text` module provides the INI text form of the bundle, which operators write, review and sign.
//!
//! [`parse`] returns all problems at once, so that an operator can correct them in one pass. [`render`] writes the
//! canonical form. See `docs/design.md`, section 2.1.

mod check;
mod problem;
mod read;
mod render;
mod scan;

pub use problem::{PROBLEM_LIMIT, Problem};
pub(crate) use render::SectionItem;
pub use render::render;

use crate::bundle::Bundle;
use crate::document;
use problem::Problems;
use scan::Outline;

/// Maximum number of teams in a bundle.
pub const TEAM_LIMIT: usize = 65_536;

/// Maximum number of caller keys in a bundle.
pub const CALLER_KEY_LIMIT: usize = 1_048_576;

/// Maximum number of services in a bundle; each adds a dispatch role per data centre to the ledger.
pub const SERVICE_LIMIT: usize = 1_024;

/// Maximum number of routes in a bundle.
pub const ROUTE_LIMIT: usize = 65_536;

/// Maximum number of upstreams in a bundle.
pub const UPSTREAM_LIMIT: usize = 65_536;

/// Maximum number of data centres in a bundle.
pub const DATA_CENTRE_LIMIT: usize = 256;

/// Maximum number of placements in a bundle.
pub const PLACEMENT_LIMIT: usize = 65_536;

/// Parses the text form of a bundle.
///
/// # Errors
///
/// Returns the problems of the text, sorted by line; those beyond [`PROBLEM_LIMIT`] are counted in a last entry.
pub fn parse(text: &str) -> Result<Bundle, Vec<Problem>> {
    let mut problems = Problems::default();
    if text.len() > document::DOCUMENT_LIMIT_BYTES {
        problems.push(Problem {
            value: Some(format!("{} bytes", text.len())),
            ..Problem::in_file(
                format!("at most {} bytes", document::DOCUMENT_LIMIT_BYTES),
                "remove entries that are no longer in use",
            )
        });
        return Err(problems.into_sorted());
    }

    let outline = Outline::new(text, &mut problems);
    let draft = read::read_sections(&outline, &mut problems);
    check::check_consistency(&draft, &outline, &mut problems);
    if problems.is_empty() {
        Ok(draft.into_bundle())
    } else {
        Err(problems.into_sorted())
    }
}
