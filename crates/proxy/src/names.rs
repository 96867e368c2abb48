//! What backends are called, here and in the module, and which of them operators have taken out. Written by
//! `discovery` and by those who take backends out; no I/O.

use std::collections::{BTreeMap, BTreeSet};

use crankpick::interface::Listed;

/// The backends' ids and the module's numbers for them. A number is drawn from the text, so that all
/// proxies have the same.
#[derive(Default)]
pub struct Names {
    /// As last listed.
    listed: BTreeMap<String, Listed>,
    /// Out, also those that are on no list.
    out: BTreeMap<String, Out>,
}

/// Who takes a backend out: either does, and it is back once neither does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    /// Operators, at this proxy.
    Hand,
    /// The fleet, at all of them.
    Fleet,
}

#[derive(Clone, Copy)]
struct Out {
    number: u32,
    hand: bool,
    fleet: bool,
}

impl Names {
    /// What is known of an id.
    pub fn last(&self, id: &str) -> Listed {
        if let Some(last) = self.listed.get(id) {
            return *last;
        }
        let number = self.out.get(id).map(|out| out.number);
        let taken = |number: u32| {
            let listed = self.listed.values().any(|listed| listed.backend == number);
            listed || self.out.values().any(|out| out.number == number)
        };
        let backend = number.unwrap_or_else(|| {
            let first = hash(id);
            (0..).map(|step| first.wrapping_add(step)).find(|number| !taken(*number)).unwrap_or(first)
        });
        Listed { backend, ..Listed::default() }
    }

    pub fn knows(&self, id: &str) -> bool {
        self.listed.contains_key(id) || self.out.contains_key(id)
    }

    /// Notes who takes it out or back; returns the module's number where it is out now and was not, or is back.
    pub fn set(&mut self, id: &str, by: By, is_out: bool) -> Option<u32> {
        let number = self.last(id).backend;
        let was = self.out.get(id).copied();
        let mut out = was.unwrap_or(Out { number, hand: false, fleet: false });
        match by {
            By::Hand => out.hand = is_out,
            By::Fleet => out.fleet = is_out,
        }
        match out.hand || out.fleet {
            true => self.out.insert(id.to_owned(), out),
            false => self.out.remove(id),
        };
        (was.is_some() != (out.hand || out.fleet)).then_some(number)
    }

    pub fn all_out(&self, by: By) -> Vec<String> {
        let of = |out: &Out| match by {
            By::Hand => out.hand,
            By::Fleet => out.fleet,
        };
        self.out.iter().filter(|(_, out)| of(out)).map(|(id, _)| id.clone()).collect()
    }

    pub fn all(&self) -> impl Iterator<Item = (&String, &Listed)> {
        self.listed.iter()
    }

    pub fn listed(&mut self, id: String, listed: Listed) {
        self.listed.insert(id, listed);
    }

    pub fn gone(&mut self, id: &str) {
        self.listed.remove(id);
    }

    /// Who is listed but not among these, with the module's numbers.
    pub fn missing(&self, ids: &BTreeSet<&str>) -> Vec<(String, u32)> {
        let missing = self.listed.iter().filter(|(id, _)| !ids.contains(id.as_str()));
        missing.map(|(id, listed)| (id.clone(), listed.backend)).collect()
    }
}

/// FNV-1a.
fn hash(id: &str) -> u32 {
    id.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
