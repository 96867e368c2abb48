//! What a run left behind, line by line, and the checks that hold it against what the fleet promises. Called
//! by the virtual world and by the rig of real processes alike.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// One line of `history.jsonl`; `t_us` is the machine's monotonic clock, or the world's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub t_us: u64,
    #[serde(flatten)]
    pub kind: Kind,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Kind {
    /// What an owner itself believes; one line a renewal.
    Held {
        duty: String,
        token: u64,
        process: String,
        from_us: u64,
        until_us: u64,
    },
    /// It gave the duty up before its lease ran out.
    LetGo {
        duty: String,
        token: u64,
        process: String,
    },
    /// Taken by a receiver.
    Effect {
        duty: String,
        token: u64,
        version: u64,
        owner: String,
        receiver: String,
    },
    /// Refused by a receiver's fence.
    StaleRefused {
        duty: String,
        token: u64,
        version: u64,
        owner: String,
        receiver: String,
    },
    Fault {
        what: String,
    },
    Heal {
        what: String,
    },
    /// Whether a majority of the voters can work: while none can, nobody can be given a duty.
    Majority {
        there: bool,
    },
    /// An operator was told yes.
    Acked {
        command: String,
        version: u64,
        out: bool,
        ids: Vec<String>,
    },
    /// An operator was told neither yes nor no.
    Unsure {
        command: String,
        ids: Vec<String>,
    },
    /// A process is gone for good: whatever it believed, it acts no more. A disk that is lost takes the fence
    /// with it.
    Died {
        process: String,
        disk: bool,
    },
    Granted {
        duty: String,
        token: u64,
        to: String,
    },
    /// A work plan that the fleet has said yes to.
    Plan {
        name: String,
        most_out: u32,
        most_out_zone: u32,
        most_out_cell: u32,
    },
    /// A machine of a plan has come to another stage, as the leader says.
    Stepped {
        plan: String,
        machine: String,
        from: String,
        to: String,
        token: u64,
        why: String,
    },
    /// The maintenance system has begun work, and staff have ended it.
    WorkBegins {
        machine: String,
        token: u64,
        id: String,
    },
    WorkEnds {
        machine: String,
    },
    /// The maintenance system has refused an old owner.
    StaleBegin {
        machine: String,
        token: u64,
        seen: u64,
    },
    /// A query reached a machine of a plan.
    Execution {
        machine: String,
        query: String,
    },
    PlanDone {
        name: String,
    },
    /// At the end, after all is healed.
    Final {
        process: String,
        version: u64,
        outs: BTreeSet<String>,
    },
}

/// Drops the unsure lines of calls that were acknowledged in the end: a call that was made again and then acknowledged is
/// sure after all.
pub fn drop_settled(lines: &mut Vec<Line>) {
    let acked = lines.iter().filter_map(|line| match &line.kind {
        Kind::Acked { command, .. } => Some(command.clone()),
        _ => None,
    });
    let acked: BTreeSet<String> = acked.collect();
    lines.retain(|line| !matches!(&line.kind, Kind::Unsure { command, .. } if acked.contains(command)));
}

/// What the checks found.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Found {
    pub breaches: Vec<String>,
    /// Longest time that two owners of one duty both believed in themselves.
    pub overlap_us: u64,
    pub effects: u64,
    /// Stale words that came to a fence, and those that got through.
    pub stale_tried: u64,
    pub stale_taken: u64,
    pub acked: u64,
    pub lost: u64,
    pub owners: u64,
    /// Times from an owner's end to the next one's beginning, where it fell silent.
    pub ownerless_us: Vec<u64>,
    /// The same, where it gave the duty up.
    pub handed_us: Vec<u64>,
}

struct Belief<'a> {
    token: u64,
    process: &'a str,
    from_us: u64,
    until_us: u64,
    gave: bool,
}

/// Each owner's spans of belief, cut where it let go or died.
fn beliefs<'a>(lines: &'a [Line], duty: &str) -> Vec<Belief<'a>> {
    let mut all: Vec<Belief<'a>> = Vec::new();
    for line in lines {
        match &line.kind {
            Kind::Held { duty: of, token, process, from_us, until_us } if of == duty => {
                let same = all.iter_mut().rev().find(|one| one.token == *token && one.process == process);
                match same.filter(|one| one.from_us == *from_us || *from_us <= one.until_us) {
                    Some(one) => one.until_us = one.until_us.max(*until_us),
                    None => all.push(Belief {
                        token: *token,
                        process,
                        from_us: *from_us,
                        until_us: *until_us,
                        gave: false,
                    }),
                }
            }
            Kind::LetGo { duty: of, token, process } if of == duty => {
                let given = all.iter_mut().filter(|one| one.process == process && one.token <= *token);
                let given = given.filter(|one| line.t_us < one.until_us);
                given.for_each(|one| (one.until_us, one.gave) = (line.t_us, true));
            }
            Kind::Died { process, .. } => {
                let dead = all.iter_mut().filter(|one| one.process == process);
                dead.for_each(|one| one.until_us = one.until_us.min(line.t_us));
            }
            _ => {}
        }
    }
    all
}

/// Receivers are named for the proxy, since a fence outlives a restart.
fn proxy(process: &str) -> &str {
    process.split_once('.').map_or(process, |(name, _)| name)
}

/// Lines must be in the order of their times.
pub fn check(lines: &[Line]) -> Found {
    let mut found = Found::default();
    let duties: BTreeSet<&str> = lines
        .iter()
        .filter_map(|line| match &line.kind {
            Kind::Held { duty, .. } => Some(duty.as_str()),
            _ => None,
        })
        .collect();
    for duty in duties {
        owners(duty, beliefs(lines, duty), &idle(lines), &mut found);
    }
    grants(lines, &mut found);
    effects(lines, &mut found);
    acked(lines, &mut found);
    found
}

/// Spans without a majority.
fn idle(lines: &[Line]) -> Vec<(u64, u64)> {
    let mut spans: Vec<(u64, u64)> = Vec::new();
    for line in lines {
        match line.kind {
            Kind::Majority { there: false } => spans.push((line.t_us, u64::MAX)),
            Kind::Majority { there: true } => {
                spans.iter_mut().for_each(|span| span.1 = span.1.min(line.t_us));
            }
            _ => {}
        }
    }
    spans
}

fn owners(duty: &str, mut all: Vec<Belief>, idle: &[(u64, u64)], found: &mut Found) {
    all.retain(|one| one.from_us < one.until_us);
    all.sort_by_key(|one| one.from_us);
    found.owners += all.len() as u64;
    let mut last: Option<&Belief> = None;
    let mut end_us: u64 = 0;
    for one in &all {
        if let Some(last) = last {
            if one.token < last.token {
                found.breaches.push(format!("{duty}: token {} after {}", one.token, last.token));
            }
            let other = one.token != last.token || one.process != last.process;
            if other && one.from_us < end_us {
                let overlap = end_us.min(one.until_us) - one.from_us;
                found.overlap_us = found.overlap_us.max(overlap);
                found.breaches.push(format!(
                    "{duty}: {} (token {}) and {} (token {}) both owners for {overlap} us from {}",
                    last.process, last.token, one.process, one.token, one.from_us
                ));
            }
            if one.from_us > end_us {
                // Time without a majority does not count: from its end on a lease may have to be waited for anew.
                let since = idle.iter().filter(|(from, until)| *from < one.from_us && *until > end_us);
                let since_us = since.map(|(_, until)| *until).max().unwrap_or(0).clamp(end_us, one.from_us);
                let times = if last.gave { &mut found.handed_us } else { &mut found.ownerless_us };
                times.push(one.from_us - since_us);
            }
        }
        if one.until_us >= end_us {
            (last, end_us) = (Some(one), one.until_us);
        }
    }
}

fn grants(lines: &[Line], found: &mut Found) {
    let mut given: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    for line in lines {
        if let Kind::Granted { duty, token, to } = &line.kind {
            if given.insert((duty, *token), to).is_some_and(|before| before != to) {
                found.breaches.push(format!("{duty}: token {token} given twice"));
            }
        }
    }
}

fn effects(lines: &[Line], found: &mut Found) {
    // Per receiver and duty: the highest token and version taken.
    let mut seen: BTreeMap<(String, String), (u64, u64)> = BTreeMap::new();
    for line in lines {
        match &line.kind {
            Kind::Effect { duty, token, version, owner, receiver } => {
                found.effects += 1;
                let seen = seen.entry((proxy(receiver).to_owned(), duty.clone())).or_default();
                if *token < seen.0 {
                    found.stale_taken += 1;
                    found.breaches.push(format!(
                        "{receiver} took {duty} version {version} of {owner} with token {token} after {}",
                        seen.0
                    ));
                }
                if *version < seen.1 {
                    found
                        .breaches
                        .push(format!("{receiver} went back to {duty} version {version} from {}", seen.1));
                }
                *seen = (seen.0.max(*token), seen.1.max(*version));
            }
            Kind::StaleRefused { .. } => found.stale_tried += 1,
            Kind::Died { process, disk: false } => seen.retain(|(receiver, _), _| receiver != proxy(process)),
            _ => {}
        }
    }
    found.stale_tried += found.stale_taken;
}

fn acked(lines: &[Line], found: &mut Found) {
    let mut unsure: BTreeSet<&str> = BTreeSet::new();
    let mut last: BTreeMap<&str, (u64, bool)> = BTreeMap::new();
    let mut highest = 0;
    for line in lines {
        match &line.kind {
            Kind::Acked { version, out, ids, .. } => {
                found.acked += 1;
                highest = highest.max(*version);
                for id in ids {
                    let entry = last.entry(id).or_insert((*version, *out));
                    // Equal versions: the one that changed nothing agrees with the one that did.
                    if *version >= entry.0 {
                        *entry = (*version, *out);
                    }
                }
            }
            Kind::Unsure { ids, .. } => unsure.extend(ids.iter().map(String::as_str)),
            _ => {}
        }
    }
    let finals = lines.iter().filter_map(|line| match &line.kind {
        Kind::Final { process, version, outs } => Some((process, *version, outs)),
        _ => None,
    });
    let finals: Vec<_> = finals.collect();
    for (process, version, outs) in &finals {
        if *version < highest {
            found.lost += 1;
            found.breaches.push(format!("{process} ends at version {version}, {highest} was acknowledged"));
        }
        if (*version, *outs) != (finals[0].1, finals[0].2) {
            found.breaches.push(format!("{process} ends at {version}, {} at {}", finals[0].0, finals[0].1));
        }
        for (id, (at, out)) in last.iter().filter(|(id, _)| !unsure.contains(*id)) {
            if outs.contains(*id) != *out {
                found.lost += 1;
                found.breaches.push(format!("{process}: {id} should be out={out} since version {at}"));
            }
        }
    }
}
