//! The settings of a replica, fixed at its start but for the seeds.

use std::net::SocketAddr;
use std::time::Duration;

/// The settings of a replica.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address this process accepts internal connections on.
    pub address: SocketAddr,
    /// The zone this process runs in.
    pub zone: String,
    /// The internal addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// The whole system starts for the first time: a seed with an empty disk may decide the first view.
    pub bootstrap: bool,
    /// Whether this process has a disk. One without follows and doesn't vote, unless no member has a disk.
    pub durable: bool,
    /// How many members may be lost at once, with their disks.
    pub tolerate_nodes: usize,
    /// How many zones may be lost at once.
    pub tolerate_zones: usize,
    /// The seed of the random generator, drawn by the host from the system's entropy at each start.
    pub entropy: u64,
    /// Intervals and timeouts.
    pub timing: Timing,
}

/// Intervals and timeouts. They decide how fast the system reacts; safety depends on none of them (`docs/control.md`,
/// "Clocks").
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The interval between heartbeats to one peer.
    pub heartbeat_interval: Duration,
    /// The interval between heartbeats to a voter that hasn't been heard since this process started, within
    /// `start_grace_period`.
    pub first_contact_interval: Duration,
    /// A peer is suspected after this time without a heartbeat, or without an echo of ours.
    pub suspicion_timeout: Duration,
    /// No peer is suspected for this long after the start.
    pub start_grace_period: Duration,
    /// The disk is unhealthy once a sync has taken longer than this.
    pub disk_sync_timeout: Duration,
    /// An idle disk is written to after this time, to see that it still takes writes.
    pub disk_check_interval: Duration,
    /// The pause before a failed write is retried.
    pub disk_retry_interval: Duration,
    /// A voter outside the chain must have been healthy for this long to be put back into it.
    pub readmission_delay: Duration,
    /// A voter that has been unhealthy for this long may be replaced by a standby.
    pub replacement_delay: Duration,
    /// A newcomer whose install failed isn't proposed again for this long.
    pub failed_install_delay: Duration,
    /// The interval between a standby's requests to become a voter, before jitter.
    pub join_interval: Duration,
    /// The interval between hellos to the seeds, before jitter.
    pub hello_interval: Duration,
    /// How long a proposer with a majority of promises waits for those of further healthy voters.
    pub promise_grace_period: Duration,
    /// The time limit of each phase of a proposal; installs of large states have longer.
    pub phase_timeout: Duration,
    /// The difference between the delays of two consecutive potential proposers.
    pub proposer_stagger: Duration,
    /// A replica that has been sealed for this long without a new view proposes one itself.
    pub seal_timeout: Duration,
    /// A chain that hasn't committed a pending entry for this long is replaced.
    pub commit_timeout: Duration,
    /// How long the bootstrap waits for the last seed.
    pub bootstrap_timeout: Duration,
    /// How long after its start a head accepts commands at the earliest if its chain has fewer replicas than the losses
    /// to be tolerated ask for.
    pub short_chain_delay: Duration,
    /// The interval after which a command without an answer is forwarded again.
    pub forward_retry_interval: Duration,
    /// A command that has no answer after this time is answered as unknown.
    pub command_timeout: Duration,
}

/// The bandwidth of the slowest supported link, in bytes a microsecond: 8 Mbit/s.
const MIN_LINK_BYTES_PER_MICROSECOND: u64 = 1;

/// How much longer a message of that many bytes may take than a small one, over the slowest supported link.
pub(crate) fn transfer_time(bytes: usize) -> Duration {
    Duration::from_micros(bytes as u64 / MIN_LINK_BYTES_PER_MICROSECOND)
}

impl Default for Timing {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Timing {
            heartbeat_interval: ms(150),
            first_contact_interval: ms(50),
            suspicion_timeout: ms(700),
            start_grace_period: ms(1000),
            disk_sync_timeout: ms(500),
            disk_check_interval: ms(1000),
            disk_retry_interval: ms(250),
            readmission_delay: ms(2000),
            replacement_delay: ms(3000),
            failed_install_delay: ms(2000),
            join_interval: ms(400),
            hello_interval: ms(200),
            promise_grace_period: ms(60),
            phase_timeout: ms(400),
            proposer_stagger: ms(150),
            seal_timeout: ms(400),
            commit_timeout: ms(1500),
            bootstrap_timeout: ms(2000),
            short_chain_delay: ms(5000),
            forward_retry_interval: ms(600),
            command_timeout: ms(3000),
        }
    }
}
