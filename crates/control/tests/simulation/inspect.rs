//! Looking at a world from outside.

use crankpick_control::{
    Command, Entry, EntryHeader, EntryId, MemberId, Options, Record, RecordBody, Replica,
};

use super::{ms, World};

impl World {
    /// Everything that must hold whenever a replica says that it is fresh.
    pub(super) fn check_freshness(&mut self, place: usize) {
        let node = &self.nodes[place];
        let Some(replica) = &node.replica else { return };
        let Some(age) = replica.freshness(self.now.saturating_sub(node.booted)) else { return };
        let generation = replica.newest_committed().map_or(0, |entry| entry.command.generation);
        self.checks.read(self.now, self.now.saturating_sub(age), place, generation);
    }

    /// An entry that is committed, for the first time that anyone says so, is synced on enough disks.
    pub(super) fn check_durable(&mut self, entry: &Entry) {
        if !self.checks.knows(entry) {
            self.check_copies("committed", &entry.command);
        }
    }

    /// More disks hold or held a command than may be lost.
    pub(super) fn check_copies(&mut self, what: &str, command: &Command) {
        let holds = |place: &usize| self.changes_on_disk(*place).iter().any(|change| change.is_of(command));
        let disks = (0..self.nodes.len()).filter(holds).count();
        let held = |copies: &&Vec<EntryHeader>| copies.iter().any(|change| change.is_of(command));
        let lost = self.lost_copies.iter().filter(held).count();
        if disks + lost <= self.tolerate {
            let (if_match, generation) = (command.if_match, command.generation);
            let text = format!("{:?}: {what} on {disks} disks: {generation} on {if_match}", self.now);
            self.checks.breaches.push(text);
        }
    }

    /// The changes that a process started from that disk would know.
    pub(super) fn changes_on_disk(&self, place: usize) -> Vec<EntryHeader> {
        let node = &self.nodes[place];
        if node.disk.is_empty() {
            return Vec::new();
        }
        let decoded = node.disk.iter().map(|bytes| Record::decode(bytes).expect("a sound record"));
        let replica = Replica::restore(ms(0), self.options(place, 0), decoded.collect(), &mut Vec::new());
        let snapshots = replica.snapshot_records().into_iter();
        let changes = snapshots.filter_map(|record| match record.body {
            RecordBody::Snapshot(snapshot) => Some(snapshot.headers),
            _ => None,
        });
        changes.flatten().collect()
    }

    /// Whether a majority of a view's members would know it after a restart: before that, what the view before it lacked
    /// isn't made up for.
    pub fn is_entered_for_good(&self, view: &crankpick_control::View) -> bool {
        let knows = |place: &usize| {
            let decoded = self.nodes[*place].disk.iter().map(|bytes| Record::decode(bytes).expect("sound"));
            let options = self.options(*place, 0);
            let restored = Replica::restore(ms(0), options, decoded.collect(), &mut Vec::new());
            view.member(restored.id()).is_some() && restored.view().epoch == view.epoch
        };
        let known = (0..self.nodes.len()).filter(|place| !self.nodes[*place].disk.is_empty()).filter(knows);
        known.count() >= view.majority()
    }

    pub(super) fn options(&self, place: usize, entropy: u64) -> Options {
        let node = &self.nodes[place];
        Options {
            address: node.address,
            zone: node.zone.clone(),
            seeds: node.seeds.clone(),
            bootstrap: node.bootstrap,
            durable: node.durable,
            tolerate_nodes: self.tolerate,
            tolerate_zones: 0,
            entropy,
            timing: self.timing,
        }
    }

    pub fn is_fresh(&self, place: usize) -> bool {
        let node = &self.nodes[place];
        let age =
            node.replica.as_ref().and_then(|replica| replica.freshness(self.now.saturating_sub(node.booted)));
        age.is_some_and(|age| age <= ms(600))
    }

    /// The highest view that any process is in.
    pub fn newest_view(&self) -> crankpick_control::View {
        let replicas = self.nodes.iter().filter_map(|node| node.replica.as_ref());
        replicas.map(|replica| replica.view().clone()).max_by_key(|view| view.epoch).unwrap_or_default()
    }

    pub fn place_of(&self, id: MemberId) -> Option<usize> {
        self.nodes.iter().position(|node| node.replica.as_ref().is_some_and(|replica| replica.id() == id))
    }

    /// Whether the disk of some machine still belongs to that member.
    pub fn holds(&self, id: MemberId) -> bool {
        self.nodes.iter().any(|node| !node.disk.is_empty() && node.identity == Some(id))
    }

    /// How many disks were lost lately.
    pub fn disks_lost_within(&self, span: std::time::Duration) -> usize {
        self.lost_disks.iter().filter(|at| self.now <= **at + span).count()
    }

    pub fn note_lost(&mut self) {
        self.lost_disks.push(self.now);
    }

    /// Machines whose process runs and whose disk is well.
    pub fn well(&self) -> Vec<usize> {
        let well = |place: &usize| {
            let node = &self.nodes[*place];
            node.replica.is_some() && !node.frozen && node.durable && node.mode == super::DiskMode::Well
        };
        (0..self.nodes.len()).filter(well).collect()
    }

    /// A dump for the reader of a failure.
    pub fn describe(&self) -> String {
        let mut text = format!("at {:?}\n", self.now);
        for (place, node) in self.nodes.iter().enumerate() {
            let Some(replica) = &node.replica else {
                text += &format!("  {place}: down\n");
                continue;
            };
            let committed = replica.newest_committed().map(|entry| entry.id).unwrap_or(EntryId::default());
            let chain: Vec<Option<usize>> =
                replica.view().chain.iter().map(|id| self.place_of(*id)).collect();
            let members: Vec<String> =
                replica.view().members.iter().map(|member| member.address.ip().to_string()).collect();
            text += &format!(
                "  {place}: id {:x} epoch {} chain {chain:?} members {members:?} committed {committed:?} frozen {} disk {:?}\n",
                replica.id().0, replica.view().epoch, node.frozen, node.mode
            );
        }
        text
    }
}
