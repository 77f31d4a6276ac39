#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start. It needs the Rust toolchain and no network: the
# package depends on nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml
