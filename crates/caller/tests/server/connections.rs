//! Tests of connection limits, idle timeouts, shutdown, and the framing and streaming of responses.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::common::{
    TEST_TIMEOUT, config, read_to_end, read_until, send, start, summarize_responses, wait_until,
};
use caller::CallerConfig;
use futures_util::FutureExt;
use model::CallerLimits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

const REQUEST_WITH_CLOSE: &str = "GET / HTTP/1.1\r\nconnection: close\r\n\r\n";

/// Sends a request and checks that the head contains each of `expected` and that the body is equal.
async fn check(request: &str, expected: &[&str], body: &str) {
    let server = start(config()).await;
    let request = format!("{request} HTTP/1.1\r\nconnection: close\r\n\r\n");
    let response = read_to_end(&mut send(server.addr, &request).await).await;
    let (head, received_body) = response.split_once("\r\n\r\n").expect("a response has a head");
    for part in expected {
        assert!(head.contains(part), "{request}: {part} is missing in {head}");
    }
    assert_eq!(received_body, body, "{request}");
}

#[tokio::test]
async fn responses_are_framed_by_status_and_length() {
    check("GET /", &["200", "content-length: 2", "x-request-id"], "ok").await;
    check("GET /empty", &["200", "content-length: 0"], "").await;
    check("GET /known/3", &["200", "content-length: 3"], "xxx").await;
    check("GET /chunked/3", &["200", "transfer-encoding: chunked"], "3\r\nxxx\r\n0\r\n\r\n").await;
    check("GET /204", &["204"], "").await;
    check("GET /304", &["304"], "").await;
    check("HEAD /known/3", &["200", "content-length: 3"], "").await;
    check("HEAD /chunked/3", &["200"], "").await;
}

/// Guards against a truncated response that the caller takes for a complete one.
#[tokio::test]
async fn truncated_responses_are_detectable() {
    let server = start(config()).await;
    let known = read_to_end(&mut send(server.addr, "GET /cut-known HTTP/1.1\r\n\r\n").await).await;
    let (head, body) = known.split_once("\r\n\r\n").unwrap();
    assert!(head.contains("content-length: 32768") && body.len() < 32768, "{head}");
    let chunked = read_to_end(&mut send(server.addr, "GET /cut HTTP/1.1\r\n\r\n").await).await;
    assert!(chunked.contains("transfer-encoding: chunked"));
    assert!(!chunked.ends_with("0\r\n\r\n"));
}

/// Guards against buffering a response without limit for a caller that does not read it.
#[tokio::test]
async fn large_responses_are_limited_by_a_slow_caller() {
    const SIZE: usize = 30_000_000;
    let server = start(config()).await;
    for kind in ["known", "chunked"] {
        server.handler.chunks_sent.store(0, Ordering::SeqCst);
        let request = format!("GET /{kind}/{SIZE} HTTP/1.1\r\nconnection: close\r\n\r\n");
        let mut stream = send(server.addr, request).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let sent = server.handler.chunks_sent.load(Ordering::SeqCst) * 16 * 1024;
        // The kernel's socket buffers hold a few megabytes on loopback.
        assert!(
            sent < SIZE / 2,
            "{sent} bytes were sent by the handler for a caller that does not read"
        );
        let mut buf = vec![0; 1 << 16];
        let mut received = 0;
        loop {
            let count = stream.read(&mut buf).await.unwrap();
            if count == 0 {
                break;
            }
            received += count;
        }
        assert!(received > SIZE, "{received} bytes arrived");
    }
}

/// Guards against connections without a request that are never closed.
#[tokio::test]
async fn idle_connections_are_closed_after_the_timeout() {
    let server = start(config()).await;
    let mut idle = send(server.addr, "").await;
    let mut kept = send(server.addr, "GET / HTTP/1.1\r\n\r\n").await;
    read_until(&mut kept, "ok").await;
    let started = Instant::now();
    assert_eq!(
        summarize_responses(&read_to_end(&mut send(server.addr, REQUEST_WITH_CLOSE).await).await),
        "200"
    );
    assert!(started.elapsed() < Duration::from_millis(250), "another caller was delayed");
    assert_eq!(read_to_end(&mut idle).await, "");
    assert_eq!(read_to_end(&mut kept).await, "");
    assert!(started.elapsed() > Duration::from_millis(300), "closed too early");
    assert!(started.elapsed() < Duration::from_secs(2), "closed too late");
}

/// Guards against closing a connection over the limit without a response, and against harm to the
/// connections already open.
#[tokio::test]
async fn connections_over_the_limit_are_refused() {
    let server = start(CallerConfig { max_connections: 2, ..config() }).await;
    let mut first = send(server.addr, "GET /slow HTTP/1.1\r\n\r\n").await;
    let _second = send(server.addr, "GET /hang HTTP/1.1\r\n\r\n").await;
    wait_until("both should be served", || server.handler.served.load(Ordering::SeqCst) == 2).await;
    let refused = read_to_end(&mut send(server.addr, REQUEST_WITH_CLOSE).await).await;
    assert_eq!(summarize_responses(&refused), "503 1021");
    read_until(&mut first, "slow").await;
    drop(first);
}

#[tokio::test]
async fn shutdown_closes_idle_connections_and_finishes_running_requests() {
    let server = start(CallerConfig { idle_timeout: Duration::from_secs(60), ..config() }).await;
    let mut fresh = send(server.addr, "").await;
    let mut idle = send(server.addr, "GET / HTTP/1.1\r\n\r\n").await;
    read_until(&mut idle, "ok").await;
    let mut running = send(server.addr, "GET /slow HTTP/1.1\r\n\r\n").await;
    wait_until("two requests arrive", || server.handler.served.load(Ordering::SeqCst) == 2).await;
    server.stop.send(true).unwrap();
    assert_eq!(read_to_end(&mut idle).await, "");
    assert_eq!(read_to_end(&mut fresh).await, "");
    let response = read_to_end(&mut running).await;
    assert!(response.contains("connection: close") && response.ends_with("slow"), "{response}");
    wait_until("the server should end", || server.task.is_finished()).await;
}

/// Guards against an error response that the caller loses because the connection is reset while it
/// still sends its request.
#[tokio::test]
async fn rejected_callers_can_finish_sending() {
    let server = start(CallerConfig { max_connections: 1, ..config() }).await;
    let _running = send(server.addr, "GET /hang HTTP/1.1\r\n\r\n").await;
    wait_until("it should be served", || server.handler.served.load(Ordering::SeqCst) == 1).await;
    let body = vec![b'x'; 4_000_000];
    let head = format!("POST / HTTP/1.1\r\ncontent-length: {}\r\n\r\n", body.len());
    let mut refused = send(server.addr, head).await;
    refused.write_all(&body).await.expect("the caller can send its body");
    assert_eq!(summarize_responses(&read_to_end(&mut refused).await), "503 1021");
}

/// Guards against rejecting new callers while others keep unused connections open.
#[tokio::test]
async fn idle_connections_are_evicted_for_new_callers() {
    let base_config = CallerConfig { idle_timeout: Duration::from_secs(60), ..config() };
    let server = start(CallerConfig { max_connections: 3, ..base_config }).await;
    let mut running = send(server.addr, "GET /hang HTTP/1.1\r\n\r\n").await;
    let mut oldest = send(server.addr, "GET / HTTP/1.1\r\n\r\n").await;
    read_until(&mut oldest, "ok").await;
    let mut silent = send(server.addr, "GET / HT").await;
    let early = read_to_end(&mut send(server.addr, REQUEST_WITH_CLOSE).await).await;
    assert_eq!(
        summarize_responses(&early),
        "503 1021",
        "a recently used connection must not be evicted"
    );
    tokio::time::sleep(Duration::from_millis(1100)).await;

    let mut first = send(server.addr, "GET /hang HTTP/1.1\r\n\r\n").await;
    assert_eq!(read_to_end(&mut oldest).await, "");
    let mut second = send(server.addr, "GET /hang HTTP/1.1\r\n\r\n").await;
    assert_eq!(read_to_end(&mut silent).await, "");
    wait_until("both are served", || server.handler.served.load(Ordering::SeqCst) == 4).await;

    let refused = read_to_end(&mut send(server.addr, REQUEST_WITH_CLOSE).await).await;
    assert_eq!(
        summarize_responses(&refused),
        "503 1021",
        "a connection with a running request must not be evicted"
    );
    for stream in [&mut running, &mut first, &mut second] {
        assert!(stream.read(&mut [0]).now_or_never().is_none(), "a running request was ended");
    }
}

/// Guards against a caller that holds a connection and the slot of its request for good because it never
/// reads its response.
#[tokio::test]
async fn callers_that_take_nothing_are_disconnected() {
    let server = start(CallerConfig { max_connections: 1, ..config() }).await;
    let _unread = send(server.addr, "GET /chunked/100000000 HTTP/1.1\r\nhost: a\r\n\r\n").await;
    wait_until("it should be served", || server.handler.served.load(Ordering::SeqCst) == 1).await;
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let response = read_to_end(&mut send(server.addr, REQUEST_WITH_CLOSE).await).await;
        if summarize_responses(&response) == "200" {
            break;
        }
        assert!(Instant::now() < deadline, "the connection is still held: {response}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a response that breaks off and looks complete to a caller whose protocol version has
/// no chunks: the end of the connection would then be the end of the response. HEAD, 204 and 304 have
/// no body, and their connections end as usual.
#[tokio::test]
async fn a_cut_response_without_length_resets_the_connection() {
    let server = start(config()).await;
    for _ in 0..20 {
        let mut stream = send(server.addr, "GET /cut HTTP/1.0\r\nhost: a\r\n\r\n").await;
        let mut received = Vec::new();
        let end = timeout(TEST_TIMEOUT, stream.read_to_end(&mut received)).await.unwrap();
        assert!(end.is_err(), "{} bytes look like a complete response", received.len());
    }
    for request in ["GET /chunked/100000", "GET /204", "GET /304", "HEAD /empty"] {
        let head = format!("{request} HTTP/1.0\r\nhost: a\r\n\r\n");
        let mut stream = send(server.addr, head).await;
        let mut received = Vec::new();
        let end = timeout(TEST_TIMEOUT, stream.read_to_end(&mut received)).await.unwrap();
        assert!(end.is_ok(), "{request}: {end:?}");
    }
}

/// Guards against bounds of the configuration that are not in force: requests that they allow would be
/// refused, and connections that they allow to be idle would be closed under a caller that uses them
/// again.
#[tokio::test]
async fn bounds_of_the_handler_replace_those_of_the_server() {
    let server = start(config()).await;
    *server.handler.limits.lock().unwrap() = CallerLimits {
        max_head_bytes: Some(20_000),
        max_body_bytes: Some(2000),
        head_timeout_ms: None,
        idle_timeout_ms: Some(1500),
    };
    let long = "x".repeat(9000);
    let request = format!("POST /echo?{long} HTTP/1.1\r\ncontent-length: 1500\r\n\r\n");
    let mut kept = send(server.addr, request + &"b".repeat(1500)).await;
    read_until(&mut kept, "body=1500").await;
    tokio::time::sleep(Duration::from_millis(900)).await;
    kept.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    read_until(&mut kept, "ok").await;
    // A request that the connection carries later is bound by the newest limit on bodies.
    server.handler.limits.lock().unwrap().max_body_bytes = Some(100);
    kept.write_all(b"POST /echo HTTP/1.1\r\ncontent-length: 101\r\n\r\n").await.unwrap();
    assert_eq!(summarize_responses(&read_to_end(&mut kept).await), "413 1016");
}

/// Guards against callers that hold connections by sending heads slowly, and against an end of the
/// connection while the response to the request before such a head is being produced.
#[tokio::test]
async fn slow_heads_end_the_connection_after_the_response_in_progress() {
    let server = start(CallerConfig { idle_timeout: Duration::from_secs(60), ..config() }).await;
    server.handler.limits.lock().unwrap().head_timeout_ms = Some(100);
    let started = Instant::now();
    assert_eq!(read_to_end(&mut send(server.addr, "GET / HT").await).await, "");
    assert!(started.elapsed() < Duration::from_secs(2), "closed too late");
    let mut both = send(server.addr, "GET /slow HTTP/1.1\r\n\r\nGET / HT").await;
    read_until(&mut both, "slow").await;
    assert_eq!(read_to_end(&mut both).await, "");
    // An idle connection has sent no part of a head.
    let mut idle = send(server.addr, "GET / HTTP/1.1\r\n\r\n").await;
    read_until(&mut idle, "ok").await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    idle.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    read_until(&mut idle, "ok").await;
}
