//! Endpoints that leave while the store is unavailable, so that they stay in the directories of
//! other nodes.

use std::time::Duration;

use crate::common::fleet::{Fleet, wait_for_status};
use hyper::Method;
use model::{Access, CallerKey, EndpointState, Slots};
use standins::upstream::Behaviour;

/// Time for an announcement to reach the node of its instance.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(1500);

/// Guards against an entry node that sends each call to an endpoint whose node has already refused
/// calls because the endpoint is leaving. Each such call is a wasted round trip, and in a larger
/// fleet they use up the unsent retries.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leaving_endpoint_gets_few_calls_while_the_store_is_unavailable() {
    let fleet = Fleet::start().await;
    fleet.create_route("orders", Access::Open);
    let staying = fleet.start_upstream("orders-1", "orders", 1, Slots(3)).await;
    let leaving = fleet.start_upstream("orders-2", "orders", 1, Slots(3)).await;
    let key = CallerKey::from_random([1; 8], [1; 20]);
    wait_for_status(&fleet, "/orders/0", &key, 200).await;
    while staying.counts().runs == 0 || leaving.counts().runs == 0 {
        fleet.send(Method::GET, "/orders/0", None).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet.store.set_unavailable();
    let state = EndpointState::Leaving;
    leaving.set_behaviour(Behaviour { state, ..Behaviour::default() });
    tokio::time::sleep(ANNOUNCEMENT_DELAY).await;
    fleet.trace().take();

    for call in 0..60 {
        let answer = fleet.send(Method::GET, "/orders/1", None).await;
        assert_eq!(answer.status, 200, "call {call}: {}", answer.text);
    }
    let lines = fleet.trace().take();
    let refused = lines.iter().filter(|line| line.contains("Refused 1018")).count();
    assert!((1..=3).contains(&refused), "{refused} of 60 calls were sent to the leaving endpoint");
}
