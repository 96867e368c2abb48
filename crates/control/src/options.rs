//! What a replica is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

/// What a replica is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where this process takes internal traffic.
    pub address: SocketAddr,
    /// The zone it runs in.
    pub zone: String,
    /// Where internal traffic of the seeds goes.
    pub seeds: Vec<SocketAddr>,
    /// The whole system starts for the first time.
    pub bootstrap: bool,
    /// This process has a disk and counts for the quorum. One that hasn't only follows, unless nobody has.
    pub durable: bool,
    /// How many members may lose their disks at once.
    pub tolerate_nodes: usize,
    /// How many zones may be lost at once.
    pub tolerate_zones: usize,
    /// Drawn by the host from the system's entropy at each start.
    pub entropy: u64,
    /// How long things take.
    pub timing: Timing,
}

/// How long things take. Only liveness hangs on these figures.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between heartbeats to one peer.
    pub heartbeat: Duration,
    /// A peer that isn't heard, or doesn't hear us, for so long is suspected.
    pub suspect: Duration,
    /// Peers aren't suspected for so long after the start.
    pub start_grace: Duration,
    /// A sync under way for so long makes the disk sick.
    pub disk_sick: Duration,
    /// A disk that nothing was written to for so long is written to, to see whether it is well.
    pub disk_probe: Duration,
    /// A write that was refused is tried again after it.
    pub disk_retry: Duration,
    /// A voter outside the chain must be healthy for so long to be taken back.
    pub take_back: Duration,
    /// A voter out of reach, or with a sick disk, for so long gives its place to a newcomer.
    pub replace: Duration,
    /// A newcomer whose install failed isn't tried again for so long.
    pub postpone: Duration,
    /// Between a joiner's requests, before jitter.
    pub join_retry: Duration,
    /// Between words to seeds while no view is known.
    pub hello: Duration,
    /// How long a proposer waits for those that are healthy but late, once it has a majority.
    pub promise_wait: Duration,
    /// How long a proposer waits for installs, then for votes.
    pub phase: Duration,
    /// Between the delays of those that might propose.
    pub stagger: Duration,
    /// A replica sealed for so long, with no new view, asks for one itself.
    pub sealed: Duration,
    /// A chain that doesn't commit for so long is changed.
    pub stuck: Duration,
    /// Bootstrap waits so long for the last seed.
    pub bootstrap_wait: Duration,
    /// A head with fewer replicas than the losses to be borne ask for takes commands only so long after its start.
    pub few_machines: Duration,
    /// A command without an answer is forwarded again.
    pub forward_retry: Duration,
    /// A command without an answer for so long is unclear.
    pub submit: Duration,
}

/// How long a message of so many bytes may take beyond what a small one does, over the slowest link that is reckoned with:
/// 8 Mbit/s, a microsecond a byte.
pub(crate) fn transfer_time(bytes: usize) -> Duration {
    Duration::from_micros(bytes as u64)
}

impl Default for Timing {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Timing {
            heartbeat: ms(150),
            suspect: ms(700),
            start_grace: ms(1000),
            disk_sick: ms(500),
            disk_probe: ms(1000),
            disk_retry: ms(250),
            take_back: ms(2000),
            replace: ms(3000),
            postpone: ms(2000),
            join_retry: ms(400),
            hello: ms(200),
            promise_wait: ms(60),
            phase: ms(400),
            stagger: ms(150),
            sealed: ms(400),
            stuck: ms(1500),
            bootstrap_wait: ms(2000),
            few_machines: ms(5000),
            forward_retry: ms(600),
            submit: ms(3000),
        }
    }
}
