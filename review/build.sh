#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Run after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --package standins ||
    cargo build --release --locked --package standins
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
