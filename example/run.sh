#!/bin/sh
# Starts the toy name server and the proxy, asks for two numbers, and ends what it started.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --bin fernspan --example toy
toy=target/release/examples/toy
"$toy" serve 127.0.0.1:5401 &
server=$!
PROXY_ENUM=example/enum.json target/release/fernspan &
proxy=$!
trap 'kill "$proxy" "$server"' EXIT
sleep 0.5
"$toy" ask 127.0.0.1:5454 +42123
"$toy" ask 127.0.0.1:5454 +42124
