//! Slopes that the capacity page is worked out from.

mod config;
mod limits;
mod routing;
mod wire;

use std::thread;

use eyre::{Result, eyre};

/// Runs every slope and prints its table.
pub fn run() -> Result<()> {
    config::run()?;
    run_apart(limits::run)?;
    run_apart(routing::run)?;
    wire::run()
}

/// Runs slopes on a thread of their own, to which the allocator gives memory of its own. Memory that
/// earlier slopes have freed would be used again and hide what is measured.
fn run_apart(slopes: fn() -> Result<()>) -> Result<()> {
    thread::spawn(slopes).join().map_err(|_| eyre!("a slope has panicked"))?
}
