//! Routes that change while calls are under way.

use std::sync::Arc;
use std::time::Duration;

use crate::common::fleet::{Fleet, wait_for};
use hyper::Method;
use model::{Access, CallerKey, Slots};
use standins::upstream::Behaviour;

/// Guards against a call without a key that runs on a keyed route because the route was still open
/// when the call was accepted. The second call is queued at the guard when the route is closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_queued_call_without_key_does_not_run_once_its_route_is_closed() {
    let fleet = Arc::new(Fleet::start().await);
    fleet.create_route("orders", Access::Open);
    let upstream = fleet.start_upstream("orders-1", "orders", 1, Slots(1)).await;
    let key = CallerKey::from_random([1; 8], [1; 20]);
    wait_for(&fleet, "/orders/0", &key, 200).await;
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
