//! The gateways that have this process for their home.

use std::collections::BTreeMap;

use crankpick_protocol::{
    compress, ConfigurationUpdate, ConfigurationVersion, CoreMember, GatewayIdentity, GatewayReport,
    HomeUpdate, TenantGrant,
};
use crankpick_quota::HolderId;
use crankpick_registry::{Cursor, GatewayId, GatewayTotal, Now, Registry};
use tokio::sync::mpsc::Sender;

use crate::event::SessionId;

/// The configuration that gateways are to have.
#[derive(Clone, Debug)]
pub struct Current {
    /// Which one.
    pub mark: ConfigurationVersion,
    /// Its bytes as sent.
    pub document: Vec<u8>,
    /// The same packed.
    pub packed: Vec<u8>,
}

impl Current {
    /// A configuration as it was sent.
    pub fn new(mark: ConfigurationVersion, document: Vec<u8>) -> Self {
        let packed = compress(&document);
        Current { mark, document, packed }
    }
}

/// What holds for all sessions when an update is made.
pub struct Standing<'a> {
    /// Now.
    pub now: Now,
    /// How long ago the configuration was known to be the newest one, in ms.
    pub freshness_ms: Option<u32>,
    /// The newest configuration.
    pub current: Option<&'a Current>,
    /// All that is known of backends.
    pub registry: &'a Registry,
    /// The control plane's processes.
    pub members: &'a [CoreMember],
    /// The gateways alive.
    pub gateways: GatewayTotal,
}

/// A gateway's connection.
pub struct Session {
    /// Who it is.
    pub gateway: GatewayIdentity,
    updates: Sender<HomeUpdate>,
    configuration: Option<ConfigurationVersion>,
    cursor: Option<Cursor>,
    members: Vec<CoreMember>,
    reported: bool,
    takes_packed: bool,
}

impl Session {
    /// Its name among the holders of leases.
    pub fn holder(&self) -> HolderId {
        HolderId(self.gateway.incarnation)
    }

    /// Its name among the gateways.
    pub fn id(&self) -> GatewayId {
        GatewayId(self.gateway.incarnation)
    }

    /// Tells what this gateway hasn't. False where it takes no more.
    fn tell(&mut self, answers: Option<u64>, grants: Vec<TenantGrant>, standing: &Standing<'_>) -> bool {
        let configuration = standing.current.filter(|current| Some(current.mark) > self.configuration);
        let changes = standing.registry.changes_since(standing.now, self.cursor);
        let moved = Some(changes.cursor) != self.cursor;
        if answers.is_none() && configuration.is_none() && !moved && grants.is_empty() {
            return true;
        }
        let changed_members = if self.members == standing.members { &[] } else { standing.members };
        let update = HomeUpdate {
            home: standing.registry.process(),
            answers,
            freshness_ms: standing.freshness_ms,
            members: changed_members.to_vec(),
            configuration: configuration.map(|current| ConfigurationUpdate {
                mark: current.mark,
                document: if self.takes_packed { &current.packed } else { &current.document }.clone(),
            }),
            changes: (moved || answers.is_some()).then_some(changes),
            gateways: standing.gateways,
            grants,
        };
        self.configuration = configuration.map(|current| current.mark).max(self.configuration);
        self.cursor = update.changes.as_ref().map(|changes| changes.cursor).or(self.cursor);
        if !changed_members.is_empty() {
            self.members = changed_members.to_vec();
        }
        self.updates.try_send(update).is_ok()
    }
}

/// All sessions.
#[derive(Default)]
pub struct Sessions {
    open: BTreeMap<SessionId, Session>,
}

impl Sessions {
    /// A gateway has connected. An older connection of the same incarnation goes.
    pub fn joined(&mut self, session: SessionId, gateway: GatewayIdentity, updates: Sender<HomeUpdate>) {
        self.open.retain(|_, other| other.gateway != gateway);
        let fresh = Session {
            gateway,
            updates,
            configuration: None,
            cursor: None,
            members: Vec::new(),
            reported: false,
            takes_packed: false,
        };
        self.open.insert(session, fresh);
    }

    /// A connection has ended.
    pub fn left(&mut self, session: SessionId) {
        self.open.remove(&session);
    }

    /// The session of that name.
    pub fn get(&self, session: SessionId) -> Option<&Session> {
        self.open.get(&session)
    }

    /// Answers a report.
    pub fn answer(
        &mut self,
        session: SessionId,
        report: &GatewayReport,
        grants: Vec<TenantGrant>,
        standing: &Standing<'_>,
    ) {
        let Some(open) = self.open.get_mut(&session) else { return };
        if !open.reported {
            open.reported = true;
            open.configuration = report.configuration;
            open.cursor = report.cursor;
            open.takes_packed = report.takes_packed;
        }
        if !open.tell(Some(report.number), grants, standing) {
            self.open.remove(&session);
        }
    }

    /// Tells all gateways at once what they haven't.
    pub fn push(&mut self, standing: &Standing<'_>) {
        self.open.retain(|_, session| !session.reported || session.tell(None, Vec::new(), standing));
    }

    /// Tells one gateway what it was granted beyond its report.
    pub fn grant(&mut self, holder: HolderId, grants: Vec<TenantGrant>, standing: &Standing<'_>) {
        let session = self.open.values_mut().find(|session| session.holder() == holder && session.reported);
        if let Some(session) = session {
            session.tell(None, grants, standing);
        }
    }

    /// All gateways.
    pub fn gateways(&self) -> impl Iterator<Item = &GatewayIdentity> {
        self.open.values().map(|session| &session.gateway)
    }
}
