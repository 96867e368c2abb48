//! Backends and gateways under leases, and the distribution of both to subscribers. No I/O.
