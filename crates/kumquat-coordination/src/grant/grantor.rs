//! Grants slots to one upstream from the dispatching VM and tracks when the upstream has released them.

use std::time::Duration;

use kumquat_state::clock::{self, Instant};
use kumquat_state::ident::{FencingToken, Request, Slot};

use super::{BootId, Grants, LIFETIME, Order, RENEW_INTERVAL, Rejection, Reply, Target};

/// Time after which an unanswered order counts as lost.
const ORDER_TIMEOUT: Duration = Duration::from_millis(100);

/// Time between orders while the upstream finishes requests of released slots; a planned move waits for them.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time before the next order after one could not be delivered.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Properties of the upstream of a grantor.
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
    predecessor_until: Option<Instant>,
    may_have_predecessor_grants: bool,
    authority_until: Option<Instant>,
    fencing_token: FencingToken,
    /// Lowest token that the upstream accepts, as far as its replies have shown.
    min_fencing_token: FencingToken,
    wanted: Grants,
    /// Latest reading of the upstream's clock.
    clock_reading: Option<ClockReading>,
    /// Orders that may be in force or in flight.
    sent_orders: Vec<SentOrder>,
    /// Sequence number of the order that is in force as far as the replies tell.
    accepted_sequence: Option<u64>,
    /// Order in flight and the time at which it counts as lost.
    in_flight: Option<(u64, Instant)>,
    next_sequence: u64,
    next_order: Instant,
    finishing: Vec<Target>,
    finishing_until: Instant,
    /// In-flight requests to an upstream that does not check grants.
    in_flight_requests: Vec<(Request, Target, Instant)>,
}

#[derive(Clone, Copy, Debug)]
struct ClockReading {
    boot_id: BootId,
    clock: Instant,
    /// The clock was read after this time and before `received_at`, both in the grantor's clock.
    sent_at: Instant,
    received_at: Instant,
}

#[derive(Clone, Debug)]
struct SentOrder {
    sequence: u64,
    fencing_token: FencingToken,
    grants: Grants,
    sent_at: Instant,
    /// Until then the grant is surely in force, if the upstream has accepted it.
    valid_until: Instant,
    /// From then on the grant has surely expired.
    expired_at: Instant,
}

impl Grantor {
    /// Creates the grantor of one upstream.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            predecessor_until: None,
            may_have_predecessor_grants: true,
            authority_until: None,
            fencing_token: FencingToken::default(),
            min_fencing_token: FencingToken::default(),
            wanted: Grants::default(),
            clock_reading: None,
            sent_orders: Vec::new(),
            accepted_sequence: None,
            in_flight: None,
            next_sequence: 0,
            next_order: Instant::ORIGIN,
            finishing: Vec::new(),
            finishing_until: Instant::ORIGIN,
            in_flight_requests: Vec::new(),
        }
    }

    /// Expires old state and returns the order to send, if one is due.
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
        if self.predecessor_until.is_none() {
            let longest = if self.options.checks_grants {
                LIFETIME
            } else {
                self.options.max_request_duration
            };
            self.predecessor_until = Some(now + clock::lengthened(longest));
            self.next_sequence = now.as_micros();
        }
        let is_changed = fencing_token != self.fencing_token || *wanted != self.wanted;
        if is_changed {
            self.fencing_token = fencing_token;
            self.wanted = wanted.clone();
            self.next_order = now;
        }
        if !self.options.checks_grants || self.in_flight.is_some() || now < self.next_order {
            return None;
        }
        Some(self.order(now, authority_until))
    }

    fn order(&mut self, now: Instant, authority_until: Instant) -> Order {
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        let fencing_token = self.fencing_token.max(self.min_fencing_token);
        self.in_flight = Some((sequence, now + ORDER_TIMEOUT));
        self.next_order = now + RENEW_INTERVAL;
        let Some(clock_reading) = self.clock_reading else {
            // The first order only asks for boot id and clock.
            self.sent_orders.push(SentOrder {
                sequence,
                fencing_token,
                grants: Grants::default(),
                sent_at: now,
                valid_until: now,
                expired_at: now + clock::lengthened(LIFETIME),
            });
            return Order {
                sequence,
                fencing_token,
                boot_id: None,
                grants: Grants::default(),
                expires: Instant::ORIGIN,
            };
        };

        // The upstream's clock showed at least `clock` at `received_at`, and gains at least the shortened time until the
        // authority ends; so the grant expires before the authority does.
        let authority = clock::shortened(clock_reading.received_at.until(authority_until));
        let lifetime = LIFETIME.min(authority);
        self.sent_orders.push(SentOrder {
            sequence,
            fencing_token,
            grants: self.wanted.clone(),
            sent_at: now,
            valid_until: clock_reading.sent_at + clock::shortened(lifetime),
            expired_at: clock_reading.received_at + clock::lengthened(lifetime),
        });
        Order {
            sequence,
            fencing_token,
            boot_id: Some(clock_reading.boot_id),
            grants: self.wanted.clone(),
            expires: clock_reading.clock + lifetime,
        }
    }

    /// Handles the upstream's reply to an order.
    pub fn on_reply(&mut self, now: Instant, reply: &Reply) {
        let Some(index) = self
            .sent_orders
            .iter()
            .position(|sent| sent.sequence == reply.sequence)
        else {
            return;
        };
        if self
            .in_flight
            .is_some_and(|(sequence, _)| sequence == reply.sequence)
        {
            self.in_flight = None;
        }
        let is_restarted = self
            .clock_reading
            .is_some_and(|clock_reading| clock_reading.boot_id != reply.boot_id);
        let is_first = self.clock_reading.is_none();
        self.clock_reading = Some(ClockReading {
            boot_id: reply.boot_id,
            clock: reply.clock,
            sent_at: self.sent_orders[index].sent_at,
            received_at: now,
        });

        if is_restarted || reply.rejection == Some(Rejection::ForeignBoot) {
            // The earlier run is over, and the present one rejects what was meant for it.
            self.sent_orders.clear();
            self.accepted_sequence = None;
            self.next_order = now;
        } else if reply.rejection.is_none() {
            // The upstream rejects all earlier orders from now on.
            self.sent_orders.drain(..index);
            self.accepted_sequence = Some(reply.sequence);
            self.may_have_predecessor_grants = false;
        } else if reply.rejection == Some(Rejection::LowerFence) {
            // The order of a higher fencing token has replaced whatever this grantor had granted.
            self.sent_orders.clear();
            self.accepted_sequence = None;
            // A successor that took over with an older ledger has a lower token than its predecessor used. Being the only
            // VM that may act, it goes on above that; the next holder list has a higher token than both.
            self.min_fencing_token = self
                .min_fencing_token
                .max(FencingToken(reply.fencing_token.0.saturating_add(1)));
            self.next_order = now + RETRY_DELAY;
        } else {
            self.sent_orders.remove(index);
            self.next_order = now;
        }
        if is_first {
            self.next_order = now;
        }
        self.finishing.clone_from(&reply.finishing);
        if !self.finishing.is_empty() {
            self.finishing_until = now + clock::lengthened(self.options.max_request_duration);
            self.next_order = self.next_order.min(now + POLL_INTERVAL);
        }
    }

    /// Records that the order with this sequence number could not be sent or answered.
    ///
    /// The upstream may have accepted the order all the same, so its grants still count until they expire.
    pub fn on_failure(&mut self, now: Instant, sequence: u64) {
        if self
            .in_flight
            .is_some_and(|(in_flight, _)| in_flight == sequence)
        {
            self.in_flight = None;
            self.next_order = now + RETRY_DELAY;
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
            .sent_orders
            .iter()
            .find(|sent| Some(sent.sequence) == self.accepted_sequence)?;
        let is_valid = now < sent.valid_until && sent.grants.covers(target);
        let boot_id = self.clock_reading?.boot_id;
        is_valid.then_some((boot_id, sent.fencing_token))
    }

    /// Records that a request was sent; needed for upstreams that do not check grants.
    ///
    /// `deadline` is the time at which the request has surely ended, with the drift bound of [`clock`] applied.
    pub fn begin_request(&mut self, request: Request, target: Target, deadline: Instant) {
        if !self.options.checks_grants {
            self.in_flight_requests.push((request, target, deadline));
        }
    }

    /// Records that a request has ended.
    pub fn end_request(&mut self, request: Request) {
        self.in_flight_requests
            .retain(|(running, ..)| *running != request);
    }

    /// Returns whether the upstream may still own the slot or run requests for it, as of the latest tick.
    #[must_use]
    pub fn may_hold_slot(&self, slot: Slot) -> bool {
        if self.options.checks_grants {
            self.may_have_predecessor_grants
                || self
                    .sent_orders
                    .iter()
                    .any(|sent| sent.grants.has_slot(slot))
                || self.finishing.iter().any(|target| target.slot == slot)
        } else {
            self.may_have_predecessor_grants
                || self.wanted.has_slot(slot)
                || self
                    .in_flight_requests
                    .iter()
                    .any(|(_, target, _)| target.slot == slot)
        }
    }

    /// Returns whether the upstream may still own the key or run requests for it, as of the latest tick.
    #[must_use]
    pub fn may_hold_key(&self, target: Target) -> bool {
        if self.options.checks_grants {
            self.may_have_predecessor_grants
                || self
                    .sent_orders
                    .iter()
                    .any(|sent| sent.grants.covers(target))
                || self.finishing.contains(&target)
        } else {
            self.may_have_predecessor_grants
                || self.wanted.covers(target)
                || self
                    .in_flight_requests
                    .iter()
                    .any(|(_, other, _)| *other == target)
        }
    }

    /// Returns the time from which on the upstream holds nothing if it is not heard again and nothing more is sent.
    #[must_use]
    pub fn expires_at(&self) -> Option<Instant> {
        let predecessor = self
            .predecessor_until
            .filter(|_| self.may_have_predecessor_grants);
        let finishing = (!self.finishing.is_empty()).then_some(self.finishing_until);
        let grants = self.sent_orders.iter().map(|sent| sent.expired_at);
        let requests = self
            .in_flight_requests
            .iter()
            .map(|(.., deadline)| *deadline);
        grants
            .chain(requests)
            .chain(predecessor)
            .chain(finishing)
            .max()
    }

    /// Returns the run of the upstream, if it is known.
    #[must_use]
    pub fn boot_id(&self) -> Option<BootId> {
        self.clock_reading
            .map(|clock_reading| clock_reading.boot_id)
    }

    /// Returns when the upstream last replied.
    #[must_use]
    pub fn last_reply_at(&self) -> Option<Instant> {
        self.clock_reading
            .map(|clock_reading| clock_reading.received_at)
    }

    fn expire(&mut self, now: Instant) {
        if self.predecessor_until.is_some_and(|until| until <= now) {
            self.may_have_predecessor_grants = false;
        }
        self.sent_orders.retain(|sent| now < sent.expired_at);
        self.in_flight_requests
            .retain(|(.., deadline)| now < *deadline);
        if self.finishing_until <= now {
            self.finishing.clear();
        }
        if self.in_flight.is_some_and(|(_, until)| until <= now) {
            self.in_flight = None;
            self.next_order = self.next_order.min(now);
        }
    }
}
