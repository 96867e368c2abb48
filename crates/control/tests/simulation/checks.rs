//! What must hold, as seen from outside.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::fences::Fences;
use crankpick_control::{Command, Entry, EntryHeader, View, Violation};

/// What tells one order from another.
pub type Identity = (u64, u64, u128);

pub fn identity(command: &Command) -> Identity {
    (command.if_match, command.generation, command.digest)
}

/// What was seen, and each breach.
#[derive(Default)]
pub struct Checks {
    pub breaches: Vec<String>,
    committed: HashMap<u64, EntryHeader>,
    views: HashMap<u64, View>,
    /// When each version was acknowledged, in order of time; versions never fall.
    acknowledged: Vec<(Duration, Identity)>,
    refused: Vec<Identity>,
    /// When each version was first shown as the newest, in order of time.
    shown: Vec<(Duration, u64)>,
    pub violations: u64,
    pub violations_reported: bool,
    pub reads: u64,
    pub views_changed: u64,
    pub refusals: u64,
    pub fences: Fences,
    /// How many messages each process has sent that reached their receiver.
    pub delivered: HashMap<usize, u64>,
}

impl Checks {
    /// How many messages of a process have reached their receivers.
    pub fn messages_of(&self, place: usize) -> u64 {
        self.delivered.get(&place).copied().unwrap_or_default()
    }

    pub fn breach(&mut self, text: String) {
        if self.breaches.len() < 8 {
            self.breaches.push(text);
        }
    }

    /// No two chains: a position holds the same entry wherever it is committed, and each builds on the one before.
    pub fn committed(&mut self, now: Duration, place: usize, entry: &Arc<Entry>) {
        let change = entry.header();
        let position = change.id.position;
        if let Some(known) = self.committed.get(&position).filter(|known| **known != change) {
            self.breach(format!("{now:?} node {place}: position {position} is {change:?} and {known:?}"));
        }
        for (one, other) in [(position.wrapping_sub(1), position), (position, position + 1)] {
            let before = if one == position { Some(change) } else { self.committed.get(&one).copied() };
            let after = if other == position { Some(change) } else { self.committed.get(&other).copied() };
            if let (Some(before), Some(after)) = (before, after) {
                if before.generation != after.if_match {
                    self.breach(format!("{now:?} node {place}: {after:?} isn't on {before:?}"));
                }
            }
        }
        if self.refused.contains(&identity(&entry.command)) {
            self.breach(format!("{now:?} node {place}: refused, yet committed: {change:?}"));
        }
        self.committed.insert(position, change);
    }

    /// Whether an entry was seen to be committed before.
    pub fn knows(&self, entry: &Entry) -> bool {
        self.committed.contains_key(&entry.id.position)
    }

    /// A replica has seen its own invariant broken: no schedule may show that.
    pub fn violated(&mut self, now: Duration, place: usize, violation: Violation) {
        self.violations += 1;
        self.breach(format!("{now:?} node {place}: {violation:?}"));
    }

    /// One view an epoch.
    pub fn view(&mut self, now: Duration, place: usize, view: &View) {
        if let Some(known) = self.views.get(&view.epoch).filter(|known| *known != view) {
            self.breach(format!("{now:?} node {place}: two views: {view:?} and {known:?}"));
        }
        if self.views.insert(view.epoch, view.clone()).is_none() {
            self.views_changed += 1;
        }
    }

    /// All views that were seen, in order.
    pub fn views(&self) -> Vec<View> {
        let mut views: Vec<View> = self.views.values().cloned().collect();
        views.sort_by_key(|view| view.epoch);
        views
    }

    pub fn acknowledged(&mut self, now: Duration, command: &Command) {
        let command = identity(command);
        if self.refused.contains(&command) {
            self.breach(format!("{now:?}: refused, yet acknowledged: {command:?}"));
        }
        // Several are committed at once: the newest of them is told.
        if self.committed.values().all(|change| change.generation < command.1) {
            self.breach(format!(
                "{now:?}: acknowledged, and nobody has said that it is committed: {command:?}"
            ));
        }
        let rival = self
            .acknowledged
            .iter()
            .map(|(_, known)| *known)
            .find(|known| known.0 == command.0 && *known != command);
        if let Some(rival) = rival {
            self.breach(format!("{now:?}: two on one version: {command:?} and {rival:?}"));
        }
        if !self.acknowledged.iter().any(|(_, known)| *known == command) {
            self.acknowledged.push((now, command));
        }
    }

    pub fn refused(&mut self, now: Duration, command: &Command) {
        let command = identity(command);
        self.refusals += 1;
        if self.committed.values().any(|change| identity_of(change) == command) {
            self.breach(format!("{now:?}: committed, yet refused: {command:?}"));
        }
        if !self.refused.contains(&command) {
            self.refused.push(command);
        }
    }

    /// A read that counts as fresh as of a moment holds all that was acknowledged before it.
    pub fn read(&mut self, now: Duration, as_of: Duration, place: usize, generation: u64) {
        self.reads += 1;
        let due = self.acknowledged.iter().filter(|(at, _)| *at < as_of).map(|(_, command)| command.1).max();
        if due.is_some_and(|due| generation < due) {
            self.breach(format!(
                "{now:?} node {place}: reads {generation} as of {as_of:?}, {due:?} was acknowledged"
            ));
        }
        // Versions only rise: the newest shown before that moment is the highest.
        let shown = self.shown.iter().rev().find(|(at, _)| *at < as_of).map(|(_, shown)| *shown);
        if shown.is_some_and(|shown| generation < shown) {
            self.breach(format!(
                "{now:?} node {place}: reads {generation} as of {as_of:?}, {shown:?} was read"
            ));
        }
        if self.shown.last().is_none_or(|(_, newest)| generation > *newest) {
            self.shown.push((now, generation));
        }
    }

    /// The newest version that a read has shown.
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

    /// All that was acknowledged is in the state of a replica at the end.
    pub fn held(&mut self, place: usize, changes: &[EntryHeader]) {
        let lost: Vec<Identity> = self.acknowledged.iter().map(|(_, command)| *command).collect();
        for command in lost {
            if !changes.iter().any(|change| identity_of(change) == command) {
                self.breach(format!("node {place} has lost {command:?}"));
            }
        }
    }
}

fn identity_of(change: &EntryHeader) -> Identity {
    (change.if_match, change.generation, change.digest)
}
