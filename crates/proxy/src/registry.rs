//! Ids and numbers of the backends, and which of them are taken out and by whom. Written by `discovery` and by
//! those that take backends out; no I/O.

use std::collections::{BTreeMap, BTreeSet};

use crankpick::interface::Listed;

/// Maps backend ids to the balancer's numbers. A number is derived from the id by hashing, so that all proxies
/// use the same one.
#[derive(Default)]
pub struct BackendRegistry {
    /// The latest entry of each listed backend.
    listed: BTreeMap<String, Listed>,
    /// Drained backends, including those not listed.
    out: BTreeMap<String, Drain>,
}

/// Who takes a backend out. Either one suffices; the backend returns once neither does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainSource {
    /// An operator, at this proxy.
    Operator,
    /// The fleet, at all proxies.
    Fleet,
}

#[derive(Clone, Copy)]
struct Drain {
    number: u32,
    operator: bool,
    fleet: bool,
}

impl BackendRegistry {
    /// The latest entry of a backend, or a default one with its number.
    pub fn latest(&self, id: &str) -> Listed {
        if let Some(last) = self.listed.get(id) {
            return *last;
        }
        let number = self.out.get(id).map(|out| out.number);
        let in_use = |number: u32| {
            let listed = self.listed.values().any(|listed| listed.backend == number);
            listed || self.out.values().any(|out| out.number == number)
        };
        let backend = number.unwrap_or_else(|| {
            let preferred = hash(id);
            (0..)
                .map(|step| preferred.wrapping_add(step))
                .find(|number| !in_use(*number))
                .unwrap_or(preferred)
        });
        Listed { backend, ..Listed::default() }
    }

    pub fn knows(&self, id: &str) -> bool {
        self.listed.contains_key(id) || self.out.contains_key(id)
    }

    /// Sets or clears one source of a drain; returns the backend's number if it was thereby taken out or put
    /// back.
    pub fn set_drain(&mut self, id: &str, by: DrainSource, is_out: bool) -> Option<u32> {
        let number = self.latest(id).backend;
        let previous = self.out.get(id).copied();
        let mut out = previous.unwrap_or(Drain { number, operator: false, fleet: false });
        match by {
            DrainSource::Operator => out.operator = is_out,
            DrainSource::Fleet => out.fleet = is_out,
        }
        match out.operator || out.fleet {
            true => self.out.insert(id.to_owned(), out),
            false => self.out.remove(id),
        };
        (previous.is_some() != (out.operator || out.fleet)).then_some(number)
    }

    pub fn drained(&self, by: DrainSource) -> Vec<String> {
        let matches = |out: &Drain| match by {
            DrainSource::Operator => out.operator,
            DrainSource::Fleet => out.fleet,
        };
        self.out.iter().filter(|(_, out)| matches(out)).map(|(id, _)| id.clone()).collect()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &Listed)> {
        self.listed.iter()
    }

    pub fn insert(&mut self, id: String, listed: Listed) {
        self.listed.insert(id, listed);
    }

    pub fn remove(&mut self, id: &str) {
        self.listed.remove(id);
    }

    /// Listed backends that are not in `ids`, with their numbers.
    pub fn missing(&self, ids: &BTreeSet<&str>) -> Vec<(String, u32)> {
        let missing = self.listed.iter().filter(|(id, _)| !ids.contains(id.as_str()));
        missing.map(|(id, listed)| (id.clone(), listed.backend)).collect()
    }
}

/// FNV-1a.
fn hash(id: &str) -> u32 {
    id.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
