#!/usr/bin/env bash
# Builds the stand-ins and checks of the cases that are scripts, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/cases/Cargo.toml --target-dir target/review
