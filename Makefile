.PHONY: build test lint run example fleet

build:
	cargo build --release --locked

test:
	sh .ci/run

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# PROXY_CONFIG or PROXY_ENUM in the environment says what to serve.
run: build
	exec target/release/fernspan

example:
	sh example/run.sh

# Thirty real proxies on a calm day, for half a minute; see docs/RIG.md.
fleet:
	cargo build --release --locked -p fernspan -p fernspan-rig
	target/release/fernspan-rig run rig/scenarios/calm.json --report target/fleet.json
	target/release/fernspan-rig plot target/fleet.json --out target/fleet.svg
