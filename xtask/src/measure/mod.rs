//! Measurements of the decision cores in virtual time, with their baselines and fixed seeds.

mod calls;
mod health;
mod limits;

use eyre::Result;

/// Runs every measurement and prints its table.
pub fn run() -> Result<()> {
    limits::run()?;
    health::run()?;
    calls::run()
}
