//! The `ownership` module measures for how long keys have no owner, and how well the slot table spreads the load.

use std::time::Duration;

use eyre::Result;

use crate::report::Report;
use crate::settings::Settings;

mod lease;
pub mod probe;
mod tables;
mod unavailable;

/// Runs the measurement.
///
/// # Errors
///
/// Returns an error if the deployment can't be started or changed.
pub fn run(settings: &Settings, outage: Duration) -> Result<Report> {
    let mut report = Report::new("ownership", settings, ["percentile of keys", "ms"]);
    tables::run(settings, &mut report);
    lease::run(settings, outage, &mut report);
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(unavailable::run(settings, outage, &mut report))?;
    Ok(report)
}
