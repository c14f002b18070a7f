//! Runs every test of the workspace.

use std::process::Command;

use eyre::{Result, ensure};

/// Runs the tests and fails if any of them fails.
pub fn run() -> Result<()> {
    println!("building the workspace and running its tests");
    let status = Command::new(env!("CARGO")).args(["test", "--workspace", "--locked"]).status()?;
    ensure!(status.success(), "tests failed: {status}");
    Ok(())
}
