#!/usr/bin/env bash
# Case 2. Needs the build of the deploy file and review/build.sh. TROUBLE=0: without the kill.
set -u
cd "$(dirname "$0")/../.."
[ -x target/release/linenthread-node ] && [ -x target/review/standin ] || { echo "not built" >&2; exit 2; }
timeout -k 5 110 target/review/standin 2 review/2
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
