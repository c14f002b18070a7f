//! Tests of the state of the evacuations, in virtual time.

use std::collections::BTreeSet;
use std::time::Duration;

use evacuation::{Change, Evacuations, Pace, Snapshot, Step};
use model::{FailureDomain, Revision, Time};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// First revision of the era after the first restore of a store.
const NEXT_ERA: u64 = 1 << 44;

fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1000)
}

fn domain(name: &str) -> FailureDomain {
    name.parse().unwrap()
}

fn domains(names: &[&str]) -> BTreeSet<FailureDomain> {
    names.iter().map(|name| domain(name)).collect()
}

fn snapshot(revision: u64, names: &[&str]) -> Snapshot {
    Snapshot { revision: Revision(revision), domains: domains(names) }
}

fn evacuations() -> Evacuations {
    Evacuations::new(Pace::for_bound(Duration::from_secs(5)))
}

/// Guards against an older snapshot of a slow peer that ends an evacuation or begins one again.
#[test]
fn an_older_snapshot_changes_nothing() {
    let mut state = evacuations();
    let begun = vec![domain("a")];
    let change = state.apply(snapshot(7, &["a"]), None, at(0));
    assert_eq!(change, Change::Domains { begun, ended: vec![] });
    assert_eq!(state.apply(snapshot(6, &["b"]), Some(at(1)), at(1)), Change::None);
    assert_eq!(state.next_step(at(1)), Step::AskPlatform, "an older snapshot confirms nothing");
    let change = state.apply(snapshot(8, &[]), None, at(2));
    assert_eq!(change, Change::Domains { begun: vec![], ended: vec![domain("a")] });
    assert_eq!(state.apply(snapshot(7, &["a"]), None, at(3)), Change::None);
    assert!(!state.is_evacuated(&domain("a")));
}

/// Guards against a node that relies on what nobody has confirmed for too long, as the failure of all
/// readers leaves it, and against one that asks although a peer has just confirmed it.
#[test]
fn a_node_asks_if_nobody_confirms_what_it_knows() {
    let mut state = evacuations();
    assert_eq!(state.next_step(at(0)), Step::AskPlatform);
    state.apply(snapshot(7, &[]), Some(at(1000)), at(1200));
    assert_eq!(state.next_step(at(1200)), Step::TrustUntil(at(3500)));
    // A peer with the same revision, or with a later one, has heard of a later confirmation.
    state.apply(snapshot(7, &[]), Some(at(1800)), at(2000));
    assert_eq!(state.next_step(at(2500)), Step::TrustUntil(at(4300)));
    // What is newer than a revision was written after the revision was confirmed.
    state.apply(snapshot(9, &["a"]), Some(at(1500)), at(2600));
    assert_eq!(state.age(at(2600)), Some(Duration::from_millis(800)));
    assert_eq!(state.next_step(at(4300)), Step::AskPlatform);
}

/// Guards against a flood of confirmations, each of which every reader would pass on, and against
/// none, which would make every node ask the platform.
#[test]
fn confirmations_are_passed_on_in_steps() {
    let mut state = evacuations();
    state.apply(snapshot(7, &[]), Some(at(1000)), at(1000));
    let mut passed_on = 0;
    for millis in (1000..6000).step_by(50) {
        let change = state.apply(snapshot(millis, &[]), Some(at(millis)), at(millis));
        passed_on += u32::from(change == Change::Confirmed);
    }
    assert!((8..=13).contains(&passed_on), "{passed_on}");
    assert!(state.is_older_than(Duration::ZERO, at(6600)));
    assert!(!state.is_older_than(Duration::from_millis(300), at(6600)));
}

/// Guards against an evacuation that ends because only one of its two origins has ended it.
#[test]
fn an_evacuation_lasts_until_both_origins_have_ended_it() {
    let mut state = evacuations();
    state.apply(snapshot(7, &["a"]), None, at(0));
    assert_eq!(state.set_objects(domains(&["a"]), at(1)), Change::None);
    assert_eq!(state.apply(snapshot(8, &[]), None, at(2)), Change::None);
    assert!(state.is_evacuated(&domain("a")));
    let ended = vec![domain("a")];
    assert_eq!(state.set_objects(BTreeSet::new(), at(3)), Change::Domains { begun: vec![], ended });
}

/// Guards against calls to an evacuated failure domain after a restore of the store from a backup that
/// lacks the evacuation, and against one that can't be ended after it.
#[test]
fn an_evacuation_that_a_restored_store_lacks_stays_in_effect() {
    let mut state = evacuations();
    state.apply(snapshot(70, &["a", "b"]), None, at(0));
    assert_eq!(state.apply(snapshot(NEXT_ERA + 60, &[]), None, at(1000)), Change::None);
    // The operator of one repeats the write, and ends the evacuation later.
    assert_eq!(state.apply(snapshot(NEXT_ERA + 61, &["a"]), None, at(3000)), Change::None);
    let change = state.apply(snapshot(NEXT_ERA + 62, &[]), None, at(9000));
    assert_eq!(change, Change::Domains { begun: vec![], ended: vec![domain("a")] });
    // A second restore does not prolong the other one.
    state.apply(snapshot(2 * NEXT_ERA + 50, &[]), None, at(20_000));
    assert_eq!(state.tick(at(60_999)), Change::None);
    let change = state.tick(at(61_000));
    assert_eq!(change, Change::Domains { begun: vec![], ended: vec![domain("b")] });
}

/// Guards against an evacuation that a node which has started since the restore does not know, that lasts
/// longer there, or that comes back from a peer which has not seen its end.
#[test]
fn a_node_takes_over_what_a_peer_retains() {
    let mut running = evacuations();
    running.apply(snapshot(70, &["a", "b", "c"]), None, at(0));
    running.apply(snapshot(NEXT_ERA + 60, &["b"]), None, at(1000));
    let mut started = evacuations();
    let revision = Revision(NEXT_ERA + 60);
    assert_eq!(started.apply_retained(revision, running.retained(at(11_000)), at(0)), None);
    started.apply(snapshot(NEXT_ERA + 60, &["b"]), None, at(0));
    // The clocks of the nodes differ by 11 s.
    let change = started.apply_retained(revision, running.retained(at(11_000)), at(0));
    let begun = vec![domain("a"), domain("c")];
    assert_eq!(change, Some(Change::Domains { begun, ended: vec![] }));
    let again = started.apply_retained(revision, running.retained(at(12_000)), at(5000));
    assert_eq!(again, Some(Change::None));
    assert_eq!(started.tick(at(49_999)), Change::None);
    assert!(matches!(started.tick(at(50_000)), Change::Domains { .. }));
    assert_eq!(**started.domains(), domains(&["b"]));

    // The last moments are not taken over, and nothing of an earlier snapshot.
    let late = started.apply_retained(revision, running.retained(at(60_500)), at(50_000));
    assert_eq!(late, Some(Change::None));
    started.apply(snapshot(NEXT_ERA + 61, &[]), None, at(51_000));
    assert_eq!(
        started.apply_retained(revision, vec![(domain("a"), Duration::from_secs(9))], at(51_000)),
        None
    );
}

/// Guards against intervals that a very short bound would make so short that the store is flooded, and
/// against long ones.
#[test]
fn the_pace_is_limited() {
    let tiny = Pace::for_bound(Duration::from_millis(1));
    assert!(tiny.confirm_within >= Duration::from_millis(200), "{tiny:?}");
    let day = Pace::for_bound(Duration::from_secs(86_400));
    assert_eq!(day, Pace::for_bound(Duration::from_secs(5)));
    assert!(day.watch_wait <= Duration::from_secs(2), "{day:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(0xe5a),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a state that depends on the order in which snapshots arrive, and against changes
    /// that do not add up to the state.
    #[test]
    fn the_latest_snapshot_decides(
        history in proptest::collection::vec(proptest::collection::btree_set("[abc]", 0..3), 1..8),
        arrivals in proptest::collection::vec(0usize..8, 1..30),
    ) {
        let mut state = evacuations();
        let mut told = BTreeSet::new();
        let mut latest = None;
        for (millis, arrival) in arrivals.into_iter().enumerate() {
            let index = arrival % history.len();
            let names: Vec<&str> = history[index].iter().map(String::as_str).collect();
            let change = state.apply(snapshot(index as u64, &names), None, at(millis as u64));
            if let Change::Domains { begun, ended } = change {
                prop_assert!(begun.iter().all(|domain| told.insert(domain.clone())));
                prop_assert!(ended.iter().all(|domain| told.remove(domain)));
            }
            latest = latest.max(Some(index));
            let names = &history[latest.unwrap()];
            let expected: BTreeSet<FailureDomain> = names.iter().map(|name| domain(name)).collect();
            prop_assert_eq!(&**state.domains(), &expected);
            prop_assert_eq!(&told, &expected);
        }
    }
}
