//! Estimates which prompt parts a backend has cached from the prompts that this gateway sent to it.

use crate::interface::{PromptPart, Timestamp};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The maximum number of part uses tracked per backend.
const MAX_PARTS: usize = 1024;
/// Parts sent longer ago are assumed to have been evicted by the requests of other gateways.
const CACHE_RETENTION: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    used: Timestamp,
}

/// An LRU model of the prefix cache of one backend.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixCache {
    parts: HashMap<u64, CachedPart>,
    /// Part uses in chronological order. Only the last use of a part counts.
    uses: VecDeque<(u64, Timestamp)>,
    tokens: u64,
}

impl PrefixCache {
    /// The number of tokens in the longest cached prefix of the prompt.
    pub fn cached_tokens(&self, now: Timestamp, parts: &[PromptPart]) -> u32 {
        let is_cached = |part: &&PromptPart| {
            self.parts.get(&part.id).is_some_and(|cached| now < cached.used + CACHE_RETENTION)
        };
        parts.iter().take_while(is_cached).fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    /// Records a prompt sent to the backend and evicts parts that are too old or exceed `max_tokens` tokens in total.
    pub fn record_prompt(&mut self, now: Timestamp, parts: &[PromptPart], max_tokens: u64) {
        for part in parts {
            let cached = CachedPart { tokens: part.tokens, used: now };
            let previous_tokens =
                self.parts.insert(part.id, cached).map_or(0, |cached| u64::from(cached.tokens));
            self.tokens = self.tokens + u64::from(part.tokens) - previous_tokens;
            self.uses.push_back((part.id, now));
        }
        while let Some((id, used)) = self.uses.front().copied() {
            let over_limit = self.tokens > max_tokens || self.uses.len() > MAX_PARTS;
            if !over_limit && now < used + CACHE_RETENTION {
                return;
            }
            self.uses.pop_front();
            if self.parts.get(&id).is_some_and(|cached| cached.used == used) {
                self.tokens -= self.parts.remove(&id).map_or(0, |cached| u64::from(cached.tokens));
            }
        }
    }

    /// Empties the cache model after the backend may have restarted.
    pub fn clear(&mut self) {
        *self = PrefixCache::default();
    }
}

#[cfg(test)]
#[path = "../tests/unit/prefix.rs"]
mod tests;
