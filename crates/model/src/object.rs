//! Objects that the platform holds, and the endpoints that upstreams announce.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{
    AccountName, EndpointName, FailureDomain, Incarnation, Revision, ServiceName, WriteId,
};
use crate::key::KeyDigest;
use crate::labels::{Labels, Selector};
use crate::units::{Burst, Percent, Rate, Slots};

/// Longest timeout of a route.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// Kinds of objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A route.
    Route,
    /// A client account.
    Account,
    /// A key of a client account.
    Key,
    /// Labels and drain state that an operator gave to an endpoint.
    EndpointMark,
    /// A node of the fleet.
    Node,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 5] =
        [Kind::Route, Kind::Account, Kind::Key, Kind::EndpointMark, Kind::Node];

    /// The name of the kind in paths and documents.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Route => "route",
            Kind::Account => "account",
            Kind::Key => "key",
            Kind::EndpointMark => "endpoint-mark",
            Kind::Node => "node",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A document could not be read as an object.
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
    /// The kind.
    pub kind: Kind,
    /// The name, unique within the kind.
    pub name: Box<str>,
}

impl ObjectKey {
    /// Makes a key.
    pub fn new(kind: Kind, name: &str) -> ObjectKey {
        ObjectKey { kind, name: name.into() }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// Who may use a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Only requests with a valid key.
    Keyed,
    /// Everybody.
    Open,
}

/// Method in [`Route::idempotent`] that stands for every method.
pub const ANY_METHOD: &str = "*";

/// Endpoints that one request of a route may be sent to, unless the route says otherwise.
const DEFAULT_ATTEMPTS: u32 = 3;

/// One of the services among which a route divides its requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Its part of the requests, in proportion to the sum over all services of the route.
    pub weight: u32,
}

/// A route picks upstreams for the requests under a path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Host that the request must name, in lower case and without a port; every host if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<Box<str>>,
    /// Path prefix, matched on whole segments; the longest match wins. One that ends with a slash
    /// matches only paths below it when the route names a host.
    pub prefix: Box<str>,
    /// The service whose upstreams are considered.
    pub service: ServiceName,
    /// Services among which the requests are divided; all go to `service` if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<ServiceShare>,
    /// Picks upstreams of the service.
    #[serde(default)]
    pub selector: Selector,
    /// Who may use the route.
    pub access: Access,
    /// Time from the arrival of a request to its deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Time from the arrival of a request in which its answer is worth most, in milliseconds; no such
    /// time if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub goal_ms: Option<u64>,
    /// Methods that may be run more than once.
    pub idempotent: Vec<Box<str>>,
    /// Retries allowed, as a share of the calls.
    pub retry_budget: Percent,
    /// Share of the slots that ejections must leave healthy.
    pub floor: Percent,
    /// Endpoints that one request may be sent to.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Rank under overload; 0 goes first.
    #[serde(default)]
    pub priority: u8,
}

fn default_attempts() -> u32 {
    DEFAULT_ATTEMPTS
}

impl Route {
    /// Time from the arrival of a request to its deadline.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Tells whether a method may be run more than once.
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent.iter().any(|name| &**name == method || &**name == ANY_METHOD)
    }

    fn check(&self) -> Result<(), DocumentError> {
        if !self.prefix.starts_with('/') {
            return Err(DocumentError("the prefix of a route must start with '/'".into()));
        }
        if self.timeout_ms == 0 || self.timeout() > MAX_TIMEOUT {
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
    /// Calls per second over the whole fleet.
    pub rate: Rate,
    /// Calls that may be made at once.
    pub burst: Burst,
    /// Rank under overload, which goes before that of the route; 0 goes first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
}

impl Account {
    fn check(&self) -> Result<(), DocumentError> {
        if self.burst.0 == 0 {
            return Err(DocumentError("the burst of a client account must be at least 1".into()));
        }
        Ok(())
    }
}

/// A key of a client account; the name of the object is the key id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The account that the key belongs to.
    pub account: AccountName,
    /// Digest of the secret.
    pub digest: KeyDigest,
}

/// Labels and drain state that an operator gave to an endpoint; the name of the object is the
/// name of the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointMark {
    /// Labels that are added to the announced ones, or replace them.
    #[serde(default)]
    pub labels: Labels,
    /// Whether the endpoint is drained: it finishes its work and gets no new work.
    #[serde(default)]
    pub drained: bool,
}

/// A node of the fleet; the name of the object is the name of the node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeRecord {
    /// The failure domain of its instance.
    pub domain: FailureDomain,
    /// Where other nodes reach it.
    pub peer_addr: SocketAddr,
    /// Where operators reach it.
    pub operator_addr: SocketAddr,
    /// The process.
    pub incarnation: Incarnation,
    /// Version of the endpoint table within the process.
    #[serde(default)]
    pub table_version: u64,
    /// The endpoints of its instance.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
}

/// The content of an object.
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
}

impl Object {
    /// The kind of the object.
    pub fn kind(&self) -> Kind {
        match self {
            Object::Route(_) => Kind::Route,
            Object::Account(_) => Kind::Account,
            Object::Key(_) => Kind::Key,
            Object::EndpointMark(_) => Kind::EndpointMark,
            Object::Node(_) => Kind::Node,
        }
    }

    /// Reads and checks the JSON document of an object.
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
            Kind::Route => parse(document).map(Object::Route),
            Kind::Account => parse(document).map(Object::Account),
            Kind::Key => parse(document).map(Object::Key),
            Kind::EndpointMark => parse(document).map(Object::EndpointMark),
            Kind::Node => parse(document).map(Object::Node),
        }?;
        match &object {
            Object::Route(route) => route.check()?,
            Object::Account(account) => account.check()?,
            _ => {}
        }
        Ok(object)
    }

    /// The JSON document of the object.
    pub fn to_document(&self) -> Vec<u8> {
        let document = match self {
            Object::Route(route) => serde_json::to_vec(route),
            Object::Account(account) => serde_json::to_vec(account),
            Object::Key(key) => serde_json::to_vec(key),
            Object::EndpointMark(mark) => serde_json::to_vec(mark),
            Object::Node(node) => serde_json::to_vec(node),
        };
        document.expect("objects hold only types that JSON can represent")
    }
}

fn parse<T: for<'de> Deserialize<'de>>(document: &[u8]) -> Result<T, DocumentError> {
    serde_json::from_slice(document).map_err(|err| DocumentError(err.to_string().into()))
}

/// An object, or the tombstone of a deleted one, with the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// Kind and name.
    pub key: ObjectKey,
    /// Revision of the last write.
    pub revision: Revision,
    /// Identifier of the last write.
    pub write_id: WriteId,
    /// The content, or `None` after a deletion.
    pub object: Option<Object>,
}

/// State that an upstream announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// Not warm yet; takes no calls.
    Starting,
    /// Takes calls.
    Ready,
    /// Finishes its work and takes no new work.
    Leaving,
}

/// An endpoint as its upstream announces it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Unique name.
    pub name: EndpointName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Announced labels.
    #[serde(default)]
    pub labels: Labels,
    /// Where the upstream takes calls.
    pub addr: SocketAddr,
    /// Calls that it runs at the same time.
    pub slots: Slots,
    /// Its state.
    pub state: EndpointState,
    /// Load that the upstream reports, from 0 to 100; it may lag or mislead.
    #[serde(default)]
    pub load: u8,
}
