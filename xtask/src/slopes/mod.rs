//! Slopes that the capacity page is worked out from.

mod config;
mod health;
mod limits;
mod routing;
mod wire;

use std::thread;

use eyre::{Result, eyre};

/// Runs every slope and prints its table.
pub fn run() -> Result<()> {
    config::run()?;
    // The allocator gives a new thread memory of its own. Memory that the replicas have freed would
    // be used again and hide what owner and entry take.
    thread::spawn(limits::run).join().map_err(|_| eyre!("the slopes of the limiter failed"))??;
    routing::run()?;
    health::run()?;
    wire::run()
}
