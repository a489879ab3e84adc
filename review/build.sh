#!/bin/sh
# Builds the stand-ins of the review's scripts from review/stand_ins with the standard library alone, into target/review.
# The project's own programs are built as deploy/system.toml says.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review"
rustc --edition 2021 -O -o "$root/target/review/stand_ins.$$" "$root/review/stand_ins/main.rs"
mv "$root/target/review/stand_ins.$$" "$root/target/review/stand_ins"
