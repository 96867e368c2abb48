#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. The programs under test are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand-ins review/stand-ins/main.rs
