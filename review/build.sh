#!/usr/bin/env bash
# Builds the stand-ins of the cases: clients, backends, the store and the links.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/cases.rs
