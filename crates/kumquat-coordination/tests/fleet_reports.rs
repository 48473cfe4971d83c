//! Guards the way of reports between VMs: each VM gets each report, and few cross from one data centre to another.

use kumquat_coordination::fleet::reports;

/// Returns the VMs of a fleet as name and data centre.
fn fleet(vms: usize, centres: usize) -> Vec<(String, String)> {
    let vm = |number: usize| {
        (
            format!("vm-{number}"),
            format!("centre-{}", number % centres),
        )
    };
    (0..vms).map(vm).collect()
}

/// Returns the destinations of each VM, as positions in the fleet.
fn destinations(fleet: &[(String, String)]) -> Vec<reports::Destinations> {
    let of = |own: usize| {
        let others = (0..fleet.len()).filter(|other| *other != own);
        let others: Vec<usize> = others.collect();
        let centres: Vec<&str> = others.iter().map(|other| &*fleet[*other].1).collect();
        let mut found = reports::destinations(&fleet[own].0, &fleet[own].1, &centres);
        for position in found.direct.iter_mut().chain(&mut found.forwarders) {
            *position = others[*position];
        }
        found
    };
    (0..fleet.len()).map(of).collect()
}

/// Guards against VMs that get no reports of another one, also when one VM that should pass them on is lost.
#[test]
fn every_vm_hears_of_every_other_one() {
    for (vms, centres) in [(2, 1), (9, 3), (14, 4), (40, 1), (86, 3), (84, 4)] {
        let fleet = fleet(vms, centres);
        for (own, found) in destinations(&fleet).iter().enumerate() {
            for (other, (name, centre)) in fleet.iter().enumerate() {
                let is_direct = found.direct.contains(&other);
                let is_near = |forwarder: &&usize| fleet[**forwarder].1 == *centre;
                let ways = found.forwarders.iter().filter(is_near).count();
                let is_reached = other == own || is_direct || ways >= 2;
                assert!(is_reached, "{name} of {vms} VMs hears nothing of {own}");
            }
        }
    }
}

/// Guards against reports whose number between data centres grows with the square of the VMs.
#[test]
fn few_reports_cross_data_centres_in_large_fleets() {
    let fleet = fleet(86, 3);

    let found = destinations(&fleet);

    let is_far = |own: usize, other: &usize| fleet[*other].1 != fleet[own].1;
    let far = found.iter().enumerate().map(|(own, found)| {
        let all = found.direct.iter().chain(&found.forwarders);
        all.filter(|other| is_far(own, other)).count()
    });
    assert!(far.sum::<usize>() <= 86 * 4);
}

/// Guards against one VM that passes on the reports of many others, which takes its processor from requests.
#[test]
fn passing_on_is_shared() {
    let fleet = fleet(86, 3);

    let found = destinations(&fleet);

    let mut work = vec![0; 86];
    for destinations in &found {
        for forwarder in &destinations.forwarders {
            work[*forwarder] += 1;
        }
    }
    // Four on the mean.
    let most = work.iter().max().expect("a VM");
    assert!(*most <= 14, "{work:?}");
}
