#!/usr/bin/env bash
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/harness ] || [ ! -x target/release/zinniacross ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
exec target/review/harness endless-body review/5/record.txt
