#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file. They need the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/review-2 review/stand-ins-2/main.rs
