//! Evacuations of failure domains, as nodes, endpoints and callers meet them.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::imported::{ImportedFleet, SOON};
use common::site::{Endpoint, send, status};
use common::{Connections, Fleet, Plan, millis, seconds};
use standins::platform::Faults;
use standins::process::{CREDENTIAL, Signal, wait_until};
use standins::upstream::Behaviour;

/// Time in which an evacuation has to be in effect.
const WITHIN: Duration = Duration::from_secs(5);

const SETTING: &str = "evacuate_within = 5s";

const ROUTES: &str = r#"[{"name":"open","host":"shop.example","pathPrefix":"/open/","kind":"safe",
    "timeoutS":1500,"service":"orders","noAuth":true}]"#;

/// Time until the given nodes know of `count` evacuated failure domains.
fn time_until_known(fleet: &ImportedFleet, nodes: &[usize], count: u64) -> Duration {
    let started = Instant::now();
    let all = || nodes.iter().all(|node| fleet.metric(*node, "evacuated_domains") == count);
    assert!(wait_until(SOON, all), "{count} evacuations are known everywhere");
    started.elapsed()
}

/// Starts an endpoint of the service `orders` at a node. It sends heartbeats until the test ends.
fn start_endpoint(fleet: &ImportedFleet, node: usize) -> Endpoint {
    let endpoint = Endpoint::start();
    let (addr, announce) = (endpoint.addr, fleet.nodes[node].announce);
    thread::spawn(move || {
        for seq in 1.. {
            let body = format!(
                r#"{{"service":"orders","addr":"{addr}","slots":5,"state":"ready","seq":{seq},"born":7}}"#
            );
            let _ = ureq::put(&format!("http://{announce}/api/endpoints/i-{node}")).send(body);
            thread::sleep(seconds(1));
        }
    });
    endpoint
}

/// Guards against nodes that learn late of the begin or the end of an evacuation: all of them, those
/// that the store turns away, and all of them after their connections have fallen silent.
#[test]
fn evacuations_begin_and_end_in_time_at_all_nodes() {
    let domains = ["mid-a", "mid-b", "mid-c"].repeat(5);
    let fleet = ImportedFleet::start_in(&domains, SETTING);
    let nodes: Vec<usize> = (0..domains.len()).collect();
    let specs = ["{}", "null", r#"{"until":1e999,"why":["x"]}"#, "7"];
    for (round, spec) in specs.iter().enumerate() {
        match round {
            // The first five nodes include some of each failure domain.
            1 => nodes.iter().take(5).for_each(|node| fleet.cut_platform(*node)),
            2 => fleet.silence_connections(),
            _ => {}
        }
        fleet.create("evacuations", "mid-b", spec);
        let began = time_until_known(&fleet, &nodes, 1);
        // A node on which nothing changes for some time must not be slower than one that is busy.
        thread::sleep(seconds(2));
        fleet.delete("evacuations", "mid-b");
        let ended = time_until_known(&fleet, &nodes, 0);
        println!("round {round}: began after {began:?}, ended after {ended:?}");
        assert!(began < WITHIN && ended < WITHIN, "round {round}: {began:?}, {ended:?}");
    }
}

/// Guards against a store that every node asks for the evacuations: only the readers do, and the others
/// hear from them that nothing has changed.
#[test]
fn following_evacuations_costs_few_calls() {
    const NODES: usize = 20;
    let fleet = ImportedFleet::start_in(&["mid-a"; NODES], SETTING);
    thread::sleep(seconds(3));
    let period = seconds(8);
    let before = fleet.platform.counts();
    thread::sleep(period);
    let after = fleet.platform.counts();
    // The watches of the configuration and of the objects are among them.
    let watches = after.watches - before.watches;
    let if_all_asked = NODES as f64 * period.as_secs_f64() / 1.5;
    println!("{watches} watches in {period:?}");
    assert!((watches as f64) < if_all_asked, "{watches} watches in {period:?}");
    assert_eq!(after.lists, before.lists);
}

/// Guards against requests that reach an evacuated failure domain, against callers who notice an
/// evacuation although other endpoints are left, and against endpoints that stay out of use after it.
#[test]
fn evacuated_endpoints_get_no_requests() {
    let fleet = ImportedFleet::start_in(&["mid-a", "mid-b", "mid-c"], SETTING);
    fleet.put_routes(ROUTES);
    let endpoints: Vec<Endpoint> = (0..3).map(|node| start_endpoint(&fleet, node)).collect();
    let call = |entry: usize| status(&send(fleet.nodes[entry].caller, "GET", "/open/1", "").0);
    // An entry that knows only its own endpoint has none left when that is evacuated.
    let knows_all = |node: usize| {
        let req = ureq::get(&format!("http://{}/state", fleet.nodes[node].operator));
        let req = req.header("authorization", format!("Bearer {CREDENTIAL}"));
        let state = req.call().unwrap().body_mut().read_to_string().unwrap();
        ["i-0", "i-1", "i-2"].iter().all(|name| state.contains(name))
    };
    assert!(wait_until(SOON, || (0..3).all(knows_all)), "all entries know all endpoints");
    let all_used = || {
        (0..3).for_each(|entry| assert!(call(entry) > 0));
        endpoints.iter().all(|endpoint| !endpoint.heads().is_empty())
    };
    assert!(wait_until(SOON, all_used), "all endpoints are used");

    fleet.create("evacuations", "mid-b", "{}");
    let began = Instant::now();
    let mut late = 0;
    while began.elapsed() < WITHIN + seconds(2) {
        let before = endpoints[1].heads().len();
        for entry in 0..3 {
            let (head, body) = send(fleet.nodes[entry].caller, "GET", "/open/1", "");
            assert_eq!(status(&head), 200, "a caller notices the evacuation: {body}");
        }
        if began.elapsed() > WITHIN {
            late += endpoints[1].heads().len() - before;
        }
    }
    assert_eq!(late, 0, "requests reach the evacuated endpoint");

    fleet.create("evacuations", "mid-a", "{}");
    fleet.create("evacuations", "mid-c", "{}");
    fleet.create("evacuations", "nowhere", "{}");
    time_until_known(&fleet, &[0, 1, 2], 4);
    for entry in 0..3 {
        let (head, body) = send(fleet.nodes[entry].caller, "GET", "/open/1", "");
        assert_eq!(status(&head), 503);
        assert!(body.contains("1028"), "{body}");
    }
    let log = std::fs::read_to_string(&fleet.nodes[0].log).unwrap();
    assert!(log.contains("failure domain nowhere is evacuated"), "{log}");

    for domain in ["mid-a", "mid-b", "mid-c"] {
        fleet.delete("evacuations", domain);
    }
    endpoints.iter().for_each(|endpoint| endpoint.set(common::site::Mode::Answer));
    let ended = Instant::now();
    assert!(wait_until(SOON, all_used), "all endpoints are used again");
    assert!(ended.elapsed() < WITHIN, "{:?}", ended.elapsed());
}

/// Guards against a node that restarts while the store is away and sends calls to endpoints that its
/// peers know to be evacuated.
#[test]
fn a_node_that_restarts_without_the_store_learns_of_evacuations_from_peers() {
    let mut fleet = ImportedFleet::start_in(&["mid-a", "mid-a", "mid-b"], SETTING);
    fleet.create("evacuations", "mid-b", "{}");
    time_until_known(&fleet, &[0, 1, 2], 1);
    fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    fleet.restart(1);
    let took = time_until_known(&fleet, &[1], 1);
    println!("known {took:?} after the restart");
    assert!(took < WITHIN, "known {took:?} after the restart");
    // The others must not forget it during the outage.
    time_until_known(&fleet, &[0, 2], 1);
    fleet.platform.set_faults(Faults::default());
    assert!(wait_until(SOON, || fleet.metric(0, "platform_reachable") == 1));
    fleet.delete("evacuations", "mid-b");
    time_until_known(&fleet, &[0, 1, 2], 0);
}

/// Guards against an evacuation that nodes miss which stood still when it began, and against one that
/// waits for them.
#[test]
fn nodes_that_stood_still_learn_of_an_evacuation() {
    let fleet = ImportedFleet::start_in(&["mid-a", "mid-b", "mid-b", "mid-c"], SETTING);
    let unreachable = [1, 2];
    let signal = |signal| {
        unreachable.iter().for_each(|node| fleet.nodes[*node].process.signal(signal).unwrap());
    };
    signal(Signal::Pause);
    fleet.create("evacuations", "mid-b", "{}");
    let elsewhere = time_until_known(&fleet, &[0, 3], 1);
    thread::sleep(seconds(3));
    signal(Signal::Resume);
    let late = time_until_known(&fleet, &unreachable, 1);
    println!("known elsewhere after {elsewhere:?}, {late:?} after the nodes went on");
    assert!(elsewhere < WITHIN && late < WITHIN, "{elsewhere:?}, {late:?}");
}

/// Guards against a fleet that follows evacuations of the platform although its settings do not say so.
#[test]
fn evacuations_are_not_followed_without_the_setting() {
    let fleet = ImportedFleet::start_in(&["mid-a", "mid-a"], "");
    fleet.create("evacuations", "mid-a", "{}");
    thread::sleep(seconds(3));
    let known = [0, 1].map(|node| fleet.metric(node, "evacuated_domains"));
    assert_eq!(known, [0, 0]);
}

/// Guards against calls that stay in the queue of an evacuated endpoint until their deadline, and
/// against running calls that are cut off. It uses the product's own command.
#[test]
fn queued_calls_go_elsewhere_and_running_ones_end() {
    let mut fleet = Fleet::start(3);
    fleet.route("orders", "open", 20_000);
    let slow = Behaviour { service_ms: 700, ..Behaviour::default() };
    let evacuated = fleet.upstream(0, "orders", 1, slow.clone());
    fleet.upstream(1, "orders", 1, slow.clone());
    fleet.upstream(2, "orders", 1, slow);
    fleet.wait_served("/orders/first", None);
    let plan = Plan {
        method: "POST",
        path: "/orders/q".into(),
        key: None,
        pause: Duration::ZERO,
        connections: Connections::Kept,
    };
    let done = fleet.calls_while(&[0, 1, 2, 0, 1, 2], &plan, || {
        thread::sleep(seconds(2));
        let output = fleet.operate(&["evacuation", "start", "mid-a", "--wait"]);
        assert!(output.status.success(), "{output:?}");
        thread::sleep(millis(200));
        let runs = fleet.upstreams[evacuated].runs();
        thread::sleep(seconds(3));
        assert_eq!(fleet.upstreams[evacuated].runs(), runs, "calls reach the evacuated endpoint");
        let output = fleet.operate(&["evacuation", "stop", "mid-a", "--wait"]);
        assert!(output.status.success(), "{output:?}");
        let is_used = || fleet.upstreams[evacuated].runs() > runs;
        assert!(wait_until(seconds(5), is_used), "the endpoint is used again");
    });
    let failed: Vec<_> =
        done.iter().filter(|call| !call.is_served()).map(common::Done::code).collect();
    assert!(failed.is_empty(), "{failed:?} of {} calls", done.len());
}

/// Guards against calls to an evacuated failure domain through a node that has started since the store lost
/// the evacuation in a restore, while the other nodes keep it in effect.
#[test]
fn a_node_that_starts_after_a_restore_learns_of_evacuations_that_the_store_lost() {
    const STARTS_AGAIN: usize = 1;
    let mut fleet = ImportedFleet::start_in_era(&["mid-a", "mid-b", "mid-c"], SETTING, 1);
    thread::sleep(seconds(2));
    let began = Instant::now();
    fleet.create("evacuations", "mid-b", "{}");
    time_until_known(&fleet, &[0, 1, 2], 1);
    fleet.kill(STARTS_AGAIN);
    fleet.platform.restore(began.elapsed() + millis(500), millis(400));
    fleet.start_again(STARTS_AGAIN);
    time_until_known(&fleet, &[STARTS_AGAIN], 1);
    let started = Instant::now();
    while started.elapsed() < seconds(5) {
        for node in 0..3 {
            assert_eq!(fleet.metric(node, "evacuated_domains"), 1, "node {node}");
        }
        thread::sleep(millis(100));
    }
}
