//! HTTP/1.1 towards callers.
//!
//! The crate turns bytes from a caller into a [`CallerRequest`] that carries no key in its head any
//! more, and protects the process from slow and hostile callers.

mod chunks;
mod framing;
mod idle;
mod sanitize;
mod server;

pub use sanitize::{HOP_HEADERS, PresentedKey, SanitizedHead, sanitize};
pub use server::{CallerConfig, CallerHandler, CallerRequest, PendingAnswer, Shutdown, serve};

use bytes::Bytes;
use hyper::http::{HeaderValue, Response, StatusCode, header};
use model::{RequestId, ResultCode};
use payload::Payload;

/// Header that carries the request id to callers and upstreams.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Makes the answer to a request that the fleet itself ends.
///
/// ```
/// use model::ResultCode;
///
/// let id = "r1".parse().unwrap();
/// let answer = caller::error_answer(ResultCode::NoRoute, &id);
/// assert_eq!(answer.status(), 404);
/// ```
pub fn error_answer(code: ResultCode, request: &RequestId) -> Response<Payload> {
    let document = error_document(code, request);
    let mut answer = Response::new(Payload::Full(Bytes::from(document)));
    *answer.status_mut() =
        StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(value) = HeaderValue::from_str(request.as_str()) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    if code == ResultCode::RateExceeded {
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    }
    answer
}

fn error_document(code: ResultCode, request: &RequestId) -> String {
    serde_json::json!({
        "code": code.number(),
        "outcome": code.outcome().to_string(),
        "reason": code.text(),
        "request_id": request.as_str(),
    })
    .to_string()
}
