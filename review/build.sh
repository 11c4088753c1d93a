#!/usr/bin/env bash
# Builds the stand-ins of the review with the compiler alone; the programs of the tier are built
# by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/support/main.rs
