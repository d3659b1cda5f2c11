#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml \
  --target-dir target/review-standins-2
