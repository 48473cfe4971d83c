//! Guards ownership against VMs that are paused beyond their promises (docs/design.md, sections 3 and 7).

mod fixtures {
    pub mod cell;
}

use std::time::Duration;

use fixtures::cell::{
    KEYED, POOL, assert_clean, assert_served_again, busiest, coordinator, first_answers,
    has_authority, incarnation, is_listed, load, newest, open, owns, set_state, wait_for,
    wait_for_answer,
};
use kumquat_local::client::{Client, Verdict};
use kumquat_state::bundle::UpstreamState;
use tokio::time::{Instant, sleep};

/// Guards against a VM that wakes up after a pause and acts on what it held before.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_vm_acts_on_nothing_and_rejoins() {
    let mut deployment = open(3).await;
    let load = load(&deployment);
    let paused = busiest(&deployment);
    let before = incarnation(&deployment, paused).expect("a member");
    let mut others = deployment.entries();
    others.remove(paused);
    sleep(Duration::from_millis(500)).await;

    let begun = Instant::now();
    deployment.vms[paused].pause().await;
    load.set_entries(others.clone());
    let served = first_answers(&deployment, &others, KEYED, 100, begun).await;
    sleep(Duration::from_secs(2)).await;
    // Requests reach the VM at the moment at which it wakes up, before it can have heard of its fence.
    let entry = deployment.vms[paused].address().expect("an entry");
    load.set_entries(vec![entry]);
    sleep(Duration::from_millis(300)).await;
    deployment.vms[paused].resume();
    wait_for("the VM to rejoin as a new incarnation", || {
        incarnation(&deployment, paused).is_some_and(|now| now != before)
            && is_listed(&deployment, paused)
            && has_authority(&deployment, paused)
    })
    .await;
    wait_for_answer(&deployment, entry, "/repairs/again").await;
    load.finish().await.expect("a load");

    assert_served_again(&served);
    assert_clean(&deployment);
    deployment.stop().await;
}

/// Guards against two of five VMs that pause together, and against one that pauses again as soon as it is back.
#[tokio::test(flavor = "multi_thread")]
async fn two_vms_paused_at_once_and_one_of_them_again() {
    let mut deployment = open(5).await;
    let load = load(&deployment);
    let first = busiest(&deployment);
    let second = (first + 2) % 5;
    let all = deployment.entries();
    let others: Vec<_> = (0..5)
        .filter(|vm| ![first, second].contains(vm))
        .map(|vm| all[vm])
        .collect();

    let begun = Instant::now();
    deployment.vms[first].pause().await;
    deployment.vms[second].pause().await;
    load.set_entries(others.clone());
    let served = first_answers(&deployment, &others, POOL, 30, begun).await;
    sleep(Duration::from_secs(1)).await;
    deployment.vms[first].resume();
    deployment.vms[second].resume();
    sleep(Duration::from_millis(300)).await;
    deployment.vms[first].pause().await;
    sleep(Duration::from_secs(2)).await;
    deployment.vms[first].resume();
    wait_for("both VMs to be members with authority", || {
        [first, second]
            .iter()
            .all(|vm| has_authority(&deployment, *vm) && incarnation(&deployment, *vm).is_some())
            && newest(&deployment).membership.members.len() == 5
    })
    .await;
    load.set_entries(all);
    sleep(Duration::from_millis(500)).await;
    load.finish().await.expect("a load");

    assert_served_again(&served);
    assert_clean(&deployment);
    deployment.stop().await;
}

/// Guards against an entry that accepts a withdrawn key because its dispatch process is paused.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_is_refused_by_an_entry_whose_dispatch_process_is_paused() {
    let mut deployment = open(3).await;
    let paused = 2;
    let entry = deployment.vms[paused].address().expect("an entry");
    let call = fixtures::cell::call(&deployment, entry, "/bench/withdrawn");
    let client = Client::open(&deployment.observations).expect("a client");
    assert!(client.send(&call).await.0.is_answer());

    deployment.vms[paused].pause_dispatch().await;
    let name = format!("key-{}", deployment.keys[0].0);
    deployment
        .publish(|bundle| bundle.caller_keys.retain(|key| key.name.as_str() != name))
        .await
        .expect("the bundle is accepted");
    sleep(fixtures::cell::OUT_AFTER).await;
    let (verdict, _) = client.send(&call).await;
    deployment.vms[paused].resume();

    assert!(matches!(verdict, Verdict::Refused { .. }), "{verdict:?}");
    assert_clean(&deployment);
    deployment.stop().await;
}

/// Guards against a coordinator that wakes up and overwrites what its successor has decided.
#[tokio::test(flavor = "multi_thread")]
async fn a_coordinator_paused_during_a_write_overwrites_nothing() {
    let mut deployment = open(3).await;
    let load = load(&deployment);
    let paused = coordinator(&deployment).expect("a coordinator");
    let epoch = newest(&deployment).coordinator;
    let mut others = deployment.entries();
    others.remove(paused);

    // The slow store lets the write begin before the pause and take effect after it.
    deployment
        .store
        .set_faults(|faults| faults.delay = Duration::from_millis(400));
    let drained = "repair-status-01";
    deployment
        .publish(|bundle| set_state(bundle, drained, UpstreamState::Draining))
        .await
        .expect("the bundle is accepted");
    sleep(Duration::from_millis(900)).await;
    deployment.vms[paused].pause().await;
    load.set_entries(others);
    deployment
        .store
        .set_faults(|faults| faults.delay = Duration::ZERO);
    wait_for("another coordinator to write", || {
        newest(&deployment).coordinator > epoch
    })
    .await;
    let taken_over = newest(&deployment);
    deployment.vms[paused].resume();
    wait_for(
        "the old coordinator to give up, and the VM to rejoin",
        || {
            let running = deployment.vms.iter().filter_map(|vm| vm.dispatch.as_ref());
            let holding = running.filter(|dispatch| dispatch.metrics().coordinator.get() == 1);
            holding.count() == 1
                && has_authority(&deployment, paused)
                && newest(&deployment).membership.members.len() == 3
        },
    )
    .await;
    wait_for("the drained upstream to own nothing", || {
        !owns(&deployment, drained)
    })
    .await;
    load.finish().await.expect("a load");

    let last = newest(&deployment);
    assert!(last.coordinator >= taken_over.coordinator, "{last:?}");
    assert!(last.revision > taken_over.revision, "{last:?}");
    assert_clean(&deployment);
    deployment.stop().await;
}
