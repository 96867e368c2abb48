//! Chain replication of the control state, and the agreed view that reconfigures the chain. No I/O.
