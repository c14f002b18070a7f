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

pub use call_link::{CallAnswer, CallError, CallPool, SentAttempt, SilenceAction};
pub use control::{ControlClient, ControlReply, request_all};
pub use handshake::{Identity, Secret};
pub use link::{Link, LinkError};
pub use server::{CallReply, PeerHandler, PendingReply, serve};

use model::{FailureDomain, Incarnation, NodeName, Time};
use wire::Frame;

/// Sees each frame that a process sends or receives after the handshake, for example to record a
/// session.
pub trait FrameTap: Send + Sync {
    /// A frame is sent to a node.
    fn sent(&self, to: &NodeName, frame: &Frame);
    /// A frame has arrived from a node.
    fn received(&self, from: &NodeName, frame: &Frame);
}

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
