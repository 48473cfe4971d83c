//! The `quarantine` module converts what VMs tell each other of requests that end upstreams.

use std::time::Duration;

use kumquat_coordination::fleet::{
    Fingerprint, QuarantineReport, ReportedClearance, ReportedEnd, ReportedHold,
};

use super::Report;

/// Writes a quarantine report into the fields of a datagram.
pub(super) fn encode(quarantine: &QuarantineReport, report: &mut Report) {
    let ends = quarantine.ends.iter();
    report.ended_exchanges = ends
        .map(|end| (end.fingerprint.0, end.upstream, end.count, millis(end.age)))
        .collect();
    let holds = quarantine.holds.iter();
    report.quarantines = holds
        .map(|hold| (hold.fingerprint.0, hold.round, millis(hold.remaining)))
        .collect();
    let clearances = quarantine.clearances.iter();
    report.clearances = clearances
        .map(|clearance| (clearance.fingerprint.0, millis(clearance.age)))
        .collect();
}

/// Returns the quarantine report in a datagram.
pub(super) fn decode(report: &Report) -> QuarantineReport {
    let ends = report.ended_exchanges.iter();
    let ends = ends.map(|(fingerprint, upstream, count, age)| ReportedEnd {
        fingerprint: Fingerprint(*fingerprint),
        upstream: *upstream,
        count: *count,
        age: Duration::from_millis(u64::from(*age)),
    });
    let holds = report.quarantines.iter();
    let holds = holds.map(|(fingerprint, round, remaining)| ReportedHold {
        fingerprint: Fingerprint(*fingerprint),
        round: *round,
        remaining: Duration::from_millis(u64::from(*remaining)),
    });
    let clearances = report.clearances.iter();
    let clearances = clearances.map(|(fingerprint, age)| ReportedClearance {
        fingerprint: Fingerprint(*fingerprint),
        age: Duration::from_millis(u64::from(*age)),
    });
    QuarantineReport {
        ends: ends.collect(),
        holds: holds.collect(),
        clearances: clearances.collect(),
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
