//! The interface of a node to its operator port, and the JSON documents of the port.

use std::fmt;
use std::net::SocketAddr;

use model::{
    AccountName, EndpointName, EndpointState, FailureDomain, Incarnation, Kind, Labels, NodeName,
    Object, ObjectKey, RequestId, ResultCode, Revision, RouteName, ServiceName, Slots,
    StoredObject, WriteId,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::explanation::{QueryError, RouteExplanation, RouteQuery};

/// State and actions of a node that the operator port exposes.
///
/// The methods are called on the threads of the port and must not block for long.
pub trait NodeView: Send + Sync {
    /// Returns whether the node accepts requests, or the reason why it does not.
    fn ready(&self) -> Result<(), ResultCode>;

    /// Returns the state of the fleet as known to this node.
    fn state(&self) -> FleetState;

    /// Returns the recorded decisions of a request, if this node still has them.
    fn request(&self, id: &RequestId) -> Option<RequestRecord>;

    /// Returns where the node would route a request now. The query changes nothing.
    fn explain_route(&self, query: &RouteQuery) -> Result<RouteExplanation, QueryError>;

    /// Applies objects that an operator command pushes, and returns the node's revision afterwards.
    ///
    /// A push that would leave a gap after the node's revision is refused.
    fn push(&self, push: Push) -> Result<Revision, ResultCode>;

    /// Starts a graceful shutdown of the node.
    fn drain(&self);
}

/// State of the fleet as known to one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    /// The node that reports the state.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: FailureDomain,
    /// Incarnation of the node's process.
    pub incarnation: Incarnation,
    /// Revision of the stored objects that the node has applied.
    pub revision: Revision,
    /// Revision of the imported configuration that the node has applied; 0 if it has none.
    pub imported_revision: Revision,
    /// Whether the node has a configuration.
    pub synced: bool,
    /// Whether the platform answered the node's last call.
    pub platform_reachable: bool,
    /// Evacuated failure domains, of the platform and of the stored objects together.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuated: Vec<FailureDomain>,
    /// Members of the fleet, including the node itself.
    pub members: Vec<MemberView>,
    /// Endpoints known to the node.
    pub endpoints: Vec<EndpointView>,
}

/// Whether a node reaches another one, according to their last message exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// The last exchange succeeded, or there was none yet.
    Reached,
    /// The last exchange failed.
    Unreachable,
}

impl fmt::Display for Liveness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Liveness::Reached => "reached",
            Liveness::Unreachable => "unreachable",
        })
    }
}

/// A member of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Name of the node.
    pub name: NodeName,
    /// Failure domain of the node.
    pub domain: FailureDomain,
    /// Address of the node's operator port.
    pub operator_addr: SocketAddr,
    /// Whether the reporting node reaches it.
    pub liveness: Liveness,
}

/// An endpoint as known to one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointView {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Service that the endpoint provides.
    pub service: ServiceName,
    /// Node that proxies calls to the endpoint.
    pub node: NodeName,
    /// Announced labels with the operator's mark applied.
    pub labels: Labels,
    /// State that the endpoint announced.
    pub state: EndpointState,
    /// Whether an operator has drained the endpoint.
    pub drained: bool,
    /// Reported load, from 0 to 100.
    pub load: u8,
    /// Maximum number of concurrent calls.
    pub slots: Slots,
    /// Number of running calls.
    pub running: u32,
    /// Number of queued calls.
    pub queued: u32,
    /// Whether the endpoint is suspect: its latest calls failed, and it accepts only calls that may be
    /// repeated.
    pub suspect: bool,
}

/// The recorded decisions of one request on one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Id of the request.
    pub id: RequestId,
    /// The node that recorded the decisions.
    pub node: NodeName,
    /// The matched route.
    pub route: Option<RouteName>,
    /// Client account that the API key belongs to.
    pub account: Option<AccountName>,
    /// HTTP status of the response to the caller, once there is one.
    pub status: Option<u16>,
    /// Number of the result code, if the request was refused or its outcome is unknown.
    pub code: Option<u16>,
    /// Recorded decisions, oldest first.
    pub decisions: Vec<Decision>,
}

/// One decision about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Time from the arrival of the request to the decision, in microseconds.
    pub at_us: u64,
    /// Kind of the decision, for example `attempt`.
    pub step: Box<str>,
    /// Details and reason of the decision.
    pub detail: Box<str>,
}

/// Objects that an operator command sends to a node that has not yet fetched them itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Push {
    /// Revision after which all changes are included; `None` if all live objects are included.
    pub since: Option<Revision>,
    /// Revision up to which the objects are complete.
    pub revision: Revision,
    /// Changed objects, or all live objects.
    pub objects: Vec<StoredObject>,
}

/// A push document is malformed or inconsistent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PushError(Box<str>);

impl fmt::Display for PushError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid push: {}", self.0)
    }
}

impl std::error::Error for PushError {}

/// JSON form of a [`Push`].
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PushDocument {
    since: Option<Revision>,
    revision: Revision,
    objects: Vec<StoredDocument>,
}

/// JSON form of a [`StoredObject`], in pushes and in the output of commands.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StoredDocument {
    kind: Kind,
    name: Box<str>,
    revision: Revision,
    write_id: WriteId,
    spec: Option<Value>,
}

impl From<&StoredObject> for StoredDocument {
    fn from(stored: &StoredObject) -> StoredDocument {
        let spec = stored.object.as_ref().map(|object| {
            serde_json::from_slice(&object.to_document()).expect("documents are valid JSON")
        });
        StoredDocument {
            kind: stored.key.kind,
            name: stored.key.name.clone(),
            revision: stored.revision,
            write_id: stored.write_id.clone(),
            spec,
        }
    }
}

impl TryFrom<StoredDocument> for StoredObject {
    type Error = PushError;

    fn try_from(doc: StoredDocument) -> Result<StoredObject, PushError> {
        let object = match doc.spec {
            Some(spec) => {
                let parsed = Object::from_document(doc.kind, spec.to_string().as_bytes());
                Some(parsed.map_err(|err| PushError(err.to_string().into()))?)
            }
            None => None,
        };
        let key = ObjectKey { kind: doc.kind, name: doc.name };
        Ok(StoredObject { key, revision: doc.revision, write_id: doc.write_id, object })
    }
}

impl From<&Push> for PushDocument {
    fn from(push: &Push) -> PushDocument {
        let objects = push.objects.iter().map(StoredDocument::from).collect();
        PushDocument { since: push.since, revision: push.revision, objects }
    }
}

impl TryFrom<PushDocument> for Push {
    type Error = PushError;

    fn try_from(doc: PushDocument) -> Result<Push, PushError> {
        let objects =
            doc.objects.into_iter().map(StoredObject::try_from).collect::<Result<Vec<_>, _>>()?;
        let out_of_range = |stored: &&StoredObject| {
            stored.revision > doc.revision
                || doc.since.is_some_and(|since| stored.revision <= since)
        };
        if let Some(stored) = objects.iter().find(out_of_range) {
            return Err(PushError(format!("{} is outside of the revisions", stored.key).into()));
        }
        Ok(Push { since: doc.since, revision: doc.revision, objects })
    }
}
