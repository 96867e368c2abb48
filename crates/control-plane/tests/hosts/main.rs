//! Tests of control-plane processes on loopback addresses, called over HTTP.

mod backend_departures;
mod configuration;
mod departures;
mod disks;
mod isolation;
mod patches;
mod redirects;
mod support;
