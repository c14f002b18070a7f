//! Frames as domain types.

use std::time::Duration;

use config::{Chunk as Transfer, Feed, Revisions};
use evacuation::Snapshot;
use limits::{TokenAnswer, TokenRequest};
use model::{
    AccountName, AttemptId, EndpointName, FailureDomain, Incarnation, KeyId, LoadReport, NodeName,
    Percent, RequestId, ResultCode, Revision, RouteName, ServiceName, Time,
};

/// Random value that makes each handshake unique.
pub type Nonce = [u8; 16];

/// Proof of knowledge of the fleet secret: HMAC-SHA-256 over the role, the node name and both
/// nonces.
pub type Digest = [u8; 32];

/// What a link is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Carries requests and replies in order.
    Control,
    /// Carries one call at a time.
    Call,
}

/// First frame that the dialing node sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Protocol version of the dialing node.
    pub version: u16,
    /// The dialing node.
    pub node: NodeName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// What the link is used for.
    pub purpose: Purpose,
    /// Nonce of the dialing node.
    pub nonce: Nonce,
    /// Proof of knowledge of the fleet secret.
    pub proof: Digest,
}

/// Reply to [`Hello`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Welcome {
    /// The accepting node.
    pub node: NodeName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Current time of its clock.
    pub clock: Time,
    /// Proof of knowledge of the fleet secret.
    pub proof: Digest,
}

/// Load of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Load that its guard reports.
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
    /// Headers, without hop-by-hop headers.
    pub headers: Vec<Header>,
}

/// Part of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyPart {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// Whether this is the last part.
    pub last: bool,
}

/// One attempt to run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request that it belongs to.
    pub request: RequestId,
    /// The endpoint that is to run it.
    pub endpoint: EndpointName,
    /// The route of the request.
    pub route: RouteName,
    /// The account that the call is charged to and its key; `None` on open routes.
    pub account: Option<(AccountName, KeyId)>,
    /// Deadline for starting the call, in the receiver's time.
    pub start_by: Time,
    /// Deadline for getting a slot from the queue, in the receiver's time.
    pub queue_until: Time,
    /// Time by which the caller should have the answer (the goal of the route), in the receiver's
    /// time.
    pub goal_by: Option<Time>,
    /// Longest expected wait for a slot that the entry accepts; `None` if the call may wait until
    /// its deadline.
    pub max_expected_wait: Option<Duration>,
    /// Whether the entry recently refused calls of the account because of its rate limit.
    pub over_rate: bool,
    /// Whether the request is idempotent, so that it may run more than once.
    pub idempotent: bool,
    /// Whether the endpoint is to accept the call even if it is suspect.
    pub accepts_suspect: bool,
    /// Whether an earlier attempt of the request reached an endpoint or may have reached one.
    pub is_retry: bool,
    /// Probability that the request was made by an upstream that was running a retry.
    pub retry_origin_percent: Percent,
    /// Priority under overload; 0 is the highest.
    pub priority: u8,
    /// Service of the instance where the request began, if known.
    pub caller_service: Option<ServiceName>,
    /// Configuration revisions that the entry used for its decisions.
    pub revisions: Revisions,
    /// Head of the request.
    pub head: Head,
    /// First part of the body.
    pub body: BodyPart,
}

/// Head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// The answered attempt.
    pub attempt: AttemptId,
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// First part of the body.
    pub body: BodyPart,
    /// Load of the endpoint after the call.
    pub load: EndpointLoad,
    /// Configuration revisions that the guard has.
    pub revisions: Revisions,
    /// Time that the upstream took to answer.
    pub took: Duration,
}

/// Execution status of a fenced attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceStatus {
    /// It did not run and never will.
    NotRun,
    /// It is running.
    Running,
    /// It ran.
    Ran,
    /// It may have run: its record was removed or could not be created.
    Unknown,
}

/// A frame between two nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// First frame that the accepting node sends: its nonce.
    Challenge(Nonce),
    /// First frame that the dialing node sends.
    Hello(Hello),
    /// The link is accepted.
    Welcome(Welcome),
    /// The frame or the link is rejected.
    Rejected(ResultCode),
    /// The configuration revisions that the sender has; the receiver replies with its own.
    Revisions(Revisions),
    /// The configuration revisions that the sender has. The receiver replies with its own and with how
    /// long ago its imported configuration was known to be the newest one, if it knows that.
    Compare {
        /// The revisions.
        revisions: Revisions,
        /// Age of the confirmation when the frame was sent. How long a request has been on its way
        /// is not known to its receiver.
        confirmed_ago: Option<Duration>,
    },
    /// The evacuated failure domains that the sender knows of; the receiver replies with its own.
    Evacuations {
        /// The latest snapshot, if there is one.
        snapshot: Option<Snapshot>,
        /// Age of its confirmation when the frame was sent.
        confirmed_ago: Option<Duration>,
    },
    /// Requests the evacuations that are in effect at the receiver although the store lacks them.
    PullRetainedEvacuations,
    /// Reply to `PullRetainedEvacuations`.
    RetainedEvacuations {
        /// Revision of the sender's latest snapshot; zero if it has none.
        revision: Revision,
        /// The failure domains, with the time that was left of each evacuation when the frame was sent.
        retained: Vec<(FailureDomain, Duration)>,
    },
    /// Requests the objects of a feed that changed after a revision.
    Pull(Feed, Revision),
    /// Requests the next part of the transfer that a pull started.
    PullMore,
    /// A part of a transfer.
    Objects(Feed, Transfer),
    /// Requests the latest record of the sending node that the receiver has seen, from any process of
    /// that node. The reply is a transfer with one object or none.
    PullOwnRecord,
    /// Requests the writes of the product's objects that are in effect at the receiver although the store
    /// lacks them. The reply is the part of a transfer with this index, or `Done` if there is none. Unlike a
    /// pull, this leaves no state at the receiver, so other transfers between the nodes don't interfere.
    PullRetained(u32),
    /// The frame was processed.
    Done,
    /// An attempt to run a request.
    Call(Box<Call>),
    /// Next part of the request body.
    CallBody(BodyPart),
    /// The attempt did not run.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Reason.
        code: ResultCode,
        /// Load of the endpoint, if it runs on the node.
        load: Option<EndpointLoad>,
        /// Configuration revisions that the guard has.
        revisions: Revisions,
    },
    /// The outcome of the attempt is unknown.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Reason.
        code: ResultCode,
    },
    /// Head of an answer and first part of its body.
    Answer(Box<AnswerHead>),
    /// Next part of the body of an answer.
    AnswerBody {
        /// The attempt.
        attempt: AttemptId,
        /// The part.
        part: BodyPart,
    },
    /// Prevents the attempt from starting and requests its execution status.
    Fence {
        /// The attempt.
        attempt: AttemptId,
        /// Its deadline for starting, in the receiver's time.
        start_by: Time,
    },
    /// Reply to `Fence`.
    Fenced {
        /// The attempt.
        attempt: AttemptId,
        /// Its execution status.
        status: FenceStatus,
    },
    /// Token requests for partitions that the receiver owns.
    TokenRequests(Vec<TokenRequest>),
    /// Reply to token requests.
    TokenAnswers(Vec<TokenAnswer>),
}
