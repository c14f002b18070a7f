//! A new configuration is in force in time at a node that is well, whatever happens to the nodes and
//! connections from which it hears of changes.

mod common;

use std::thread;
use std::time::Duration;

use common::imported::ImportedFleet;
use common::seconds;
use standins::process::Signal;

/// Time in which a new configuration has to be in force.
const CONFIG_WITHIN: Duration = Duration::from_secs(2);

/// Time after a disturbance from which the bound holds again at a node.
const CONTACT: Duration = Duration::from_secs(3);

/// Guards against a node that learns of versions only from other nodes, and those stand still.
#[test]
fn a_version_is_in_time_at_a_node_while_all_others_stand_still() {
    const NODES: usize = 12;
    let fleet = ImportedFleet::start(NODES);
    for round in 0..5 {
        thread::sleep(CONTACT);
        let spared = round * 2;
        fleet.signal_others(spared, Signal::Pause);
        let took = fleet.spread_config(round + 1, &[spared]);
        fleet.signal_others(spared, Signal::Resume);
        println!("round {round}: in force after {took:?}");
        assert!(took < CONFIG_WITHIN, "round {round}: in force after {took:?}");
    }
}

/// Guards against a watch or a link that has fallen silent without a reset and is trusted for long.
#[test]
fn a_version_is_in_time_after_all_connections_fell_silent() {
    const NODES: usize = 8;
    let all: Vec<usize> = (0..NODES).collect();
    let fleet = ImportedFleet::start(NODES);
    for round in 0..3 {
        thread::sleep(seconds(1));
        fleet.silence_connections();
        thread::sleep(CONTACT);
        let took = fleet.spread_config(round + 1, &all);
        println!("round {round}: in force after {took:?}");
        assert!(took < CONFIG_WITHIN, "round {round}: in force after {took:?}");
    }
}

/// Guards against a silent watch that is trusted too long where every node waits at the platform.
#[test]
fn a_version_of_the_second_after_a_silence_is_in_time() {
    const NODES: usize = 3;
    let all: Vec<usize> = (0..NODES).collect();
    let fleet = ImportedFleet::start(NODES);
    for round in 0..6 {
        thread::sleep(seconds(1));
        fleet.silence_connections();
        thread::sleep(CONTACT - CONFIG_WITHIN);
        let took = fleet.spread_config(round + 1, &all);
        println!("round {round}: in force after {took:?}");
        assert!(took < CONFIG_WITHIN, "round {round}: in force after {took:?}");
    }
}

/// Guards against a node that waits for silent links although the platform would answer it.
#[test]
fn a_version_is_in_time_after_the_links_between_nodes_fell_silent() {
    const NODES: usize = 12;
    let all: Vec<usize> = (0..NODES).collect();
    let fleet = ImportedFleet::start(NODES);
    for round in 0..5 {
        thread::sleep(CONTACT);
        fleet.silence_links();
        let took = fleet.spread_config(round + 1, &all);
        println!("round {round}: in force after {took:?}");
        assert!(took < CONFIG_WITHIN, "round {round}: in force after {took:?}");
    }
}
