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
    /// Out by hand, also those that are on no list.
    out: BTreeMap<String, u32>,
}

impl Names {
    /// What is known of an id.
    pub fn last(&self, id: &str) -> Listed {
        if let Some(last) = self.listed.get(id) {
            return *last;
        }
        let number = self.out.get(id).copied();
        let taken = |number: u32| {
            let listed = self.listed.values().any(|listed| listed.backend == number);
            listed || self.out.values().any(|out| *out == number)
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

    /// Notes who is out by hand; returns the module's number.
    pub fn by_hand(&mut self, id: &str, out: bool) -> u32 {
        let number = self.last(id).backend;
        match out {
            true => self.out.insert(id.to_owned(), number),
            false => self.out.remove(id),
        };
        number
    }

    pub fn all_out(&self) -> Vec<String> {
        self.out.keys().cloned().collect()
    }

    pub fn listed(&mut self, id: String, listed: Listed) {
        self.listed.insert(id, listed);
    }

    pub fn gone(&mut self, id: &str) {
        self.listed.remove(id);
    }

    /// Of those listed only these stay; returns the numbers of the others.
    pub fn only(&mut self, ids: &BTreeSet<&str>) -> Vec<u32> {
        let mut gone = Vec::new();
        self.listed.retain(|id, listed| {
            let stays = ids.contains(id.as_str());
            if !stays {
                gone.push(listed.backend);
            }
            stays
        });
        gone
    }
}

/// FNV-1a.
fn hash(id: &str) -> u32 {
    id.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
