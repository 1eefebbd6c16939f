#!/usr/bin/env bash
# Builds what the scripts start besides the program of the deploy file: the project's emulator of the
# platform, and small programs of the cases from the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --quiet --bin tackhollow-emulator
mkdir -p target/review
for source in review/[0-9]*/*.rs; do
  n=$(basename "$(dirname "$source")")
  rustc --edition 2024 -O -A warnings -o "target/review/$(basename "$source" .rs)-$n" "$source"
done
