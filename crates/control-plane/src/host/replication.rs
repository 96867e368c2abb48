//! Drives the replica: passes inputs to it and performs its outputs.

use std::net::SocketAddr;

use crankpick_configuration::RoutingTable;
use crankpick_control::{Entry, Input, Message, Output, Outputs, Record, View, Violation, WriteId};
use crankpick_protocol::ConfigurationVersion;
use slog::{error, info, warn};

use super::Host;
use crate::disk::{WriteRequest, WriteResult};
use crate::event::PeerMessage;
use crate::sessions::CurrentConfiguration;

/// The log is rewritten when it has grown by this factor since the last rewrite.
const REWRITE_RATIO: u64 = 4;
/// A shorter log isn't rewritten. In bytes.
const MIN_REWRITE_BYTES: u64 = 2 << 20;
/// A longer log is rewritten whatever its growth, if it has at least doubled. In bytes.
const MAX_REWRITE_BYTES: u64 = 8 << 20;

impl Host {
    /// Passes an input to the replica and performs its outputs.
    pub(super) fn drive_replica(&mut self, input: Input) {
        let now = self.now();
        let mut outputs = Outputs::new();
        self.components.replica.handle(now, input, &mut outputs);
        self.apply_outputs(outputs);
        self.operator_requests.answer_reads(now, &self.components.replica);
    }

    pub(super) fn apply_outputs(&mut self, outputs: Outputs) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send_message(to, message),
                Output::Persist { write_id, records } => self.persist(write_id, records),
                Output::Answer { key, outcome } => self.operator_requests.finish_command(key, outcome),
                Output::Committed(entry) => self.apply_committed(&entry),
                Output::ViewChanged(view) => self.apply_view(&view),
                Output::Violation(violation) => self.report_violation(&violation),
            }
        }
    }

    /// Reports a violated invariant, a bug of this program: its later answers may be wrong.
    fn report_violation(&self, violation: &Violation) {
        error!(self.components.log, "an invariant of the control state is broken"; "code" => violation.kind.code(),
            "kind" => ?violation.kind, "epoch" => violation.epoch, "entry" => ?violation.entry);
    }

    pub(super) fn send_message(&mut self, to: SocketAddr, message: Message) {
        self.connections.send(to, &PeerMessage::Replica(message));
    }

    /// Queues records to be made durable. The replica is told the result later.
    pub(super) fn persist(&mut self, write_id: WriteId, records: Vec<Record>) {
        match &self.components.disk {
            Some(disk) => {
                if !disk.write(WriteRequest::Append { write_id: write_id.0, records }) {
                    self.drive_replica(Input::WriteFailed(write_id));
                }
            }
            // Without a disk the state is in memory only: it is as safe as a majority of the processes.
            None => self.drive_replica(Input::Persisted(write_id)),
        }
    }

    /// Tells the replica the result of a write.
    pub(super) fn handle_write_result(&mut self, result: WriteResult) {
        match result {
            WriteResult::Synced { write_id, bytes } => {
                self.drive_replica(Input::Persisted(WriteId(write_id)));
                self.rewrite_if_large(bytes);
            }
            WriteResult::Failed { write_id } => {
                warn!(self.components.log, "the disk refused a write"; "code" => "CTL-301");
                self.drive_replica(Input::WriteFailed(WriteId(write_id)));
                self.rewrite_if_large(u64::MAX);
            }
            WriteResult::Rewritten { bytes } => {
                self.rewriting = false;
                self.rewritten_bytes = bytes;
            }
        }
    }

    /// Rewrites a log of this many bytes if it has grown too long.
    pub(super) fn rewrite_if_large(&mut self, bytes: u64) {
        let threshold = (self.rewritten_bytes * REWRITE_RATIO).clamp(MIN_REWRITE_BYTES, MAX_REWRITE_BYTES);
        if self.rewriting || bytes < threshold || bytes <= self.rewritten_bytes.saturating_mul(2) {
            return;
        }
        let records = self.components.replica.snapshot_records();
        if let Some(disk) = self.components.disk.as_ref().filter(|_| !records.is_empty()) {
            self.rewriting = disk.write(WriteRequest::Rewrite { records });
        }
    }

    /// Puts a committed configuration into force.
    pub(super) fn apply_committed(&mut self, entry: &Entry) {
        let version =
            ConfigurationVersion { position: entry.id.position, generation: entry.command.generation };
        match crankpick_configuration::read(&entry.command.bytes) {
            Ok(configuration) => self.components.quotas.configure(&RoutingTable::compile(&configuration)),
            Err(error) => {
                warn!(self.components.log, "a committed configuration can't be read"; "cause" => %error)
            }
        }
        info!(self.components.log, "configuration committed"; "generation" => version.generation);
        self.current = Some(CurrentConfiguration::new(version, entry.command.bytes.clone()));
        self.push_updates();
    }

    /// Applies a new view to homes and quotas.
    pub(super) fn apply_view(&mut self, view: &View) {
        let chain: Vec<String> = view
            .chain
            .iter()
            .filter_map(|id| view.member(*id))
            .map(|member| member.address.ip().to_string())
            .collect();
        info!(self.components.log, "view"; "epoch" => view.epoch, "members" => view.members.len(),
            "chain" => chain.join(","));
        self.update_homes();
        self.components.quotas.view_changed(view);
    }
}
