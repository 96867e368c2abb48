//! The settings file of a process: read by a library for its format, typed and checked.
