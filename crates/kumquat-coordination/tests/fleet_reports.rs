//! Guards the destinations of reports: each VM gets each report, and few are sent from one data centre to another.

use kumquat_coordination::fleet::reports;

/// Returns the name and data centre of each VM; the VMs are assigned to the data centres in turn.
fn fleet(vm_count: usize, data_centre_count: usize) -> Vec<(String, String)> {
    let vm = |index: usize| {
        (
            format!("vm-{index}"),
            format!("centre-{}", index % data_centre_count),
        )
    };
    (0..vm_count).map(vm).collect()
}

/// Returns the destinations of each VM, as indices into the fleet.
fn destinations(fleet: &[(String, String)]) -> Vec<reports::Destinations> {
    let destinations_of = |own: usize| {
        let peers = (0..fleet.len()).filter(|other| *other != own);
        let peers: Vec<usize> = peers.collect();
        let data_centres: Vec<&str> = peers.iter().map(|other| &*fleet[*other].1).collect();
        let mut destinations = reports::destinations(&fleet[own].0, &fleet[own].1, &data_centres);
        for index in destinations
            .direct
            .iter_mut()
            .chain(&mut destinations.forwarders)
        {
            *index = peers[*index];
        }
        destinations
    };
    (0..fleet.len()).map(destinations_of).collect()
}

/// Guards against a VM that gets no reports of another VM, even if one of the two forwarders is lost.
#[test]
fn reports_reach_every_vm_directly_or_by_two_forwarders() {
    for (vm_count, data_centre_count) in [(2, 1), (9, 3), (14, 4), (40, 1), (86, 3), (84, 4)] {
        let fleet = fleet(vm_count, data_centre_count);
        for (own, destinations) in destinations(&fleet).iter().enumerate() {
            for (other, (name, data_centre)) in fleet.iter().enumerate() {
                let is_direct = destinations.direct.contains(&other);
                let is_local = |forwarder: &&usize| fleet[**forwarder].1 == *data_centre;
                let forwarder_count = destinations.forwarders.iter().filter(is_local).count();
                let is_reached = other == own || is_direct || forwarder_count >= 2;
                assert!(
                    is_reached,
                    "{name} of {vm_count} VMs gets no reports of VM {own}"
                );
            }
        }
    }
}

/// Guards against reports whose number between data centres grows with the square of the number of VMs.
#[test]
fn few_reports_cross_data_centres_in_large_fleets() {
    let fleet = fleet(86, 3);

    let all_destinations = destinations(&fleet);

    let is_remote = |own: usize, other: &usize| fleet[*other].1 != fleet[own].1;
    let remote = all_destinations
        .iter()
        .enumerate()
        .map(|(own, destinations)| {
            let all = destinations.direct.iter().chain(&destinations.forwarders);
            all.filter(|other| is_remote(own, other)).count()
        });
    assert!(remote.sum::<usize>() <= 86 * 4);
}

/// Guards against one VM that forwards the reports of many others, which takes CPU time from its requests.
#[test]
fn forwarding_is_spread_over_the_vms() {
    let fleet = fleet(86, 3);

    let all_destinations = destinations(&fleet);

    let mut sender_counts = vec![0; 86];
    for destinations in &all_destinations {
        for forwarder in &destinations.forwarders {
            sender_counts[*forwarder] += 1;
        }
    }
    // Each VM forwards for four senders on average.
    let max = sender_counts.iter().max().expect("a VM");
    assert!(*max <= 14, "{sender_counts:?}");
}
