#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/4 to review/8: one program of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -A dead_code -o target/review-2/cases review/harness-2/main.rs
