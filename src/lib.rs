//! The decisions of a load-balancing proxy: `balance` decides, `interface` is what it speaks,
//! `kept` is what it remembers.

pub mod balance;
pub mod interface;
mod kept;
