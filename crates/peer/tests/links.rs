//! Tests of links over loopback with peers that are faulty, malicious, unresponsive or slow.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use config::Revisions;
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, KeyInit, Mac};
use model::{AttemptId, Incarnation, LoadReport, ResultCode, Slots, Time};
use payload::{BodyCut, Payload, ReadAhead};
use peer::{
    CallAnswer, CallError, CallPool, CallReply, Clock, ControlClient, Identity, LinkError,
    PeerHandler, PeerInfo, PendingReply, Secret, SentAttempt, SilenceAction, serve,
};
use sha2::Sha256;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{MaybeTlsStream, WebSocketStream, connect_async};
use wire::{BodyPart, Call, EndpointLoad, Frame, Head, Hello, Purpose};

const TEST_TIMEOUT: Duration = Duration::from_secs(5);

struct FixedClock;

impl Clock for FixedClock {
    fn now(&self) -> Time {
        Time::from_micros(1)
    }
}

fn identity(node: &str, secret: &str, incarnation: u64) -> Identity {
    let (node, domain) = (node.parse().unwrap(), "mid-a".parse().unwrap());
    let info = PeerInfo { node, domain, incarnation: Incarnation(incarnation) };
    Identity { info, secret: Secret::new(secret), clock: Arc::new(FixedClock), tap: None }
}

/// Pause of a receiver. The kernel counts it in steps that double, from 200 ms on.
const PAUSE: Duration = Duration::from_secs(7);

/// Never answers `/hang`, answers `/cut` with a truncated body and `/large` with 30 MB, and other
/// targets with the target and the size of the request body. Reads the body of `/pause` only after
/// [`PAUSE`].
#[derive(Default)]
struct Handler {
    calls: AtomicUsize,
    chunks_produced: AtomicUsize,
}

struct Shared(Arc<Handler>);

impl PeerHandler for Shared {
    fn control(&self, _peer: &PeerInfo, _frame: Frame) -> Frame {
        Frame::Done
    }

    fn call(&self, _peer: &PeerInfo, call: Call, mut body: Payload) -> PendingReply {
        let handler = Arc::clone(&self.0);
        handler.calls.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            let target = &*call.head.target;
            if target == "/hang" {
                std::future::pending::<()>().await;
            }
            if target == "/pause" {
                tokio::time::sleep(PAUSE).await;
            }
            if target == "/large" || target == "/cut" {
                let (tx, streamed) = Payload::channel();
                let chunks = if target == "/cut" { 2 } else { 2000 };
                tokio::spawn(async move {
                    for _ in 0..chunks {
                        if tx.send(Bytes::from(vec![0; 15_000])).await.is_err() {
                            return;
                        }
                        handler.chunks_produced.fetch_add(1, Ordering::SeqCst);
                    }
                    if chunks == 2 {
                        return tx.cut(BodyCut::SenderLost).await;
                    }
                    tx.finish().await;
                });
                return answer(streamed);
            }
            let mut size = 0;
            loop {
                match body.next().await {
                    None => return answer(Payload::Full(format!("{target} {size}").into())),
                    Some(Ok(chunk)) => size += chunk.len(),
                    Some(Err(_)) => return CallReply::Failed(ResultCode::UpstreamLost),
                }
            }
        })
    }
}

fn answer(body: Payload) -> CallReply {
    CallReply::Answer {
        status: 200,
        headers: Vec::new(),
        body,
        load: load(),
        revisions: Revisions::default(),
        took: Duration::ZERO,
    }
}

fn load() -> EndpointLoad {
    let mean_service = Duration::ZERO;
    let report = LoadReport { slots: Slots(3), running: 0, queued: 0, mean_service };
    EndpointLoad { endpoint: "e1".parse().unwrap(), report }
}

struct Node {
    addr: SocketAddr,
    handler: Arc<Handler>,
    task: JoinHandle<()>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Node {
    async fn start() -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let handler = Arc::new(Handler::default());
        let shared = Arc::new(Shared(Arc::clone(&handler)));
        let task = tokio::spawn(serve(listener, identity("node-1", "secret", 5), shared));
        Node { addr, handler, task }
    }

    fn calls(&self) -> usize {
        self.handler.calls.load(Ordering::SeqCst)
    }
}

fn pool(secret: &str) -> CallPool {
    CallPool::new(identity("node-2", secret, 6))
}

fn call(sequence: u64, target: &str, last: bool) -> Call {
    Call {
        attempt: AttemptId { entry: Incarnation(6), sequence },
        request: "r1".parse().unwrap(),
        endpoint: "e1".parse().unwrap(),
        route: "a".parse().unwrap(),
        account: None,
        start_by: Time::from_micros(2),
        queue_until: Time::from_micros(2),
        goal_by: None,
        max_expected_wait: None,
        over_rate: false,
        idempotent: false,
        accepts_suspect: false,
        is_retry: false,
        retry_origin_percent: Default::default(),
        priority: 0,
        caller_service: None,
        revisions: Revisions::default(),
        head: Head { method: "POST".into(), target: target.into(), headers: Vec::new() },
        body: BodyPart { bytes: Vec::new(), last },
    }
}

/// Deadline of calls, in the time of the entry.
const DEADLINE: Time = Time::from_micros(1_000_000);

/// Makes a call that keeps waiting when its link goes silent.
async fn make_call(
    pool: &CallPool,
    addr: SocketAddr,
    call: Call,
    body: Payload,
) -> Result<CallAnswer, CallError> {
    make_call_until(DEADLINE, pool, addr, call, body).await
}

async fn make_call_until(
    deadline: Time,
    pool: &CallPool,
    addr: SocketAddr,
    call: Call,
    body: Payload,
) -> Result<CallAnswer, CallError> {
    pool.call(addr, call, deadline, body, |_| std::future::ready(SilenceAction::KeepWaiting)).await
}

/// Makes a call with a complete body and returns the body of its answer.
async fn answer_body(pool: &CallPool, addr: SocketAddr, call: Call) -> Result<Vec<u8>, String> {
    let made = timeout(TEST_TIMEOUT, make_call(pool, addr, call, Payload::empty())).await;
    let mut answer = made.expect("the call ends").map_err(|err| match err {
        CallError::Unknown { code, .. } => format!("Unknown({code:?})"),
        err => format!("{err:?}"),
    })?;
    let mut received = Vec::new();
    while let Some(chunk) = answer.body.next().await {
        received.extend_from_slice(&chunk.map_err(|cut| format!("{cut:?}"))?);
    }
    Ok(received)
}

type Socket = WebSocketStream<MaybeTlsStream<TcpStream>>;

async fn connect(addr: SocketAddr) -> Socket {
    connect_async(format!("ws://{addr}/peer")).await.unwrap().0
}

async fn send(socket: &mut Socket, frame: &Frame) {
    socket.send(Message::Binary(wire::encode(frame).into())).await.unwrap();
}

/// Returns the next frame, or `None` at the end of the link.
async fn recv(socket: &mut Socket) -> Option<Frame> {
    match timeout(TEST_TIMEOUT, socket.next()).await.expect("a frame or the end of the link") {
        Some(Ok(Message::Binary(bytes))) => Some(wire::decode(&bytes).unwrap()),
        _ => None,
    }
}

fn hello(version: u16, proof: [u8; 32]) -> Frame {
    let (node, domain) = ("node-2".parse().unwrap(), "mid-a".parse().unwrap());
    let (incarnation, purpose, nonce) = (Incarnation(6), Purpose::Call, [3; 16]);
    Frame::Hello(Hello { version, node, domain, incarnation, purpose, nonce, proof })
}

#[tokio::test]
async fn wrong_secret_and_version_are_rejected() {
    let node = Node::start().await;
    let refused = make_call(&pool("other"), node.addr, call(1, "/a", true), Payload::empty()).await;
    let rejected = LinkError::Rejected(ResultCode::PeerUnauthenticated);
    assert_eq!(refused.err(), Some(CallError::NotSent(rejected)));
    for (version, code) in [
        (wire::PROTOCOL_VERSION + 1, ResultCode::VersionUnsupported),
        (wire::PROTOCOL_VERSION, ResultCode::PeerUnauthenticated),
    ] {
        let mut socket = connect(node.addr).await;
        assert!(matches!(recv(&mut socket).await, Some(Frame::Challenge(_))));
        send(&mut socket, &hello(version, [0; 32])).await;
        assert_eq!(recv(&mut socket).await, Some(Frame::Rejected(code)));
        assert_eq!(recv(&mut socket).await, None);
    }
    assert_eq!(node.calls(), 0);
}

/// Guards against accepting a replayed handshake, or a proof that is reflected to its sender.
#[tokio::test]
async fn replayed_and_reflected_handshakes_are_rejected() {
    let node = Node::start().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let nonce = [9; 16];
    let recorder = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut ws = tokio_tungstenite::accept_async(stream).await.unwrap();
        let challenge = wire::encode(&Frame::Challenge(nonce));
        ws.send(Message::Binary(challenge.into())).await.unwrap();
        let Some(Ok(Message::Binary(hello))) = ws.next().await else { panic!("a frame") };
        let Ok(Frame::Hello(recorded)) = wire::decode(&hello) else { panic!("a hello") };
        // The proof of the dialer is sent back to it as the proof of the acceptor.
        let welcome = Frame::Welcome(wire::Welcome {
            node: recorded.node.clone(),
            domain: recorded.domain.clone(),
            incarnation: Incarnation(5),
            clock: Time::from_micros(1),
            proof: recorded.proof,
        });
        ws.send(Message::Binary(wire::encode(&welcome).into())).await.unwrap();
        recorded
    });
    let reflected = make_call(&pool("secret"), addr, call(1, "/a", true), Payload::empty()).await;
    assert_eq!(reflected.err(), Some(CallError::NotSent(LinkError::Unauthenticated)));

    let mut socket = connect(node.addr).await;
    assert!(matches!(recv(&mut socket).await, Some(Frame::Challenge(_))));
    send(&mut socket, &Frame::Hello(recorder.await.unwrap())).await;
    let refused = Frame::Rejected(ResultCode::PeerUnauthenticated);
    assert_eq!(recv(&mut socket).await, Some(refused));
}

#[tokio::test]
async fn invalid_input_closes_the_link_and_leaves_other_links_working() {
    let node = Node::start().await;
    for bytes in [vec![0xff; 100], vec![0; 2_000_000], wire::encode(&Frame::Done)] {
        let mut socket = connect(node.addr).await;
        assert!(recv(&mut socket).await.is_some());
        let _ = socket.send(Message::Binary(bytes.into())).await;
        let end = recv(&mut socket).await;
        let expected = Frame::Rejected(ResultCode::FrameUnexpected);
        assert!(end.is_none() || end == Some(expected), "{end:?}");
    }
    let served = answer_body(&pool("secret"), node.addr, call(1, "/a", true)).await;
    assert_eq!(served.unwrap(), b"/a 0");
}

/// Guards against returning the answer of another call when a link is reused.
#[tokio::test]
async fn each_call_on_a_link_gets_its_own_answer() {
    let node = Node::start().await;
    let pool = pool("secret");
    for sequence in 0..300 {
        let path = format!("/{sequence}");
        let answer = answer_body(&pool, node.addr, call(sequence, &path, true)).await.unwrap();
        assert_eq!(answer, format!("{path} 0").into_bytes());
    }
}

/// Guards against sending the start deadline in the time of the entry; the clocks of two processes
/// are unrelated.
#[tokio::test]
async fn the_latest_start_is_in_the_time_of_the_receiver() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let peer_time = Time::from_micros(500_000_000);
    let seen = tokio::spawn(first_call(listener, peer_time));
    let pool = pool("secret");
    let made = make_call(&pool, addr, call(1, "/a", true), Payload::empty());
    let _ = timeout(Duration::from_millis(300), made).await;
    // The clock of the entry always shows 1 us.
    let remaining = DEADLINE.since(Time::from_micros(1));
    assert_eq!(seen.await.unwrap().start_by, peer_time + remaining);
}

/// Guards against waiting for an answer that will not come when the call could be retried, and
/// against abandoning a call whose answer may still arrive.
#[tokio::test]
async fn a_silent_link_is_pinged_before_on_silence_decides() {
    let node = Node::start().await;
    let alive = pool("secret");
    let hanging =
        alive.call(node.addr, call(1, "/hang", true), DEADLINE, Payload::empty(), |_| async {
            panic!("a process that replies to pings is not silent")
        });
    assert!(timeout(Duration::from_millis(1500), hanging).await.is_err());

    for (decision, expected) in [
        (SilenceAction::NotRun, Some("Refused(AttemptFenced)")),
        (SilenceAction::KeepWaiting, None),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let task = tokio::spawn(freeze_after_call(listener));
        let (report, sent) = tokio::sync::oneshot::channel::<SentAttempt>();
        let pool = pool("secret");
        let made = pool.call(addr, call(7, "/a", true), DEADLINE, Payload::empty(), |sent| {
            report.send(sent).unwrap();
            std::future::ready(decision)
        });
        let ended = timeout(Duration::from_millis(1500), made).await.ok().map(|made| {
            match made.unwrap_err() {
                CallError::Unknown { code, .. } => format!("Unknown({code:?})"),
                CallError::Refused { code, .. } => format!("Refused({code:?})"),
                err => format!("{err:?}"),
            }
        });
        assert_eq!(ended.as_deref(), expected);
        let sent = sent.await.unwrap();
        assert_eq!((sent.attempt.sequence, sent.process), (7, Incarnation(5)));
        task.abort();
    }
}

/// Guards against losing a call that is sent to a process that froze after the previous call on the
/// link. An idle link to a responsive process is reused.
#[tokio::test]
async fn an_idle_link_is_tested_before_it_takes_a_call() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        let mut ws = accept_handshake(&listener, Time::from_micros(1)).await.expect("a link");
        for sequence in [1, 2] {
            while !matches!(ws.next().await, Some(Ok(Message::Binary(_)))) {}
            let reply = wire::encode(&answer_frame(sequence, "whole", true));
            ws.send(Message::Binary(reply.into())).await.unwrap();
        }
        std::future::pending::<()>().await;
    });
    let pool = pool("secret");
    let idle = || tokio::time::sleep(Duration::from_millis(400));
    assert!(make_call(&pool, addr, call(1, "/a", true), Payload::empty()).await.is_ok());
    idle().await;
    assert!(make_call(&pool, addr, call(2, "/a", true), Payload::empty()).await.is_ok());
    idle().await;
    let made = make_call(&pool, addr, call(3, "/a", true), Payload::empty());
    let made = timeout(Duration::from_secs(1), made).await.expect("the call ends in time");
    assert!(matches!(made, Err(CallError::NotSent(_))), "{made:?}");
    task.abort();
}

/// Guards against a control client that dials without a request, and against one that doesn't
/// reconnect after its peer is back.
#[tokio::test]
async fn control_links_are_dialed_on_demand() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let client = ControlClient::start(addr, identity("node-2", "secret", 6));
    assert!(client.request(Frame::PullMore).await.is_err());
    let listener = TcpListener::bind(addr).await.unwrap();
    let connected = timeout(Duration::from_millis(400), listener.accept()).await;
    assert!(connected.is_err(), "dialed without a request");
    let shared = Arc::new(Shared(Arc::default()));
    let task = tokio::spawn(serve(listener, identity("node-1", "secret", 5), shared));
    let reply = client.request(Frame::PullMore).await.unwrap();
    assert_eq!((reply.from, reply.frame), (Incarnation(5), Frame::Done));
    task.abort();
}

#[tokio::test]
async fn silent_peers_time_out_while_others_are_served() {
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = silent.local_addr().unwrap();
    let node = Node::start().await;
    let pool = pool("secret");
    let other = pool.clone();
    let stuck = tokio::spawn(async move {
        make_call(&other, addr, call(1, "/a", true), Payload::empty()).await.err()
    });
    let served =
        timeout(Duration::from_secs(1), answer_body(&pool, node.addr, call(2, "/b", true)));
    assert_eq!(served.await.expect("no delay").unwrap(), b"/b 0");
    let err = timeout(TEST_TIMEOUT, stuck).await.expect("a timeout").unwrap();
    assert_eq!(err, Some(CallError::NotSent(LinkError::TimedOut)));
}

/// Guards against treating a truncated body as complete.
#[tokio::test]
async fn truncated_bodies_are_reported() {
    let node = Node::start().await;
    let pool = pool("secret");
    let cut = answer_body(&pool, node.addr, call(1, "/cut", true)).await;
    assert_eq!(cut, Err("SenderLost".to_owned()));
    let (tx, body) = Payload::channel();
    tx.send(Bytes::from_static(b"abc")).await.unwrap();
    tx.cut(BodyCut::SenderLost).await;
    let unknown = make_call(&pool, node.addr, call(2, "/a", false), body).await;
    assert!(matches!(unknown, Err(CallError::Unknown { .. })), "{unknown:?}");
}

/// Guards against buffering a large answer in memory when its receiver is slow.
#[tokio::test]
async fn slow_receivers_apply_back_pressure_to_the_sender() {
    let node = Node::start().await;
    let pool = pool("secret");
    let made = make_call(&pool, node.addr, call(1, "/large", true), Payload::empty()).await;
    let mut answer = made.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let sent = node.handler.chunks_produced.load(Ordering::SeqCst);
    // The kernel's socket buffers hold a few megabytes on loopback.
    assert!(sent < 1000, "{sent} of 2000 chunks were produced for a receiver that does not read");
    let mut received = 0;
    while let Some(chunk) = answer.body.next().await {
        received += chunk.unwrap().len();
    }
    assert_eq!(received, 30_000_000);
}

/// A body of chunks of 15 KB, sent as fast as its receiver takes it.
fn body_of(chunks: u64) -> Payload {
    let (tx, body) = Payload::channel();
    tokio::spawn(async move {
        for _ in 0..chunks {
            if tx.send(Bytes::from(vec![0; 15_000])).await.is_err() {
                return;
            }
        }
        tx.finish().await;
    });
    body
}

/// Guards against a link that is closed by the kernel because the receiver of a body takes nothing for
/// some seconds.
#[tokio::test]
async fn bodies_survive_a_pause_of_their_receiver() {
    let node = Node::start().await;
    let pool = pool("secret");
    let download = async {
        // The body has to arrive by the deadline of its call, which is later than the pause.
        let late = Time::from_micros(60_000_000);
        let download = call(1, "/large", true);
        let made = make_call_until(late, &pool, node.addr, download, Payload::empty()).await;
        let mut answer = made.unwrap();
        tokio::time::sleep(PAUSE).await;
        let mut received = 0;
        while let Some(chunk) = answer.body.next().await {
            received += chunk.map_err(|cut| format!("{cut} after {received} bytes"))?.len();
        }
        Ok::<_, String>(received)
    };
    let upload = make_call(&pool, node.addr, call(2, "/pause", false), body_of(2000));
    let (received, uploaded) = tokio::join!(download, upload);
    assert_eq!(received, Ok(30_000_000));
    let ReadAhead::Whole(text) = uploaded.unwrap().body.read_ahead(100).await else {
        panic!("the answer is incomplete");
    };
    assert_eq!(text, "/pause 30000000");
}

/// Guards against the body of an answer that is received past the deadline of its call, and against a
/// receiver that does not read and keeps the link and the sender of the body busy.
#[tokio::test]
async fn bodies_are_cut_at_the_deadline_of_their_call() {
    let node = Node::start().await;
    let pool = pool("secret");
    let made = make_call(&pool, node.addr, call(1, "/large", true), Payload::empty()).await;
    let mut answer = made.unwrap();
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let sent = node.handler.chunks_produced.load(Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let end = loop {
        match answer.body.next().await {
            Some(Ok(_)) => {}
            Some(Err(cut)) => break cut,
            None => panic!("the body is complete"),
        }
    };
    assert_eq!(end, BodyCut::DeadlinePassed);
    let later = node.handler.chunks_produced.load(Ordering::SeqCst);
    assert_eq!(later, sent, "the sender goes on after the deadline");
    assert!(sent < 2000, "the sender was never held up");
}

/// Guards against a call that counts as silent, and is sent elsewhere, although its guard only waits for
/// an upstream that has not read the body yet.
#[tokio::test]
async fn an_upstream_that_pauses_before_a_body_is_not_silent() {
    let node = Node::start().await;
    let pool = pool("secret");
    let calls = [8, 20, 2000].map(|chunks| {
        let made = pool.call(
            node.addr,
            call(chunks, "/pause", false),
            DEADLINE,
            body_of(chunks),
            |_| async { panic!("a process that waits for its upstream is not silent") },
        );
        async { assert_eq!(made.await.unwrap().status, 200) }
    });
    futures_util::future::join_all(calls).await;
}

/// Accepts a link and completes the handshake as node-1 whose clock shows `clock`.
async fn accept_handshake(
    listener: &TcpListener,
    clock: Time,
) -> Option<WebSocketStream<TcpStream>> {
    let (stream, _) = listener.accept().await.unwrap();
    let mut ws = tokio_tungstenite::accept_async(stream).await.unwrap();
    let nonce = [9; 16];
    let first = wire::encode(&Frame::Challenge(nonce));
    ws.send(Message::Binary(first.into())).await.unwrap();
    let Some(Ok(Message::Binary(bytes))) = ws.next().await else { return None };
    let Ok(Frame::Hello(hello)) = wire::decode(&bytes) else { return None };
    let (node, domain) = ("node-1".parse().unwrap(), "mid-a".parse().unwrap());
    let incarnation = Incarnation(5);
    let mut mac = Hmac::<Sha256>::new_from_slice(b"secret").unwrap();
    for part in [b"acceptor".as_slice(), b"node-1", &nonce, &hello.nonce] {
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    let proof = mac.finalize().into_bytes().into();
    let welcome = Frame::Welcome(wire::Welcome { node, domain, incarnation, clock, proof });
    ws.send(Message::Binary(wire::encode(&welcome).into())).await.unwrap();
    Some(ws)
}

/// Accepts one link and returns the first call on it.
async fn first_call(listener: TcpListener, clock: Time) -> Call {
    let mut ws = accept_handshake(&listener, clock).await.expect("a link");
    let Some(Ok(Message::Binary(bytes))) = ws.next().await else { panic!("a frame") };
    let Ok(Frame::Call(call)) = wire::decode(&bytes) else { panic!("a call") };
    *call
}

/// Accepts one link and receives a call, then doesn't even reply to pings.
async fn freeze_after_call(listener: TcpListener) {
    let mut ws = accept_handshake(&listener, Time::from_micros(1)).await.expect("a link");
    let _ = ws.next().await;
    std::future::pending::<()>().await;
}

/// Accepts links, completes the handshake, and sends `replies` to the first call of each.
async fn send_scripted_replies(listener: TcpListener, replies: Vec<Frame>) {
    loop {
        let Some(mut ws) = accept_handshake(&listener, Time::from_micros(1)).await else {
            continue;
        };
        let Some(Ok(Message::Binary(_))) = ws.next().await else { continue };
        for reply in &replies {
            ws.send(Message::Binary(wire::encode(reply).into())).await.unwrap();
        }
        // The link stays open until the dialer closes it.
        tokio::spawn(async move { while let Some(Ok(_)) = ws.next().await {} });
    }
}

fn answer_frame(sequence: u64, text: &str, last: bool) -> Frame {
    let attempt = AttemptId { entry: Incarnation(6), sequence };
    let body = BodyPart { bytes: text.as_bytes().to_vec(), last };
    let head = wire::AnswerHead {
        attempt,
        status: 200,
        headers: Vec::new(),
        body,
        load: load(),
        revisions: Revisions::default(),
        took: Duration::ZERO,
    };
    Frame::Answer(Box::new(head))
}

fn body_frame(sequence: u64, text: &str, last: bool) -> Frame {
    let attempt = AttemptId { entry: Incarnation(6), sequence };
    Frame::AnswerBody { attempt, part: BodyPart { bytes: text.as_bytes().to_vec(), last } }
}

async fn check_replies(replies: Vec<Frame>, expected: Result<&str, &str>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let task = tokio::spawn(send_scripted_replies(listener, replies.clone()));
    let pool = pool("secret");
    // The second call must not receive frames left over from the first call on its link.
    for _ in 0..2 {
        let got = answer_body(&pool, addr, call(1, "/a", true)).await;
        let got = got.map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
        let expected = expected.map(str::to_owned).map_err(str::to_owned);
        assert_eq!(got, expected, "{replies:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    task.abort();
}

/// Guards against accepting an answer that belongs to another call, or to no call.
#[tokio::test]
async fn frames_of_other_attempts_close_the_link() {
    let unknown = Err("Unknown(LinkLost)");
    let attempt = AttemptId { entry: Incarnation(6), sequence: 2 };
    let code = ResultCode::QueueFull;
    check_replies(vec![answer_frame(2, "b", true)], unknown).await;
    check_replies(
        vec![Frame::Refused { attempt, code, load: None, revisions: Revisions::default() }],
        unknown,
    )
    .await;
    check_replies(vec![Frame::Failed { attempt, code: ResultCode::LinkLost }], unknown).await;
    check_replies(vec![body_frame(1, "a", true)], unknown).await;
    check_replies(vec![Frame::Done], unknown).await;
    let late = vec![answer_frame(1, "a", false), body_frame(2, "b", true)];
    check_replies(late, Err("SenderLost")).await;
    let doubled_head = vec![answer_frame(1, "a", false), answer_frame(1, "a", true)];
    check_replies(doubled_head, Err("SenderLost")).await;
    let reordered = vec![body_frame(1, "b", true), answer_frame(1, "a", false)];
    check_replies(reordered, unknown).await;
    let doubled = vec![answer_frame(1, "a", true), answer_frame(1, "a", true)];
    check_replies(doubled, Ok("a")).await;
    let after_end = vec![answer_frame(1, "a", false), body_frame(1, "b", true), Frame::Done];
    check_replies(after_end, Ok("ab")).await;
}
