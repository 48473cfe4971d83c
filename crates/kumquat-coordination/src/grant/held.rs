//! Checks orders and requests in the upstream.

use kumquat_state::clock::Instant;
use kumquat_state::ident::FencingToken;

use super::{BootId, Grants, Order, Reply, Target};

/// Why an upstream rejects an order or a request. A rejected request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// A holder with a higher fencing token has given orders.
    #[error("the fencing token is lower than one seen before")]
    LowerFence,
    /// The order or request was meant for an earlier run of the upstream.
    #[error("the boot id is that of another run")]
    ForeignBoot,
    /// The grant has expired.
    #[error("the grant has expired")]
    Expired,
    /// A later order under the same fencing token has been handled.
    #[error("a later order has been handled")]
    Overtaken,
    /// The slot or key is not granted under this fencing token.
    #[error("the slot or key is not granted")]
    NotGranted,
}

/// Grants and running requests of one upstream.
///
/// A server calls [`HeldGrants::begin_request`] when a request arrives, and [`HeldGrants::check`] again right before a
/// durable effect, because the grant may have expired while the request ran.
#[derive(Clone, Debug)]
pub struct HeldGrants {
    boot_id: BootId,
    fencing_token: FencingToken,
    sequence: u64,
    grants: Grants,
    expires: Instant,
    /// Running requests per target, sorted.
    running: Vec<(Target, u32)>,
}

impl HeldGrants {
    /// Creates the state of an upstream that has just started: it holds nothing.
    #[must_use]
    pub fn new(boot_id: BootId) -> Self {
        Self {
            boot_id,
            fencing_token: FencingToken::default(),
            sequence: 0,
            grants: Grants::default(),
            expires: Instant::ORIGIN,
            running: Vec::new(),
        }
    }

    /// Handles an order and returns the reply to it. A rejected order changes nothing.
    pub fn on_order(&mut self, now: Instant, order: &Order) -> Reply {
        let rejection = self.rejection_of(now, order);
        if rejection.is_none() {
            self.fencing_token = order.fencing_token;
            self.sequence = order.sequence;
            self.grants = if order.boot_id.is_some() {
                order.grants.clone()
            } else {
                Grants::default()
            };
            self.expires = order.expires;
        }
        let finishing = self
            .running
            .iter()
            .map(|(target, _)| *target)
            .filter(|target| !self.grants.covers(*target))
            .collect();
        Reply {
            sequence: order.sequence,
            boot_id: self.boot_id,
            clock: now,
            fencing_token: self.fencing_token,
            rejection,
            finishing,
        }
    }

    fn rejection_of(&self, now: Instant, order: &Order) -> Option<Rejection> {
        if order.fencing_token < self.fencing_token {
            return Some(Rejection::LowerFence);
        }
        if order.boot_id.is_some_and(|boot_id| boot_id != self.boot_id) {
            return Some(Rejection::ForeignBoot);
        }
        if order.fencing_token == self.fencing_token && order.sequence < self.sequence {
            return Some(Rejection::Overtaken);
        }
        if order.fencing_token == self.fencing_token && order.sequence == self.sequence {
            // The order that is in force has arrived again; a rejection would tell the grantor that it is not in force.
            return None;
        }
        (!order.grants.is_empty() && order.expires <= now).then_some(Rejection::Expired)
    }

    /// Checks whether a request may run or take effect now.
    ///
    /// # Errors
    ///
    /// Returns why the request has to be rejected.
    pub fn check(
        &self,
        now: Instant,
        boot_id: BootId,
        fencing_token: FencingToken,
        target: Target,
    ) -> Result<(), Rejection> {
        if fencing_token < self.fencing_token {
            return Err(Rejection::LowerFence);
        }
        if boot_id != self.boot_id {
            return Err(Rejection::ForeignBoot);
        }
        // A higher token has granted nothing yet: the grants of the lower one are not its own.
        if fencing_token > self.fencing_token || !self.grants.covers(target) {
            return Err(Rejection::NotGranted);
        }
        if self.expires <= now {
            return Err(Rejection::Expired);
        }
        Ok(())
    }

    /// Checks a request that arrives and counts it as running.
    ///
    /// # Errors
    ///
    /// Returns why the request was rejected; it is then not counted.
    pub fn begin_request(
        &mut self,
        now: Instant,
        boot_id: BootId,
        fencing_token: FencingToken,
        target: Target,
    ) -> Result<(), Rejection> {
        self.check(now, boot_id, fencing_token, target)?;
        match self
            .running
            .binary_search_by_key(&target, |(running, _)| *running)
        {
            Ok(index) => self.running[index].1 += 1,
            Err(index) => self.running.insert(index, (target, 1)),
        }
        Ok(())
    }

    /// Records that a running request has ended.
    pub fn end_request(&mut self, target: Target) {
        if let Ok(index) = self
            .running
            .binary_search_by_key(&target, |(running, _)| *running)
        {
            self.running[index].1 -= 1;
            if self.running[index].1 == 0 {
                self.running.remove(index);
            }
        }
    }

    /// Returns whether the target is granted now, under any fencing token.
    #[must_use]
    pub fn owns(&self, now: Instant, target: Target) -> bool {
        now < self.expires && self.grants.covers(target)
    }

    /// Returns the run of this upstream.
    #[must_use]
    pub fn boot_id(&self) -> BootId {
        self.boot_id
    }
}
