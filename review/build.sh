#!/usr/bin/env bash
# Builds all stand-ins of the review. They use the standard library only: nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
