//! Guards the cell against the restart of a majority of its VMs (docs/design.md, section 3).

mod fixtures {
    pub mod cell;
}

use fixtures::cell::{assert_clean, incarnation, load, open, wait_for, wait_for_answer};

/// Restarts VMs at once under a load and waits until the cell serves with their new incarnations.
async fn restart(vms: usize, restarted: &[usize]) {
    let mut deployment = open(vms).await;
    let load = load(&deployment);
    let before: Vec<_> = restarted
        .iter()
        .map(|number| incarnation(&deployment, *number).expect("a member"))
        .collect();

    for number in restarted {
        deployment.vms[*number].kill();
    }
    for number in restarted {
        deployment.vms[*number].start().await.expect("it starts");
    }
    load.set_entries(deployment.entries());
    for (number, old) in restarted.iter().zip(before) {
        wait_for("the new incarnation to be a member", || {
            incarnation(&deployment, *number).is_some_and(|now| now != old)
        })
        .await;
    }
    for entry in deployment.entries() {
        wait_for_answer(&deployment, entry, "/repairs/again").await;
        wait_for_answer(&deployment, entry, "/bench/again").await;
    }
    load.finish().await.expect("a load");

    assert_clean(&deployment);
    deployment.stop().await;
}

/// Guards against a cell that never serves again because a majority has forgotten its promises.
#[tokio::test(flavor = "multi_thread")]
async fn a_cell_forms_anew_after_a_majority_was_restarted() {
    restart(3, &[0, 1]).await;
}

/// Guards against a cell that never serves again because all its members have ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_cell_forms_anew_after_all_vms_were_restarted() {
    restart(3, &[0, 1, 2]).await;
}
