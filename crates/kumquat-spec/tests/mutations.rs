//! Guards against specifications that can't fail: leaving out a rule must lead to a counterexample.

use kumquat_spec::authority::{Bounds, Cell, Step};
use kumquat_spec::check::{Rule, Specification, explore};
use kumquat_spec::ledger::Coordinators;
use kumquat_spec::moves::Moves;
use kumquat_spec::mutation::Mutation;
use kumquat_spec::operators::Operators;
use kumquat_spec::suite::{FAULTS, HOLDERS, MEMBERSHIP};

fn expect(specification: &impl Specification, rule: Rule) {
    let report = explore(specification);
    let counterexample = report.counterexample.expect("a counterexample");
    println!(
        "{}: {}\n{}",
        report.name, report.bounds, counterexample.trace
    );
    assert_eq!(counterexample.rule, rule, "{}", counterexample.trace);
}

fn expect_in_cell(bounds: Bounds, mutation: Mutation, rule: Rule) {
    let mutation = Some(mutation);
    expect(&Cell { bounds, mutation }, rule);
}

fn expect_in_ledger(mutation: Mutation) {
    let specification = Coordinators {
        coordinators: 2,
        writes: 5,
        mutation: Some(mutation),
    };
    expect(&specification, Rule::AssignmentKept);
}

fn expect_in_operators(mutation: Mutation, rule: Rule) {
    let specification = Operators {
        operators: 2,
        writes: 4,
        mutation: Some(mutation),
    };
    expect(&specification, rule);
}

fn expect_in_moves(mutation: Mutation) {
    expect(&Moves::new(4, Some(mutation)), Rule::OneOwner);
}

/// Guards the wait for the remaining promises.
#[test]
fn skipping_the_wait_lets_two_vms_act() {
    expect_in_cell(FAULTS, Mutation::SkipWait, Rule::OneActing);
}

/// Guards the rule that a restarted VM has no vote.
#[test]
fn voting_after_a_restart_lets_two_vms_act() {
    let mutation = Mutation::RestartedVotes;
    expect_in_cell(FAULTS, mutation, Rule::OneActing);
}

/// Guards the acting rule.
#[test]
fn ignoring_the_fences_lets_two_vms_act() {
    expect_in_cell(FAULTS, Mutation::IgnoreFence, Rule::OneActing);
}

/// Guards the rule that a promise counts from the sending of the heartbeat.
#[test]
fn counting_echoes_from_their_arrival_lets_two_vms_act() {
    expect_in_cell(FAULTS, Mutation::EchoFromArrival, Rule::OneActing);
}

/// Guards rule (a) of membership changes.
#[test]
fn skipping_the_confirmation_lets_two_vms_act() {
    expect_in_cell(MEMBERSHIP, Mutation::SkipConfirmation, Rule::OneActing);
}

/// Guards the rule that one incarnation joins or leaves at a time.
#[test]
fn swapping_an_incarnation_lets_two_vms_act() {
    // VM 1 does not hear VM 0 any more; later VM 0 is cut off and VM 2 restarts, forgetting its promise to VM 0.
    let filter = |step: &Step| match step {
        Step::Tick | Step::Close(0, 1) | Step::Isolate(0) | Step::Restart(2) => true,
        Step::Learn(vm) => *vm == 2,
        Step::Write { by, .. } => *by == 1,
        _ => false,
    };
    let bounds = Bounds {
        vms: 3,
        faults: 3,
        writes: 1,
        events: 1,
        horizon: 6,
        filter,
        ..MEMBERSHIP
    };
    let sound = Cell {
        bounds,
        mutation: None,
    };
    assert!(explore(&sound).counterexample.is_none());
    expect_in_cell(bounds, Mutation::SwapIncarnation, Rule::OneActing);
}

/// Guards the change rule for holder lists.
#[test]
fn reordering_without_a_release_lets_two_vms_act() {
    expect_in_cell(HOLDERS, Mutation::SkipRelease, Rule::OneActing);
}

/// Guards the growth of epochs.
#[test]
fn keeping_the_epoch_lets_tokens_fall() {
    expect_in_cell(HOLDERS, Mutation::SameEpoch, Rule::TokensGrow);
}

/// Guards the compare-and-swap of the ledger.
#[test]
fn a_blind_put_loses_an_assignment() {
    expect_in_ledger(Mutation::BlindPut);
}

/// Guards the rule that only a stored assignment is acknowledged.
#[test]
fn acknowledging_without_an_answer_loses_an_assignment() {
    expect_in_ledger(Mutation::AcknowledgeUnknown);
}

/// Guards the rule that a plan is made anew from the current ledger.
#[test]
fn writing_an_old_plan_again_loses_an_assignment() {
    expect_in_ledger(Mutation::ReapplyPlan);
}

/// Guards the compare-and-swap of the bundle.
#[test]
fn a_blind_put_of_a_bundle_undoes_an_accepted_one() {
    expect_in_operators(Mutation::BlindBundle, Rule::BundleKept);
}

/// Guards the rule that an operator reads the head again after a lost answer.
#[test]
fn claiming_a_bundle_without_an_answer_lets_two_operators_win() {
    expect_in_operators(Mutation::ClaimBundle, Rule::OneWinner);
}

/// Guards the rule that an operator starts again from the current bundle.
#[test]
fn applying_an_old_bundle_again_undoes_an_accepted_one() {
    expect_in_operators(Mutation::ReapplyBundle, Rule::BundleKept);
}

/// Guards the two writes of a move.
#[test]
fn moving_in_a_single_write_gives_a_slot_two_owners() {
    expect_in_moves(Mutation::SingleWrite);
}

/// Guards the wait for successors with an outdated ledger.
#[test]
fn ignoring_the_successors_gives_a_slot_two_owners() {
    expect_in_moves(Mutation::IgnoreSuccessors);
}

/// Guards the wait for grants of a successor that took over with an outdated ledger and learned the new one later.
#[test]
fn waiting_for_revisions_only_gives_a_slot_two_owners() {
    expect_in_moves(Mutation::RevisionOnly);
}

/// Guards the wait for the first holder's grants.
#[test]
fn ignoring_the_first_holder_gives_a_slot_two_owners() {
    expect_in_moves(Mutation::IgnoreHolder);
}

/// Guards the absolute expiry of grants.
#[test]
fn taking_an_expired_grant_gives_a_slot_two_owners() {
    expect_in_moves(Mutation::TakeExpired);
}

/// Guards the order of grants and releases at the upstream.
#[test]
fn taking_a_grant_after_its_release_gives_a_slot_two_owners() {
    expect_in_moves(Mutation::TakeOvertaken);
}
