//! Routing between suspect and trusted endpoints.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::common::fleet::{Fleet, wait_for_status};
use hyper::Method;
use model::{Access, CallerKey, Slots};
use standins::upstream::Behaviour;

/// Guards against calls that are sent to a suspect endpoint because the trusted one is busy. The
/// suspect endpoint has free slots because it fails every call at once, and a call that must not be
/// retried is lost there.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_queue_at_a_trusted_endpoint_instead_of_using_a_suspect_one() {
    let fleet = Arc::new(Fleet::start().await);
    fleet.create_route("orders", Access::Open);
    let trusted = fleet.start_upstream("orders-1", "orders", 1, Slots(1)).await;
    // Slow from the start, because an endpoint that becomes slow later is marked suspect.
    trusted.set_behaviour(Behaviour { service_ms: 50, ..Behaviour::default() });
    let suspect = fleet.start_upstream("orders-2", "orders", 0, Slots(1)).await;
    let key = CallerKey::from_random([1; 8], [1; 20]);
    wait_for_status(&fleet, "/orders/0", &key, 200).await;
    while trusted.counts().runs == 0 || suspect.counts().runs == 0 {
        fleet.send(Method::GET, "/orders/0", None).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    suspect.set_behaviour(Behaviour { drop_answers: true, ..Behaviour::default() });
    let runs = suspect.counts().runs;
    while suspect.counts().runs == runs {
        fleet.send(Method::GET, "/orders/0", None).await;
    }

    let since = Instant::now();
    for round in 0..5 {
        let calls: Vec<_> = (0..5)
            .map(|_| {
                let fleet = Arc::clone(&fleet);
                tokio::spawn(async move { fleet.send(Method::POST, "/orders/new", None).await })
            })
            .collect();
        for call in calls {
            let answer = call.await.unwrap();
            let after = since.elapsed();
            assert_eq!(answer.status, 200, "round {round}, after {after:?}: {}", answer.text);
        }
    }
}
