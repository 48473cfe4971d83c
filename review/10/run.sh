#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/release/kumquat-vm && -x target/review-2/release/review-case-2 ]] || exit 2
exec timeout 110 target/review-2/release/review-case-2 run-503 review/10
