.PHONY: build test lint format run regression

build:
	cargo build --release

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

format:
	cargo fmt --all

# EDGE_CONFIG names the configuration, as in the README.
run: build
	exec target/release/crankpick

# Needs the kit beside the repository; no part of .ci/run. Stops at a broken rule, a crash or a failed gate.
regression:
	deploy/regression
