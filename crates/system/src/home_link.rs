//! The gateway's connections to the control plane: one to its home, for a moment another while it changes homes.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crankpick_configuration::RoutingTable;
use crankpick_gateway::Shared;
use crankpick_protocol::{
    decompress, dial, Caller, ConfigurationUpdate, ConfigurationVersion, DialOptions, FrameReader,
    FrameWriter, GatewayIdentity, GatewayReport, Handshake, HomeUpdate, ProtocolError, TenantDemand,
};
use crankpick_quota::GrantSource;
use crankpick_registry::{
    GatewayCount, HomeAction, HomeAnswer, HomeCandidate, HomeChoice, HomeChoiceSettings, Now, TableBuilder,
};
use crankpick_settings::Settings;
use slog::{info, warn, Logger};
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::time::{sleep_until, timeout, Instant};

/// Between two reports.
const REPORT: Duration = Duration::from_millis(250);
const CONNECT: Duration = Duration::from_millis(700);
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A home answers each report: one that is silent for so long is gone.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Reports that wait for a home.
const REPORTS: usize = 8;
const EVENTS: usize = 256;
/// Updates of a home that isn't followed yet.
const HELD: usize = 16;
/// Reports whose answers may still come.
const SENT: usize = 64;
/// A configuration this fresh is as good as the newest.
const FRESH: Duration = Duration::from_millis(600);
/// A process that has heard of no fresh configuration serves by what there is after this time.
const FIRST_STALE: Duration = Duration::from_millis(300);

enum Event {
    Told(SocketAddr, HomeUpdate),
    Closed(SocketAddr),
}

struct Connection {
    reports: Sender<GatewayReport>,
    sent: VecDeque<(u64, Now)>,
    last_sent: Option<Now>,
    /// When the home's configuration was the newest, by its last answer; none where it can't tell, or where that
    /// was before this process began.
    newest_as_of: Option<Now>,
    held: VecDeque<HomeUpdate>,
}

/// All that a gateway hears from the control plane.
pub struct HomeLink {
    started: Instant,
    shared: Arc<Shared>,
    source: GrantSource,
    name: GatewayIdentity,
    options: DialOptions,
    choice: HomeChoice,
    connections: BTreeMap<SocketAddr, Connection>,
    events: Sender<Event>,
    queue: Receiver<Event>,
    last_report: u64,
    next_report: Now,
    builder: TableBuilder,
    count: GatewayCount,
    configuration: Option<ConfigurationVersion>,
    held_configuration: Option<ConfigurationUpdate>,
    /// The newest that was told can't be read: what is in force is not the newest.
    unreadable: bool,
    log: Logger,
}

impl HomeLink {
    /// A link that knows the settings alone.
    pub fn new(settings: &Settings, started: Instant, shared: Arc<Shared>, log: Logger) -> Self {
        let (events, queue) = channel(EVENTS);
        let name = GatewayIdentity {
            node: settings.node.clone(),
            incarnation: fastrand::u64(1..),
            zone: settings.zone.clone(),
        };
        let seeds = settings.internal_seeds();
        let choice_settings =
            HomeChoiceSettings { zone: settings.zone.clone(), regions: settings.zones.clone(), seeds };
        HomeLink {
            started,
            shared,
            source: GrantSource::home(0),
            name,
            options: DialOptions { from: settings.ip, connect_timeout: CONNECT, user_timeout: USER_TIMEOUT },
            choice: HomeChoice::new(started.elapsed(), choice_settings, fastrand::u64(..)),
            connections: BTreeMap::new(),
            events,
            queue,
            last_report: 0,
            next_report: started.elapsed(),
            builder: TableBuilder::new(),
            count: GatewayCount::new(),
            configuration: None,
            held_configuration: None,
            unreadable: false,
            log,
        }
    }

    /// Follows the control plane until the process ends.
    pub async fn run(mut self) {
        loop {
            let now = self.now();
            for action in self.choice.poll(now) {
                self.act(action);
            }
            if now >= self.next_report {
                self.next_report = now + REPORT;
                self.report_all();
                self.publish_stale_configuration();
            }
            let wake = self.choice.wake_at(now).min(self.next_report);
            tokio::select! {
                event = self.queue.recv() => match event {
                    Some(Event::Told(home, update)) => self.told(home, update),
                    Some(Event::Closed(home)) => self.closed(home),
                    None => return,
                },
                _ = sleep_until(self.started + wake) => {}
                _ = self.shared.quota_wanted() => self.report_all(),
            }
        }
    }

    fn now(&self) -> Now {
        self.started.elapsed()
    }

    fn act(&mut self, action: HomeAction) {
        match action {
            HomeAction::Dial(home) => self.dial(home),
            HomeAction::Follow(home) => self.follow(home),
            HomeAction::Close(home) => {
                self.connections.remove(&home);
            }
        }
    }

    fn dial(&mut self, home: SocketAddr) {
        let (reports, queue) = channel(REPORTS);
        let (name, options, events) = (self.name.clone(), self.options, self.events.clone());
        tokio::spawn(async move {
            let _why = talk(home, name, options, queue, &events).await;
            let _ended = events.send(Event::Closed(home)).await;
        });
        self.connections.insert(home, Connection::new(reports));
        self.report(home, false);
    }

    fn follow(&mut self, home: SocketAddr) {
        info!(self.log, "home"; "address" => %home);
        let Some(connection) = self.connections.get_mut(&home) else { return };
        for update in std::mem::take(&mut connection.held) {
            self.apply(update);
        }
        self.confirm_configuration();
    }

    fn closed(&mut self, home: SocketAddr) {
        if self.connections.remove(&home).is_some() {
            self.choice.failed(self.now(), home);
        }
    }

    fn report_all(&mut self) {
        let followed = self.choice.following();
        let homes: Vec<SocketAddr> = self.connections.keys().copied().collect();
        for home in homes {
            self.report(home, Some(home) == followed);
        }
    }

    /// Quotas are asked of the home that is followed alone.
    fn report(&mut self, home: SocketAddr, followed: bool) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&home) else { return };
        self.last_report += 1;
        let demands = if followed { demands(&self.shared, self.source) } else { Vec::new() };
        let report = GatewayReport {
            number: self.last_report,
            configuration: self.configuration,
            cursor: self.builder.cursor(),
            demands,
            accepts_compressed: true,
        };
        if connection.reports.try_send(report).is_ok() {
            connection.sent.push_back((self.last_report, now));
            connection.last_sent = Some(now);
            if connection.sent.len() > SENT {
                connection.sent.pop_front();
            }
        }
    }

    fn told(&mut self, home: SocketAddr, update: HomeUpdate) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&home) else { return };
        let sent_at = update.answers.and_then(|number| connection.answered(number));
        let followed = self.choice.following() == Some(home);
        if let Some(sent_at) = sent_at {
            let freshness = update.freshness_ms.map(|ms| Duration::from_millis(ms.into()));
            let age = freshness.map(|freshness| freshness + now.saturating_sub(sent_at));
            connection.newest_as_of = age.and_then(|age| now.checked_sub(age));
            self.choice.answered(now, home, HomeAnswer { age });
        }
        // What comes by itself counts from the last report: a lease runs from the moment that it was asked for.
        let asked_at = sent_at.or(self.connections.get(&home).and_then(|to| to.last_sent)).unwrap_or(now);
        if followed {
            self.source = GrantSource::home(update.home.0);
            for granted in &update.grants {
                self.shared.quota_renewed(asked_at, &granted.tenant, granted.grant);
            }
            self.apply(update);
            self.confirm_configuration();
        } else {
            self.hold(home, update);
        }
    }

    /// Keeps an update of a home that may be followed soon. None may be left out: the home tells nothing twice.
    fn hold(&mut self, home: SocketAddr, update: HomeUpdate) {
        let Some(connection) = self.connections.get_mut(&home) else { return };
        if connection.held.len() < HELD {
            connection.held.push_back(update);
        } else {
            self.closed(home);
        }
    }

    fn apply(&mut self, update: HomeUpdate) {
        let now = self.now();
        if !update.members.is_empty() {
            let candidates: Vec<HomeCandidate> = update
                .members
                .iter()
                .map(|member| HomeCandidate { address: member.address, zone: member.zone.clone() })
                .collect();
            self.choice.learned(now, &candidates);
        }
        if let Some(changes) = update.changes {
            if self.builder.apply(now, changes) {
                self.shared.publish_backends(self.builder.table());
            }
        }
        self.count.told(now, update.gateways);
        if let Some(count) = self.count.count() {
            self.shared.set_gateways(count as usize);
        }
        let newer = |than: &Option<ConfigurationUpdate>, one: &ConfigurationUpdate| {
            than.as_ref().is_none_or(|held| held.version < one.version)
        };
        if let Some(told) = update.configuration.filter(|told| newer(&self.held_configuration, told)) {
            self.held_configuration = Some(told);
        }
        let fresh = self.choice.age(now).is_some_and(|age| age <= FRESH);
        if fresh || self.configuration.is_some() {
            self.publish_held_configuration();
        }
    }

    /// All that the home has told up to its last answer is applied: what is in force is as new as its home's state.
    fn confirm_configuration(&self) {
        let in_force = self.configuration.is_some() && self.held_configuration.is_none() && !self.unreadable;
        let home = self.choice.following().and_then(|home| self.connections.get(&home));
        if let Some(as_of) = home.and_then(|home| home.newest_as_of).filter(|_| in_force) {
            self.shared.confirm_routing(as_of);
        }
    }

    /// A process that hears of nothing fresh serves by the newest that it has heard of.
    fn publish_stale_configuration(&mut self) {
        if self.now() >= FIRST_STALE {
            self.publish_held_configuration();
        }
    }

    /// Configurations are taken upwards only.
    fn publish_held_configuration(&mut self) {
        let Some(held) = self.held_configuration.take() else { return };
        if Some(held.version) <= self.configuration {
            return;
        }
        match compiled(&held.document) {
            Ok(table) => {
                info!(self.log, "configuration in force"; "generation" => held.version.generation);
                self.shared.publish_routing(Arc::new(table));
                self.configuration = Some(held.version);
                self.unreadable = false;
            }
            Err(cause) => {
                warn!(self.log, "a configuration can't be read"; "cause" => cause);
                self.unreadable = true;
            }
        }
    }
}

impl Connection {
    fn new(reports: Sender<GatewayReport>) -> Self {
        Connection {
            reports,
            sent: VecDeque::new(),
            last_sent: None,
            newest_as_of: None,
            held: VecDeque::new(),
        }
    }

    /// When the report of that number was sent. Older ones are forgotten.
    fn answered(&mut self, number: u64) -> Option<Now> {
        while let Some((sent, at)) = self.sent.front().copied() {
            if sent > number {
                return None;
            }
            self.sent.pop_front();
            if sent == number {
                return Some(at);
            }
        }
        None
    }
}

/// The table of a configuration as its home told it, or why there is none.
fn compiled(told: &[u8]) -> Result<RoutingTable, String> {
    let document = decompress(told).map_err(|wrong| wrong.to_string())?;
    let configuration = crankpick_configuration::read(&document).map_err(|wrong| wrong.to_string())?;
    Ok(RoutingTable::compile(&configuration))
}

fn demands(shared: &Shared, source: GrantSource) -> Vec<TenantDemand> {
    let demands = shared.quota_demands(source).into_iter();
    demands.map(|asked| TenantDemand { tenant: asked.tenant, demand: asked.demand }).collect()
}

async fn talk(
    home: SocketAddr,
    name: GatewayIdentity,
    options: DialOptions,
    mut reports: Receiver<GatewayReport>,
    events: &Sender<Event>,
) -> Result<(), ProtocolError> {
    let (read, write) = dial(home, options).await?.into_split();
    let mut writer = FrameWriter::new(write);
    writer.send(&Handshake::new(Caller::Gateway(name))).await?;
    let mut reader = FrameReader::new(read);
    let hear = async {
        loop {
            match timeout(SILENCE, reader.next::<HomeUpdate>()).await {
                Ok(Ok(Some(update))) => {
                    if events.send(Event::Told(home, update)).await.is_err() {
                        return Ok(());
                    }
                }
                Ok(Ok(None)) => return Ok(()),
                Ok(Err(wrong)) => return Err(wrong),
                Err(_) => return Err(ProtocolError::TimedOut),
            }
        }
    };
    let tell = async {
        while let Some(report) = reports.recv().await {
            writer.send(&report).await?;
        }
        Ok(())
    };
    tokio::select! {
        heard = hear => heard,
        told = tell => told,
    }
}

#[cfg(test)]
#[path = "../tests/unit/home_link.rs"]
mod tests;
