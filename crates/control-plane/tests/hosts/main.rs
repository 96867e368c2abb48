//! Processes of the control plane on loopback addresses, called over HTTP.

mod departures;
mod disks;
mod isolation;
mod orders;
mod outside;
mod patches;
mod support;
