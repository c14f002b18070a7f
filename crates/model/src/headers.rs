//! Names of the HTTP headers exchanged between callers, nodes and upstreams.

/// Header names in lower case, and how to treat the headers. A header whose name is `None` is not
/// used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeaderNames {
    /// Request id, sent to the caller and to the upstream.
    pub request_id: &'static str,
    /// Timeout in milliseconds: from a caller, how long it waits; to an upstream, the time left
    /// until the deadline.
    pub deadline_ms: &'static str,
    /// Headers intended for the caller key. They are never forwarded, whatever they contain.
    pub key: &'static [&'static str],
    /// Whether to accept external keys: the whole value of a key header is then taken as the key,
    /// whatever its form.
    pub foreign_keys: bool,
    /// Whether to accept the request id and the deadline that a caller sends.
    pub trusts_caller: bool,
    /// Client account of the request, sent to the upstream.
    pub account: Option<&'static str>,
    /// Service of the instance that the request came from, sent to the upstream.
    pub caller_service: Option<&'static str>,
    /// Name of the intended endpoint, sent to the upstream. A different endpoint that has taken
    /// over the address refuses the request.
    pub expected_endpoint: Option<&'static str>,
    /// Load reported by the upstream: running calls, queued calls and slots, separated by commas.
    pub load: Option<&'static str>,
    /// Set by the upstream in a response to a request that it did not run.
    pub not_run: &'static str,
    /// Set by the upstream in responses that it produces itself. A response without it is invalid,
    /// unless it refuses the request.
    pub stamp: Option<&'static str>,
}

impl HeaderNames {
    /// Header names of the native interface.
    pub const NATIVE: HeaderNames = HeaderNames {
        request_id: "x-request-id",
        deadline_ms: "x-deadline-ms",
        key: &["authorization", "proxy-authorization", "x-api-key"],
        foreign_keys: false,
        trusts_caller: false,
        account: None,
        caller_service: None,
        expected_endpoint: None,
        load: None,
        not_run: "x-not-run",
        stamp: None,
    };

    /// Returns whether nodes set this request header themselves.
    pub fn is_set_by_fleet(&self, name: &str) -> bool {
        let optional = [self.account, self.caller_service, self.expected_endpoint];
        name == self.request_id || name == self.deadline_ms || optional.contains(&Some(name))
    }
}
