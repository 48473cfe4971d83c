//! The dispatching VM's side: grants slots to one upstream and knows when they are free again.

use std::time::Duration;

use kumquat_state::clock::{self, Instant};
use kumquat_state::ident::{FencingToken, Request, Slot};

use super::{BootId, Grants, LIFETIME, Order, RENEW_INTERVAL, Rejection, Reply, Target};

/// Time after which an unanswered order counts as lost.
const ORDER_TIMEOUT: Duration = Duration::from_millis(100);

/// Time between orders while the upstream finishes requests of released slots; a planned move waits for them.
const POLL_EVERY: Duration = Duration::from_millis(10);

/// Time before the next order after one could not be delivered.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// What a grantor has to know about its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Whether the upstream checks orders and requests with a [`super::HeldGrants`].
    pub checks_grants: bool,
    /// Longest deadline of a request that may run on the upstream.
    pub max_request_duration: Duration,
}

/// Grants slots to one upstream.
///
/// For an upstream that does not check grants it sends nothing; a slot is then held until all requests that were sent
/// for it have ended or passed their deadline.
#[derive(Clone, Debug)]
pub struct Grantor {
    options: Options,
    /// Until then, grants or requests of an earlier holder may be in force; none before the first tick with authority.
    unknown_until: Option<Instant>,
    is_unknown: bool,
    authority_until: Option<Instant>,
    fencing_token: FencingToken,
    /// Lowest token that the upstream accepts, as far as it has told.
    floor: FencingToken,
    wanted: Grants,
    /// Latest reading of the upstream's clock.
    reading: Option<Reading>,
    /// Orders that may be in force or under way.
    sent: Vec<Sent>,
    /// Sequence number of the order that is in force as far as the replies tell.
    accepted: Option<u64>,
    /// Order under way and the time at which it counts as lost.
    flight: Option<(u64, Instant)>,
    next_sequence: u64,
    next_order: Instant,
    finishing: Vec<Target>,
    finishing_until: Instant,
    /// Requests under way to an upstream that does not check grants.
    requests: Vec<(Request, Target, Instant)>,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    boot_id: BootId,
    clock: Instant,
    /// The clock was read after this time and before `received`, both in the grantor's clock.
    asked: Instant,
    received: Instant,
}

#[derive(Clone, Debug)]
struct Sent {
    sequence: u64,
    fencing_token: FencingToken,
    grants: Grants,
    at: Instant,
    /// Until then the grant is surely in force, if the upstream has accepted it.
    valid_until: Instant,
    /// From then on the grant has surely expired.
    lapses: Instant,
}

impl Grantor {
    /// Creates the grantor of one upstream.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            unknown_until: None,
            is_unknown: true,
            authority_until: None,
            fencing_token: FencingToken::default(),
            floor: FencingToken::default(),
            wanted: Grants::default(),
            reading: None,
            sent: Vec::new(),
            accepted: None,
            flight: None,
            next_sequence: 0,
            next_order: Instant::ORIGIN,
            finishing: Vec::new(),
            finishing_until: Instant::ORIGIN,
            requests: Vec::new(),
        }
    }

    /// Handles the passing of time and returns the order to send, if one is due.
    ///
    /// `authority_until` is the time until which this VM may act for the role, `wanted` what the ledger assigns to the
    /// upstream. Without authority nothing is sent.
    pub fn tick(
        &mut self,
        now: Instant,
        authority_until: Option<Instant>,
        fencing_token: FencingToken,
        wanted: &Grants,
    ) -> Option<Order> {
        self.authority_until = authority_until.filter(|until| now < *until);
        self.expire(now);
        let authority_until = self.authority_until?;

        // An earlier holder that has released the role may have granted until just now; one that lost its authority has
        // not, but the grantor can't tell the two cases apart.
        if self.unknown_until.is_none() {
            let longest = if self.options.checks_grants {
                LIFETIME
            } else {
                self.options.max_request_duration
            };
            self.unknown_until = Some(now + clock::lengthened(longest));
            self.next_sequence = now.as_micros();
        }
        let is_changed = fencing_token != self.fencing_token || *wanted != self.wanted;
        if is_changed {
            self.fencing_token = fencing_token;
            self.wanted = wanted.clone();
            self.next_order = now;
        }
        if !self.options.checks_grants || self.flight.is_some() || now < self.next_order {
            return None;
        }
        Some(self.order(now, authority_until))
    }

    fn order(&mut self, now: Instant, authority_until: Instant) -> Order {
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        let fencing_token = self.fencing_token.max(self.floor);
        self.flight = Some((sequence, now + ORDER_TIMEOUT));
        self.next_order = now + RENEW_INTERVAL;
        let Some(reading) = self.reading else {
            // The first order only asks for boot id and clock.
            self.sent.push(Sent {
                sequence,
                fencing_token,
                grants: Grants::default(),
                at: now,
                valid_until: now,
                lapses: now + clock::lengthened(LIFETIME),
            });
            return Order {
                sequence,
                fencing_token,
                boot_id: None,
                grants: Grants::default(),
                expires: Instant::ORIGIN,
            };
        };

        // The upstream's clock showed at least `clock` at `received`, and gains at least the shortened time until the
        // authority ends; so the grant expires before the authority does.
        let authority = clock::shortened(reading.received.until(authority_until));
        let lifetime = LIFETIME.min(authority);
        self.sent.push(Sent {
            sequence,
            fencing_token,
            grants: self.wanted.clone(),
            at: now,
            valid_until: reading.asked + clock::shortened(lifetime),
            lapses: reading.received + clock::lengthened(lifetime),
        });
        Order {
            sequence,
            fencing_token,
            boot_id: Some(reading.boot_id),
            grants: self.wanted.clone(),
            expires: reading.clock + lifetime,
        }
    }

    /// Handles the upstream's reply to an order.
    pub fn on_reply(&mut self, now: Instant, reply: &Reply) {
        let Some(index) = self
            .sent
            .iter()
            .position(|sent| sent.sequence == reply.sequence)
        else {
            return;
        };
        if self
            .flight
            .is_some_and(|(sequence, _)| sequence == reply.sequence)
        {
            self.flight = None;
        }
        let is_restarted = self
            .reading
            .is_some_and(|reading| reading.boot_id != reply.boot_id);
        let is_first = self.reading.is_none();
        self.reading = Some(Reading {
            boot_id: reply.boot_id,
            clock: reply.clock,
            asked: self.sent[index].at,
            received: now,
        });

        if is_restarted || reply.rejection == Some(Rejection::ForeignBoot) {
            // The earlier run is over, and the present one rejects what was meant for it.
            self.sent.clear();
            self.accepted = None;
            self.next_order = now;
        } else if reply.rejection.is_none() {
            // The upstream rejects all earlier orders from now on.
            self.sent.drain(..index);
            self.accepted = Some(reply.sequence);
            self.is_unknown = false;
        } else if reply.rejection == Some(Rejection::LowerFence) {
            // The order of a higher fencing token has replaced whatever this grantor had granted.
            self.sent.clear();
            self.accepted = None;
            // A successor that took over with an older ledger has a lower token than its predecessor used. Being the only
            // VM that may act, it goes on above that; the next holder list has a higher token than both.
            self.floor = self
                .floor
                .max(FencingToken(reply.fencing_token.0.saturating_add(1)));
            self.next_order = now + RETRY_AFTER;
        } else {
            self.sent.remove(index);
            self.next_order = now;
        }
        if is_first {
            self.next_order = now;
        }
        self.finishing.clone_from(&reply.finishing);
        if !self.finishing.is_empty() {
            self.finishing_until = now + clock::lengthened(self.options.max_request_duration);
            self.next_order = self.next_order.min(now + POLL_EVERY);
        }
    }

    /// Takes note that the order with this sequence number could not be sent or answered.
    ///
    /// The upstream may have taken the order all the same, so its grants still count until they lapse.
    pub fn on_failure(&mut self, now: Instant, sequence: u64) {
        if self
            .flight
            .is_some_and(|(under_way, _)| under_way == sequence)
        {
            self.flight = None;
            self.next_order = now + RETRY_AFTER;
        }
    }

    /// Returns whether a request for the target may be sent now, and under which boot id and fencing token.
    #[must_use]
    pub fn authorise(&self, now: Instant, target: Target) -> Option<(BootId, FencingToken)> {
        self.authority_until.filter(|until| now < *until)?;
        if !self.wanted.covers(target) {
            return None;
        }
        if !self.options.checks_grants {
            return Some((BootId::default(), self.fencing_token));
        }
        let sent = self
            .sent
            .iter()
            .find(|sent| Some(sent.sequence) == self.accepted)?;
        let is_valid = now < sent.valid_until && sent.grants.covers(target);
        let boot_id = self.reading?.boot_id;
        is_valid.then_some((boot_id, sent.fencing_token))
    }

    /// Takes note that a request was sent; needed for upstreams that do not check grants.
    ///
    /// `deadline` is the time at which the request has surely ended, with the drift bound of [`clock`] applied.
    pub fn begin_request(&mut self, request: Request, target: Target, deadline: Instant) {
        if !self.options.checks_grants {
            self.requests.push((request, target, deadline));
        }
    }

    /// Takes note that a request has ended.
    pub fn end_request(&mut self, request: Request) {
        self.requests.retain(|(running, ..)| *running != request);
    }

    /// Returns whether the upstream may still own the slot or run requests for it, as of the latest tick.
    #[must_use]
    pub fn may_hold_slot(&self, slot: Slot) -> bool {
        if self.options.checks_grants {
            self.is_unknown
                || self.sent.iter().any(|sent| sent.grants.has_slot(slot))
                || self.finishing.iter().any(|target| target.slot == slot)
        } else {
            self.is_unknown
                || self.wanted.has_slot(slot)
                || self
                    .requests
                    .iter()
                    .any(|(_, target, _)| target.slot == slot)
        }
    }

    /// Returns whether the upstream may still own the key or run requests for it, as of the latest tick.
    #[must_use]
    pub fn may_hold_key(&self, target: Target) -> bool {
        if self.options.checks_grants {
            self.is_unknown
                || self.sent.iter().any(|sent| sent.grants.covers(target))
                || self.finishing.contains(&target)
        } else {
            self.is_unknown
                || self.wanted.covers(target)
                || self.requests.iter().any(|(_, other, _)| *other == target)
        }
    }

    /// Returns the time from which on the upstream holds nothing if it is not heard again and nothing more is sent.
    #[must_use]
    pub fn expires_at(&self) -> Option<Instant> {
        let unknown = self.unknown_until.filter(|_| self.is_unknown);
        let finishing = (!self.finishing.is_empty()).then_some(self.finishing_until);
        let grants = self.sent.iter().map(|sent| sent.lapses);
        let requests = self.requests.iter().map(|(.., deadline)| *deadline);
        grants.chain(requests).chain(unknown).chain(finishing).max()
    }

    /// Returns the run of the upstream, if it is known.
    #[must_use]
    pub fn boot_id(&self) -> Option<BootId> {
        self.reading.map(|reading| reading.boot_id)
    }

    /// Returns when the upstream last replied.
    #[must_use]
    pub fn last_reply_at(&self) -> Option<Instant> {
        self.reading.map(|reading| reading.received)
    }

    fn expire(&mut self, now: Instant) {
        if self.unknown_until.is_some_and(|until| until <= now) {
            self.is_unknown = false;
        }
        self.sent.retain(|sent| now < sent.lapses);
        self.requests.retain(|(.., deadline)| now < *deadline);
        if self.finishing_until <= now {
            self.finishing.clear();
        }
        if self.flight.is_some_and(|(_, until)| until <= now) {
            self.flight = None;
            self.next_order = self.next_order.min(now);
        }
    }
}
