//! Routes that change while calls are in progress.

use std::sync::Arc;
use std::time::Duration;

use crate::common::fleet::{Fleet, wait_for_status};
use hyper::Method;
use model::{Access, CallerKey, Slots};
use standins::upstream::Behaviour;

/// Guards against a call without a key that runs on a keyed route because the route was still open
/// when the call was accepted. The second call is queued at the guard when the route becomes keyed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn queued_call_without_key_is_not_run_after_its_route_becomes_keyed() {
    let fleet = Arc::new(Fleet::start().await);
    fleet.create_route("orders", Access::Open);
    let upstream = fleet.start_upstream("orders-1", "orders", 1, Slots(1)).await;
    let key = CallerKey::from_random([1; 8], [1; 20]);
    wait_for_status(&fleet, "/orders/0", &key, 200).await;
    upstream.set_behaviour(Behaviour { service_ms: 1500, ..Behaviour::default() });
    let before = upstream.counts().runs;

    let send = |path: &'static str| {
        let fleet = Arc::clone(&fleet);
        tokio::spawn(async move { fleet.send(Method::POST, path, None).await })
    };
    let running = send("/orders/running");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let queued = send("/orders/queued");
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.create_route("orders", Access::Keyed);

    assert_eq!(running.await.unwrap().status, 200);
    let refused = queued.await.unwrap();
    assert_eq!(refused.status, 401, "{}", refused.text);
    assert!(refused.text.contains("\"code\":1002"), "{}", refused.text);
    assert_eq!(upstream.counts().runs, before + 1);
}

/// Time within which a change that follows another one has to take effect. An operator who changes
/// several objects in turn expects all changes to take effect within the guaranteed 2 s.
const EFFECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Guards against a long delay before the next watch, which would hold up a change of the
/// configuration that is made right after another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn change_right_after_another_takes_effect_soon() {
    let fleet = Fleet::start().await;
    fleet.create_route("orders", Access::Open);
    let _upstream = fleet.start_upstream("orders-1", "orders", 1, Slots(1)).await;
    let key = CallerKey::from_random([1; 8], [1; 20]);
    wait_for_status(&fleet, "/orders/0", &key, 200).await;

    for round in 0..8 {
        let (access, status) = match round % 2 {
            0 => (Access::Keyed, 401),
            _ => (Access::Open, 200),
        };
        fleet.create_route("other", access);
        // Long enough for the first change to end the watches of all nodes.
        tokio::time::sleep(Duration::from_millis(100)).await;
        fleet.create_route("orders", access);
        // No calls meanwhile: their frames would make the node pull the change from another node.
        tokio::time::sleep(EFFECT_TIMEOUT).await;
        let answer = fleet.send(Method::GET, "/orders/0", None).await;
        assert_eq!(answer.status, status, "round {round}: {}", answer.text);
    }
}
