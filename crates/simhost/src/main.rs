//! Hosts instances of the decision module for the simulator. Reads messages as JSON lines from standard
//! input, calls the module, and writes its decisions as JSON lines to standard output. It decides nothing;
//! malformed input ends it with a one-line error message.

mod reply;

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::process::ExitCode;
use std::rc::Rc;

use crankpick::balance::{Balancer, Inbox};
use crankpick::interface::{Ended, Listed, LoadReport};
use crankpick::retry::Failure;
use crankpick_launch::Entry;
use serde::Deserialize;
use serde_json::Value;

/// Any input message; which fields are required depends on `m`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InputMessage {
    #[serde(rename = "m")]
    message: String,
    sim_time_us: Option<u64>,
    #[serde(rename = "turn")]
    batch: Option<u64>,
    proxy: Option<u64>,
    salt: Option<u64>,
    conf: Option<Value>,
    #[serde(rename = "Ref")]
    reference: Option<Value>,
    items: Option<Vec<Entry>>,
    kind: Option<String>,
    #[serde(rename = "Type")]
    workload: Option<usize>,
    #[serde(rename = "Team")]
    tenant: Option<usize>,
    ttl_us: Option<u64>,
    weight_hint_us: Option<u64>,
    marks: Option<u64>,
    attempt: Option<u32>,
    backend: Option<u32>,
    duration_us: Option<u64>,
    rc: Option<u32>,
    done_flag: Option<bool>,
    gauge: Option<Gauge>,
    ctx: Option<String>,
    neighbour: Option<u32>,
    bytes: Option<String>,
    gen: Option<u64>,
    /// The numbered list to which an `Endpoints` message referred when it was read.
    #[serde(skip)]
    listed: Option<Rc<Vec<Listed>>>,
}

/// A backend's load report.
#[derive(Deserialize)]
struct Gauge {
    busy: Option<f64>,
    rif: Option<f64>,
    fail_rate: Option<f64>,
}

/// One instance and its messages of the current batch.
struct Instance {
    balancer: Balancer,
    pending: Vec<InputMessage>,
}

/// The value of a required field.
fn require<T>(field: Option<T>, message: &str, name: &str) -> Result<T, String> {
    field.ok_or_else(|| format!("{message} without {name}"))
}

/// The query id in `Ref`.
fn query_reference(line: &InputMessage) -> Result<&str, String> {
    match &line.reference {
        Some(Value::String(text)) => Ok(text),
        Some(_) => Err(format!("{}: Ref is not a string", line.message)),
        None => Err(format!("{} without Ref", line.message)),
    }
}

/// The list number in `Ref`.
fn list_number(line: &InputMessage) -> Result<u64, String> {
    let number = require(line.reference.as_ref(), &line.message, "Ref")?;
    number.as_u64().ok_or_else(|| format!("{}: Ref is not a list number", line.message))
}

/// Translates a result code.
fn parse_result_code(code: u32) -> Result<Ended, String> {
    Ok(match code {
        200 => Ended::Completed,
        502 => Ended::Errored,
        429 => Ended::Rejected,
        408 => Ended::TimedOut,
        521 => Ended::Unreachable,
        520 => Ended::Dropped,
        444 => Ended::Cancelled,
        409 => Ended::NotSent,
        other => return Err(format!("unknown Rc {other}")),
    })
}

fn load_report(gauge: &Option<Gauge>) -> Option<LoadReport> {
    gauge.as_ref().map(|gauge| LoadReport {
        utilisation: gauge.busy,
        in_flight: gauge.rif,
        errors_per_s: gauge.fail_rate,
    })
}

/// Passes one message to the module.
fn dispatch(line: &InputMessage, inbox: &mut Inbox) -> Result<(), String> {
    let message = line.message.as_str();
    match message {
        "Accept" => {
            let hinted = line.marks.unwrap_or(0) & 1 != 0;
            let is_retry = line.marks.unwrap_or(0) & 2 != 0;
            let id = query_reference(line)?;
            let workload = require(line.workload, message, "Type")?;
            let ttl_us = require(line.ttl_us, message, "TtlUs")?;
            let hint_us = line.weight_hint_us.filter(|_| hinted);
            inbox
                .query(id, workload, line.tenant.unwrap_or(0), ttl_us, hint_us, is_retry)
                .map_err(|error| format!("{message}: {error}"))
        }
        "Answer" => {
            require(line.backend, message, "Backend")?;
            inbox.outcome(
                query_reference(line)?,
                require(line.attempt, message, "Attempt")?,
                parse_result_code(require(line.rc, message, "Rc")?)?,
                require(line.duration_us, message, "DurationUs")?,
                line.done_flag.unwrap_or(false),
                load_report(&line.gauge),
            );
            Ok(())
        }
        "Begun" => {
            require(line.backend, message, "Backend")?;
            require(line.duration_us, message, "DurationUs")?;
            require(line.attempt, message, "Attempt")?;
            inbox.response_started(query_reference(line)?);
            Ok(())
        }
        "Withdrawn" => {
            inbox.withdrawn(query_reference(line)?);
            Ok(())
        }
        "Reminder" => {
            inbox.timer_fired(require(line.ctx.as_deref(), message, "Ctx")?);
            Ok(())
        }
        "ProbeDone" => {
            inbox.probe_outcome(
                require(line.backend, message, "Backend")?,
                parse_result_code(require(line.rc, message, "Rc")?)?,
                require(line.duration_us, message, "DurationUs")?,
                load_report(&line.gauge),
            );
            Ok(())
        }
        "NoteFrom" => {
            let peer = require(line.neighbour, message, "Neighbour")?;
            inbox.peer_note(peer, require(line.bytes.as_deref(), message, "Bytes")?);
            Ok(())
        }
        "Endpoints" => {
            match (line.kind.as_deref(), &line.listed) {
                (Some("lost"), _) => inbox.list_failed(Failure::Refused),
                (Some("incr"), Some(items)) => inbox.list(false, items),
                (Some("total" | "warm_copy"), Some(items)) => inbox.list(true, items),
                (kind, _) => return Err(format!("Endpoints: unknown Kind {kind:?}")),
            }
            Ok(())
        }
        other => Err(format!("unknown message {other:?}")),
    }
}

/// All instances, and the numbered lists of backends that messages refer to.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, Rc<Vec<Listed>>>,
}

impl Host {
    /// Queues one message for its instance. Lists, launches and teardowns take effect immediately, in reading
    /// order.
    fn enqueue(&mut self, mut line: InputMessage) -> Result<(), String> {
        if line.message == "Directory" {
            let items = require(line.items.take(), "Directory", "Items")?;
            let items: Result<Vec<Listed>, String> = items.iter().map(Entry::listed).collect();
            let items = items.map_err(|error| format!("Directory: {error}"))?;
            self.lists.insert(list_number(&line)?, Rc::new(items));
            return Ok(());
        }
        let proxy = require(line.proxy, &line.message, "Proxy")?;
        match line.message.as_str() {
            "Launch" => {
                let salt = require(line.salt, "Launch", "Salt")?;
                let conf = require(line.conf, "Launch", "Conf")?;
                let balancer =
                    crankpick_launch::balancer(salt, &conf).map_err(|error| format!("Launch: {error}"))?;
                let pending = Vec::new();
                self.instances.insert(proxy, Instance { balancer, pending });
                return Ok(());
            }
            "Endpoints" => {
                let kind = require(line.kind.as_deref(), "Endpoints", "Kind")?;
                require(line.gen, "Endpoints", "Gen")?;
                if kind != "lost" {
                    let number = list_number(&line)?;
                    let listed = self.lists.get(&number);
                    line.listed = Some(Rc::clone(
                        listed.ok_or_else(|| format!("Endpoints: no Directory {number} was sent"))?,
                    ));
                }
            }
            _ => {}
        }
        let instance = self.instances.get_mut(&proxy);
        let instance =
            instance.ok_or_else(|| format!("{}: instance {proxy} was never launched", line.message))?;
        if line.message == "Teardown" {
            self.instances.remove(&proxy);
        } else {
            instance.pending.push(line);
        }
        Ok(())
    }

    /// Runs one round of each instance that has messages, and appends the decisions to `reply`.
    fn run_rounds(&mut self, now_us: u64, reply: &mut Vec<u8>) -> Result<(), String> {
        for (proxy, instance) in &mut self.instances {
            if instance.pending.is_empty() {
                continue;
            }
            let mut writer = reply::Reply::new(*proxy, reply);
            let lines = std::mem::take(&mut instance.pending);
            instance.balancer.round(now_us, &mut writer, |inbox| {
                lines.iter().try_for_each(|line| dispatch(line, inbox))
            })?;
        }
        Ok(())
    }
}

/// Reads the next message, skipping empty lines; none at the end of the input.
fn read_message(input: &mut impl BufRead, text: &mut String) -> Result<Option<InputMessage>, String> {
    loop {
        text.clear();
        let length = input.read_line(text).map_err(|error| format!("input: {error}"))?;
        if length == 0 {
            return Ok(None);
        }
        if !text.trim().is_empty() {
            let line = serde_json::from_str(text);
            return line.map(Some).map_err(|error| {
                let start: String = text.trim().chars().take(80).collect();
                format!("{error}, in {start}")
            });
        }
    }
}

/// Answers batches until the input ends.
fn serve() -> Result<(), String> {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut host = Host::default();
    let mut text = String::new();
    let mut reply = Vec::new();
    while let Some(first) = read_message(&mut input, &mut text)? {
        if first.message != "Batch" {
            return Err(format!("expected Batch, got {:?}", first.message));
        }
        let now_us = require(first.sim_time_us, "Batch", "SimTimeUs")?;
        let batch = require(first.batch, "Batch", "turn")?;
        loop {
            let line = read_message(&mut input, &mut text)?.ok_or("input ended inside a batch")?;
            if line.message == "EofBatch" {
                break;
            }
            host.enqueue(line)?;
        }
        reply.clear();
        host.run_rounds(now_us, &mut reply)?;
        reply::write_finished(batch, &mut reply);
        output.write_all(&reply).and_then(|()| output.flush()).map_err(|error| format!("output: {error}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crankpick-simhost: {}", error.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
