//! Slopes of the replica and membership.

use eyre::Result;

/// Prints the table of slopes.
pub fn run() -> Result<()> {
    Ok(())
}
