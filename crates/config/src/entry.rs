//! Compact in-memory representation of the objects in a replica.

use std::borrow::Borrow;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use model::{
    ANY_METHOD, Access, Account, CallerLimits, EndpointMark, Evacuation, Key, KeyDigest, Kind,
    NodeName, NodeRecord, Object, ObjectKey, Percent, Revision, Route, Selector, ServiceName,
    ServicePolicy, ServiceShare, StoredObject, WriteId,
};

/// The fields of a route except its host and prefix. Routes with equal fields share one value,
/// because most routes of a service differ only in their prefix.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RoutePolicy {
    /// The service that handles the requests.
    pub service: ServiceName,
    /// Services among which the requests are split by weight. If empty, all requests go to
    /// `service`.
    pub split: Vec<ServiceShare>,
    /// Selects endpoints of the service by their labels.
    pub selector: Selector,
    /// Who may use the route.
    pub access: Access,
    /// Time from the arrival of a request to its deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Target response time, measured from the arrival of a request, in milliseconds. A response is
    /// worth less after it.
    pub goal_ms: Option<u64>,
    /// Methods whose requests may be executed more than once.
    pub idempotent: Vec<Box<str>>,
    /// Maximum number of retries, as a percentage of the requests.
    pub retry_budget: Percent,
    /// Percentage of the endpoints that must stay trusted. If fewer are trusted, calls may also use
    /// suspect endpoints.
    pub floor: Percent,
    /// Maximum number of endpoints that one request may be sent to.
    pub attempts: u32,
    /// Priority under overload; 0 is the highest.
    pub priority: u8,
}

impl RoutePolicy {
    /// Returns the time from the arrival of a request to its deadline.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns the target response time, measured from the arrival of a request.
    pub fn goal(&self) -> Option<Duration> {
        self.goal_ms.map(Duration::from_millis)
    }

    /// Returns whether requests with the given method may be executed more than once.
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent.iter().any(|name| &**name == method || &**name == ANY_METHOD)
    }

    /// Returns the sum of the weights of the split; 0 if all requests go to one service.
    pub fn total_weight(&self) -> u64 {
        self.split.iter().map(|share| u64::from(share.weight)).sum()
    }

    /// Returns the service for a point from 0 to below [`RoutePolicy::total_weight`], of which each
    /// service of the split has as many as its weight.
    pub fn service_at(&self, point: u64) -> &ServiceName {
        let mut rest = point;
        for share in &self.split {
            match rest.checked_sub(u64::from(share.weight)) {
                Some(left) => rest = left,
                None => return &share.service,
            }
        }
        &self.service
    }

    fn to_route(&self, host: Option<&str>, prefix: &str) -> Route {
        Route {
            host: host.map(Into::into),
            prefix: prefix.into(),
            service: self.service.clone(),
            split: self.split.clone(),
            selector: self.selector.clone(),
            access: self.access,
            timeout_ms: self.timeout_ms,
            goal_ms: self.goal_ms,
            idempotent: self.idempotent.clone(),
            retry_budget: self.retry_budget,
            floor: self.floor,
            attempts: self.attempts,
            priority: self.priority,
        }
    }
}

/// One object of the replica. Its strings share one allocation, because the overhead of separate
/// allocations would be about as large as the strings themselves.
#[derive(Debug)]
pub struct Entry<T> {
    /// The name, the write id, and a suffix that depends on the kind: host and prefix of a route,
    /// or account of a key.
    text: Box<str>,
    name_end: u16,
    write_id_end: u16,
    revision: Revision,
    value: T,
}

/// A route. The suffix is its host, which may be empty, followed by its prefix.
pub type RouteEntry = Entry<Arc<RoutePolicy>>;
/// A client account.
pub type AccountEntry = Entry<Account>;
/// A key. The suffix is the name of its account.
pub type KeyEntry = Entry<KeyDigest>;
/// Labels and drain state that operators have set for an endpoint.
pub type MarkEntry = Entry<EndpointMark>;
/// The record of a node.
pub type NodeEntry = Entry<NodeRecord>;
/// Bounds on what callers may send.
pub type CallerLimitsEntry = Entry<CallerLimits>;
/// An evacuation of a failure domain.
pub type EvacuationEntry = Entry<Evacuation>;
/// The policy of a service.
pub type ServiceEntry = Entry<ServicePolicy>;

impl<T> Entry<T> {
    /// Creates an entry. `name` and `write_id` must have been validated as identifiers, which limits
    /// their length to the range of the `u16` offsets.
    pub(crate) fn new(meta: EntryMeta<'_>, suffix: &str, value: T) -> Arc<Entry<T>> {
        let EntryMeta { name, write_id, revision } = meta;
        let text = [name, write_id.as_str(), suffix].concat().into_boxed_str();
        let write_id_end = name.len() + write_id.as_str().len();
        Arc::new(Entry {
            text,
            name_end: name.len() as u16,
            write_id_end: write_id_end as u16,
            revision,
            value,
        })
    }

    /// Returns the name of the object.
    pub fn name(&self) -> &str {
        &self.text[..usize::from(self.name_end)]
    }

    /// Returns the identifier of the last write.
    pub fn write_id(&self) -> WriteId {
        let text = &self.text[usize::from(self.name_end)..usize::from(self.write_id_end)];
        text.parse().expect("a stored write id must be valid")
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the content that is specific to the kind.
    pub fn value(&self) -> &T {
        &self.value
    }

    fn suffix(&self) -> &str {
        &self.text[usize::from(self.write_id_end)..]
    }
}

impl RouteEntry {
    /// Returns the path prefix as configured, with any trailing slash.
    pub fn prefix(&self) -> &str {
        &self.suffix()[self.host_len()..]
    }

    /// Returns the host that the route is limited to, or `None` if it applies to all hosts.
    pub fn host(&self) -> Option<&str> {
        Some(&self.suffix()[..self.host_len()]).filter(|host| !host.is_empty())
    }

    /// Length of the host in the suffix. A host contains no slash and a prefix starts with one.
    fn host_len(&self) -> usize {
        self.suffix().find('/').unwrap_or_default()
    }

    /// Returns the fields other than host and prefix.
    pub fn policy(&self) -> &Arc<RoutePolicy> {
        &self.value
    }
}

impl KeyEntry {
    /// Returns the name of the account that the key belongs to.
    pub fn account(&self) -> &str {
        self.suffix()
    }
}

/// Name and last write of an object.
#[derive(Clone, Copy)]
pub(crate) struct EntryMeta<'a> {
    pub name: &'a str,
    pub write_id: &'a WriteId,
    pub revision: Revision,
}

/// An entry that is hashed and compared by its name.
#[derive(Debug)]
pub(crate) struct ByName<T>(pub Arc<Entry<T>>);

impl<T> Borrow<str> for ByName<T> {
    fn borrow(&self) -> &str {
        self.0.name()
    }
}

impl<T> Hash for ByName<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.name().hash(state);
    }
}

impl<T> PartialEq for ByName<T> {
    fn eq(&self, other: &ByName<T>) -> bool {
        self.0.name() == other.0.name()
    }
}

impl<T> Eq for ByName<T> {}

/// A route that is hashed and compared by its host and prefix, without a trailing slash.
#[derive(Debug)]
pub(crate) struct ByPrefix(pub Arc<RouteEntry>);

impl ByPrefix {
    pub(crate) fn trimmed(&self) -> &str {
        trim_trailing_slashes(self.0.suffix())
    }
}

/// Removes trailing slashes, because `/a/` and `/a` share an index entry. The root becomes the
/// empty string.
pub(crate) fn trim_trailing_slashes(prefix: &str) -> &str {
    prefix.trim_end_matches('/')
}

impl Borrow<str> for ByPrefix {
    fn borrow(&self) -> &str {
        self.trimmed()
    }
}

impl Hash for ByPrefix {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.trimmed().hash(state);
    }
}

impl PartialEq for ByPrefix {
    fn eq(&self, other: &ByPrefix) -> bool {
        self.trimmed() == other.trimmed()
    }
}

impl Eq for ByPrefix {}

/// A reference to an object of any kind, or a tombstone.
#[derive(Debug, Clone)]
pub(crate) enum StoredEntry {
    Route(Arc<RouteEntry>),
    Account(Arc<AccountEntry>),
    Key(Arc<KeyEntry>),
    Mark(Arc<MarkEntry>),
    Node(Arc<NodeEntry>),
    CallerLimits(Arc<CallerLimitsEntry>),
    Evacuation(Arc<EvacuationEntry>),
    Service(Arc<ServiceEntry>),
    Tombstone { key: ObjectKey, revision: Revision, write_id: WriteId },
}

impl StoredEntry {
    pub(crate) fn to_stored_object(&self) -> StoredObject {
        match self {
            StoredEntry::Route(e) => stored_object(
                Kind::Route,
                e,
                Object::Route(e.policy().to_route(e.host(), e.prefix())),
            ),
            StoredEntry::Account(e) => {
                stored_object(Kind::Account, e, Object::Account(e.value().clone()))
            }
            StoredEntry::Key(e) => {
                let account = e.account().parse().expect("a stored account name must be valid");
                stored_object(Kind::Key, e, Object::Key(Key { account, digest: e.value().clone() }))
            }
            StoredEntry::Mark(e) => {
                stored_object(Kind::EndpointMark, e, Object::EndpointMark(e.value().clone()))
            }
            StoredEntry::Node(e) => stored_object(Kind::Node, e, Object::Node(e.value().clone())),
            StoredEntry::CallerLimits(e) => {
                stored_object(Kind::CallerLimits, e, Object::CallerLimits(*e.value()))
            }
            StoredEntry::Evacuation(e) => {
                stored_object(Kind::Evacuation, e, Object::Evacuation(*e.value()))
            }
            StoredEntry::Service(e) => stored_object(Kind::Service, e, Object::Service(*e.value())),
            StoredEntry::Tombstone { key, revision, write_id } => StoredObject {
                key: key.clone(),
                revision: *revision,
                write_id: write_id.clone(),
                object: None,
            },
        }
    }

    /// Returns an upper estimate of the encoded size of the object in a frame, in bytes.
    pub(crate) fn max_frame_bytes(&self) -> usize {
        // Field names, numbers and separators, in bytes: first those that all objects have, then
        // those of each kind and of each nested element.
        const OBJECT_BYTES: usize = 160;
        const ROUTE_BYTES: usize = 160;
        const METHOD_BYTES: usize = 4;
        const SERVICE_SHARE_BYTES: usize = 32;
        const ACCOUNT_BYTES: usize = 32;
        const KEY_BYTES: usize = 96;
        const MARK_BYTES: usize = 32;
        const NODE_BYTES: usize = 160;
        const ENDPOINT_BYTES: usize = 160;
        const LABEL_BYTES: usize = 8;
        const CALLER_LIMITS_BYTES: usize = 160;
        const SERVICE_BYTES: usize = 160;
        let labels = |labels: &model::Labels| {
            labels.iter().map(|(k, v)| k.len() + v.len() + LABEL_BYTES).sum::<usize>()
        };
        let kind_bytes = match self {
            StoredEntry::Route(e) => {
                let policy = e.policy();
                let methods = policy.idempotent.iter().map(|m| m.len() + METHOD_BYTES);
                let split = policy.split.iter();
                let split = split.map(|s| s.service.as_str().len() + SERVICE_SHARE_BYTES);
                let selector = policy.selector.to_string().len();
                let lists = methods.sum::<usize>() + split.sum::<usize>();
                e.text.len() + policy.service.as_str().len() + selector + lists + ROUTE_BYTES
            }
            StoredEntry::Account(e) => e.text.len() + ACCOUNT_BYTES,
            StoredEntry::Key(e) => e.text.len() + KEY_BYTES,
            StoredEntry::Mark(e) => e.text.len() + labels(&e.value().labels) + MARK_BYTES,
            StoredEntry::Node(e) => {
                let endpoint = |e: &model::Endpoint| {
                    let names = e.name.as_str().len() + e.service.as_str().len();
                    names + labels(&e.labels) + ENDPOINT_BYTES
                };
                let endpoints: usize = e.value.endpoints.iter().map(endpoint).sum();
                e.text.len() + e.value.domain.as_str().len() + endpoints + NODE_BYTES
            }
            StoredEntry::CallerLimits(e) => e.text.len() + CALLER_LIMITS_BYTES,
            StoredEntry::Evacuation(e) => e.text.len(),
            StoredEntry::Service(e) => e.text.len() + SERVICE_BYTES,
            StoredEntry::Tombstone { key, write_id, .. } => {
                key.name.len() + write_id.as_str().len()
            }
        };
        OBJECT_BYTES + kind_bytes
    }
}

fn stored_object<T>(kind: Kind, entry: &Entry<T>, object: Object) -> StoredObject {
    StoredObject {
        key: ObjectKey::new(kind, entry.name()),
        revision: entry.revision,
        write_id: entry.write_id(),
        object: Some(object),
    }
}

/// Returns whether a name is valid for an object.
pub(crate) fn is_valid_name(name: &str) -> bool {
    name.parse::<NodeName>().is_ok()
}
