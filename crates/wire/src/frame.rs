//! The frames as domain types.

use std::time::Duration;

use config::{Chunk as Transfer, Feed, Revisions};
use limits::{TokenAnswer, TokenRequest};
use model::{
    AccountName, AttemptId, EndpointName, FailureDomain, Incarnation, KeyId, LoadReport, NodeName,
    Percent, RequestId, ResultCode, Revision, RouteName, ServiceName, Time,
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

/// Load of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// What its guard reports.
    pub report: LoadReport,
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
    /// Latest end of a wait for a slot, in the receiver's time.
    pub queue_until: Time,
    /// Time by which the answer should be there to be worth most, in the receiver's time.
    pub goal_by: Option<Time>,
    /// Longest expected wait for a slot that the entry accepts; none if it waits until `start_by`.
    pub max_expected_wait: Option<Duration>,
    /// Whether the entry has lately refused calls of the account for its rate.
    pub over_rate: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether a suspect endpoint shall take the call too.
    pub accepts_suspect: bool,
    /// Whether an earlier attempt of the request has reached an endpoint or may have done so.
    pub is_retry: bool,
    /// Chance that an upstream which runs a retry has made the request.
    pub retry_origin_percent: Percent,
    /// Rank under overload; 0 goes first.
    pub priority: u8,
    /// Service of the instance where the request began, if known.
    pub caller_service: Option<ServiceName>,
    /// Revisions by which the entry decided.
    pub revisions: Revisions,
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
    /// Revisions that the guard knows.
    pub revisions: Revisions,
    /// Time that the upstream took.
    pub took: Duration,
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
    /// The revisions that the sender knows, to compare them with the reply of the same kind.
    Revisions(Revisions),
    /// Asks for the objects of a feed that changed after a revision.
    Pull(Feed, Revision),
    /// Asks for the next part of the transfer that a pull has started.
    PullMore,
    /// A part of a transfer.
    Objects(Feed, Transfer),
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
        /// Revisions that the guard knows.
        revisions: Revisions,
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
    TokenAnswers(Vec<TokenAnswer>),
}
