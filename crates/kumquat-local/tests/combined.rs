//! Guards against failures that come together (docs/design.md, section 1.4).

mod fixtures {
    pub mod cell;
}

use std::time::Duration;

use fixtures::cell::{
    LONG, POOL, assert_clean, assert_served_again, busiest, coordinator, first_answers,
    has_authority, incarnation, is_listed, load, newest, open, owns, set_state, wait_for,
    wait_for_answer,
};
use kumquat_local::Deployment;
use kumquat_local::switch::Mode;
use kumquat_state::bundle::UpstreamState;
use tokio::time::{Instant, sleep};

async fn stop_upstream(deployment: &mut Deployment, name: &str) {
    let mut upstreams = deployment.upstreams.iter();
    let place = upstreams.position(|upstream| upstream.name() == name);
    let upstream = deployment.upstreams.remove(place.expect("the upstream"));
    upstream.stop().await;
}

/// Guards against pool work that stops, or keys that stay without an owner, after the loss of a whole data centre.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_data_centre_leaves_the_others_serving() {
    let mut deployment = open(9).await;
    let load = load(&deployment);
    let centre = deployment.bundle.data_centres[0].name.clone();
    let upstreams = deployment.bundle.upstreams.iter();
    let lost: Vec<String> = upstreams
        .filter(|upstream| upstream.data_centre == centre)
        .map(|upstream| upstream.name.as_str().to_owned())
        .collect();
    sleep(Duration::from_millis(500)).await;

    let killed = Instant::now();
    for vm in &mut deployment.vms {
        if *vm.data_centre() == centre {
            vm.kill();
        }
    }
    let entries = deployment.entries();
    load.set_entries(entries.clone());
    for name in &lost {
        stop_upstream(&mut deployment, name).await;
    }
    let pool = first_answers(&deployment, &entries, POOL, 30, killed).await;
    wait_for("the lost upstreams to own nothing", || {
        lost.iter().all(|name| !owns(&deployment, name))
    })
    .await;
    println!("keys moved after {:?}", killed.elapsed());
    wait_for("the lost VMs to leave the cell", || {
        newest(&deployment).membership.members.len() == 6
    })
    .await;
    for number in 0..20 {
        let path = format!("/repairs/moved-{number}");
        wait_for_answer(&deployment, entries[number % entries.len()], &path).await;
    }
    load.finish().await.expect("a load");

    assert_eq!(entries.len(), 6);
    assert_served_again(&pool);
    assert_clean(&deployment);
    deployment.stop().await;
}

/// Guards against two owners when a key's upstream and the VM that granted it are lost at once, and writes lose answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_dispatch_process_and_an_upstream_are_lost_while_the_store_loses_answers() {
    let mut deployment = open(5).await;
    let load = load(&deployment);
    let lost = busiest(&deployment);
    let upstream = "repair-status-02";
    sleep(Duration::from_millis(500)).await;

    deployment.store.set_faults(|faults| faults.lose_every = 2);
    deployment.vms[lost].kill();
    load.set_entries(deployment.entries());
    stop_upstream(&mut deployment, upstream).await;
    wait_for("the lost upstream to own nothing", || {
        !owns(&deployment, upstream)
    })
    .await;
    wait_for("the lost VM to leave the cell", || {
        newest(&deployment).membership.members.len() == 4
    })
    .await;
    deployment.store.set_faults(|faults| faults.lose_every = 0);
    deployment.vms[lost].start().await.expect("it starts");
    wait_for("the VM to hold roles again", || {
        is_listed(&deployment, lost)
    })
    .await;
    load.finish().await.expect("a load");

    assert_clean(&deployment);
    deployment.stop().await;
}

/// Guards against planning that does not resume after the coordinator was lost during a store outage.
#[tokio::test(flavor = "multi_thread")]
async fn planning_resumes_after_the_coordinator_is_lost_in_an_outage() {
    let mut deployment = open(5).await;
    let load = load(&deployment);
    let lost = coordinator(&deployment).expect("a coordinator");
    let drained = "repair-status-03";

    let published =
        deployment.publish(|bundle| set_state(bundle, drained, UpstreamState::Draining));
    published.await.expect("the bundle is accepted");
    deployment.store.set_faults(|faults| faults.outage = true);
    deployment.vms[lost].kill();
    let entries = deployment.entries();
    load.set_entries(entries.clone());
    let killed = Instant::now();
    let pool = first_answers(&deployment, &entries, POOL, 30, killed).await;
    sleep(Duration::from_secs(4)).await;
    deployment.store.set_faults(|faults| faults.outage = false);
    wait_for("the drained upstream to own nothing", || {
        !owns(&deployment, drained)
    })
    .await;
    wait_for("the lost VM to leave the cell", || {
        newest(&deployment).membership.members.len() == 4
    })
    .await;
    load.finish().await.expect("a load");

    assert_served_again(&pool);
    assert_clean(&deployment);
    deployment.stop().await;
}

/// Guards against a VM that is cut off, pauses meanwhile, and wakes up after the network has healed.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_that_is_cut_off_and_paused_rejoins() {
    let mut deployment = open(3).await;
    let load = load(&deployment);
    let cut = busiest(&deployment);
    let before = incarnation(&deployment, cut);
    let mut others = deployment.entries();
    others.remove(cut);

    deployment.network.set_around(&[cut], Mode::Held);
    load.set_entries(others);
    sleep(Duration::from_millis(700)).await;
    deployment.vms[cut].pause().await;
    sleep(Duration::from_secs(2)).await;
    deployment.network.set_around(&[cut], Mode::Open);
    sleep(Duration::from_millis(500)).await;
    deployment.vms[cut].resume();
    wait_for("the VM to rejoin as a new incarnation", || {
        incarnation(&deployment, cut).is_some_and(|now| Some(now) != before)
            && is_listed(&deployment, cut)
            && has_authority(&deployment, cut)
    })
    .await;
    let entry = deployment.vms[cut].address().expect("an entry");
    wait_for_answer(&deployment, entry, "/repairs/again").await;
    load.finish().await.expect("a load");

    assert_clean(&deployment);
    deployment.stop().await;
}

/// Guards against a change that is lost, or in force on some VMs only, when a VM is replaced and another one pauses.
#[tokio::test(flavor = "multi_thread")]
async fn a_bundle_reaches_all_vms_while_one_is_replaced_and_one_pauses() {
    let mut deployment = open(5).await;
    let load = load(&deployment);
    let (replaced, paused) = (1, 3);
    let before = incarnation(&deployment, replaced);

    deployment.vms[paused].pause().await;
    deployment.vms[replaced].kill();
    let version = deployment
        .publish(|bundle| bundle.teams[0].rate += 1)
        .await
        .expect("the bundle is accepted");
    load.set_entries(
        [0, 2, 4]
            .map(|vm| deployment.vms[vm].address().expect("it runs"))
            .into(),
    );
    sleep(Duration::from_secs(2)).await;
    deployment.vms[replaced].start().await.expect("it starts");
    deployment.vms[paused].resume();
    let in_force = deployment.wait_until_in_force(version, LONG).await;
    wait_for("all five VMs to be members with authority", || {
        incarnation(&deployment, replaced).is_some_and(|now| Some(now) != before)
            && newest(&deployment).membership.members.len() == 5
            && (0..5).all(|vm| has_authority(&deployment, vm))
    })
    .await;
    load.finish().await.expect("a load");

    in_force.expect("the bundle is in force on every VM");
    assert_clean(&deployment);
    deployment.stop().await;
}
