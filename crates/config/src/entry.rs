//! Objects in the compact form in which the replica keeps them.

use std::borrow::Borrow;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use model::{
    ANY_METHOD, Access, Account, EndpointMark, Key, KeyDigest, Kind, NodeName, NodeRecord, Object,
    ObjectKey, Percent, Revision, Route, Selector, ServiceName, ServiceShare, StoredObject,
    WriteId,
};

/// The fields of a route except its host and prefix. Routes with equal fields share one value, because the
/// routes of a service mostly differ in nothing but the prefix.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RoutePolicy {
    /// The service whose upstreams are considered.
    pub service: ServiceName,
    /// Services among which the requests are divided; all go to `service` if empty.
    pub split: Vec<ServiceShare>,
    /// Picks upstreams of the service.
    pub selector: Selector,
    /// Who may use the route.
    pub access: Access,
    /// Time from the arrival of a request to its deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Time from the arrival of a request in which its answer is worth most, in milliseconds.
    pub goal_ms: Option<u64>,
    /// Methods that may be run more than once.
    pub idempotent: Vec<Box<str>>,
    /// Retries allowed, as a share of the calls.
    pub retry_budget: Percent,
    /// Share of the slots that ejections must leave healthy.
    pub floor: Percent,
    /// Endpoints that one request may be sent to.
    pub attempts: u32,
    /// Rank under overload; 0 goes first.
    pub priority: u8,
}

impl RoutePolicy {
    /// Time from the arrival of a request to its deadline.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Time from the arrival of a request in which its answer is worth most.
    pub fn goal(&self) -> Option<Duration> {
        self.goal_ms.map(Duration::from_millis)
    }

    /// Tells whether a method may be run more than once.
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent.iter().any(|name| &**name == method || &**name == ANY_METHOD)
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

/// One object of the replica. Its texts share one allocation, since an allocation of its own for
/// each text would cost as much as the text.
#[derive(Debug)]
pub struct Entry<T> {
    /// The name, the write id and the text that belongs to the kind (host and prefix, or account).
    text: Box<str>,
    name_end: u16,
    write_end: u16,
    revision: Revision,
    value: T,
}

/// A route; the extra text is its host, which may be empty, followed by its prefix.
pub type RouteEntry = Entry<Arc<RoutePolicy>>;
/// A client account.
pub type AccountEntry = Entry<Account>;
/// A key; the extra text is the name of its account.
pub type KeyEntry = Entry<KeyDigest>;
/// Labels and drain state of an endpoint.
pub type MarkEntry = Entry<EndpointMark>;
/// A node.
pub type NodeEntry = Entry<NodeRecord>;

impl<T> Entry<T> {
    /// `name` and `write_id` must have passed the check for identifiers, which bounds their length.
    pub(crate) fn new(origin: Origin<'_>, extra: &str, value: T) -> Arc<Entry<T>> {
        let Origin { name, write_id, revision } = origin;
        let text = [name, write_id.as_str(), extra].concat().into_boxed_str();
        let write_end = name.len() + write_id.as_str().len();
        Arc::new(Entry {
            text,
            name_end: name.len() as u16,
            write_end: write_end as u16,
            revision,
            value,
        })
    }

    /// The name of the object.
    pub fn name(&self) -> &str {
        &self.text[..usize::from(self.name_end)]
    }

    /// Identifier of the last write.
    pub fn write_id(&self) -> WriteId {
        let text = &self.text[usize::from(self.name_end)..usize::from(self.write_end)];
        text.parse().expect("the text was made from a write id")
    }

    /// Revision of the last write.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The content.
    pub fn value(&self) -> &T {
        &self.value
    }

    fn extra(&self) -> &str {
        &self.text[usize::from(self.write_end)..]
    }
}

impl RouteEntry {
    /// The path prefix as it was written.
    pub fn prefix(&self) -> &str {
        &self.extra()[self.host_bytes()..]
    }

    /// The host that a request must name; every host if absent.
    pub fn host(&self) -> Option<&str> {
        Some(&self.extra()[..self.host_bytes()]).filter(|host| !host.is_empty())
    }

    /// A host has no slash and a prefix starts with one.
    fn host_bytes(&self) -> usize {
        self.extra().find('/').unwrap_or_default()
    }

    /// Everything but the prefix.
    pub fn policy(&self) -> &Arc<RoutePolicy> {
        &self.value
    }
}

impl KeyEntry {
    /// Name of the account that the key belongs to.
    pub fn account(&self) -> &str {
        self.extra()
    }
}

/// Where an entry comes from.
#[derive(Clone, Copy)]
pub(crate) struct Origin<'a> {
    pub name: &'a str,
    pub write_id: &'a WriteId,
    pub revision: Revision,
}

/// Hashes and compares an entry by its name.
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

/// Hashes and compares a route by its host and prefix without a trailing slash.
#[derive(Debug)]
pub(crate) struct ByPrefix(pub Arc<RouteEntry>);

impl ByPrefix {
    pub(crate) fn trimmed(&self) -> &str {
        trim_prefix(self.0.extra())
    }
}

/// `/a/` and `/a` match the same paths; the root becomes the empty text.
pub(crate) fn trim_prefix(prefix: &str) -> &str {
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

/// A reference to one object of any kind, or a tombstone.
#[derive(Debug, Clone)]
pub(crate) enum Stored {
    Route(Arc<RouteEntry>),
    Account(Arc<AccountEntry>),
    Key(Arc<KeyEntry>),
    Mark(Arc<MarkEntry>),
    Node(Arc<NodeEntry>),
    Tombstone { key: ObjectKey, revision: Revision, write_id: WriteId },
}

impl Stored {
    pub(crate) fn to_object(&self) -> StoredObject {
        match self {
            Stored::Route(e) => {
                stored(Kind::Route, e, Object::Route(e.policy().to_route(e.host(), e.prefix())))
            }
            Stored::Account(e) => stored(Kind::Account, e, Object::Account(e.value().clone())),
            Stored::Key(e) => {
                let account = e.account().parse().expect("the text was made from an account name");
                stored(Kind::Key, e, Object::Key(Key { account, digest: e.value().clone() }))
            }
            Stored::Mark(e) => {
                stored(Kind::EndpointMark, e, Object::EndpointMark(e.value().clone()))
            }
            Stored::Node(e) => stored(Kind::Node, e, Object::Node(e.value().clone())),
            Stored::Tombstone { key, revision, write_id } => StoredObject {
                key: key.clone(),
                revision: *revision,
                write_id: write_id.clone(),
                object: None,
            },
        }
    }

    /// Bytes that the object takes in a frame, rounded up.
    pub(crate) fn frame_bytes(&self) -> usize {
        /// Field names, numbers and separators of one object.
        const FIXED: usize = 160;
        let labels = |entry: &MarkEntry| {
            entry.value().labels.iter().map(|(k, v)| k.len() + v.len() + 8).sum::<usize>()
        };
        FIXED
            + match self {
                Stored::Route(e) => {
                    let policy = e.policy();
                    let methods: usize = policy.idempotent.iter().map(|m| m.len() + 4).sum();
                    let selector = policy.selector.to_string().len();
                    let split = policy.split.iter().map(|s| s.service.as_str().len() + 32);
                    let split: usize = split.sum();
                    e.text.len() + policy.service.as_str().len() + selector + methods + split + 160
                }
                Stored::Account(e) => e.text.len() + 32,
                Stored::Key(e) => e.text.len() + 96,
                Stored::Mark(e) => e.text.len() + labels(e) + 32,
                Stored::Node(e) => {
                    let endpoint = |e: &model::Endpoint| {
                        let labels = e.labels.iter().map(|(k, v)| k.len() + v.len() + 8);
                        e.name.as_str().len() + e.service.as_str().len() + labels.sum::<usize>()
                    };
                    let endpoints = e.value.endpoints.iter().map(|e| endpoint(e) + 160);
                    e.text.len() + e.value.domain.as_str().len() + endpoints.sum::<usize>() + 160
                }
                Stored::Tombstone { key, write_id, .. } => key.name.len() + write_id.as_str().len(),
            }
    }
}

fn stored<T>(kind: Kind, entry: &Entry<T>, object: Object) -> StoredObject {
    StoredObject {
        key: ObjectKey::new(kind, entry.name()),
        revision: entry.revision,
        write_id: entry.write_id(),
        object: Some(object),
    }
}

/// Tells whether a name can be used for an object.
pub(crate) fn is_valid_name(name: &str) -> bool {
    name.parse::<NodeName>().is_ok()
}
