//! Measures choice of endpoints and the fair queue.

use eyre::Result;

/// Prints the table of measures.
pub fn run() -> Result<()> {
    Ok(())
}
