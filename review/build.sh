#!/usr/bin/env bash
# Builds the stand-ins of the cases (clients, servers, platform, operator) with the Rust toolchain alone: one file,
# standard library only. Run from anywhere; puts the program under target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin.rs
