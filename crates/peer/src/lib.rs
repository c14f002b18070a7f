//! Links to other nodes: CBOR frames in WebSocket messages over TCP.
//!
//! Two kinds of links exist. A control link carries requests and replies in order. A call link
//! carries one call at a time, so an answer can't be mixed with that of another call, and TCP
//! provides back-pressure for its bodies.

mod call_link;
mod control;
mod handshake;
mod link;
mod server;

pub use call_link::{CallAnswer, CallError, CallPool, Target};
pub use control::{ControlClient, ControlEvents, request_all};
pub use handshake::{Identity, Secret};
pub use link::{Link, LinkError};
pub use server::{CallReply, PeerHandler, PendingReply, serve};

use model::{FailureDomain, Incarnation, NodeName, Time};

/// Reads the time of this process.
pub trait Clock: Send + Sync {
    /// The time now.
    fn now(&self) -> Time;
}

/// The process at the other end of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInfo {
    /// Its node.
    pub node: NodeName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its incarnation.
    pub incarnation: Incarnation,
}
