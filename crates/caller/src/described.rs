//! Validates a request that is described instead of sent, as the server validates one that is sent.

use std::fmt;

use hyper::http::uri::Authority;
use hyper::http::{HeaderMap, HeaderValue, Method, Request, Uri, header};
use model::{HeaderNames, ResultCode};

use crate::sanitize::sanitize;
use crate::server::request_host;

/// The parts of a described request by which it is routed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DescribedRequest {
    /// HTTP method.
    pub method: Method,
    /// Requested host, in lower case and without the port.
    pub host: Box<str>,
    /// Request target: path and query.
    pub target: Box<str>,
}

/// The part of a described request that is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidPart {
    /// The method is not a token, or it opens a tunnel.
    Method,
    /// The host is not a name or address with an optional port.
    Host,
    /// The path does not begin with a slash or has characters that no target has.
    Path,
    /// The server refuses requests with this path.
    RefusedPath(ResultCode),
}

impl fmt::Display for InvalidPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidPart::Method => f.write_str("expected a method such as GET, other than CONNECT"),
            InvalidPart::Host => f.write_str("expected a host such as shop.example or [::1]:8080"),
            InvalidPart::Path => f.write_str("expected a path that begins with a slash"),
            InvalidPart::RefusedPath(code) => write!(f, "requests with this path get {code}"),
        }
    }
}

impl std::error::Error for InvalidPart {}

impl DescribedRequest {
    /// Validates the parts of a request. A key in the query is removed.
    ///
    /// ```
    /// use caller::{DescribedRequest, InvalidPart};
    ///
    /// let names = model::HeaderNames::NATIVE;
    /// let request = DescribedRequest::new("GET", "Shop.example:80", "/a?b=c", &names).unwrap();
    /// assert_eq!((&*request.host, &*request.target), ("shop.example", "/a?b=c"));
    /// let result = DescribedRequest::new("GET", "shop.example", "a", &names);
    /// assert_eq!(result, Err(InvalidPart::Path));
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if a part is malformed, or if the server refuses the path.
    pub fn new(
        method: &str,
        host: &str,
        path: &str,
        names: &HeaderNames,
    ) -> Result<DescribedRequest, InvalidPart> {
        let method = Method::from_bytes(method.as_bytes()).map_err(|_| InvalidPart::Method)?;
        if method == Method::CONNECT {
            return Err(InvalidPart::Method);
        }
        let is_authority = Authority::try_from(host).is_ok() && !host.contains('@');
        let value = HeaderValue::from_str(host).ok().filter(|_| is_authority);
        let value = value.ok_or(InvalidPart::Host)?;
        if !path.starts_with('/') {
            return Err(InvalidPart::Path);
        }
        let uri = Uri::try_from(path).map_err(|_| InvalidPart::Path)?;
        let mut req = Request::new(());
        req.headers_mut().insert(header::HOST, value);
        let host = request_host(&req.into_parts().0);
        if host.is_empty() {
            return Err(InvalidPart::Host);
        }
        let head = sanitize(&method, &uri, HeaderMap::new(), names);
        let target = head.map_err(InvalidPart::RefusedPath)?.target;
        Ok(DescribedRequest { method, host, target })
    }
}
