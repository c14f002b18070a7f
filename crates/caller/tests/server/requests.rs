//! Raw requests against the server: malformed, hostile and unusual ones.

use std::time::Duration;

use crate::common::{config, eventually, read_to_end, read_until, send, start, summary};
use tokio::io::AsyncWriteExt;

/// Sends a request and compares status and code of the answers, after which the server must close.
async fn check(request: impl AsRef<[u8]>, expected: &str) {
    let server = start(config()).await;
    let mut stream = send(server.addr, request.as_ref()).await;
    let answers = read_to_end(&mut stream).await;
    let request = String::from_utf8_lossy(request.as_ref());
    assert_eq!(summary(&answers), expected, "to {:.300?}: {answers}", request);
}

#[tokio::test]
async fn unusual_requests_are_served() {
    check("GET / HTTP/1.0\r\n\r\n", "200").await;
    check("GET http://example/x?y=1 HTTP/1.1\r\nhost: example\r\n\r\n", "200").await;
    check("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\n\r\n", "200, 200, 200")
        .await;
    let pipelined = "POST /echo HTTP/1.1\r\ncontent-length: 3\r\n\r\nabcPOST /echo HTTP/1.1\r\n\
                     transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n";
    check(pipelined, "200, 200, 200").await;
}

#[tokio::test]
async fn targets_that_are_no_path_are_refused() {
    check("CONNECT example:443 HTTP/1.1\r\nhost: example:443\r\n\r\n", "400 1014").await;
    check("OPTIONS * HTTP/1.1\r\nhost: example\r\n\r\n", "400 1014").await;
    check("GET /a/../b HTTP/1.1\r\nhost: example\r\n\r\n", "400 1014").await;
}

/// Guards against a body that is sent although it was not asked for, and one that never is.
#[tokio::test]
async fn expected_continue_is_sent_when_the_body_is_read() {
    let server = start(config()).await;
    let head = "POST /echo HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n";
    let mut stream = send(server.addr, head).await;
    read_until(&mut stream, "100 Continue\r\n\r\n").await;
    stream.write_all(b"abc").await.unwrap();
    read_until(&mut stream, "POST /echo body=3").await;
    check(
        "POST /echo HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 1001\r\n\r\n",
        "413 1016",
    )
    .await;
}

#[tokio::test]
async fn bodies_over_the_limit_are_refused_or_cut() {
    check("POST /echo HTTP/1.1\r\ncontent-length: 1001\r\n\r\n", "413 1016").await;
    let chunked = format!(
        "POST /echo HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n{}\r\n0\r\n\r\n",
        "x".repeat(1001)
    );
    let server = start(config()).await;
    let mut stream = send(server.addr, chunked).await;
    assert!(read_to_end(&mut stream).await.ends_with("TooLarge"));
}

/// Guards against a truncated body that passes for a whole one.
#[tokio::test]
async fn stalled_bodies_are_cut() {
    let server = start(config()).await;
    for framing in ["content-length: 10\r\n\r\nabc", "transfer-encoding: chunked\r\n\r\n3\r\nabc"] {
        let mut stream = send(server.addr, format!("POST /echo HTTP/1.1\r\n{framing}")).await;
        assert!(read_to_end(&mut stream).await.ends_with("Stalled"), "{framing}");
    }
}

#[tokio::test]
async fn bodies_that_end_early_are_cut() {
    let server = start(config()).await;
    for framing in ["content-length: 10\r\n\r\nabc", "transfer-encoding: chunked\r\n\r\n3\r\nabc"] {
        let mut stream = send(server.addr, format!("POST /echo HTTP/1.1\r\n{framing}")).await;
        stream.shutdown().await.unwrap();
        let answer = read_to_end(&mut stream).await;
        assert!(!answer.contains("body="), "{framing}: {answer}");
    }
}

/// Guards against work for a caller that is gone.
#[tokio::test]
async fn request_of_a_caller_that_goes_away_is_dropped() {
    let server = start(config()).await;
    let stream = send(server.addr, "GET /hang HTTP/1.1\r\n\r\n").await;
    let handler = &server.handler;
    let count =
        |count: &std::sync::atomic::AtomicUsize| count.load(std::sync::atomic::Ordering::SeqCst);
    eventually("the request should arrive", || count(&handler.served) == 1).await;
    drop(stream);
    eventually("the request should be dropped", || count(&handler.dropped) == 1).await;
}

/// Guards against a head that arrives a byte at a time and holds a connection for ever.
#[tokio::test]
async fn slow_heads_are_cut_off_while_others_are_served() {
    let server = start(config()).await;
    let mut slow = send(server.addr, "").await;
    let started = std::time::Instant::now();
    let mut written = 0;
    for byte in b"GET / HTTP/1.1\r\nx-slow: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n" {
        if slow.write_all(&[*byte]).await.is_err() {
            break;
        }
        written += 1;
        tokio::time::sleep(Duration::from_millis(30)).await;
        let asked = std::time::Instant::now();
        let mut other = send(server.addr, "GET / HTTP/1.1\r\nconnection: close\r\n\r\n").await;
        assert_eq!(summary(&read_to_end(&mut other).await), "200");
        assert!(asked.elapsed() < Duration::from_millis(250), "another caller was delayed");
    }
    assert!(written < 40, "{written} bytes were taken in {:?}", started.elapsed());
}
