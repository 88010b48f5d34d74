#!/usr/bin/env bash
# Builds the stand-ins and the driver of each case, with the tool chain's compiler alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for case in [0-9]*/case.rs; do
    name="case-$(dirname "$case")"
    rustc --edition 2024 -O -o "bin/$name" --crate-name "${name//-/_}" "$case"
done
