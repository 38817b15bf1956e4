#!/bin/sh
# Builds the stand-ins and the programs of the cases 11 to 14 with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
rustc --edition 2024 -O --crate-type rlib --crate-name lab -o "$out/liblab.rlib" review/standins-3/lab.rs
for number in 11 12 13 14; do
    source="review/$number/case.rs"
    if [ -f "$source" ]; then
        rustc --edition 2024 -O --crate-name "case_$number" --extern "lab=$out/liblab.rlib" \
            -o "$out/case-$number" "$source"
    fi
done
