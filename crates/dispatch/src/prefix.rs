//! Which parts of prompts a backend keeps, as far as it follows from what this gateway sent there.

use crate::interface::{PromptPart, Timestamp};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Parts remembered of one backend at the most.
const MOST_PARTS: usize = 1024;
/// What was sent longer ago has given way to what others sent since.
const KEPT_FOR: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: Timestamp,
}

/// The parts that one backend is believed to keep, the least recently used giving way.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixCache {
    parts: HashMap<u64, Kept>,
    /// Uses in their order; of one part only the last one counts.
    uses: VecDeque<(u64, Timestamp)>,
    tokens: u64,
}

impl PrefixCache {
    /// Tokens at the prompt's start that need not be read.
    pub fn cached_tokens(&self, now: Timestamp, parts: &[PromptPart]) -> u32 {
        let kept = |part: &&PromptPart| self.parts.get(&part.id).is_some_and(|of| now < of.used + KEPT_FOR);
        parts.iter().take_while(kept).fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    /// A prompt was sent there: its parts are kept now, as far as `bound` tokens go.
    pub fn sent(&mut self, now: Timestamp, parts: &[PromptPart], bound: u64) {
        for part in parts {
            let kept = Kept { tokens: part.tokens, used: now };
            let before = self.parts.insert(part.id, kept).map_or(0, |kept| u64::from(kept.tokens));
            self.tokens = self.tokens + u64::from(part.tokens) - before;
            self.uses.push_back((part.id, now));
        }
        while let Some((id, used)) = self.uses.front().copied() {
            let crowded = self.tokens > bound || self.uses.len() > MOST_PARTS;
            if !crowded && now < used + KEPT_FOR {
                return;
            }
            self.uses.pop_front();
            if self.parts.get(&id).is_some_and(|kept| kept.used == used) {
                self.tokens -= self.parts.remove(&id).map_or(0, |kept| u64::from(kept.tokens));
            }
        }
    }

    /// It restarted: nothing is kept.
    pub fn clear(&mut self) {
        *self = PrefixCache::default();
    }
}

#[cfg(test)]
#[path = "../tests/unit/prefix.rs"]
mod tests;
