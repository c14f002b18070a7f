//! Endpoints that send answers without end, or an earlier answer once more.

mod common;

use std::io::Read;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use common::site::{Mode, Refusal, SOON, Site, status};
use standins::process::wait_until;

/// Starts of answers whose bodies have no end, with the text that follows again and again.
fn endless_bodies() -> [(&'static str, &'static str); 3] {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n\
                           transfer-encoding: chunked\r\n\r\n";
    const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n\r\n";
    const HUGE: &str = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n\
                        content-length: 1000000000000\r\n\r\n";
    [(CHUNKED, "1000\r\n"), (UNTIL_CLOSE, "x"), (HUGE, "x")].map(|(start, repeated)| {
        let repeated = match repeated {
            "x" => "x",
            size => Box::leak(format!("{size}{}\r\n", "x".repeat(0x1000)).into_boxed_str()),
        };
        (start, repeated)
    })
}

/// Guards against a node that waits for, or keeps, bytes that never become an answer, and against a
/// caller that takes them for a complete success or is told that the request has not run.
#[test]
fn answers_without_end_are_given_up() {
    let site = Site::start();
    let key = "Api-Key: key-of-big\r\nDeadline-Ms: 600\r\n";
    let kinds = [
        ("", "\u{1}\u{2}"),
        ("HTTP/1.1 200 OK\r\n", "x"),
        ("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ];
    let before = site.resident_kb();
    for (start, repeated) in kinds {
        for round in 0..5 {
            site.endpoint.set(Mode::Endless(start, repeated));
            let started = std::time::Instant::now();
            let (head, body) = site.call("POST", "/buy/1", key);
            assert!(matches!(status(&head), 502 | 504), "{start:?} {repeated:?}: {head}");
            assert!(body.contains("\"code\":2"), "{body}");
            let elapsed = started.elapsed();
            assert!(elapsed < Duration::from_secs(2), "{start:?} {repeated:?}: {elapsed:?}");
            site.endpoint.set(Mode::Answer);
            site.wait_until(&format!("round {round}: the node serves again"), || {
                status(&site.call("POST", "/buy/1", "Api-Key: key-of-big\r\n").0) == 200
            });
        }
    }
    // The rest of an answer whose body has no end is passed on until the caller leaves, which ends it.
    for (start, repeated) in endless_bodies() {
        site.endpoint.set(Mode::Endless(start, repeated));
        let mut stream = site.start_call(key);
        let mut received = vec![0; 16 << 10];
        stream.read_exact(&mut received).unwrap();
        drop(stream);
        site.endpoint.set(Mode::Answer);
        site.wait_until("the node serves again", || {
            status(&site.call("POST", "/buy/1", "Api-Key: key-of-big\r\n").0) == 200
        });
    }
    let grown = site.resident_kb().saturating_sub(before);
    assert!(grown < 32 * 1024, "{grown} KB more after answers without end");
}

/// Guards against an answer that is passed on past the timeout of its route because its body has no end:
/// the caller gets no final answer, and the endpoint's slot stays in use.
#[test]
fn bodies_without_end_end_at_the_timeout_of_the_route() {
    let site = Site::start();
    for (start, repeated) in endless_bodies() {
        site.endpoint.set(Mode::Endless(start, repeated));
        let started = Instant::now();
        let mut stream = site.start_call("Api-Key: key-of-big\r\nDeadline-Ms: 6000\r\n");
        let mut received = Vec::new();
        let end = stream.read_to_end(&mut received);
        let elapsed = started.elapsed();
        // The route has a timeout of 1.5 s, and a request has its final answer 0.5 s later.
        assert!(elapsed > Duration::from_millis(1400), "{start}: {elapsed:?}");
        assert!(elapsed < Duration::from_secs(2), "{start}: {elapsed:?}");
        assert!(received.starts_with(b"HTTP/1.1 200"), "{start}");
        assert!(!received.ends_with(b"\r\n0\r\n\r\n"), "{start}: a cut body looks complete");
        let has_length = received.windows(15).any(|text| text == b"content-length:");
        let is_chunked = received.windows(18).any(|text| text == b"transfer-encoding:");
        assert!(end.is_err() || has_length || is_chunked, "{start}: a cut body looks complete");
        site.endpoint.set(Mode::Answer);
        site.wait_until("the node serves again", || {
            status(&site.call("POST", "/buy/1", "Api-Key: key-of-big\r\n").0) == 200
        });
    }
}

/// Guards against callers that do not read their answers and keep the endpoint's slots in use past the
/// timeout of the route.
#[test]
fn unread_answers_free_their_slots_at_the_timeout_of_the_route() {
    let site = Site::start();
    for (start, repeated) in endless_bodies() {
        site.endpoint.set(Mode::Endless(start, repeated));
        let key = "Api-Key: key-of-big\r\nDeadline-Ms: 6000\r\n";
        let unread: Vec<TcpStream> = (0..3).map(|_| site.start_call(key)).collect();
        assert!(wait_until(SOON, || site.endpoint.heads().len() == 3), "{start}");
        site.endpoint.set(Mode::Answer);
        assert_eq!(site.heartbeat("ready", 50), 200);
        thread::sleep(Duration::from_millis(2000));
        let (head, _) = site.call("POST", "/buy/1", "Api-Key: key-of-big\r\nDeadline-Ms: 500\r\n");
        assert_eq!(status(&head), 200, "{start}: the slots are still in use");
        drop(unread);
    }
}

/// Guards against a second copy of an answer that arrives when the next request has been sent on the
/// connection, and is taken for the answer to that one.
#[test]
fn a_late_second_copy_of_an_answer_reaches_nobody() {
    let site = Site::start();
    site.endpoint.set(Mode::LateCopy);
    for number in 0..40 {
        let id = format!("r-{number}");
        let headers = format!("Request-Id: {id}\r\nApi-Key: key-of-big\r\n");
        let (head, body) = site.call("POST", "/buy/1", &headers);
        match status(&head) {
            200 => assert_eq!(body, format!("{id}done")),
            status => {
                assert!(matches!(status, 502 | 503), "{head}");
                assert!(!body.contains("done"), "{body}");
            }
        }
        assert_eq!(site.heartbeat("ready", 200 + number), 200);
    }
    assert!(site.log().contains("the request id differs"));
}

/// Guards against a late second copy of a refusal that is taken for the refusal of the next request on
/// the connection: its caller would be told that the request has not run, or it would run twice.
#[test]
fn a_late_second_copy_of_a_refusal_refuses_no_other_request() {
    for refusal in [Refusal::WithId, Refusal::WithoutId, Refusal::OtherInstance] {
        let site = Site::start();
        site.endpoint.set(Mode::LateRefusal(refusal));
        let mut statuses = Vec::new();
        for number in 0..8 {
            let id = format!("r-{number}");
            let headers = format!("Request-Id: {id}\r\nApi-Key: key-of-big\r\n");
            let status = status(&site.call("POST", "/buy/1", &headers).0);
            let runs = site.endpoint.runs.lock().unwrap().iter().filter(|run| **run == id).count();
            assert!(runs <= 1, "{refusal:?}: {id} ran {runs} times");
            if matches!(status, 408 | 421 | 429 | 503) {
                assert_eq!(runs, 0, "{refusal:?}: {id} got {status} and ran");
            }
            statuses.push(status);
            assert_eq!(site.heartbeat("ready", 200 + number), 200);
        }
        // Refusals on new connections can't be copies, so they are still passed on as such.
        assert!(statuses.contains(&502) && statuses.contains(&503), "{refusal:?}: {statuses:?}");
    }
}

/// Guards against an answer whose head breaks off and that reaches the caller as a success.
#[test]
fn a_head_that_breaks_off_is_no_success() {
    let site = Site::start();
    let starts = [
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\ncontent-le",
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\ncontent-length: 1",
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n",
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n\r",
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n",
        "HTTP/1.1 200",
    ];
    for start in starts {
        for (method, path) in [("POST", "/buy/1"), ("GET", "/view/1")] {
            site.endpoint.set(Mode::BreakOff(start));
            let (head, body) = site.call(method, path, "Api-Key: key-of-big\r\n");
            assert!(matches!(status(&head), 502 | 503), "{start:?} {method}: {head}");
            assert!(body.contains("\"code\":"), "{start:?} {method}: {body}");
            site.endpoint.set(Mode::Answer);
            site.wait_until("the endpoint is used again", || {
                status(&site.call(method, path, "Api-Key: key-of-big\r\n").0) == 200
            });
        }
    }
}
