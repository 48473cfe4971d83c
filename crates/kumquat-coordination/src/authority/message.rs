//! The `message` module provides the messages by which the VMs of a cell exchange liveness and fencing, and the actions
//! that result.
//!
//! The types have no encoding of their own; `kumquat-protocol` converts them to and from wire messages.

use std::time::Duration;

use kumquat_state::ident::{Incarnation, Revision, Version, Vm};
use kumquat_state::ledger::Holder;

/// Periodic message that shows that its sender is alive and acknowledges the receiver's latest heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Heartbeat {
    /// VM and incarnation that sent the heartbeat.
    pub from: Holder,
    /// Number of the sender's heartbeat round; starts at 1 and increases within an incarnation.
    pub sequence: u64,
    /// Promise of the sender to the receiver; absent if the sender has not heard the receiver or must not promise.
    pub echo: Option<Echo>,
    /// Membership version that the sender applies.
    pub membership: Version,
    /// Bundle version that the sender applies.
    pub bundle: Version,
    /// Ledger revision that the sender applies.
    pub ledger: Revision,
    /// Incarnations against which the sender has pledged; at most [`MAX_PLEDGES`](super::MAX_PLEDGES) are processed.
    pub pledges: Vec<Holder>,
}

/// Acknowledgement of the latest heartbeat received from one incarnation, by which the promise to it is renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Echo {
    /// Incarnation whose heartbeat is acknowledged.
    pub incarnation: Incarnation,
    /// Sequence number of that heartbeat.
    pub sequence: u64,
}

/// Request for the receiver's agreement to fence an incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FenceRequest {
    /// VM that runs the campaign.
    pub from: Holder,
    /// Incarnation to be fenced.
    pub target: Holder,
    /// Membership version of the sender.
    pub membership: Version,
    /// Whether agreeing is a pledge; if not, the request belongs to the pre-vote and agreeing commits to nothing.
    pub binding: bool,
}

/// Answer to a [`FenceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FenceReply {
    /// Member that voted.
    pub from: Holder,
    /// Incarnation to be fenced.
    pub target: Holder,
    /// Membership version of the voter.
    pub membership: Version,
    /// Whether the request was binding, so that an agreement is a pledge.
    pub binding: bool,
    /// Decision of the voter.
    pub verdict: Verdict,
}

/// Decision of a voter on a [`FenceRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// The voter agrees.
    Agreed {
        /// Time left on the voter's last promise to the target, measured by the voter's clock.
        remaining: Duration,
    },
    /// The voter disagrees, for example because it still receives heartbeats from the target.
    Refused,
}

/// Any message between two [`Authority`](super::Authority) machines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// Sent in each heartbeat round to members and configured peers.
    Heartbeat(Heartbeat),
    /// Sent by a campaigning VM to the members that have not agreed yet.
    FenceRequest(FenceRequest),
    /// Sent in answer to a fence request.
    FenceReply(FenceReply),
}

/// Result of an event that the caller has to carry out or may record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// Send a message to a VM; the protocol tolerates its loss, delay or duplication.
    Send {
        /// VM to which the message is sent, whatever its incarnation.
        to: Vm,
        /// Content of the message.
        message: Message,
    },
    /// This VM has established that the incarnation is fenced: it never has authority again.
    Fenced(Holder),
    /// A VM has pledged against this one, or the membership no longer contains it: hand over and rejoin as a new
    /// incarnation. Reported at most once.
    Evicted,
    /// Authority has expired; informational, for logs and audit.
    AuthorityLost,
    /// Authority has been gained; informational, for logs and audit.
    AuthorityGained,
}
