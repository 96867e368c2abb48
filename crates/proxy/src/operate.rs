//! Fleet commands for operators: sends a line to a proxy's second address and formats the response. Called by
//! `main`; never part of a serving process.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crankpick_carry::plan_file;
use crankpick_fleet::messages::Status;
use crankpick_fleet::observation::FleetView;
use crankpick_fleet::work::{self, Bounds, MachineKind, Plan};
use serde_json::{json, Value};

use crate::cli::{Backends, Fleet, NamedTarget, ProxyTarget, Work};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than the proxy waits for the fleet.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the applied versions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

fn call(at: SocketAddr, line: &str) -> Result<String, String> {
    let exchange = || {
        let mut stream = TcpStream::connect_timeout(&at, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer)?;
        Ok(answer)
    };
    let answer = exchange().map_err(|error: std::io::Error| format!("{at}: {error}"))?;
    match answer.trim_end().split_once(' ').unwrap_or((answer.trim_end(), "")) {
        ("YES", said) => Ok(said.to_owned()),
        ("NO", why) => Err(why.to_owned()),
        _ => Err(format!("{at} answers {answer:?}")),
    }
}

fn status(at: SocketAddr) -> Result<Status, String> {
    serde_json::from_str(&call(at, "FLEET STATUS")?).map_err(|error| format!("{at}: {error}"))
}

/// Runs a command; returns the output. An error is one line.
pub fn run(command: &Fleet) -> Result<String, String> {
    match command {
        Fleet::Status(at) => {
            let status = status(at.at)?;
            Ok(if at.json { json!(status).to_string() } else { format_status(&status) })
        }
        Fleet::Owner(at) => owners(at),
        Fleet::Out(backends) => set_out(backends, "OUT"),
        Fleet::Back(backends) => set_out(backends, "BACK"),
        Fleet::Forget(target) => simple_command("FORGET", target),
        Fleet::Work(work) => match work {
            Work::Add(add) => {
                let draft = plan_file::read(&add.plan)?;
                let text = serde_json::to_string(&draft).map_err(|error| error.to_string())?;
                commit("ADD", &text, &add.at, add.call)?;
                Ok(format!("agreed: plan {}", draft.name()))
            }
            Work::List(at) => list(at),
            Work::Show(args) => show(&args.plan, &args.at),
            Work::Pause(target) => simple_command("PAUSE", target),
            Work::Resume(target) => simple_command("RESUME", target),
            Work::Cancel(target) => simple_command("CANCEL", target),
            Work::Done(target) => simple_command("DONE", target),
            Work::Failed(target) => simple_command("FAILED", target),
        },
    }
}

/// Sends a command on work plans; returns once it is committed.
fn commit(order: &str, text: &str, at: &ProxyTarget, id: Option<u128>) -> Result<String, String> {
    let id = id.unwrap_or_else(|| fastrand::u128(1..));
    let retry_hint = format!("call again with --call {id:x} to be sure that it is done once");
    call(at.at, &format!("FLEET WORK {order} {id:x} {text}")).map_err(|why| format!("{why} ({retry_hint})"))
}

fn simple_command(order: &str, target: &NamedTarget) -> Result<String, String> {
    let said = commit(order, &target.name, &target.at, target.call)?;
    Ok(if target.at.json { said } else { format!("agreed: {} {}", order.to_lowercase(), target.name) })
}

fn work(at: SocketAddr) -> Result<(work::Work, FleetView), String> {
    serde_json::from_str(&call(at, "FLEET WORK SHOW")?).map_err(|error| format!("{at}: {error}"))
}

/// State of a plan in a word or two.
fn state_name(plan: &Plan) -> &'static str {
    match plan {
        plan if plan.is_over() && plan.cancelled => "cancelled",
        plan if plan.is_over() => "done",
        Plan { cancelled: true, .. } => "being cancelled",
        Plan { paused: true, .. } => "paused",
        _ => "open",
    }
}

fn list(at: &ProxyTarget) -> Result<String, String> {
    let (work, _) = work(at.at)?;
    if at.json {
        return Ok(json!(work.plans).to_string());
    }
    let line = |(name, plan): (&String, &Plan)| {
        let over = plan.machines.values().filter(|machine| machine.stage.is_over()).count();
        let out = plan.machines.values().filter(|machine| machine.stage.is_out()).count();
        let (all, state, waits) = (plan.machines.len(), state_name(plan), &plan.waits);
        let waits =
            if waits.is_empty() || plan.is_over() { String::new() } else { format!("; waits: {waits}") };
        format!("{name}: {state}, {over} of {all} machines over, {out} out{waits}")
    };
    Ok(work.plans.iter().map(line).collect::<Vec<_>>().join("\n"))
}

fn show(name: &str, at: &ProxyTarget) -> Result<String, String> {
    let (work, view) = work(at.at)?;
    let plan = work.plans.get(name).ok_or_else(|| format!("no plan {name:?}"))?;
    if at.json {
        return Ok(json!({"plan": plan, "sight": view}).to_string());
    }
    let Bounds { most_out, least_spare, .. } = plan.bounds;
    let mut lines = vec![
        format!("{name}: {}, {}", plan.why, state_name(plan)),
        format!("at most {most_out} out, room for {least_spare} times the need left"),
    ];
    if !plan.is_over() && !plan.waits.is_empty() {
        lines.push(format!("waits: {}", plan.waits));
    }
    let (reported, silent) = (view.told, view.proxies - view.in_touch);
    lines.push(format!("seen by {reported} of {} proxies, {silent} silent", view.proxies));
    for (id, machine) in &plan.machines {
        let place = match machine.is {
            MachineKind::Proxy => "proxy".to_owned(),
            MachineKind::Backend => format!("zone {} cell {}", machine.zone, machine.cell),
        };
        lines.push(format!("  {id} ({place}): {}; {}", machine.stage.name(), machine.why));
        lines.extend(view.waits.get(id).into_iter().flatten().map(|why| format!("    waits: {why}")));
        let objections = view.objections.iter().filter(|(_, of, _)| of == id);
        lines.extend(objections.map(|(proxy, _, why)| format!("    {proxy} objects: {why}")));
    }
    Ok(lines.join("\n"))
}

fn owners(at: &ProxyTarget) -> Result<String, String> {
    let status = status(at.at)?;
    if at.json {
        return Ok(json!(status.duties).to_string());
    }
    let line = |(duty, (owner, token)): (&String, &(Option<String>, u64))| {
        format!("{duty}: {} (token {token})", owner.as_deref().unwrap_or("nobody"))
    };
    Ok(status.duties.iter().map(line).collect::<Vec<_>>().join("\n"))
}

fn format_status(status: &Status) -> String {
    let Status { leader, term, version, outs, duties, members, unheard, absent } = status;
    let mut lines =
        vec![format!("leader {leader}, term {term}, version {version}, {} backends out", outs.len())];
    lines.extend(outs.iter().map(|id| format!("  out {id}")));
    for (duty, (owner, token)) in duties {
        lines.push(format!("duty {duty}: {} (token {token})", owner.as_deref().unwrap_or("nobody")));
    }
    for one in members {
        let kind = if one.voter { "voter" } else { "proxy" };
        let trouble = [(!one.writable, ", its disk takes nothing"), (!one.willing, ", owns nothing")];
        let trouble: String = trouble.iter().filter(|(is, _)| *is).map(|(_, text)| *text).collect();
        let heard = one.silent_us as f64 / 1e6;
        lines.push(format!("{kind} {}: acts on {}, heard {heard:.1} s ago{trouble}", one.name, one.acted));
    }
    lines.extend(unheard.iter().map(|name| format!("proxy {name}: not heard of")));
    for one in absent {
        let how = if one.parted { "has ended, and may serve unheard" } else { "left without a word" };
        lines.push(format!("proxy {}: {how}; work on machines reckons with it", one.who.name));
    }
    lines.join("\n")
}

/// Proxies in contact that have not applied a version yet.
fn pending_members(status: &Status, version: u64) -> Vec<String> {
    let pending = status.members.iter().filter(|one| one.acted < version).map(|one| one.name.clone());
    pending.chain(status.unheard.iter().cloned()).collect()
}

fn set_out(backends: &Backends, word: &str) -> Result<String, String> {
    let id = backends.call.unwrap_or_else(|| fastrand::u128(1..));
    if let Some(invalid) = backends.ids.iter().find(|id| id.contains(char::is_whitespace) || id.is_empty()) {
        return Err(format!("no backend's id: {invalid:?}"));
    }
    let line = format!("FLEET {word} {id:x} {}", backends.ids.join(" "));
    let retry_hint = format!("call again with --call {id:x} to be sure that it is done once");
    let said = call(backends.at.at, &line).map_err(|why| format!("{why} ({retry_hint})"))?;
    let said: Value = serde_json::from_str(&said).map_err(|error| error.to_string())?;
    let version = said["version"].as_u64().unwrap_or(0);
    let until = Instant::now() + Duration::try_from_secs_f64(backends.wait).unwrap_or_default();
    let (mut acted, mut pending) = (Vec::new(), vec!["nobody could be asked".to_owned()]);
    loop {
        if let Ok(status) = status(backends.at.at) {
            pending = pending_members(&status, version);
            let there = status.members.iter().filter(|one| one.acted >= version);
            acted = there.map(|one| one.name.clone()).collect();
        }
        if pending.is_empty() || Instant::now() >= until {
            break;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    if backends.at.json {
        return Ok(json!({"version": version, "acted": acted, "behind": pending}).to_string());
    }
    let mut lines = vec![format!("agreed: version {version}"), format!("acted: {}", acted.join(" "))];
    if !pending.is_empty() {
        lines.push(format!("not yet: {}", pending.join(" ")));
    }
    Ok(lines.join("\n"))
}
