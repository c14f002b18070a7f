//! TCP proxy that can cut links in one or both directions while their connections stay open.
//!
//! It stands before one listener, for example as the advertised address of a node. The links of one
//! node can be cut on their own, because the proxy reads the name of the dialing node from its
//! `Hello`. A connection that has lost bytes stays cut after the link is healed, so that no peer
//! ever sees a stream with a gap. All open connections can be silenced for good, while new ones work.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use wire::Frame;

/// Bytes from the dialer in which its `Hello` is looked for.
const MAX_OPENING: usize = 4096;

/// Pause between two looks at a connection that is held open during a cut.
const POLL: Duration = Duration::from_millis(20);

/// Direction of bytes through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the dialer to the listener.
    ToListener,
    /// From the listener to the dialer.
    ToDialer,
}

impl Direction {
    /// Both directions.
    pub const BOTH: [Direction; 2] = [Direction::ToListener, Direction::ToDialer];
}

/// Which links a cut concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Links {
    /// All links.
    All,
    /// Links that this node has dialed.
    Of(String),
}

type Cuts = Arc<Mutex<Vec<(Links, Direction)>>>;

/// A running proxy. Dropping it closes its listener.
pub struct CutProxy {
    addr: SocketAddr,
    cuts: Cuts,
    /// Number of times that all open connections were silenced.
    silenced: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl CutProxy {
    /// Starts to listen on `listen` and to connect each caller to `target`.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<CutProxy> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let cuts = Cuts::default();
        let silenced = Arc::<AtomicU64>::default();
        let task = tokio::spawn(accept(listener, target, Arc::clone(&cuts), Arc::clone(&silenced)));
        Ok(CutProxy { addr, cuts, silenced, task })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Swallows all bytes of the given links in one direction from now on.
    pub fn cut(&self, links: Links, direction: Direction) {
        lock(&self.cuts).push((links, direction));
    }

    /// Swallows all bytes of the connections that are open now, for good and without a reset. New
    /// connections work.
    pub fn silence(&self) {
        self.silenced.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        lock(&self.cuts).clear();
    }
}

impl Drop for CutProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, target: SocketAddr, cuts: Cuts, silenced: Arc<AtomicU64>) {
    while let Ok((dialer, _)) = listener.accept().await {
        let (cuts, silenced) = (Arc::clone(&cuts), Arc::clone(&silenced));
        let opened_at = silenced.load(Ordering::Relaxed);
        tokio::spawn(async move {
            let Ok(peer) = TcpStream::connect(target).await else { return };
            let _ = (dialer.set_nodelay(true), peer.set_nodelay(true));
            let (from_dialer, to_dialer) = dialer.into_split();
            let (from_listener, to_listener) = peer.into_split();
            let name = Arc::new(Mutex::new(Dialer::default()));
            let link = |direction| Link {
                cuts: Arc::clone(&cuts),
                silenced: Arc::clone(&silenced),
                opened_at,
                name: Arc::clone(&name),
                direction,
            };
            tokio::spawn(pump(from_dialer, to_listener, link(Direction::ToListener)));
            pump(from_listener, to_dialer, link(Direction::ToDialer)).await;
        });
    }
}

/// Who has dialed a connection.
#[derive(Default)]
struct Dialer {
    opening: Vec<u8>,
    name: Option<String>,
}

impl Dialer {
    fn read(&mut self, bytes: &[u8]) {
        if self.name.is_none() && self.opening.len() < MAX_OPENING {
            self.opening.extend_from_slice(bytes);
            self.name = hello_name(&self.opening);
        }
    }
}

struct Link {
    cuts: Cuts,
    silenced: Arc<AtomicU64>,
    /// Value of `silenced` when the connection was accepted.
    opened_at: u64,
    name: Arc<Mutex<Dialer>>,
    direction: Direction,
}

impl Link {
    fn is_cut(&self) -> bool {
        if self.silenced.load(Ordering::Relaxed) > self.opened_at {
            return true;
        }
        let dialer = lock(&self.name);
        lock(&self.cuts).iter().any(|(links, direction)| {
            let concerned = match links {
                Links::All => true,
                Links::Of(name) => dialer.name.as_ref() == Some(name),
            };
            concerned && *direction == self.direction
        })
    }
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, link: Link) {
    let mut buf = vec![0; 64 * 1024];
    let mut lost = false;
    loop {
        let read = from.read(&mut buf).await.unwrap_or(0);
        if link.direction == Direction::ToListener {
            lock(&link.name).read(&buf[..read]);
        }
        lost |= read > 0 && link.is_cut();
        if read == 0 {
            // The end of a connection does not get through a cut link either.
            while link.is_cut() {
                tokio::time::sleep(POLL).await;
            }
            return;
        }
        if !lost && to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}

/// The name in the `Hello`, which is the first WebSocket frame after the head of the upgrade.
fn hello_name(opening: &[u8]) -> Option<String> {
    let end = opening.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let frame = &opening[end..];
    let (length, mask_at) = match *frame.get(1)? & 0x7f {
        126 => (usize::from(u16::from_be_bytes([*frame.get(2)?, *frame.get(3)?])), 4),
        127 => return None,
        length => (usize::from(length), 2),
    };
    let mask = frame.get(mask_at..mask_at + 4)?;
    let payload = frame.get(mask_at + 4..mask_at + 4 + length)?;
    let plain: Vec<u8> =
        payload.iter().zip(mask.iter().cycle()).map(|(byte, mask)| byte ^ mask).collect();
    match wire::decode(&plain) {
        Ok(Frame::Hello(hello)) => Some(hello.node.to_string()),
        _ => None,
    }
}
