//! The `wire` module provides the messages between processes, apart from the types that the other layers work with.
//!
//! Field names are short because they travel with every message; unknown fields are ignored, so that a later version can
//! add some while VMs of both versions run side by side.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use kumquat_state::bundle::PriorityClass;
use kumquat_state::{ident, ledger};

/// Bytes of a body that may be on their way per stream without the receiver's consent.
pub const WINDOW: u32 = 256 * 1024;

/// Largest part of a body in one frame, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A caller's request for an upstream.
    #[serde(rename = "q")]
    Request(Box<Request>),
    /// The head of an upstream's answer.
    #[serde(rename = "a")]
    Answer(Box<Answer>),
    /// A part of a request's or an answer's body.
    #[serde(rename = "b")]
    Body(Body),
    /// The request was given up.
    #[serde(rename = "r")]
    Refusal(Refusal),
    /// The caller hung up, or the sender of a body can't go on.
    #[serde(rename = "x")]
    Cancel(Cancel),
    /// More bytes of a body may be sent.
    #[serde(rename = "w")]
    Window(Window),
    /// Asks for a [`Message::Pong`], so that the sender learns whether the link still works.
    #[serde(rename = "u")]
    Ping,
    /// Answers a [`Message::Ping`].
    #[serde(rename = "v")]
    Pong,
    /// Liveness of a VM and the versions that it has.
    #[serde(rename = "h")]
    Heartbeat(Heartbeat),
    /// Asks a member to agree to fence an incarnation.
    #[serde(rename = "f")]
    FenceRequest(FenceRequest),
    /// Answers a [`FenceRequest`].
    #[serde(rename = "g")]
    FenceReply(FenceReply),
    /// Asks for a document.
    #[serde(rename = "p")]
    Pull(Pull),
    /// A whole document.
    #[serde(rename = "d")]
    Document(Document),
    /// Asks a team's home for credits.
    #[serde(rename = "c")]
    CreditRequest(CreditRequest),
    /// Credits of a team.
    #[serde(rename = "k")]
    Credit(Credit),
    /// How long the receiver may rely on its copy of the bundle.
    #[serde(rename = "l")]
    Freshness(Freshness),
    /// Asks a holder to stop acting for a role.
    #[serde(rename = "s")]
    Release(Release),
    /// Tells the coordinator that a ledger revision is in force at the sender.
    #[serde(rename = "y")]
    Confirmed(Confirmed),
    /// What an acting holder knows of its group, for the coordinator.
    #[serde(rename = "o")]
    Report(Box<Report>),
}

/// Header of a request or an answer.
pub type Header = (String, Bytes);

/// A caller's request for an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Stream on this connection, chosen by the entry.
    #[serde(rename = "s")]
    pub stream: u64,
    /// Id of the request over all its tries.
    #[serde(rename = "i", with = "serde_bytes")]
    pub id: [u8; 16],
    /// Service that has to answer.
    #[serde(rename = "v")]
    pub service: ident::Service,
    /// Data centre of the dispatch group.
    #[serde(rename = "z")]
    pub data_centre: ident::DataCentre,
    /// Team for which the request runs.
    #[serde(rename = "t")]
    pub team: ident::Team,
    /// Hash of the key; only for keyed services.
    #[serde(rename = "k")]
    pub key: Option<u64>,
    /// Urgency.
    #[serde(rename = "c")]
    pub class: PriorityClass,
    /// Whether the request may run more than once.
    #[serde(rename = "r")]
    pub idempotent: bool,
    /// Time left to answer, in milliseconds.
    #[serde(rename = "d")]
    pub deadline_ms: u32,
    /// HTTP method.
    #[serde(rename = "m")]
    pub method: String,
    /// HTTP path with its query.
    #[serde(rename = "p")]
    pub path: String,
    /// Headers for the upstream.
    #[serde(rename = "h")]
    pub headers: Vec<Header>,
    /// Whether [`Body`] messages follow.
    #[serde(rename = "b")]
    pub has_body: bool,
}

/// The head of an upstream's answer; the body follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Stream of the request.
    #[serde(rename = "s")]
    pub stream: u64,
    /// HTTP status.
    #[serde(rename = "c")]
    pub status: u16,
    /// Headers for the caller.
    #[serde(rename = "h")]
    pub headers: Vec<Header>,
    /// Load of the group.
    #[serde(rename = "l")]
    pub load: Load,
}

/// Load of a dispatch group, sent along with answers and refusals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Urgent requests in the queue.
    #[serde(rename = "u")]
    pub urgent: u32,
    /// Ordinary requests in the queue; the longest team counts no more than all others together.
    #[serde(rename = "o")]
    pub ordinary: u32,
    /// Attempts that are running.
    #[serde(rename = "r")]
    pub running: u32,
    /// Attempts that may run at once at present.
    #[serde(rename = "s")]
    pub slots: u32,
    /// Mean time that an attempt takes, in microseconds.
    #[serde(rename = "t")]
    pub attempt_us: u32,
}

/// A part of a body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// Stream of the request.
    #[serde(rename = "s")]
    pub stream: u64,
    /// The bytes.
    #[serde(rename = "d")]
    pub data: Bytes,
    /// Whether this is the last part.
    #[serde(rename = "e")]
    pub last: bool,
}

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The VM does not act for the group; another one does.
    NotActing,
    /// The upstream that owns the key is not known or is changing.
    NoOwner,
    /// The queue is full.
    QueueFull,
    /// The request can't be answered before its deadline.
    Deadline,
    /// The process is shutting down.
    Draining,
    /// The upstream could not be reached or shed the request.
    Unavailable,
    /// The upstream broke off or answered garbage.
    Broken,
    /// The team is above its rate.
    OverRate,
    /// The connection between two processes broke.
    PeerLost,
}

/// Whether a request that was given up may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The request was given up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Stream of the request.
    #[serde(rename = "s")]
    pub stream: u64,
    /// Why.
    #[serde(rename = "r")]
    pub reason: Reason,
    /// Whether it may have run.
    #[serde(rename = "o")]
    pub outcome: Outcome,
    /// When the caller may try again, in milliseconds.
    #[serde(rename = "a")]
    pub retry_after_ms: u32,
    /// Load of the group.
    #[serde(rename = "l")]
    pub load: Load,
}

/// Ends a stream early.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Stream of the request.
    #[serde(rename = "s")]
    pub stream: u64,
}

/// Allows more bytes of a body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Stream of the request.
    #[serde(rename = "s")]
    pub stream: u64,
    /// Bytes that may be sent in addition.
    #[serde(rename = "n")]
    pub bytes: u32,
}

/// A run of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the VM.
    #[serde(rename = "v")]
    pub vm: ident::Vm,
    /// Incarnation of the VM.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

impl From<&ledger::Holder> for Holder {
    fn from(holder: &ledger::Holder) -> Self {
        Self {
            vm: holder.vm.clone(),
            incarnation: holder.incarnation.0,
        }
    }
}

impl From<Holder> for ledger::Holder {
    fn from(holder: Holder) -> Self {
        Self {
            vm: holder.vm,
            incarnation: ident::Incarnation(holder.incarnation),
        }
    }
}

/// Liveness of a VM and the versions that it has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender; the peer's name is known from the handshake, so only the incarnation travels.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Sequence number of this heartbeat.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Incarnation and highest sequence number received from the addressee.
    #[serde(rename = "e")]
    pub echo: Option<(u64, u64)>,
    /// Membership version that the sender has.
    #[serde(rename = "m")]
    pub membership: u64,
    /// Bundle version that the sender has in force.
    #[serde(rename = "b")]
    pub bundle: u64,
    /// Ledger revision that the sender has in force.
    #[serde(rename = "l")]
    pub ledger: u64,
    /// Current members against which the sender has pledged.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub pledges: Vec<Holder>,
    /// Whether the sender is about to stop and wants to hand over its roles.
    #[serde(rename = "q", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Epoch of the coordinator's lease if the sender holds it.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub coordinator: Option<u64>,
}

/// Asks a member to agree to fence an incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRequest {
    /// Incarnation that asks.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Run of the VM that is to be fenced.
    #[serde(rename = "t")]
    pub target: Holder,
    /// Membership version of the sender.
    #[serde(rename = "m")]
    pub membership: u64,
    /// False for a pre-vote.
    #[serde(rename = "b")]
    pub binding: bool,
}

/// Answers a [`FenceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceReply {
    /// Incarnation that answers.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Run of the VM that is to be fenced.
    #[serde(rename = "t")]
    pub target: Holder,
    /// Membership version of the sender.
    #[serde(rename = "m")]
    pub membership: u64,
    /// Whether this answers a binding request.
    #[serde(rename = "b")]
    pub binding: bool,
    /// Time left on the sender's last promise in microseconds if it agrees, or none if it refuses.
    #[serde(rename = "r")]
    pub remaining_us: Option<u64>,
}

/// Kind of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The operators' bundle in its signed envelope.
    Bundle,
    /// The assignment ledger.
    Ledger,
}

/// Asks for a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Which document.
    #[serde(rename = "k")]
    pub kind: Kind,
    /// Version or revision that the sender has.
    #[serde(rename = "n")]
    pub known: u64,
}

/// A part of a document; large documents travel in several parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Which document.
    #[serde(rename = "k")]
    pub kind: Kind,
    /// Version or revision.
    #[serde(rename = "n")]
    pub version: u64,
    /// Index of this part.
    #[serde(rename = "i")]
    pub part: u32,
    /// Number of parts.
    #[serde(rename = "c")]
    pub parts: u32,
    /// Bytes of this part.
    #[serde(rename = "d")]
    pub data: Bytes,
}

/// Asks a team's home for credits and reports those of earlier batches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// Team of the bucket.
    #[serde(rename = "t")]
    pub team: ident::Team,
    /// Number of the request; the home answers a repeated one as before.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Credits for requests that wait now.
    #[serde(rename = "d")]
    pub need: u32,
    /// Credits asked for.
    #[serde(rename = "w")]
    pub want: u32,
    /// Batch, credits spent and credits returned of earlier batches.
    #[serde(rename = "r")]
    pub reports: Vec<(u64, u32, u32)>,
}

/// Credits of a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credit {
    /// Team of the bucket.
    #[serde(rename = "t")]
    pub team: ident::Team,
    /// Number of the request.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Credits granted.
    #[serde(rename = "c")]
    pub count: u32,
    /// Time after which they are void, in milliseconds from the sending of the request.
    #[serde(rename = "e")]
    pub expires_ms: u32,
    /// When it is worth asking again, in microseconds; none if the bucket had enough.
    #[serde(rename = "a")]
    pub retry_after_us: Option<u64>,
    /// False if the receiver is not the acting home.
    #[serde(rename = "h")]
    pub acting: bool,
}

/// How long the receiver may rely on its copy of the bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// Time from the receipt of this message, in milliseconds.
    #[serde(rename = "t")]
    pub valid_ms: u32,
}

/// Asks a holder to stop acting for a role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The role.
    #[serde(rename = "r")]
    pub role: ledger::RoleName,
    /// Ledger revision at which it has to be released.
    #[serde(rename = "n")]
    pub revision: u64,
    /// True in the holder's answer.
    #[serde(rename = "d")]
    pub done: bool,
    /// Level and outstanding credits of a released home's bucket, in the holder's answer.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub bucket: Option<(u32, u32)>,
}

/// A ledger revision is in force at the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed {
    /// The revision.
    #[serde(rename = "n")]
    pub revision: u64,
    /// Dispatch groups for which the sender acts, or has acted so that its grants may still be in force.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub acting: Vec<ledger::RoleName>,
}

/// What an acting holder knows of its group, for the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Service of the group.
    #[serde(rename = "v")]
    pub service: ident::Service,
    /// Data centre of the group.
    #[serde(rename = "z")]
    pub data_centre: ident::DataCentre,
    /// Ledger revision on which the report rests.
    #[serde(rename = "n")]
    pub revision: u64,
    /// Upstreams that do not answer.
    #[serde(rename = "u")]
    pub unreachable: Vec<ident::Upstream>,
    /// Slots that some upstream may still hold although the ledger names no owner, as first and last.
    #[serde(rename = "h")]
    pub held_slots: Vec<(u32, u32)>,
    /// Placed keys that some upstream may still hold although the ledger names no owner.
    #[serde(rename = "p")]
    pub held_keys: Vec<u64>,
    /// Hottest keys with their requests per second; empty if nothing new is known.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub hot_keys: Vec<(u64, u32)>,
    /// Slots with their requests per second, without placed keys; empty if nothing new is known.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<(u32, u32)>,
}
