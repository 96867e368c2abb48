//! The protocol between the fleet's own processes: rmp-serde messages, framed and bounded, and their connections.
