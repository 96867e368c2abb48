//! Drives the replica: passes inputs to it and performs its outputs.

use std::net::SocketAddr;

use crankpick_configuration::RoutingTable;
use crankpick_control::{Entry, Input, Message, Output, Outputs, Record, View, Violation, WriteId};
use crankpick_protocol::ConfigurationVersion;
use slog::{error, info, warn};

use super::Host;
use crate::disk_message::{WriteRequest, WriteResult};
use crate::event::PeerMessage;
use crate::log_rewriting::RewriteCause;
use crate::sessions::CurrentConfiguration;

/// The code for failing disk writes, in the log and in the status.
pub(crate) const DISK_FAILING_CODE: &str = "CTL-301";
/// The code for a committed configuration that this build can't parse.
const UNREADABLE_CONFIGURATION_CODE: &str = "CTL-304";
/// The code for failing log rewrites, in the log and in the status.
pub(crate) const REWRITE_FAILING_CODE: &str = "CTL-303";

impl Host {
    /// Passes an input to the replica and performs its outputs.
    pub(super) fn drive_replica(&mut self, input: Input) {
        let now = self.now();
        let mut outputs = Outputs::new();
        self.components.replica.handle(now, input, &mut outputs);
        self.perform_outputs(outputs);
        self.operator_requests.answer_reads(now, &self.components.replica);
    }

    pub(super) fn perform_outputs(&mut self, outputs: Outputs) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send_message(to, message),
                Output::Persist { write_id, records } => self.persist(write_id, records),
                Output::Answer { key, outcome } => self.operator_requests.finish_command(key, outcome),
                Output::DepartureAnswer { key, departure } => {
                    self.operator_requests.finish_departure(key, departure);
                }
                Output::Committed(entry) => self.apply_committed(&entry),
                Output::ViewChanged(view) => self.apply_view(&view),
                Output::Violation(violation) => self.report_violation(&violation),
            }
        }
    }

    /// Reports a violated invariant. It indicates a bug in this program, whose later answers may be wrong.
    fn report_violation(&self, violation: &Violation) {
        error!(self.components.log, "an invariant of the control state is violated"; "code" => violation.kind.code(),
            "kind" => ?violation.kind, "epoch" => violation.epoch, "entry" => ?violation.entry);
    }

    pub(super) fn send_message(&mut self, to: SocketAddr, message: Message) {
        self.connections.send(to, &PeerMessage::Replica(message));
    }

    /// Queues records to be made durable. The result is passed to the replica later.
    pub(super) fn persist(&mut self, write_id: WriteId, records: Vec<Record>) {
        match &self.components.disk {
            Some(disk) => {
                if !disk.write(WriteRequest::Append { write_id: write_id.0, records }) {
                    self.drive_replica(Input::WriteFailed(write_id));
                }
            }
            // Without a disk the state is in memory only, and survives as long as a majority of the processes does.
            None => self.drive_replica(Input::Persisted(write_id)),
        }
    }

    /// Passes the result of a write to the replica.
    pub(super) fn handle_write_result(&mut self, result: WriteResult) {
        match result {
            WriteResult::Synced { write_id, bytes } => {
                self.report_disk(Ok(()));
                self.drive_replica(Input::Persisted(WriteId(write_id)));
                self.rewrite_log_if_due(RewriteCause::Length(bytes));
            }
            WriteResult::Failed { write_id, cause } => {
                self.report_disk(Err(&cause));
                self.drive_replica(Input::WriteFailed(WriteId(write_id)));
                self.rewrite_log_if_due(RewriteCause::FailedWrite);
            }
            WriteResult::Rewritten { bytes } => {
                if self.log_rewriting.succeed(bytes) {
                    info!(self.components.log, "rewriting the log on disk has succeeded again"; "bytes" => bytes);
                }
            }
            WriteResult::RewriteFailed { cause } => {
                let now = self.now();
                if self.log_rewriting.fail(now) {
                    warn!(self.components.log, "the log on disk can't be rewritten, will retry later";
                        "code" => REWRITE_FAILING_CODE, "cause" => cause);
                }
            }
        }
    }

    /// Logs when disk writes start to fail, and when they succeed again.
    fn report_disk(&mut self, written: Result<(), &str>) {
        let was_failing = std::mem::replace(&mut self.disk_failing, written.is_err());
        self.log_disk(was_failing, written);
    }

    /// As [`Self::report_disk`], for writes of departures.
    pub(super) fn report_departure_disk(&mut self, written: Result<(), &str>) {
        let was_failing = std::mem::replace(&mut self.departure_disk_failing, written.is_err());
        self.log_disk(was_failing, written);
    }

    fn log_disk(&self, was_failing: bool, written: Result<(), &str>) {
        match written {
            Ok(()) if was_failing => info!(self.components.log, "the disk takes writes again"),
            Err(cause) if !was_failing => {
                warn!(self.components.log, "the disk refuses writes"; "code" => DISK_FAILING_CODE, "cause" => cause);
            }
            _ => {}
        }
    }

    fn rewrite_log_if_due(&mut self, cause: RewriteCause) {
        let Some(disk) = &self.components.disk else { return };
        if !self.log_rewriting.is_due(self.started.elapsed(), cause) {
            return;
        }
        let records = self.components.replica.snapshot_records();
        if disk.write(WriteRequest::Rewrite { records }) {
            self.log_rewriting.begin();
        }
    }

    /// Activates a committed configuration.
    pub(super) fn apply_committed(&mut self, entry: &Entry) {
        let version =
            ConfigurationVersion { position: entry.id.position, generation: entry.command.generation };
        match crankpick_configuration::read(&entry.command.bytes) {
            Ok(configuration) => self.components.quotas.configure(&RoutingTable::compile(&configuration)),
            Err(error) => {
                error!(self.components.log, "a committed configuration can't be read, keeping the previous quotas";
                    "code" => UNREADABLE_CONFIGURATION_CODE, "cause" => %error)
            }
        }
        info!(self.components.log, "configuration committed"; "generation" => version.generation);
        self.current = Some(CurrentConfiguration::new(version, entry.command.bytes.clone()));
        self.push_updates();
    }

    /// Applies a new view to the homes and the quotas.
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
        self.departures_view_changed();
    }
}
