#!/bin/sh
# Plays a case of review/ on one commit or several, each in a clone of its own, under conditions that differ between machines.
# The files of review/ stay as they are: a case writes its record into the clone.
#
#   tools/play-review-case.sh CASE [COMMIT...]      # CASE: 1 to 6, 8; HEAD if no commit is named
#
# Prints one line for each run: commit, condition, what the case's script said (0 held, 1 broken, 2 could not run), its verdict.
# Exit code 1 if a run did not hold, 2 for wrong use. CONDITIONS="alone two_cores" plays only these, in this order; some 10 to 75 s
# each.
set -eu

usage() {
    echo "usage: [CONDITIONS=\"...\"] tools/play-review-case.sh CASE [COMMIT...]" >&2
    exit 2
}

repository=$(cd "$(dirname "$0")/.." && pwd)
case_number=${1:-}
[ -n "$case_number" ] && [ -d "$repository/review/$case_number" ] || usage
shift
[ $# -gt 0 ] || set -- HEAD
: "${CONDITIONS:=alone undisturbed two_cores one_core beside_load}"
# Busy loops for each core that a run may use.
loops_per_core=2

folder=$(mktemp -d)
loops=""
stop_loops() {
    for pid in $loops; do kill "$pid" 2>/dev/null || true; done
    loops=""
}
trap 'stop_loops; rm -rf "$folder"' EXIT
trap 'exit 2' INT TERM

start_loops() {
    count=$1
    while [ "$count" -gt 0 ]; do
        sh -c 'while :; do :; done' &
        loops="$loops $!"
        count=$((count - 1))
    done
}

build() { # commit
    git clone -q "$repository" "$folder/clone"
    cd "$folder/clone"
    git -c advice.detachedHead=false checkout -q "$1"
    build_command=$(sed -n 's/^build = "\([^"]*\)".*/\1/p' deploy/system.toml)
    sh -c "$build_command" >"$folder/build.log" 2>&1 || { tail -20 "$folder/build.log" >&2; exit 2; }
    for stand_ins in review/build.sh review/build-2.sh; do
        [ ! -f "$stand_ins" ] || sh "$stand_ins" >>"$folder/build.log" 2>&1 || { tail -20 "$folder/build.log" >&2; exit 2; }
    done
}

play() { # condition
    script="review/$case_number/run.sh"
    case $1 in
        alone) sh "$script" ;;
        undisturbed) TROUBLE=0 sh "$script" ;;
        two_cores) taskset -c 0,1 sh "$script" ;;
        one_core) taskset -c 0 sh "$script" ;;
        beside_load)
            start_loops $((loops_per_core * $(nproc)))
            status=0
            sh "$script" || status=$?
            stop_loops
            return $status
            ;;
        *) echo "no such condition: $1" >&2; exit 2 ;;
    esac
}

failed=0
for commit in "$@"; do
    name=$(git -C "$repository" rev-parse --short "$commit")
    build "$name"
    for condition in $CONDITIONS; do
        status=0
        play "$condition" >/dev/null 2>&1 || status=$?
        [ "$status" = 0 ] || failed=1
        verdict=$(grep -h 'refused and failed\|verdict:\|could not run\|RULE WAS BROKEN\|the rule held' "review/$case_number/record.txt" | tr -s ' \n' ' ')
        echo "$name $condition exit $status:$verdict"
    done
    cd "$repository"
    rm -rf "$folder/clone"
done
exit $failed
