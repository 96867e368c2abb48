//! The gateway's connections to the control plane: one to its home, and briefly a second one while it switches homes.

mod configuration_slot;
mod connection;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crankpick_gateway::Shared;
use crankpick_protocol::{DialOptions, GatewayIdentity, GatewayReport, HomeUpdate, TenantDemand};
use crankpick_quota::GrantSource;
use crankpick_registry::{
    GatewayCount, HomeAction, HomeCandidate, HomeSelector, HomeSelectorSettings, HomeStatus, Now,
    TableBuilder,
};
use crankpick_settings::Settings;
use slog::{info, Logger};
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::time::{sleep_until, Instant};

use configuration_slot::ConfigurationSlot;
use connection::{Connection, Event, MAX_QUEUED_REPORTS};

const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// `TCP_USER_TIMEOUT`: how long sent bytes may go unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The capacity of the event queue shared by all connections.
const MAX_QUEUED_EVENTS: usize = 256;
/// How long after its start a process waits for a fresh configuration before it serves with the one that it has.
const STALE_CONFIGURATION_AFTER: Duration = Duration::from_millis(300);

/// Receives the gateway's updates from the control plane: members to choose a home from, the configuration, backends and
/// quotas.
pub struct HomeLink {
    started: Instant,
    shared: Arc<Shared>,
    grant_source: GrantSource,
    identity: GatewayIdentity,
    options: DialOptions,
    selector: HomeSelector,
    connections: BTreeMap<SocketAddr, Connection>,
    events: Sender<Event>,
    queue: Receiver<Event>,
    last_report_number: u64,
    next_report_at: Now,
    backends: TableBuilder,
    gateway_count: GatewayCount,
    configuration: ConfigurationSlot,
    log: Logger,
}

impl HomeLink {
    /// Creates a link that knows only the settings.
    pub fn new(settings: &Settings, started: Instant, shared: Arc<Shared>, log: Logger) -> Self {
        let (events, queue) = channel(MAX_QUEUED_EVENTS);
        let identity = GatewayIdentity {
            node: settings.node.clone(),
            incarnation: fastrand::u64(1..),
            zone: settings.zone.clone(),
        };
        let seeds = settings.internal_seeds();
        let selector_settings =
            HomeSelectorSettings { zone: settings.zone.clone(), regions: settings.zones.clone(), seeds };
        HomeLink {
            started,
            shared,
            grant_source: GrantSource::home(0),
            identity,
            options: DialOptions {
                from: settings.ip,
                connect_timeout: CONNECT_TIMEOUT,
                user_timeout: USER_TIMEOUT,
            },
            selector: HomeSelector::new(started.elapsed(), selector_settings, fastrand::u64(..)),
            connections: BTreeMap::new(),
            events,
            queue,
            last_report_number: 0,
            next_report_at: started.elapsed(),
            backends: TableBuilder::new(),
            gateway_count: GatewayCount::new(),
            configuration: ConfigurationSlot::default(),
            log,
        }
    }

    /// Receives updates from the control plane until the process ends.
    pub async fn run(mut self) {
        loop {
            let now = self.now();
            for action in self.selector.poll(now) {
                self.perform(action);
            }
            if now >= self.next_report_at {
                self.next_report_at = now + REPORT_INTERVAL;
                self.report_all();
                self.publish_stale_configuration();
            }
            let wake = self.selector.next_poll_at(now).min(self.next_report_at);
            tokio::select! {
                event = self.queue.recv() => match event {
                    Some(Event::Update(home, update)) => self.handle_update(home, update),
                    Some(Event::Closed(home)) => self.handle_closed(home),
                    None => return,
                },
                _ = sleep_until(self.started + wake) => {}
                _ = self.shared.wait_for_urgent_quota_need() => self.report_all(),
            }
        }
    }

    fn now(&self) -> Now {
        self.started.elapsed()
    }

    fn perform(&mut self, action: HomeAction) {
        match action {
            HomeAction::Dial(home) => self.dial(home),
            HomeAction::Follow(home) => self.follow(home),
            HomeAction::Close(home) => {
                self.connections.remove(&home);
            }
        }
    }

    fn dial(&mut self, home: SocketAddr) {
        let (reports, queue) = channel(MAX_QUEUED_REPORTS);
        let (identity, options, events) = (self.identity.clone(), self.options, self.events.clone());
        tokio::spawn(async move {
            // The cause is ignored: the selector decides whether to reconnect.
            let _cause = connection::run(home, identity, options, queue, &events).await;
            let _ended = events.send(Event::Closed(home)).await;
        });
        self.connections.insert(home, Connection::new(reports));
        self.report(home, false);
    }

    fn follow(&mut self, home: SocketAddr) {
        info!(self.log, "home"; "address" => %home);
        let Some(connection) = self.connections.get_mut(&home) else { return };
        for update in connection.take_deferred() {
            self.apply(update);
        }
        self.confirm_configuration();
    }

    fn handle_closed(&mut self, home: SocketAddr) {
        if self.connections.remove(&home).is_some() {
            self.selector.record_failure(self.now(), home);
        }
    }

    fn report_all(&mut self) {
        let followed = self.selector.followed_home();
        let homes: Vec<SocketAddr> = self.connections.keys().copied().collect();
        for home in homes {
            self.report(home, Some(home) == followed);
        }
    }

    /// Sends a report. Quota demands are sent only to the followed home.
    fn report(&mut self, home: SocketAddr, followed: bool) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&home) else { return };
        self.last_report_number += 1;
        let demands = if followed { demands(&self.shared, self.grant_source) } else { Vec::new() };
        let report = GatewayReport {
            number: self.last_report_number,
            configuration: self.configuration.in_force(),
            cursor: self.backends.cursor(),
            demands,
            accepts_compressed: true,
        };
        connection.send(now, report);
    }

    fn handle_update(&mut self, home: SocketAddr, update: HomeUpdate) {
        let now = self.now();
        let followed = self.selector.followed_home() == Some(home);
        let Some(connection) = self.connections.get_mut(&home) else { return };
        let last_report_at = connection.last_report_at;
        let sent_at = update.answers.and_then(|number| connection.take_sent_at(number));
        if let Some(sent_at) = sent_at {
            let freshness = update.freshness_ms.map(|ms| Duration::from_millis(ms.into()));
            let age = freshness.map(|freshness| freshness + now.saturating_sub(sent_at));
            connection.newest_as_of = age.and_then(|age| now.checked_sub(age));
            self.selector.record_answer(now, home, HomeStatus { configuration_age: age });
        }
        if followed {
            // Leases start when they are requested. An unsolicited update counts from the last report.
            let requested_at = sent_at.or(last_report_at).unwrap_or(now);
            self.renew_quotas(requested_at, &update);
            self.apply(update);
            self.confirm_configuration();
        } else if !connection.defer(update) {
            self.handle_closed(home);
        }
    }

    fn renew_quotas(&mut self, requested_at: Now, update: &HomeUpdate) {
        self.grant_source = GrantSource::home(update.home.0);
        for granted in &update.grants {
            self.shared.apply_quota_grant(requested_at, &granted.tenant, granted.grant);
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
            self.selector.set_members(now, &candidates);
        }
        if let Some(changes) = update.changes {
            if self.backends.apply(now, changes) {
                self.shared.publish_backends(self.backends.table());
            }
        }
        self.gateway_count.update(now, update.gateways);
        if let Some(count) = self.gateway_count.count() {
            self.shared.set_gateways(count as usize);
        }
        if let Some(configuration) = update.configuration {
            self.configuration.receive(configuration);
        }
        if self.selector.is_fresh(now) || self.configuration.in_force().is_some() {
            self.configuration.publish_pending(&self.shared, &self.log);
        }
    }

    /// Confirms that the configuration in force is as new as the home's state, because everything that the home sent up to
    /// its last answer is applied.
    fn confirm_configuration(&self) {
        if !self.configuration.newest_is_in_force() {
            return;
        }
        let home = self.selector.followed_home().and_then(|home| self.connections.get(&home));
        if let Some(as_of) = home.and_then(|home| home.newest_as_of) {
            self.shared.confirm_routing(as_of);
        }
    }

    /// Activates the newest received configuration if no fresh one has arrived in time after the start.
    fn publish_stale_configuration(&mut self) {
        if self.now() >= STALE_CONFIGURATION_AFTER {
            self.configuration.publish_pending(&self.shared, &self.log);
        }
    }
}

fn demands(shared: &Shared, source: GrantSource) -> Vec<TenantDemand> {
    let demands = shared.quota_demands(source).into_iter();
    demands.map(|entry| TenantDemand { tenant: entry.tenant, demand: entry.demand }).collect()
}

#[cfg(test)]
#[path = "../tests/unit/home_link.rs"]
mod tests;
