//! Notices that the settings file names other seeds: processes that start later are told of these alone, so that the
//! running ones must be known there.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crankpick_settings::Settings;
use slog::{info, warn, Logger};
use tokio::sync::mpsc::Sender;
use tokio::time::{interval, MissedTickBehavior};

use crate::event::Event;

/// Between two looks at the file.
const INTERVAL: Duration = Duration::from_secs(1);

/// A look at the settings file now and then.
pub struct SettingsWatch {
    path: PathBuf,
    bytes: Option<Vec<u8>>,
    seeds: Vec<SocketAddr>,
    log: Logger,
}

impl SettingsWatch {
    /// A watch over a file that named these seeds at the start, by their internal addresses.
    pub fn new(path: PathBuf, seeds: Vec<SocketAddr>, log: Logger) -> Self {
        SettingsWatch { path, bytes: None, seeds, log }
    }

    /// Tells of each change until nobody listens any more.
    pub async fn run(mut self, events: Sender<Event>) {
        let mut looks = interval(INTERVAL);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            looks.tick().await;
            let Some(seeds) = self.look() else { continue };
            if events.send(Event::Seeds(seeds)).await.is_err() {
                return;
            }
        }
    }

    /// The seeds, where the file names others than before. A file that can't be read whole changes nothing.
    pub fn look(&mut self) -> Option<Vec<SocketAddr>> {
        let bytes = std::fs::read(&self.path).ok()?;
        if self.bytes.as_ref() == Some(&bytes) {
            return None;
        }
        let settings = Settings::parse(&self.path, &bytes);
        self.bytes = Some(bytes);
        let seeds = match settings {
            Ok(settings) => settings.internal_seeds(),
            Err(wrong) => {
                warn!(self.log, "the changed settings aren't taken"; "cause" => %wrong);
                return None;
            }
        };
        if seeds == self.seeds {
            return None;
        }
        info!(self.log, "other seeds"; "seeds" => format!("{seeds:?}"));
        self.seeds.clone_from(&seeds);
        Some(seeds)
    }
}

#[cfg(test)]
#[path = "../tests/unit/settings_watch.rs"]
mod tests;
