//! HTTP/1.1 server for callers.
//!
//! The crate parses the bytes of a caller into a [`CallerRequest`] whose head no longer contains
//! the API key, and protects the process from slow and malicious callers.

mod chunks;
mod described;
mod early;
mod framing;
mod head;
mod idle;
mod sanitize;
mod server;

pub use described::{DescribedRequest, InvalidPart};
pub use sanitize::{HOP_HEADERS, PresentedKey, SanitizedHead, sanitize};
pub use server::{CallerConfig, CallerHandler, CallerRequest, PendingAnswer, Shutdown, serve};

use std::time::Duration;

use bytes::Bytes;
use hyper::http::{HeaderValue, Response, StatusCode, header};
use model::{RequestId, ResultCode};
use payload::Payload;

/// Delay after which a caller may retry a request that was refused for a temporary reason.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Reason for which the fleet, rather than an upstream, ends a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Result code.
    pub code: ResultCode,
    /// Delay after which the caller may retry. It is sent only with the statuses 429 and 503, which
    /// mean that the request did not run.
    pub retry_after: Duration,
}

impl From<ResultCode> for Refusal {
    fn from(code: ResultCode) -> Refusal {
        Refusal { code, retry_after: DEFAULT_RETRY_AFTER }
    }
}

/// Builds the response to a request that the fleet, rather than an upstream, ends.
///
/// ```
/// use model::ResultCode;
///
/// let id = "r1".parse().unwrap();
/// let response = caller::error_answer(ResultCode::NoRoute.into(), &id);
/// assert_eq!(response.status(), 404);
/// ```
pub fn error_answer(refusal: Refusal, request: &RequestId) -> Response<Payload> {
    let code = refusal.code;
    let body = error_body(code, request);
    let mut response = Response::new(Payload::Full(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if matches!(code.status(), 429 | 503) {
        let seconds = format!("{:.3}", refusal.retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

fn error_body(code: ResultCode, request: &RequestId) -> String {
    serde_json::json!({
        "code": code.number(),
        "outcome": code.outcome().to_string(),
        "reason": code.text(),
        "request_id": request.as_str(),
    })
    .to_string()
}
