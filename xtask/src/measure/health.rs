//! Measures detection and ejection.

use eyre::Result;

/// Prints the table of measures.
pub fn run() -> Result<()> {
    Ok(())
}
