//! What a replica keeps in effect although the store lacks it.
//!
//! A store that was restored from a backup lacks the last writes before the restore, although they were
//! acknowledged. A replica that has seen them keeps them when it reads the store again: of two writes of
//! an object, the later one wins. Without that, a deleted key would be valid again.

use std::collections::{HashMap, HashSet};

use model::{Kind, ObjectKey, Revision, StoredObject};

use super::{Applied, Replica, is_well_formed};
use crate::transfer::Chunks;

/// An object or a tombstone that is in effect although the store lacks it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Retained {
    /// The write that is in effect.
    pub write: StoredObject,
    /// Revision at which the store has the object, or `None` if it has none.
    pub in_store: Option<Revision>,
}

impl Replica {
    /// Creates an empty replica of a feed whose objects are written one by one. It retains the writes
    /// that a restored store lacks.
    pub fn retaining() -> Replica {
        Replica { retains: true, ..Replica::default() }
    }

    /// Returns the writes that are in effect although the store lacks them, as far as the store has been
    /// listed since its last known restore.
    pub fn retained(&self) -> impl Iterator<Item = Retained> {
        let is_listed = self.is_listed_in(self.revision.era());
        self.retained.iter().filter(move |_| is_listed).filter_map(|(key, in_store)| {
            Some(Retained { write: self.object(key)?, in_store: *in_store })
        })
    }

    /// Returns the number of retained writes.
    pub fn retained_len(&self) -> usize {
        self.retained.len()
    }

    /// Returns whether the store lacks the write of an object that is in effect.
    pub fn is_retained(&self, key: &ObjectKey) -> bool {
        self.retained.contains_key(key)
    }

    /// Returns whether the store has been listed in the given era or a later one.
    pub fn is_listed_in(&self, era: u64) -> bool {
        self.listed_era.unwrap_or(0) >= era
    }

    /// Returns the revision at which the store has an object, as far as the replica knows. It is the
    /// condition of a write of the object.
    pub fn revision_in_store(&self, key: &ObjectKey) -> Option<Revision> {
        match self.retained.get(key) {
            Some(in_store) => *in_store,
            None => self.revision_of(key).filter(|_| !self.tombstones.contains_key(key)),
        }
    }

    /// Records at which revision the store has an object whose write is retained.
    pub fn set_in_store(&mut self, key: &ObjectKey, revision: Option<Revision>) {
        if let Some(in_store) = self.retained.get_mut(key) {
            *in_store = revision;
        }
    }

    /// Removes an object that only this replica retains. Returns whether there was one that the store
    /// does not have.
    pub fn forget_retained(&mut self, key: &ObjectKey) -> bool {
        if self.retained.get(key) != Some(&None) {
            return false;
        }
        self.retained.remove(key);
        self.remove(key);
        self.kind_revisions[key.kind as usize] = self.revision;
        true
    }

    /// Returns a copy of the writes that are in effect although the store lacks them, for a node that has
    /// started since the restore: its replica is complete without them, and deltas don't contain them. A
    /// replica that has not listed the store since its last known restore does not know them; its copy is at
    /// revision zero.
    pub fn retained_copy(&self, max_bytes: usize) -> Chunks {
        let is_known = self.retains && self.is_listed_in(self.revision.era());
        let to = if is_known { self.revision } else { Revision::ZERO };
        let keys = self.retained.keys().filter(|_| is_known);
        let objects = keys.filter_map(|key| self.stored_entry(key)).collect();
        Chunks::new(None, self.compact_revision, to, objects, max_bytes)
    }

    /// Takes over the writes that another replica, which was at `revision`, retains. Returns [`Applied::Gap`]
    /// if that replica or this one may lack a later write that has replaced one of them.
    pub fn apply_retained(&mut self, revision: Revision, lost: Vec<StoredObject>) -> Applied {
        let is_listed = self.retains && self.is_listed_in(revision.era());
        if !is_listed || revision.era() < self.revision.era() || revision < self.compact_revision {
            return Applied::Gap;
        }
        if !lost.iter().all(|write| is_well_formed(write, Revision::ZERO, revision)) {
            return Applied::Malformed;
        }
        let mut applied = Applied::AlreadyKnown;
        for write in lost {
            let in_store = self.revision_of(&write.key);
            let is_later = in_store.is_none_or(|in_store| in_store < write.revision);
            // A deletion has nothing left to delete.
            if is_later && (write.object.is_some() || in_store.is_some()) {
                self.retain(write, in_store);
                applied = Applied::Applied;
            }
        }
        applied
    }

    /// Puts a write into effect that the store lacks, which has the object at `in_store`.
    fn retain(&mut self, write: StoredObject, in_store: Option<Revision>) {
        let key = write.key.clone();
        let tombstone = write.object.is_none().then(|| (write.revision, write.write_id.clone()));
        self.insert(write);
        if let Some(tombstone) = tombstone {
            self.tombstones.insert(key.clone(), tombstone);
        }
        self.retained.insert(key, in_store);
    }

    /// Whether a listing or copy at this revision is merged with the content: it is of an era in which
    /// this replica has not listed the store.
    pub(super) fn is_merged(&self, revision: Revision) -> bool {
        self.retains && self.revision > Revision::ZERO && !self.is_listed_in(revision.era())
    }

    /// Merges a listing of the store, or a full copy of another replica, from a later era.
    pub(super) fn merge(&mut self, revision: Revision, objects: Vec<StoredObject>) -> Applied {
        if !objects.iter().all(|object| is_well_formed(object, Revision::ZERO, revision)) {
            return Applied::Malformed;
        }
        let known = self.revision;
        let kept = highest_kept(&objects);
        let mut listed = HashSet::with_capacity(objects.len());
        for object in objects {
            let key = object.key.clone();
            self.merge_object(object, known, revision);
            listed.insert(key);
        }
        for (key, written) in self.live_objects() {
            if listed.contains(&key) || written > revision {
                continue;
            }
            // A store that has a later write of that era also had this one, and it was deleted since.
            let was_kept = kept.get(&written.era()).is_some_and(|kept| *kept >= written.number());
            if was_kept || written.era() == revision.era() {
                self.insert_tombstone(key, revision);
            } else {
                self.retained.insert(key, None);
            }
        }
        let tombstones = &self.tombstones;
        self.retained.retain(|key, _| listed.contains(key) || !tombstones.contains_key(key));
        self.finish_snapshot(known.max(revision));
        Applied::Applied
    }

    /// Merges an object of a listing at `revision` into a replica that was complete up to `known`.
    fn merge_object(&mut self, object: StoredObject, known: Revision, revision: Revision) {
        let key = object.key.clone();
        match self.revision_of(&key) {
            Some(own) if own > object.revision => {
                self.retained.insert(key, Some(object.revision));
            }
            Some(own) if own == object.revision => {
                self.retained.remove(&key);
            }
            // The replica once listed the store in that era, and has no tombstone any more.
            None if object.object.is_some()
                && object.revision <= known
                && self.listed_era.is_some_and(|era| era >= object.revision.era()) =>
            {
                let in_store = object.revision;
                self.insert_tombstone(key.clone(), revision);
                self.retained.insert(key, Some(in_store));
            }
            Some(_) | None => self.insert(object),
        }
    }

    /// Takes over what `earlier` retains and this listing or copy of the same era lacks.
    pub(super) fn take_over_retained(&mut self, earlier: &Replica) {
        self.retains = earlier.retains;
        self.listed_era = earlier.listed_era;
        for key in earlier.retained.keys() {
            let Some(write) = earlier.object(key) else { continue };
            let in_store = self.revision_of(key);
            let is_later = in_store.is_none_or(|in_store| in_store < write.revision);
            // A deletion has nothing left to delete.
            if !is_later || (write.object.is_none() && in_store.is_none()) {
                continue;
            }
            self.retain(write, in_store);
        }
    }

    fn insert_tombstone(&mut self, key: ObjectKey, revision: Revision) {
        let write_id = "deleted".parse().expect("the text is a valid write id");
        self.insert(StoredObject { key, revision, write_id, object: None });
    }

    /// Revision of the last write of an object, which may be a deletion.
    fn revision_of(&self, key: &ObjectKey) -> Option<Revision> {
        let name = &*key.name;
        let live = match key.kind {
            Kind::Route => self.route_by_name(name).map(|e| e.revision()),
            Kind::Account => self.account(name).map(|e| e.revision()),
            Kind::Key => self.key(name).map(|e| e.revision()),
            Kind::EndpointMark => self.marks.get(name).map(|e| e.revision()),
            Kind::Node => self.nodes.get(name).map(|e| e.revision()),
            Kind::CallerLimits => self.caller_limits.get(name).map(|e| e.revision()),
            Kind::Evacuation => self.evacuations.get(name).map(|e| e.revision()),
            Kind::Service => self.services.get(name).map(|e| e.revision()),
        };
        live.or_else(|| self.tombstones.get(key).map(|(revision, _)| *revision))
    }

    /// Keys and revisions of all objects without tombstones.
    fn live_objects(&self) -> Vec<(ObjectKey, Revision)> {
        let mut live = Vec::with_capacity(self.len());
        let mut add =
            |kind, name: &str, revision| live.push((ObjectKey::new(kind, name), revision));
        for kind in Kind::ALL {
            match kind {
                Kind::Route => self.routes().for_each(|e| add(kind, e.name(), e.revision())),
                Kind::Account => self.accounts().for_each(|e| add(kind, e.name(), e.revision())),
                Kind::Key => self.keys().for_each(|e| add(kind, e.name(), e.revision())),
                Kind::EndpointMark => {
                    self.marks.values().for_each(|e| add(kind, e.name(), e.revision()));
                }
                Kind::Node => self.nodes.values().for_each(|e| add(kind, e.name(), e.revision())),
                Kind::CallerLimits => {
                    self.caller_limits.values().for_each(|e| add(kind, e.name(), e.revision()));
                }
                Kind::Evacuation => {
                    self.evacuations.values().for_each(|e| add(kind, e.name(), e.revision()));
                }
                Kind::Service => {
                    self.services.values().for_each(|e| add(kind, e.name(), e.revision()));
                }
            }
        }
        live
    }
}

/// Highest number of each earlier era in a listing: the store has kept at least the writes up to it.
///
/// Node records don't count. A node that has not noticed a restore yet writes its record with the era
/// before, and a number that the store has given to a lost write as well.
fn highest_kept(objects: &[StoredObject]) -> HashMap<u64, u64> {
    let mut highest = HashMap::new();
    for object in objects.iter().filter(|object| object.key.kind != Kind::Node) {
        let kept = highest.entry(object.revision.era()).or_insert(0);
        *kept = object.revision.number().max(*kept);
    }
    highest
}
