//! Endpoint membership and partition ownership.
//!
//! - [`Announcements`] holds the endpoints that are announced to this node.
//! - [`Directory`] holds the endpoints of all nodes of the fleet.
//! - [`owner_of`] returns the node that grants the rate limit tokens of a partition, and [`Owners`] keeps it.
//!   [`Standing`] says whether a node counts itself.
//! - [`Handover`] decides when a process knows which departures earlier processes of its node have
//!   acknowledged.
//! - [`displaced_nodes`] returns the nodes whose address was taken over by another node.
//!
//! Nothing in this crate does I/O or reads a clock.

mod announcements;
mod directory;
mod handover;
mod incarnations;
mod placement;
mod readers;

pub use announcements::{AnnounceOutcome, Announcements};
pub use directory::{Directory, EndpointEntry, TableApplied};
pub use handover::{Evidence, Handover, HandoverStep};
pub use incarnations::{IncarnationHistory, IncarnationStatus};
pub use placement::{Owners, Standing, displaced_nodes, owner_of};
pub use readers::{READER_PERIOD, is_reader};
