//! Consensus among the voters, by the `raft` library, with committed entries applied to the fleet's state.
//! Used by `node`. The disk is an argument; a failed write ends this part as a crash would.

use std::collections::BTreeMap;

use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Entry, EntryType, HardState, Message, Snapshot,
};
use raft::{ProgressState, RawNode, SnapshotStatus, StateRole, Storage as _};
use serde::{Deserialize, Serialize};

use crate::lease::Timing;
use crate::messages::Roster;
use crate::state::{Command, Fleet, Outcome};
use crate::storage::{Batch, Disk, Log, PersistentState};

/// Log entries kept before they are compacted into a new snapshot.
const MAX_LOG_ENTRIES: usize = 1_024;
/// How long a snapshot may be in transit, in election timeouts.
const SNAPSHOT_ELECTIONS: usize = 2;
const MAX_MESSAGE_BYTES: u64 = 256 << 10;
const MAX_UNCOMMITTED_BYTES: u64 = 4 << 20;

/// The call that a log entry belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Origin {
    seat: u64,
    incarnation: u64,
    call: u64,
}

/// Context of a configuration change: a voter's new disk replaces the old one of the same name.
#[derive(Debug, Serialize, Deserialize)]
struct VoterReplacement {
    name: String,
    seat: u64,
}

/// The results of one call to `pump`.
#[derive(Default)]
pub struct Progress {
    pub messages: Vec<(u64, Vec<u8>)>,
    /// Commands that have taken effect, with the call's number if this process proposed it.
    pub applied: Vec<(Option<u64>, Command, Outcome)>,
    /// Rounds in which a majority has confirmed that this voter leads.
    pub confirmed: Vec<u64>,
    /// Voters whose disk has been replaced.
    pub replaced: Vec<String>,
}

/// A Raft node with the fleet's state as its state machine.
pub struct Consensus {
    raw: RawNode<Log>,
    pub fleet: Fleet,
    conf_state: ConfState,
    applied: u64,
    seat: u64,
    incarnation: u64,
    rng: fastrand::Rng,
    election_ticks: usize,
    /// The term and role for which the election timeout was last drawn.
    timeout_drawn_for: Option<(u64, StateRole)>,
    /// The voters have changed since the snapshot was taken: a new voter could not use it.
    snapshot_outdated: bool,
    /// Snapshots in transit, and for how many ticks.
    snapshot_ticks: BTreeMap<u64, usize>,
    /// Names of senders whose ids are not in the replicated state yet.
    learned_names: BTreeMap<u64, String>,
    /// Confirmed rounds that wait until the state has reached their index.
    pending_reads: Vec<(u64, u64)>,
}

fn encode(message: &impl protobuf::Message) -> Vec<u8> {
    // Serialization fails only for missing required fields, and these messages have none.
    message.write_to_bytes().unwrap_or_default()
}

/// The initial snapshot of the log, identical on all founding voters.
pub fn initial_batch(roster: &Roster) -> Batch {
    let mut snapshot = Snapshot::default();
    snapshot.mut_metadata().index = 1;
    snapshot.mut_metadata().term = 1;
    snapshot.mut_metadata().mut_conf_state().voters = roster.values().copied().collect();
    snapshot.data = postcard::to_stdvec(&Fleet::with_voters(roster.clone())).unwrap_or_default().into();
    let mut hard = HardState::default();
    (hard.term, hard.commit) = (1, 1);
    Batch { hard: Some(hard), snapshot: Some(snapshot), ..Batch::default() }
}

impl Consensus {
    pub fn new(kept: &PersistentState, incarnation: u64, times: &Timing, seed: u64) -> Result<Self, String> {
        let log = kept.log.clone();
        let applied = log.snapshot_index();
        let config = raft::Config {
            id: kept.seat,
            election_tick: times.election_ticks,
            heartbeat_tick: times.heartbeat_ticks,
            applied,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: 64,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            // A leader without contact to a majority steps down, and an isolated voter does not disrupt
            // the others.
            check_quorum: true,
            pre_vote: true,
            ..raft::Config::default()
        };
        let fleet = decode_state(&log.snapshot)?;
        let conf_state = log.snapshot.get_metadata().get_conf_state().clone();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, log, &logger).map_err(|error| error.to_string())?;
        let (rng, election_ticks) = (fastrand::Rng::with_seed(seed), times.election_ticks);
        let mut consensus = Consensus {
            raw,
            fleet,
            conf_state,
            applied,
            seat: kept.seat,
            incarnation,
            rng,
            election_ticks,
            timeout_drawn_for: None,
            snapshot_outdated: false,
            learned_names: BTreeMap::new(),
            snapshot_ticks: BTreeMap::new(),
            pending_reads: Vec::new(),
        };
        consensus.redraw_election_timeout();
        Ok(consensus)
    }

    /// The library draws the election timeout from an unseeded source. It is drawn again here from the seed,
    /// so that runs are reproducible.
    fn redraw_election_timeout(&mut self) {
        let at = (self.raw.raft.term, self.raw.raft.state);
        if self.timeout_drawn_for != Some(at) {
            self.timeout_drawn_for = Some(at);
            let ticks = self.rng.usize(self.election_ticks..2 * self.election_ticks);
            self.raw.raft.set_randomized_election_timeout(ticks);
        }
    }

    pub fn is_leader(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// Whether it has the log, even if it is not among the voters yet.
    pub fn started(&self) -> bool {
        self.raw.store().snapshot_index() > 0
    }

    pub fn is_voter(&self) -> bool {
        self.conf_state.voters.contains(&self.seat)
    }

    pub fn leader(&self) -> Option<&str> {
        let id = self.raw.raft.leader_id;
        self.voter_name(id).filter(|_| id != raft::INVALID_ID)
    }

    pub fn voter_name(&self, id: u64) -> Option<&str> {
        let seat = self.fleet.seats.iter().find(|(_, seat)| **seat == id).map(|(name, _)| name);
        seat.or_else(|| self.learned_names.get(&id)).map(String::as_str)
    }

    pub fn tick(&mut self) {
        self.raw.tick();
        self.redraw_election_timeout();
        self.retry_snapshots();
    }

    /// The library sends a snapshot once and then waits for a report on it. A lost one would be waited for
    /// indefinitely, so it is reported as failed after a timeout.
    fn retry_snapshots(&mut self) {
        let in_transit = self.raw.raft.prs().iter().filter(|(_, one)| one.state == ProgressState::Snapshot);
        let in_transit: Vec<u64> = in_transit.map(|(id, _)| *id).collect();
        self.snapshot_ticks.retain(|id, _| in_transit.contains(id));
        for id in in_transit {
            let ticks = self.snapshot_ticks.entry(id).or_default();
            *ticks += 1;
            if *ticks > SNAPSHOT_ELECTIONS * self.election_ticks {
                self.snapshot_ticks.remove(&id);
                self.raw.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// Handles a message from the voter of this name.
    pub fn step(&mut self, name: &str, message: &[u8]) {
        let Ok(message) = Message::parse_from_bytes(message) else { return };
        // Ignores a message addressed to a previous disk.
        if message.to == self.seat {
            if self.fleet.seats.get(name) != Some(&message.from) {
                // The sender must be answered before the log tells whose id that is: a new disk knows no
                // voter, and one that was offline knows only the old disk's id.
                self.learned_names.insert(message.from, name.to_owned());
            }
            // The library rejects messages that only its own clock may generate.
            let _ = self.raw.step(message);
            self.redraw_election_timeout();
        }
    }

    pub fn propose(&mut self, call: u64, command: &Command) -> Result<(), String> {
        let origin = Origin { seat: self.seat, incarnation: self.incarnation, call };
        let encoding_error = |error: postcard::Error| error.to_string();
        let (origin, command) = (
            postcard::to_stdvec(&origin).map_err(encoding_error)?,
            postcard::to_stdvec(command).map_err(encoding_error)?,
        );
        self.raw.propose(origin, command).map_err(|error| error.to_string())
    }

    /// Whether the leadership can be confirmed: not before an entry of the current term is committed. A
    /// request made earlier would never be answered.
    pub fn can_confirm(&self) -> bool {
        self.is_leader() && self.raw.raft.commit_to_current_term()
    }

    /// Asks a majority whether this voter still leads. The answer is a confirmed round.
    pub fn request_confirmation(&mut self, round: u64) {
        self.raw.read_index(round.to_be_bytes().to_vec());
    }

    /// Transfers the leadership to the most up-to-date voter before the process ends.
    pub fn transfer_leadership(&mut self) {
        let own = self.seat;
        let progress = self.raw.raft.prs();
        let ready = progress.iter().filter(|(id, one)| **id != own && one.recent_active);
        if let Some(next) = ready.max_by_key(|(_, one)| one.matched).map(|(id, _)| *id) {
            self.raw.transfer_leader(next);
        }
    }

    /// Replaces a voter's old disk by a new one, in a single configuration change that needs a majority of
    /// both configurations. Not while the old disk is still active.
    pub fn replace_voter(&mut self, name: &str, seat: u64) {
        let Some(old) = self.fleet.seats.get(name).copied() else { return };
        let alive = self.raw.raft.prs().get(old).is_some_and(|one| one.recent_active);
        if !self.is_leader() || old == seat || alive || self.raw.raft.has_pending_conf() {
            return;
        }
        let change = |kind, id| {
            let mut one = ConfChangeSingle::default();
            one.set_change_type(kind);
            one.node_id = id;
            one
        };
        let mut both = ConfChangeV2::default();
        both.mut_changes().push(change(ConfChangeType::RemoveNode, old));
        both.mut_changes().push(change(ConfChangeType::AddNode, seat));
        let replaced = VoterReplacement { name: name.to_owned(), seat };
        both.context = postcard::to_stdvec(&replaced).unwrap_or_default().into();
        let _ = self.raw.propose_conf_change(Vec::new(), both);
    }

    /// Writes what must be persisted and then releases the messages that depend on it, until there is nothing
    /// left to do.
    pub fn pump(&mut self, disk: &mut dyn Disk) -> Result<Progress, String> {
        let mut progress = Progress::default();
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            // A leader may send these messages before its own entries are persisted: its own copy counts only
            // once it is.
            queue_messages(&mut progress, ready.take_messages());
            let snapshot = ready.snapshot();
            let batch = Batch {
                entries: ready.entries().clone(),
                hard: ready.hs().cloned(),
                snapshot: (!snapshot.is_empty()).then(|| snapshot.clone()),
                ..Batch::default()
            };
            if !batch.is_empty() {
                disk.write(&batch)?;
                self.raw.mut_store().apply(&batch);
            }
            if let Some(snapshot) = &batch.snapshot {
                self.fleet = decode_state(snapshot)?;
                self.conf_state = snapshot.get_metadata().get_conf_state().clone();
                self.applied = snapshot.get_metadata().index;
            }
            for read in ready.take_read_states() {
                if let Ok(round) = <[u8; 8]>::try_from(read.request_ctx.as_slice()) {
                    self.pending_reads.push((read.index, u64::from_be_bytes(round)));
                }
            }
            self.apply(ready.take_committed_entries(), &mut progress);
            queue_messages(&mut progress, ready.take_persisted_messages());
            let mut light = self.raw.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.raw.mut_store().hard.commit = commit;
            }
            queue_messages(&mut progress, light.take_messages());
            self.apply(light.take_committed_entries(), &mut progress);
            self.raw.advance_apply();
            self.redraw_election_timeout();
        }
        let applied = self.applied;
        self.pending_reads.retain(|(index, round)| {
            if *index <= applied {
                progress.confirmed.push(*round);
            }
            *index > applied
        });
        self.compact(disk)?;
        Ok(progress)
    }

    fn apply(&mut self, entries: Vec<Entry>, progress: &mut Progress) {
        for entry in entries {
            self.applied = entry.index;
            match entry.get_entry_type() {
                EntryType::EntryNormal => {
                    let Ok(command) = postcard::from_bytes::<Command>(&entry.data) else { continue };
                    let origin = postcard::from_bytes::<Origin>(&entry.context).ok();
                    let own = |one: &Origin| (one.seat, one.incarnation) == (self.seat, self.incarnation);
                    let call = origin.filter(own).map(|origin| origin.call);
                    let outcome = self.fleet.apply(command.clone());
                    progress.applied.push((call, command, outcome));
                }
                // Changes are only ever proposed as V2.
                EntryType::EntryConfChange => {}
                EntryType::EntryConfChangeV2 => {
                    if let Ok(change) = ConfChangeV2::parse_from_bytes(&entry.data) {
                        let conf_state = self.raw.apply_conf_change(&change);
                        self.voters_changed(conf_state.ok(), &change.context, progress);
                    }
                }
            }
        }
    }

    fn voters_changed(&mut self, conf_state: Option<ConfState>, context: &[u8], progress: &mut Progress) {
        if let Some(conf_state) = conf_state {
            self.conf_state = conf_state;
        }
        if let Ok(replaced) = postcard::from_bytes::<VoterReplacement>(context) {
            self.fleet.seats.insert(replaced.name.clone(), replaced.seat);
            self.snapshot_outdated = true;
            progress.replaced.push(replaced.name);
        }
    }

    fn compact(&mut self, disk: &mut dyn Disk) -> Result<(), String> {
        let log = self.raw.store();
        let due = self.snapshot_outdated || log.entries.len() > MAX_LOG_ENTRIES;
        if !due || self.applied <= log.snapshot_index() {
            return Ok(());
        }
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = self.applied;
        snapshot.mut_metadata().term = log.term(self.applied).map_err(|error| error.to_string())?;
        snapshot.mut_metadata().set_conf_state(self.conf_state.clone());
        snapshot.data = postcard::to_stdvec(&self.fleet).map_err(|error| error.to_string())?.into();
        let batch = Batch { snapshot: Some(snapshot), ..Batch::default() };
        disk.write(&batch)?;
        self.raw.mut_store().apply(&batch);
        self.snapshot_outdated = false;
        Ok(())
    }
}

fn decode_state(snapshot: &Snapshot) -> Result<Fleet, String> {
    match snapshot.get_metadata().index {
        0 => Ok(Fleet::default()),
        _ => postcard::from_bytes(&snapshot.data).map_err(|error| format!("the agreed state: {error}")),
    }
}

fn queue_messages(progress: &mut Progress, messages: Vec<Message>) {
    progress.messages.extend(messages.iter().map(|message| (message.to, encode(message))));
}
