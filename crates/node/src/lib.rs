//! The node process: connects the decision cores to callers, peers, upstreams and the platform.
//!
//! [`run`] is the entry point. The `shared` module holds the state; each other module implements
//! one role or one background task.

mod announce;
mod attempts;
mod call_log;
mod choice;
mod clock;
mod entry;
mod evacuations;
mod explain;
mod gossip;
mod guard;
mod handover;
mod latencies;
mod limiter;
mod loads;
mod logging;
mod metrics;
mod node_record;
mod peers;
mod platform_link;
mod records;
mod reload;
mod retries;
mod retry_limits;
mod rewriting;
mod sending;
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

pub use crate::shared::{Features, Interfaces};

use crate::announce::LocalAnnounceHandler;
use crate::entry::Entry;
use crate::peers::NodeHandler;
use crate::shared::Node;
use crate::stop::StopSignals;

/// Runs a node until a signal or an operator stops it, and returns after the graceful stop. The
/// settings are reloaded when `file` changes.
pub fn run(file: &Path, settings: Settings, interfaces: Interfaces) -> Result<()> {
    logging::start(view::level_filter(settings.log_level), settings.node.name.as_str())?;
    let file = PathBuf::from(file);
    let runtime = runtime(settings.node.threads)?;
    runtime.block_on(async {
        let (stop_signals, hangup) = (StopSignals::install()?, reload::hangup_signal()?);
        let mut running = start(settings, interfaces, None).await?;
        running.tasks.spawn(reload::watch_settings(Arc::clone(&running.node), file, hangup));
        stop_signals.wait_for_request(&running.node).await;
        running.finish().await;
        Ok::<_, eyre::Report>(())
    })?;
    // Blocking calls to the platform may still be in progress; their results are no longer used.
    runtime.shutdown_background();
    logging::flush();
    Ok(())
}

/// Creates the runtime. A single thread uses the current-thread scheduler, which avoids the cost of
/// waking another thread for each call.
fn runtime(threads: usize) -> Result<tokio::runtime::Runtime> {
    let mut builder = match threads {
        1 => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    if threads > 1 {
        builder.worker_threads(threads);
    }
    builder.enable_all().build().wrap_err("failed to start the tokio runtime")
}

/// A node that runs in this process.
pub struct Running {
    node: Arc<Node>,
    /// Tells the caller server to stop.
    close: watch::Sender<bool>,
    caller_server: JoinHandle<()>,
    /// Background tasks, which are aborted on stop.
    tasks: JoinSet<()>,
    /// Dropping it closes the operator port.
    _operator: OperatorPort,
}

impl Running {
    /// Stops gracefully: calls in flight are finished within the allowed stop time.
    pub async fn stop(self) {
        stop::allow_stop_time(&self.node);
        self.finish().await;
    }

    async fn finish(mut self) {
        stop::stop_gracefully(&self.node, self.close, self.caller_server).await;
        self.tasks.shutdown().await;
    }
}

/// Starts a node on the current runtime. `tap` observes all frames to and from other nodes.
///
/// # Errors
///
/// Fails if the node can't listen on one of its addresses.
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
    let operator = view::start_operator_port(&node)?;
    info!("node {} starts with incarnation {}", node.info().node, node.info().incarnation);

    let mut tasks = JoinSet::new();
    for addr in status.into_iter().flatten() {
        tasks.spawn(status::serve(listen(addr, "status").await?, Arc::clone(&node)));
    }
    let handler = Arc::new(NodeHandler { node: Arc::clone(&node) });
    tasks.spawn(peer::serve(peers, node.identity.clone(), handler));
    let announce_handler = Arc::new(LocalAnnounceHandler { node: Arc::clone(&node) });
    let format = Arc::clone(&node.interfaces.announcements);
    tasks.spawn(upstream::serve_announcements(announcements, format, announce_handler));
    tasks.spawn(sync::sync_objects(Arc::clone(&node)));
    tasks.spawn(sync::sync_config(Arc::clone(&node)));
    tasks.spawn(gossip::compare_with_peers(Arc::clone(&node)));
    tasks.spawn(gossip::announce_changes(Arc::clone(&node)));
    tasks.spawn(evacuations::follow_platform(Arc::clone(&node)));
    tasks.spawn(evacuations::compare_with_peers(Arc::clone(&node)));
    tasks.spawn(evacuations::pull_retained(Arc::clone(&node)));
    tasks.spawn(evacuations::announce_changes(Arc::clone(&node)));
    tasks.spawn(node_record::register(Arc::clone(&node)));
    tasks.spawn(node_record::remove_dead_members(Arc::clone(&node)));
    tasks.spawn(rewriting::rewrite_lost_objects(Arc::clone(&node)));
    tasks.spawn(guard::tick(Arc::clone(&node)));
    tasks.spawn(limiter::run_limiter(Arc::clone(&node)));
    tasks.spawn(view::refresh_gauges(Arc::clone(&node)));

    let (close, close_rx) = watch::channel(false);
    let entry = Arc::new(Entry::new(Arc::clone(&node)));
    let caller_server = tokio::spawn(caller::serve(callers, cfg, entry, close_rx));
    Ok(Running { node, close, caller_server, tasks, _operator: operator })
}

fn caller_config(settings: &Settings, interfaces: &Interfaces) -> CallerConfig {
    CallerConfig {
        max_connections: settings.caller.max_connections as usize,
        max_head_bytes: settings.caller.max_head.0 as usize,
        idle_timeout: settings.caller.idle_timeout,
        head_timeout: None,
        body: BodyLimits {
            stall_timeout: settings.caller.idle_timeout,
            max_bytes: settings.caller.max_body.0,
        },
        names: interfaces.headers,
    }
}

async fn listen(addr: SocketAddr, purpose: &str) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .wrap_err_with(|| format!("failed to listen for {purpose} on {addr}"))
}
