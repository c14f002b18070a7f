//! Slopes of health reports and the arbiter.

use eyre::Result;

/// Prints the table of slopes.
pub fn run() -> Result<()> {
    Ok(())
}
