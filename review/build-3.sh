#!/bin/sh
# Builds the stand-ins of the cases 11 to 15; run from the root of the project.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2021 -O -o target/review-3 review/support-3/main.rs
