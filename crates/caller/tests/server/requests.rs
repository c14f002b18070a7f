//! Tests of malformed, malicious and unusual requests, sent as raw bytes.

use std::time::Duration;

use crate::common::{
    config, read_to_end, read_until, send, start, summarize_responses, wait_until,
};
use caller::CallerConfig;
use tokio::io::AsyncWriteExt;

/// Sends a request and checks the status and result code of the responses, after which the server
/// must close the connection.
async fn check(request: impl AsRef<[u8]>, expected: &str) {
    let server = start(config()).await;
    let mut stream = send(server.addr, request.as_ref()).await;
    let responses = read_to_end(&mut stream).await;
    let request = String::from_utf8_lossy(request.as_ref());
    assert_eq!(summarize_responses(&responses), expected, "to {:.300?}: {responses}", request);
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
async fn targets_that_are_not_paths_are_refused() {
    check("CONNECT example:443 HTTP/1.1\r\nhost: example:443\r\n\r\n", "400 1014").await;
    check("OPTIONS * HTTP/1.1\r\nhost: example\r\n\r\n", "400 1014").await;
    check("GET /a/../b HTTP/1.1\r\nhost: example\r\n\r\n", "400 1014").await;
}

/// Guards against a `100 Continue` for a body that is refused, and against a missing one that
/// leaves the caller waiting.
#[tokio::test]
async fn continue_is_sent_when_the_body_is_read() {
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
async fn bodies_over_the_limit_are_refused_or_aborted() {
    check("POST /echo HTTP/1.1\r\ncontent-length: 1001\r\n\r\n", "413 1016").await;
    let chunked = format!(
        "POST /echo HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n{}\r\n0\r\n\r\n",
        "x".repeat(1001)
    );
    let server = start(config()).await;
    let mut stream = send(server.addr, chunked).await;
    assert!(read_to_end(&mut stream).await.ends_with("TooLarge"));
}

/// Guards against a truncated body that the handler takes for a complete one.
#[tokio::test]
async fn stalled_bodies_are_aborted() {
    let server = start(config()).await;
    for framing in ["content-length: 10\r\n\r\nabc", "transfer-encoding: chunked\r\n\r\n3\r\nabc"] {
        let mut stream = send(server.addr, format!("POST /echo HTTP/1.1\r\n{framing}")).await;
        assert!(read_to_end(&mut stream).await.ends_with("Stalled"), "{framing}");
    }
}

#[tokio::test]
async fn truncated_bodies_are_aborted() {
    let server = start(config()).await;
    for framing in ["content-length: 10\r\n\r\nabc", "transfer-encoding: chunked\r\n\r\n3\r\nabc"] {
        let mut stream = send(server.addr, format!("POST /echo HTTP/1.1\r\n{framing}")).await;
        stream.shutdown().await.unwrap();
        let response = read_to_end(&mut stream).await;
        assert!(!response.contains("body="), "{framing}: {response}");
    }
}

/// Guards against work on requests of disconnected callers.
#[tokio::test]
async fn request_is_dropped_when_the_caller_disconnects() {
    let server = start(config()).await;
    let stream = send(server.addr, "GET /hang HTTP/1.1\r\n\r\n").await;
    let handler = &server.handler;
    let count =
        |count: &std::sync::atomic::AtomicUsize| count.load(std::sync::atomic::Ordering::SeqCst);
    wait_until("the request should arrive", || count(&handler.served) == 1).await;
    drop(stream);
    wait_until("the request should be dropped", || count(&handler.dropped) == 1).await;
}

/// Guards against a head that is sent byte by byte and occupies a connection indefinitely.
#[tokio::test]
async fn slow_heads_time_out_while_other_callers_are_served() {
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
        let sent = std::time::Instant::now();
        let mut other = send(server.addr, "GET / HTTP/1.1\r\nconnection: close\r\n\r\n").await;
        assert_eq!(summarize_responses(&read_to_end(&mut other).await), "200");
        assert!(sent.elapsed() < Duration::from_millis(250), "another caller was delayed");
    }
    assert!(written < 40, "{written} bytes were accepted in {:?}", started.elapsed());
}

/// Guards against a head that this node and another HTTP implementation on the path parse
/// differently, and against an error response without a result code.
#[tokio::test]
async fn ambiguous_heads_are_refused() {
    let post = |headers: &str, body: &str| format!("POST /echo HTTP/1.1\r\n{headers}\r\n{body}");
    let chunked = "transfer-encoding: chunked\r\n";
    check(post(&format!("content-length: 5\r\n{chunked}"), "0\r\n\r\n"), "400 1014").await;
    check(post(&format!("{chunked}content-length: 5\r\n"), "0\r\n\r\n"), "400 1014").await;
    check(post(&format!("{chunked}{chunked}"), "0\r\n\r\n"), "400 1014").await;
    check(post("transfer-encoding: gzip, chunked\r\n", "0\r\n\r\n"), "400 1014").await;
    check(post("transfer-encoding: chunked, identity\r\n", "0\r\n\r\n"), "400 1014").await;
    check(post("content-length: 3\r\ncontent-length: 4\r\n", "abcd"), "400 1014").await;
    check(post("content-length: 3\r\ncontent-length: 3\r\n", "abc"), "400 1014").await;
    check(post("content-length: 3, 3\r\n", "abc"), "400 1014").await;
    check(post("content-length: +3\r\n", "abc"), "400 1014").await;
    check(post("content-length: 99999999999999999999\r\n", ""), "400 1014").await;
    check("POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", "400 1014").await;
}

#[tokio::test]
async fn malformed_heads_are_refused() {
    check("GET / HTTP/1.1\r\nx-a: 1\r\n folded\r\n\r\n", "400 1014").await;
    check("GET / HTTP/1.1\nx-a: 1\n\n", "400 1014").await;
    check("GET / HTTP/1.1\r\nx-a: 1\n\r\n", "400 1014").await;
    check("GET / HTTP/1.1\r\nx-a: 1\rx-b: 2\r\n\r\n", "400 1014").await;
    check("GET / HTTP/1.1\r\nx-a : 1\r\n\r\n", "400 1014").await;
    check("GET / HTTP/1.1\r\nno colon\r\n\r\n", "400 1014").await;
    check("GET / HTTP/1.1\r\n: empty\r\n\r\n", "400 1014").await;
    check(b"GET / HTTP/1.1\r\nx-a: \0\r\n\r\n", "400 1014").await;
    check("GET  / HTTP/1.1\r\n\r\n", "400 1014").await;
    check("GET / HTTP/2.0\r\n\r\n", "400 1014").await;
    check("G\u{e9}T / HTTP/1.1\r\n\r\n", "400 1014").await;
    check("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "400 1014").await;
    check(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", "400 1014").await;
}

#[tokio::test]
async fn oversized_heads_are_refused() {
    let long = "x".repeat(9000);
    check(format!("GET /{long} HTTP/1.1\r\n\r\n"), "431 1015").await;
    check(format!("GET / HTTP/1.1\r\nx-a: {long}\r\n\r\n"), "431 1015").await;
    check(format!("GET / HTTP/1.1\r\nx-a: {long}"), "431 1015").await;
    check(format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(101)), "431 1015").await;
    check(format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(100)), "200").await;
}

/// Guards against request smuggling: a second request that is hidden in the body of the first.
#[tokio::test]
async fn refusal_ends_the_connection() {
    let hidden = "GET /hidden HTTP/1.1\r\n\r\n";
    let request = format!(
        "GET / HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\
         content-length: 4\r\n\r\n0\r\n\r\n{hidden}"
    );
    check(request, "200, 400 1014").await;
}

/// Guards against passing a small head limit to hyper, which panics for a buffer below 8192 bytes.
#[tokio::test]
async fn head_limits_below_the_hyper_minimum_are_enforced() {
    let server = start(CallerConfig { max_head_bytes: 1024, ..config() }).await;
    let request = |size| format!("GET /{} HTTP/1.1\r\nconnection: close\r\n\r\n", "x".repeat(size));
    for (size, expected) in [(900, "200"), (1024, "431 1015")] {
        let response = read_to_end(&mut send(server.addr, request(size)).await).await;
        assert_eq!(summarize_responses(&response), expected);
    }
    assert_eq!(*server.handler.refused.lock().unwrap(), [1015]);
}

/// Guards against framing validation that loses its position when a request arrives in several
/// reads.
#[tokio::test]
async fn requests_split_at_any_byte_are_served() {
    let text = "POST /echo HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc\r\nPOST /echo HTTP/1.1\r\n\
                transfer-encoding: chunked\r\n\r\n2;e=1\r\nab\r\n0A\r\n0123456789\r\n0\r\nt: 1\r\n\
                \r\nGET /echo HTTP/1.1\r\nconnection: close\r\n\r\n";
    let server = start(CallerConfig { max_connections: text.len(), ..config() }).await;
    let addr = server.addr;
    let requests = (1..text.len()).map(|split| async move {
        let (first, second) = text.split_at(split);
        let mut stream = send(addr, first).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        stream.write_all(second.as_bytes()).await.unwrap();
        let responses = read_to_end(&mut stream).await;
        let bodies: Vec<_> = responses.split("body=").skip(1).map(|rest| rest.get(..2)).collect();
        let expected = [Some("3H"), Some("12"), None];
        assert_eq!(bodies, expected, "split at {split}: {responses}");
        assert!(responses.ends_with("body=0"), "split at {split}: {responses}");
    });
    futures_util::future::join_all(requests).await;
}

/// Guards against a chunked body whose end depends on the HTTP implementation.
#[tokio::test]
async fn malformed_chunks_abort_the_body() {
    let server = start(config()).await;
    for chunks in [
        "3\nabc\r\n0\r\n\r\n",
        "3 \r\nabc\r\n0\r\n\r\n",
        "0x3\r\nabc\r\n0\r\n\r\n",
        "-3\r\nabc\r\n0\r\n\r\n",
        "3\r\nabcd\r\n0\r\n\r\n",
        "3\r\nabc\n0\r\n\r\n",
        "3;a\n=b\r\nabc\r\n0\r\n\r\n",
        "10000000000000003\r\nabc\r\n0\r\n\r\n",
        "3\r\nabc\r\n0\r\na: b\n\r\n\r\n",
    ] {
        let head = "POST /echo HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
        let mut stream = send(server.addr, format!("{head}{chunks}")).await;
        let response = read_to_end(&mut stream).await;
        assert!(!response.contains("body="), "{chunks:?}: {response}");
    }
}

/// Guards against an error response that the caller loses because the connection is reset while it
/// still sends its request.
#[tokio::test]
async fn refused_requests_can_be_sent_completely() {
    let rest = vec![b'x'; 4_000_000];
    for (head, expected) in [
        ("POST /echo HTTP/1.1\r\ncontent-length: 4000000\r\n\r\n", "413 1016"),
        ("POST /a/../b HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3d0900\r\n", "400 1014"),
        ("GET / HTTP/1.1\r\nx-large: ", "431 1015"),
    ] {
        let server = start(config()).await;
        let mut stream = send(server.addr, head).await;
        stream.write_all(&rest).await.unwrap_or_else(|err| panic!("{expected}: {err}"));
        assert_eq!(summarize_responses(&read_to_end(&mut stream).await), expected);
    }
}
