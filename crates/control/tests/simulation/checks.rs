//! Safety checks on the externally visible behaviour of the replicas.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::fencing::FencingChecks;
use crankpick_control::{Command, Entry, EntryHeader, View, Violation};

/// Identifies a command: its `if_match`, generation and digest.
pub type Identity = (u64, u64, u128);

pub fn identity(command: &Command) -> Identity {
    (command.if_match, command.generation, command.digest)
}

/// The observed history, and the breaches found in it.
#[derive(Default)]
pub struct Checks {
    pub breaches: Vec<String>,
    committed: HashMap<u64, EntryHeader>,
    views: HashMap<u64, View>,
    /// When each version was acknowledged, in order of time; versions never decrease.
    acknowledged: Vec<(Duration, Identity)>,
    refused: Vec<Identity>,
    /// When each version was first shown as the newest, in order of time.
    shown: Vec<(Duration, u64)>,
    pub violations: u64,
    pub violations_reported: bool,
    pub reads: u64,
    pub views_changed: u64,
    pub refusals: u64,
    pub fencing: FencingChecks,
    /// The number of delivered messages by sending process.
    pub delivered: HashMap<usize, u64>,
}

impl Checks {
    /// The number of messages of a process that were delivered.
    pub fn messages_of(&self, index: usize) -> u64 {
        self.delivered.get(&index).copied().unwrap_or_default()
    }

    pub fn record_breach(&mut self, text: String) {
        if self.breaches.len() < 8 {
            self.breaches.push(text);
        }
    }

    /// Checks that histories do not diverge: each position holds the same entry on all replicas, and each
    /// entry builds on the one before.
    pub fn committed(&mut self, now: Duration, index: usize, entry: &Arc<Entry>) {
        let change = entry.header();
        let position = change.id.position;
        if let Some(known) = self.committed.get(&position).filter(|known| **known != change) {
            self.record_breach(format!(
                "{now:?} node {index}: position {position} is {change:?} and {known:?}"
            ));
        }
        for (one, other) in [(position.wrapping_sub(1), position), (position, position + 1)] {
            let before = if one == position { Some(change) } else { self.committed.get(&one).copied() };
            let after = if other == position { Some(change) } else { self.committed.get(&other).copied() };
            if let (Some(before), Some(after)) = (before, after) {
                if before.generation != after.if_match {
                    self.record_breach(format!(
                        "{now:?} node {index}: {after:?} does not build on {before:?}"
                    ));
                }
            }
        }
        if self.refused.contains(&identity(&entry.command)) {
            self.record_breach(format!("{now:?} node {index}: refused, yet committed: {change:?}"));
        }
        self.committed.insert(position, change);
    }

    /// Whether an entry at this position was already reported as committed.
    pub fn was_committed(&self, entry: &Entry) -> bool {
        self.committed.contains_key(&entry.id.position)
    }

    /// Records an invariant violation that a replica reported; none may occur in any schedule.
    pub fn violated(&mut self, now: Duration, index: usize, violation: Violation) {
        self.violations += 1;
        self.record_breach(format!("{now:?} node {index}: {violation:?}"));
    }

    /// Checks that each epoch has only one view.
    pub fn view(&mut self, now: Duration, index: usize, view: &View) {
        if let Some(known) = self.views.get(&view.epoch).filter(|known| *known != view) {
            self.record_breach(format!("{now:?} node {index}: two views: {view:?} and {known:?}"));
        }
        if self.views.insert(view.epoch, view.clone()).is_none() {
            self.views_changed += 1;
        }
    }

    /// All observed views, by epoch.
    pub fn views(&self) -> Vec<View> {
        let mut views: Vec<View> = self.views.values().cloned().collect();
        views.sort_by_key(|view| view.epoch);
        views
    }

    pub fn acknowledged(&mut self, now: Duration, command: &Command) {
        let command = identity(command);
        if self.refused.contains(&command) {
            self.record_breach(format!("{now:?}: refused, yet acknowledged: {command:?}"));
        }
        // When several entries commit at once, only the newest is reported.
        if self.committed.values().all(|change| change.generation < command.1) {
            self.record_breach(format!("{now:?}: acknowledged, but not reported as committed: {command:?}"));
        }
        let rival = self
            .acknowledged
            .iter()
            .map(|(_, known)| *known)
            .find(|known| known.0 == command.0 && *known != command);
        if let Some(rival) = rival {
            self.record_breach(format!(
                "{now:?}: two commands acknowledged on one base version: {command:?} and {rival:?}"
            ));
        }
        if !self.acknowledged.iter().any(|(_, known)| *known == command) {
            self.acknowledged.push((now, command));
        }
    }

    pub fn refused(&mut self, now: Duration, command: &Command) {
        let command = identity(command);
        self.refusals += 1;
        if self.committed.values().any(|change| identity_of(change) == command) {
            self.record_breach(format!("{now:?}: committed, yet refused: {command:?}"));
        }
        if !self.refused.contains(&command) {
            self.refused.push(command);
        }
    }

    /// Checks a read that is fresh as of a time: it includes all that was acknowledged or read before that
    /// time.
    pub fn read(&mut self, now: Duration, as_of: Duration, index: usize, generation: u64) {
        self.reads += 1;
        let due = self.acknowledged.iter().filter(|(at, _)| *at < as_of).map(|(_, command)| command.1).max();
        if due.is_some_and(|due| generation < due) {
            self.record_breach(format!(
                "{now:?} node {index}: reads {generation} as of {as_of:?}, {due:?} was acknowledged"
            ));
        }
        // Versions only increase: the newest shown before that time is the highest.
        let shown = self.shown.iter().rev().find(|(at, _)| *at < as_of).map(|(_, shown)| *shown);
        if shown.is_some_and(|shown| generation < shown) {
            self.record_breach(format!(
                "{now:?} node {index}: reads {generation} as of {as_of:?}, {shown:?} was read"
            ));
        }
        if self.shown.last().is_none_or(|(_, newest)| generation > *newest) {
            self.shown.push((now, generation));
        }
    }

    /// The newest version returned by a read.
    pub fn newest_shown(&self) -> u64 {
        self.shown.last().map_or(0, |(_, generation)| *generation)
    }

    /// The newest acknowledged version.
    pub fn newest_acknowledged(&self) -> u64 {
        self.acknowledged.iter().map(|(_, command)| command.1).max().unwrap_or(0)
    }

    pub fn acknowledgements(&self) -> usize {
        self.acknowledged.len()
    }

    /// Checks that the final state of a replica contains all acknowledged commands.
    pub fn held(&mut self, index: usize, changes: &[EntryHeader]) {
        let lost: Vec<Identity> = self.acknowledged.iter().map(|(_, command)| *command).collect();
        for command in lost {
            if !changes.iter().any(|change| identity_of(change) == command) {
                self.record_breach(format!("node {index} has lost {command:?}"));
            }
        }
    }
}

fn identity_of(change: &EntryHeader) -> Identity {
    (change.if_match, change.generation, change.digest)
}
