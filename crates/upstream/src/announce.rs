//! Announcements of upstreams: `POST /v1/announce` with an endpoint as JSON, each second.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::warn;
use model::{Endpoint, ResultCode};
use tokio::net::TcpListener;

/// Largest announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 * 1024;

/// Longest wait for the head of an announcement.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Takes in announcements.
pub trait AnnounceHandler: Send + Sync {
    /// An upstream has announced itself. An error says why the announcement was refused.
    fn announced(&self, endpoint: Endpoint) -> Result<(), Box<str>>;
}

/// Serves announcements until the task is dropped.
pub async fn serve_announcements(listener: TcpListener, handler: Arc<dyn AnnounceHandler>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!("accepting an announcement failed: {err}");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let handler = Arc::clone(&handler);
        let service = service_fn(move |req| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(answer(req, &*handler).await) }
        });
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(conn);
    }
}

async fn answer(req: Request<Incoming>, handler: &dyn AnnounceHandler) -> Response<Full<Bytes>> {
    if req.method() != Method::POST || req.uri().path() != "/v1/announce" {
        return refuse(StatusCode::NOT_FOUND, "expected POST /v1/announce");
    }
    let body = match Limited::new(req.into_body(), MAX_ANNOUNCEMENT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(err) => return refuse(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    let endpoint = match serde_json::from_slice::<Endpoint>(&body) {
        Ok(endpoint) => endpoint,
        Err(err) => return refuse(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    match handler.announced(endpoint) {
        Ok(()) => Response::new(Full::default()),
        Err(reason) => refuse(StatusCode::CONFLICT, &reason),
    }
}

fn refuse(status: StatusCode, reason: &str) -> Response<Full<Bytes>> {
    let code = ResultCode::AnnouncementInvalid;
    warn!("announcement refused: {code} ({reason})");
    let document = serde_json::json!({ "code": code.number(), "reason": reason });
    let mut answer = Response::new(Full::new(document.to_string().into()));
    *answer.status_mut() = status;
    answer
}
