#!/bin/sh
# Builds the stand-ins of the review, with the compiler alone: they use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand-ins/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] || rustc --edition 2021 -O -o "target/review/$name" "$source"
done
