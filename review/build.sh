#!/usr/bin/env bash
# Builds the stand-ins of all scripts into target/review. Needs rustc only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[0-9]/main.rs; do
  case=$(basename "$(dirname "$main")")
  rustc --edition 2024 -O -A warnings -o "target/review/case-$case" "$main"
done
