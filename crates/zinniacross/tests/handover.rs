//! Processes of a fleet that start again, and what they know of the acknowledgements that earlier processes of
//! their node have given.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::imported::{ImportedFleet, SOON};
use common::site::{Endpoint, send, send_heartbeat, send_removal, status};
use common::{millis, seconds};
use standins::platform::Faults;
use standins::process::{Signal, wait_until};

const CONFIG: &str = r#"{"version":3,"routes":[
    {"name":"open","host":"shop.example","pathPrefix":"/open/","kind":"safe","timeoutS":1500,
     "service":"orders","noAuth":true},
    {"name":"dues","host":"shop.example","pathPrefix":"/dues/","kind":"safe","timeoutS":1500,
     "service":"dues","noAuth":true}]}"#;

/// The node whose process starts again.
const NODE: usize = 0;

/// Its endpoint, and the Unix millisecond of its start.
const LEAVING: &str = "i-leaving";
const BORN: u64 = 7;

/// A fleet in which `NODE` has the endpoint of the service `orders`.
struct Handover {
    fleet: ImportedFleet,
    endpoint: Endpoint,
}

impl Handover {
    /// Starts the fleet, and waits until all nodes have the record of `NODE` with its endpoint.
    fn start(nodes: usize, era: Option<u64>) -> Handover {
        let fleet = ImportedFleet::start_with(nodes, era, CONFIG);
        let handover = Handover { fleet, endpoint: Endpoint::start() };
        let mut seq = 0;
        let served = wait_until(SOON, || {
            seq += 1;
            handover.heartbeat(seq, BORN);
            (0..nodes).all(|node| handover.call(node, "/open/1") == 200)
        });
        assert!(served, "all nodes send calls to the endpoint");
        handover
    }

    fn heartbeat(&self, seq: u32, born: u64) -> u16 {
        let body = heartbeat_body("orders", &self.endpoint, seq, born);
        send_heartbeat(self.fleet.nodes[NODE].announce, LEAVING, body)
    }

    fn deregister(&self) -> u16 {
        let body = format!(r#"{{"seq":1000000,"born":{BORN}}}"#);
        send_removal(self.fleet.nodes[NODE].announce, LEAVING, body)
    }

    /// Calls a node, and returns the status of the answer.
    fn call(&self, node: usize, path: &str) -> u16 {
        status(&send(self.fleet.nodes[node].caller, "GET", path, "").0)
    }

    /// Checks that a message of the start that has ended, which arrives late, brings the endpoint back at
    /// none of these nodes.
    fn check_stays_gone(&self, seq: u32, nodes: &[usize]) {
        let ran = self.endpoint.heads().len();
        for _ in 0..3 {
            self.heartbeat(seq, BORN);
            for node in nodes {
                assert_eq!(self.call(*node, "/open/1"), 503, "node {node}");
            }
        }
        assert_eq!(self.endpoint.heads().len(), ran, "no call reaches the endpoint");
    }

    /// Waits until a later start of the endpoint is in use, and returns how long that takes.
    fn time_until_back(&self) -> Duration {
        let (started, mut seq) = (Instant::now(), 0);
        let is_back = wait_until(SOON, || {
            seq += 1;
            self.heartbeat(seq, 9000) == 200 && self.call(NODE, "/open/1") == 200
        });
        assert!(is_back, "the endpoint starts again");
        started.elapsed()
    }
}

fn heartbeat_body(service: &str, endpoint: &Endpoint, seq: u32, born: u64) -> String {
    let addr = endpoint.addr;
    format!(
        r#"{{"service":"{service}","addr":"{addr}","slots":3,"state":"ready","seq":{seq},"born":{born}}}"#
    )
}

/// Guards against an endpoint that is in use again after its node has acknowledged that it is gone: the
/// process starts again while the store is away, takes the copy of a peer that has not seen the departure for
/// all there is, and believes a late message. The node serves the endpoints of others meanwhile.
#[test]
fn the_copy_of_a_peer_does_not_tell_all_departures() {
    const PEER: usize = 1;
    let mut handover = Handover::start(2, None);
    let of_peer = Endpoint::start();
    let serves = |handover: &Handover| {
        let body = heartbeat_body("dues", &of_peer, 1, BORN);
        send_heartbeat(handover.fleet.nodes[PEER].announce, "i-of-peer", body);
        handover.call(NODE, "/dues/1") == 200
    };
    assert!(wait_until(SOON, || serves(&handover)), "calls reach the endpoint of the peer");

    handover.fleet.cut_platform(PEER);
    handover.fleet.nodes[PEER].process.signal(Signal::Pause).unwrap();
    assert_eq!(handover.deregister(), 200);
    handover.fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    handover.fleet.restart(NODE);
    handover.fleet.nodes[PEER].process.signal(Signal::Resume).unwrap();
    let has_copy = || handover.fleet.metric(NODE, "objects_revision") > 0;
    assert!(wait_until(SOON, has_copy), "the peer sends its copy");
    handover.check_stays_gone(3, &[NODE, PEER]);
    assert!(wait_until(SOON, || serves(&handover)), "the node serves while the store is away");

    handover.fleet.platform.set_faults(Faults::default());
    println!("a later start is in use after {:?}", handover.time_until_back());
}

/// Guards against an endpoint that is in use again after its node has acknowledged that it is gone: the store
/// was restored from a backup without the departure, and the process of the node that had seen it has ended.
/// Only other nodes know of it.
#[test]
fn a_departure_that_the_store_has_lost_is_known_from_peers() {
    const ALL: [usize; 3] = [0, 1, 2];
    let mut handover = Handover::start(ALL.len(), Some(1));
    thread::sleep(seconds(1));
    let left_at = Instant::now();
    assert_eq!(handover.deregister(), 200);
    let stored: serde_json::Value =
        serde_json::from_str(&handover.fleet.stored("node.node-0")).unwrap();
    let number = stored["meta"]["rev"].as_u64().unwrap();
    let is_known =
        |node| handover.fleet.metric(node, "objects_revision") & ((1 << 44) - 1) >= number;
    assert!(wait_until(SOON, || ALL.into_iter().all(is_known)), "all nodes know of the departure");

    handover.fleet.kill(NODE);
    handover.fleet.platform.restore(left_at.elapsed() + millis(500), millis(400));
    assert!(!handover.fleet.stored("node.node-0").contains("departed"), "the store has lost it");
    handover.fleet.start_again(NODE);
    let has_listed = || handover.fleet.metric(NODE, "objects_revision") >> 44 == 2;
    assert!(wait_until(SOON, has_listed), "the node lists the restored store");
    handover.check_stays_gone(3, &ALL);
    println!("a later start is in use after {:?}", handover.time_until_back());
    let is_written = || handover.fleet.stored("node.node-0").contains("departed");
    assert!(wait_until(SOON, is_written), "the departure is written again");
}
