//! The logs of the processes, line by line, into the record and the history.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crankpick_carry::clock::now_us;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::ChildStderr;
use tokio::sync::watch;

use crate::history::{Kind, Line};
use crate::sync::lock;

/// What one process was seen to do: told of by its log.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub t_us: u64,
    pub process: usize,
    pub code: String,
    pub line: Value,
}

#[derive(Default)]
pub struct Record {
    pub lines: Vec<Line>,
    pub seen: Vec<Seen>,
}

/// Follows one process's log to its end.
pub(super) struct LogReader {
    /// The process's place.
    pub(super) at: usize,
    pub(super) record: Arc<Mutex<Record>>,
    /// Name and incarnation, once it has said so.
    pub(super) process: Arc<Mutex<String>>,
    pub(super) address: watch::Sender<Option<SocketAddr>>,
    pub(super) admin: watch::Sender<Option<SocketAddr>>,
}

impl LogReader {
    pub(super) async fn run(self, log: ChildStderr) {
        let mut lines = BufReader::new(log).lines();
        while let Ok(Some(text)) = lines.next_line().await {
            match serde_json::from_str::<Value>(&text) {
                Ok(line) => self.take(line),
                Err(_) => eprintln!("n{}: {text}", self.at),
            }
        }
    }

    fn take(&self, line: Value) {
        if line["code"] == "listening" {
            let part = |name: &str| line[name].as_str().and_then(|text| text.parse().ok());
            self.admin.send_replace(part("admin"));
            self.address.send_replace(part("listen"));
        }
        let process = line["process"].as_str().unwrap_or_default();
        if !process.is_empty() {
            process.clone_into(&mut lock(&self.process));
        }
        let mut record = lock(&self.record);
        if let Some(kind) = history_kind(&line) {
            let t_us = line["t_us"].as_u64().unwrap_or_default();
            record.lines.push(Line { t_us, kind });
        }
        let code = line["code"].as_str().unwrap_or_default().to_owned();
        record.seen.push(Seen { t_us: now_us(), process: self.at, code, line });
    }
}

/// What a line of the log means to the history, if anything.
fn history_kind(line: &Value) -> Option<Kind> {
    let text = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
    let number = |name: &str| line[name].as_u64().unwrap_or_default();
    let (duty, token, version, owner) = (text("duty"), number("token"), number("version"), text("owner"));
    let own = text("process");
    let kind = match text("code").as_str() {
        "fleet_held" => {
            let (from_us, until_us) = (number("from_us"), number("until_us"));
            Kind::Held { duty, token, process: own, from_us, until_us }
        }
        "fleet_let_go" => Kind::LetGo { duty, token, process: own },
        "fleet_taken" => Kind::Effect { duty, token, version, owner, receiver: own },
        "fleet_stale" => Kind::StaleRefused { duty, token, version, owner, receiver: own },
        "fleet_granted" => Kind::Granted { duty, token, to: text("to") },
        "fleet_work" => {
            let (machine, from, to) = (text("machine"), text("from"), text("to"));
            Kind::Stepped { plan: text("plan"), machine, from, to, token, why: text("message") }
        }
        _ => return None,
    };
    Some(kind)
}
