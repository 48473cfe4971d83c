//! The `text` module provides the INI text form of the bundle, which operators write, review and sign.
//!
//! [`parse`] returns every problem at once, so that an operator needs one round of corrections. [`render`] writes the
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

/// Most teams in a bundle.
pub const TEAM_LIMIT: usize = 65_536;

/// Most caller keys in a bundle.
pub const CALLER_KEY_LIMIT: usize = 1_048_576;

/// Most services in a bundle; each adds dispatch groups to every ledger.
pub const SERVICE_LIMIT: usize = 1_024;

/// Most routes in a bundle.
pub const ROUTE_LIMIT: usize = 65_536;

/// Most upstreams in a bundle.
pub const UPSTREAM_LIMIT: usize = 65_536;

/// Most data centres in a bundle.
pub const DATA_CENTRE_LIMIT: usize = 256;

/// Most placed keys in a bundle.
pub const PLACEMENT_LIMIT: usize = 65_536;

/// Reads a bundle from its text form.
///
/// # Errors
///
/// Returns all problems of the text, sorted by line; beyond [`PROBLEM_LIMIT`] they are only counted.
pub fn parse(text: &str) -> Result<Bundle, Vec<Problem>> {
    let mut problems = Problems::default();
    if text.len() > document::DOCUMENT_LIMIT_BYTES {
        problems.push(Problem {
            value: Some(format!("{} bytes", text.len())),
            ..Problem::of_file(
                format!("at most {} bytes", document::DOCUMENT_LIMIT_BYTES),
                "remove entries that are no longer in use",
            )
        });
        return Err(problems.into_sorted());
    }

    let outline = Outline::new(text, &mut problems);
    let draft = read::read(&outline, &mut problems);
    check::check(&draft, &outline, &mut problems);
    if problems.is_empty() {
        Ok(draft.into_bundle())
    } else {
        Err(problems.into_sorted())
    }
}
