//! The replica of one feed of configuration objects and its indexes.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::ops::Bound;
use std::sync::Arc;

use model::{
    CallerLimits, EndpointName, FailureDomain, Kind, NodeName, Object, ObjectKey, Revision, Route,
    ServicePolicy, StoredObject, WriteId,
};

use crate::entry::{
    AccountEntry, ByName, ByPrefix, CallerLimitsEntry, Entry, EntryMeta, EvacuationEntry, KeyEntry,
    MarkEntry, NodeEntry, RouteEntry, RoutePolicy, ServiceEntry, StoredEntry, is_valid_name,
    trim_trailing_slashes,
};
use crate::transfer::{Chunk, Chunks, Delta};

mod retained;

pub use retained::Retained;

/// Maximum number of changes, including deletions, that the replica can replay to a peer. At 38,000
/// changes per day the log covers 10 hours. A peer that is further behind receives a full copy.
pub const MAX_CHANGE_LOG_LEN: usize = 16_384;

/// Minimum number of interned policies before unused ones are purged.
const MIN_POLICIES_BEFORE_PURGE: usize = 64;

/// Result of applying a listing, a delta or a full copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The replica moved to the new revision.
    Applied,
    /// The replica has already reached the new revision; nothing changed.
    AlreadyKnown,
    /// Changes between the replica's revision and the start of the delta are missing; nothing
    /// changed.
    Gap,
    /// An object is outside the revision range of the transfer or does not have the kind of its
    /// key; nothing changed.
    Malformed,
}

/// All objects of one feed up to one revision.
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
    /// Changes up to this revision were compacted: deltas can only start at it or later.
    compact_revision: Revision,
    /// Last write of each object that was written after `compact_revision`.
    change_log: BTreeSet<(Revision, ObjectKey)>,
    tombstones: HashMap<ObjectKey, (Revision, WriteId)>,
    kind_revisions: [Revision; Kind::ALL.len()],
    routes: HashSet<ByName<Arc<RoutePolicy>>>,
    routes_by_prefix: HashSet<ByPrefix>,
    /// Routes that have the same host and prefix as a route with a lower name, by host and prefix
    /// and then by name.
    shadowed: BTreeMap<Box<str>, BTreeMap<Box<str>, Arc<RouteEntry>>>,
    prefix_depths: PrefixDepths,
    policies: HashSet<Arc<RoutePolicy>>,
    /// Size of `policies` at which unused ones are purged.
    policies_limit: usize,
    accounts: HashSet<ByName<model::Account>>,
    keys: HashSet<ByName<model::KeyDigest>>,
    marks: BTreeMap<EndpointName, Arc<MarkEntry>>,
    nodes: BTreeMap<NodeName, Arc<NodeEntry>>,
    caller_limits: BTreeMap<Box<str>, Arc<CallerLimitsEntry>>,
    evacuations: BTreeMap<FailureDomain, Arc<EvacuationEntry>>,
    services: BTreeMap<Box<str>, Arc<ServiceEntry>>,
    /// Whether writes that a restored store lacks are retained.
    retains: bool,
    /// Objects whose last write the store lacks, with the revision that it has instead.
    retained: BTreeMap<ObjectKey, Option<Revision>>,
    /// Latest era in which a listing of the store was applied.
    listed_era: Option<u64>,
}

impl Replica {
    /// Creates an empty replica at revision zero.
    pub fn new() -> Replica {
        Replica::default()
    }

    /// Returns the revision up to which the replica is complete.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision that the replica reached when an object of the given kind last changed.
    /// Consumers use it to check whether data derived from objects of that kind is still up to
    /// date.
    pub fn kind_revision(&self, kind: Kind) -> Revision {
        self.kind_revisions[kind as usize]
    }

    /// Replaces the content with a full listing from the platform, which contains no tombstones. A
    /// replica that retains lost writes merges the first listing of an era with its content.
    pub fn apply_listing(&mut self, revision: Revision, objects: Vec<StoredObject>) -> Applied {
        if self.is_merged(revision) {
            let applied = self.merge(revision, objects);
            if applied == Applied::Applied {
                self.listed_era = Some(revision.era());
            }
            return applied;
        }
        if !self.accepts_snapshot_at(revision) {
            return Applied::AlreadyKnown;
        }
        let mut next = Replica::with_compact_revision(revision);
        for object in objects {
            if !is_well_formed(&object, Revision::ZERO, revision) {
                return Applied::Malformed;
            }
            next.insert(object);
        }
        next.finish_snapshot(revision);
        next.take_over_retained(self);
        next.listed_era = Some(revision.era());
        *self = next;
        Applied::Applied
    }

    /// Atomically applies the changes after `from` up to and including `to`.
    ///
    /// Changes that the replica already has are skipped, so `from` may be lower than the revision
    /// of the replica.
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
                self.insert(object);
            }
        }
        self.revision = to;
        Applied::Applied
    }

    /// Replaces the content with a full copy that [`crate::TransferReceiver`] has reassembled.
    pub(crate) fn replace(&mut self, mut next: Replica) -> Applied {
        if !self.accepts_snapshot_at(next.revision) {
            return Applied::AlreadyKnown;
        }
        if self.is_merged(next.revision) {
            let chunks = next.full_copy(usize::MAX);
            return self.merge(next.revision, chunks.flat_map(|chunk| chunk.objects).collect());
        }
        next.take_over_retained(self);
        *self = next;
        Applied::Applied
    }

    /// Returns the changes since a revision, for a peer. `max_bytes` limits the size of the objects
    /// in a chunk; a larger object is sent in a chunk of its own.
    pub fn delta_since(&self, from: Revision, max_bytes: usize) -> Delta {
        if from >= self.revision {
            return Delta::UpToDate;
        }
        if from < self.compact_revision {
            return Delta::FullCopyNeeded;
        }
        let after = (Bound::Excluded((from, max_key())), Bound::Unbounded);
        let changed = self.change_log.range(after);
        let objects = changed.filter_map(|(_, key)| self.stored_entry(key)).collect();
        let (compacted, to) = (self.compact_revision, self.revision);
        Delta::Changes(Chunks::new(Some(from), compacted, to, objects, max_bytes))
    }

    /// Returns a copy of the whole content. It includes the tombstones, so that the receiver can
    /// produce the same deltas. It holds references to the objects instead of cloning them.
    pub fn full_copy(&self, max_bytes: usize) -> Chunks {
        let mut objects = Vec::with_capacity(self.len() + self.tombstones.len());
        objects.extend(self.routes.iter().map(|e| StoredEntry::Route(e.0.clone())));
        objects.extend(self.accounts.iter().map(|e| StoredEntry::Account(e.0.clone())));
        objects.extend(self.keys.iter().map(|e| StoredEntry::Key(e.0.clone())));
        objects.extend(self.marks.values().cloned().map(StoredEntry::Mark));
        objects.extend(self.nodes.values().cloned().map(StoredEntry::Node));
        objects.extend(self.caller_limits.values().cloned().map(StoredEntry::CallerLimits));
        objects.extend(self.evacuations.values().cloned().map(StoredEntry::Evacuation));
        objects.extend(self.services.values().cloned().map(StoredEntry::Service));
        objects.extend(self.tombstones.keys().filter_map(|key| self.stored_entry(key)));
        Chunks::new(None, self.compact_revision, self.revision, objects, max_bytes)
    }

    /// Returns the last write of one object, as a transfer of its own.
    pub fn copy_of(&self, key: &ObjectKey) -> Chunk {
        Chunk {
            from: None,
            compact_revision: self.compact_revision,
            to: self.revision,
            index: 0,
            last: true,
            objects: self.object(key).into_iter().collect(),
        }
    }

    /// Returns the number of objects, not counting tombstones.
    pub fn len(&self) -> usize {
        let hashed = self.routes.len() + self.accounts.len() + self.keys.len();
        let by_kind = self.marks.len() + self.nodes.len() + self.caller_limits.len();
        hashed + by_kind + self.evacuations.len() + self.services.len()
    }

    /// Returns whether the replica has no objects, not counting tombstones.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns an object in the form in which the platform stores it, or its tombstone until that
    /// is compacted.
    pub fn object(&self, key: &ObjectKey) -> Option<StoredObject> {
        self.stored_entry(key).map(|entry| entry.to_stored_object())
    }

    /// Returns the route for a host and path. Prefixes match whole segments of the path, without
    /// its query, and the longest matching prefix wins. Of two routes with that prefix, the one for
    /// the given host takes precedence over the one for all hosts. Of routes with the same host and
    /// prefix, the one with the lowest name is used. If a route has a host and its prefix ends with
    /// a slash, it matches only paths below the prefix, not the prefix without the slash. For other
    /// routes a trailing slash has no effect.
    ///
    /// Needs at most two hash lookups for each distinct segment count of the configured prefixes.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let mut end = self.prefix_depths.longest_candidate(path);
        let mut depth = count_segments(&path[..end]);
        let full = format!("{host}{path}");
        loop {
            if self.prefix_depths.contains(depth) {
                let for_host = self.routes_by_prefix.get(&full[..host.len() + end]);
                let for_host =
                    for_host.filter(|found| satisfies_trailing_slash(found.0.prefix(), end, path));
                let found = for_host.or_else(|| self.routes_by_prefix.get(&path[..end]));
                if let Some(found) = found {
                    return Some(&found.0);
                }
            }
            end = path[..end].rfind('/')?;
            depth -= 1;
        }
    }

    /// Returns the route with the given name.
    pub fn route_by_name(&self, name: &str) -> Option<&Arc<RouteEntry>> {
        self.routes.get(name).map(|e| &e.0)
    }

    /// Iterates over all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteEntry>> {
        self.routes.iter().map(|e| &e.0)
    }

    /// Returns the key with the given id.
    pub fn key(&self, id: &str) -> Option<&Arc<KeyEntry>> {
        self.keys.get(id).map(|e| &e.0)
    }

    /// Iterates over all keys, in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = &Arc<KeyEntry>> {
        self.keys.iter().map(|e| &e.0)
    }

    /// Returns the client account with the given name.
    pub fn account(&self, name: &str) -> Option<&Arc<AccountEntry>> {
        self.accounts.get(name).map(|e| &e.0)
    }

    /// Iterates over all client accounts, in no particular order.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<AccountEntry>> {
        self.accounts.iter().map(|e| &e.0)
    }

    /// Returns the record of a node, which may have stopped.
    pub fn node_record(&self, name: &NodeName) -> Option<&Arc<NodeEntry>> {
        self.nodes.get(name)
    }

    /// Iterates over all members and their node records, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = (&NodeName, &Arc<NodeEntry>)> {
        self.nodes.iter().filter(|(_, entry)| !entry.value().stopped)
    }

    /// Iterates over the nodes that have stopped and left a record, ordered by name.
    pub fn stopped_nodes(&self) -> impl Iterator<Item = (&NodeName, &Arc<NodeEntry>)> {
        self.nodes.iter().filter(|(_, entry)| entry.value().stopped)
    }

    /// Returns the bounds on what callers may send. Of several objects, the one with the lowest
    /// name is used.
    pub fn caller_limits(&self) -> Option<CallerLimits> {
        self.caller_limits.values().next().map(|entry| *entry.value())
    }

    /// Iterates over the failure domains that operators have evacuated, ordered by name.
    pub fn evacuated_domains(&self) -> impl Iterator<Item = &FailureDomain> {
        self.evacuations.keys()
    }

    /// Returns the policy of the service with the given name.
    pub fn service_policy(&self, name: &str) -> Option<ServicePolicy> {
        self.services.get(name).map(|entry| *entry.value())
    }

    /// Returns the mark of an endpoint.
    pub fn mark(&self, name: &EndpointName) -> Option<&Arc<MarkEntry>> {
        self.marks.get(name)
    }

    /// Iterates over all endpoint marks, ordered by name.
    pub fn marks(&self) -> impl Iterator<Item = (&EndpointName, &Arc<MarkEntry>)> {
        self.marks.iter()
    }

    /// Returns whether a listing or full copy at the given revision may replace the content. An
    /// empty replica at revision zero also accepts one at revision zero.
    fn accepts_snapshot_at(&self, revision: Revision) -> bool {
        revision > self.revision || self.revision == Revision::ZERO && self.is_empty()
    }

    /// Creates an empty replica to be filled by [`Replica::insert`]. Changes up to the compact
    /// revision are not logged, because deletions among them may be missing.
    pub(crate) fn with_compact_revision(compact_revision: Revision) -> Replica {
        Replica { compact_revision, ..Replica::default() }
    }

    /// Sets the revision after all objects of a listing or full copy were inserted.
    pub(crate) fn finish_snapshot(&mut self, revision: Revision) {
        self.revision = revision;
        self.kind_revisions = [revision; Kind::ALL.len()];
    }

    fn compact_log(&mut self) {
        while self.change_log.len() > MAX_CHANGE_LOG_LEN {
            let Some((revision, key)) = self.change_log.pop_first() else { return };
            self.compact_revision = self.compact_revision.max(revision);
            let is_last = |(written, _): &(Revision, WriteId)| *written == revision;
            if self.tombstones.get(&key).is_some_and(is_last) && !self.is_retained(&key) {
                self.tombstones.remove(&key);
            }
        }
    }

    /// Inserts an object or tombstone, which replaces the earlier version of the object.
    pub(crate) fn insert(&mut self, new: StoredObject) {
        let StoredObject { key, revision, write_id, object } = new;
        self.remove(&key);
        self.retained.remove(&key);
        if revision > self.compact_revision {
            self.change_log.insert((revision, key.clone()));
            self.compact_log();
        }
        let object = object.filter(|_| is_valid_name(&key.name));
        let Some(object) = object else {
            if revision <= self.compact_revision {
                return;
            }
            self.tombstones.insert(key, (revision, write_id));
            return;
        };
        let meta = EntryMeta { name: &key.name, write_id: &write_id, revision };
        match object {
            Object::Route(route) => self.insert_route(meta, route),
            Object::Account(account) => {
                self.accounts.insert(ByName(Entry::new(meta, "", account)));
            }
            Object::Key(key) => {
                let entry = Entry::new(meta, key.account.as_str(), key.digest);
                self.keys.insert(ByName(entry));
            }
            Object::EndpointMark(mark) => {
                if let Ok(name) = key.name.parse() {
                    self.marks.insert(name, Entry::new(meta, "", mark));
                }
            }
            Object::Node(node) => {
                if let Ok(name) = key.name.parse() {
                    self.nodes.insert(name, Entry::new(meta, "", node));
                }
            }
            Object::CallerLimits(limits) => {
                self.caller_limits.insert(key.name.clone(), Entry::new(meta, "", limits));
            }
            Object::Evacuation(evacuation) => {
                if let Ok(domain) = key.name.parse() {
                    self.evacuations.insert(domain, Entry::new(meta, "", evacuation));
                }
            }
            Object::Service(policy) => {
                self.services.insert(key.name.clone(), Entry::new(meta, "", policy));
            }
        }
    }

    fn insert_route(&mut self, meta: EntryMeta<'_>, route: Route) {
        let policy = self.intern_policy(RoutePolicy {
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
        let suffix = format!("{}{}", route.host.as_deref().unwrap_or_default(), route.prefix);
        let entry = Entry::new(meta, &suffix, policy);
        self.routes.insert(ByName(entry.clone()));
        self.prefix_depths.add(trim_trailing_slashes(&route.prefix));
        let new = ByPrefix(entry);
        let Some(old) = self.routes_by_prefix.take(new.trimmed()) else {
            self.routes_by_prefix.insert(new);
            return;
        };
        let (first, shadowed) = if old.0.name() < new.0.name() { (old, new) } else { (new, old) };
        let by_name = self.shadowed.entry(first.trimmed().into()).or_default();
        by_name.insert(shadowed.0.name().into(), shadowed.0);
        self.routes_by_prefix.insert(first);
    }

    fn intern_policy(&mut self, policy: RoutePolicy) -> Arc<RoutePolicy> {
        if let Some(known) = self.policies.get(&policy) {
            return known.clone();
        }
        if self.policies.len() >= self.policies_limit {
            self.policies.retain(|policy| Arc::strong_count(policy) > 1);
            self.policies_limit = 2 * self.policies.len() + MIN_POLICIES_BEFORE_PURGE;
        }
        let policy = Arc::new(policy);
        self.policies.insert(policy.clone());
        policy
    }

    /// Removes an object or tombstone and its entry in the change log.
    fn remove(&mut self, key: &ObjectKey) {
        let name = &*key.name;
        let deleted = self.tombstones.remove(key).map(|(revision, _)| revision);
        let live = match key.kind {
            Kind::Route => self.remove_route(name),
            Kind::Account => self.accounts.take(name).map(|e| e.0.revision()),
            Kind::Key => self.keys.take(name).map(|e| e.0.revision()),
            Kind::EndpointMark => self.marks.remove(name).map(|e| e.revision()),
            Kind::Node => self.nodes.remove(name).map(|e| e.revision()),
            Kind::CallerLimits => self.caller_limits.remove(name).map(|e| e.revision()),
            Kind::Evacuation => self.evacuations.remove(name).map(|e| e.revision()),
            Kind::Service => self.services.remove(name).map(|e| e.revision()),
        };
        if let Some(revision) = live.or(deleted) {
            self.change_log.remove(&(revision, key.clone()));
        }
    }

    fn remove_route(&mut self, name: &str) -> Option<Revision> {
        let entry = self.routes.take(name)?.0;
        self.prefix_depths.remove(trim_trailing_slashes(entry.prefix()));
        let entry = ByPrefix(entry);
        self.remove_from_prefix_index(entry.trimmed(), name);
        Some(entry.0.revision())
    }

    /// Removes a route from the prefix index. If it was the one in use for its host and prefix, the
    /// shadowed route with the lowest name takes its place.
    fn remove_from_prefix_index(&mut self, prefix: &str, name: &str) {
        let Some(by_name) = self.shadowed.get_mut(prefix) else {
            self.routes_by_prefix.remove(prefix);
            return;
        };
        if by_name.remove(name).is_none() {
            self.routes_by_prefix.remove(prefix);
            if let Some((_, entry)) = by_name.pop_first() {
                self.routes_by_prefix.insert(ByPrefix(entry));
            }
        }
        if by_name.is_empty() {
            self.shadowed.remove(prefix);
        }
    }

    fn stored_entry(&self, key: &ObjectKey) -> Option<StoredEntry> {
        let name = &*key.name;
        if let Some((revision, write_id)) = self.tombstones.get(key) {
            let (revision, write_id) = (*revision, write_id.clone());
            return Some(StoredEntry::Tombstone { key: key.clone(), revision, write_id });
        }
        match key.kind {
            Kind::Route => self.route_by_name(name).cloned().map(StoredEntry::Route),
            Kind::Account => self.account(name).cloned().map(StoredEntry::Account),
            Kind::Key => self.key(name).cloned().map(StoredEntry::Key),
            Kind::EndpointMark => self.marks.get(name).cloned().map(StoredEntry::Mark),
            Kind::Node => self.nodes.get(name).cloned().map(StoredEntry::Node),
            Kind::CallerLimits => {
                self.caller_limits.get(name).cloned().map(StoredEntry::CallerLimits)
            }
            Kind::Evacuation => self.evacuations.get(name).cloned().map(StoredEntry::Evacuation),
            Kind::Service => self.services.get(name).cloned().map(StoredEntry::Service),
        }
    }
}

/// The number of routes for each number of prefix segments.
#[derive(Debug, Default)]
struct PrefixDepths {
    counts: Vec<u32>,
    /// Length in bytes of the longest prefix added so far. It limits the part of a path that has to
    /// be hashed.
    max_prefix_len: usize,
}

impl PrefixDepths {
    fn add(&mut self, prefix: &str) {
        let depth = count_segments(prefix);
        if self.counts.len() <= depth {
            self.counts.resize(depth + 1, 0);
        }
        self.counts[depth] += 1;
        self.max_prefix_len = self.max_prefix_len.max(prefix.len());
    }

    fn remove(&mut self, prefix: &str) {
        self.counts[count_segments(prefix)] -= 1;
        while self.counts.last() == Some(&0) {
            self.counts.pop();
        }
    }

    fn contains(&self, depth: usize) -> bool {
        self.counts.get(depth).is_some_and(|count| *count > 0)
    }

    /// Returns the length of the longest leading part of a path that consists of whole segments and
    /// can match a prefix.
    fn longest_candidate(&self, path: &str) -> usize {
        let max_depth = self.counts.len().saturating_sub(1);
        let bytes = path.as_bytes();
        let limit = bytes.len().min(self.max_prefix_len + 1);
        let mut slashes = (0..limit).filter(|index| bytes[*index] == b'/');
        if let Some(end) = slashes.nth(max_depth) {
            return end;
        }
        if bytes.len() <= self.max_prefix_len {
            return bytes.len();
        }
        // The segment after the last slash within the limit is longer than any prefix allows.
        bytes[..limit].iter().rposition(|b| *b == b'/').unwrap_or(0)
    }
}

fn count_segments(prefix: &str) -> usize {
    prefix.bytes().filter(|b| *b == b'/').count()
}

fn is_well_formed(object: &StoredObject, from: Revision, to: Revision) -> bool {
    let kind_matches = object.object.as_ref().is_none_or(|o| o.kind() == object.key.kind);
    // A listing is checked with `from` at revision zero and may contain objects at that revision.
    let in_range = object.revision <= to && (object.revision > from || from == Revision::ZERO);
    kind_matches && in_range
}

/// Returns whether a path whose first `end` bytes match a prefix also satisfies its trailing slash.
/// Applies to routes with a host: if the prefix ends with a slash, they match only paths below the
/// prefix, not the prefix without the slash.
fn satisfies_trailing_slash(prefix: &str, end: usize, path: &str) -> bool {
    !prefix.ends_with('/') || path[end..].starts_with('/')
}

/// A key that sorts after all valid keys, because names contain no characters above `~`.
fn max_key() -> ObjectKey {
    ObjectKey::new(Kind::Service, "\u{10ffff}")
}
