//! Announcements that upstreams send about their endpoints.

use std::time::Duration;

use crate::ids::EndpointName;
use crate::object::Endpoint;

/// Position of an announcement in the sequence of an endpoint's announcements, used to discard
/// stale ones that arrive late. Fields that the upstream does not send are `None`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Origin {
    /// Unix time at which the endpoint started, in milliseconds.
    pub started_ms: Option<u64>,
    /// Message number, which increases until the endpoint restarts.
    pub sequence: Option<u64>,
}

/// Content of an announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Report {
    /// Current description of the endpoint.
    State(Endpoint),
    /// The endpoint is about to terminate and accepts no new calls.
    Gone(EndpointName),
}

/// A message that an upstream sends about one of its endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Position among the announcements of the endpoint.
    pub origin: Origin,
    /// Content of the message.
    pub report: Report,
    /// How long the endpoint remains cold, counted from the message; zero if it is warm. `None` if the
    /// message doesn't tell.
    pub cold_left: Option<Duration>,
}
