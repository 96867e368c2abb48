//! The clock that leases are counted by. Called by `run`, and by the rig, whose lines bear the same times.

/// Microseconds since the machine was started, its sleep included: a clock that stands still while the machine
/// sleeps would let an owner wake up and believe in a lease that has long run out.
pub fn now_us() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}
