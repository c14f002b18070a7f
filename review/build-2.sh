#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10. It needs the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 --crate-name review_2 review/harness-2/main.rs -o target/review-2/review-2
