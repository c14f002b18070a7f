//! The frames as domain types.

use std::time::Duration;

use config::Chunk as Transfer;
use health::{EjectionList, HealthReport, HeldEjection, ProbeResult};
use limits::{TokenAnswer, TokenRequest};
use model::{
    AccountName, AttemptId, Endpoint, EndpointName, FailureDomain, Incarnation, KeyId, LoadReport,
    NodeName, RequestId, ResultCode, Revision, RouteName, ServiceName, Time,
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
    /// Whether the peer is stopping and takes no partitions any more.
    pub stopping: bool,
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
    /// What its guard reports.
    pub report: LoadReport,
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
pub struct BodyPart {
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
    /// Longest expected wait for a slot that the entry accepts; none if it waits until `start_by`.
    pub patience: Option<Duration>,
    /// Whether the entry has lately refused calls of the account for its rate.
    pub over_rate: bool,
    /// Revision by which the entry decided.
    pub revision: Revision,
    /// Head of the request.
    pub head: Head,
    /// First part of the body.
    pub body: BodyPart,
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
    pub body: BodyPart,
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
    /// It may have run; the record is gone or could not be made.
    Unknown,
}

/// The message that moves the ownership of a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartitionHandover {
    /// The right to grant.
    pub right: membership::Handover,
    /// The buckets. Their epoch is not that of the right: it counts handovers as well, and the
    /// receiver refuses buckets of an epoch that it has seen.
    pub buckets: limits::Handover,
    /// Time until the first ejection of arbiters in the partition that are not among `arbiters`.
    pub ejection_wait: Duration,
    /// The state of the arbiter of each service in the partition.
    pub arbiters: Vec<(ServiceName, health::Handover)>,
}

/// Reply to requests for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenAnswers {
    /// The answers.
    pub answers: Vec<TokenAnswer>,
    /// The newest known handover of each partition that the receiver may not grant for, as far as
    /// the platform has not recorded it.
    pub moved: Vec<membership::Handover>,
}

/// What became of a handover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverReply {
    /// The receiver owns the partition, by this or an earlier copy of the message.
    Taken,
    /// The receiver does not take it.
    Refused,
}

/// A probe that a guard shall make, or has made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// The route on which the endpoint was ejected.
    pub route: RouteName,
    /// The endpoint.
    pub endpoint: EndpointName,
}

/// Result of a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeReport {
    /// The probe.
    pub probe: Probe,
    /// The result.
    pub result: ProbeResult,
}

/// What a node tells the arbiter of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthUpdate {
    /// The service.
    pub service: ServiceName,
    /// Calls that the sender's endpoints have finished.
    pub report: Option<HealthReport>,
    /// Ejections from an earlier arbiter that the sender still holds.
    pub held: Vec<HeldEjection>,
    /// Results of probes.
    pub probed: Vec<ProbeReport>,
    /// Endpoints of the sender, for which it takes probes.
    pub endpoints: Vec<EndpointName>,
}

/// Reply to [`HealthUpdate`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthReply {
    /// The ejections of the service; none if the receiver does not arbitrate it.
    pub list: Option<EjectionList>,
    /// Probes that the sender's guard shall make.
    pub probes: Vec<Probe>,
    /// If there is no list: the newest known handover of the service's partition, unless the
    /// platform has recorded it.
    pub moved: Option<membership::Handover>,
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
    /// Asks for the objects changed after a revision.
    Pull(Revision),
    /// Asks for the next part of the transfer that a pull has started.
    PullMore,
    /// A part of a transfer, pulled or pushed.
    Objects(Transfer),
    /// Asks for the endpoint table.
    PullTable,
    /// Reply to `PullTable`, or a push.
    Table(Table),
    /// The frame was taken in.
    Done,
    /// An attempt.
    Call(Box<Call>),
    /// More of the body of the request.
    CallBody(BodyPart),
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
        part: BodyPart,
    },
    /// The attempt must never run; asks what became of it.
    Fence {
        /// The attempt.
        attempt: AttemptId,
        /// Its latest start, in the receiver's time.
        start_by: Time,
    },
    /// Reply to `Fence`.
    Fenced {
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        status: FenceStatus,
    },
    /// Requests for tokens, all to the receiver's partitions.
    TokenRequests(Vec<TokenRequest>),
    /// Reply to requests for tokens.
    TokenAnswers(TokenAnswers),
    /// Moves the ownership of a partition, with its buckets.
    Handover(Box<PartitionHandover>),
    /// Whether a handover was taken.
    HandoverReply(HandoverReply),
    /// Report to the arbiter of a service.
    HealthUpdate(Box<HealthUpdate>),
    /// Reply of the arbiter.
    HealthReply(Box<HealthReply>),
}
