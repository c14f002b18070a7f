//! Repeated calls stay within the limit of their service over all nodes and all endpoints that it has had.

mod common;

use std::thread;
use std::time::Instant;

use common::repeats::{RepeatLimit, WINDOW, WorstWindow, worst_window};
use common::site::{Endpoint, Mode, Site, status};
use common::{Caller, Fleet, millis, seconds};
use model::Kind;
use standins::process::{Signal, wait_until};
use standins::upstream::{Arrival, Behaviour};

/// The limit of a service whose routes allow no share: the default of the setting `upstream.spare_retries`.
const LIMIT: RepeatLimit = RepeatLimit { percent: 0, spare: 20 };

fn shedding() -> Behaviour {
    Behaviour { shed: true, ..Behaviour::default() }
}

/// Nodes with one upstream each that refuses all calls, at an age at which their guards grant all retries.
fn start(nodes: usize, upstreams: usize) -> Fleet {
    let mut fleet = Fleet::start(nodes);
    for index in 0..upstreams {
        fleet.upstream(index % nodes, "orders", 4, Behaviour::default());
    }
    let route = r#"{"prefix":"/orders","service":"orders","access":"open","timeout_ms":3000,
        "idempotent":["GET"],"retry_budget":0,"floor":50,"attempts":2}"#;
    fleet.put(Kind::Route, "orders", route);
    fleet.wait_served("/orders/ready", None);
    thread::sleep(WINDOW);
    fleet.upstreams.iter().for_each(|upstream| upstream.set_behaviour(shedding()));
    fleet
}

/// Sends requests until their repeats have been used up for a while.
fn use_up_retries(fleet: &Fleet, prefix: &str) {
    let mut caller = Caller::new(fleet.nodes[0].caller);
    for number in 0..60 {
        let _ = caller.get(&format!("/orders/name/{prefix}-{number}"), None);
    }
}

fn check_limit(fleet: &Fleet) {
    let arrivals: Vec<Arrival> = fleet.upstreams.iter().flat_map(|one| one.arrivals()).collect();
    let arrivals = arrivals.iter().filter(|arrival| !arrival.target.contains("ready"));
    let arrivals: Vec<(Instant, &str)> = arrivals.map(|seen| (seen.at, &*seen.target)).collect();
    let worst = worst_window(&[], &arrivals, LIMIT);
    println!("{} arrivals, {worst:?}", arrivals.len());
    assert!(worst.repeats > 0, "some calls are repeated");
    assert!(worst.is_within_limit(), "{worst:?}");
}

/// Guards against spare retries that the endpoints which are left divide among themselves while those that the
/// others have granted still count.
#[test]
fn retries_do_not_grow_when_endpoints_leave() {
    // The node that stays has two of the upstreams.
    let fleet = start(4, 5);
    use_up_retries(&fleet, "before");
    for node in 1..4 {
        fleet.signal(node, Signal::Terminate);
    }
    let is_alone = || fleet.nodes[0].members() == Some(0);
    assert!(wait_until(seconds(5), is_alone), "the stopped nodes leave");
    use_up_retries(&fleet, "after");
    check_limit(&fleet);
}

/// Guards against arrivals that no limit counts: those at an address that another endpoint has taken.
#[test]
fn a_call_that_the_next_holder_of_an_address_refused_is_a_retry_elsewhere() {
    let site = Site::start();
    let second = Endpoint::start();
    let body = format!(
        r#"{{"service":"orders","addr":"{}","slots":3,"state":"ready","seq":1,"born":7}}"#,
        second.addr
    );
    assert_eq!(site.announce("i-2", body), 200);
    site.endpoint.set(Mode::Send(
        "HTTP/1.1 421 X\r\nrequest-id: {id}\r\ninstance-id: i-3\r\ncontent-length: 0\r\n\r\n",
    ));
    let mut number = 0;
    let is_refused = || {
        number += 1;
        let headers = format!("request-id: {number:016x}\r\napi-key: key-of-big\r\n");
        assert_eq!(status(&site.call("GET", "/view/1", &headers).0), 200);
        !site.endpoint.heads().is_empty()
    };
    assert!(wait_until(seconds(5), is_refused), "a call reaches the address");
    let is_retry = format!(r#""request_id":"{number:016x}","retry":true"#);
    assert!(wait_until(seconds(5), || site.log().contains(&is_retry)), "{}", site.log());
    assert!(site.log().contains("endpoint i-1 was removed"), "{}", site.log());
}

/// Guards against a count of repeats that misses windows, requests or first arrivals.
#[test]
fn repeats_are_counted_in_sliding_windows() {
    let from = Instant::now() + seconds(100);
    let at = |ms: u64| from + millis(ms);
    let limit = RepeatLimit { percent: 20, spare: 1 };
    let expected = |repeats, allowed| WorstWindow { repeats, allowed };
    let near = [(at(0), "a"), (at(9_000), "a"), (at(9_500), "b"), (at(18_999), "b")];
    assert_eq!(worst_window(&[], &near, limit), expected(2, 1));
    assert!(!worst_window(&[], &near, limit).is_within_limit());
    let apart = [(at(0), "a"), (at(1), "a"), (at(10_000), "b"), (at(10_001), "b")];
    assert_eq!(worst_window(&[], &apart, limit), expected(1, 1));
    assert_eq!(worst_window(&[], &[], limit), expected(0, 0));
    // Requests of the window itself, of the one half a window earlier, and of the one before it.
    for (sent, counts) in [(10_000, true), (4_000, true), (0, true), (20_000, false)] {
        let requests = [at(sent); 10];
        let allowed = if counts { 3 } else { 1 };
        let same = [(at(0), "a"), (at(10_000), "a")];
        assert_eq!(worst_window(&requests, &same, limit), expected(1, allowed), "sent {sent}");
    }
}
