#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start: one file each, with the standard library alone.
# The programs under test are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/quota-home review/4/stand_in.rs
