#!/bin/sh
# Draws days from all kinds of trouble and plays them on a deployment, several at a time.
#
#   FLEETBENCH=.../fleetbench tools/play-drawn-days.sh SITE [FIRST_SEED [COUNT [JOBS]]]      # 1, 20, 4 if left out
#
# Prints a line for each day, in the order of their ends: its seed, and what the bench says of it. Exit code 1 if a day broke a
# rule or was not played, 2 for wrong use.
set -eu

usage() {
    echo "usage: FLEETBENCH=PROGRAM tools/play-drawn-days.sh SITE [FIRST_SEED [COUNT [JOBS]]]" >&2
    exit 2
}

cd "$(dirname "$0")/.."
site=${1:-}
first=${2:-1}
count=${3:-20}
jobs=${4:-4}
[ -f "$site" ] && [ -x "${FLEETBENCH:-}" ] || usage

cargo build --release --locked -q -p magpieline-scenarios
"$FLEETBENCH" build >&2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
trap 'exit 2' INT TERM
target/release/draw-days --days "$count" --seed "$first" --out "$folder" >&2

# Plays one day. The bench's line of figures begins with the day's name; a rule that was broken is named in capitals.
cat >"$folder/play.sh" <<'PLAY'
day=$1
name=$(basename "$day" .toml)
"$FLEETBENCH" run "$SITE" "$day" --why "drawn day $name" >"$day.out" 2>&1 || true
figures=$(grep -E "^$name " "$day.out" | tr -s ' ' || true)
rules='MIXED|UNASKED|TWICE|REFUSED|DENIED|ROUTE|DRAIN|LOST|CONFIG|BUDGET|EXPOSURE|RECOVER|GONE'
broken=$(grep -oE "\\b($rules)\\b" "$day.out" | sort -u | tr '\n' ' ' || true)
echo "${figures:-$name was not played: $(tail -1 "$day.out")}${broken:+ BROKEN: $broken}"
PLAY
export SITE="$site" FLEETBENCH
find "$folder" -name '*.toml' | sort | xargs -P "$jobs" -I '{}' sh "$folder/play.sh" '{}' | tee "$folder/lines"
! grep -qE 'BROKEN|was not played' "$folder/lines"
