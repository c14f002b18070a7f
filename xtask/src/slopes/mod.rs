//! Slopes that the capacity page is worked out from.

mod config;
mod health;
mod limits;
mod routing;
mod wire;

use eyre::Result;

/// Runs every slope and prints its table.
pub fn run() -> Result<()> {
    config::run()?;
    limits::run()?;
    routing::run()?;
    health::run()?;
    wire::run()
}
