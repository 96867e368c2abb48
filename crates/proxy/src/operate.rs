//! What operators call from a shell: one line to a proxy's second address, its answer printed. Called by
//! `main`; runs beside no query.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crankpick_carry::plan_file;
use crankpick_fleet::messages::Status;
use crankpick_fleet::observation::FleetView;
use crankpick_fleet::work::{self, Bounds, MachineKind, Plan};
use serde_json::{json, Value};

use crate::cli::{At, Backends, Fleet, Named, Work};

const CONNECT: Duration = Duration::from_secs(2);
/// Longer than the proxy waits for the fleet.
const ANSWER: Duration = Duration::from_secs(10);
/// How often it is asked who has acted.
const LOOK: Duration = Duration::from_millis(100);

fn call(at: SocketAddr, line: &str) -> Result<String, String> {
    let asked = || {
        let mut stream = TcpStream::connect_timeout(&at, CONNECT)?;
        stream.set_read_timeout(Some(ANSWER))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer)?;
        Ok(answer)
    };
    let answer = asked().map_err(|wrong: std::io::Error| format!("{at}: {wrong}"))?;
    match answer.trim_end().split_once(' ').unwrap_or((answer.trim_end(), "")) {
        ("YES", said) => Ok(said.to_owned()),
        ("NO", why) => Err(why.to_owned()),
        _ => Err(format!("{at} answers {answer:?}")),
    }
}

fn status(at: SocketAddr) -> Result<Status, String> {
    serde_json::from_str(&call(at, "FLEET STATUS")?).map_err(|wrong| format!("{at}: {wrong}"))
}

/// What is printed; an error is one line for the shell.
pub fn operate(what: &Fleet) -> Result<String, String> {
    match what {
        Fleet::Status(at) => {
            let status = status(at.at)?;
            Ok(if at.json { json!(status).to_string() } else { table(&status) })
        }
        Fleet::Owner(at) => owners(at),
        Fleet::Out(backends) => outs(backends, "OUT"),
        Fleet::Back(backends) => outs(backends, "BACK"),
        Fleet::Forget(named) => word("FORGET", named),
        Fleet::Work(work) => match work {
            Work::Add(add) => {
                let draft = plan_file::read(&add.plan)?;
                let text = serde_json::to_string(&draft).map_err(|wrong| wrong.to_string())?;
                agreed("ADD", &text, &add.at, add.call)?;
                Ok(format!("agreed: plan {}", draft.name()))
            }
            Work::List(at) => list(at),
            Work::Show(show) => one(&show.plan, &show.at),
            Work::Pause(named) => word("PAUSE", named),
            Work::Resume(named) => word("RESUME", named),
            Work::Cancel(named) => word("CANCEL", named),
            Work::Done(named) => word("DONE", named),
            Work::Failed(named) => word("FAILED", named),
        },
    }
}

/// One order on work, said yes to once it is agreed.
fn agreed(order: &str, text: &str, at: &At, id: Option<u128>) -> Result<String, String> {
    let id = id.unwrap_or_else(|| fastrand::u128(1..));
    let again = format!("call again with --call {id:x} to be sure that it is done once");
    call(at.at, &format!("FLEET WORK {order} {id:x} {text}")).map_err(|why| format!("{why} ({again})"))
}

fn word(order: &str, named: &Named) -> Result<String, String> {
    let said = agreed(order, &named.name, &named.at, named.call)?;
    Ok(if named.at.json { said } else { format!("agreed: {} {}", order.to_lowercase(), named.name) })
}

fn work(at: SocketAddr) -> Result<(work::Work, FleetView), String> {
    serde_json::from_str(&call(at, "FLEET WORK SHOW")?).map_err(|wrong| format!("{at}: {wrong}"))
}

/// How a plan stands, in a word.
fn stands(plan: &Plan) -> &'static str {
    match plan {
        plan if plan.is_over() && plan.cancelled => "cancelled",
        plan if plan.is_over() => "done",
        Plan { cancelled: true, .. } => "being cancelled",
        Plan { paused: true, .. } => "paused",
        _ => "open",
    }
}

fn list(at: &At) -> Result<String, String> {
    let (work, _) = work(at.at)?;
    if at.json {
        return Ok(json!(work.plans).to_string());
    }
    let line = |(name, plan): (&String, &Plan)| {
        let over = plan.machines.values().filter(|machine| machine.stage.is_over()).count();
        let out = plan.machines.values().filter(|machine| machine.stage.is_out()).count();
        let (all, stands, waits) = (plan.machines.len(), stands(plan), &plan.waits);
        let waits =
            if waits.is_empty() || plan.is_over() { String::new() } else { format!("; waits: {waits}") };
        format!("{name}: {stands}, {over} of {all} machines over, {out} out{waits}")
    };
    Ok(work.plans.iter().map(line).collect::<Vec<_>>().join("\n"))
}

fn one(name: &str, at: &At) -> Result<String, String> {
    let (work, sight) = work(at.at)?;
    let plan = work.plans.get(name).ok_or_else(|| format!("no plan {name:?}"))?;
    if at.json {
        return Ok(json!({"plan": plan, "sight": sight}).to_string());
    }
    let Bounds { most_out, least_spare, .. } = plan.bounds;
    let mut lines = vec![
        format!("{name}: {}, {}", plan.why, stands(plan)),
        format!("at most {most_out} out, room for {least_spare} times the need left"),
    ];
    if !plan.is_over() && !plan.waits.is_empty() {
        lines.push(format!("waits: {}", plan.waits));
    }
    let (told, silent) = (sight.told, sight.proxies - sight.in_touch);
    lines.push(format!("seen by {told} of {} proxies, {silent} silent", sight.proxies));
    for (id, machine) in &plan.machines {
        let place = match machine.is {
            MachineKind::Proxy => "proxy".to_owned(),
            MachineKind::Backend => format!("zone {} cell {}", machine.zone, machine.cell),
        };
        lines.push(format!("  {id} ({place}): {}; {}", machine.stage.name(), machine.why));
        lines.extend(sight.waits.get(id).into_iter().flatten().map(|why| format!("    waits: {why}")));
        let objections = sight.objections.iter().filter(|(_, of, _)| of == id);
        lines.extend(objections.map(|(proxy, _, why)| format!("    {proxy} objects: {why}")));
    }
    Ok(lines.join("\n"))
}

fn owners(at: &At) -> Result<String, String> {
    let status = status(at.at)?;
    if at.json {
        return Ok(json!(status.duties).to_string());
    }
    let line = |(duty, (owner, token)): (&String, &(Option<String>, u64))| {
        format!("{duty}: {} (token {token})", owner.as_deref().unwrap_or("nobody"))
    };
    Ok(status.duties.iter().map(line).collect::<Vec<_>>().join("\n"))
}

fn table(status: &Status) -> String {
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

/// Whoever of those in touch has yet to act on a version.
fn behind(status: &Status, version: u64) -> Vec<String> {
    let behind = status.members.iter().filter(|one| one.acted < version).map(|one| one.name.clone());
    behind.chain(status.unheard.iter().cloned()).collect()
}

fn outs(backends: &Backends, word: &str) -> Result<String, String> {
    let id = backends.call.unwrap_or_else(|| fastrand::u128(1..));
    if let Some(odd) = backends.ids.iter().find(|id| id.contains(char::is_whitespace) || id.is_empty()) {
        return Err(format!("no backend's id: {odd:?}"));
    }
    let line = format!("FLEET {word} {id:x} {}", backends.ids.join(" "));
    let again = format!("call again with --call {id:x} to be sure that it is done once");
    let said = call(backends.at.at, &line).map_err(|why| format!("{why} ({again})"))?;
    let said: Value = serde_json::from_str(&said).map_err(|wrong| wrong.to_string())?;
    let version = said["version"].as_u64().unwrap_or(0);
    let until = Instant::now() + Duration::try_from_secs_f64(backends.wait).unwrap_or_default();
    let (mut acted, mut missing) = (Vec::new(), vec!["nobody could be asked".to_owned()]);
    loop {
        if let Ok(status) = status(backends.at.at) {
            missing = behind(&status, version);
            let there = status.members.iter().filter(|one| one.acted >= version);
            acted = there.map(|one| one.name.clone()).collect();
        }
        if missing.is_empty() || Instant::now() >= until {
            break;
        }
        std::thread::sleep(LOOK);
    }
    if backends.at.json {
        return Ok(json!({"version": version, "acted": acted, "behind": missing}).to_string());
    }
    let mut lines = vec![format!("agreed: version {version}"), format!("acted: {}", acted.join(" "))];
    if !missing.is_empty() {
        lines.push(format!("not yet: {}", missing.join(" ")));
    }
    Ok(lines.join("\n"))
}
