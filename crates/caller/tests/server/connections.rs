//! Connections and answers: idle and half-open ones, too many, shutdown, streaming and cuts.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::common::{config, eventually, read_to_end, read_until, send, start, summary};
use caller::CallerConfig;
use futures_util::FutureExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const CLOSE: &str = "GET / HTTP/1.1\r\nconnection: close\r\n\r\n";

/// Asks for a path and compares everything from the first header of interest to the end.
async fn check(request: &str, expected: &[&str], body: &str) {
    let server = start(config()).await;
    let request = format!("{request} HTTP/1.1\r\nconnection: close\r\n\r\n");
    let answer = read_to_end(&mut send(server.addr, &request).await).await;
    let (head, got) = answer.split_once("\r\n\r\n").expect("an answer has a head");
    for part in expected {
        assert!(head.contains(part), "{request}: {part} is missing in {head}");
    }
    assert_eq!(got, body, "{request}");
}

#[tokio::test]
async fn answers_are_framed_by_their_kind() {
    check("GET /", &["200", "content-length: 2", "x-request-id"], "ok").await;
    check("GET /empty", &["200", "content-length: 0"], "").await;
    check("GET /known/3", &["200", "content-length: 3"], "xxx").await;
    check("GET /chunked/3", &["200", "transfer-encoding: chunked"], "3\r\nxxx\r\n0\r\n\r\n").await;
    check("GET /204", &["204"], "").await;
    check("GET /304", &["304"], "").await;
    check("HEAD /known/3", &["200", "content-length: 3"], "").await;
    check("HEAD /chunked/3", &["200"], "").await;
}

/// Guards against a truncated answer that passes for a whole one.
#[tokio::test]
async fn cut_answers_are_seen_as_cut() {
    let server = start(config()).await;
    let known = read_to_end(&mut send(server.addr, "GET /cut-known HTTP/1.1\r\n\r\n").await).await;
    let (head, body) = known.split_once("\r\n\r\n").unwrap();
    assert!(head.contains("content-length: 32768") && body.len() < 32768, "{head}");
    let chunked = read_to_end(&mut send(server.addr, "GET /cut HTTP/1.1\r\n\r\n").await).await;
    assert!(chunked.contains("transfer-encoding: chunked"));
    assert!(!chunked.ends_with("0\r\n\r\n"));
}

/// Guards against an answer that is held in memory for a caller that does not read it.
#[tokio::test]
async fn large_answers_wait_for_a_slow_caller() {
    const SIZE: usize = 30_000_000;
    let server = start(config()).await;
    for kind in ["known", "chunked"] {
        server.handler.chunks_sent.store(0, Ordering::SeqCst);
        let request = format!("GET /{kind}/{SIZE} HTTP/1.1\r\nconnection: close\r\n\r\n");
        let mut stream = send(server.addr, request).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let sent = server.handler.chunks_sent.load(Ordering::SeqCst) * 16 * 1024;
        // The kernel's socket buffers hold a few megabytes on loopback.
        assert!(sent < SIZE / 2, "{sent} bytes were taken for a caller that does not read");
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

/// Guards against connections that are kept for ever without a request.
#[tokio::test]
async fn idle_connections_are_closed_after_the_timeout() {
    let server = start(config()).await;
    let mut idle = send(server.addr, "").await;
    let mut kept = send(server.addr, "GET / HTTP/1.1\r\n\r\n").await;
    read_until(&mut kept, "ok").await;
    let started = Instant::now();
    assert_eq!(summary(&read_to_end(&mut send(server.addr, CLOSE).await).await), "200");
    assert!(started.elapsed() < Duration::from_millis(250), "another caller was delayed");
    assert_eq!(read_to_end(&mut idle).await, "");
    assert_eq!(read_to_end(&mut kept).await, "");
    assert!(started.elapsed() > Duration::from_millis(300), "closed too early");
    assert!(started.elapsed() < Duration::from_secs(2), "closed too late");
}

/// Guards against an overload that is not told to the caller and hurts those already connected.
#[tokio::test]
async fn connections_over_the_limit_are_refused() {
    let server = start(CallerConfig { max_connections: 2, ..config() }).await;
    let mut first = send(server.addr, "GET /slow HTTP/1.1\r\n\r\n").await;
    let _second = send(server.addr, "GET /hang HTTP/1.1\r\n\r\n").await;
    eventually("both should be served", || server.handler.served.load(Ordering::SeqCst) == 2).await;
    let refused = read_to_end(&mut send(server.addr, CLOSE).await).await;
    assert_eq!(summary(&refused), "503 1021");
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
    eventually("two requests arrive", || server.handler.served.load(Ordering::SeqCst) == 2).await;
    server.stop.send(true).unwrap();
    assert_eq!(read_to_end(&mut idle).await, "");
    assert_eq!(read_to_end(&mut fresh).await, "");
    let answer = read_to_end(&mut running).await;
    assert!(answer.contains("connection: close") && answer.ends_with("slow"), "{answer}");
    eventually("the server should end", || server.task.is_finished()).await;
}

/// Guards against a refusal that is lost because the connection is reset while the caller still
/// sends its request.
#[tokio::test]
async fn refused_callers_can_finish_sending() {
    let server = start(CallerConfig { max_connections: 1, ..config() }).await;
    let _running = send(server.addr, "GET /hang HTTP/1.1\r\n\r\n").await;
    eventually("it should be served", || server.handler.served.load(Ordering::SeqCst) == 1).await;
    let body = vec![b'x'; 4_000_000];
    let head = format!("POST / HTTP/1.1\r\ncontent-length: {}\r\n\r\n", body.len());
    let mut refused = send(server.addr, head).await;
    refused.write_all(&body).await.expect("the caller can send its body");
    assert_eq!(summary(&read_to_end(&mut refused).await), "503 1021");
}

/// Guards against callers that are refused while others hold connections that they do not use.
#[tokio::test]
async fn idle_connections_give_way_to_new_callers() {
    let cfg = CallerConfig { idle_timeout: Duration::from_secs(60), ..config() };
    let server = start(CallerConfig { max_connections: 3, ..cfg }).await;
    let mut running = send(server.addr, "GET /hang HTTP/1.1\r\n\r\n").await;
    let mut oldest = send(server.addr, "GET / HTTP/1.1\r\n\r\n").await;
    read_until(&mut oldest, "ok").await;
    let mut silent = send(server.addr, "GET / HT").await;
    let early = read_to_end(&mut send(server.addr, CLOSE).await).await;
    assert_eq!(summary(&early), "503 1021", "a connection that was just used is kept");
    tokio::time::sleep(Duration::from_millis(1100)).await;

    let mut first = send(server.addr, "GET /hang HTTP/1.1\r\n\r\n").await;
    assert_eq!(read_to_end(&mut oldest).await, "");
    let mut second = send(server.addr, "GET /hang HTTP/1.1\r\n\r\n").await;
    assert_eq!(read_to_end(&mut silent).await, "");
    eventually("both are served", || server.handler.served.load(Ordering::SeqCst) == 4).await;

    let refused = read_to_end(&mut send(server.addr, CLOSE).await).await;
    assert_eq!(summary(&refused), "503 1021", "running requests do not give way");
    for stream in [&mut running, &mut first, &mut second] {
        assert!(stream.read(&mut [0]).now_or_never().is_none(), "a running request was ended");
    }
}
