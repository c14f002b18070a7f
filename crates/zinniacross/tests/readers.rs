//! How changes of the stored objects reach the nodes of a failure domain, most of which do not wait for
//! them at the platform.

mod common;

use std::time::Duration;

use common::imported::ImportedFleet;
use standins::platform::Faults;

const NODES: usize = 14;

const ALL_NODES: [usize; NODES] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13];

const CHANGES: usize = 10;

/// Interval between two changes, longer than the pause of a reader between two watches.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1100);

/// Time in which a change has to reach all nodes.
const SPREAD_WITHIN: Duration = Duration::from_secs(3);

/// Time in which a new configuration has to be in force at all nodes.
const CONFIG_WITHIN: Duration = Duration::from_secs(2);

/// Writes an object that all nodes follow, and returns the time until all know of it.
fn spread_change(fleet: &ImportedFleet, number: usize) -> Duration {
    let spec = r#"{"write_id":"w","document":{"drained":true}}"#;
    let name = format!("endpoint-mark.e-{number}");
    let change = || fleet.create("zinniacross", &name, spec);
    fleet.time_until_known("objects_revision", &ALL_NODES, change)
}

/// Guards against a platform that is asked by every node for each change, and against nodes that hear
/// of a change late because they do not ask.
#[test]
fn few_nodes_ask_the_platform_and_all_hear_of_changes() {
    let fleet = ImportedFleet::start(NODES);
    std::thread::sleep(CHANGE_INTERVAL);
    let watches_before = fleet.platform.counts().watches;
    for number in 0..CHANGES {
        let took = spread_change(&fleet, number);
        assert!(took < SPREAD_WITHIN, "change {number} took {took:?}");
        std::thread::sleep(CHANGE_INTERVAL.saturating_sub(took));
    }
    let watches = fleet.platform.counts().watches - watches_before;
    let if_all_watched = (NODES * CHANGES) as u64;
    assert!(watches < if_all_watched / 2, "{watches} watches for {CHANGES} changes");
}

/// Guards against a new configuration that is in force late at nodes that do not ask the platform for
/// it. The users allow 2 s.
#[test]
fn a_new_configuration_is_soon_in_force_everywhere() {
    let fleet = ImportedFleet::start(NODES);
    std::thread::sleep(CHANGE_INTERVAL);
    let watches_before = fleet.platform.counts().watches;
    for number in 1..=CHANGES {
        let took = fleet.spread_config(number, &ALL_NODES);
        assert!(took < CONFIG_WITHIN, "version {number} took {took:?}");
        std::thread::sleep(CHANGE_INTERVAL.saturating_sub(took));
    }
    let watches = fleet.platform.counts().watches - watches_before;
    let if_all_watched = (NODES * CHANGES) as u64;
    assert!(watches < if_all_watched * 3 / 4, "{watches} watches for {CHANGES} versions");
}

/// Guards against an outage of the platform in which every node repeats its calls all the time, and
/// against nodes that notice the end of it late.
#[test]
fn an_outage_costs_few_calls() {
    let fleet = ImportedFleet::start(NODES);
    let outage = Duration::from_secs(8);
    fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    std::thread::sleep(Duration::from_secs(1));
    let calls = || {
        let counts = fleet.platform.counts();
        counts.lists + counts.watches + counts.reads + counts.writes
    };
    let before = calls();
    std::thread::sleep(outage);
    let per_node_and_second = (calls() - before) as f64 / NODES as f64 / outage.as_secs_f64();
    println!("{per_node_and_second:.2} calls a second and node");
    assert!(per_node_and_second < 1.5, "{per_node_and_second:.2} calls a second and node");
    fleet.platform.set_faults(Faults::default());
    let took = spread_change(&fleet, 0);
    assert!(took < SPREAD_WITHIN, "the first change after the outage took {took:?}");
}
