//! Measures rate limits.

use eyre::Result;

/// Prints the table of measures.
pub fn run() -> Result<()> {
    Ok(())
}
