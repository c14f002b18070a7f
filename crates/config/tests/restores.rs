//! Replicas across restores of the store: which of two writes is in effect, and who makes lost ones again.

use std::collections::BTreeMap;
use std::time::Duration;

use config::{
    Applied, Chunk, Delta, MAX_REWRITE_DELAY, Replica, Retained, RewriteStep, Rewrites,
    TransferReceiver,
};
use model::{Kind, NodeName, Object, ObjectKey, Revision, StoredObject, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn account(name: &str, revision: Revision, burst: Option<u32>) -> StoredObject {
    let document = |burst| format!(r#"{{"rate":"5/s","burst":{burst}}}"#);
    let parse =
        |burst| Object::from_document(Kind::Account, document(burst).as_bytes()).expect("valid");
    StoredObject {
        key: ObjectKey::new(Kind::Account, name),
        revision,
        write_id: format!("w{revision}").parse().unwrap(),
        object: burst.map(parse),
    }
}

fn at(era: u64, number: u64) -> Revision {
    Revision::new(era, number)
}

/// A replica that has listed these objects of era 0 at revision 60.
fn replica(objects: &[(&str, u64)]) -> Replica {
    let mut replica = Replica::retaining();
    let objects = objects.iter().map(|(name, number)| account(name, at(0, *number), Some(1)));
    assert_eq!(replica.apply_listing(at(0, 60), objects.collect()), Applied::Applied);
    replica
}

fn names(replica: &Replica) -> Vec<String> {
    let mut names: Vec<String> = replica.accounts().map(|e| e.name().to_owned()).collect();
    names.sort();
    names
}

/// What the replica retains, with the revision that the store has instead.
fn retained(replica: &Replica) -> Vec<(String, bool, Option<Revision>)> {
    let describe =
        |r: Retained| (r.write.key.name.to_string(), r.write.object.is_some(), r.in_store);
    replica.retained().map(describe).collect()
}

/// Guards against a write that is reverted, and a deletion that is undone, because the store lost them.
#[test]
fn later_writes_stay_in_effect() {
    let mut replica = replica(&[("changed", 40), ("deleted", 41), ("kept", 42)]);
    let lost = vec![
        account("changed", at(0, 61), Some(2)),
        account("deleted", at(0, 62), None),
        account("new", at(0, 63), Some(2)),
    ];
    assert_eq!(replica.apply_delta(at(0, 60), at(0, 63), lost), Applied::Applied);
    let listing = || {
        [("changed", 40), ("deleted", 41), ("kept", 42)]
            .map(|(name, number)| account(name, at(0, number), Some(1)))
            .to_vec()
    };
    assert_eq!(replica.apply_listing(at(1, 55), listing()), Applied::Applied);
    assert_eq!(replica.revision(), at(1, 55));
    assert_eq!(names(&replica), ["changed", "kept", "new"]);
    assert_eq!(replica.account("changed").unwrap().value().burst.0, 2);
    let expected = [
        ("changed".to_owned(), true, Some(at(0, 40))),
        ("deleted".to_owned(), false, Some(at(0, 41))),
        ("new".to_owned(), true, None),
    ];
    assert_eq!(retained(&replica), expected);

    // A further listing of the same era changes nothing of that.
    assert_eq!(replica.apply_listing(at(1, 56), listing()), Applied::Applied);
    assert_eq!(retained(&replica), expected);
    assert_eq!(names(&replica), ["changed", "kept", "new"]);

    // Writes of the new era replace what is retained, in any order.
    let again = vec![
        account("new", at(1, 57), Some(3)),
        account("deleted", at(1, 58), None),
        account("changed", at(1, 59), Some(4)),
    ];
    assert_eq!(replica.apply_delta(at(1, 56), at(1, 59), again), Applied::Applied);
    assert_eq!(retained(&replica), []);
    assert_eq!(replica.account("changed").unwrap().value().burst.0, 4);
}

/// Guards against a deletion that a listing shows only by a missing object, and that is undone by a node
/// that was paused meanwhile.
#[test]
fn deletions_since_the_restore_are_kept() {
    // The store has kept a later write of era 0, so it also had the object.
    let mut paused = replica(&[("kept", 50), ("deleted", 49), ("lost", 51)]);
    let listing = vec![account("kept", at(0, 50), Some(1))];
    assert_eq!(paused.apply_listing(at(1, 70), listing), Applied::Applied);
    assert_eq!(names(&paused), ["kept", "lost"]);
    assert_eq!(retained(&paused), [("lost".to_owned(), true, None)]);

    // Another replica tells of the deletion, which the listing does not prove.
    let mut running = replica(&[("kept", 50), ("deleted", 52)]);
    let mut paused = replica(&[("kept", 50), ("deleted", 52)]);
    let restored =
        || vec![account("kept", at(0, 50), Some(1)), account("deleted", at(0, 52), Some(1))];
    assert_eq!(running.apply_listing(at(1, 58), restored()), Applied::Applied);
    let deletion = vec![account("deleted", at(1, 59), None)];
    assert_eq!(running.apply_delta(at(1, 58), at(1, 59), deletion), Applied::Applied);
    pull(&mut paused, &running);
    let listing = vec![account("kept", at(0, 50), Some(1))];
    paused.apply_listing(at(1, 59), listing);
    assert_eq!(names(&paused), ["kept"]);
    assert_eq!(retained(&paused), []);
}

/// Guards against a copy of another replica, or a listing of a second restore, that drops what only this
/// replica knows.
#[test]
fn copies_and_further_restores_drop_nothing() {
    let mut known = replica(&[("lost", 59)]);
    let mut other = Replica::retaining();
    other.apply_listing(at(1, 50), vec![account("other", at(1, 50), Some(1))]);
    pull(&mut known, &other);
    assert_eq!(names(&known), ["lost", "other"]);
    // Nothing is written again before the store itself has been listed.
    assert_eq!(retained(&known), []);
    known.apply_listing(at(1, 51), vec![account("other", at(1, 50), Some(1))]);
    assert_eq!(retained(&known), [("lost".to_owned(), true, None)]);
    known.apply_listing(at(2, 30), vec![]);
    assert_eq!(names(&known), ["lost", "other"]);
    assert_eq!(retained(&known).len(), 2);
    assert!(known.forget_retained(&ObjectKey::new(Kind::Account, "lost")));
    assert_eq!(names(&known), ["other"]);
}

/// Guards against a feed that is replaced as a whole and keeps what its operators have removed.
#[test]
fn the_imported_feed_retains_nothing() {
    let mut imported = Replica::new();
    imported.apply_listing(at(0, 9), vec![account("old", at(0, 9), Some(1))]);
    imported.apply_listing(at(1, 7), vec![account("new", at(1, 7), Some(1))]);
    assert_eq!(names(&imported), ["new"]);
    let version = Revision::of_version(1 << 50);
    imported.apply_listing(version, vec![]);
    assert_eq!((imported.len(), retained(&imported).len()), (0, 0));
}

/// Takes over what another replica retains.
fn take_over_retained(to: &mut Replica, from: &Replica) -> Applied {
    let chunks: Vec<Chunk> = from.retained_copy(usize::MAX).collect();
    to.apply_retained(chunks[0].to, chunks.into_iter().flat_map(|chunk| chunk.objects).collect())
}

/// Guards against a withdrawn key, or a reverted limit, that is in effect at a node which has started after
/// the restore: neither its listing nor deltas of other nodes contain what the store has lost.
#[test]
fn a_replica_that_starts_after_a_restore_takes_over_what_others_retain() {
    let mut running = replica(&[("changed", 40), ("deleted", 41), ("kept", 42)]);
    let lost = vec![
        account("changed", at(0, 61), Some(2)),
        account("deleted", at(0, 62), None),
        account("new", at(0, 63), Some(2)),
    ];
    running.apply_delta(at(0, 60), at(0, 63), lost);
    let listing = || {
        [("changed", 40), ("deleted", 41), ("kept", 42)]
            .map(|(name, number)| account(name, at(0, number), Some(1)))
            .to_vec()
    };
    let mut started = Replica::retaining();
    started.apply_listing(at(1, 55), listing());
    assert_eq!(take_over_retained(&mut started, &running), Applied::Gap, "it has not listed");
    running.apply_listing(at(1, 55), listing());
    pull(&mut started, &running);
    assert_eq!(names(&started), ["changed", "deleted", "kept"]);
    assert_eq!(take_over_retained(&mut started, &running), Applied::Applied);
    assert_eq!(names(&started), ["changed", "kept", "new"]);
    assert_eq!(started.account("changed").unwrap().value().burst.0, 2);
    assert_eq!(retained(&started), retained(&running));
    assert_eq!(take_over_retained(&mut started, &running), Applied::AlreadyKnown);

    // A later listing of the same era keeps them, and writes of the new era replace them.
    started.apply_listing(at(1, 56), listing());
    running.apply_delta(at(1, 55), at(1, 56), vec![]);
    assert_eq!(retained(&started), retained(&running));
    started.apply_delta(at(1, 56), at(1, 57), vec![account("deleted", at(1, 57), None)]);
    assert_eq!(take_over_retained(&mut started, &running), Applied::AlreadyKnown);
    assert_eq!(names(&started), ["changed", "kept", "new"]);
    assert_eq!(retained(&started).len(), 2);
}

/// Guards against a deletion since the restore that is undone by a node which is behind, and still retains
/// what was written again and then deleted.
#[test]
fn a_replica_takes_over_nothing_from_one_that_is_behind_its_listing() {
    let mut behind = replica(&[("again", 40)]);
    behind.apply_listing(at(1, 30), vec![]);
    assert_eq!(retained(&behind).len(), 1);
    let mut started = Replica::retaining();
    started.apply_listing(at(1, 32), vec![]);
    assert_eq!(take_over_retained(&mut started, &behind), Applied::Gap);
    let again = vec![account("again", at(1, 32), None)];
    behind.apply_delta(at(1, 30), at(1, 32), again);
    assert_eq!(take_over_retained(&mut started, &behind), Applied::AlreadyKnown);
    assert_eq!(names(&started), [""; 0]);
}

/// Transfers what `from` has and `to` lacks.
fn pull(to: &mut Replica, from: &Replica) {
    let chunks = match from.delta_since(to.revision(), usize::MAX) {
        Delta::UpToDate => return,
        Delta::Changes(chunks) => chunks,
        Delta::FullCopyNeeded => from.full_copy(usize::MAX),
    };
    let mut receiver = TransferReceiver::new();
    for chunk in chunks {
        receiver.receive(chunk, to);
    }
}

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// A store with the last write of each object, and all writes in order.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    number: u64,
    objects: BTreeMap<&'static str, StoredObject>,
    writes: Vec<(&'static str, StoredObject)>,
}

impl Store {
    fn revision(&self) -> Revision {
        at(self.era, self.number)
    }

    /// Writes an object, or deletes it if there is no burst.
    fn write(&mut self, name: &'static str, burst: Option<u32>) {
        if burst.is_none() && !self.objects.contains_key(name) {
            return;
        }
        self.number += 1;
        let written = account(name, self.revision(), burst);
        match burst {
            Some(_) => self.objects.insert(name, written.clone()),
            None => self.objects.remove(name),
        };
        self.writes.push((name, written));
    }

    fn listing(&self) -> Vec<StoredObject> {
        self.objects.values().cloned().collect()
    }

    /// The writes since a revision, as a watch returns them: the last one of each object.
    fn update(&self, replica: &mut Replica, until: Revision) {
        let since = replica.revision();
        let writes = self.writes.iter().map(|(_, write)| write);
        let new: Vec<_> =
            writes.filter(|w| w.revision > since && w.revision <= until).cloned().collect();
        let last =
            |w: &&StoredObject| !new.iter().any(|o| o.key == w.key && o.revision > w.revision);
        let events = new.iter().filter(last).cloned().collect();
        replica.apply_delta(since, until.max(since), events);
    }
}

/// The last of some writes of each object, without deletions.
fn last_writes<'a>(
    writes: impl Iterator<Item = &'a (&'static str, StoredObject)>,
) -> BTreeMap<String, Revision> {
    let mut last = BTreeMap::new();
    for (name, write) in writes {
        match write.object {
            Some(_) => last.insert((*name).to_owned(), write.revision),
            None => last.remove(*name),
        };
    }
    last
}

fn content(replica: &Replica) -> BTreeMap<String, Revision> {
    replica.accounts().map(|e| (e.name().to_owned(), e.revision())).collect()
}

fn operations(max: usize) -> impl Strategy<Value = Vec<(usize, Option<u32>)>> {
    let burst = prop_oneof![2 => (1_u32..9).prop_map(Some), 1 => Just(None)];
    prop::collection::vec((0..NAMES.len(), burst), 0..max)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        rng_seed: RngSeed::Fixed(14),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a replica that reverts a write it has seen, or undoes a deletion, when the history
    /// of the store parts from the one it knows: one replica follows the store through the restore, the
    /// other stands still and comes back later. What both retain, written again, makes the store equal.
    #[test]
    fn two_histories_that_part(
        before in operations(12),
        after in operations(8),
        backup in any::<prop::sample::Index>(),
        seen in any::<[prop::sample::Index; 2]>(),
    ) {
        let mut store = Store::default();
        store.write("a", Some(1));
        let mut replicas = [(); 2].map(|()| Replica::retaining());
        for replica in &mut replicas {
            replica.apply_listing(store.revision(), store.listing());
        }
        let mut states = vec![store.clone()];
        for (name, burst) in before {
            store.write(NAMES[name], burst);
            states.push(store.clone());
        }
        let [seen_first, seen_second] = seen.map(|index| index.index(states.len()));
        let [first, second] = &mut replicas;
        store.update(first, states[seen_first].revision());
        store.update(second, states[seen_second].revision());

        // The first replica follows the store, and has seen what is in the backup.
        let backup = backup.index(seen_first + 1);
        let lost = store.writes.clone();
        let mut store = Store { era: 1, ..states[backup].clone() };
        let known = |number: u64| {
            let number = number.max(states[backup].number);
            lost.iter().filter(move |(_, write)| write.revision.number() <= number)
        };
        first.apply_listing(store.revision(), store.listing());
        prop_assert_eq!(content(first), last_writes(known(states[seen_first].number)));

        for (name, burst) in after {
            store.write(NAMES[name], burst);
        }
        store.update(first, store.revision());
        let in_new_era = || store.writes.iter().filter(|(_, w)| w.revision.era() == 1);
        // A deletion in the new era of an object that the store lacked is none.
        let seen_by_first = known(states[seen_first].number).chain(in_new_era());
        prop_assert_eq!(content(first), last_writes(seen_by_first));

        pull(second, first);
        second.apply_listing(store.revision(), store.listing());
        let number = states[seen_first.max(seen_second)].number;
        prop_assert_eq!(content(second), last_writes(known(number).chain(in_new_era())));

        // A replica that starts now knows the same once it has asked the second one.
        let mut started = Replica::retaining();
        started.apply_listing(store.revision(), store.listing());
        take_over_retained(&mut started, second);
        prop_assert_eq!(content(&started), content(second));
        prop_assert_eq!(retained(&started), retained(second));

        let wanted: Vec<String> = content(second).into_keys().collect();
        let retained: Vec<Retained> = second.retained().collect();
        for Retained { write, in_store } in retained {
            let name = NAMES.into_iter().find(|name| **name == *write.key.name).unwrap();
            let current = store.objects.get(name).map(|stored| stored.revision);
            prop_assert_eq!(in_store, current, "{}", name);
            store.write(name, write.object.is_some().then_some(1));
        }
        store.update(second, store.revision());
        prop_assert_eq!(second.retained_len(), 0);
        let stored: Vec<String> = store.objects.keys().map(ToString::to_string).collect();
        prop_assert_eq!(wanted, stored);
    }
}

fn lost(key: ObjectKey, object: Option<Object>) -> Retained {
    let write = StoredObject { key, revision: at(0, 9), write_id: "w".parse().unwrap(), object };
    Retained { write, in_store: None }
}

fn node_record(stopped: bool) -> Object {
    let document = format!(
        r#"{{"domain":"a","peer_addr":"127.0.0.1:1","operator_addr":"127.0.0.1:2","incarnation":7,
            "table_version":3,"endpoints":[],"stopped":{stopped}}}"#
    );
    Object::from_document(Kind::Node, document.as_bytes()).unwrap()
}

/// Guards against lost writes that all nodes make at the same moment, and against one that nobody makes
/// because its owner is lost.
#[test]
fn one_node_after_the_other_writes_again() {
    let nodes: Vec<NodeName> = (0..352).map(|i| format!("node-{i}").parse().unwrap()).collect();
    let keys = (0..50).map(|i| ObjectKey::new(Kind::Key, &format!("k-{i}")));
    let retained: Vec<Retained> = keys.map(|key| lost(key, None)).collect();
    let start = Time::from_micros(1_000_000);
    let longest = |max: Duration| max;
    for object in &retained {
        let mut dues: Vec<Duration> = Vec::new();
        for own in &nodes {
            let members: Vec<NodeName> = nodes.iter().filter(|n| *n != own).cloned().collect();
            let step = Rewrites::default().next_step([object], own, &members, start, longest);
            let RewriteStep::WaitUntil(due) = step else { panic!("{step:?}") };
            dues.push(due.since(start));
        }
        dues.sort();
        assert_eq!(dues[0], MAX_REWRITE_DELAY);
        assert!(dues[1] >= dues[0] + Duration::from_secs(4), "the owner has time");
        assert!(dues.windows(2).all(|pair| pair[0] < pair[1]));
        assert!(dues[351] < Duration::from_secs(25), "each write is made at last");
    }
}

/// Guards against a write that is made once and never again although it was lost, and against the record of
/// a member that another node writes.
#[test]
fn attempts_are_repeated_and_members_write_their_own_records() {
    let own: NodeName = "node-1".parse().unwrap();
    let key = ObjectKey::new(Kind::Key, "k");
    let retained = [lost(key.clone(), None)];
    let mut rewrites = Rewrites::default();
    let step_at = |rewrites: &mut Rewrites, seconds: u64| {
        let now = Time::from_micros(seconds * 1_000_000);
        rewrites.next_step(&retained, &own, &[], now, |_| Duration::ZERO)
    };
    assert_eq!(step_at(&mut rewrites, 10), RewriteStep::Write(key.clone()));
    rewrites.record_attempt(&key, Time::from_micros(10_000_000));
    assert!(matches!(step_at(&mut rewrites, 11), RewriteStep::WaitUntil(_)));
    assert_eq!(step_at(&mut rewrites, 15), RewriteStep::Write(key));
    let record_of = |name| ObjectKey::new(Kind::Node, name);
    let cases = [
        (record_of("node-1"), Some(node_record(false)), false),
        (record_of("node-1"), None, false),
        (record_of("node-2"), Some(node_record(false)), false),
        (record_of("node-2"), Some(node_record(true)), true),
        (record_of("node-2"), None, true),
    ];
    for (key, object, expected) in cases {
        let retained = [lost(key.clone(), object)];
        let now = Time::from_micros(1);
        let step = Rewrites::default().next_step(&retained, &own, &[], now, |_| Duration::ZERO);
        assert_eq!(step == RewriteStep::Write(key.clone()), expected, "{key} {step:?}");
    }
}
