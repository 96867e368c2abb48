//! The decisions of a load-balancing proxy: `balance` decides, `interface` is what it speaks.

pub mod balance;
pub mod interface;
