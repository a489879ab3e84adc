#!/bin/sh
# Builds the stand-ins that the scripts of review/4 and later start. Needs rustc alone, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -A dead_code -o target/review-2/cases review/stand_ins_2/main.rs
