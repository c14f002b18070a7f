//! Golden files of complete message sequences: the writes to the platform, the frames between nodes
//! and the response to the caller. They guard against unintended changes of the messages or their
//! receivers.
//!
//! `node-1` is the entry node and has no upstream. `node-2` is in the same failure domain and is
//! therefore tried before `node-3`.

use std::path::Path;
use std::time::Duration;

use crate::common::fleet::{Fleet, wait_for_status};
use expect_test::expect_file;
use hyper::Method;
use model::{Access, Burst, CallerKey, EndpointState, Rate, Slots};
use standins::upstream::{Behaviour, UpstreamStandin};

/// Sends one request and compares the messages that it causes with the golden file.
async fn check_request(
    fleet: &Fleet,
    name: &str,
    method: Method,
    path: &str,
    key: Option<&CallerKey>,
) {
    fleet.trace().take();
    let answer = fleet.send(method.clone(), path, key).await;
    let credential = if key.is_some() { "a key" } else { "no key" };
    let mut lines = vec![format!("caller -> node-1: {method} {path} with {credential}")];
    lines.extend(fleet.trace().take());
    lines.push(format!("node-1 -> caller: {} {}", answer.status, answer.text));
    compare(name, &lines);
}

fn compare(name: &str, lines: &[String]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{name}.txt"));
    expect_file![path].assert_eq(&format!("{}\n", lines.join("\n")));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn message_sequences_match_their_golden_files() {
    let mut fleet = Fleet::start().await;
    let valid_key = CallerKey::from_random([1; 8], [1; 20]);
    let exhausted_key = CallerKey::from_random([2; 8], [2; 20]);
    let unknown_key = CallerKey::from_random([3; 8], [3; 20]);
    fleet.create_route("orders", Access::Keyed);
    fleet.create_route("refunds", Access::Keyed);
    fleet.create_account("garden", Rate::per_second(10_000), Burst(10_000), &valid_key);
    fleet.create_account("spent", Rate::per_second(0), Burst(1), &exhausted_key);
    let near = fleet.start_upstream("orders-near", "orders", 1, Slots(3)).await;
    let far = fleet.start_upstream("orders-far", "orders", 2, Slots(3)).await;
    let refunds = fleet.start_upstream("refunds-1", "refunds", 2, Slots(3)).await;
    wait_for_status(&fleet, "/orders/0", &valid_key, 200).await;
    wait_for_status(&fleet, "/refunds/0", &valid_key, 200).await;
    // Both endpoints of the route must be known, or the near one may not be the first choice.
    near.set_behaviour(Behaviour { shed: true, ..Behaviour::default() });
    wait_for_status(&fleet, "/orders/0", &valid_key, 200).await;
    near.set_behaviour(Behaviour::default());
    tokio::time::sleep(Duration::from_secs(3)).await;

    check_request(&fleet, "served", Method::GET, "/orders/1", Some(&valid_key)).await;
    check_request(&fleet, "refused-key", Method::GET, "/orders/1", Some(&unknown_key)).await;
    check_request(&fleet, "refused-no-key", Method::GET, "/orders/1", None).await;
    check_request(&fleet, "refused-rate", Method::GET, "/orders/1", Some(&exhausted_key)).await;

    near.set_behaviour(Behaviour { shed: true, ..Behaviour::default() });
    check_request(&fleet, "retried", Method::POST, "/orders/1", Some(&valid_key)).await;
    near.set_behaviour(Behaviour::default());

    refunds.set_behaviour(Behaviour { drop_answers: true, ..Behaviour::default() });
    check_request(&fleet, "unknown", Method::POST, "/refunds/1", Some(&valid_key)).await;
    refunds.set_behaviour(Behaviour::default());
    assert!(far.counts().runs > 0);

    check_leave(&fleet, &near).await;
    check_stop(&mut fleet).await;
    for node in fleet.nodes.drain(..) {
        node.stop().await;
    }
}

/// An upstream announces that it is leaving: its node updates the node record, and calls go
/// elsewhere.
async fn check_leave(fleet: &Fleet, near: &UpstreamStandin) {
    fleet.trace().take();
    near.set_behaviour(Behaviour { state: EndpointState::Leaving, ..Behaviour::default() });
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut lines = vec!["orders-near announces: leaving".to_owned()];
    lines.extend(sorted(fleet.trace().take()));
    let valid_key = CallerKey::from_random([1; 8], [1; 20]);
    let answer = fleet.send(Method::GET, "/orders/1", Some(&valid_key)).await;
    lines.push("caller -> node-1: GET /orders/1 with a key".to_owned());
    lines.extend(fleet.trace().take());
    lines.push(format!("node-1 -> caller: {} {}", answer.status, answer.text));
    compare("leave", &lines);
}

/// A node that stops gracefully removes its record.
async fn check_stop(fleet: &mut Fleet) {
    fleet.trace().take();
    fleet.nodes.remove(1).stop().await;
    compare("stop", &sorted(fleet.trace().take()));
}

/// Sorts lines whose order differs between runs because several nodes act at the same time.
fn sorted(mut lines: Vec<String>) -> Vec<String> {
    lines.sort();
    lines
}
