#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review. No network is needed: the crate has no
# dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/drill-2/Cargo.toml \
    --target-dir target/drill-2
