#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts; needs rustc and no crate.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/standins review/support-2/src/main.rs
