//! The `canonical` module provides the hash by which the model checker recognises a state.

use std::hash::{Hash, Hasher};

use super::Authority;

impl Hash for Authority {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // The counters have no effect on the protocol; hashing them would tell equal states apart.
        self.me.hash(state);
        self.membership.version.hash(state);
        for member in &self.membership.members {
            member.vm.hash(state);
            member.incarnation.hash(state);
        }
        self.applied.hash(state);
        self.bundle.hash(state);
        self.ledger.hash(state);
        self.contacts.hash(state);
        self.latest.hash(state);
        self.resumed.hash(state);
        self.next.hash(state);
        self.sequence.hash(state);
        self.sent.hash(state);
        self.peers.hash(state);
        self.pledges.hash(state);
        self.campaigns.hash(state);
        self.fenced.hash(state);
        self.evicted.hash(state);
        self.acting.hash(state);
    }
}
