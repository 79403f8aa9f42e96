#!/bin/sh
# Builds the stand-ins that the cases start. Needs no network: there are no dependencies.
set -eu
cd "$(dirname "$0")"
cargo build --release --locked --offline --manifest-path stand/Cargo.toml
