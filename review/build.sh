#!/bin/sh
# Builds the stand-ins that the scripts in review/ start, without a network.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
