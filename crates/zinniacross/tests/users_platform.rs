//! A node with the interface of the users' platform, as its processes meet it: a configuration in the
//! store, heartbeats of an endpoint, and callers with the platform's headers.

mod common;

use std::time::{Duration, Instant};

use common::site::{Mode, SOON, Site, header, send, status};
use standins::platform::Faults;
use standins::process::{Signal, wait_until};

/// Guards against headers that get lost, are passed on to the wrong side, or are believed where only
/// the node may set them.
#[test]
fn headers_are_translated_in_both_directions() {
    let site = Site::start();
    site.endpoint.set(Mode::Answer);
    let (head, body) = site.call(
        "POST",
        "/buy/1",
        "Request-Id: r-17\r\nDeadline-Ms: 900\r\nApi-Key: key-of-big\r\nTenant: small\r\n\
         Expect-Instance: i-9\r\n",
    );
    assert_eq!((status(&head), body.as_str()), (200, "r-17done"));
    assert_eq!(header(&head, "request-id").as_deref(), Some("r-17"));
    assert_eq!(header(&head, "response-stamp").as_deref(), Some("stamp-1"));
    let heads = site.endpoint.heads();
    assert_eq!(heads.len(), 1);
    let sent = |name| header(&heads[0], name);
    assert_eq!(sent("request-id").as_deref(), Some("r-17"));
    assert_eq!(sent("expect-instance").as_deref(), Some("i-1"));
    assert_eq!(sent("tenant").as_deref(), Some("big"));
    assert_eq!(sent("api-key"), None);
    assert!(!heads[0].contains("key-of-big"));
    let left: u32 = sent("deadline-ms").unwrap().parse().unwrap();
    assert!((1..=900).contains(&left), "{left} ms left");
    assert_eq!(sent("host").as_deref(), Some("shop.example"));
}

/// Guards against a refusal that looks like another one, or that reaches the endpoint.
#[test]
fn requests_that_the_configuration_does_not_allow_are_refused() {
    let site = Site::start();
    site.endpoint.set(Mode::Answer);
    let answered = |path: &str, headers: &str| status(&site.call("GET", path, headers).0);
    assert_eq!(answered("/view/1", ""), 401);
    assert_eq!(answered("/view/1", "Api-Key: unknown\r\n"), 401);
    assert_eq!(answered("/other/1", "Api-Key: key-of-big\r\n"), 404);
    assert_eq!(answered("/empty/1", ""), 503);
    assert_eq!(site.endpoint.heads().len(), 0);
    // The bucket of an account is empty when its node starts, and fills up in 5 s here. The endpoint
    // has to go on with its heartbeats for so long.
    let sequence = std::cell::Cell::new(1);
    let small = || {
        sequence.set(sequence.get() + 1);
        assert_eq!(site.heartbeat("ready", sequence.get()), 200);
        answered("/view/1", "Api-Key: key-of-small\r\n")
    };
    assert!(wait_until(SOON, || small() == 200));
    assert_eq!(small(), 429);
    assert_eq!(site.endpoint.heads().len(), 1);
}

/// Guards against a promise that a request has not run where it may have, against none where the
/// endpoint has given one, and against an answer that belongs to another request.
#[test]
fn failures_of_the_endpoint_are_told_as_they_are() {
    let site = Site::start();
    let buy = || site.call("POST", "/buy/1", "Api-Key: key-of-big\r\n");
    site.endpoint.set(Mode::NotExecuted);
    let (head, _) = buy();
    assert_eq!(status(&head), 503);
    let retry_after: f64 = header(&head, "retry-after").unwrap().parse().unwrap();
    assert!(retry_after < 1.0, "the endpoint may have room again at once: {retry_after} s");
    site.endpoint.set(Mode::OtherId);
    let (head, body) = buy();
    assert_eq!(status(&head), 502);
    assert!(!body.contains("secret"), "{body}");
    site.endpoint.set(Mode::Answer);
    assert!(wait_until(SOON, || status(&buy().0) == 200));
    site.endpoint.set(Mode::Reset);
    assert_eq!(status(&buy().0), 502);
    assert_eq!(site.endpoint.heads().len(), 1, "it must not run twice");
}

/// Guards against requests to an endpoint that has said that it leaves, and against a late heartbeat
/// that brings it back.
#[test]
fn a_draining_endpoint_gets_no_more_requests() {
    let site = Site::start();
    assert_eq!(site.heartbeat("draining", 3), 200);
    site.endpoint.set(Mode::Answer);
    let open = || status(&site.call("GET", "/open/1", "").0);
    assert_eq!(open(), 503);
    site.heartbeat("ready", 2);
    assert_eq!(open(), 503);
    assert_eq!(site.endpoint.heads().len(), 0);
    assert_eq!(site.heartbeat("ready", 4), 200);
    assert!(wait_until(SOON, || open() == 200));
    assert_ne!(site.heartbeat("asleep", 5), 200);
    assert_eq!(open(), 200);
}

/// Guards against a node that can't be observed, and against settings that need a restart.
#[test]
fn metrics_log_and_reload() {
    let mut site = Site::start();
    let (head, text) = send(site.metrics, "GET", "/metrics", "");
    assert_eq!(status(&head), 200);
    assert!(text.contains("zinniacross_members"), "{text}");
    assert!(text.contains("_bucket{"), "no histogram in {text}");
    site.call("GET", "/open/1", "Request-Id: find-me\r\n");
    // One line of the entry and one of the guard lead from the id to what was decided.
    for decision in ["request", "call"] {
        let is_it = |line: &str| {
            line.contains(r#""request_id":"find-me""#)
                && line.contains(&format!(r#""decision":"{decision}""#))
        };
        assert!(wait_until(SOON, || site.log().lines().any(is_it)), "no line of a {decision}");
    }
    let file = site.dir.path().join("node-0.ini");
    let settings = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&file, format!("{settings}[log]\nlevel = debug\n")).unwrap();
    site.node.process.signal(Signal::Hangup).unwrap();
    assert!(wait_until(SOON, || site.log().contains("settings reloaded")));
    std::fs::write(&file, "[node]\nname = ?\n").unwrap();
    site.node.process.signal(Signal::Hangup).unwrap();
    assert!(wait_until(SOON, || site.log().contains("the settings are kept")));
    assert_eq!(status(&site.call("GET", "/open/1", "").0), 200);
    // The file of a running node may end in a line that is still being written.
    site.node.process.signal(Signal::Terminate).unwrap();
    site.node.process.wait(SOON).expect("the node ends");
    let log = site.log();
    assert!(log.ends_with('\n'), "the last line is cut: {log}");
    for line in log.lines() {
        serde_json::from_str::<serde_json::Value>(line)
            .unwrap_or_else(|err| panic!("{err}: {line}"));
    }
}

/// Guards against requests that a starting node refuses although it has its configuration some tenths of
/// a second later, and against requests that wait while the store is away.
#[test]
fn requests_wait_for_the_start_of_the_node_but_not_for_the_store() {
    let mut site = Site::start();
    site.stop_node(Signal::Kill);
    site.platform.set_faults(Faults { slow_ms: 250, ..Faults::default() });
    let started = Instant::now();
    site.start_node();
    site.heartbeat("ready", 2);
    let code = status(&site.call("GET", "/open/1", "").0);
    // On a busy machine the store may answer after the time for which requests wait.
    assert!(code == 200 || started.elapsed() > Duration::from_secs(1), "{code}");
    site.stop_node(Signal::Kill);
    site.platform.set_faults(Faults { down: true, ..Faults::default() });
    let started = Instant::now();
    site.start_node();
    assert_eq!(status(&site.call("GET", "/open/1", "").0), 503);
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
    let later = Instant::now();
    assert_eq!(status(&site.call("GET", "/open/1", "").0), 503);
    assert!(later.elapsed() < Duration::from_millis(800), "{:?}", later.elapsed());
}

/// Guards against bounds of the configuration on what callers may send that the node does not follow:
/// requests that they allow would be refused, and requests that they forbid would reach endpoints.
#[test]
fn limits_of_the_configuration_are_followed() {
    let site = Site::start();
    let code_of = |bytes: usize| {
        let long = format!("x-long: {}\r\n", "a".repeat(bytes));
        status(&site.call("GET", "/open/1", &long).0)
    };
    assert_eq!(code_of(8_000), 200);
    assert_eq!(code_of(40_000), 431);
    site.put_config(r#""limits":{"maxHeaderBytes":65536}"#);
    site.wait_until("a larger head is allowed", || code_of(40_000) == 200);
    assert!(site.endpoint.heads().iter().any(|head| head.len() > 40_000), "it was cut");
    site.put_config(r#""limits":{"maxHeaderBytes":4096}"#);
    site.wait_until("a smaller bound is in force", || code_of(8_000) == 431);
    // Without limits those of the settings are in force again.
    site.put_config(r#""later":{}"#);
    site.wait_until("the bound is gone", || code_of(8_000) == 200);
}

/// Guards against an entry of another writer that ends the node, or that keeps it from following the
/// other entries: a change after the odd ones has to take effect.
#[test]
fn odd_entries_in_the_store_are_skipped() {
    let site = Site::start();
    site.endpoint.set(Mode::Answer);
    let deep = "[".repeat(20_000) + &"]".repeat(20_000);
    let record = |addr: &str, slots: &str| {
        format!(
            r#"{{"write_id":"w","document":{{"domain":"a","peer_addr":"{addr}","operator_addr":
                "10.0.0.1:1","incarnation":1,"endpoints":[{{"name":"e","service":"orders","addr":
                "10.0.0.1:80","slots":{slots},"state":"ready"}}]}}}}"#
        )
    };
    let odd = [
        deep.clone(),
        "1e999".to_owned(),
        format!("{:?}", "x".repeat(900_000)),
        format!(r#"{{"write_id":"w","document":{deep}}}"#),
        record("10.0.0.1:70000", "3"),
        record("10.0.0.1:80", "1e30"),
        record("10.0.0.1:80", "-1"),
        record("10.0.0.1:80", "4294967296"),
    ];
    for (index, spec) in odd.iter().enumerate() {
        site.create_object("zinniacross", &format!("node.odd-{index}"), spec);
    }
    site.create_object("zinniacross", "no-known-kind", "{}");
    // A mark that drains the endpoint is the change that has to be noticed.
    let mark = r#"{"write_id":"w","document":{"drained":true}}"#;
    site.create_object("zinniacross", "endpoint-mark.i-1", mark);
    let open = || status(&site.call("GET", "/open/1", "").0);
    site.wait_until("the mark takes effect", || open() == 503);
    let skipped = || site.log().lines().filter(|line| line.contains("skipping")).count();
    site.wait_until("the odd entries are logged", || skipped() > odd.len());
    let metrics = || send(site.metrics, "GET", "/metrics", "").1;
    site.wait_until("the odd entries are counted", || {
        metrics().lines().any(|line| {
            let count = line.strip_prefix("zinniacross_entries_skipped ");
            count.is_some_and(|count| count.parse::<usize>().unwrap() > odd.len())
        })
    });
    assert_eq!(status(&send(site.ready, "GET", "/api/readyz", "").0), 200);
}
