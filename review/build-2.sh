#!/bin/sh
# Builds the stand-ins of the second review's cases. They use the standard library alone.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/stand-2/Cargo.toml --target-dir target/review-2
