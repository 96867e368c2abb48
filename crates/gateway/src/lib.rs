//! The data plane: clients' requests and streams to backends.
