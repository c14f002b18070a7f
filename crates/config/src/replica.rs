//! The replica and its indexes.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::ops::Bound;
use std::sync::Arc;

use model::{
    EndpointName, Kind, NodeName, Object, ObjectKey, Revision, Route, StoredObject, WriteId,
};

use crate::entry::{
    AccountEntry, ByName, ByPrefix, Entry, KeyEntry, MarkEntry, NodeEntry, Origin, RouteEntry,
    RoutePolicy, Stored, is_valid_name, trim_prefix,
};
use crate::transfer::{Chunks, Delta};

/// Changes that the replica can replay to a peer, tombstones included. At 38,000 changes a day
/// they reach 10 hours back; a peer that is further behind takes a full copy.
pub const MAX_LOG: usize = 16_384;

/// Policies that are kept before the unused ones are looked for.
const MIN_POLICIES: usize = 64;

/// What became of a listing or delta.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The replica moved to the new revision.
    Applied,
    /// The replica is at the new revision or beyond it; nothing changed.
    AlreadyKnown,
    /// Changes between the replica's revision and the start of the delta are missing; nothing
    /// changed.
    Gap,
    /// An object lies outside the revisions of the transfer or is not of its key's kind; nothing
    /// changed.
    Malformed,
}

/// Every object of the platform up to one revision.
///
/// ```
/// use config::{Applied, Replica};
/// use model::{Kind, Object, ObjectKey, Revision, StoredObject};
///
/// let document = br#"{"prefix":"/orders","service":"orders","access":"keyed","timeout_ms":500,
///     "idempotent":["GET"],"retry_budget":20,"floor":60}"#;
/// let route = StoredObject {
///     key: ObjectKey::new(Kind::Route, "orders"),
///     revision: Revision(3),
///     write_id: "w1".parse().unwrap(),
///     object: Some(Object::from_document(Kind::Route, document).unwrap()),
/// };
/// let mut replica = Replica::new();
/// assert_eq!(replica.apply_listing(Revision(4), vec![route]), Applied::Applied);
/// assert_eq!(replica.route("shop.example", "/orders/17").unwrap().name(), "orders");
/// assert!(replica.route("shop.example", "/ordersheet").is_none());
/// ```
#[derive(Debug, Default)]
pub struct Replica {
    revision: Revision,
    /// Deltas can be produced from this revision on.
    floor: Revision,
    /// Last write of every object that was written after `floor`.
    log: BTreeSet<(Revision, ObjectKey)>,
    tombstones: HashMap<ObjectKey, (Revision, WriteId)>,
    kind_revisions: [Revision; Kind::ALL.len()],
    routes: HashSet<ByName<Arc<RoutePolicy>>>,
    prefixes: HashSet<ByPrefix>,
    /// Routes whose host and prefix are also those of a route with a lower name.
    shadowed: BTreeMap<Box<str>, BTreeMap<Box<str>, Arc<RouteEntry>>>,
    depths: Depths,
    policies: HashSet<Arc<RoutePolicy>>,
    /// Number of policies at which unused ones are dropped.
    policies_limit: usize,
    accounts: HashSet<ByName<model::Account>>,
    keys: HashSet<ByName<model::KeyDigest>>,
    marks: BTreeMap<EndpointName, Arc<MarkEntry>>,
    nodes: BTreeMap<NodeName, Arc<NodeEntry>>,
}

impl Replica {
    /// An empty replica at revision zero.
    pub fn new() -> Replica {
        Replica::default()
    }

    /// The revision up to which every object is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Revision of the replica when an object of the kind last changed. Consumers compare it to
    /// learn whether what they derive from the kind is still current.
    pub fn kind_revision(&self, kind: Kind) -> Revision {
        self.kind_revisions[kind as usize]
    }

    /// Replaces the content by a full listing of the platform, which has no tombstones.
    pub fn apply_listing(&mut self, revision: Revision, objects: Vec<StoredObject>) -> Applied {
        if !self.accepts(revision) {
            return Applied::AlreadyKnown;
        }
        let mut next = Replica::with_floor(revision);
        for object in objects {
            if !is_well_formed(&object, Revision::ZERO, revision) {
                return Applied::Malformed;
            }
            next.put(object);
        }
        next.finish_copy(revision);
        *self = next;
        Applied::Applied
    }

    /// Applies the changes after `from` up to `to` in one step.
    ///
    /// Objects that the replica already knows are passed over, so `from` may lie below the
    /// replica's revision.
    pub fn apply_delta(
        &mut self,
        from: Revision,
        to: Revision,
        objects: Vec<StoredObject>,
    ) -> Applied {
        if to <= self.revision {
            return Applied::AlreadyKnown;
        }
        if from > self.revision {
            return Applied::Gap;
        }
        if !objects.iter().all(|object| is_well_formed(object, from, to)) {
            return Applied::Malformed;
        }
        let known = self.revision;
        for object in objects {
            if object.revision > known {
                self.kind_revisions[object.key.kind as usize] = to;
                self.put(object);
            }
        }
        self.revision = to;
        Applied::Applied
    }

    /// Replaces the content by a copy that [`crate::Incoming`] has put together.
    pub(crate) fn replace(&mut self, next: Replica) -> Applied {
        if !self.accepts(next.revision) {
            return Applied::AlreadyKnown;
        }
        *self = next;
        Applied::Applied
    }

    /// The changes since a revision, for a peer. `max_bytes` bounds the objects of one chunk; a
    /// single object that is larger travels alone.
    pub fn delta_since(&self, from: Revision, max_bytes: usize) -> Delta {
        if from >= self.revision {
            return Delta::UpToDate;
        }
        if from < self.floor {
            return Delta::FullCopyNeeded;
        }
        let after = (Bound::Excluded((from, last_key())), Bound::Unbounded);
        let objects = self.log.range(after).filter_map(|(_, key)| self.stored(key)).collect();
        Delta::Changes(Chunks::new(Some(from), self.floor, self.revision, objects, max_bytes))
    }

    /// A copy of everything, tombstones included, so that the receiver can produce the same
    /// deltas. Holds references to the objects, not copies of them.
    pub fn full_copy(&self, max_bytes: usize) -> Chunks {
        let mut objects = Vec::with_capacity(self.len() + self.tombstones.len());
        objects.extend(self.routes.iter().map(|e| Stored::Route(e.0.clone())));
        objects.extend(self.accounts.iter().map(|e| Stored::Account(e.0.clone())));
        objects.extend(self.keys.iter().map(|e| Stored::Key(e.0.clone())));
        objects.extend(self.marks.values().cloned().map(Stored::Mark));
        objects.extend(self.nodes.values().cloned().map(Stored::Node));
        objects.extend(self.tombstones.keys().filter_map(|key| self.stored(key)));
        Chunks::new(None, self.floor, self.revision, objects, max_bytes)
    }

    /// Number of objects, without tombstones.
    pub fn len(&self) -> usize {
        let hashed = self.routes.len() + self.accounts.len() + self.keys.len();
        hashed + self.marks.len() + self.nodes.len()
    }

    /// Tells whether there is no object.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// One object as the platform holds it, or its tombstone while that is kept.
    pub fn object(&self, key: &ObjectKey) -> Option<StoredObject> {
        self.stored(key).map(|stored| stored.to_object())
    }

    /// The route for a host and path: the one with the longest prefix that consists of the first
    /// whole segments of the path, and of those the one that names the host. A query is not
    /// considered. Of several routes with one host and prefix, the lowest name wins.
    ///
    /// Takes at most two hash lookups for each number of segments that a configured prefix has.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let mut end = self.depths.cut(path);
        let mut depth = count_segments(&path[..end]);
        let full = format!("{host}{path}");
        loop {
            if self.depths.has(depth) {
                let named = self.prefixes.get(&full[..host.len() + end]);
                let named = named.filter(|found| is_below(found.0.prefix(), end, path));
                if let Some(found) = named.or_else(|| self.prefixes.get(&path[..end])) {
                    return Some(&found.0);
                }
            }
            end = path[..end].rfind('/')?;
            depth -= 1;
        }
    }

    /// The route with a name.
    pub fn route_named(&self, name: &str) -> Option<&Arc<RouteEntry>> {
        self.routes.get(name).map(|e| &e.0)
    }

    /// Every route, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteEntry>> {
        self.routes.iter().map(|e| &e.0)
    }

    /// The key with a key id.
    pub fn key(&self, id: &str) -> Option<&Arc<KeyEntry>> {
        self.keys.get(id).map(|e| &e.0)
    }

    /// Every key, in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = &Arc<KeyEntry>> {
        self.keys.iter().map(|e| &e.0)
    }

    /// The client account with a name.
    pub fn account(&self, name: &str) -> Option<&Arc<AccountEntry>> {
        self.accounts.get(name).map(|e| &e.0)
    }

    /// Every client account, in no particular order.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<AccountEntry>> {
        self.accounts.iter().map(|e| &e.0)
    }

    /// The record of a member.
    pub fn member(&self, name: &NodeName) -> Option<&Arc<NodeEntry>> {
        self.nodes.get(name)
    }

    /// Every member with its record, by name.
    pub fn members(&self) -> impl Iterator<Item = (&NodeName, &Arc<NodeEntry>)> {
        self.nodes.iter()
    }

    /// The mark of an endpoint.
    pub fn mark(&self, name: &EndpointName) -> Option<&Arc<MarkEntry>> {
        self.marks.get(name)
    }

    /// Every endpoint mark, by name.
    pub fn marks(&self) -> impl Iterator<Item = (&EndpointName, &Arc<MarkEntry>)> {
        self.marks.iter()
    }

    fn accepts(&self, revision: Revision) -> bool {
        revision > self.revision || self.revision == Revision::ZERO && self.is_empty()
    }

    /// An empty replica that is to be filled by [`Replica::put`]. Objects up to the floor are
    /// kept out of the log, since deletions among them may be missing.
    pub(crate) fn with_floor(floor: Revision) -> Replica {
        Replica { floor, ..Replica::default() }
    }

    /// Marks a copy as complete.
    pub(crate) fn finish_copy(&mut self, revision: Revision) {
        self.revision = revision;
        self.kind_revisions = [revision; Kind::ALL.len()];
    }

    fn trim_log(&mut self) {
        while self.log.len() > MAX_LOG {
            let Some((revision, key)) = self.log.pop_first() else { return };
            self.floor = self.floor.max(revision);
            if self.tombstones.get(&key).is_some_and(|(written, _)| *written == revision) {
                self.tombstones.remove(&key);
            }
        }
    }

    /// Puts one object in place of its earlier version.
    pub(crate) fn put(&mut self, new: StoredObject) {
        let StoredObject { key, revision, write_id, object } = new;
        self.take(&key);
        if revision > self.floor {
            self.log.insert((revision, key.clone()));
            self.trim_log();
        }
        let object = object.filter(|_| is_valid_name(&key.name));
        let Some(object) = object else {
            if revision <= self.floor {
                return;
            }
            self.tombstones.insert(key, (revision, write_id));
            return;
        };
        let origin = Origin { name: &key.name, write_id: &write_id, revision };
        match object {
            Object::Route(route) => self.put_route(origin, route),
            Object::Account(account) => {
                self.accounts.insert(ByName(Entry::new(origin, "", account)));
            }
            Object::Key(key) => {
                let entry = Entry::new(origin, key.account.as_str(), key.digest);
                self.keys.insert(ByName(entry));
            }
            Object::EndpointMark(mark) => {
                if let Ok(name) = key.name.parse() {
                    self.marks.insert(name, Entry::new(origin, "", mark));
                }
            }
            Object::Node(node) => {
                if let Ok(name) = key.name.parse() {
                    self.nodes.insert(name, Entry::new(origin, "", node));
                }
            }
        }
    }

    fn put_route(&mut self, origin: Origin<'_>, route: Route) {
        let policy = self.intern(RoutePolicy {
            service: route.service,
            split: route.split,
            selector: route.selector,
            access: route.access,
            timeout_ms: route.timeout_ms,
            goal_ms: route.goal_ms,
            idempotent: route.idempotent,
            retry_budget: route.retry_budget,
            floor: route.floor,
            attempts: route.attempts,
            priority: route.priority,
        });
        let text = format!("{}{}", route.host.as_deref().unwrap_or_default(), route.prefix);
        let entry = Entry::new(origin, &text, policy);
        self.routes.insert(ByName(entry.clone()));
        self.depths.add(trim_prefix(&route.prefix));
        let new = ByPrefix(entry);
        let Some(old) = self.prefixes.take(new.trimmed()) else {
            self.prefixes.insert(new);
            return;
        };
        let (first, other) = if old.0.name() < new.0.name() { (old, new) } else { (new, old) };
        let names = self.shadowed.entry(first.trimmed().into()).or_default();
        names.insert(other.0.name().into(), other.0);
        self.prefixes.insert(first);
    }

    fn intern(&mut self, policy: RoutePolicy) -> Arc<RoutePolicy> {
        if let Some(known) = self.policies.get(&policy) {
            return known.clone();
        }
        if self.policies.len() >= self.policies_limit {
            self.policies.retain(|policy| Arc::strong_count(policy) > 1);
            self.policies_limit = 2 * self.policies.len() + MIN_POLICIES;
        }
        let policy = Arc::new(policy);
        self.policies.insert(policy.clone());
        policy
    }

    /// Removes an object or tombstone and its place in the log.
    fn take(&mut self, key: &ObjectKey) {
        let name = &*key.name;
        let mut revision = self.tombstones.remove(key).map(|(revision, _)| revision);
        let live = match key.kind {
            Kind::Route => self.take_route(name),
            Kind::Account => self.accounts.take(name).map(|e| e.0.revision()),
            Kind::Key => self.keys.take(name).map(|e| e.0.revision()),
            Kind::EndpointMark => self.marks.remove(name).map(|e| e.revision()),
            Kind::Node => self.nodes.remove(name).map(|e| e.revision()),
        };
        revision = live.or(revision);
        if let Some(revision) = revision {
            self.log.remove(&(revision, key.clone()));
        }
    }

    fn take_route(&mut self, name: &str) -> Option<Revision> {
        let entry = self.routes.take(name)?.0;
        self.depths.remove(trim_prefix(entry.prefix()));
        let entry = ByPrefix(entry);
        self.take_prefix(entry.trimmed(), name);
        Some(entry.0.revision())
    }

    fn take_prefix(&mut self, prefix: &str, name: &str) {
        let Some(names) = self.shadowed.get_mut(prefix) else {
            self.prefixes.remove(prefix);
            return;
        };
        if names.remove(name).is_none() {
            self.prefixes.remove(prefix);
            if let Some((_, entry)) = names.pop_first() {
                self.prefixes.insert(ByPrefix(entry));
            }
        }
        if names.is_empty() {
            self.shadowed.remove(prefix);
        }
    }

    fn stored(&self, key: &ObjectKey) -> Option<Stored> {
        let name = &*key.name;
        if let Some((revision, write_id)) = self.tombstones.get(key) {
            let (revision, write_id) = (*revision, write_id.clone());
            return Some(Stored::Tombstone { key: key.clone(), revision, write_id });
        }
        match key.kind {
            Kind::Route => self.route_named(name).cloned().map(Stored::Route),
            Kind::Account => self.account(name).cloned().map(Stored::Account),
            Kind::Key => self.key(name).cloned().map(Stored::Key),
            Kind::EndpointMark => self.marks.get(name).cloned().map(Stored::Mark),
            Kind::Node => self.nodes.get(name).cloned().map(Stored::Node),
        }
    }
}

/// How many routes have a prefix of how many segments.
#[derive(Debug, Default)]
struct Depths {
    counts: Vec<u32>,
    /// Length of the longest prefix so far; no longer part of a path needs to be hashed.
    longest: usize,
}

impl Depths {
    fn add(&mut self, prefix: &str) {
        let depth = count_segments(prefix);
        if self.counts.len() <= depth {
            self.counts.resize(depth + 1, 0);
        }
        self.counts[depth] += 1;
        self.longest = self.longest.max(prefix.len());
    }

    fn remove(&mut self, prefix: &str) {
        self.counts[count_segments(prefix)] -= 1;
        while self.counts.last() == Some(&0) {
            self.counts.pop();
        }
    }

    fn has(&self, depth: usize) -> bool {
        self.counts.get(depth).is_some_and(|count| *count > 0)
    }

    /// End of the longest run of whole segments that can match a prefix.
    fn cut(&self, path: &str) -> usize {
        let deepest = self.counts.len().saturating_sub(1);
        let bytes = path.as_bytes();
        let within = bytes.len().min(self.longest + 1);
        let mut slashes = (0..within).filter(|index| bytes[*index] == b'/');
        if let Some(end) = slashes.nth(deepest) {
            return end;
        }
        if bytes.len() <= self.longest {
            return bytes.len();
        }
        // The segment that starts here goes on beyond the longest prefix.
        bytes[..within].iter().rposition(|b| *b == b'/').unwrap_or(0)
    }
}

fn count_segments(prefix: &str) -> usize {
    prefix.bytes().filter(|b| *b == b'/').count()
}

fn is_well_formed(object: &StoredObject, from: Revision, to: Revision) -> bool {
    let kind_matches = object.object.as_ref().is_none_or(|o| o.kind() == object.key.kind);
    let in_range = object.revision <= to && (object.revision > from || from == Revision::ZERO);
    kind_matches && in_range
}

/// Tells whether a path that has a prefix as its first `end` bytes lies below it, where the prefix
/// asks for that by its last slash.
fn is_below(prefix: &str, end: usize, path: &str) -> bool {
    !prefix.ends_with('/') || path[end..].starts_with('/')
}

/// Sorts after every valid key, since names hold no character beyond `~`.
fn last_key() -> ObjectKey {
    ObjectKey::new(Kind::Node, "\u{10ffff}")
}
