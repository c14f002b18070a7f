//! Endpoints that leave while their node stops, is killed or can't reach the store, and messages of them that
//! arrive late.

mod common;

use std::time::{Duration, Instant};

use common::site::{Mode, SOON, Site, status};
use standins::platform::Faults;
use standins::process::{Signal, wait_until};

/// Guards against an endpoint that is in use again after a restart of its node, because a message that
/// it sent before it left arrives late: the new process has seen neither the notice nor the other
/// messages. A later start of the endpoint is another one.
#[test]
fn an_endpoint_that_left_is_not_in_use_again_after_a_restart() {
    let cases = [("gone", Signal::Kill), ("draining", Signal::Kill)]
        .into_iter()
        .chain([("gone", Signal::Terminate), ("draining", Signal::Terminate)]);
    for (notice, signal) in cases {
        let mut site = Site::start();
        site.endpoint.set(Mode::Answer);
        assert_eq!(site.give_notice(notice, 8), 200);
        assert!(wait_until(SOON, || site.stored_record().contains("departed")), "{notice}");
        // A node removes its record only if it knows the latest revision of it.
        let stored: serde_json::Value = serde_json::from_str(&site.stored_record()).unwrap();
        let revision = stored["meta"]["rev"].as_u64().unwrap();
        assert!(wait_until(SOON, || site.objects_revision() >= revision), "{notice}");
        site.restart(signal);
        let open = |site: &Site| status(&site.call("GET", "/open/1", "").0);
        for late in [3, 7] {
            site.heartbeat("ready", late);
            for _ in 0..5 {
                assert_eq!(open(&site), 503, "{notice}, {signal:?}, message {late}");
            }
        }
        assert_eq!(site.endpoint.heads().len(), 0, "{notice}");
        assert_eq!(site.heartbeat_of_start("ready", 1, 9000), 200);
        assert!(wait_until(SOON, || open(&site) == 200), "{notice}: the endpoint starts again");
    }
}

/// Guards against an acknowledgement of a notice that a kill of the node right after it undoes: the
/// departure was not stored yet, and a message from before the notice brought the endpoint back.
#[test]
fn an_acknowledged_departure_outlasts_a_kill() {
    for notice in ["gone", "draining"] {
        let mut site = Site::start();
        site.endpoint.set(Mode::Answer);
        let faults = Faults { slow_ms: 200, ..Faults::default() };
        site.platform.set_faults(faults);
        assert_eq!(site.give_notice(notice, 8), 200);
        site.restart(Signal::Kill);
        site.heartbeat("ready", 3);
        for _ in 0..5 {
            assert_eq!(status(&site.call("GET", "/open/1", "").0), 503, "{notice}");
        }
        assert_eq!(site.endpoint.heads().len(), 0, "{notice}");
    }
}

/// Guards against a departure that is acknowledged but stored nowhere, because the store is away. The
/// endpoint gets no requests all the same, and a later notice is acknowledged soon after the store is
/// back.
#[test]
fn departures_are_acknowledged_once_they_are_stored() {
    for notice in ["gone", "draining"] {
        let site = Site::start();
        site.platform.set_faults(Faults { down: true, ..Faults::default() });
        site.endpoint.set(Mode::Answer);
        let started = Instant::now();
        assert_eq!(site.give_notice(notice, 8), 503, "{notice}");
        assert!(started.elapsed() < Duration::from_secs(1), "endpoints wait no longer");
        assert_eq!(status(&site.call("GET", "/open/1", "").0), 503, "{notice}");
        assert_eq!(site.endpoint.heads().len(), 0, "{notice}");
        site.platform.set_faults(Faults::default());
        let mut seq = 8;
        let acknowledged = wait_until(SOON, || {
            seq += 1;
            site.give_notice(notice, seq) == 200
        });
        assert!(acknowledged, "{notice}");
        assert!(site.stored_record().contains("departed"), "{notice}");
    }
}

/// Guards against a late message that a new process takes for one of an endpoint that is still there,
/// because it can't read the departures that the process before it has stored.
#[test]
fn endpoints_wait_until_departures_are_known() {
    let mut site = Site::start();
    assert_eq!(site.give_notice("gone", 8), 200);
    site.stop_node(Signal::Kill);
    site.platform.set_faults(Faults { down: true, ..Faults::default() });
    site.start_node();
    let started = Instant::now();
    assert_eq!(site.heartbeat("ready", 3), 503);
    assert!(started.elapsed() < Duration::from_secs(1), "endpoints wait no longer");
    site.platform.set_faults(Faults::default());
    // A message of a later start is accepted once the store is back.
    assert!(wait_until(SOON, || site.heartbeat_of_start("ready", 1, 9000) == 200));
    assert!(wait_until(SOON, || status(&site.call("GET", "/open/1", "").0) == 200));
}

/// Restarts the node, and lets the last write of the process before take effect after the new one has
/// read the stored objects. That write says that the endpoint is gone. Returns the record, or `None` if
/// the new process has written its own before.
fn late_write(site: &mut Site) -> Option<serde_json::Value> {
    assert!(wait_until(SOON, || {
        site.heartbeat("ready", 1);
        site.stored_record().contains("i-1")
    }));
    let mut late: serde_json::Value = serde_json::from_str(&site.stored_record()).unwrap();
    site.stop_node(Signal::Kill);
    site.start_node();
    assert!(wait_until(SOON, || site.log().contains("from list")));
    let document = &mut late["spec"]["document"];
    document["endpoints"] = serde_json::json!([]);
    document["departed"] = serde_json::json!([{"name": "i-1", "started_ms": 7}]);
    let url = format!("{}/api/objects/zinniacross/node.node-0", site.platform.url());
    match ureq::put(&url).header("content-type", "application/json").send(late.to_string()) {
        Ok(_) => Some(late),
        Err(ureq::Error::StatusCode(409)) => None,
        Err(err) => panic!("{err}"),
    }
}

/// Guards against a node record that is written over that of an earlier process, whose last write took
/// effect late, before its departures have been read.
#[test]
fn departures_of_a_late_write_are_kept() {
    let mut site = Site::start();
    // On a busy machine the new process may have replaced the record before the late write arrives, whose
    // condition then fails.
    let tries = 10;
    let late = (0..tries).find_map(|_| late_write(&mut site)).expect("a late write is accepted");
    site.endpoint.set(Mode::Answer);
    assert_eq!(site.heartbeat("ready", 3), 200);
    let is_kept = || {
        let record = site.stored_record();
        !record.contains(&late["spec"]["document"]["incarnation"].to_string())
            && record.contains("departed")
    };
    assert!(wait_until(SOON, is_kept), "{}", site.stored_record());
    assert_eq!(status(&site.call("GET", "/open/1", "").0), 503);
}
