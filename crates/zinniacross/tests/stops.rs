//! A graceful stop cuts off no call and loses none.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::caller::Lost;
use common::{Done, Fleet, Plan, millis, seconds};
use standins::process::Signal;
use standins::upstream::Behaviour;

fn fleet(service_ms: u64) -> Fleet {
    let mut fleet = Fleet::start(3);
    for node in 0..3 {
        fleet.upstream(node, "orders", 4, Behaviour { service_ms, ..Behaviour::default() });
    }
    fleet.route("orders", "keyed", 5000);
    fleet
}

/// Calls that failed although their node had not ended.
fn failures(done: &[Done], stopped: usize, ended: Instant) -> Vec<&Done> {
    let is_after_end = |call: &Done| {
        call.entry == stopped && call.ended >= ended - millis(100) && call.result.is_err()
    };
    let is_refused_after_listening =
        |call: &Done| call.entry == stopped && matches!(call.result, Err(Lost::Refused));
    done.iter()
        .filter(|call| !call.is_served())
        .filter(|call| !is_refused_after_listening(call))
        .inspect(|call| assert!(!is_after_end(call), "an answer was cut by the end: {call:?}"))
        .collect()
}

/// Guards against calls that are refused, cut off or lost while a node stops: those of callers on
/// the stopping node, and those of others that run or queue before its upstream.
fn check_stop(service_ms: u64, method: &'static str, path: &str) {
    let mut fleet = fleet(service_ms);
    let key = fleet.account("garden", 100_000, 100_000);
    fleet.wait_served("/orders/ready", Some(&key));
    let plan = Plan { method, path: path.to_owned(), key: Some(key.clone()), pause: millis(5) };
    let mut node = fleet.nodes.remove(2);
    let entries = [(0, fleet.nodes[0].caller), (1, fleet.nodes[1].caller), (2, node.caller)];
    let (mut asked, mut took) = (Instant::now(), Duration::ZERO);
    let done = common::calls_on(&entries.repeat(4), &plan, || {
        thread::sleep(seconds(2));
        asked = Instant::now();
        node.process.signal(Signal::Terminate).unwrap();
        assert_eq!(node.process.wait(seconds(30)), Some(true), "the node ends with success");
        took = asked.elapsed();
        thread::sleep(seconds(2));
    });
    let on_stopping = done.iter().filter(|call| call.entry == 2 && call.started > asked);
    println!(
        "{method} {path}: {} calls, {} of them started on the stopping node after the signal; \
         stop took {took:?}",
        done.len(),
        on_stopping.count()
    );
    let failed = failures(&done, 2, asked + took);
    assert!(
        failed.is_empty(),
        "{} failed, such as {:?}",
        failed.len(),
        &failed[..failed.len().min(5)]
    );
    let last = done.iter().filter(|call| call.entry == 2).map(|call| call.started).max().unwrap();
    println!("last call on the stopping node {:?} after the signal", last - asked);
}

#[test]
fn stop_loses_no_short_calls() {
    check_stop(20, "GET", "/orders/");
}

#[test]
fn stop_loses_no_queued_non_idempotent_calls() {
    check_stop(150, "POST", "/orders/");
}

#[test]
fn stop_cuts_no_long_answers() {
    check_stop(20, "GET", "/orders/chunked/2000000?");
}
