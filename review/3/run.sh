#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
program=$root/target/review/case-$(basename "$folder")
for needed in "$program" "$root/target/release/tackhollow-gateway" "$root/target/release/tackhollow-emulator"; do
  [ -x "$needed" ] || { echo "missing: $needed" >&2; exit 2; }
done
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout --signal=TERM 115 "$program" "$root" "$folder" "$temporary"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
