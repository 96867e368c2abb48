//! The connections of the gateways whose home is this process.

use std::collections::BTreeMap;

use crankpick_protocol::{
    compress, ConfigurationUpdate, ConfigurationVersion, ControlPlaneMember, GatewayIdentity, GatewayReport,
    HomeUpdate, TenantGrant,
};
use crankpick_quota::HolderId;
use crankpick_registry::{Cursor, GatewayId, GatewayTotal, Now, Registry};
use tokio::sync::mpsc::Sender;

use crate::event::SessionId;

/// The configuration that gateways should have.
#[derive(Clone, Debug)]
pub struct CurrentConfiguration {
    /// The version.
    pub version: ConfigurationVersion,
    /// The document as the operator sent it.
    pub document: Vec<u8>,
    /// The compressed document.
    pub compressed: Vec<u8>,
}

impl CurrentConfiguration {
    /// Compresses a document in the form sent by the operator.
    pub fn new(version: ConfigurationVersion, document: Vec<u8>) -> Self {
        let compressed = compress(&document);
        CurrentConfiguration { version, document, compressed }
    }
}

/// The state from which updates for all sessions are built.
pub struct UpdateContext<'a> {
    /// The current time.
    pub now: Now,
    /// How long ago the configuration was last known to be the newest one, in milliseconds.
    pub freshness_ms: Option<u32>,
    /// The newest configuration.
    pub current: Option<&'a CurrentConfiguration>,
    /// The registry of backends.
    pub registry: &'a Registry,
    /// The processes that gateways may connect to as their home.
    pub members: &'a [ControlPlaneMember],
    /// The number of live gateways.
    pub gateways: GatewayTotal,
}

/// A gateway's connection.
pub struct Session {
    /// The identity of the gateway.
    pub gateway: GatewayIdentity,
    updates: Sender<HomeUpdate>,
    configuration: Option<ConfigurationVersion>,
    cursor: Option<Cursor>,
    members: Vec<ControlPlaneMember>,
    reported: bool,
    accepts_compressed: bool,
}

impl Session {
    /// The gateway's id as a holder of quota leases.
    pub fn holder_id(&self) -> HolderId {
        HolderId(self.gateway.incarnation)
    }

    /// The gateway's id in the registry.
    pub fn gateway_id(&self) -> GatewayId {
        GatewayId(self.gateway.incarnation)
    }

    /// Sends the updates that this gateway is missing. Returns false if its queue is full or closed.
    fn send_update(
        &mut self,
        answers: Option<u64>,
        grants: Vec<TenantGrant>,
        context: &UpdateContext<'_>,
    ) -> bool {
        let configuration = context.current.filter(|current| Some(current.version) > self.configuration);
        let changes = context.registry.changes_since(context.now, self.cursor);
        let has_changes = Some(changes.cursor) != self.cursor;
        if answers.is_none() && configuration.is_none() && !has_changes && grants.is_empty() {
            return true;
        }
        let new_members = if self.members == context.members { &[] } else { context.members };
        let update = HomeUpdate {
            home: context.registry.process(),
            answers,
            freshness_ms: context.freshness_ms,
            members: new_members.to_vec(),
            configuration: configuration.map(|current| ConfigurationUpdate {
                version: current.version,
                document: if self.accepts_compressed { &current.compressed } else { &current.document }
                    .clone(),
            }),
            changes: (has_changes || answers.is_some()).then_some(changes),
            gateways: context.gateways,
            grants,
        };
        self.configuration = configuration.map(|current| current.version).max(self.configuration);
        self.cursor = update.changes.as_ref().map(|changes| changes.cursor).or(self.cursor);
        if !new_members.is_empty() {
            self.members = new_members.to_vec();
        }
        self.updates.try_send(update).is_ok()
    }
}

/// The open sessions, by connection.
#[derive(Default)]
pub struct Sessions {
    open: BTreeMap<SessionId, Session>,
}

impl Sessions {
    /// Adds a connection. An older connection of the same incarnation is dropped.
    pub fn connected(&mut self, session: SessionId, gateway: GatewayIdentity, updates: Sender<HomeUpdate>) {
        self.open.retain(|_, other| other.gateway != gateway);
        let new_session = Session {
            gateway,
            updates,
            configuration: None,
            cursor: None,
            members: Vec::new(),
            reported: false,
            accepts_compressed: false,
        };
        self.open.insert(session, new_session);
    }

    /// Removes a connection that has ended.
    pub fn disconnected(&mut self, session: SessionId) {
        self.open.remove(&session);
    }

    /// The session of a connection.
    pub fn get(&self, session: SessionId) -> Option<&Session> {
        self.open.get(&session)
    }

    /// Answers a report with the updates that the gateway is missing. A gateway that reads too slowly is disconnected.
    pub fn answer_report(
        &mut self,
        session: SessionId,
        report: &GatewayReport,
        grants: Vec<TenantGrant>,
        context: &UpdateContext<'_>,
    ) {
        let Some(open) = self.open.get_mut(&session) else { return };
        if !open.reported {
            open.reported = true;
            open.configuration = report.configuration;
            open.cursor = report.cursor;
            open.accepts_compressed = report.accepts_compressed;
        }
        if !open.send_update(Some(report.number), grants, context) {
            self.open.remove(&session);
        }
    }

    /// Sends the missing updates to all gateways that have reported.
    pub fn push_changes(&mut self, context: &UpdateContext<'_>) {
        self.open.retain(|_, session| !session.reported || session.send_update(None, Vec::new(), context));
    }

    /// Sends unsolicited grants to one gateway. A gateway that reads too slowly is disconnected, because a dropped grant
    /// would stay reserved for it.
    pub fn push_grants(
        &mut self,
        holder_id: HolderId,
        grants: Vec<TenantGrant>,
        context: &UpdateContext<'_>,
    ) {
        let is_holder = |session: &Session| session.holder_id() == holder_id && session.reported;
        let Some((id, session)) = self.open.iter_mut().find(|(_, session)| is_holder(session)) else {
            return;
        };
        let id = *id;
        if !session.send_update(None, grants, context) {
            self.open.remove(&id);
        }
    }

    /// The identities of the connected gateways.
    pub fn gateways(&self) -> impl Iterator<Item = &GatewayIdentity> {
        self.open.values().map(|session| &session.gateway)
    }
}

#[cfg(test)]
#[path = "../tests/unit/sessions.rs"]
mod tests;
