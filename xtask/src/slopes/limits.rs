//! Slopes of limiter decisions.

use eyre::Result;

/// Prints the table of slopes.
pub fn run() -> Result<()> {
    Ok(())
}
