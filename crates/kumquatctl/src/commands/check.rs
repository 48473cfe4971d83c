//! The `check` module provides the commands that look at texts.

use std::fmt::Write as _;
use std::path::Path;

use kumquat_state::bundle::{self, Bundle, check_change};
use serde_json::json;

use crate::bundles;
use crate::files;
use crate::output::{Failure, Report, Status};
use crate::store::Store;
use crate::submission::changes_json;

/// Lists the problems of a text, and what an operator would have to confirm.
pub fn check(file: &Path, previous: Option<&Path>) -> Result<Report, Failure> {
    let bundle = match files::read_bundle(file)? {
        Ok(bundle) => bundle,
        Err(problems) => {
            let mut text = format!("{} has {} problems\n", file.display(), problems.len());
            for problem in &problems {
                _ = writeln!(text, "  {problem}");
            }
            let report = Report::done(text, json!({ "problems": problems }));
            return Ok(report.with_status(Status::Input));
        }
    };
    let surprises = match previous {
        Some(previous) => check_change(&files::read_valid_bundle(previous)?, &bundle),
        None => Vec::new(),
    };

    let mut text = format!(
        "{} is valid: version {}, {} data centres, {} services, {} routes, {} upstreams, {} teams, {} caller keys, {} \
         placements\n",
        file.display(),
        bundle.version,
        bundle.data_centres.len(),
        bundle.services.len(),
        bundle.routes.len(),
        bundle.upstreams.len(),
        bundle.teams.len(),
        bundle.caller_keys.len(),
        bundle.placements.len()
    );
    for surprise in &surprises {
        _ = writeln!(text, "  to be confirmed: {surprise}");
    }
    let json = json!({ "problems": [], "version": bundle.version, "surprises": surprises });
    Ok(Report::done(text, json))
}

/// Compares two texts.
pub fn diff(earlier: &Path, later: &Path) -> Result<Report, Failure> {
    let earlier = files::read_valid_bundle(earlier)?;
    let later = files::read_valid_bundle(later)?;
    Ok(compare(&earlier, &later))
}

/// Compares the accepted bundle with a text.
pub async fn diff_accepted(store: &Store, later: &Path) -> Result<Report, Failure> {
    let later = files::read_valid_bundle(later)?;
    Ok(compare(&bundles::accepted(store).await?, &later))
}

fn compare(earlier: &Bundle, later: &Bundle) -> Report {
    let changes = bundle::diff(earlier, later);
    let mut text = format!("version {} -> {}\n", earlier.version, later.version);
    for change in &changes {
        _ = writeln!(text, "  {change}");
    }
    if changes.is_empty() {
        text.push_str("  no differences\n");
    }
    let json = json!({
        "from": earlier.version,
        "to": later.version,
        "changes": changes_json(&changes),
    });
    Report::done(text, json)
}
