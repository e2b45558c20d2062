#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/big_config ] && [ -x target/system/lynxstair-proxy ] || { echo "not built"; exit 2; }
target/review/big_config review/1
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
