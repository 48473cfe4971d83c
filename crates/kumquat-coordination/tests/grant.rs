//! Guards exclusive ownership: no slot may be owned by two upstreams at once, whatever happens to orders and replies.

use std::time::Duration;

use kumquat_coordination::grant::{
    BootId, Grantor, Grants, HeldGrants, Options, Order, Rejection, Reply, SlotRange, Target,
};
use kumquat_state::clock::Instant;
use kumquat_state::ident::{Epoch, FencingToken, Request, Slot};
use quickcheck::{Gen, QuickCheck};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const AUTHORITY: Duration = Duration::from_millis(990);

fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

fn target(slot: u32) -> Target {
    Target {
        slot: Slot(slot),
        key: u64::from(slot) + 100,
    }
}

fn slots(list: &[u32]) -> Grants {
    let slot_ranges = list
        .iter()
        .map(|slot| SlotRange {
            first: Slot(*slot),
            last: Slot(*slot),
            epoch: Epoch(1),
        })
        .collect();
    Grants {
        slot_ranges,
        ..Grants::default()
    }
}

fn options(checks_grants: bool) -> Options {
    Options {
        checks_grants,
        max_request_duration: Duration::from_secs(1),
    }
}

fn order(sequence: u64, fence: u64, boot: u64, expires: Instant) -> Order {
    Order {
        sequence,
        fencing_token: FencingToken(fence),
        boot_id: Some(BootId(boot)),
        grants: slots(&[1]),
        expires,
    }
}

/// Brings a grantor and its upstream to the point at which the given slots are granted.
fn granted(held: &mut HeldGrants, wanted: &Grants) -> Grantor {
    let mut grantor = Grantor::new(options(true));
    for _ in 0..2 {
        let order = grantor
            .tick(at(0), Some(at(0) + AUTHORITY), FencingToken(1), wanted)
            .expect("an order");
        let reply = held.on_order(at(0), &order);
        grantor.on_reply(at(0), &reply);
    }
    grantor
}

/// Guards against a successor that took over with an older ledger, and so with a lower token than its predecessor used,
/// and whose upstream rejects it for as long as no newer ledger can be had.
#[test]
fn acting_holder_goes_on_above_the_token_of_its_predecessor() {
    let mut held = HeldGrants::new(BootId(7));
    let wanted = slots(&[1]);
    let later = Order {
        grants: wanted.clone(),
        ..order(9, 512, 7, at(800))
    };
    held.on_order(at(0), &later);
    let mut successor = Grantor::new(options(true));

    let mut passes = false;
    for millis in (1_000..2_000).step_by(10) {
        let now = at(millis);
        if let Some(order) = successor.tick(now, Some(now + AUTHORITY), FencingToken(257), &wanted)
        {
            let reply = held.on_order(now, &order);
            successor.on_reply(now, &reply);
        }
        passes |= successor.authorise(now, target(1)).is_some();
    }

    assert!(passes, "the upstream never took an order");
    assert!(held.owns(at(2_000), target(1)));
}

/// Guards against an upstream that obeys an earlier holder, an order for an earlier run, or a late order.
#[test]
fn upstream_rejects_what_is_not_in_force() {
    let mut held = HeldGrants::new(BootId(7));
    held.on_order(at(0), &order(5, 2, 7, at(800)));

    let mut judge = |now, order: Order| held.on_order(now, &order).rejection;

    assert_eq!(
        judge(at(1), order(9, 1, 7, at(800))),
        Some(Rejection::LowerFence)
    );
    assert_eq!(
        judge(at(1), order(6, 2, 6, at(800))),
        Some(Rejection::ForeignBoot)
    );
    assert_eq!(
        judge(at(1), order(4, 2, 7, at(800))),
        Some(Rejection::Overtaken)
    );
    assert_eq!(
        judge(at(900), order(6, 2, 7, at(800))),
        Some(Rejection::Expired)
    );
    assert_eq!(judge(at(1), order(5, 2, 7, at(800))), None);
}

/// Guards against requests that run without a grant.
#[test]
fn upstream_rejects_requests_without_a_grant() {
    let mut held = HeldGrants::new(BootId(7));
    held.on_order(at(0), &order(5, 2, 7, at(800)));

    let mut begin = |now, boot, fence, slot| {
        held.begin_request(now, BootId(boot), FencingToken(fence), target(slot))
    };

    assert_eq!(begin(at(1), 7, 1, 1), Err(Rejection::LowerFence));
    assert_eq!(begin(at(1), 6, 2, 1), Err(Rejection::ForeignBoot));
    assert_eq!(begin(at(1), 7, 2, 2), Err(Rejection::NotGranted));
    assert_eq!(begin(at(1), 7, 3, 1), Err(Rejection::NotGranted));
    assert_eq!(begin(at(800), 7, 2, 1), Err(Rejection::Expired));
    assert_eq!(begin(at(799), 7, 2, 1), Ok(()));
}

/// Guards against a grant that outlives the authority of its grantor.
#[test]
fn grant_ends_before_the_authority_of_its_grantor() {
    let mut held = HeldGrants::new(BootId(7));
    let wanted = slots(&[1]);
    let mut grantor = granted(&mut held, &wanted);

    let order = grantor
        .tick(at(250), Some(at(400)), FencingToken(1), &wanted)
        .expect("a renewal");

    // The last reply was handled at 0, where both clocks agree.
    assert_eq!(order.expires, at(0) + Duration::from_millis(396));
}

/// Guards against a slot that is reported as free while a released request still runs.
#[test]
fn released_slot_is_held_until_its_requests_have_ended() {
    let mut held = HeldGrants::new(BootId(7));
    let mut grantor = granted(&mut held, &slots(&[1, 2]));
    let (boot, fence) = grantor.authorise(at(1), target(1)).expect("a granted slot");
    held.begin_request(at(1), boot, fence, target(1))
        .expect("the slot is granted");

    let mut held_after = Vec::new();
    for millis in [2, 12] {
        let order = grantor
            .tick(at(millis), Some(at(900)), FencingToken(1), &slots(&[2]))
            .expect("an order");
        grantor.on_reply(at(millis), &held.on_order(at(millis), &order));
        held_after.push((
            grantor.may_hold_slot(Slot(1)),
            grantor.may_hold_slot(Slot(2)),
        ));
        held.end_request(target(1));
    }

    assert_eq!(held_after, vec![(true, true), (false, true)]);
    assert_eq!(grantor.authorise(at(13), target(1)), None);
}

/// Guards against a slot of an unreachable upstream that stays blocked, or is freed before its grant has expired.
#[test]
fn grant_of_an_unreachable_upstream_lapses() {
    let mut held = HeldGrants::new(BootId(7));
    let mut grantor = granted(&mut held, &slots(&[1]));

    for millis in (10..808).step_by(3) {
        grantor.tick(
            at(millis),
            Some(at(millis) + AUTHORITY),
            FencingToken(1),
            &slots(&[]),
        );
        assert!(grantor.may_hold_slot(Slot(1)), "at {millis} ms");
    }
    grantor.tick(at(808), Some(at(1_700)), FencingToken(1), &slots(&[]));

    assert!(!held.owns(at(800), target(1)));
    assert!(!grantor.may_hold_slot(Slot(1)));
}

/// Guards against a placed key that its slot's owner still serves.
#[test]
fn withheld_key_is_not_covered_by_its_slot() {
    let mut held = HeldGrants::new(BootId(7));
    let wanted = Grants {
        excluded_keys: vec![target(1).key],
        ..slots(&[1])
    };
    let grantor = granted(&mut held, &wanted);
    let other = Target {
        key: 1,
        ..target(1)
    };

    assert!(!held.owns(at(1), target(1)) && !grantor.may_hold_key(target(1)));
    assert!(held.owns(at(1), other) && grantor.may_hold_key(other));
}

/// Guards against a slot of an upstream without checks that moves while its requests run.
#[test]
fn unchecked_upstream_holds_until_requests_end_or_pass_their_deadline() {
    let mut grantor = Grantor::new(options(false));
    let wanted = slots(&[1, 2]);
    grantor.tick(at(0), Some(at(900)), FencingToken(1), &wanted);
    let after_start = grantor.may_hold_slot(Slot(9));
    grantor.tick(at(1_010), Some(at(1_900)), FencingToken(1), &wanted);
    grantor.begin_request(Request(1), target(1), at(1_100));
    grantor.begin_request(Request(2), target(2), at(1_500));

    grantor.tick(at(1_099), Some(at(2_000)), FencingToken(1), &slots(&[]));
    let running = (
        grantor.may_hold_slot(Slot(1)),
        grantor.may_hold_slot(Slot(2)),
    );
    grantor.end_request(Request(2));
    grantor.tick(at(1_100), Some(at(2_000)), FencingToken(1), &slots(&[]));

    assert!(after_start, "an earlier holder's requests may still run");
    assert_eq!(running, (true, true));
    assert_eq!(
        (
            grantor.may_hold_slot(Slot(1)),
            grantor.may_hold_slot(Slot(2))
        ),
        (false, false)
    );
}

const SLOTS: u32 = 3;
const UPSTREAMS: usize = 3;

/// A granting VM that is replaced, three upstreams and a ledger that moves slots in two writes.
struct World {
    rng: StdRng,
    acting: Vec<Grantor>,
    fence: u64,
    clock: u64,
    authority_until: u64,
    frozen_until: u64,
    /// Owner of each slot, or none while it moves.
    owners: Vec<Option<usize>>,
    upstreams: Vec<Server>,
    network: Vec<(u64, usize, Message)>,
    moves: u32,
}

struct Server {
    held: HeldGrants,
    clock: u64,
    frozen_until: u64,
    cut_until: u64,
    running: Vec<(u64, Target)>,
}

#[derive(Clone)]
enum Message {
    Order(u64, Order),
    Reply(u64, Reply),
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let upstreams = (0..UPSTREAMS)
            .map(|number| Server {
                held: HeldGrants::new(BootId(number as u64)),
                clock: rng.random_range(9_950..=10_050),
                frozen_until: 0,
                cut_until: 0,
                running: Vec::new(),
            })
            .collect();
        let clock = rng.random_range(9_950..=10_050);
        Self {
            rng,
            acting: (0..UPSTREAMS)
                .map(|_| Grantor::new(options(true)))
                .collect(),
            fence: 1,
            clock,
            authority_until: 0,
            frozen_until: 0,
            owners: vec![None; SLOTS as usize],
            upstreams,
            network: Vec::new(),
            moves: 0,
        }
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.rng.random_range(0..one_in) == 0
    }

    fn now(&self, micros: u64) -> Instant {
        Instant::from_micros(micros * self.clock / 10_000)
    }

    fn send(&mut self, micros: u64, upstream: usize, message: &Message) {
        let copies = [0, 1, 1, 1, 1, 1, 1, 2][self.rng.random_range(0..8)];
        for _ in 0..copies {
            let delay = match self.rng.random_range(0..8) {
                0 => self.rng.random_range(0..1_500_000),
                _ => self.rng.random_range(100..3_000),
            };
            self.network
                .push((micros + delay, upstream, message.clone()));
        }
    }

    fn disturb(&mut self, micros: u64) {
        if self.chance(300) {
            self.frozen_until = micros + self.rng.random_range(0..1_500_000);
        }
        // A successor acts as soon as the authority has lapsed, or at once after a release.
        let is_released = self.chance(500);
        if is_released || micros > self.authority_until + 100_000 {
            self.acting = (0..UPSTREAMS)
                .map(|_| Grantor::new(options(true)))
                .collect();
            self.fence += 1;
            self.clock = self.rng.random_range(9_950..=10_050);
            self.frozen_until = 0;
            self.authority_until = micros;
        }
        if micros >= self.frozen_until {
            self.authority_until = micros + self.rng.random_range(500_000..990_000);
        }
        let upstream = self.rng.random_range(0..UPSTREAMS);
        if self.chance(300) {
            self.upstreams[upstream].frozen_until = micros + self.rng.random_range(0..2_000_000);
        }
        if self.chance(300) {
            self.upstreams[upstream].cut_until = micros + self.rng.random_range(0..3_000_000);
        }
        if self.chance(400) {
            let boot = BootId(self.rng.random_range(10..u64::MAX));
            self.upstreams[upstream].held = HeldGrants::new(boot);
            self.upstreams[upstream].running.clear();
        }
    }

    fn move_slots(&mut self) {
        for slot in 0..SLOTS {
            let index = slot as usize;
            if self.owners[index].is_some() {
                if self.chance(150) {
                    self.owners[index] = None;
                }
            } else if self
                .acting
                .iter()
                .all(|grantor| !grantor.may_hold_slot(Slot(slot)))
            {
                self.owners[index] = Some(self.rng.random_range(0..UPSTREAMS));
                self.moves += 1;
            }
        }
    }

    fn wanted(&self, upstream: usize) -> Grants {
        let list: Vec<u32> = (0..SLOTS)
            .filter(|slot| self.owners[*slot as usize] == Some(upstream))
            .collect();
        slots(&list)
    }

    fn step(&mut self, micros: u64) {
        self.disturb(micros);
        self.deliver(micros);
        if micros < self.frozen_until {
            return;
        }
        let now = self.now(micros);
        let authority_until = Some(self.now(self.authority_until));
        for upstream in 0..UPSTREAMS {
            let wanted = self.wanted(upstream);
            let fence = FencingToken(self.fence);
            let order = self.acting[upstream].tick(now, authority_until, fence, &wanted);
            if let Some(order) = order {
                self.send(micros, upstream, &Message::Order(self.fence, order));
            }
        }
        self.move_slots();
        for upstream in 0..UPSTREAMS {
            let slot = self.rng.random_range(0..SLOTS);
            let pass = self.acting[upstream].authorise(now, target(slot));
            let server = &mut self.upstreams[upstream];
            if let Some((boot, fence)) = pass
                && micros >= server.frozen_until
            {
                let local = Instant::from_micros(micros * server.clock / 10_000);
                if server
                    .held
                    .begin_request(local, boot, fence, target(slot))
                    .is_ok()
                {
                    let end = micros + self.rng.random_range(0..50_000);
                    self.upstreams[upstream].running.push((end, target(slot)));
                }
            }
        }
    }

    fn deliver(&mut self, micros: u64) {
        for server in &mut self.upstreams {
            let (ended, running) = std::mem::take(&mut server.running)
                .into_iter()
                .partition(|(end, _)| *end <= micros);
            server.running = running;
            for (_, target) in ended {
                server.held.end_request(target);
            }
        }
        let (due, later) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|(due, ..)| *due <= micros);
        self.network = later;
        for (due, upstream, message) in due {
            let server = &mut self.upstreams[upstream];
            match message {
                _ if micros < server.cut_until => {}
                Message::Order(fence, order) if micros < server.frozen_until => {
                    self.network
                        .push((due, upstream, Message::Order(fence, order)));
                }
                Message::Order(fence, order) => {
                    let local = Instant::from_micros(micros * server.clock / 10_000);
                    let reply = server.held.on_order(local, &order);
                    self.send(micros, upstream, &Message::Reply(fence, reply));
                }
                Message::Reply(fence, reply) if micros < self.frozen_until => {
                    self.network
                        .push((due, upstream, Message::Reply(fence, reply)));
                }
                Message::Reply(fence, reply) => {
                    if fence == self.fence {
                        let now = self.now(micros);
                        self.acting[upstream].on_reply(now, &reply);
                    }
                }
            }
        }
    }

    fn check(&self, micros: u64) {
        for slot in 0..SLOTS {
            let owners: Vec<usize> = (0..UPSTREAMS)
                .filter(|upstream| {
                    let server = &self.upstreams[*upstream];
                    let local = Instant::from_micros(micros * server.clock / 10_000);
                    server.held.owns(local, target(slot))
                })
                .collect();
            assert!(
                owners.len() <= 1,
                "slot {slot} is owned by upstreams {owners:?} at {micros} us"
            );
        }
    }
}

/// Guards against two owners of a slot through lost, late and duplicated messages, drifting clocks, frozen and restarted
/// upstreams, frozen grantors, and successors that know nothing of the earlier grants.
#[test]
fn no_slot_has_two_owners() {
    fn property(seed: u64) -> bool {
        println!("seed {seed}");
        let mut world = World::new(seed);
        for step in 0..8_000 {
            world.step(step * 5_000);
            world.check(step * 5_000);
        }
        // A run without moves would prove nothing.
        assert!(world.moves >= 10, "only {} moves", world.moves);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 11))
        .tests(60)
        .quickcheck(property as fn(u64) -> bool);
}
