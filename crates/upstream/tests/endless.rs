//! Upstreams that send bytes without end, which are no response or never complete one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hyper::http::Request;
use payload::{BodyLimits, Payload};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;
use upstream::{Reuse, UpstreamClient, UpstreamError};

/// Deadline of each call.
const DEADLINE: Duration = Duration::from_millis(100);

/// Time within which a connection is closed after its call has ended.
const CLOSE_WITHIN: Duration = Duration::from_secs(2);

/// Bytes that an upstream may send beyond the end of a call: what the client buffers, and the buffers
/// of both sockets.
const MAX_SENT_BYTES: usize = 16 << 20;

/// Start of a response, and the bytes that follow it until the connection is closed.
const ENDLESS: [(&str, &str, &str); 12] = [
    ("binary", "", "\u{1}\u{2}\u{3}\u{4}"),
    ("status line", "HTTP/1.1 200 ", "x"),
    ("header name", "HTTP/1.1 200 OK\r\n", "x"),
    ("header value", "HTTP/1.1 200 OK\r\nx: ", "x"),
    ("headers", "HTTP/1.1 200 OK\r\n", "x: y\r\n"),
    ("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("empty lines", "", "\r\n"),
    ("chunk size", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0"),
    ("chunk extension", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "x"),
    ("trailers", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x: y\r\n"),
    ("chunks", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    ("body until close", "HTTP/1.1 200 OK\r\n\r\n", "x"),
];

struct EndlessUpstream {
    addr: SocketAddr,
    sent_bytes: Arc<AtomicUsize>,
    open_connections: Arc<AtomicUsize>,
}

/// Sends `start`, then `repeated` until the connection is closed.
async fn serve(start: &'static str, repeated: &'static str) -> EndlessUpstream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (sent_bytes, open_connections) = <(Arc<AtomicUsize>, Arc<AtomicUsize>)>::default();
    let counts = (Arc::clone(&sent_bytes), Arc::clone(&open_connections));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (sent_bytes, open_connections) = counts.clone();
            open_connections.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                let _ = stream.read(&mut buf).await;
                let _ = stream.write_all(start.as_bytes()).await;
                let block = repeated.repeat(4096 / repeated.len());
                while stream.write_all(block.as_bytes()).await.is_ok() {
                    sent_bytes.fetch_add(block.len(), Ordering::SeqCst);
                }
                open_connections.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    EndlessUpstream { addr, sent_bytes, open_connections }
}

fn client() -> UpstreamClient {
    let stall_timeout = Duration::from_secs(60);
    UpstreamClient::new(BodyLimits { stall_timeout, max_bytes: u64::MAX }, "x-request-id")
}

/// Sends one request as a guard does: the call ends at the deadline, and so does the body of a response
/// that has begun.
async fn call(client: &UpstreamClient, addr: SocketAddr) -> Result<(), UpstreamError> {
    let req = Request::builder().uri("/").header("host", "a").body(Payload::empty()).unwrap();
    match timeout(DEADLINE, client.send(addr, req, Reuse::Allowed)).await {
        Err(_) => Ok(()),
        Ok(Err(err)) => Err(err),
        Ok(Ok(answer)) => {
            let mut body =
                answer.body.relay_until((Instant::now() + DEADLINE).into(), Box::new(()));
            while let Some(chunk) = body.next().await {
                if chunk.is_err() {
                    return Ok(());
                }
            }
            panic!("a response without end is complete");
        }
    }
}

async fn wait_until_closed(upstream: &EndlessUpstream, what: &str) {
    let closed = async {
        while upstream.open_connections.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(CLOSE_WITHIN, closed).await.unwrap_or_else(|_| panic!("{what}: still connected"));
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    statm.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * 4096
}

/// Guards against a call that does not end, that counts as not run or as a complete success, and
/// against a connection that stays open after its call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_end_and_connections_are_closed() {
    for (what, start, repeated) in ENDLESS {
        let upstream = serve(start, repeated).await;
        let started = Instant::now();
        let result = call(&client(), upstream.addr).await;
        assert!(matches!(result, Ok(()) | Err(UpstreamError::Lost)), "{what}: {result:?}");
        assert!(started.elapsed() < 4 * DEADLINE, "{what}: {:?}", started.elapsed());
        wait_until_closed(&upstream, what).await;
    }
}

/// Guards against a head that is buffered until its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_are_bounded() {
    for (what, start, repeated) in &ENDLESS[..5] {
        let upstream = serve(start, repeated).await;
        let result = call(&client(), upstream.addr).await;
        wait_until_closed(&upstream, what).await;
        assert_eq!(result, Err(UpstreamError::Lost), "{what}");
        let sent = upstream.sent_bytes.load(Ordering::SeqCst);
        assert!(sent < MAX_SENT_BYTES, "{what}: {sent} bytes");
    }
}

/// Guards against memory that is kept for each such response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_stays_flat() {
    let client = client();
    let mut upstreams = Vec::new();
    for (_, start, repeated) in ENDLESS {
        upstreams.push(serve(start, repeated).await);
    }
    let mut before = 0;
    for round in 0..84 {
        let calls = upstreams.iter().map(|upstream| call(&client, upstream.addr));
        futures_util::future::join_all(calls).await;
        if round == 10 {
            before = resident_bytes();
        }
    }
    let grown = resident_bytes().saturating_sub(before);
    assert!(grown < 32 << 20, "{grown} bytes more after 1,000 responses");
}
