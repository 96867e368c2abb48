//! The fleet's programs: one command line for each role.

fn main() {}
