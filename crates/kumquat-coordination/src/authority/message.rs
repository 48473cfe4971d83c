//! The `message` module provides what VMs of a cell tell each other about liveness and fencing.
//!
//! These are plain values; the protocol layer converts them to and from its wire types.

use std::time::Duration;

use kumquat_state::ident::{Incarnation, Revision, Version, Vm};
use kumquat_state::ledger::Holder;

/// Periodic message that serves as ping and as acknowledgement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Heartbeat {
    /// Sender.
    pub from: Holder,
    /// Number of the sender's heartbeat round; grows within an incarnation.
    pub sequence: u64,
    /// Promise of the sender to the receiver, absent if the sender refuses it.
    pub echo: Option<Echo>,
    /// Membership version that the sender applies.
    pub membership: Version,
    /// Bundle version that the sender applies.
    pub bundle: Version,
    /// Ledger revision that the sender applies.
    pub ledger: Revision,
    /// Incarnations against which the sender has pledged.
    pub pledges: Vec<Holder>,
}

/// Acknowledgement of the highest heartbeat received from one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Echo {
    /// Incarnation whose heartbeat is acknowledged.
    pub incarnation: Incarnation,
    /// Sequence number of that heartbeat.
    pub sequence: u64,
}

/// Question whether the receiver agrees to fence an incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FenceRequest {
    /// VM that campaigns.
    pub from: Holder,
    /// Incarnation to be fenced.
    pub target: Holder,
    /// Membership version of the sender.
    pub membership: Version,
    /// Whether an agreement is a pledge; otherwise this is the pre-vote.
    pub binding: bool,
}

/// Answer to a [`FenceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FenceReply {
    /// Voter.
    pub from: Holder,
    /// Incarnation to be fenced.
    pub target: Holder,
    /// Membership version of the voter.
    pub membership: Version,
    /// Whether the request was binding.
    pub binding: bool,
    /// Decision of the voter.
    pub verdict: Verdict,
}

/// Decision of a voter on a [`FenceRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// The voter agrees.
    Agreed {
        /// Time left on the voter's last promise to the target, in the voter's clock.
        remaining: Duration,
    },
    /// The voter disagrees, for example because it still hears the target.
    Refused,
}

/// Any message between two [`Authority`](super::Authority) machines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// See [`Heartbeat`].
    Heartbeat(Heartbeat),
    /// See [`FenceRequest`].
    FenceRequest(FenceRequest),
    /// See [`FenceReply`].
    FenceReply(FenceReply),
}

/// What the caller has to do, or may record, after an event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// Send a message to a VM; losing it is allowed.
    Send {
        /// Receiver.
        to: Vm,
        /// Message.
        message: Message,
    },
    /// The incarnation is fenced, as established by this VM.
    Fenced(Holder),
    /// A member has pledged against this VM or the membership dropped it: hand over and rejoin as a new incarnation.
    Evicted,
    /// Authority has lapsed; for logs and audit.
    AuthorityLost,
    /// Authority has been obtained; for logs and audit.
    AuthorityGained,
}
