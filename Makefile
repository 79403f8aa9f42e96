.PHONY: build test lint run example

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
