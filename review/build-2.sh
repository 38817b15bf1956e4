#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file. Needs only the Rust
# compiler and no network. Run from any folder.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standins-2/main.rs -o target/review-2/scenarios
