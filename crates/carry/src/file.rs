//! The fleet's configuration file: read and validated as a whole; errors name the file, the line and the
//! reason. Used by the proxy at start and by `crankpick check`.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crankpick_fleet::lease::Timing;
use crankpick_fleet::node::Plan;
use crankpick_fleet::work::SendPolicy;
use serde::Deserialize;
use toml::Spanned;

const DEFAULT_LEASE_US: u64 = 3_000_000;
const DEFAULT_WAIT_US: u64 = 1_000_000;
/// Below this range, a lease would expire during an ordinary pause of a busy machine; above, failover would
/// take too long.
const LEASE_RANGE_US: std::ops::RangeInclusive<u64> = 200_000..=600_000_000;
const MAX_WAIT_US: u64 = 60_000_000;
/// Maximum number of voters: more of them make each message more expensive and tolerate few more failures.
const MAX_VOTERS: usize = 7;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Voter {
    name: Spanned<String>,
    address: Spanned<SocketAddr>,
}

/// What a proxy does after a lease without contact to the fleet.
#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum CutOff {
    Serve,
    Drain,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Text {
    fleet: Spanned<String>,
    name: Option<Spanned<String>>,
    listen: Option<Spanned<SocketAddr>>,
    state: Option<Spanned<PathBuf>>,
    lease_us: Option<Spanned<u64>>,
    renew_us: Option<Spanned<u64>>,
    wait_us: Option<Spanned<u64>>,
    owns: Option<bool>,
    when_cut_off: Option<CutOff>,
    serve_unheard: Option<Spanned<bool>>,
    history: Option<bool>,
    #[serde(default)]
    voters: Vec<Voter>,
}

/// A valid file.
#[derive(Clone, Debug)]
pub struct FleetFile {
    pub plan: Plan,
    /// Where this process listens for other processes, if it is a voter.
    pub listen: Option<SocketAddr>,
    /// The voters' addresses, in the same order as `Plan::voters`.
    pub voters: Vec<SocketAddr>,
    pub state: Option<PathBuf>,
    /// How long a start waits for the version in force.
    pub wait_us: u64,
    pub owns: bool,
    /// Whether each renewal of an owner is logged.
    pub history: bool,
}

fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
    (1..=64).contains(&name.len()) && name.bytes().all(allowed)
}

/// Reads and validates the file. `own` is the process's name from elsewhere, for a file shared by all
/// proxies.
pub fn read(path: &Path, own: Option<&str>) -> Result<FleetFile, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let line = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
    let parsed = toml::from_str::<Text>(&text).map_err(|error| {
        let at = error.span().map_or(1, |span| line(span.start));
        (at, error.message().replace('\n', ", "))
    });
    let validated = parsed.and_then(|file| validate(file, own).map_err(|(at, why)| (line(at), why)));
    validated.map_err(|(line, why)| format!("{}:{line}: {why}", path.display()))
}

fn validate(text: Text, own: Option<&str>) -> Result<FleetFile, (usize, String)> {
    let at = |place: std::ops::Range<usize>, why: String| Err((place.start, why));
    if !is_valid_name(text.fleet.get_ref()) {
        return at(text.fleet.span(), "fleet: 1 to 64 of letters, digits, - and _".into());
    }
    let (name, name_span) = match (&text.name, own) {
        (Some(name), _) => (name.get_ref().clone(), name.span()),
        (None, Some(own)) => (own.to_owned(), 0..0),
        (None, None) => return at(0..0, "no name: give one here, or in the configuration".into()),
    };
    if !is_valid_name(&name) {
        return at(name_span, format!("name {name:?}: 1 to 64 of letters, digits, - and _"));
    }
    if text.voters.is_empty() {
        return at(0..0, "no voters: name 3 or 5 as [[voters]]".into());
    }
    let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
    for voter in &text.voters {
        if !is_valid_name(voter.name.get_ref()) {
            return at(voter.name.span(), "a voter's name: 1 to 64 of letters, digits, - and _".into());
        }
        if !names.insert(voter.name.get_ref()) {
            return at(voter.name.span(), format!("two voters named {:?}", voter.name.get_ref()));
        }
        if !addresses.insert(*voter.address.get_ref()) {
            return at(voter.address.span(), format!("address {} twice", voter.address.get_ref()));
        }
    }
    let last = text.voters.last().map_or(0..0, |voter| voter.name.span());
    if text.voters.len().is_multiple_of(2) {
        return at(
            last,
            format!("{} voters: an even number tolerates no more failures than one less", text.voters.len()),
        );
    }
    if text.voters.len() > MAX_VOTERS {
        return at(last, format!("{} voters: {MAX_VOTERS} at most", text.voters.len()));
    }
    let seat = text.voters.iter().find(|voter| *voter.name.get_ref() == name);
    if let (Some(listen), None) = (&text.listen, seat) {
        return at(listen.span(), format!("listens, but {name:?} is not among the voters"));
    }
    if seat.is_some() && text.state.is_none() {
        return at(name_span, format!("{name:?} is a voter and has no folder: give state"));
    }
    let lease_us = text.lease_us.as_ref().map_or(DEFAULT_LEASE_US, |lease| *lease.get_ref());
    let lease_at = text.lease_us.as_ref().map_or(0..0, Spanned::span);
    if !LEASE_RANGE_US.contains(&lease_us) {
        return at(
            lease_at,
            format!("lease_us {lease_us}: from {} to {}", LEASE_RANGE_US.start(), LEASE_RANGE_US.end()),
        );
    }
    let mut times = Timing::new(lease_us);
    if let Some(renew) = &text.renew_us {
        times.renew_us = *renew.get_ref();
        if times.renew_us == 0 || times.renew_us.saturating_mul(3) > lease_us {
            let why = format!(
                "renew_us {}: a lease of {lease_us} is shorter than three renewal intervals",
                times.renew_us
            );
            return at(renew.span(), why);
        }
    }
    let wait_us = text.wait_us.as_ref().map_or(DEFAULT_WAIT_US, |wait| *wait.get_ref());
    if wait_us > MAX_WAIT_US {
        return at(text.wait_us.map_or(0..0, |wait| wait.span()), format!("wait_us: {MAX_WAIT_US} at most"));
    }
    let drains = text.when_cut_off == Some(CutOff::Drain);
    let serves_unheard =
        text.serve_unheard.as_ref().map_or(!drains, |serves_unheard| *serves_unheard.get_ref());
    if drains && serves_unheard {
        let why =
            "serve_unheard: a proxy that drains when cut off must not serve before it has heard the fleet";
        return at(text.serve_unheard.map_or(0..0, |serves_unheard| serves_unheard.span()), why.into());
    }
    Ok(FleetFile {
        listen: text.listen.map(Spanned::into_inner).or_else(|| seat.map(|voter| *voter.address.get_ref())),
        voters: text.voters.iter().map(|voter| *voter.address.get_ref()).collect(),
        plan: Plan {
            fleet: text.fleet.into_inner(),
            voters: text.voters.iter().map(|voter| voter.name.get_ref().clone()).collect(),
            name,
            times,
            terms: SendPolicy { drains, waits: !serves_unheard, longest_us: 0 },
        },
        state: text.state.map(Spanned::into_inner),
        wait_us,
        owns: text.owns.unwrap_or(true),
        history: text.history.unwrap_or(false),
    })
}
