//! The node process: wires the decision cores to callers, peers, upstreams and the platform.
//!
//! [`run`] is the entry point. `shared` holds the state; each other module is one role or one loop.

mod announce;
mod attempts;
mod call_log;
mod choice;
mod clock;
mod entry;
mod guard;
mod limiter;
mod loads;
mod logging;
mod metrics;
mod node_record;
mod peers;
mod records;
mod reload;
mod retries;
mod shared;
mod status;
mod stop;
mod sync;
mod upstream_call;
mod view;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use caller::CallerConfig;
use eyre::{Context, Result};
use log::info;
use operator::OperatorPort;
use payload::BodyLimits;
use peer::FrameTap;
use settings::Settings;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

pub use crate::shared::Interfaces;

use crate::announce::Announcer;
use crate::entry::Entry;
use crate::peers::NodeHandler;
use crate::shared::Node;

/// Runs a node until it is told to stop by a signal and has stopped gracefully. The settings are
/// read again from `file` when it changes.
pub fn run(file: &Path, settings: Settings, interfaces: Interfaces) -> Result<()> {
    logging::start(view::level_filter(settings.log_level), settings.node.name.as_str())?;
    let file = PathBuf::from(file);
    let runtime = runtime(settings.node.threads)?;
    runtime.block_on(async {
        let mut running = start(settings, interfaces, None).await?;
        running.loops.spawn(reload::follow(Arc::clone(&running.node), file));
        stop::wait_for_request(&running.node).await?;
        running.stop().await;
        Ok::<_, eyre::Report>(())
    })?;
    // Blocking calls to the platform may still wait; they change nothing any more.
    runtime.shutdown_background();
    logging::flush();
    Ok(())
}

/// One thread serves calls without handing them over between threads, which costs a wake-up each.
fn runtime(threads: usize) -> Result<tokio::runtime::Runtime> {
    let mut builder = match threads {
        1 => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    if threads > 1 {
        builder.worker_threads(threads);
    }
    builder.enable_all().build().wrap_err("the runtime could not be started")
}

/// A node that runs in this process.
pub struct Running {
    node: Arc<Node>,
    close: watch::Sender<bool>,
    serving: JoinHandle<()>,
    loops: JoinSet<()>,
    operator: OperatorPort,
}

impl Running {
    /// Stops gracefully: no call is cut off.
    pub async fn stop(mut self) {
        stop::leave(&self.node, self.close, self.serving).await;
        self.loops.shutdown().await;
        self.operator.stop();
    }
}

/// Starts a node on the current runtime. `tap` sees all frames to and from other nodes.
///
/// Fails if an address can't be listened on.
pub async fn start(
    settings: Settings,
    interfaces: Interfaces,
    tap: Option<Arc<dyn FrameTap>>,
) -> Result<Running> {
    let callers = listen(settings.caller.listen, "callers").await?;
    let peers = listen(settings.peer.listen, "peers").await?;
    let announcements = listen(settings.upstream.listen, "announcements").await?;
    let status = [settings.status.ready, settings.status.metrics];
    let cfg = caller_config(&settings, &interfaces);
    let node = Node::new(settings, interfaces, tap);
    let operator = view::start(&node)?;
    info!("node {} starts with incarnation {}", node.info().node, node.info().incarnation);

    let mut loops = JoinSet::new();
    for addr in status.into_iter().flatten() {
        loops.spawn(status::serve(listen(addr, "status").await?, Arc::clone(&node)));
    }
    let handler = Arc::new(NodeHandler { node: Arc::clone(&node) });
    loops.spawn(peer::serve(peers, node.identity.clone(), handler));
    let announcer = Arc::new(Announcer { node: Arc::clone(&node) });
    let format = Arc::clone(&node.interfaces.announcements);
    loops.spawn(upstream::serve_announcements(announcements, format, announcer));
    loops.spawn(sync::sync_objects(Arc::clone(&node)));
    loops.spawn(sync::sync_config(Arc::clone(&node)));
    loops.spawn(sync::compare_with_peers(Arc::clone(&node)));
    loops.spawn(node_record::register(Arc::clone(&node)));
    loops.spawn(node_record::remove_dead_members(Arc::clone(&node)));
    loops.spawn(guard::tick(Arc::clone(&node)));
    loops.spawn(limiter::tick(Arc::clone(&node)));
    loops.spawn(view::refresh_gauges(Arc::clone(&node)));

    let (close, close_rx) = watch::channel(false);
    let entry = Arc::new(Entry::new(Arc::clone(&node)));
    let serving = tokio::spawn(caller::serve(callers, cfg, entry, close_rx));
    Ok(Running { node, close, serving, loops, operator })
}

fn caller_config(settings: &Settings, interfaces: &Interfaces) -> CallerConfig {
    CallerConfig {
        max_connections: settings.caller.max_connections as usize,
        max_head_bytes: settings.caller.max_head.0 as usize,
        idle_timeout: settings.caller.idle_timeout,
        body: BodyLimits {
            stall_timeout: settings.caller.idle_timeout,
            max_bytes: settings.caller.max_body.0,
        },
        names: interfaces.headers,
    }
}

async fn listen(addr: SocketAddr, whom: &str) -> Result<TcpListener> {
    TcpListener::bind(addr).await.wrap_err_with(|| format!("listening for {whom} on {addr} failed"))
}
