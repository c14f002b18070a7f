//! Proxies before the peer addresses of the nodes. While a node is cut off, bytes between it and the other
//! nodes are held up, in both directions and on new connections too.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

/// Longest time for which bytes are held up longer than the cut.
const POLL: Duration = Duration::from_millis(5);

/// The nodes that are cut off from all others.
#[derive(Clone, Default)]
pub struct Cut(Arc<Mutex<BTreeSet<String>>>);

impl Cut {
    pub fn set(&self, nodes: &[&str]) {
        *self.0.lock().unwrap() = nodes.iter().map(|node| (*node).to_owned()).collect();
    }

    fn holds(&self, node: &str) -> bool {
        self.0.lock().unwrap().contains(node)
    }
}

/// Starts a proxy before the peer address of a node, and returns the address of the proxy.
pub fn start(listener_name: &str, target: SocketAddr, cut: &Cut) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    let (name, cut) = (listener_name.to_owned(), cut.clone());
    thread::spawn(move || {
        for dialer in listener.incoming().flatten() {
            let link = Link { listener: name.clone(), dialer: Arc::default(), cut: cut.clone() };
            thread::spawn(move || {
                let _ = link.serve(dialer, target);
            });
        }
    });
    addr
}

/// One connection between two nodes.
#[derive(Clone)]
struct Link {
    listener: String,
    /// Name of the node that dialed, once its first frame has told it.
    dialer: Arc<Mutex<Option<String>>>,
    cut: Cut,
}

impl Link {
    fn serve(self, from: TcpStream, target: SocketAddr) -> std::io::Result<()> {
        self.wait_while_cut();
        let to = TcpStream::connect(target)?;
        from.set_nodelay(true)?;
        to.set_nodelay(true)?;
        let (back_from, back_to, back) = (to.try_clone()?, from.try_clone()?, self.clone());
        thread::spawn(move || back.forward(back_from, back_to, |_| {}));
        let mut sent = Vec::new();
        let names = self.clone();
        self.forward(from, to, move |bytes| names.find_dialer(&mut sent, bytes));
        Ok(())
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream, mut seen: impl FnMut(&[u8])) {
        let mut buf = [0; 16 * 1024];
        loop {
            let Ok(count @ 1..) = from.read(&mut buf) else { break };
            seen(&buf[..count]);
            self.wait_while_cut();
            if to.write_all(&buf[..count]).is_err() {
                break;
            }
        }
        self.wait_while_cut();
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }

    fn wait_while_cut(&self) {
        let is_cut = || {
            let dialer = self.dialer.lock().unwrap().clone();
            self.cut.holds(&self.listener) || dialer.is_some_and(|dialer| self.cut.holds(&dialer))
        };
        while is_cut() {
            sleep(POLL);
        }
    }

    /// Reads the name of the dialing node from its first WebSocket frame.
    fn find_dialer(&self, sent: &mut Vec<u8>, bytes: &[u8]) {
        if self.dialer.lock().unwrap().is_some() {
            return;
        }
        sent.extend_from_slice(bytes);
        let Some(head_end) = sent.windows(4).position(|window| window == b"\r\n\r\n") else {
            return;
        };
        let Some(name) = node_name(&sent[head_end + 4..]) else { return };
        *self.dialer.lock().unwrap() = Some(name);
    }
}

/// Finds the name of a node, `node-` and a number, in a masked WebSocket frame.
fn node_name(frame: &[u8]) -> Option<String> {
    let length = usize::from(frame.get(1)? & 0x7f);
    let mask_at = if length == 126 { 4 } else { 2 };
    let mask = frame.get(mask_at..mask_at + 4)?;
    let payload = frame[mask_at + 4..].iter().zip(mask.iter().cycle());
    let payload: Vec<u8> = payload.map(|(byte, mask)| byte ^ mask).collect();
    let start = payload.windows(5).position(|window| window == b"node-")?;
    let digits = payload[start + 5..].iter().take_while(|byte| byte.is_ascii_digit()).count();
    String::from_utf8(payload[start..start + 5 + digits].to_vec()).ok()
}
