//! The `notices` module provides what upstreams announce of their shutdown and of back-off times, as the choice of
//! upstreams observes it.

use std::time::Duration;

use kumquat_state::clock::Instant;

use super::UpstreamTable;
use super::row::instance_id;

/// Maximum number of upstreams without a row whose announced shutdown is remembered.
const MAX_REMEMBERED_DRAINS: usize = 256;

impl UpstreamTable {
    /// Records that an incarnation has announced its shutdown, so that it gets no new requests.
    ///
    /// It is remembered for an incarnation that is not in the table too. Returns false if it was known.
    pub fn mark_draining(&mut self, name: &str, incarnation: u64) -> bool {
        if let Some(row) = self.incarnation_row_mut(name, incarnation) {
            return !std::mem::replace(&mut row.is_drain_announced, true);
        }
        let id = instance_id(name, incarnation);
        let is_new = !self.removed_draining.contains(&id);
        if is_new {
            self.remember_drain(id);
        }
        is_new
    }

    /// Remembers that an upstream without a row has announced its shutdown, in case its registry entry returns.
    pub(super) fn remember_drain(&mut self, id: u32) {
        self.removed_draining.push_back(id);
        if self.removed_draining.len() > MAX_REMEMBERED_DRAINS {
            self.removed_draining.pop_front();
        }
    }

    /// Returns the short ids of the upstreams that have announced their shutdown, for the report to the peers.
    #[must_use]
    pub fn draining_ids(&self) -> Vec<u32> {
        let draining = self.rows.iter().filter(|row| row.is_drain_announced);
        draining.map(|row| row.id).collect()
    }

    /// Sends no requests to an incarnation until a time that it has asked for; a time before the end of the present
    /// back-off is ignored.
    pub fn set_backoff(&mut self, name: &str, incarnation: u64, until: Instant) {
        if let Some(row) = self.incarnation_row_mut(name, incarnation) {
            row.backoff_until = row.backoff_until.max(until);
        }
    }

    /// Returns the end of the back-off that an incarnation has asked for; it may have passed, and is
    /// [`Instant::ORIGIN`] if there was none.
    #[must_use]
    pub fn backoff_until(&self, name: &str, incarnation: u64) -> Instant {
        self.incarnation_row(name, incarnation)
            .map_or(Instant::ORIGIN, |row| row.backoff_until)
    }

    /// Returns the time until the first eligible upstream of a service ends its back-off; zero if one is in none or
    /// none is eligible.
    #[must_use]
    pub fn remaining_backoff(&self, now: Instant, service: &str) -> Duration {
        let rows = self.rows.iter();
        let eligible =
            rows.filter(|row| &*row.upstream.service == service && self.is_eligible(row));
        let remaining = eligible.map(|row| now.until(row.backoff_until));
        remaining.min().unwrap_or_default()
    }
}
