//! Links to other nodes: CBOR frames in WebSocket messages over TCP.
//!
//! There are two kinds of links. A control link carries requests and replies in order. A call link
//! carries one call at a time, so answers of different calls can't be mixed up, and TCP flow
//! control applies back-pressure to the bodies of each call.

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

/// Observes each frame that a process sends or receives after the handshake, for example to record
/// a session.
pub trait FrameTap: Send + Sync {
    /// Called before a frame is sent to a node.
    fn sent(&self, to: &NodeName, frame: &Frame);
    /// Called when a frame was received from a node.
    fn received(&self, from: &NodeName, frame: &Frame);
}

/// Clock of this process.
pub trait Clock: Send + Sync {
    /// Returns the current time.
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
