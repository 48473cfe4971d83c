//! Tests of the VMs by whose number shared limits are divided.

use std::time::Duration;

use kumquat_coordination::fleet::{Membership, Peer};
use kumquat_state::clock::Instant;

const VMS: u64 = 9;

/// Interval of the reports that each VM sends.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

fn peer(number: u64) -> Peer {
    Peer {
        name: format!("vm-{number}"),
        incarnation: 100 + number,
        data_centre: "dc-a".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
    }
}

fn seconds(seconds: f64) -> Instant {
    Instant::ORIGIN + Duration::from_secs_f64(100.0 + seconds)
}

/// Returns the membership of VMs that are registered and have reported up to second 0.
fn registered_membership() -> Membership {
    let mut membership = Membership::default();
    membership.set_registered(seconds(-1.0), (0..VMS).map(peer).collect());
    report(&mut membership, &(0..VMS).collect::<Vec<_>>(), -1.0, 0.0);
    membership
}

/// Lets VMs report from one second to another.
fn report(membership: &mut Membership, numbers: &[u64], from_s: f64, until_s: f64) {
    let mut now = seconds(from_s);
    while now <= seconds(until_s) {
        for number in numbers {
            membership.record_report(now, 100 + number);
        }
        now = now + REPORT_INTERVAL;
    }
}

fn count(membership: &Membership) -> u64 {
    u64::try_from(membership.peers().count()).expect("a number")
}

/// Guards against VMs that count themselves as the only one while the registry is empty after an outage.
#[test]
fn vms_that_report_stay_members_without_registrations() {
    let mut membership = registered_membership();

    membership.set_registered(seconds(0.1), Vec::new());
    let just_after = count(&membership);
    report(&mut membership, &(0..VMS).collect::<Vec<_>>(), 0.0, 5.0);
    membership.remove_silent(seconds(5.0));

    assert_eq!((just_after, count(&membership)), (VMS, VMS));
    assert_eq!(membership.unregistered().count(), 9);
}

/// Guards against VMs that were lost in an outage and go on to count, so that their shares stay unused.
#[test]
fn vms_that_no_longer_report_are_removed() {
    let mut membership = registered_membership();
    let alive = [0, 1, 2, 3];
    report(&mut membership, &alive, 0.0, 3.0);

    membership.set_registered(seconds(3.0), Vec::new());
    let after_the_outage = count(&membership);
    report(&mut membership, &[0], 3.0, 6.0);
    membership.remove_silent(seconds(6.0));

    assert_eq!((after_the_outage, count(&membership)), (4, 1));
}

/// Guards against a restarted VM that counts twice, by its registration and by the reports of the process before.
#[test]
fn a_restarted_vm_counts_once() {
    let mut membership = registered_membership();
    let mut registered: Vec<Peer> = (0..VMS).map(peer).collect();
    registered[3].incarnation = 999;

    membership.set_registered(seconds(0.1), registered);

    assert_eq!(count(&membership), VMS);
    assert_eq!(
        membership.peers().nth(3).map(|peer| peer.incarnation),
        Some(999)
    );
}

/// Guards against a registered VM that stops counting because its reports are lost, as in a partition.
#[test]
fn registered_vms_count_without_reports() {
    let mut membership = registered_membership();

    membership.remove_silent(seconds(60.0));

    assert_eq!(count(&membership), VMS);
}
