//! Test server with a scripted handler, and helpers for raw connections to it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use caller::{CallerConfig, CallerHandler, CallerRequest, PendingAnswer, Shutdown, serve};
use hyper::http::{HeaderValue, Method, Response, StatusCode};
use model::{CallerLimits, RequestId, ResultCode};
use payload::{BodyCut, BodyLimits, Payload};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Timeout for every condition that a test waits for.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of the chunks of a streamed response, in bytes.
const RESPONSE_CHUNK_BYTES: usize = 16 * 1024;

/// Responds by path: `/echo` reports the received request, `/hang` never responds, `/slow` responds
/// after 300 ms, `/after/N` responds after N ms with its own path, `/chunked/N` and `/known/N` stream N bytes, `/cut` and `/cut-known` abort the
/// body.
#[derive(Default)]
pub struct Handler {
    pub refused: Mutex<Vec<u16>>,
    pub served: AtomicUsize,
    pub dropped: AtomicUsize,
    pub finished: AtomicUsize,
    pub chunks_sent: AtomicUsize,
    pub limits: Mutex<CallerLimits>,
}

pub struct Server {
    pub addr: SocketAddr,
    pub handler: Arc<Handler>,
    pub stop: watch::Sender<bool>,
    pub task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub fn config() -> CallerConfig {
    CallerConfig {
        max_connections: 16,
        max_head_bytes: 8192,
        idle_timeout: Duration::from_millis(500),
        head_timeout: None,
        body: BodyLimits { stall_timeout: Duration::from_millis(300), max_bytes: 1000 },
        names: model::HeaderNames::NATIVE,
    }
}

pub async fn start(config: CallerConfig) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let handler = Arc::new(Handler::default());
    let (stop, shutdown): (_, Shutdown) = watch::channel(false);
    let task = tokio::spawn(serve(
        listener,
        config,
        SharedHandler(Arc::clone(&handler)).boxed(),
        shutdown,
    ));
    Server { addr, handler, stop, task }
}

/// Opens a connection and sends `request`.
pub async fn send(addr: SocketAddr, request: impl AsRef<[u8]>) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(request.as_ref()).await.unwrap();
    stream
}

/// Reads until the server closes the connection.
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut buf = Vec::new();
    let read = timeout(TEST_TIMEOUT, stream.read_to_end(&mut buf)).await;
    // A connection reset after the response counts as a close.
    let _ = read.expect("the server should close the connection");
    String::from_utf8_lossy(&buf).into_owned()
}

/// Reads until `text` has been received.
pub async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut seen = String::new();
    while !seen.contains(text) {
        let mut buf = [0; 4096];
        let read = timeout(TEST_TIMEOUT, stream.read(&mut buf)).await;
        let count = read.unwrap_or_else(|_| panic!("no {text:?} after {seen:?}")).unwrap();
        assert!(count > 0, "closed before {text:?}: {seen:?}");
        seen.push_str(&String::from_utf8_lossy(&buf[..count]));
    }
    seen
}

/// Returns the status and result code of each response in `text`, for example `200, 400 1014`.
pub fn summarize_responses(text: &str) -> String {
    let responses = text.split("HTTP/1.").skip(1).map(|response| {
        let status = response.get(2..5).unwrap_or(response);
        let code = response.split_once("\"code\":").map(|(_, rest)| rest);
        let code = code.and_then(|rest| rest.split([',', '}']).next());
        code.map_or(status.to_owned(), |code| format!("{status} {code}"))
    });
    responses.collect::<Vec<_>>().join(", ")
}

/// Waits until a condition holds, or fails the test after [`TEST_TIMEOUT`].
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let waited = timeout(TEST_TIMEOUT, async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    waited.await.unwrap_or_else(|_| panic!("{what}"));
}

struct SharedHandler(Arc<Handler>);

impl SharedHandler {
    fn boxed(self) -> Arc<dyn CallerHandler> {
        Arc::new(self)
    }
}

/// Counts response futures that are dropped before they complete.
struct DropCounter(Arc<Handler>);

impl Drop for DropCounter {
    fn drop(&mut self) {
        self.0.dropped.fetch_add(1, Ordering::SeqCst);
    }
}

impl CallerHandler for SharedHandler {
    fn limits(&self) -> CallerLimits {
        *self.0.limits.lock().unwrap()
    }

    fn handle(&self, req: CallerRequest) -> PendingAnswer {
        let handler = Arc::clone(&self.0);
        handler.served.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            let path = req.target.split('?').next().unwrap_or_default().to_owned();
            match path.as_str() {
                "/echo" => echo_response(req).await,
                "/hang" => {
                    let _drop_counter = DropCounter(handler);
                    std::future::pending().await
                }
                "/slow" => {
                    tokio::time::sleep(Duration::from_millis(300)).await;
                    text_response(200, "slow")
                }
                "/204" => text_response(204, ""),
                "/304" => text_response(304, ""),
                "/empty" => text_response(200, ""),
                "/cut" => {
                    streamed_response(handler, RESPONSE_CHUNK_BYTES, Some(BodyCut::SenderLost))
                }
                "/cut-known" => {
                    let response =
                        streamed_response(handler, RESPONSE_CHUNK_BYTES, Some(BodyCut::SenderLost));
                    with_content_length(response, 2 * RESPONSE_CHUNK_BYTES)
                }
                path => match path.strip_prefix("/after/").and_then(|ms| ms.parse().ok()) {
                    Some(delay_ms) => {
                        let _drop_counter = DropCounter(Arc::clone(&handler));
                        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                        handler.finished.fetch_add(1, Ordering::SeqCst);
                        text_response(200, &req.target)
                    }
                    None => response_by_size(handler, path),
                },
            }
        })
    }

    fn may_start_early(&self, method: &Method, _host: &str, _target: &str) -> bool {
        method == Method::GET
    }

    fn refused(&self, _id: &RequestId, code: ResultCode) {
        self.0.refused.lock().unwrap().push(code.number());
    }
}

async fn echo_response(mut req: CallerRequest) -> Response<Payload> {
    let mut received = 0;
    loop {
        match req.body.next().await {
            None => {
                return text_response(
                    200,
                    &format!("{} {} body={received}", req.method, req.target),
                );
            }
            Some(Ok(chunk)) => received += chunk.len(),
            Some(Err(cut)) => return text_response(400, &format!("{cut:?}")),
        }
    }
}

fn response_by_size(handler: Arc<Handler>, path: &str) -> Response<Payload> {
    let size = |prefix| path.strip_prefix(prefix).and_then(|size: &str| size.parse().ok());
    if let Some(size) = size("/chunked/") {
        return streamed_response(handler, size, None);
    }
    if let Some(size) = size("/known/") {
        return with_content_length(streamed_response(handler, size, None), size);
    }
    text_response(200, "ok")
}

fn text_response(status: u16, text: &str) -> Response<Payload> {
    let mut response = Response::new(Payload::Full(Bytes::from(text.to_owned())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    response
}

fn with_content_length(mut response: Response<Payload>, length: usize) -> Response<Payload> {
    response.headers_mut().insert("content-length", HeaderValue::from(length));
    response
}

fn streamed_response(
    handler: Arc<Handler>,
    size: usize,
    cut: Option<BodyCut>,
) -> Response<Payload> {
    let (tx, body) = Payload::channel();
    tokio::spawn(async move {
        let mut left = size;
        while left > 0 {
            let count = left.min(RESPONSE_CHUNK_BYTES);
            if tx.send(Bytes::from(vec![b'x'; count])).await.is_err() {
                return;
            }
            handler.chunks_sent.fetch_add(1, Ordering::SeqCst);
            left -= count;
        }
        match cut {
            None => tx.finish().await,
            Some(cut) => tx.cut(cut).await,
        }
    });
    Response::new(body)
}
