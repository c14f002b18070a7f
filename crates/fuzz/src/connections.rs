//! Decoders that read from a connection: callers, upstreams and the platform's store.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use caller::{CallerConfig, CallerHandler, CallerRequest, PendingAnswer, serve};
use hyper::{Request, Response};
use model::{HeaderNames, RequestId, ResultCode, Revision};
use payload::{BodyLimits, Payload};
use platform::{HttpConfigSource, HttpStore, HttpStoreConfig};
use store::{ConfigSource, ObjectStore};
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::time::timeout;
use upstream::{Reuse, UpstreamClient};

use crate::Target;

/// Time for each step on a connection. An input may leave its reader waiting for more bytes.
const STEP_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for an exchange that must succeed, also on a busy machine.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

pub(crate) fn targets() -> Vec<Box<dyn Target>> {
    vec![
        Box::new(CallerBytes::start()),
        Box::new(UpstreamBytes { rt: runtime() }),
        Box::new(StoreBytes),
        Box::new(StoreEntries),
    ]
}

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime starts")
}

fn limits() -> BodyLimits {
    BodyLimits { stall_timeout: STEP_TIMEOUT, max_bytes: 1 << 20 }
}

/// Serves connections one after the other on a thread of its own, each with the number of connections
/// before it, until `count` have been served.
fn serve_connections(
    count: usize,
    serve: impl Fn(usize, TcpStream) + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    thread::spawn(move || {
        for number in 0..count {
            let Ok((stream, _)) = listener.accept() else { return };
            let _ = stream.set_read_timeout(Some(STEP_TIMEOUT));
            serve(number, stream);
        }
    });
    addr
}

/// Reads the head of a request, and tells whether there was one.
fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut buf = [0; 4096];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => return false,
            Ok(read) => head.extend_from_slice(&buf[..read]),
        }
    }
    true
}

/// Bytes of a caller. The server answers other callers afterwards, and no task of it has panicked.
struct CallerBytes {
    addr: SocketAddr,
    handled: Arc<Handled>,
    _rt: Runtime,
    _stop: watch::Sender<bool>,
}

#[derive(Default)]
struct Handled(AtomicUsize);

impl CallerHandler for Handled {
    fn handle(&self, mut req: CallerRequest) -> PendingAnswer {
        self.0.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            while let Some(Ok(_)) = req.body.next().await {}
            Response::new(Payload::Full(Bytes::from(req.target.to_string())))
        })
    }

    fn may_start_early(&self, method: &hyper::Method, _host: &str, _target: &str) -> bool {
        method == hyper::Method::GET
    }

    fn refused(&self, _id: &RequestId, _code: ResultCode) {}
}

impl CallerBytes {
    fn start() -> CallerBytes {
        let rt = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime starts");
        let handled = Arc::new(Handled::default());
        let (stop, shutdown) = watch::channel(false);
        let listener =
            rt.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let config = CallerConfig {
            max_connections: 64,
            max_head_bytes: 8192,
            idle_timeout: STEP_TIMEOUT,
            head_timeout: None,
            body: limits(),
            names: HeaderNames::NATIVE,
        };
        rt.spawn(serve(listener, config, Arc::clone(&handled) as _, shutdown));
        CallerBytes { addr, handled, _rt: rt, _stop: stop }
    }

    fn exchange(&self, bytes: &[u8], time: Duration) -> std::io::Result<Vec<u8>> {
        let mut stream = TcpStream::connect(self.addr)?;
        stream.set_read_timeout(Some(time))?;
        stream.set_write_timeout(Some(time))?;
        let mut received = Vec::new();
        // The server may have closed the connection before it has read everything.
        let _ = stream.write_all(bytes).and_then(|()| stream.read_to_end(&mut received));
        Ok(received)
    }
}

impl Target for CallerBytes {
    fn name(&self) -> &'static str {
        "caller-bytes"
    }

    fn uses_connections(&self) -> bool {
        true
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        [
            "GET /a HTTP/1.1\r\nhost: a\r\n\r\nGET /b HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello",
            "POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5;x=1\r\nhello\r\n0\r\nt: 1\r\n\r\n",
        ]
        .iter()
        .map(|text| text.as_bytes().to_vec())
        .collect()
    }

    fn run(&self, input: &[u8]) -> Result<(), String> {
        let received = self.exchange(input, STEP_TIMEOUT).map_err(|err| err.to_string())?;
        if !received.is_empty() && !received.starts_with(b"HTTP/1.") {
            return Err("the bytes sent are no response".to_owned());
        }
        let before = self.handled.0.load(Ordering::SeqCst);
        let request = b"GET /next HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        let next = self.exchange(request, EXCHANGE_TIMEOUT).map_err(|err| err.to_string())?;
        if !next.starts_with(b"HTTP/1.1 200") || !next.ends_with(b"/next") {
            return Err(format!("the next caller got {}", next.escape_ascii()));
        }
        match self.handled.0.load(Ordering::SeqCst) > before {
            true => Ok(()),
            false => Err("the next request was not handled".to_owned()),
        }
    }
}

/// Bytes that an upstream sends as its first response. The call ends, and nothing of them is taken for
/// the response to the next request.
struct UpstreamBytes {
    rt: Runtime,
}

const SECOND: &str = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";

impl Target for UpstreamBytes {
    fn name(&self) -> &'static str {
        "upstream-bytes"
    }

    fn uses_connections(&self) -> bool {
        true
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        [
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\nt: 1\r\n\r\n",
            "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nthird",
            "HTTP/1.0 200 OK\r\n\r\nfirst",
        ]
        .iter()
        .map(|text| text.as_bytes().to_vec())
        .collect()
    }

    fn run(&self, input: &[u8]) -> Result<(), String> {
        let bytes = input.to_vec();
        let addr = serve_connections(2, move |number, mut stream| {
            if number == 0 && read_head(&mut stream) {
                let _ = stream.write_all(&bytes);
            }
            while read_head(&mut stream) && stream.write_all(SECOND.as_bytes()).is_ok() {}
        });
        let result = self.rt.block_on(async {
            let client = UpstreamClient::new(limits(), "x-request-id");
            let first = read_response(&client, addr, STEP_TIMEOUT);
            let _ = first.await;
            read_response(&client, addr, EXCHANGE_TIMEOUT).await
        });
        match result {
            Some(body) if body != b"second" => {
                Err(format!("the second response is {}", body.escape_ascii()))
            }
            _ => Ok(()),
        }
    }
}

/// Sends a request and returns the body of the response, if it is complete.
async fn read_response(
    client: &UpstreamClient,
    addr: SocketAddr,
    time: Duration,
) -> Option<Vec<u8>> {
    let request = || {
        let req = Request::builder().uri("/").header("host", "a").body(Payload::empty());
        req.expect("the request is valid")
    };
    let exchange = async {
        let mut answer = client.send(addr, request(), Reuse::Allowed).await.ok()?;
        let mut body = Vec::new();
        while let Some(chunk) = answer.body.next().await {
            body.extend_from_slice(&chunk.ok()?);
        }
        Some(body)
    };
    timeout(time, exchange).await.ok().flatten()
}

/// Bytes that the platform sends as a whole response, head included.
struct StoreBytes;

fn store_config() -> HttpStoreConfig {
    HttpStoreConfig { call: STEP_TIMEOUT, ..HttpStoreConfig::default() }
}

fn store_response(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Has the store and the source of the configuration read a response.
fn read_from_store(response: &[u8]) -> Result<[bool; 3], String> {
    let reply = |response: &[u8]| {
        let response = response.to_vec();
        serve_connections(1, move |_, mut stream| {
            if read_head(&mut stream) {
                let _ = stream.write_all(&response);
            }
        })
    };
    let text = |err: &dyn std::fmt::Display| err.to_string();
    let url = |addr: SocketAddr| format!("http://{addr}");
    let open = |addr| HttpStore::new(&url(addr), store_config()).map_err(|err| text(&err));
    let listed = open(reply(response))?.list();
    let watched = open(reply(response))?.watch(Revision(3), Duration::ZERO);
    let source = HttpConfigSource::new(&url(reply(response)), store_config());
    let imported = source.map_err(|err| text(&err))?.wait_for_newer(Revision(3), Duration::ZERO);
    Ok([listed.is_ok(), watched.is_ok(), imported.is_ok()])
}

impl Target for StoreBytes {
    fn name(&self) -> &'static str {
        "store-bytes"
    }

    fn uses_connections(&self) -> bool {
        true
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        let bodies: [&[u8]; 2] = [
            br#"{"items":[{"meta":{"name":"account.big","rev":4},
                "spec":{"write_id":"w1","document":{"rate":"5/s","burst":10}}}],"hasMore":false,"currentRev":9}"#,
            br#"{"events":[{"deleted":true,"object":{"meta":{"name":"account.big","rev":5}}}],"currentRev":9}"#,
        ];
        bodies.iter().map(|body| store_response(body)).collect()
    }

    fn run(&self, input: &[u8]) -> Result<(), String> {
        read_from_store(input).map(drop)
    }
}

/// One entry of a list. Unless its text breaks the JSON of the list, the list can be read.
struct StoreEntries;

impl Target for StoreEntries {
    fn name(&self) -> &'static str {
        "store-entries"
    }

    fn uses_connections(&self) -> bool {
        true
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        [
            r#"{"meta":{"name":"account.big","rev":4},"spec":{"write_id":"w1","document":{"rate":"5/s","burst":10}}}"#,
            r#"{"meta":{"name":"node.n1","rev":5},"spec":{"write_id":"w","document":{"domain":"a",
                "peer_addr":"10.0.0.1:1","operator_addr":"10.0.0.1:2","incarnation":1,"endpoints":[]}}}"#,
            r#"{"meta":{"name":"main","rev":5},"spec":{"routes":[{"name":"r","host":"a.example",
                "pathPrefix":"/a/","service":"orders","timeoutMs":800}],"tenants":[{"name":"t","apiKeys":["k"]}]}}"#,
        ]
        .iter()
        .map(|text| text.as_bytes().to_vec())
        .collect()
    }

    fn run(&self, input: &[u8]) -> Result<(), String> {
        let list = [br#"{"items":["#, input, br#"],"hasMore":false,"currentRev":9}"#].concat();
        let [listed, ..] = read_from_store(&store_response(&list))?;
        // A list with an entry that is not JSON is not JSON either, and may be refused as a whole.
        let entries = format!("[{}]", String::from_utf8_lossy(input));
        let is_json = std::str::from_utf8(input).is_ok()
            && serde_json::from_str::<Vec<&serde_json::value::RawValue>>(&entries).is_ok();
        match listed || !is_json {
            true => Ok(()),
            false => Err("the entry makes the list unreadable".to_owned()),
        }
    }
}
