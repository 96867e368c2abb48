//! What comes about as time passes.

use std::time::Duration;

use crankpick_control::Input;
use crankpick_registry::ProcessId;
use slog::{info, warn};

use super::{Host, PRESENCE, SLOW_TICKS};
use crate::resilience::{bearable_losses, Change, TOO_FEW};

/// Slow ticks between digests.
const DIGEST: u64 = 4;
/// After a freshness of more than this the process counts as cut off from the majority.
const ISOLATED: Duration = Duration::from_millis(1_000);

impl Host {
    pub(super) fn tick(&mut self) {
        self.ticks += 1;
        self.replica(Input::Tick);
        self.operator.expire_commands(self.now(), &self.parts.replica);
        self.drive_patches();
        self.settle_floods();
        self.look_after_quotas();
        if self.ticks.is_multiple_of(SLOW_TICKS) {
            self.slow_tick(self.ticks / SLOW_TICKS);
        }
    }

    pub(super) fn slow_tick(&mut self, turn: u64) {
        let now = self.now();
        let isolated = self.parts.replica.freshness(now).is_none_or(|age| age > ISOLATED);
        self.parts.registry.set_isolated(now, isolated);
        self.parts.gateways.set_isolated(now, isolated);
        self.watch_resilience();
        let changes = self.peers.tick(now);
        self.peers_changed(changes);
        let silent = self.parts.registry.tick(now);
        let changed = silent.is_some();
        self.flood(0, silent);
        let ended = self.parts.gateways.tick(now);
        self.flood(0, ended);
        if changed {
            self.push();
        }
        let others: Vec<ProcessId> = self.peers.processes().collect();
        let fresh = self.parts.replica.freshness(now);
        self.parts.quotas.hold(now, fresh, &others);
        let demands = self.parts.quotas.demands(now);
        self.ask_owners(demands);
        if turn.is_multiple_of(PRESENCE) {
            self.say_present();
        }
        if turn.is_multiple_of(DIGEST) {
            self.send_digest();
        }
    }

    pub(super) fn watch_resilience(&mut self) {
        let Some(bearable) = bearable_losses(&self.parts.replica) else { return };
        let asked = self.resilience.asked();
        match self.resilience.note(self.now(), bearable) {
            Some(Change::TooFew { bearable }) => {
                warn!(self.parts.log, "the core bears fewer losses than are asked for"; "code" => TOO_FEW,
                    "bearable" => bearable, "asked" => asked);
            }
            Some(Change::Enough { bearable }) => {
                info!(self.parts.log, "the core bears as many losses as are asked for";
                    "bearable" => bearable, "asked" => asked);
            }
            None => {}
        }
    }
}
