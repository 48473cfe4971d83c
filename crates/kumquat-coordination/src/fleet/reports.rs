//! The `reports` module provides the intervals of the reports that VMs send each other, and their destinations.
//!
//! A report carries the VM's in-flight requests, and is sent when these or other reported state changed. A full report also
//! carries the teams' usage, and is sent regularly even without a change.

use std::time::Duration;

/// Interval at which changes of the in-flight requests are reported in a fleet of up to [`BASE_INTERVAL_MAX_VMS`] VMs.
///
/// It is about half of the shortest usual duration of a request, so that most requests are reported while in flight.
const BASE_REPORT_INTERVAL: Duration = Duration::from_millis(25);

/// VMs up to which the base interval applies; beyond, it grows with their number, because each report goes to all.
const BASE_INTERVAL_MAX_VMS: u32 = 9;

/// Target interval of full reports; [`is_full_report_due`] allows one slightly earlier.
const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// VMs of another data centre that forward a VM's reports there; the second one covers the loss of the first.
const FORWARDERS_PER_DATA_CENTRE: usize = 2;

/// Smallest number of VMs in a data centre for which reports are forwarded there; with fewer, the saving is small.
const FORWARDING_MIN_VMS: usize = 6;

/// Where a VM sends its reports, as indices into its list of peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Destinations {
    /// VMs that don't forward the reports: those of the sender's data centre and of small ones.
    pub direct: Vec<usize>,
    /// VMs that also forward the reports to all other VMs of their data centre.
    pub forwarders: Vec<usize>,
}

/// Returns where the VM named `own_name` sends its reports; `peer_data_centres` has one entry per peer.
///
/// Reports to large data centres are forwarded, because each report reaches all VMs and traffic between data centres is
/// paid for: at 86 VMs, reports sent directly to each of them were four fifths of that traffic.
#[must_use]
pub fn destinations(
    own_name: &str,
    own_data_centre: &str,
    peer_data_centres: &[&str],
) -> Destinations {
    let mut destinations = Destinations::default();
    let mut data_centres: Vec<(&str, Vec<usize>)> = Vec::new();
    for (index, data_centre) in peer_data_centres.iter().enumerate() {
        if *data_centre == own_data_centre {
            destinations.direct.push(index);
            continue;
        }
        match data_centres.binary_search_by_key(data_centre, |(other, _)| other) {
            Ok(at) => data_centres[at].1.push(index),
            Err(at) => data_centres.insert(at, (data_centre, vec![index])),
        }
    }
    for (_, members) in data_centres {
        if members.len() < FORWARDING_MIN_VMS {
            destinations.direct.extend(members);
            continue;
        }
        // The forwarders depend on the sender, which spreads the load of forwarding.
        let first = kumquat_state::hash::key(own_name.as_bytes());
        let member_count = u64::try_from(members.len()).unwrap_or(u64::MAX);
        let first = usize::try_from(first % member_count).unwrap_or(0);
        let chosen =
            (first..first + FORWARDERS_PER_DATA_CENTRE).map(|index| members[index % members.len()]);
        destinations.forwarders.extend(chosen);
    }
    destinations
}

/// Returns the interval at which a VM checks for changes and reports them, in a fleet of `vm_count` VMs.
#[must_use]
pub fn min_report_interval(vm_count: usize) -> Duration {
    let vm_count = u32::try_from(vm_count).unwrap_or(u32::MAX);
    BASE_REPORT_INTERVAL * vm_count.max(BASE_INTERVAL_MAX_VMS) / BASE_INTERVAL_MAX_VMS
}

/// Returns the longest interval between two full reports of a VM, apart from delays of its timer.
#[must_use]
pub fn max_full_report_interval(vm_count: usize) -> Duration {
    let report_interval = min_report_interval(vm_count);
    FULL_REPORT_INTERVAL.max(report_interval) + report_interval / 2
}

/// Returns whether a full report is due, `since_last` after the last one.
#[must_use]
pub fn is_full_report_due(vm_count: usize, since_last: Duration) -> bool {
    // The next check is one report interval away, so sends up to half an interval early rather than a whole one late.
    since_last + min_report_interval(vm_count) / 2 >= FULL_REPORT_INTERVAL
}
