//! Handles timer ticks.

use std::time::Duration;

use crankpick_control::Input;
use crankpick_registry::ProcessId;
use slog::{info, warn};

use super::{Host, SLOW_TICKS_PER_PRESENCE, TICKS_PER_SLOW_TICK};
use crate::fault_tolerance::{tolerable_losses, ToleranceChange, LOW_TOLERANCE_CODE};

/// The number of slow ticks between two digests.
const SLOW_TICKS_PER_DIGEST: u64 = 4;
/// A process whose freshness exceeds this counts as isolated from the majority.
const ISOLATION_THRESHOLD: Duration = Duration::from_millis(1_000);

impl Host {
    /// Called at each timer interval.
    pub(super) fn tick(&mut self) {
        self.ticks += 1;
        self.drive_replica(Input::Tick);
        self.operator_requests.expire_commands(self.now(), &self.components.replica);
        self.drive_patches();
        self.expire_announcements();
        self.tick_departures();
        self.process_quotas();
        if self.ticks.is_multiple_of(TICKS_PER_SLOW_TICK) {
            self.slow_tick(self.ticks / TICKS_PER_SLOW_TICK);
        }
    }

    /// Called every `TICKS_PER_SLOW_TICK` ticks, with a number that rises by 1.
    pub(super) fn slow_tick(&mut self, turn: u64) {
        let now = self.now();
        let isolated = self.components.replica.freshness(now).is_none_or(|age| age > ISOLATION_THRESHOLD);
        self.components.registry.set_isolated(now, isolated);
        self.components.gateways.set_isolated(now, isolated);
        self.check_fault_tolerance();
        let changes = self.peers.tick(now);
        self.apply_peer_changes(changes);
        self.expire_registrations();
        self.refresh_quotas();
        if turn.is_multiple_of(SLOW_TICKS_PER_PRESENCE) {
            self.send_presence();
        }
        if turn.is_multiple_of(SLOW_TICKS_PER_DIGEST) {
            self.send_digest();
        }
    }

    /// Announces backends and gateways that have timed out.
    fn expire_registrations(&mut self) {
        let now = self.now();
        let silent_backends = self.components.registry.tick(now);
        let backends_changed = silent_backends.is_some();
        self.announce(0, silent_backends);
        let ended_gateways = self.components.gateways.tick(now);
        self.announce(0, ended_gateways);
        if backends_changed {
            self.push_updates();
        }
    }

    /// Updates the owned quotas, and sends this home's periodic demands.
    fn refresh_quotas(&mut self) {
        let now = self.now();
        let others: Vec<ProcessId> = self.peers.processes().collect();
        let freshness = self.components.replica.freshness(now);
        self.components.quotas.refresh_owned(now, freshness, &others);
        let demands = self.components.quotas.demands(now, freshness);
        self.send_demands(demands);
    }

    /// Reports when the fault tolerance falls below the required level, and when it is restored.
    pub(super) fn check_fault_tolerance(&mut self) {
        let Some(tolerable) = tolerable_losses(&self.components.replica) else { return };
        let required = self.tolerance.required();
        match self.tolerance.observe(self.now(), tolerable) {
            Some(ToleranceChange::Low { tolerable }) => {
                warn!(self.components.log, "the core bears fewer losses than are asked for"; "code" => LOW_TOLERANCE_CODE,
                    "bearable" => tolerable, "asked" => required);
            }
            Some(ToleranceChange::Sufficient { tolerable }) => {
                info!(self.components.log, "the core bears as many losses as are asked for";
                    "bearable" => tolerable, "asked" => required);
            }
            None => {}
        }
    }
}
