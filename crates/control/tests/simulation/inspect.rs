//! Inspection of the simulated cluster from outside the replicas.

use crankpick_control::{
    Command, Entry, EntryHeader, EntryId, MemberId, Options, Record, RecordBody, Replica,
};

use super::{ms, Simulation};

impl Simulation {
    /// Checks the state of a replica as a read, if the replica reports a freshness.
    pub(super) fn check_freshness(&mut self, index: usize) {
        let node = &self.nodes[index];
        let Some(replica) = &node.replica else { return };
        let Some(age) = replica.freshness(self.now.saturating_sub(node.booted_at)) else { return };
        let generation = replica.newest_committed().map_or(0, |entry| entry.command.generation);
        self.checks.read(self.now, self.now.saturating_sub(age), index, generation);
    }

    /// Checks that an entry is synced on enough disks when it is first reported as committed.
    pub(super) fn check_durable(&mut self, entry: &Entry) {
        if !self.checks.was_committed(entry) {
            self.check_copies("committed", &entry.command);
        }
    }

    /// Checks that more disks hold a command, lost disks included, than may be lost.
    pub(super) fn check_copies(&mut self, what: &str, command: &Command) {
        let holds = |index: &usize| self.changes_on_disk(*index).iter().any(|change| change.is_of(command));
        let disks = (0..self.nodes.len()).filter(holds).count();
        let held = |copies: &&Vec<EntryHeader>| copies.iter().any(|change| change.is_of(command));
        let lost = self.lost_copies.iter().filter(held).count();
        if disks + lost <= self.tolerate {
            let (if_match, generation) = (command.if_match, command.generation);
            let text = format!("{:?}: {what} on {disks} disks: {generation} on {if_match}", self.now);
            self.checks.breaches.push(text);
        }
    }

    /// The entry headers that a process restored from this disk would know.
    pub(super) fn changes_on_disk(&self, index: usize) -> Vec<EntryHeader> {
        let node = &self.nodes[index];
        if node.disk.is_empty() {
            return Vec::new();
        }
        let decoded = node.disk.iter().map(|bytes| Record::decode(bytes).expect("a valid record"));
        let replica = Replica::restore(ms(0), self.options(index, 0), decoded.collect(), &mut Vec::new());
        let snapshots = replica.snapshot_records().into_iter();
        let changes = snapshots.filter_map(|record| match record.body {
            RecordBody::Snapshot(snapshot) => Some(snapshot.headers),
            _ => None,
        });
        changes.flatten().collect()
    }

    /// Whether a majority of the members of a view would know it after a restart. Until then, the members
    /// missing from the previous view are not replaced.
    pub fn is_durably_entered(&self, view: &crankpick_control::View) -> bool {
        let knows = |index: &usize| {
            let decoded =
                self.nodes[*index].disk.iter().map(|bytes| Record::decode(bytes).expect("a valid record"));
            let options = self.options(*index, 0);
            let restored = Replica::restore(ms(0), options, decoded.collect(), &mut Vec::new());
            view.member(restored.id()).is_some() && restored.view().epoch == view.epoch
        };
        let known = (0..self.nodes.len()).filter(|index| !self.nodes[*index].disk.is_empty()).filter(knows);
        known.count() >= view.majority()
    }

    pub(super) fn options(&self, index: usize, entropy: u64) -> Options {
        let node = &self.nodes[index];
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

    pub fn is_fresh(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let age = node
            .replica
            .as_ref()
            .and_then(|replica| replica.freshness(self.now.saturating_sub(node.booted_at)));
        age.is_some_and(|age| age <= ms(600))
    }

    /// The view with the highest epoch of any running process.
    pub fn newest_view(&self) -> crankpick_control::View {
        let replicas = self.nodes.iter().filter_map(|node| node.replica.as_ref());
        replicas.map(|replica| replica.view().clone()).max_by_key(|view| view.epoch).unwrap_or_default()
    }

    pub fn index_of(&self, id: MemberId) -> Option<usize> {
        self.nodes.iter().position(|node| node.replica.as_ref().is_some_and(|replica| replica.id() == id))
    }

    /// Whether some machine still has the disk of this member.
    pub fn has_disk_of(&self, id: MemberId) -> bool {
        self.nodes.iter().any(|node| !node.disk.is_empty() && node.identity == Some(id))
    }

    /// The number of disks lost within the last `span`.
    pub fn disks_lost_within(&self, span: std::time::Duration) -> usize {
        self.lost_disks.iter().filter(|at| self.now <= **at + span).count()
    }

    pub fn record_lost_disk(&mut self) {
        self.lost_disks.push(self.now);
    }

    /// The durable machines whose process runs and whose disk is healthy.
    pub fn healthy(&self) -> Vec<usize> {
        let healthy = |index: &usize| {
            let node = &self.nodes[*index];
            node.replica.is_some()
                && !node.frozen
                && node.durable
                && node.disk_mode == super::DiskMode::Healthy
        };
        (0..self.nodes.len()).filter(healthy).collect()
    }

    /// Describes the state of all nodes, for failure messages.
    pub fn describe(&self) -> String {
        let mut text = format!("at {:?}\n", self.now);
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(replica) = &node.replica else {
                text += &format!("  {index}: down\n");
                continue;
            };
            let committed = replica.newest_committed().map(|entry| entry.id).unwrap_or(EntryId::default());
            let chain: Vec<Option<usize>> =
                replica.view().chain.iter().map(|id| self.index_of(*id)).collect();
            let members: Vec<String> =
                replica.view().members.iter().map(|member| member.address.ip().to_string()).collect();
            text += &format!(
                "  {index}: id {:x} epoch {} chain {chain:?} members {members:?} committed {committed:?} frozen {} disk {:?}\n",
                replica.id().0, replica.view().epoch, node.frozen, node.disk_mode
            );
        }
        text
    }
}
