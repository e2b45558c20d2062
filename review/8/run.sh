#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Needs the build of deploy/system.toml and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
[ -x target/review-2/cases ] || { echo "review/build-2.sh has not run"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-2/cases home "$folder" review/8/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
