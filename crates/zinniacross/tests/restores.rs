//! The platform's store comes back from a backup that lacks acknowledged writes, below processes that have
//! seen them.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::imported::{ImportedFleet, SOON};
use common::site::{Mode, Site, send, status};
use common::{Fleet, millis, seconds};
use model::Kind;
use standins::platform::Faults;
use standins::process::{Signal, wait_until};
use standins::upstream::Behaviour;

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(400);

/// Time for which a lost write is looked for after a restore, longer than it takes all nodes to read the
/// store again.
const WATCHED: Duration = Duration::from_secs(5);

/// Time in which a new configuration has to be in force.
const CONFIG_WITHIN: Duration = Duration::from_secs(2);

/// A configuration with a route that needs one of these keys.
fn config(version: u32, keys: &[&str]) -> String {
    let keys = keys.join("\",\"");
    format!(
        r#"{{"version":{version},
            "routes":[{{"name":"view","host":"shop.example","pathPrefix":"/view/","kind":"safe",
                "timeoutS":300,"service":"orders"}}],
            "tenants":[{{"name":"big","apiKeys":["{keys}"],"ratePerS":0}}]}}"#
    )
}

/// Whether a node takes a key. There is no endpoint, so it refuses the request with another status.
fn accepts(fleet: &ImportedFleet, node: usize, key: &str) -> bool {
    let headers = format!("Api-Key: {key}\r\n");
    let answered = status(&send(fleet.nodes[node].caller, "GET", "/view/1", &headers).0);
    assert!([401, 503].contains(&answered), "{answered}");
    answered != 401
}

fn version(fleet: &ImportedFleet, node: usize) -> u64 {
    fleet.metric(node, "imported_revision")
}

fn wait_for_version(fleet: &ImportedFleet, nodes: &[usize], expected: u64) {
    let all = || nodes.iter().all(|node| version(fleet, *node) == expected);
    let found: Vec<u64> = nodes.iter().map(|node| version(fleet, *node)).collect();
    assert!(wait_until(SOON, all), "version {expected}, found {found:?}");
}

/// Checks for a while that a condition holds at each of these nodes.
fn check_for(time: Duration, nodes: &[usize], condition: impl Fn(usize) -> bool) {
    let started = Instant::now();
    while started.elapsed() < time {
        for node in nodes {
            assert!(condition(*node), "node {node} after {:?}", started.elapsed());
        }
        thread::sleep(millis(50));
    }
}

/// An account as an operator command stores it.
fn account(era: u64) -> String {
    format!(r#"{{"write_id":"w1","era":{era},"document":{{"rate":"5/s","burst":10}}}}"#)
}

/// Waits until all nodes have listed the store in this era.
fn wait_for_era(fleet: &ImportedFleet, nodes: &[usize], era: u64) {
    let has_era = |node: &usize| fleet.metric(*node, "objects_revision") >> 44 == era;
    assert!(wait_until(SOON, || nodes.iter().all(has_era)), "era {era}");
}

/// Guards against a change in effect that is reverted because the store lost it, against one that operators
/// repeat and that is not applied, and against a lower revision that hides the next change.
#[test]
fn a_configuration_change_is_not_reverted() {
    const ALL: [usize; 4] = [0, 1, 2, 3];
    let fleet = ImportedFleet::start_with(ALL.len(), Some(1), &config(10, &["a"]));
    wait_for_version(&fleet, &ALL, 10);
    thread::sleep(seconds(2));
    let changed_at = Instant::now();
    fleet.put_config(&config(13, &["a", "b"]));
    wait_for_version(&fleet, &ALL, 13);
    fleet.platform.restore(changed_at.elapsed() + millis(100), AWAY);
    check_for(WATCHED, &ALL, |node| version(&fleet, node) == 13 && accepts(&fleet, node, "b"));
    fleet.put_config(&config(13, &["a", "b"]));
    check_for(seconds(1), &ALL, |node| version(&fleet, node) == 13);
    let started = Instant::now();
    fleet.put_config(&config(14, &["a"]));
    wait_for_version(&fleet, &ALL, 14);
    let took = started.elapsed();
    println!("in force after {took:?}");
    assert!(took < CONFIG_WITHIN, "in force after {took:?}");
    assert!(ALL.iter().all(|node| !accepts(&fleet, *node, "b")));
}

/// Guards against a withdrawn key that is valid again, at a node that was there and for long at one that
/// starts after the restore and reads the store.
#[test]
fn a_withdrawn_key_stays_withdrawn() {
    const ALL: [usize; 3] = [0, 1, 2];
    let mut fleet = ImportedFleet::start_with(ALL.len(), Some(1), &config(10, &["a", "b"]));
    wait_for_version(&fleet, &ALL, 10);
    assert!(accepts(&fleet, 0, "b"));
    thread::sleep(seconds(2));
    let changed_at = Instant::now();
    fleet.put_config(&config(11, &["a"]));
    wait_for_version(&fleet, &ALL, 11);
    fleet.platform.restore(changed_at.elapsed() + millis(100), AWAY);
    fleet.add_node(3);
    check_for(WATCHED, &ALL, |node| !accepts(&fleet, node, "b"));
    wait_for_version(&fleet, &[3], 11);
    assert!(!accepts(&fleet, 3, "b"));
    check_for(WATCHED, &[0, 1, 2, 3], |node| !accepts(&fleet, node, "b"));
}

/// Guards against an endpoint that left and gets requests again, because the store lost its departure: also
/// after a restart of the node, which reads the departures from the store.
#[test]
fn an_acknowledged_departure_is_written_again() {
    let mut site = Site::start_in(Some(4));
    site.endpoint.set(Mode::Answer);
    let open = |site: &Site| status(&site.call("GET", "/open/1", "").0);
    site.wait_until("the record has an endpoint", || site.stored_record().contains("i-1"));
    thread::sleep(seconds(1));
    let left_at = Instant::now();
    assert_eq!(site.give_notice("gone", 1_000_000), 200);
    let stored: serde_json::Value = serde_json::from_str(&site.stored_record()).unwrap();
    assert!(stored.to_string().contains("departed"));
    // A record that has not come back to its writer yet is written again anyway.
    let number = stored["meta"]["rev"].as_u64().unwrap();
    assert!(wait_until(SOON, || site.objects_revision() & ((1 << 44) - 1) >= number));
    site.platform.restore(left_at.elapsed() + millis(100), AWAY);
    assert!(!site.stored_record().contains("departed"), "the restore lost the departure");
    assert!(wait_until(SOON, || site.stored_record().contains("departed")));
    site.heartbeat("ready", 2000);
    assert_eq!(open(&site), 503);
    site.restart(Signal::Kill);
    for late in [3, 4000] {
        site.heartbeat("ready", late);
        assert_eq!(open(&site), 503, "message {late}");
    }
    assert_eq!(site.endpoint.heads().len(), 0);
    assert_eq!(site.heartbeat_of_start("ready", 1, 9000), 200);
    assert!(wait_until(SOON, || open(&site) == 200), "the endpoint starts again");
}

/// Guards against a node that stood still across the restore and undoes what happened since, or follows no
/// change any more, and against a lost object that nobody writes again.
#[test]
fn a_node_that_was_paused_across_the_restore_undoes_nothing() {
    const ALL: [usize; 4] = [0, 1, 2, 3];
    const PAUSED: usize = 3;
    let running = [0, 1, 2];
    let fleet = ImportedFleet::start_with(ALL.len(), Some(1), &config(10, &["a", "b"]));
    fleet.create("zinniacross", "account.old", &account(1));
    thread::sleep(seconds(2));
    let changed_at = Instant::now();
    fleet.create("zinniacross", "account.lost", &account(1));
    fleet.put_config(&config(11, &["a", "b", "c"]));
    wait_for_version(&fleet, &ALL, 11);
    thread::sleep(seconds(2));
    fleet.nodes[PAUSED].process.signal(Signal::Pause).unwrap();
    fleet.platform.restore(changed_at.elapsed() + millis(100), AWAY);
    assert_eq!(fleet.stored("account.lost"), "");
    wait_for_era(&fleet, &running, 2);
    assert!(wait_until(SOON, || !fleet.stored("account.lost").is_empty()), "written again");
    fleet.delete_stored("account.old");
    fleet.put_config(&config(12, &["a"]));
    wait_for_version(&fleet, &running, 12);
    thread::sleep(seconds(2));
    fleet.nodes[PAUSED].process.signal(Signal::Resume).unwrap();
    wait_for_version(&fleet, &[PAUSED], 12);
    wait_for_era(&fleet, &[PAUSED], 2);
    check_for(WATCHED, &ALL, |node| {
        let stored = fleet.stored("account.old");
        let is_undone = !stored.is_empty() || accepts(&fleet, node, "b");
        if is_undone {
            println!("stored: {stored}");
            fleet.print_logs();
        }
        !is_undone
    });
    let written: u64 = ALL.iter().map(|node| fleet.metric(*node, "objects_rewritten_total")).sum();
    assert_eq!(written, 1, "one node writes a lost object again");
}

/// Guards against a second restore that loses what was written again after the first one.
#[test]
fn two_restores_in_a_row_revert_nothing() {
    const ALL: [usize; 3] = [0, 1, 2];
    let fleet = ImportedFleet::start_with(ALL.len(), Some(1), &config(10, &["a", "b"]));
    thread::sleep(seconds(2));
    let changed_at = Instant::now();
    fleet.create("zinniacross", "account.lost", &account(1));
    fleet.put_config(&config(11, &["a"]));
    wait_for_version(&fleet, &ALL, 11);
    thread::sleep(seconds(2));
    for era in [2, 3] {
        fleet.platform.restore(changed_at.elapsed() + millis(100), AWAY);
        thread::sleep(seconds(1));
        assert!(fleet.platform.counts().writes > 0);
        check_for(seconds(1), &ALL, |node| !accepts(&fleet, node, "b"));
        wait_for_era(&fleet, &ALL, era);
    }
    assert!(wait_until(SOON, || !fleet.stored("account.lost").is_empty()), "written again");
    check_for(WATCHED, &ALL, |node| !accepts(&fleet, node, "b"));
    let is_settled = |node: &usize| fleet.metric(*node, "objects_retained") == 0;
    assert!(wait_until(SOON, || ALL.iter().all(is_settled)), "nothing is lost any more");
    assert!(ALL.iter().all(|node| fleet.metric(*node, "store_era") == 3));
    fleet.put_config(&config(12, &["a", "c"]));
    wait_for_version(&fleet, &ALL, 12);
}

/// Guards against nodes that start while the store comes back and stay apart, or follow no change. What only
/// they knew is lost until operators repeat it.
#[test]
fn a_restore_beside_a_restart_of_all_nodes() {
    const ALL: [usize; 3] = [0, 1, 2];
    let mut fleet = ImportedFleet::start_with(ALL.len(), Some(1), &config(10, &["a", "b"]));
    thread::sleep(seconds(2));
    let changed_at = Instant::now();
    fleet.put_config(&config(11, &["a"]));
    wait_for_version(&fleet, &ALL, 11);
    fleet.restart_all();
    fleet.platform.restore(changed_at.elapsed() + millis(100), AWAY);
    fleet.wait_until_known();
    wait_for_era(&fleet, &ALL, 2);
    fleet.put_config(&config(11, &["a"]));
    wait_for_version(&fleet, &ALL, 11);
    assert!(ALL.iter().all(|node| !accepts(&fleet, *node, "b")));
    for node in ALL {
        let name = format!("node.node-{node}");
        assert!(wait_until(SOON, || fleet.stored(&name).contains(r#""era":2"#)), "{name}");
    }
}

/// Guards against a withdrawn key that works again at a node which starts after the restore, until another
/// node has withdrawn it again in the store.
#[test]
fn a_node_that_starts_after_the_restore_knows_a_withdrawn_key() {
    const STARTS_AGAIN: usize = 1;
    let mut fleet = Fleet::start_in(2, 1);
    fleet.upstream(0, "orders", 8, Behaviour::default());
    fleet.route("orders", "keyed", 3000);
    let key = fleet.account("garden", 10_000, 10_000);
    fleet.wait_served("/orders/ready", Some(&key));
    thread::sleep(seconds(2));
    let withdrawn_at = fleet.withdraw(&key);
    let is_refused = |fleet: &Fleet, node: usize| {
        fleet.caller(node).get("/orders/1", Some(&key)).is_ok_and(|answer| answer.code() == 1003)
    };
    assert!(
        wait_until(SOON, || (0..2).all(|node| is_refused(&fleet, node))),
        "withdrawn everywhere"
    );

    // No node can withdraw it again in the store.
    fleet.platform.set_faults(Faults { refuse_writes: true, ..Faults::default() });
    fleet.kill(STARTS_AGAIN);
    fleet.platform.restore(withdrawn_at.elapsed() + millis(500), AWAY);
    assert!(fleet.read(Kind::Key, key.id().as_str()).is_some(), "the store has the key again");
    fleet.start_again(STARTS_AGAIN);
    assert!(wait_until(SOON, || is_refused(&fleet, STARTS_AGAIN)), "the key is withdrawn");
    let started = Instant::now();
    while started.elapsed() < WATCHED {
        assert!((0..2).all(|node| is_refused(&fleet, node)), "after {:?}", started.elapsed());
        thread::sleep(millis(50));
    }
    fleet.platform.set_faults(Faults::default());
    let is_gone =
        || fleet.read(Kind::Key, key.id().as_str()).is_none_or(|key| key.object.is_none());
    assert!(wait_until(SOON, is_gone), "it is withdrawn in the store");
}
