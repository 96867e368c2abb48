//! The clock by which leases are counted. Used by `run`, and by the test rig, so that its log lines have
//! comparable times.

/// Microseconds since the machine was started, including time asleep. With a clock that stops while the
/// machine sleeps, an owner would wake up and rely on a lease that has long expired.
pub fn now_us() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}
