//! Which parts of prompts a backend keeps, as far as it follows from what this gateway sent there.

use crate::interface::PromptPart;
use std::collections::{HashMap, VecDeque};

/// Parts remembered of one backend at the most.
const MOST_PARTS: usize = 2048;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: u64,
}

/// The parts that one backend is believed to keep, the least recently used giving way.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixCache {
    parts: HashMap<u64, Kept>,
    order: VecDeque<(u64, u64)>,
    tokens: u64,
    uses: u64,
}

impl PrefixCache {
    /// Tokens at the prompt's start that need not be read.
    pub fn kept_tokens(&self, parts: &[PromptPart]) -> u32 {
        parts.iter().take_while(|part| self.parts.contains_key(&part.id)).map(|part| part.tokens).sum()
    }

    /// A prompt was sent there: its parts are kept now, as far as `bound` tokens go.
    pub fn sent(&mut self, parts: &[PromptPart], bound: u64) {
        for part in parts {
            self.uses += 1;
            let kept = Kept { tokens: part.tokens, used: self.uses };
            let before = self.parts.insert(part.id, kept).map_or(0, |kept| u64::from(kept.tokens));
            self.tokens = self.tokens + u64::from(part.tokens) - before;
            self.order.push_back((part.id, self.uses));
        }
        while self.tokens > bound || self.parts.len() > MOST_PARTS || self.order.len() > 2 * MOST_PARTS {
            let Some((id, used)) = self.order.pop_front() else { return };
            if self.parts.get(&id).is_some_and(|kept| kept.used == used) {
                self.tokens -= self.parts.remove(&id).map_or(0, |kept| u64::from(kept.tokens));
            }
        }
    }

    /// It restarted, or what was sent was never read.
    pub fn clear(&mut self) {
        *self = PrefixCache::default();
    }
}
