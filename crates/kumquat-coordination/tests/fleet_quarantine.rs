//! Tests the quarantine of requests that end the upstreams that execute them.

use std::time::Duration;

use kumquat_coordination::fleet::{
    Admission, Fingerprint, Quarantine, QuarantineReport, ReportedHold,
};
use kumquat_state::clock::Instant;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

const DEADLY: Fingerprint = Fingerprint(1);
const ORDINARY: Fingerprint = Fingerprint(2);

/// Upstream that answers other requests, which shows that the VM has a path.
const WITNESS: u32 = 1_000;

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

/// Records an exchange that ended at an upstream, and an answer that shows that the VM has a path.
fn end(quarantine: &mut Quarantine, millis: u64, fingerprint: Fingerprint, upstream: u32) -> bool {
    quarantine.record_end(at(millis), fingerprint, upstream);
    let started = quarantine.record_answer(at(millis + 2), ORDINARY, WITNESS, at(millis + 1));
    !started.is_empty()
}

/// Returns the quarantine of a VM after three exchanges with the deadly content have ended at three upstreams.
fn after_three_ends() -> Quarantine {
    let mut quarantine = Quarantine::new(1, 0.0);
    assert!(!end(&mut quarantine, 0, DEADLY, 10));
    assert!(!end(&mut quarantine, 100, DEADLY, 11));
    assert!(end(&mut quarantine, 200, DEADLY, 12));
    quarantine
}

/// Guards against a content that goes on ending upstreams because its ends are not counted together.
#[test]
fn three_ends_at_different_upstreams_quarantine_a_content() {
    let mut quarantine = after_three_ends();

    let admission = quarantine.admit(at(300), DEADLY, 0.0);

    assert!(matches!(admission, Admission::Refused { wait } if wait > Duration::from_secs(50)));
    assert_eq!(
        quarantine.admit(at(300), ORDINARY, 0.99),
        Admission::Allowed
    );
}

/// Guards against the refusal of a popular request, of which many copies were in flight at one ordinary crash.
#[test]
fn many_copies_that_end_at_one_upstream_are_not_quarantined() {
    let mut quarantine = Quarantine::new(1, 0.0);

    let is_quarantined = (0..20).any(|copy| end(&mut quarantine, copy * 10, DEADLY, 10));

    assert!(!is_quarantined);
}

/// Guards against the refusal of a request that was in flight at several ordinary crashes.
#[test]
fn an_answer_between_crashes_clears_a_content() {
    let mut quarantine = Quarantine::new(1, 0.0);
    for (crash, upstream) in (10..60).enumerate() {
        let millis = u64::try_from(crash).expect("a small number") * 1_000;
        assert!(!end(&mut quarantine, millis, DEADLY, upstream));
        assert!(!end(&mut quarantine, millis + 10, DEADLY, upstream));
        let answered_at = at(millis + 500);
        quarantine.record_answer(answered_at, DEADLY, WITNESS, answered_at);
    }

    let admission = quarantine.admit(at(50_000), DEADLY, 0.99);

    assert_eq!(admission, Admission::Allowed);
}

/// Guards against a VM that has lost its path and takes the ends of its connections for those of the upstreams.
#[test]
fn ends_without_an_answer_to_a_later_request_do_not_count() {
    let mut quarantine = Quarantine::new(1, 0.0);
    for upstream in 10..30 {
        quarantine.record_end(at(0), DEADLY, upstream);
    }
    // Sent before the path was lost, and delivered before as well.
    quarantine.record_answer(at(5), ORDINARY, WITNESS, at(0) - Duration::from_millis(50));

    // The path is back after four seconds.
    let started = quarantine.record_answer(at(4_010), ORDINARY, WITNESS, at(4_000));

    assert!(started.is_empty());
    assert_eq!(
        quarantine.admit(at(4_020), DEADLY, 0.99),
        Admission::Allowed
    );
}

/// Guards against counting an upstream that one VM could not reach and that answers another one.
#[test]
fn an_upstream_that_answers_later_has_not_ended() {
    let mut reporter = Quarantine::new(1, 0.0);
    let mut other = Quarantine::new(2, 0.0);
    for upstream in [10, 11] {
        end(&mut reporter, 0, DEADLY, upstream);
        end(&mut reporter, 10, DEADLY, upstream);
    }
    let mut report = reporter.next_report(at(20));
    report.holds.clear();
    report.ends.retain(|end| end.upstream == 10);
    other.apply_report(at(30), 1, &report);
    other.record_answer(at(200), ORDINARY, 10, at(100));

    let is_quarantined = end(&mut other, 300, DEADLY, 12) || end(&mut other, 310, DEADLY, 12);

    assert!(!is_quarantined);
}

/// Guards against a VM that lets through a request that has ended upstreams under the eyes of other VMs.
#[test]
fn vms_that_see_one_end_each_quarantine_a_content_together() {
    let mut vms: Vec<Quarantine> = (1..=3).map(|vm| Quarantine::new(vm, 0.0)).collect();
    for (index, vm) in vms.iter_mut().enumerate() {
        let upstream = u32::try_from(index).expect("a small number") + 10;
        end(vm, 0, DEADLY, upstream);
        assert!(vm.is_early_report_due());
    }

    let reports: Vec<QuarantineReport> = vms.iter_mut().map(|vm| vm.next_report(at(20))).collect();
    for (sender, report) in (1..).zip(&reports) {
        for (receiver, vm) in (1..).zip(&mut vms) {
            if sender != receiver {
                vm.apply_report(at(30), sender, report);
            }
        }
    }

    for vm in &mut vms {
        let admission = vm.admit(at(40), DEADLY, 0.0);
        assert!(matches!(admission, Admission::Refused { .. }));
    }
}

/// Guards against a VM that starts and sends what the others have quarantined.
#[test]
fn a_vm_that_starts_learns_quarantines_from_any_peer() {
    let mut first = after_three_ends();
    let mut second = Quarantine::new(2, 0.0);
    second.apply_report(at(300), 1, &first.next_report(at(300)));
    let mut third = Quarantine::new(3, 0.0);

    third.apply_report(at(30_000), 2, &second.next_report(at(30_000)));

    let admission = third.admit(at(30_010), DEADLY, 0.0);
    assert!(
        matches!(admission, Admission::Refused { wait } if wait < Duration::from_secs(31)),
        "{admission:?}"
    );
}

/// Guards against a content that is quarantined for ever, and against many trials after its quarantine.
#[test]
fn a_quarantine_ends_in_one_trial_and_a_relapse_lasts_longer() {
    let mut quarantine = after_three_ends();
    let released_at = 61_000;

    assert_eq!(
        quarantine.admit(at(released_at), DEADLY, 0.1),
        Admission::Trial
    );
    let second = quarantine.admit(at(released_at + 1), DEADLY, 0.1);
    assert!(matches!(second, Admission::Refused { wait } if wait < Duration::from_secs(1)));
    quarantine.finish_trial(DEADLY);
    assert!(end(&mut quarantine, released_at + 20, DEADLY, 13));

    let relapse = quarantine.admit(at(released_at + 200_000), DEADLY, 0.0);
    assert!(matches!(relapse, Admission::Refused { .. }), "{relapse:?}");
}

/// Guards against a content that stays in quarantine after it was answered, because late reports bring it back.
#[test]
fn a_clearance_reaches_the_peers_and_outlives_late_reports() {
    let mut first = after_three_ends();
    let late_report = first.next_report(at(250));
    let mut second = Quarantine::new(2, 0.0);
    second.apply_report(at(260), 1, &late_report);
    first.record_answer(at(400), DEADLY, WITNESS, at(350));

    second.apply_report(at(500), 1, &first.next_report(at(490)));
    second.apply_report(at(510), 3, &late_report);

    assert_eq!(second.admit(at(520), DEADLY, 0.99), Admission::Allowed);
}

/// Guards against memory that grows with the contents that callers choose, and against a peer's endless quarantine.
#[test]
fn entries_and_durations_are_bounded() {
    let mut quarantine = after_three_ends();
    for content in 100..5_000 {
        quarantine.adopt(
            at(300),
            &ReportedHold {
                fingerprint: Fingerprint(content),
                round: u32::MAX,
                remaining: Duration::from_hours(1_000),
            },
        );
    }

    let report = quarantine.next_report(at(310));

    assert!(quarantine.holds(at(310)).len() <= 256);
    assert!(report.holds.len() <= 16 && report.ends.len() <= 16);
    assert!(
        quarantine
            .holds(at(310))
            .iter()
            .all(|held| held.remaining <= Duration::from_mins(15))
    );
    assert_eq!(quarantine.holds(at(2_000_000)).len(), 0);
}

/// A fleet whose VMs send a deadly content and ordinary ones to upstreams that also crash by themselves.
struct Simulation {
    rng: SmallRng,
    vms: Vec<Quarantine>,
    // When each upstream is back, and its incarnation.
    upstreams: Vec<(u64, u32)>,
    deadly_ends: Vec<u64>,
    deadly_sends: Vec<u64>,
    ordinary_refusals: u32,
}

/// Time for which an upstream is away after it has ended, in milliseconds.
const DOWNTIME_MS: u64 = 3_000;

/// Ordinary requests that may be refused of the 15,000 of a run, as the deployments allow: five and one in 500.
const MAX_REFUSALS: u32 = 5 + 15_000 / 500;

/// Share of the reports that are lost.
const REPORT_LOSS: f64 = 0.3;

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let vm_count = rng.random_range(1..=9);
        Self {
            vms: (1..=vm_count)
                .map(|vm| Quarantine::new(vm, rng.random()))
                .collect(),
            upstreams: vec![(0, 0); rng.random_range(6..=15)],
            deadly_ends: Vec::new(),
            deadly_sends: Vec::new(),
            ordinary_refusals: 0,
            rng,
        }
    }

    fn instance(&self, upstream: usize) -> u32 {
        u32::try_from(upstream).expect("a small number") * 1_000 + self.upstreams[upstream].1
    }

    fn end_upstream(&mut self, now: u64, upstream: usize) {
        self.upstreams[upstream].0 = now + DOWNTIME_MS;
        self.upstreams[upstream].1 += 1;
    }

    /// Sends a request at a random VM to a random upstream that is up.
    fn send(&mut self, now: u64, fingerprint: Fingerprint) {
        let vm = self.rng.random_range(0..self.vms.len());
        let noise = self.rng.random();
        let admission = self.vms[vm].admit(at(now), fingerprint, noise);
        if let Admission::Refused { .. } = admission {
            self.ordinary_refusals += u32::from(fingerprint != DEADLY);
            return;
        }
        let up = (0..self.upstreams.len()).filter(|upstream| self.upstreams[*upstream].0 <= now);
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            return;
        }
        let upstream = up[self.rng.random_range(0..up.len())];
        let instance = self.instance(upstream);
        if fingerprint == DEADLY {
            self.deadly_sends.push(now);
            self.deadly_ends.push(now);
            self.end_upstream(now, upstream);
            self.vms[vm].record_end(at(now), fingerprint, instance);
        } else if self.rng.random::<f64>() < 0.002 {
            self.end_upstream(now, upstream);
            self.vms[vm].record_end(at(now), fingerprint, instance);
        } else {
            self.vms[vm].record_answer(at(now), fingerprint, instance, at(now));
        }
        if admission == Admission::Trial {
            self.vms[vm].finish_trial(fingerprint);
        }
    }

    fn report(&mut self, now: u64, sender: usize) {
        let report = self.vms[sender].next_report(at(now));
        let vm = u64::try_from(sender).expect("a small number") + 1;
        for receiver in 0..self.vms.len() {
            if receiver != sender && self.rng.random::<f64>() >= REPORT_LOSS {
                self.vms[receiver].apply_report(at(now), vm, &report);
            }
        }
    }

    fn run(&mut self) {
        let deadly_interval = self.rng.random_range(30..600);
        for now in (0..50_000).step_by(10) {
            for _ in 0..3 {
                let content = self.rng.random_range(2..40);
                self.send(now, Fingerprint(content));
            }
            if now % deadly_interval < 10 {
                self.send(now, DEADLY);
            }
            for sender in 0..self.vms.len() {
                if self.vms[sender].is_early_report_due() || now % 250 == 0 {
                    self.report(now, sender);
                }
            }
        }
    }
}

/// Guards against deadly requests that slip through, and ordinary ones that are refused, under any order of events.
#[test]
fn deadly_requests_are_bounded_and_ordinary_ones_served_in_random_fleets() {
    for seed in 0..300 {
        let mut simulation = Simulation::new(seed);

        simulation.run();

        let ends = &simulation.deadly_ends;
        let bounded_from = ends.get(2).map_or(u64::MAX, |third| third + 3_000);
        let sends = simulation.deadly_sends.iter();
        let late = sends.filter(|sent_at| **sent_at > bounded_from).count();
        assert!(late <= 3, "seed {seed}: {late} late tries");
        let refused = simulation.ordinary_refusals;
        assert!(refused <= MAX_REFUSALS, "seed {seed}: {refused} refused");
    }
}
