//! The operator's configuration: prost types read from JSON, checked, and compiled into routing tables.
