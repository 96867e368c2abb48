.PHONY: build test lint format run regression demo fleet-soak work-soak system-soak

build:
	cargo build --release

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked

format:
	cargo fmt --all

# EDGE_CONFIG names the configuration, as in the README.
run: build
	exec target/release/crankpick

# Needs the kit beside the repository; no part of .ci/run. Stops at a broken rule, a crash or a failed gate.
regression:
	deploy/regression

# Three proxies, emulated backends and some load; ends by itself within half a minute.
demo: build
	target/release/crankpick-lab demo

# Twelve minutes: schedules in virtual time, then real processes under drawn faults. SEEDS names the runs.
SEEDS ?= 1 2 3 4 5 6 7 8 9 10
fleet-soak: build
	target/release/crankpick-lab virtual --schedules 20000
	@for seed in $(SEEDS); do \
	  target/release/crankpick-lab owner --seed $$seed --seconds 60 --out target/soak/$$seed || exit 1; \
	done

# Plans under drawn faults: schedules in virtual time, the order at full size, then real processes, half a minute each.
work-soak: build
	target/release/crankpick-lab virtual --work --schedules 10000
	target/release/crankpick-lab order --out target/soak
	@for seed in $(SEEDS); do \
	  target/release/crankpick-lab work --seed $$seed --out target/soak/work-$$seed || exit 1; \
	done

# The router fleet: real processes under drawn troubles, three quarters of a minute a seed (docs/soak.md).
system-soak: build
	@for seed in $(SEEDS); do \
	  target/release/crankpick-soak run --seed $$seed || exit 1; \
	done
