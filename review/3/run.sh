#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/large_bodies ] || { echo "run review/build.sh first" >&2; exit 2; }
# All that is made beside record.txt is in a folder of its own.
TMPDIR=$(mktemp -d) || exit 2
REVIEW_PIDS=$TMPDIR/pids
export TMPDIR REVIEW_PIDS
: >"$REVIEW_PIDS"
# Ended from outside, it ends what was started, by its ids.
stop() {
    trap - INT TERM
    kill "$case" 2>/dev/null
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$REVIEW_PIDS"
    rm -rf "$TMPDIR"
    exit 2
}
target/review/large_bodies review/3 &
case=$!
trap stop INT TERM
wait "$case"
code=$?
rm -rf "$TMPDIR"
exit "$code"
