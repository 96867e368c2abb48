//! The decisions of a load-balancing proxy: `balance` decides by what `judge` makes of what `kept` remembers,
//! `interface` is what it speaks, `inbox` how news come in.

pub mod balance;
mod inbox;
pub mod interface;
mod judge;
mod kept;
pub mod retry;
