//! The gateways that have this process for their home, and tenants' quotas.

use crankpick_protocol::{GatewayReport, TenantGrant};
use crankpick_quota::HolderId;
use crankpick_registry::ProcessId;

use super::Host;
use crate::event::{PeerPacket, SessionId};
use crate::quotas::DemandsToSend;
use crate::sessions::{Sessions, Standing};

impl Host {
    pub(super) fn reported(&mut self, session: SessionId, mut report: GatewayReport) {
        let now = self.now();
        let Some(open) = self.sessions.get(session) else { return };
        let (holder, id) = (open.holder(), open.id());
        let (node, zone) = (open.gateway.node.clone(), open.gateway.zone.clone());
        let renewed = self.parts.gateways.renew(now, id, &node, &zone, report.number);
        self.flood(0, renewed);
        let grants = self.parts.quotas.report(now, holder, std::mem::take(&mut report.demands));
        self.with_sessions(|sessions, standing| sessions.answer(session, &report, grants, standing));
        self.look_after_quotas();
    }

    /// Lends on what has come in, and asks owners at once for what gateways still need.
    pub(super) fn look_after_quotas(&mut self) {
        let now = self.now();
        let settled = self.parts.quotas.settle(now);
        self.lend(settled);
        let urgent = self.parts.quotas.urgent_demands(now);
        self.ask_owners(urgent);
    }

    pub(super) fn granted(&mut self, number: u64, grants: Vec<TenantGrant>) {
        let now = self.now();
        let settled = self.parts.quotas.granted(now, number, grants);
        self.lend(settled);
    }

    pub(super) fn lend(&mut self, settled: Vec<(HolderId, TenantGrant)>) {
        for (holder, grant) in settled {
            self.with_sessions(|sessions, standing| sessions.grant(holder, vec![grant], standing));
        }
    }

    pub(super) fn push(&mut self) {
        self.with_sessions(Sessions::push);
    }

    pub(super) fn with_sessions(&mut self, act: impl FnOnce(&mut Sessions, &Standing<'_>)) {
        let now = self.now();
        let freshness = self.parts.replica.freshness(now);
        let standing = Standing {
            now,
            freshness_ms: freshness.map(|age| age.as_millis() as u32),
            current: self.current.as_ref(),
            registry: &self.parts.registry,
            members: &self.homes,
            gateways: self.parts.gateways.total(now),
        };
        act(&mut self.sessions, &standing);
    }

    pub(super) fn ask_owners(&mut self, asked: Vec<DemandsToSend>) {
        let now = self.now();
        for DemandsToSend { to, number, epoch, demands } in asked {
            let home = self.parts.process;
            if to == self.parts.address {
                let others: Vec<ProcessId> = self.peers.processes().collect();
                let fresh = self.parts.replica.freshness(now);
                let grants = self.parts.quotas.own(now, home, epoch, demands, fresh, &others);
                self.granted(number, grants);
            } else {
                self.links.send(to, &PeerPacket::Demands { number, home, epoch, demands });
            }
        }
    }
}
