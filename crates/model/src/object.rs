//! Objects stored on the platform, and the endpoints that upstreams announce.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{
    AccountName, EndpointName, FailureDomain, Incarnation, Revision, ServiceName, WriteId,
};
use crate::key::KeyDigest;
use crate::labels::{Labels, Selector};
use crate::units::{Burst, Percent, Rate, Slots};

/// Upper limit of [`Route::timeout_ms`].
const MAX_ROUTE_TIMEOUT: Duration = Duration::from_secs(600);

/// Kind of a stored object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A route.
    Route,
    /// A client account.
    Account,
    /// A key of a client account.
    Key,
    /// Labels and drain state that an operator has set on an endpoint.
    EndpointMark,
    /// A node of the fleet.
    Node,
    /// Bounds on what callers may send.
    CallerLimits,
    /// Evacuation of a failure domain.
    Evacuation,
    /// How the endpoints of a service are treated.
    Service,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 8] = [
        Kind::Route,
        Kind::Account,
        Kind::Key,
        Kind::EndpointMark,
        Kind::Node,
        Kind::CallerLimits,
        Kind::Evacuation,
        Kind::Service,
    ];

    /// Name of the kind in API paths and documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Route => "route",
            Kind::Account => "account",
            Kind::Key => "key",
            Kind::EndpointMark => "endpoint-mark",
            Kind::Node => "node",
            Kind::CallerLimits => "caller-limits",
            Kind::Evacuation => "evacuation",
            Kind::Service => "service",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error of a document that does not parse as an object or fails validation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentError(Box<str>);

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid object: {}", self.0)
    }
}

impl std::error::Error for DocumentError {}

impl FromStr for Kind {
    type Err = DocumentError;

    fn from_str(text: &str) -> Result<Kind, DocumentError> {
        let found = Kind::ALL.into_iter().find(|kind| kind.as_str() == text);
        found.ok_or_else(|| DocumentError(format!("unknown kind {text:?}").into()))
    }
}

/// Kind and name of an object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: Kind,
    /// Unique within the kind.
    pub name: Box<str>,
}

impl ObjectKey {
    /// Creates a key from its parts.
    pub fn new(kind: Kind, name: &str) -> ObjectKey {
        ObjectKey { kind, name: name.into() }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// Access policy of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Requests must carry a valid caller key.
    Keyed,
    /// Requests need no key.
    Open,
}

/// Wildcard in [`Route::idempotent`] that matches every method.
pub const ANY_METHOD: &str = "*";

/// Default of [`Route::attempts`].
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// A service and its weight in the traffic split of a route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShare {
    /// Service that receives the share.
    pub service: ServiceName,
    /// Weight relative to the sum of the weights in the split.
    pub weight: u32,
}

/// Maps requests under a path prefix to the upstreams that serve them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Host to match, in lower case and without a port. `None` matches every host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<Box<str>>,
    /// Path prefix, matched on whole segments; the longest match wins. If the route has a host, a
    /// prefix that ends with a slash matches only the paths below it.
    pub prefix: Box<str>,
    /// Service whose upstreams receive the requests.
    pub service: ServiceName,
    /// Weighted services to split the requests between. If empty, all requests go to `service`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<ServiceShare>,
    /// Restricts the upstreams of the service by their labels.
    #[serde(default)]
    pub selector: Selector,
    /// Whether requests need a key.
    pub access: Access,
    /// Timeout from the arrival of a request to its deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Latency goal, measured from the arrival of a request, in milliseconds. An answer that misses
    /// the goal is still useful until the deadline, but worth less.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub goal_ms: Option<u64>,
    /// Methods that are safe to run more than once.
    pub idempotent: Vec<Box<str>>,
    /// Maximum number of retries as a percentage of the calls.
    pub retry_budget: Percent,
    /// Percentage of the slots of a service that ejection must leave available.
    pub floor: Percent,
    /// Maximum number of endpoints that one request is sent to.
    #[serde(default = "default_max_attempts")]
    pub attempts: u32,
    /// Priority under overload; 0 is the highest.
    #[serde(default)]
    pub priority: u8,
}

fn default_max_attempts() -> u32 {
    DEFAULT_MAX_ATTEMPTS
}

impl Route {
    /// Timeout from the arrival of a request to its deadline.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns whether a method is safe to run more than once.
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent.iter().any(|name| &**name == method || &**name == ANY_METHOD)
    }

    fn validate(&self) -> Result<(), DocumentError> {
        if !self.prefix.starts_with('/') {
            return Err(DocumentError("the prefix of a route must start with '/'".into()));
        }
        if self.timeout_ms == 0 || self.timeout() > MAX_ROUTE_TIMEOUT {
            return Err(DocumentError("timeout_ms must be from 1 to 600000".into()));
        }
        if self.attempts == 0 {
            return Err(DocumentError("attempts must be at least 1".into()));
        }
        if !self.split.is_empty() && self.split.iter().all(|share| share.weight == 0) {
            return Err(DocumentError("a split needs a service with a weight".into()));
        }
        Ok(())
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Rate limit in calls per second, counted over the whole fleet.
    pub rate: Rate,
    /// Maximum burst, in calls.
    pub burst: Burst,
    /// Priority under overload, which overrides that of the route; 0 is the highest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
}

impl Account {
    fn validate(&self) -> Result<(), DocumentError> {
        if self.burst.0 == 0 {
            return Err(DocumentError("the burst of a client account must be at least 1".into()));
        }
        Ok(())
    }
}

/// A caller key of a client account. The object is named after the key id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Account that the key authenticates.
    pub account: AccountName,
    /// Digest of the secret part.
    pub digest: KeyDigest,
}

/// Bounds on what callers may send and on how long they may take. They replace those of the settings;
/// an absent one leaves that of the settings in force.
///
/// ```
/// use model::{Kind, Object};
///
/// let limits = br#"{"max_head_bytes":65536,"idle_timeout_ms":90000}"#;
/// assert!(Object::from_document(Kind::CallerLimits, limits).is_ok());
/// assert!(Object::from_document(Kind::CallerLimits, br#"{"max_head_bytes":12}"#).is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_head_bytes: Option<u32>,
    /// Maximum size of a request body, in bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_body_bytes: Option<u64>,
    /// Time from the first byte of a head to its last, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub head_timeout_ms: Option<u64>,
    /// Time for which a connection may be idle between two requests, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idle_timeout_ms: Option<u64>,
}

impl CallerLimits {
    /// Smallest and largest `max_head_bytes`. A head is buffered in memory as a whole.
    pub const HEAD_BYTES: RangeInclusive<u32> = 1024..=1 << 20;
    /// Smallest and largest timeout, in milliseconds.
    pub const TIMEOUT_MS: RangeInclusive<u64> = 100..=86_400_000;

    fn validate(&self) -> Result<(), DocumentError> {
        if self.max_head_bytes.is_some_and(|bytes| !Self::HEAD_BYTES.contains(&bytes)) {
            return Err(DocumentError("max_head_bytes must be from 1024 to 1048576".into()));
        }
        let mut timeouts = [self.head_timeout_ms, self.idle_timeout_ms].into_iter().flatten();
        if timeouts.any(|timeout| !Self::TIMEOUT_MS.contains(&timeout)) {
            return Err(DocumentError("a timeout must be from 100 to 86400000 ms".into()));
        }
        Ok(())
    }

    /// Returns the timeout for the rest of a head.
    pub fn head_timeout(&self) -> Option<Duration> {
        self.head_timeout_ms.map(Duration::from_millis)
    }

    /// Returns the time for which a connection may be idle.
    pub fn idle_timeout(&self) -> Option<Duration> {
        self.idle_timeout_ms.map(Duration::from_millis)
    }
}

/// Evacuation of a failure domain, from the creation of the object to its deletion. The object is named
/// after the failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {}

/// How the endpoints of a service are treated while they are cold. The object is named after the
/// service.
///
/// ```
/// use model::{Kind, Object};
///
/// let policy = br#"{"cold_for_ms":3000,"cold_per_second":"13/s"}"#;
/// assert!(Object::from_document(Kind::Service, policy).is_ok());
/// assert!(Object::from_document(Kind::Service, br#"{"cold_per_second":"0/s"}"#).is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePolicy {
    /// How long an endpoint is cold after its start, in milliseconds. Applies to endpoints that don't
    /// announce how long they remain cold.
    #[serde(default)]
    pub cold_for_ms: u64,
    /// Rate of calls that a cold endpoint tolerates.
    pub cold_per_second: Rate,
}

impl ServicePolicy {
    /// Largest `cold_for_ms`. Endpoints are cold for seconds; a longer time is a mistake in the unit.
    pub const MAX_COLD_FOR_MS: u64 = 600_000;
    /// Largest `cold_per_second`. A guard remembers as many starts of each endpoint as a cold one may
    /// have in half a second, which takes 40 KB at this rate.
    pub const MAX_COLD_RATE: Rate = Rate::per_second(10_000);

    fn validate(&self) -> Result<(), DocumentError> {
        if self.cold_for_ms > Self::MAX_COLD_FOR_MS {
            return Err(DocumentError("cold_for_ms must be at most 600000".into()));
        }
        if self.cold_per_second == Rate::default() || self.cold_per_second > Self::MAX_COLD_RATE {
            return Err(DocumentError("cold_per_second must be above 0 and at most 10000".into()));
        }
        Ok(())
    }

    /// Returns how long an endpoint is cold after its start.
    pub fn cold_for(&self) -> Duration {
        Duration::from_millis(self.cold_for_ms)
    }
}

/// Labels and drain state that an operator has set on an endpoint. The object is named after the
/// endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointMark {
    /// Labels merged over the announced ones; a label with the same key replaces the announced one.
    #[serde(default)]
    pub labels: Labels,
    /// A drained endpoint finishes its running calls and receives no new ones.
    #[serde(default)]
    pub drained: bool,
}

/// Registration of a node in the fleet. The object is named after the node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeRecord {
    /// Failure domain of the node's instance.
    pub domain: FailureDomain,
    /// Address for connections of other nodes.
    pub peer_addr: SocketAddr,
    /// Address of the operator port.
    pub operator_addr: SocketAddr,
    /// Identifies the process, and so changes with each restart.
    pub incarnation: Incarnation,
    /// Version of `endpoints`, counted within the incarnation.
    #[serde(default)]
    pub table_version: u64,
    /// Endpoints on the node's instance.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
    /// Endpoints that have left the node's instance or are leaving it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departed: Vec<DepartedEndpoint>,
    /// Whether the process has stopped. The node is then no member of the fleet, and the record is kept
    /// for the next process of the node, which needs `departed` or `started_ms`.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub stopped: bool,
    /// Unix time at which the process started, in milliseconds; `None` if unknown. It is not part of the
    /// document, since nodes of earlier versions reject documents with unknown fields: the platform's
    /// store has it beside the document, and nodes don't send it to each other.
    #[serde(skip)]
    pub started_ms: Option<u64>,
}

/// An endpoint that has announced that it leaves. A process that takes over the node after a restart
/// recognizes by it the messages that the endpoint had sent before, and that arrive late.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DepartedEndpoint {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Unix time at which the endpoint started, in milliseconds.
    pub started_ms: u64,
    /// Number of the message that announced it. Messages of this start with a lower number are late;
    /// `None` if the endpoint is gone, and all messages of this start are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sequence: Option<u64>,
}

impl DepartedEndpoint {
    /// Returns whether all messages that `other` identifies as late are late by this departure too.
    ///
    /// ```
    /// use model::DepartedEndpoint;
    ///
    /// let name: model::EndpointName = "orders-1".parse().unwrap();
    /// let leaving = DepartedEndpoint { name: name.clone(), started_ms: 7, sequence: Some(3) };
    /// let gone = DepartedEndpoint { name, started_ms: 7, sequence: None };
    /// assert!(gone.covers(&leaving));
    /// assert!(!leaving.covers(&gone));
    /// ```
    pub fn covers(&self, other: &DepartedEndpoint) -> bool {
        // A start of an endpoint is ready only before its first notice, so the number of the notice
        // makes no difference.
        let covers_start = match self.started_ms == other.started_ms {
            true => self.sequence.is_none() || other.sequence.is_some(),
            false => self.started_ms > other.started_ms,
        };
        self.name == other.name && covers_start
    }
}

/// Content of a stored object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Object {
    /// A route.
    Route(Route),
    /// A client account.
    Account(Account),
    /// A key.
    Key(Key),
    /// An endpoint mark.
    EndpointMark(EndpointMark),
    /// A node.
    Node(NodeRecord),
    /// Bounds on what callers may send.
    CallerLimits(CallerLimits),
    /// An evacuation of a failure domain.
    Evacuation(Evacuation),
    /// The policy of a service.
    Service(ServicePolicy),
}

impl Object {
    /// Returns the kind of the object.
    pub fn kind(&self) -> Kind {
        match self {
            Object::Route(_) => Kind::Route,
            Object::Account(_) => Kind::Account,
            Object::Key(_) => Kind::Key,
            Object::EndpointMark(_) => Kind::EndpointMark,
            Object::Node(_) => Kind::Node,
            Object::CallerLimits(_) => Kind::CallerLimits,
            Object::Evacuation(_) => Kind::Evacuation,
            Object::Service(_) => Kind::Service,
        }
    }

    /// Parses and validates the JSON document of an object.
    ///
    /// ```
    /// use model::{Kind, Object};
    ///
    /// let object = Object::from_document(Kind::Account, br#"{"rate":"5/s","burst":10}"#).unwrap();
    /// assert_eq!(object.kind(), Kind::Account);
    /// assert!(Object::from_document(Kind::Account, br#"{"rate":"5/s","burst":0}"#).is_err());
    /// ```
    pub fn from_document(kind: Kind, document: &[u8]) -> Result<Object, DocumentError> {
        let object = match kind {
            Kind::Route => parse_json(document).map(Object::Route),
            Kind::Account => parse_json(document).map(Object::Account),
            Kind::Key => parse_json(document).map(Object::Key),
            Kind::EndpointMark => parse_json(document).map(Object::EndpointMark),
            Kind::Node => parse_json(document).map(Object::Node),
            Kind::CallerLimits => parse_json(document).map(Object::CallerLimits),
            Kind::Evacuation => parse_json(document).map(Object::Evacuation),
            Kind::Service => parse_json(document).map(Object::Service),
        }?;
        match &object {
            Object::Route(route) => route.validate()?,
            Object::Account(account) => account.validate()?,
            Object::CallerLimits(limits) => limits.validate()?,
            Object::Service(policy) => policy.validate()?,
            _ => {}
        }
        Ok(object)
    }

    /// Serializes the object as a JSON document.
    pub fn to_document(&self) -> Vec<u8> {
        let document = match self {
            Object::Route(route) => serde_json::to_vec(route),
            Object::Account(account) => serde_json::to_vec(account),
            Object::Key(key) => serde_json::to_vec(key),
            Object::EndpointMark(mark) => serde_json::to_vec(mark),
            Object::Node(node) => serde_json::to_vec(node),
            Object::CallerLimits(limits) => serde_json::to_vec(limits),
            Object::Evacuation(evacuation) => serde_json::to_vec(evacuation),
            Object::Service(policy) => serde_json::to_vec(policy),
        };
        document.expect("objects hold only types that JSON can represent")
    }
}

fn parse_json<T: for<'de> Deserialize<'de>>(document: &[u8]) -> Result<T, DocumentError> {
    serde_json::from_slice(document).map_err(|err| DocumentError(err.to_string().into()))
}

/// An object or the tombstone of a deleted one, with the metadata of its last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// Kind and name of the object.
    pub key: ObjectKey,
    /// Revision of the last write.
    pub revision: Revision,
    /// Identifier of the last write.
    pub write_id: WriteId,
    /// `None` after a deletion.
    pub object: Option<Object>,
}

/// Lifecycle state that an upstream announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// Still warming up; accepts no calls.
    Starting,
    /// Accepts calls.
    Ready,
    /// Shutting down; finishes running calls and accepts no new ones.
    Leaving,
}

/// An endpoint as its upstream announces it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Unique in the fleet.
    pub name: EndpointName,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Labels, before [`EndpointMark::labels`] are applied.
    #[serde(default)]
    pub labels: Labels,
    /// Address that the upstream accepts calls on.
    pub addr: SocketAddr,
    /// Maximum number of concurrent calls.
    pub slots: Slots,
    /// Lifecycle state.
    pub state: EndpointState,
    /// Load in percent as reported by the upstream. It may be stale or wrong.
    #[serde(default)]
    pub load: u8,
}
