//! Soak runs: real processes of the router fleet on loopback, real sockets, traffic, changes of the configuration, and
//! drawn faults that overlap, with invariants judged from outside.
//!
//! | module | job |
//! | --- | --- |
//! | `run`, `report` | one run from its seed to its verdict, and that in words |
//! | `layout`, `process`, `fleet` | machines and addresses, the processes under test, all of them together |
//! | `trouble`, `director` | faults as drawn, and who carries them out |
//! | `client`, `request`, `platform` | clients on kept connections, what they ask, and where their connections go |
//! | `backend` | stand-ins for backends |
//! | `operator`, `configuration`, `patch` | changes, whole or as patches, and reads of the configuration |
//! | `history`, `check`, `departure`, `budget` | what was seen, and the invariants over it |
//! | `wire`, `relay` | HTTP/1.1 on raw sockets; relays that cut and reset |
//! | `log`, `clock`, `error` | the processes' logs, the run's clock, why a run can't be played |

pub mod backend;
pub mod budget;
pub mod check;
pub mod client;
pub mod clock;
pub mod configuration;
pub mod departure;
pub mod director;
pub mod error;
pub mod fleet;
pub mod history;
pub mod layout;
pub mod log;
pub mod operator;
pub mod patch;
pub mod platform;
pub mod process;
pub mod relay;
pub mod report;
pub mod request;
pub mod run;
mod sync;
pub mod trouble;
pub mod wire;
