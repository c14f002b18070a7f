//! The frames as domain types.

use std::time::Duration;

use model::{
    AccountName, AttemptId, Endpoint, EndpointName, FailureDomain, Incarnation, KeyId, NodeName,
    RequestId, ResultCode, Revision, RouteName, StoredObject, Time,
};

/// Random bytes that make each handshake unique.
pub type Nonce = [u8; 16];

/// Proof of the fleet secret: HMAC-SHA-256 over both nonces and the names.
pub type Digest = [u8; 32];

/// What a link is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Requests and replies in order.
    Control,
    /// One call at a time.
    Call,
}

/// First frame of the dialer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Protocol version of the dialer.
    pub version: u16,
    /// The dialing node.
    pub node: NodeName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its process.
    pub incarnation: Incarnation,
    /// What the link is for.
    pub purpose: Purpose,
    /// Nonce of the dialer.
    pub nonce: Nonce,
    /// Proof of the fleet secret.
    pub proof: Digest,
}

/// Reply to [`Hello`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Welcome {
    /// The accepting node.
    pub node: NodeName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its process.
    pub incarnation: Incarnation,
    /// Its time.
    pub clock: Time,
    /// Proof of the fleet secret.
    pub proof: Digest,
}

/// Heartbeat of the dialer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ping {
    /// Sequence number within the dialer's incarnation.
    pub sequence: u64,
    /// Revision that the dialer has applied.
    pub revision: Revision,
    /// Version of the dialer's endpoint table.
    pub table_version: u64,
}

/// Reply to [`Ping`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pong {
    /// Sequence number of the ping.
    pub sequence: u64,
    /// Revision that the peer has applied.
    pub revision: Revision,
    /// Version of the peer's endpoint table.
    pub table_version: u64,
    /// Whether the peer's configuration has been compared with a majority.
    pub synced: bool,
    /// Time since the peer, or a node that it heard of, was in contact with the platform.
    pub platform_age: Option<Duration>,
    /// The peer's time.
    pub clock: Time,
    /// Load of the peer's endpoints.
    pub loads: Vec<EndpointLoad>,
}

/// Load of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Mean time that a call runs.
    pub mean_service: Duration,
}

/// Objects changed between two revisions. A transfer of several frames counts only once the last
/// one is in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Objects {
    /// Revision that the receiver must have; zero for a full copy.
    pub from: Revision,
    /// Revision that the receiver has afterwards.
    pub to: Revision,
    /// Position of this frame in the transfer, from zero.
    pub index: u32,
    /// Whether this is the last frame of the transfer.
    pub last: bool,
    /// The objects.
    pub objects: Vec<StoredObject>,
}

/// Endpoints of the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table {
    /// Version within the sender's incarnation.
    pub version: u64,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// A header of a request or an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Lower-case name.
    pub name: Box<str>,
    /// Value.
    pub value: Vec<u8>,
}

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Method.
    pub method: Box<str>,
    /// Path and query.
    pub target: Box<str>,
    /// Headers, without those that concern one connection only.
    pub headers: Vec<Header>,
}

/// Part of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// Whether the body ends here.
    pub last: bool,
}

/// One attempt to run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request that it belongs to.
    pub request: RequestId,
    /// The endpoint that shall run it.
    pub endpoint: EndpointName,
    /// The route that it came by.
    pub route: RouteName,
    /// The account and the key that paid for it; none on open routes.
    pub account: Option<(AccountName, KeyId)>,
    /// Latest start, in the receiver's time.
    pub start_by: Time,
    /// Time left after `start_by` until the answer is of no use to the caller.
    pub time_to_run: Duration,
    /// Revision by which the entry decided.
    pub revision: Revision,
    /// Head of the request.
    pub head: Head,
    /// First part of the body.
    pub body: Chunk,
}

/// Head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The attempt that is answered.
    pub attempt: AttemptId,
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// First part of the body.
    pub body: Chunk,
    /// Load of the endpoint after this call.
    pub load: EndpointLoad,
}

/// What became of a fenced attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceStatus {
    /// It did not run and never will.
    NotRun,
    /// It is running.
    Running,
    /// It ran.
    Ran,
}

/// A frame between two nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// First frame of the accepting node: its nonce.
    Challenge(Nonce),
    /// First frame of the dialer.
    Hello(Hello),
    /// The link is accepted.
    Welcome(Welcome),
    /// The frame or the link is refused.
    Rejected(ResultCode),
    /// Heartbeat.
    Ping(Ping),
    /// Reply to a heartbeat.
    Pong(Pong),
    /// Asks for the objects changed after a revision, from the given frame of the transfer.
    Pull {
        /// Revision that the dialer has.
        from: Revision,
        /// Index of the wanted frame.
        index: u32,
    },
    /// Reply to a pull, or a push.
    Objects(Objects),
    /// Asks for the endpoint table.
    PullTable,
    /// Reply to `PullTable`, or a push.
    Table(Table),
    /// The frame was taken in.
    Done,
    /// An attempt.
    Call(Box<Call>),
    /// More of the body of the request.
    CallBody(Chunk),
    /// The attempt did not run.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        code: ResultCode,
        /// Load of the endpoint, if the node has it.
        load: Option<EndpointLoad>,
    },
    /// The outcome of the attempt is unknown.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        code: ResultCode,
    },
    /// Head and first part of an answer.
    Answer(Box<AnswerHead>),
    /// More of the body of an answer.
    AnswerBody {
        /// The attempt.
        attempt: AttemptId,
        /// The bytes.
        chunk: Chunk,
    },
    /// The attempt must never run; asks what became of it.
    Fence(AttemptId),
    /// Reply to `Fence`.
    Fenced {
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        status: FenceStatus,
    },
}
