//! Agreement among the voters by an existing engine (`raft`), with what it decides applied to the fleet's
//! state. Called by `node`; the disk is an argument, and a write that fails ends this part as a crash would.

use std::collections::BTreeMap;

use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Entry, EntryType, HardState, Message, Snapshot,
};
use raft::{ProgressState, RawNode, SnapshotStatus, StateRole, Storage as _};
use serde::{Deserialize, Serialize};

use crate::kept::{Batch, Disk, Kept, Log};
use crate::lease::Times;
use crate::state::{Command, Fleet, Outcome};
use crate::words::Roster;

/// Entries kept beside the snapshot; past it a new snapshot takes their place.
const MOST_ENTRIES: usize = 1_024;
/// How long a snapshot may be on its way, in times to an election.
const SNAPSHOT_ELECTIONS: usize = 2;
const MOST_MESSAGE: u64 = 256 << 10;
const MOST_UNCOMMITTED: u64 = 4 << 20;

/// Which call of which process an entry answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Origin {
    seat: u64,
    incarnation: u64,
    call: u64,
}

/// A voter's disk that takes the place of an older one of the same name.
#[derive(Debug, Serialize, Deserialize)]
struct Replaced {
    name: String,
    seat: u64,
}

/// What came of one step.
#[derive(Default)]
pub struct Progress {
    pub messages: Vec<(u64, Vec<u8>)>,
    /// Commands that have come into force, with the number of the call where it was this process's own.
    pub applied: Vec<(Option<u64>, Command, Outcome)>,
    /// Rounds in which a majority has confirmed that this voter leads.
    pub confirmed: Vec<u64>,
    /// Voters whose disk has been replaced.
    pub replaced: Vec<String>,
}

pub struct Agree {
    raw: RawNode<Log>,
    pub fleet: Fleet,
    conf: ConfState,
    applied: u64,
    seat: u64,
    incarnation: u64,
    rng: fastrand::Rng,
    election_ticks: usize,
    /// The term and role that the time to an election was drawn for.
    drawn: Option<(u64, StateRole)>,
    /// A voter has come that the snapshot does not know: it could not take it.
    outdated: bool,
    /// Snapshots on their way, and for how many ticks.
    sent: BTreeMap<u64, usize>,
    /// Names behind numbers that the agreed state does not tell yet.
    met: BTreeMap<u64, String>,
    /// Confirmed rounds that wait for the state to reach their index.
    reads: Vec<(u64, u64)>,
}

fn bytes(message: &impl protobuf::Message) -> Vec<u8> {
    // Only a message that lacks required fields fails, and these have none.
    message.write_to_bytes().unwrap_or_default()
}

/// The first snapshot of a log: all voters of the founding begin with the same.
pub fn founding(roster: &Roster) -> Batch {
    let mut snapshot = Snapshot::default();
    snapshot.mut_metadata().index = 1;
    snapshot.mut_metadata().term = 1;
    snapshot.mut_metadata().mut_conf_state().voters = roster.values().copied().collect();
    snapshot.data = postcard::to_stdvec(&Fleet::founded(roster.clone())).unwrap_or_default().into();
    let mut hard = HardState::default();
    (hard.term, hard.commit) = (1, 1);
    Batch { hard: Some(hard), snapshot: Some(snapshot), ..Batch::default() }
}

impl Agree {
    pub fn new(kept: &Kept, incarnation: u64, times: &Times, seed: u64) -> Result<Self, String> {
        let log = kept.log.clone();
        let applied = log.before();
        let config = raft::Config {
            id: kept.seat,
            election_tick: times.election_ticks,
            heartbeat_tick: times.heartbeat_ticks,
            applied,
            max_size_per_msg: MOST_MESSAGE,
            max_inflight_msgs: 64,
            max_uncommitted_size: MOST_UNCOMMITTED,
            // A leader that hears no majority steps down, and one cut off doesn't disturb the others.
            check_quorum: true,
            pre_vote: true,
            ..raft::Config::default()
        };
        let fleet = state(&log.snapshot)?;
        let conf = log.snapshot.get_metadata().get_conf_state().clone();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, log, &logger).map_err(|wrong| wrong.to_string())?;
        let (rng, election_ticks) = (fastrand::Rng::with_seed(seed), times.election_ticks);
        let mut agree = Agree {
            raw,
            fleet,
            conf,
            applied,
            seat: kept.seat,
            incarnation,
            rng,
            election_ticks,
            drawn: None,
            outdated: false,
            met: BTreeMap::new(),
            sent: BTreeMap::new(),
            reads: Vec::new(),
        };
        agree.draw();
        Ok(agree)
    }

    /// The engine draws the time to an election from a source nobody can seed: drawn again here, so that runs
    /// can be played twice.
    fn draw(&mut self) {
        let at = (self.raw.raft.term, self.raw.raft.state);
        if self.drawn != Some(at) {
            self.drawn = Some(at);
            let ticks = self.rng.usize(self.election_ticks..2 * self.election_ticks);
            self.raw.raft.set_randomized_election_timeout(ticks);
        }
    }

    pub fn leads(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// Has the log, be it as one that is not yet among the voters.
    pub fn started(&self) -> bool {
        self.raw.store().before() > 0
    }

    pub fn votes(&self) -> bool {
        self.conf.voters.contains(&self.seat)
    }

    pub fn leader(&self) -> Option<&str> {
        let id = self.raw.raft.leader_id;
        self.name(id).filter(|_| id != raft::INVALID_ID)
    }

    pub fn name(&self, id: u64) -> Option<&str> {
        let seat = self.fleet.seats.iter().find(|(_, seat)| **seat == id).map(|(name, _)| name);
        seat.or_else(|| self.met.get(&id)).map(String::as_str)
    }

    pub fn tick(&mut self) {
        self.raw.tick();
        self.draw();
        self.snapshots_again();
    }

    /// The engine sends a snapshot once and then waits for word of it: one that got lost would be waited for for
    /// good.
    fn snapshots_again(&mut self) {
        let sent = self.raw.raft.prs().iter().filter(|(_, one)| one.state == ProgressState::Snapshot);
        let sent: Vec<u64> = sent.map(|(id, _)| *id).collect();
        self.sent.retain(|id, _| sent.contains(id));
        for id in sent {
            let ticks = self.sent.entry(id).or_default();
            *ticks += 1;
            if *ticks > SNAPSHOT_ELECTIONS * self.election_ticks {
                self.sent.remove(&id);
                self.raw.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// Takes a message in that a voter of this name has sent.
    pub fn step(&mut self, name: &str, message: &[u8]) {
        let Ok(message) = Message::parse_from_bytes(message) else { return };
        // One for the disk that was here before this one.
        if message.to == self.seat {
            if self.fleet.seats.get(name) != Some(&message.from) {
                // It must be answered before the log can tell whose number that is: a new disk knows nobody, and
                // one that was away knows an old disk's.
                self.met.insert(message.from, name.to_owned());
            }
            // The engine refuses what only its own clock may say.
            let _ = self.raw.step(message);
            self.draw();
        }
    }

    pub fn propose(&mut self, call: u64, command: &Command) -> Result<(), String> {
        let origin = Origin { seat: self.seat, incarnation: self.incarnation, call };
        let coded = |wrong: postcard::Error| wrong.to_string();
        let (origin, command) =
            (postcard::to_stdvec(&origin).map_err(coded)?, postcard::to_stdvec(command).map_err(coded)?);
        self.raw.propose(origin, command).map_err(|wrong| wrong.to_string())
    }

    /// Whether the lead can be confirmed yet: not before an entry of its own term is agreed, and what is asked
    /// sooner is never answered.
    pub fn confirms(&self) -> bool {
        self.leads() && self.raw.raft.commit_to_current_term()
    }

    /// Asks a majority whether this voter still leads; the answer comes as a confirmed round.
    pub fn confirm(&mut self, round: u64) {
        self.raw.read_index(round.to_be_bytes().to_vec());
    }

    /// Hands the lead on before the process ends.
    pub fn hand_on(&mut self) {
        let own = self.seat;
        let progress = self.raw.raft.prs();
        let ready = progress.iter().filter(|(id, one)| **id != own && one.recent_active);
        if let Some(next) = ready.max_by_key(|(_, one)| one.matched).map(|(id, _)| *id) {
            self.raw.transfer_leader(next);
        }
    }

    /// A new disk under a voter's name: the old one goes and this comes, in one change of the voters that needs
    /// a majority of both. Not while the old one is heard from.
    pub fn replace(&mut self, name: &str, seat: u64) {
        let Some(old) = self.fleet.seats.get(name).copied() else { return };
        let alive = self.raw.raft.prs().get(old).is_some_and(|one| one.recent_active);
        if !self.leads() || old == seat || alive || self.raw.raft.has_pending_conf() {
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
        let replaced = Replaced { name: name.to_owned(), seat };
        both.context = postcard::to_stdvec(&replaced).unwrap_or_default().into();
        let _ = self.raw.propose_conf_change(Vec::new(), both);
    }

    /// Writes what must be written, then says what may be said, until nothing is left to do.
    pub fn pump(&mut self, disk: &mut dyn Disk) -> Result<Progress, String> {
        let mut progress = Progress::default();
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            // A leader's messages may go before its own entries are kept: they count its copy only once it is.
            say(&mut progress, ready.take_messages());
            let snapshot = ready.snapshot();
            let batch = Batch {
                entries: ready.entries().clone(),
                hard: ready.hs().cloned(),
                snapshot: (!snapshot.is_empty()).then(|| snapshot.clone()),
                ..Batch::default()
            };
            if !batch.is_empty() {
                disk.write(&batch)?;
                self.raw.mut_store().absorb(&batch);
            }
            if let Some(snapshot) = &batch.snapshot {
                self.fleet = state(snapshot)?;
                self.conf = snapshot.get_metadata().get_conf_state().clone();
                self.applied = snapshot.get_metadata().index;
            }
            for read in ready.take_read_states() {
                if let Ok(round) = <[u8; 8]>::try_from(read.request_ctx.as_slice()) {
                    self.reads.push((read.index, u64::from_be_bytes(round)));
                }
            }
            self.apply(ready.take_committed_entries(), &mut progress);
            say(&mut progress, ready.take_persisted_messages());
            let mut light = self.raw.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.raw.mut_store().hard.commit = commit;
            }
            say(&mut progress, light.take_messages());
            self.apply(light.take_committed_entries(), &mut progress);
            self.raw.advance_apply();
            self.draw();
        }
        let applied = self.applied;
        self.reads.retain(|(index, round)| {
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
                // Changes are proposed in the second form only.
                EntryType::EntryConfChange => {}
                EntryType::EntryConfChangeV2 => {
                    if let Ok(change) = ConfChangeV2::parse_from_bytes(&entry.data) {
                        let conf = self.raw.apply_conf_change(&change);
                        self.changed(conf.ok(), &change.context, progress);
                    }
                }
            }
        }
    }

    fn changed(&mut self, conf: Option<ConfState>, context: &[u8], progress: &mut Progress) {
        if let Some(conf) = conf {
            self.conf = conf;
        }
        if let Ok(replaced) = postcard::from_bytes::<Replaced>(context) {
            self.fleet.seats.insert(replaced.name.clone(), replaced.seat);
            self.outdated = true;
            progress.replaced.push(replaced.name);
        }
    }

    fn compact(&mut self, disk: &mut dyn Disk) -> Result<(), String> {
        let log = self.raw.store();
        let due = self.outdated || log.entries.len() > MOST_ENTRIES;
        if !due || self.applied <= log.before() {
            return Ok(());
        }
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = self.applied;
        snapshot.mut_metadata().term = log.term(self.applied).map_err(|wrong| wrong.to_string())?;
        snapshot.mut_metadata().set_conf_state(self.conf.clone());
        snapshot.data = postcard::to_stdvec(&self.fleet).map_err(|wrong| wrong.to_string())?.into();
        let batch = Batch { snapshot: Some(snapshot), ..Batch::default() };
        disk.write(&batch)?;
        self.raw.mut_store().absorb(&batch);
        self.outdated = false;
        Ok(())
    }
}

fn state(snapshot: &Snapshot) -> Result<Fleet, String> {
    match snapshot.get_metadata().index {
        0 => Ok(Fleet::default()),
        _ => postcard::from_bytes(&snapshot.data).map_err(|wrong| format!("the agreed state: {wrong}")),
    }
}

fn say(progress: &mut Progress, messages: Vec<Message>) {
    progress.messages.extend(messages.iter().map(|message| (message.to, bytes(message))));
}
