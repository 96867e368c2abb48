//! The proxy's side of the fleet: what is published there is told to the module, and operators' calls are
//! passed on. Called by `serve` where a fleet file is named, and by `admin`.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crankpick_carry::file::{self, FleetFile};
use crankpick_carry::run::{self, Call, Handle};
use crankpick_fleet::state::{Command, Outcome};
use crankpick_fleet::words::{Ask, Publication, Told};
use serde_json::json;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::decide::Decide;
use crate::duty::Duty;
use crate::names::{By, Names};

/// What calls to the fleet begin with.
pub const FLEET: &str = "FLEET";

#[derive(Clone)]
pub struct Fleet {
    handle: Handle,
    file: FleetFile,
}

impl Fleet {
    /// `own` is this proxy's name by its configuration, for a file that all share.
    pub fn start(path: &Path, own: Option<&str>) -> Result<Self, String> {
        let file = file::read(path, own)?;
        Ok(Fleet { handle: run::start(file.clone())?, file })
    }

    /// Takes what is in force before any query comes, as far as it can be heard of in time, then follows it.
    pub async fn follow(&self, decide: Arc<Decide>, names: Arc<Mutex<Names>>) {
        let (mut heard, mut taken) = (self.handle.heard.clone(), self.handle.taken.clone());
        let wait = Duration::from_micros(self.file.wait_us);
        let heard = matches!(timeout(wait, heard.wait_for(|heard| *heard)).await, Ok(Ok(_)));
        let mut outs = Outs { decide, names, handle: self.handle.clone() };
        let version = taken.borrow_and_update().clone().map(|publication| outs.apply(&publication));
        match (heard, version) {
            (true, version) => {
                tracing::info!(
                    code = "fleet_version",
                    version = version.unwrap_or(0),
                    "in force for the fleet"
                );
            }
            (false, Some(version)) => {
                tracing::warn!(code = "fleet_unheard", version, "serves by the version on its own disk");
            }
            (false, None) => {
                tracing::warn!(code = "fleet_unheard", "serves without any version of the fleet's")
            }
        }
        tokio::spawn(async move {
            while taken.changed().await.is_ok() {
                let publication = taken.borrow_and_update().clone();
                if let Some(publication) = publication {
                    outs.apply(&publication);
                }
            }
        });
    }

    /// A proxy that is drained or ends owns nothing.
    pub async fn turns(self, mut duty: watch::Receiver<Duty>) {
        loop {
            let now = *duty.borrow_and_update();
            match now {
                Duty::Ending(_) => self.handle.tell(Call::End),
                now => self.handle.tell(Call::Willing(now.ready().is_ok())),
            }
            if duty.changed().await.is_err() {
                return;
            }
        }
    }

    /// One call of an operator's: what stands behind YES, or behind NO.
    pub async fn call(&self, words: Vec<&str>, patience: Duration) -> Result<String, String> {
        let ask = match words.split_first() {
            Some((&"STATUS", [])) => Ask::Status,
            Some((call @ (&"OUT" | &"BACK"), [id, ids @ ..])) if !ids.is_empty() => {
                let id = u128::from_str_radix(id, 16).map_err(|_| format!("no call's id in {id:?}"))?;
                let ids = ids.iter().map(|id| (*id).to_owned()).collect();
                Ask::Command(Command::Outs { id, out: *call == "OUT", ids })
            }
            _ => return Err("unknown call to the fleet".into()),
        };
        match self.handle.ask(ask, patience).await {
            Told::Done(Outcome::Version(version)) => Ok(json!({ "version": version }).to_string()),
            Told::Done(Outcome::Refused(why)) | Told::NotNow(why) => Err(why),
            Told::Done(_) => Ok(String::new()),
            Told::Status(status) => serde_json::to_string(&status).map_err(|wrong| wrong.to_string()),
        }
    }
}

/// Backends out for the whole fleet, told to the module as a call by hand would be.
struct Outs {
    decide: Arc<Decide>,
    names: Arc<Mutex<Names>>,
    handle: Handle,
}

impl Outs {
    fn apply(&mut self, publication: &Publication) -> u64 {
        let before: BTreeSet<String> = self.names().all_out(By::Fleet).into_iter().collect();
        for (ids, out) in [(&publication.outs - &before, true), (&before - &publication.outs, false)] {
            for id in ids {
                let changed = self.names().set(&id, By::Fleet, out);
                let code = if out { "out_by_fleet" } else { "back_by_fleet" };
                tracing::info!(code, id, version = publication.version, "published for the fleet");
                if let Some(number) = changed {
                    self.decide.news(|inbox| inbox.by_hand(number, out));
                }
            }
        }
        self.handle.tell(Call::Acted(publication.version));
        publication.version
    }

    fn names(&self) -> std::sync::MutexGuard<'_, Names> {
        self.names.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
