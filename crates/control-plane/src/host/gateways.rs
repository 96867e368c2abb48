//! Handles the gateways whose home is this process, and tenants' quotas.

use std::net::SocketAddr;

use crankpick_control::Input;
use crankpick_protocol::{GatewayReport, TenantDemand, TenantGrant};
use crankpick_registry::ProcessId;

use super::Host;
use crate::event::{PeerMessage, SessionId};
use crate::quotas::{DemandsToSend, GatewayGrant, OwnerAnswer, ReceivedDemands};
use crate::sessions::{Sessions, UpdateContext};

impl Host {
    /// Renews a gateway's lease and answers its report.
    pub(super) fn handle_report(&mut self, session: SessionId, mut report: GatewayReport) {
        let now = self.now();
        let Some(open) = self.sessions.get(session) else { return };
        let (holder, id) = (open.holder_id(), open.gateway_id());
        let (node, zone) = (open.gateway.node.clone(), open.gateway.zone.clone());
        let renewed = self.components.gateways.renew(now, id, &node, &zone, report.number);
        self.announce(0, renewed);
        let grants = self.components.quotas.report(now, holder, std::mem::take(&mut report.demands));
        self.with_sessions(|sessions, context| sessions.answer_report(session, &report, grants, context));
        self.process_quotas();
    }

    /// Grants quota that has become available, and immediately requests what gateways still need.
    pub(super) fn process_quotas(&mut self) {
        let now = self.now();
        let grants = self.components.quotas.deferred_grants(now);
        self.push_grants(grants);
        let freshness = self.components.replica.freshness(now);
        let urgent = self.components.quotas.urgent_demands(now, freshness);
        self.send_demands(urgent);
    }

    /// Handles an owner's answer to demands sent by this home.
    pub(super) fn handle_grants(&mut self, number: u64, grants: Vec<TenantGrant>) {
        let now = self.now();
        let grants = self.components.quotas.grants_received(now, number, grants);
        self.push_grants(grants);
    }

    /// Sends grants to the gateways waiting for them.
    pub(super) fn push_grants(&mut self, grants: Vec<GatewayGrant>) {
        for GatewayGrant { holder, grant } in grants {
            self.with_sessions(|sessions, context| sessions.push_grants(holder, vec![grant], context));
        }
    }

    /// Sends each gateway the updates that it is missing.
    pub(super) fn push_updates(&mut self) {
        self.with_sessions(Sessions::push_changes);
    }

    /// Calls `action` with the sessions and the state that updates are built from.
    pub(super) fn with_sessions(&mut self, action: impl FnOnce(&mut Sessions, &UpdateContext<'_>)) {
        let now = self.now();
        let freshness = self.components.replica.freshness(now);
        let context = UpdateContext {
            now,
            freshness_ms: freshness.map(|age| age.as_millis() as u32),
            current: self.current.as_ref(),
            registry: &self.components.registry,
            members: &self.homes,
            gateways: self.components.gateways.total(now),
        };
        action(&mut self.sessions, &context);
    }

    /// Handles a home's demands for tenants that this process owns. The home may be this process itself.
    pub(super) fn grant_as_owner(
        &mut self,
        home: ProcessId,
        epoch: u64,
        demands: Vec<TenantDemand>,
    ) -> OwnerAnswer {
        let now = self.now();
        let other_homes: Vec<ProcessId> = self.peers.processes().collect();
        let freshness = self.components.replica.freshness(now);
        let received = ReceivedDemands { home, epoch, demands, other_homes: &other_homes };
        self.components.quotas.grant_as_owner(now, received, freshness)
    }

    /// Handles another home's demands. Demands of an older epoch are refused, and the home is sent the newer view. If the
    /// home's epoch is newer, its view is requested.
    pub(super) fn handle_demands(
        &mut self,
        from: SocketAddr,
        number: u64,
        home: ProcessId,
        epoch: u64,
        demands: Vec<TenantDemand>,
    ) {
        if epoch != self.components.quotas.epoch() {
            self.drive_replica(Input::EpochUsed { address: from, epoch });
        }
        let grants = match self.grant_as_owner(home, epoch, demands) {
            OwnerAnswer::Granted(grants) if grants.is_empty() => return,
            OwnerAnswer::Granted(grants) => grants,
            OwnerAnswer::StaleEpoch => Vec::new(),
            OwnerAnswer::Unconfirmed => return,
        };
        self.connections.send(from, &PeerMessage::QuotaGrants { number, grants });
    }

    /// Sends demands to the owners of their tenants.
    pub(super) fn send_demands(&mut self, pending: Vec<DemandsToSend>) {
        for DemandsToSend { to, number, epoch, demands } in pending {
            let home = self.components.process;
            if to != self.components.address {
                self.connections.send(to, &PeerMessage::QuotaDemands { number, home, epoch, demands });
            } else if let OwnerAnswer::Granted(grants) = self.grant_as_owner(home, epoch, demands) {
                self.handle_own_grants(number, grants);
            }
        }
    }

    /// Handles the grants of this process as an owner to itself as a home. Unlike in a message, no grants is no refusal.
    fn handle_own_grants(&mut self, number: u64, grants: Vec<TenantGrant>) {
        if !grants.is_empty() {
            self.handle_grants(number, grants);
        }
    }
}
