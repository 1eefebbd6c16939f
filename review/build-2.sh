#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/8 start: stand-ins that need nothing but the standard
# library. The gateway is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O --crate-name rig -o target/review-2/rig review/rig-2/main.rs
