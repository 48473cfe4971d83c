//! The `reports` module provides how often VMs report to each other, and which way their reports take.

use std::time::Duration;

/// Interval at which changes of the requests under way are reported in a fleet of [`USUAL_VMS`].
///
/// It is about half of the shortest usual time of a request, so that most requests are seen while they run.
const CHANGES_INTERVAL: Duration = Duration::from_millis(25);

/// VMs up to which reports keep the usual interval; it grows with their number, because each report goes to all.
const USUAL_VMS: u32 = 9;

/// Shortest interval of full reports, which also carry what the teams use.
const FULL_INTERVAL: Duration = Duration::from_millis(250);

/// VMs of another data centre that pass a VM's reports on there; the second one bridges the loss of the first.
const FORWARDERS: usize = 2;

/// VMs of a data centre from which on reports are passed on there. With fewer, the saving is small.
const LEAST_FORWARDED: usize = 6;

/// Where a VM sends its reports, as positions among its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Destinations {
    /// VMs that take the reports for themselves.
    pub direct: Vec<usize>,
    /// VMs that also pass them on to all VMs of their data centre.
    pub forwarders: Vec<usize>,
}

/// Returns where the VM `own` sends its reports; `centres` are the data centres of its peers.
///
/// Each report goes to all VMs, and traffic between data centres is paid for: at 86 VMs, reports sent to each of them were
/// four fifths of it.
#[must_use]
pub fn destinations(own: &str, own_centre: &str, centres: &[&str]) -> Destinations {
    let mut destinations = Destinations::default();
    let mut others: Vec<(&str, Vec<usize>)> = Vec::new();
    for (position, centre) in centres.iter().enumerate() {
        if *centre == own_centre {
            destinations.direct.push(position);
            continue;
        }
        match others.binary_search_by_key(centre, |(other, _)| other) {
            Ok(found) => others[found].1.push(position),
            Err(place) => others.insert(place, (centre, vec![position])),
        }
    }
    for (_, members) in others {
        if members.len() < LEAST_FORWARDED {
            destinations.direct.extend(members);
            continue;
        }
        // Each sender has forwarders of its own, so that the work is shared.
        let first = kumquat_state::hash::key(own.as_bytes());
        let count = u64::try_from(members.len()).unwrap_or(u64::MAX);
        let first = usize::try_from(first % count).unwrap_or(0);
        let chosen = (first..first + FORWARDERS).map(|place| members[place % members.len()]);
        destinations.forwarders.extend(chosen);
    }
    destinations
}

/// Returns the interval at which changes are reported.
#[must_use]
pub fn delta_interval(vms: usize) -> Duration {
    let vms = u32::try_from(vms).unwrap_or(u32::MAX);
    CHANGES_INTERVAL * vms.max(USUAL_VMS) / USUAL_VMS
}

/// Returns the longest interval between two full reports.
#[must_use]
pub fn max_full_interval(vms: usize) -> Duration {
    let changes = delta_interval(vms);
    FULL_INTERVAL.max(changes) + changes / 2
}

/// Returns whether a full report is due.
#[must_use]
pub fn is_full_report_due(vms: usize, since_last: Duration) -> bool {
    // Half of a pause early rather than a whole one late.
    since_last + delta_interval(vms) / 2 >= FULL_INTERVAL
}
