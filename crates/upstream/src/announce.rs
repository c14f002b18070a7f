//! HTTP server for the announcements of upstreams. In the native format, an upstream sends
//! `POST /v1/announce` with an endpoint in JSON every second. Other formats implement
//! [`AnnounceFormat`].

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::warn;
use model::{Announcement, Endpoint, Origin, Report, ResultCode};
use serde_json::Value;
use tokio::net::TcpListener;

/// Maximum size of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 * 1024;

/// Delay after a failed accept, which would otherwise be repeated in a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout for reading the head of an announcement.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Reason for which an announcement is not acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnnounceError {
    /// The announcement is not valid, for the given reason.
    Invalid(Box<str>),
    /// The platform does not hold yet what the acknowledgement promises, or what it holds is not known
    /// yet. The upstream has to send the announcement again.
    Unavailable,
}

/// The processing of an announcement, which ends when it can be acknowledged.
pub type PendingAck<'a> = Pin<Box<dyn Future<Output = Result<(), AnnounceError>> + Send + 'a>>;

/// Handles announcements.
pub trait AnnounceHandler: Send + Sync {
    /// Processes the announcement of an upstream.
    fn announced(&self, announcement: Announcement) -> PendingAck<'_>;
}

/// A format of announcements.
pub trait AnnounceFormat: Send + Sync {
    /// Parses a request. Returns the reason as an error if it is not a valid announcement.
    fn parse(&self, method: &Method, path: &str, body: &[u8]) -> Result<Announcement, Box<str>>;

    /// Returns the response body for an accepted announcement, or null for an empty body.
    fn acknowledge(&self) -> Value;

    /// Number of unusable values in announcements that were accepted without them, counted each time
    /// that one is read.
    fn skipped_values(&self) -> u64 {
        0
    }
}

/// The native format: `POST /v1/announce` with an endpoint in JSON.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeFormat;

impl AnnounceFormat for NativeFormat {
    fn parse(&self, method: &Method, path: &str, body: &[u8]) -> Result<Announcement, Box<str>> {
        if *method != Method::POST || path != "/v1/announce" {
            return Err("expected POST /v1/announce".into());
        }
        let endpoint: Endpoint =
            serde_json::from_slice(body).map_err(|err| Box::<str>::from(err.to_string()))?;
        Ok(Announcement {
            origin: Origin::default(),
            report: Report::State(endpoint),
            cold_left: None,
        })
    }

    fn acknowledge(&self) -> Value {
        Value::Null
    }
}

/// Serves announcements until the future is dropped.
pub async fn serve_announcements(
    listener: TcpListener,
    format: Arc<dyn AnnounceFormat>,
    handler: Arc<dyn AnnounceHandler>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!("failed to accept an announcement connection: {err}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (format, handler) = (Arc::clone(&format), Arc::clone(&handler));
        let service = service_fn(move |req| {
            let (format, handler) = (Arc::clone(&format), Arc::clone(&handler));
            async move { Ok::<_, Infallible>(handle_request(req, &*format, &*handler).await) }
        });
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_READ_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(conn);
    }
}

async fn handle_request(
    req: Request<Incoming>,
    format: &dyn AnnounceFormat,
    handler: &dyn AnnounceHandler,
) -> Response<Full<Bytes>> {
    let (head, body) = req.into_parts();
    let body = match Limited::new(body, MAX_ANNOUNCEMENT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(err) => return error_response(StatusCode::BAD_REQUEST, &err.to_string()),
    };
    let announcement = match format.parse(&head.method, head.uri.path(), &body) {
        Ok(announcement) => announcement,
        Err(reason) => return error_response(StatusCode::BAD_REQUEST, &reason),
    };
    match handler.announced(announcement).await {
        Ok(()) => acknowledgement(format),
        Err(AnnounceError::Invalid(reason)) => error_response(StatusCode::CONFLICT, &reason),
        Err(AnnounceError::Unavailable) => unavailable_response(),
    }
}

fn acknowledgement(format: &dyn AnnounceFormat) -> Response<Full<Bytes>> {
    let document = format.acknowledge();
    if document.is_null() {
        return Response::new(Full::default());
    }
    let mut response = Response::new(Full::new(document.to_string().into()));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn error_response(status: StatusCode, reason: &str) -> Response<Full<Bytes>> {
    let code = ResultCode::AnnouncementInvalid;
    warn!("refused an announcement: {code} ({reason})");
    coded_response(status, code, reason)
}

fn unavailable_response() -> Response<Full<Bytes>> {
    let code = ResultCode::PlatformUnavailable;
    warn!("an announcement is not acknowledged yet: {code}");
    coded_response(StatusCode::SERVICE_UNAVAILABLE, code, code.text())
}

fn coded_response(status: StatusCode, code: ResultCode, reason: &str) -> Response<Full<Bytes>> {
    let document = serde_json::json!({ "code": code.number(), "reason": reason });
    let mut response = Response::new(Full::new(document.to_string().into()));
    *response.status_mut() = status;
    response
}
