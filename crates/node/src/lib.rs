//! The node process: wires the decision cores to callers, peers, upstreams and the platform.
//!
//! [`run`] is the entry point. `shared` holds the state; each other module is one role or one loop.

mod announce;
mod clock;
mod entry;
mod guard;
mod health;
mod limiter;
mod loads;
mod logging;
mod metrics;
mod owners;
mod peers;
mod records;
mod retries;
mod shared;
mod stop;
mod sync;
mod view;

use std::net::SocketAddr;
use std::sync::Arc;

use caller::CallerConfig;
use eyre::{Context, Result};
use log::info;
use payload::BodyLimits;
use platform::{HttpStore, HttpStoreConfig, ObjectStore};
use settings::Settings;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::announce::Announcer;
use crate::entry::Entry;
use crate::peers::Handler;
use crate::shared::Node;

/// Runs a node until it is told to stop by a signal and has stopped gracefully.
pub fn run(settings: Settings) -> Result<()> {
    logging::start(view::level_filter(settings.log_level), settings.node.name.as_str())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.node.threads)
        .enable_all()
        .build()
        .wrap_err("the runtime could not be started")?;
    runtime.block_on(async {
        let store = Arc::new(HttpStore::new(&settings.platform_url, HttpStoreConfig::default())?);
        serve(settings, store).await
    })?;
    // Blocking calls to the platform may still wait; they change nothing any more.
    runtime.shutdown_background();
    Ok(())
}

async fn serve(settings: Settings, store: Arc<dyn ObjectStore>) -> Result<()> {
    let callers = listen(settings.caller.listen, "callers").await?;
    let peers = listen(settings.peer.listen, "peers").await?;
    let announcements = listen(settings.upstream.listen, "announcements").await?;
    let cfg = CallerConfig {
        max_connections: settings.caller.max_connections as usize,
        max_head_bytes: settings.caller.max_head.0 as usize,
        idle_timeout: settings.caller.idle_timeout,
        body: BodyLimits {
            stall_timeout: settings.caller.idle_timeout,
            max_bytes: settings.caller.max_body.0,
        },
    };
    let node = Node::new(settings, store);
    let operator = view::start(&node)?;
    info!("node {} starts with incarnation {}", node.info().node, node.info().incarnation);

    let handler = Arc::new(Handler { node: Arc::clone(&node) });
    tokio::spawn(peer::serve(peers, node.identity.clone(), handler));
    let announcer = Arc::new(Announcer { node: Arc::clone(&node) });
    tokio::spawn(upstream::serve_announcements(announcements, announcer));
    tokio::spawn(sync::follow_platform(Arc::clone(&node)));
    tokio::spawn(sync::follow_seeds(Arc::clone(&node)));
    tokio::spawn(sync::register(Arc::clone(&node)));
    tokio::spawn(guard::tick(Arc::clone(&node)));
    tokio::spawn(limiter::tick(Arc::clone(&node)));
    tokio::spawn(owners::run(Arc::clone(&node)));
    tokio::spawn(owners::remove_dead_members(Arc::clone(&node)));
    tokio::spawn(health::exchange(Arc::clone(&node)));
    tokio::spawn(health::arbitrate(Arc::clone(&node)));
    tokio::spawn(view::refresh_gauges(Arc::clone(&node)));

    let (close_tx, close_rx) = watch::channel(false);
    let entry = Arc::new(Entry::new(Arc::clone(&node)));
    let serving = tokio::spawn(caller::serve(callers, cfg, entry, close_rx));
    stop::wait_for_request(&node).await?;
    stop::leave(&node, close_tx, serving).await;
    drop(operator);
    Ok(())
}

async fn listen(addr: SocketAddr, whom: &str) -> Result<TcpListener> {
    TcpListener::bind(addr).await.wrap_err_with(|| format!("listening for {whom} on {addr} failed"))
}
