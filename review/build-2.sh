#!/bin/sh
# Builds the programs of the cases 6 to 10, with their stand-ins, into target/review-2. Needs the tool chain alone:
# they use the standard library only. The programs under test come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
# The project's own proxy, a stand-in of three cases, is a command of the program that the deploy file builds.
[ -x target/release/pondarch ] || cargo build --release --offline
mkdir -p target/review-2
for case in review/[0-9]*/case-2.rs; do
    [ -f "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O "$case" -o "target/review-2/case-$number"
done
