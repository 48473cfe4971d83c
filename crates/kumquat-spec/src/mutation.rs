//! The `mutation` module provides deliberate faults, which show that the specifications can fail.

/// A rule of the protocol that a specification leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, clap::ValueEnum)]
pub enum Mutation {
    /// A successor acts once a majority has pledged, without waiting for the remaining promises.
    SkipWait,
    /// A restarted VM keeps its incarnation and votes at once.
    RestartedVotes,
    /// A successor does not wait for the fences of its predecessors.
    IgnoreFence,
    /// An echo counts from its arrival in place of the time at which the heartbeat was sent.
    EchoFromArrival,
    /// Membership v+1 is written without a confirmation of v.
    SkipConfirmation,
    /// A member's incarnation is replaced in a single write.
    SwapIncarnation,
    /// The holder list is reordered before the releases.
    SkipRelease,
    /// The epoch of a role does not grow with a change of its holders.
    SameEpoch,
    /// The coordinator overwrites the ledger in place of a compare-and-swap.
    BlindPut,
    /// The coordinator acknowledges a write whose answer was lost without reading the head again.
    AcknowledgeUnknown,
    /// The coordinator writes a plan again, on whatever it reads, after the answer was lost.
    ReapplyPlan,
    /// An operator overwrites the bundle in place of a compare-and-swap.
    BlindBundle,
    /// An operator takes its bundle for accepted when the answer was lost.
    ClaimBundle,
    /// An operator applies its bundle again, on whatever it reads, after the answer was lost.
    ReapplyBundle,
    /// A slot moves from one owner to the next in a single write.
    SingleWrite,
    /// The second write of a move does not wait for the successors.
    IgnoreSuccessors,
    /// The second write of a move waits for the successors' ledger revisions, but not for the end of their grants.
    RevisionOnly,
    /// The second write of a move does not wait for the first holder.
    IgnoreHolder,
    /// An upstream takes a grant that is late and expired.
    TakeExpired,
    /// An upstream takes a grant that was sent before the release which it has answered.
    TakeOvertaken,
}
