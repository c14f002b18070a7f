//! Slopes of routing and admission decisions.

use eyre::Result;

/// Prints the table of slopes.
pub fn run() -> Result<()> {
    Ok(())
}
