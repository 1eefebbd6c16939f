#!/usr/bin/env bash
# Builds what the scripts start besides the program of the deploy file: the project's emulator of the
# platform, and one program for each case from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --quiet --bin tackhollow-emulator
mkdir -p target/review
for case in review/*/case.rs; do
  n=$(basename "$(dirname "$case")")
  rustc --edition 2024 -O -A warnings -o "target/review/case-$n" "$case"
done
