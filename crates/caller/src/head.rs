//! Validates the heads of requests.

use hyper::http::request::Parts;
use hyper::http::{HeaderName, HeaderValue, Method, Request, Uri, header};
use model::ResultCode;

/// Maximum number of headers in a request.
pub(crate) const MAX_HEADERS: usize = 100;

/// Maximum length of a target that [`Uri`] parses, in bytes.
const MAX_TARGET_BYTES: usize = u16::MAX as usize - 1;

/// What a valid head says about the connection.
pub(crate) struct CheckedHead {
    pub(crate) framing: Framing,
    /// Whether the connection ends or changes its protocol with this request, so that no other
    /// request follows.
    pub(crate) ends_connection: bool,
}

/// How the body of a request is framed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    ContentLength(u64),
    Chunked,
}

/// Finds the end of a head whose first `searched` bytes don't contain it. Lines must end with CR
/// LF, because HTTP implementations disagree on whether a bare LF ends a line.
pub(crate) fn find_head_end(buf: &[u8], searched: usize) -> Result<Option<usize>, ResultCode> {
    for index in searched..buf.len() {
        if buf[index] != b'\n' {
            continue;
        }
        if index == 0 || buf[index - 1] != b'\r' {
            return Err(ResultCode::MalformedRequest);
        }
        if buf[..=index].ends_with(b"\r\n\r\n") {
            return Ok(Some(index + 1));
        }
    }
    Ok(None)
}

/// Parses a valid head.
pub(crate) fn parse_parts(head: &[u8]) -> Option<Parts> {
    let mut lines = head.split(|byte| *byte == b'\n').map(|line| line.trim_ascii_end());
    let mut request_line = lines.next()?.split(|byte| *byte == b' ');
    let method = Method::from_bytes(request_line.next()?).ok()?;
    let uri = Uri::try_from(request_line.next()?).ok()?;
    let mut req = Request::new(());
    *req.method_mut() = method;
    *req.uri_mut() = uri;
    for line in lines.take_while(|line| !line.is_empty()) {
        let (name, value) = parse_header_line(line)?;
        req.headers_mut().append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(req.into_parts().0)
}

/// Validates a head.
pub(crate) fn check_head(head: &[u8]) -> Result<CheckedHead, ResultCode> {
    let malformed = ResultCode::MalformedRequest;
    let text = head.strip_suffix(b"\r\n\r\n").ok_or(malformed)?;
    let mut lines = text.split(|byte| *byte == b'\n').map(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.contains(&b'\r') { Err(malformed) } else { Ok(line) }
    });
    let is_http_11 = parse_request_line(lines.next().ok_or(malformed)??)?;
    let mut length = None;
    let mut chunked = false;
    let mut ends_connection = !is_http_11;
    for (index, line) in lines.enumerate() {
        if index == MAX_HEADERS {
            return Err(ResultCode::HeadTooLarge);
        }
        let (name, value) = parse_header_line(line?).ok_or(malformed)?;
        if name == "content-length" && length.replace(parse_content_length(value)?).is_some() {
            return Err(malformed);
        }
        ends_connection |= match name {
            header::CONNECTION => !value.eq_ignore_ascii_case(b"keep-alive"),
            header::UPGRADE | header::EXPECT => true,
            _ => false,
        };
        if name == "transfer-encoding" {
            if chunked || !is_http_11 || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(malformed);
            }
            chunked = true;
        }
    }
    let framing = match (length, chunked) {
        (Some(_), true) => return Err(malformed),
        (None, true) => Framing::Chunked,
        (length, false) => Framing::ContentLength(length.unwrap_or(0)),
    };
    Ok(CheckedHead { framing, ends_connection })
}

/// Validates the request line and returns whether the version is HTTP/1.1.
fn parse_request_line(line: &[u8]) -> Result<bool, ResultCode> {
    let malformed = ResultCode::MalformedRequest;
    let mut parts = line.split(|byte| *byte == b' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(malformed);
    };
    if target.len() > MAX_TARGET_BYTES {
        return Err(ResultCode::HeadTooLarge);
    }
    Method::from_bytes(method).map_err(|_| malformed)?;
    Uri::try_from(target).map_err(|_| malformed)?;
    match version {
        b"HTTP/1.1" => Ok(true),
        b"HTTP/1.0" => Ok(false),
        _ => Err(malformed),
    }
}

fn parse_header_line(line: &[u8]) -> Option<(HeaderName, &[u8])> {
    let colon = line.iter().position(|byte| *byte == b':')?;
    let name = HeaderName::from_bytes(&line[..colon]).ok()?;
    let value = line[colon + 1..].trim_ascii();
    HeaderValue::from_bytes(value).ok()?;
    Some((name, value))
}

fn parse_content_length(value: &[u8]) -> Result<u64, ResultCode> {
    let text = std::str::from_utf8(value).map_err(|_| ResultCode::MalformedRequest)?;
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let length: Option<i64> = digits.then(|| text.parse().ok()).flatten();
    length.map(i64::unsigned_abs).ok_or(ResultCode::MalformedRequest)
}
