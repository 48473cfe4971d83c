//! The `canonical` module provides the hash by which the model checker identifies states that it has visited.

use std::hash::{Hash, Hasher};

use super::Authority;

impl Hash for Authority {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // The counters don't affect the protocol; if they were hashed, equivalent states would look different.
        self.me.hash(state);
        self.membership.version.hash(state);
        for member in &self.membership.members {
            member.vm.hash(state);
            member.incarnation.hash(state);
        }
        self.membership_applied_at.hash(state);
        self.bundle_version.hash(state);
        self.ledger_revision.hash(state);
        self.configured_peers.hash(state);
        self.last_event.hash(state);
        self.resumed_at.hash(state);
        self.next_heartbeat.hash(state);
        self.sequence.hash(state);
        self.sent_heartbeats.hash(state);
        self.peers.hash(state);
        self.pledges.hash(state);
        self.campaigns.hash(state);
        self.fenced.hash(state);
        self.evicted.hash(state);
        self.is_authorised.hash(state);
    }
}
