//! A light HTTP client with a fixed set of keep-alive connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, ensure};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, mpsc};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Longest wait for one answer. It bounds a run against a server that has stopped answering.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Where calls go.
#[derive(Clone)]
pub struct Target {
    /// Address of the server.
    pub addr: SocketAddr,
    /// Path of every call.
    pub path: &'static str,
    /// Key that comes with every call.
    pub key: Option<String>,
}

/// When calls are due.
#[derive(Debug, Clone, Copy)]
pub enum Arrivals {
    /// One after each interval, whether or not earlier ones were answered.
    Every(Duration),
    /// Each connection sends as soon as it has the last answer.
    AsAnswered,
}

/// How long to send.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// When calls are due.
    pub arrivals: Arrivals,
    /// Time in which calls are sent.
    pub length: Duration,
    /// Most calls that are sent.
    pub max_calls: u64,
}

/// What became of the calls.
pub struct Outcome {
    /// Time from the intended send time to the end of the answer, in microseconds.
    pub latency: Histogram<u64>,
    /// Calls with status 200.
    pub answered: u64,
    /// All other calls by status; 0 stands for no answer.
    pub failed: BTreeMap<u16, u64>,
    /// Time until the last answer.
    pub took: Duration,
}

type Connection = SendRequest<Empty<Bytes>>;

/// A fixed set of connections to one target.
pub struct Client {
    target: Arc<Target>,
    connections: Vec<Arc<Mutex<Connection>>>,
}

impl Client {
    /// Opens the connections.
    pub async fn connect(target: &Target, count: usize) -> Result<Client> {
        let mut connections = Vec::with_capacity(count);
        for _ in 0..count {
            connections.push(Arc::new(Mutex::new(open(target.addr).await?)));
        }
        Ok(Client { target: Arc::new(target.clone()), connections })
    }

    /// Sends one call on each connection, one after another, and returns how many were answered
    /// with status 200.
    pub async fn call_once_each(&self) -> Result<usize> {
        let mut served = 0;
        for connection in &self.connections {
            let status = call(&mut *connection.lock().await, &self.target).await;
            served += usize::from(status == 200);
        }
        Ok(served)
    }

    /// Sends calls by a plan and waits for all of them.
    pub async fn run(&self, plan: Plan) -> Result<Outcome> {
        let started = Instant::now();
        let calls = Arc::new(Calls::new(plan, started));
        let mut tasks = JoinSet::new();
        for connection in &self.connections {
            let (calls, target) = (Arc::clone(&calls), Arc::clone(&self.target));
            let connection = Arc::clone(connection);
            tasks.spawn(async move { serve(&calls, &mut *connection.lock().await, &target).await });
        }
        let mut outcome = Outcome {
            latency: Histogram::new(3)?,
            answered: 0,
            failed: BTreeMap::new(),
            took: Duration::ZERO,
        };
        while let Some(part) = tasks.join_next().await {
            let part = part??;
            outcome.latency.add(part.latency)?;
            outcome.answered += part.answered;
            for (status, count) in part.failed {
                *outcome.failed.entry(status).or_default() += count;
            }
        }
        outcome.took = started.elapsed();
        ensure!(outcome.answered > 0, "no call was answered with status 200");
        Ok(outcome)
    }
}

/// Hands out the calls of a run to the connections.
enum Calls {
    Paced(Mutex<mpsc::UnboundedReceiver<Instant>>),
    Saturating { until: Instant, left: AtomicU64 },
}

impl Calls {
    fn new(plan: Plan, started: Instant) -> Calls {
        let Arrivals::Every(interval) = plan.arrivals else {
            let left = AtomicU64::new(plan.max_calls);
            return Calls::Saturating { until: started + plan.length, left };
        };
        let (tx, rx) = mpsc::unbounded_channel();
        // The timers of the runtime have a resolution of 1 ms, which is as long as the latency that
        // is measured, so a thread keeps the pace.
        std::thread::spawn(move || {
            let count = (plan.length.as_secs_f64() / interval.as_secs_f64()) as u64;
            for index in 0..count.min(plan.max_calls) {
                let due = started + interval.mul_f64(index as f64);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                if tx.send(due).is_err() {
                    return;
                }
            }
        });
        Calls::Paced(Mutex::new(rx))
    }

    /// The intended send time of the next call, or `None` after the last.
    async fn next(&self) -> Option<Instant> {
        match self {
            Calls::Paced(due) => due.lock().await.recv().await,
            Calls::Saturating { until, left } => {
                let now = Instant::now();
                let take = |left: u64| left.checked_sub(1);
                let taken = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
                (now < *until && taken.is_ok()).then_some(now)
            }
        }
    }
}

async fn serve(calls: &Calls, connection: &mut Connection, target: &Target) -> Result<Outcome> {
    let mut outcome = Outcome {
        latency: Histogram::new(3)?,
        answered: 0,
        failed: BTreeMap::new(),
        took: Duration::ZERO,
    };
    while let Some(due) = calls.next().await {
        match call(connection, target).await {
            200 => outcome.answered += 1,
            status => *outcome.failed.entry(status).or_default() += 1,
        }
        if connection.is_closed() {
            *connection = open(target.addr).await?;
        }
        outcome.latency.record(due.elapsed().as_micros() as u64)?;
    }
    Ok(outcome)
}

/// Sends one call and returns the status of its answer, or 0 if no whole answer came.
async fn call(connection: &mut Connection, target: &Target) -> u16 {
    let mut req = Request::get(target.path).header("host", "load");
    if let Some(key) = &target.key {
        req = req.header("x-api-key", key);
    }
    let Ok(req) = req.body(Empty::new()) else { return 0 };
    let answered = async {
        connection.ready().await?;
        let answer = connection.send_request(req).await?;
        let status = answer.status().as_u16();
        answer.into_body().collect().await?;
        Ok::<_, hyper::Error>(status)
    };
    timeout(CALL_TIMEOUT, answered).await.map_or(0, |answered| answered.unwrap_or(0))
}

async fn open(addr: SocketAddr) -> Result<Connection> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (sender, conn) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(conn);
    Ok(sender)
}
