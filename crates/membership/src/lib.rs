//! Who is alive, who may act, and where the endpoints are.
//!
//! [`QuorumLease`] tells whether the node's configuration may be relied on, [`Relays`] whether the
//! node watches the platform, [`Directory`] which endpoints there are, [`Announcements`] which of
//! them are the node's own, and [`Ownership`] for which partitions the node may grant. None of them
//! does I/O or reads a clock.

mod announcements;
mod directory;
mod incarnations;
mod lease;
mod ownership;
mod relays;

pub use announcements::{ANNOUNCEMENT_TTL, Announced, Announcements};
pub use directory::{Directory, EndpointEntry, TableApplied};
pub use incarnations::{Incarnations, Seen};
pub use lease::{AfterPong, Confirmation, LEASE, PEER_TIMEOUT, Pong, QuorumLease};
pub use ownership::{
    Candidate, Handover, HandoverReceived, LiveNodes, OwnerView, Ownership, PlatformState, SETTLE,
    Step,
};
pub use relays::{PLATFORM_SILENCE, RELAYS_PER_DOMAIN, RelayRole, Relays};
