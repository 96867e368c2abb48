.PHONY: build test lint format run

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
