//! Polls the settings file for changed seeds. Processes that start later know only the new seeds, so running processes must
//! announce themselves to these.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crankpick_settings::Settings;
use slog::{info, warn, Logger};
use tokio::sync::mpsc::Sender;
use tokio::time::{interval, MissedTickBehavior};

use crate::event::Event;

/// The interval between reads of the file.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the seeds in the settings file.
pub struct SettingsWatch {
    path: PathBuf,
    bytes: Option<Vec<u8>>,
    seeds: Vec<SocketAddr>,
    log: Logger,
}

impl SettingsWatch {
    /// Watches a file that contained these seeds, given by their internal addresses, when the process started.
    pub fn new(path: PathBuf, seeds: Vec<SocketAddr>, log: Logger) -> Self {
        SettingsWatch { path, bytes: None, seeds, log }
    }

    /// Sends each change as [`Event::SeedsChanged`] until the receiver is dropped.
    pub async fn run(mut self, events: Sender<Event>) {
        let mut ticks = interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let Some(seeds) = self.poll() else { continue };
            if events.send(Event::SeedsChanged(seeds)).await.is_err() {
                return;
            }
        }
    }

    /// Reads the file, and returns the seeds if they differ from the previous ones. A file that can't be read or parsed is
    /// ignored.
    pub fn poll(&mut self) -> Option<Vec<SocketAddr>> {
        let bytes = std::fs::read(&self.path).ok()?;
        if self.bytes.as_ref() == Some(&bytes) {
            return None;
        }
        let settings = Settings::parse(&self.path, &bytes);
        self.bytes = Some(bytes);
        let seeds = match settings {
            Ok(settings) => settings.internal_seeds(),
            Err(error) => {
                warn!(self.log, "ignoring invalid changed settings"; "cause" => %error);
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
