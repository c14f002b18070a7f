//! The zinniacross binary.

fn main() {}
