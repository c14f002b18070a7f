//! Mutual authentication with the fleet secret.
//!
//! Each side proves that it knows the secret by a MAC over the nonce of the other, so a recorded
//! handshake can't be replayed. The MAC includes the role, so a proof can't be reflected to its
//! sender.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hmac::{Hmac, KeyInit, Mac};
use model::{FailureDomain, Incarnation, NodeName, ResultCode};
use rand::RngExt;
use sha2::Sha256;
use tokio::time::timeout;
use wire::{Digest, Frame, Hello, Nonce, PROTOCOL_VERSION, Purpose, Welcome};

use crate::link::{Link, LinkError};
use crate::{Clock, FrameTap, PeerInfo};

/// Time allowed for the handshake, which takes a round trip and processor time on both sides.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(250);

/// The secret that all nodes of a fleet share. `Debug` does not show it.
#[derive(Clone)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// Creates a secret from the text in the settings.
    pub fn new(text: &str) -> Secret {
        Secret(text.as_bytes().into())
    }

    fn mac(&self, role: &str, node: &NodeName, own: &Nonce, other: &Nonce) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of every length");
        for part in [role.as_bytes(), node.as_str().as_bytes(), own, other] {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        mac
    }

    fn prove(&self, role: &str, node: &NodeName, own: &Nonce, other: &Nonce) -> Digest {
        self.mac(role, node, own, other).finalize().into_bytes().into()
    }

    fn verify(
        &self,
        role: &str,
        node: &NodeName,
        own: &Nonce,
        other: &Nonce,
        proof: &Digest,
    ) -> bool {
        self.mac(role, node, own, other).verify_slice(proof).is_ok()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Identity of this process towards other nodes.
#[derive(Clone)]
pub struct Identity {
    /// The node, its domain and incarnation.
    pub info: PeerInfo,
    /// The fleet secret.
    pub secret: Secret,
    /// The time of this process.
    pub clock: Arc<dyn Clock>,
    /// Observer of all frames after the handshake, if set.
    pub tap: Option<Arc<dyn FrameTap>>,
}

/// Role of the dialing node in its proof.
const DIALER: &str = "dialer";

/// Role of the accepting node in its proof.
const ACCEPTOR: &str = "acceptor";

/// Connects to a node and authenticates both sides.
pub(crate) async fn dial(
    addr: SocketAddr,
    identity: &Identity,
    purpose: Purpose,
) -> Result<(Link, Welcome), LinkError> {
    let mut link = Link::connect(addr).await?;
    let welcome = timeout(HANDSHAKE_TIMEOUT, dialer_handshake(&mut link, identity, purpose));
    let welcome = welcome.await.map_err(|_| LinkError::TimedOut)??;
    link.observe(&welcome.node, identity.tap.clone());
    Ok((link, welcome))
}

/// Authenticates a node that has connected.
pub(crate) async fn accept(
    link: &mut Link,
    identity: &Identity,
) -> Result<(PeerInfo, Purpose), LinkError> {
    let accepted = timeout(HANDSHAKE_TIMEOUT, acceptor_handshake(link, identity));
    let (peer, purpose) = accepted.await.map_err(|_| LinkError::TimedOut)??;
    link.observe(&peer.node, identity.tap.clone());
    Ok((peer, purpose))
}

async fn dialer_handshake(
    link: &mut Link,
    identity: &Identity,
    purpose: Purpose,
) -> Result<Welcome, LinkError> {
    let peer_nonce = match link.recv().await? {
        Frame::Challenge(nonce) => nonce,
        _ => return Err(LinkError::Unexpected),
    };
    let nonce: Nonce = rand::rng().random();
    let PeerInfo { node, domain, incarnation } = identity.info.clone();
    let proof = identity.secret.prove(DIALER, &node, &nonce, &peer_nonce);
    let hello =
        Hello { version: PROTOCOL_VERSION, node, domain, incarnation, purpose, nonce, proof };
    link.send(&Frame::Hello(hello)).await?;
    let welcome = match link.recv().await? {
        Frame::Welcome(welcome) => welcome,
        Frame::Rejected(code) => return Err(LinkError::Rejected(code)),
        _ => return Err(LinkError::Unexpected),
    };
    let secret = &identity.secret;
    if !secret.verify(ACCEPTOR, &welcome.node, &peer_nonce, &nonce, &welcome.proof) {
        return Err(LinkError::Unauthenticated);
    }
    Ok(welcome)
}

async fn acceptor_handshake(
    link: &mut Link,
    identity: &Identity,
) -> Result<(PeerInfo, Purpose), LinkError> {
    let nonce: Nonce = rand::rng().random();
    link.send(&Frame::Challenge(nonce)).await?;
    let Frame::Hello(hello) = link.recv().await? else {
        return reject(link, ResultCode::FrameUnexpected).await;
    };
    if hello.version != PROTOCOL_VERSION {
        return reject(link, ResultCode::VersionUnsupported).await;
    }
    if !identity.secret.verify(DIALER, &hello.node, &hello.nonce, &nonce, &hello.proof) {
        return reject(link, ResultCode::PeerUnauthenticated).await;
    }
    let PeerInfo { node, domain, incarnation } = identity.info.clone();
    let proof = identity.secret.prove(ACCEPTOR, &node, &nonce, &hello.nonce);
    let clock = identity.clock.now();
    link.send(&Frame::Welcome(Welcome { node, domain, incarnation, clock, proof })).await?;
    Ok((peer_info(hello.node, hello.domain, hello.incarnation), hello.purpose))
}

async fn reject<T>(link: &mut Link, code: ResultCode) -> Result<T, LinkError> {
    link.send(&Frame::Rejected(code)).await?;
    Err(LinkError::Rejected(code))
}

fn peer_info(node: NodeName, domain: FailureDomain, incarnation: Incarnation) -> PeerInfo {
    PeerInfo { node, domain, incarnation }
}
