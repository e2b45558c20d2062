#!/bin/sh
# Builds the stand-ins of the scripts in review/, from the standard library only, into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/harness/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = harness ] || rustc --edition 2024 -O -A dead_code -o "target/review/$name" "$source"
done
