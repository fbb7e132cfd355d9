#!/usr/bin/env bash
# Case 3. Needs the build of the deploy file and review/build.sh. TROUBLE=0: without the kill.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; takes about 26 s.
set -um
cd "$(dirname "$0")/../.."
[ -x target/release/linenthread-node ] && [ -x target/review/standin ] || { echo "not built" >&2; exit 2; }
# Job control gives the stand-in, and all processes that it starts, a process group of their own, which is ended here.
target/review/standin 3 review/3 &
pid=$!
(sleep 110; kill -KILL -- "-$pid") >/dev/null 2>&1 &
guard=$!
wait "$pid"
code=$?
{ kill -KILL -- "-$guard"; kill -KILL -- "-$pid"; } >/dev/null 2>&1
[ "$code" -le 2 ] || code=2
exit "$code"
