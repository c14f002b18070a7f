//! Local replica of one feed of configuration objects, with the indexes for handling requests.
//!
//! A [`Replica`] holds all objects up to one revision. A listing or a delta moves it to a higher
//! revision atomically; the revision never decreases. Values are stored behind `Arc`, so that a
//! request can clone just the values it needs. Large transfers are split into [`Chunk`]s, which
//! [`TransferReceiver`] reassembles.

mod configuration;
mod entry;
mod freshness;
mod replica;
mod rewriting;
mod transfer;

pub use configuration::{Configuration, Feed, Revisions};
pub use entry::{
    AccountEntry, CallerLimitsEntry, Entry, EvacuationEntry, KeyEntry, MarkEntry, NodeEntry,
    RouteEntry, RoutePolicy, ServiceEntry,
};
pub use freshness::{Freshness, FreshnessStep, Heard};
pub use replica::{Applied, MAX_CHANGE_LOG_LEN, Replica, Retained};
pub use rewriting::{MAX_REWRITE_DELAY, RewriteStep, Rewrites};
pub use transfer::{Chunk, Chunks, Delta, ReceiveOutcome, TransferReceiver};
