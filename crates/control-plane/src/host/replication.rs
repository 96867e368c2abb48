//! The replicated state: what goes into the replica, and what follows from what it says.

use std::net::SocketAddr;

use crankpick_configuration::RoutingTable;
use crankpick_control::{Entry, Input, Message, Output, Outputs, Record, View, Violation, WriteId};
use crankpick_protocol::ConfigurationVersion;
use slog::{error, info, warn};

use super::Host;
use crate::disk::{Write, Written};
use crate::event::PeerPacket;
use crate::sessions::Current;

/// The file on disk is rewritten past this many times its last rewritten size, and this many bytes.
const REWRITE_RATIO: u64 = 4;
const REWRITE_BYTES: u64 = 2 << 20;
/// Files are never rewritten below this share of the disk.
const REWRITE_LATEST: u64 = 8 << 20;

impl Host {
    pub(super) fn replica(&mut self, input: Input) {
        let now = self.now();
        let mut outputs = Outputs::new();
        self.parts.replica.handle(now, input, &mut outputs);
        self.carry_out(outputs);
        self.operator.settle_reads(now, &self.parts.replica);
    }

    pub(super) fn carry_out(&mut self, outputs: Outputs) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send_message(to, message),
                Output::Persist { write_id, records } => self.persist(write_id, records),
                Output::Answer { key, outcome } => self.operator.end_command(key, outcome),
                Output::Committed(entry) => self.committed(&entry),
                Output::ViewChanged(view) => self.view_changed(&view),
                Output::Violation(violation) => self.violated(&violation),
            }
        }
    }

    /// Tells of a fault of this program: what it says from now on may be wrong.
    fn violated(&self, violation: &Violation) {
        error!(self.parts.log, "an invariant of the control state is broken"; "code" => violation.kind.code(),
            "kind" => ?violation.kind, "epoch" => violation.epoch, "entry" => ?violation.entry);
    }

    pub(super) fn send_message(&mut self, to: SocketAddr, message: Message) {
        self.links.send(to, &PeerPacket::Replica(message));
    }

    pub(super) fn persist(&mut self, write_id: WriteId, records: Vec<Record>) {
        match &self.parts.disk {
            Some(disk) => {
                if !disk.write(Write::Append { write_id: write_id.0, records }) {
                    self.replica(Input::WriteFailed(write_id));
                }
            }
            // Without a disk memory is all there is: it is as safe as the majority's processes.
            None => self.replica(Input::Persisted(write_id)),
        }
    }

    pub(super) fn written(&mut self, written: Written) {
        match written {
            Written::Synced { write_id, bytes } => {
                self.replica(Input::Persisted(WriteId(write_id)));
                self.rewrite_when_long(bytes);
            }
            Written::Refused { write_id } => {
                warn!(self.parts.log, "the disk refused a write"; "code" => "CTL-301");
                self.replica(Input::WriteFailed(WriteId(write_id)));
                self.rewrite_when_long(u64::MAX);
            }
            Written::Rewritten { bytes } => {
                self.rewriting = false;
                self.rewritten_bytes = bytes;
            }
        }
    }

    pub(super) fn rewrite_when_long(&mut self, bytes: u64) {
        let long = (self.rewritten_bytes * REWRITE_RATIO).clamp(REWRITE_BYTES, REWRITE_LATEST);
        if self.rewriting || bytes < long || bytes <= self.rewritten_bytes.saturating_mul(2) {
            return;
        }
        let records = self.parts.replica.snapshot_records();
        if let Some(disk) = self.parts.disk.as_ref().filter(|_| !records.is_empty()) {
            self.rewriting = disk.write(Write::Rewrite { records });
        }
    }

    pub(super) fn committed(&mut self, entry: &Entry) {
        let mark = ConfigurationVersion { position: entry.id.position, generation: entry.command.generation };
        match crankpick_configuration::read(&entry.command.bytes) {
            Ok(configuration) => self.parts.quotas.configure(&RoutingTable::compile(&configuration)),
            Err(wrong) => warn!(self.parts.log, "a committed configuration can't be read"; "cause" => %wrong),
        }
        info!(self.parts.log, "configuration committed"; "generation" => mark.generation);
        self.current = Some(Current::new(mark, entry.command.bytes.clone()));
        self.push();
    }

    pub(super) fn view_changed(&mut self, view: &View) {
        let chain: Vec<String> = view
            .chain
            .iter()
            .filter_map(|id| view.member(*id))
            .map(|member| member.address.ip().to_string())
            .collect();
        info!(self.parts.log, "view"; "epoch" => view.epoch, "members" => view.members.len(),
            "chain" => chain.join(","));
        self.note_homes();
        self.parts.quotas.view_changed(view);
    }
}
