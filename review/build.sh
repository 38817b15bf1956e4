#!/bin/sh
# Builds the stand-ins of the script cases. Needs the Rust toolchain only, and no network.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review"
rustc --edition 2021 -O -o "$root/target/review/world" "$root/review/standins/world.rs"
