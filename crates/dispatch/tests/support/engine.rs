//! A small model of an engine: batches, prompts prefilled in pieces, memory, kept parts.

use crankpick_dispatch::{PromptPart, ReportedLoad};
use std::collections::{HashMap, VecDeque};

/// How fast an engine is and how much it holds.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    pub slots: usize,
    pub kv_tokens: u64,
    pub step_ms: f64,
    pub step_ms_per_slot: f64,
    pub context_ms_per_k: f64,
    pub prefill_tokens_per_ms: f64,
    pub pairs_ms_per_m: f64,
    pub first_ms: f64,
    pub stride: u32,
    pub chunk: u32,
}

/// A request as an engine sees it.
#[derive(Clone, Debug)]
pub struct EngineJob {
    pub id: usize,
    pub priority: u8,
    pub parts: Vec<PromptPart>,
    pub answer_tokens: u32,
}

/// What a step of an engine yielded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Yield {
    First { id: usize, load: ReportedLoad },
    Event { id: usize },
    Done { id: usize },
}

#[derive(Debug)]
struct Running {
    job: EngineJob,
    unread: u32,
    context: u64,
    produced: u32,
    private: u64,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: u64,
}

/// An engine between steps; the caller keeps its clock.
#[derive(Debug)]
pub struct Engine {
    model: EngineModel,
    slow: f64,
    waiting: VecDeque<EngineJob>,
    running: Vec<Running>,
    kept: HashMap<u64, Kept>,
    kept_tokens: u64,
    private_tokens: u64,
    uses: u64,
    /// Parts read since last asked: what they are and how long.
    pub read: Vec<PromptPart>,
}

impl Engine {
    pub fn new(model: EngineModel, slow: f64) -> Engine {
        Engine {
            model,
            slow,
            waiting: VecDeque::new(),
            running: Vec::new(),
            kept: HashMap::new(),
            kept_tokens: 0,
            private_tokens: 0,
            uses: 0,
            read: Vec::new(),
        }
    }

    pub fn push(&mut self, job: EngineJob) {
        let place = self.waiting.iter().position(|other| other.priority > job.priority);
        self.waiting.insert(place.unwrap_or(self.waiting.len()), job);
    }

    pub fn idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    pub fn cancel(&mut self, id: usize) {
        self.waiting.retain(|job| job.id != id);
        if let Some(at) = self.running.iter().position(|running| running.job.id == id) {
            let gone = self.running.remove(at);
            self.private_tokens -= gone.private;
        }
    }

    pub fn load(&self) -> ReportedLoad {
        let running = self.running.iter().filter(|running| running.produced > 0).count();
        let waiting = self.running.len() - running + self.waiting.len();
        ReportedLoad { running: running as u32, waiting: waiting as u32, slots: self.model.slots as u32 }
    }

    /// The length in ms of the step that begins now; `finish` ends it.
    pub fn begin_step(&mut self) -> f64 {
        self.admit();
        let decoding: Vec<&Running> = self.running.iter().filter(|running| running.unread == 0).collect();
        let context: u64 = decoding.iter().map(|running| running.context).sum();
        let model = &self.model;
        let mut ms = model.step_ms
            + model.step_ms_per_slot * decoding.len() as f64
            + model.context_ms_per_k * context as f64 / 1e3;
        let mut budget = model.chunk;
        for running in &self.running {
            let chunk = running.unread.min(budget);
            budget -= chunk;
            let pairs = f64::from(chunk) * (running.context as f64 + f64::from(chunk) / 2.0);
            ms += f64::from(chunk) / model.prefill_tokens_per_ms + model.pairs_ms_per_m * pairs / 1e6;
        }
        ms * self.slow
    }

    fn admit(&mut self) {
        while self.running.len() < self.model.slots {
            let Some(job) = self.waiting.front() else { return };
            let prompt: u64 = job.parts.iter().map(|part| u64::from(part.tokens)).sum();
            let needs = prompt + u64::from(job.answer_tokens);
            if self.private_tokens + needs > self.model.kv_tokens && !self.running.is_empty() {
                return;
            }
            let job = self.waiting.pop_front().expect("its front was just seen");
            self.start(job);
        }
    }

    fn start(&mut self, job: EngineJob) {
        let mut cached = 0;
        let mut whole = true;
        for part in &job.parts {
            self.uses += 1;
            let kept = self.kept.get_mut(&part.id).filter(|_| whole);
            whole = kept.is_some();
            if let Some(kept) = kept {
                kept.used = self.uses;
                cached += part.tokens;
            }
        }
        let prompt: u32 = job.parts.iter().map(|part| part.tokens).sum();
        let unread = (prompt - cached).max(1);
        let private = u64::from(unread + job.answer_tokens);
        self.private_tokens += private;
        self.give_way();
        self.running.push(Running { job, unread, context: u64::from(cached), produced: 0, private });
    }

    fn give_way(&mut self) {
        while self.private_tokens + self.kept_tokens > self.model.kv_tokens && !self.kept.is_empty() {
            let oldest = *self.kept.iter().min_by_key(|(_, kept)| kept.used).expect("some are kept").0;
            let gone = self.kept.remove(&oldest).expect("the oldest is kept");
            self.kept_tokens -= u64::from(gone.tokens);
        }
    }

    /// Ends the step: the tokens that it made.
    pub fn finish_step(&mut self) -> Vec<Yield> {
        let mut yields = Vec::new();
        let mut budget = self.model.chunk;
        let mut read = Vec::new();
        for running in &mut self.running {
            if running.unread > 0 {
                let chunk = running.unread.min(budget);
                budget -= chunk;
                running.unread -= chunk;
                running.context += u64::from(chunk);
                if running.unread > 0 || chunk == 0 {
                    continue;
                }
                read.push(running.job.parts.clone());
            }
            running.produced += 1;
            running.context += 1;
        }
        read.into_iter().for_each(|parts| self.keep(&parts));
        let load = self.load();
        for running in &self.running {
            let id = running.job.id;
            match running.produced {
                0 => {}
                1 => yields.push(Yield::First { id, load }),
                n if n % self.model.stride == 0 => yields.push(Yield::Event { id }),
                _ => {}
            }
            if running.produced >= running.job.answer_tokens.max(1) {
                yields.push(Yield::Done { id });
                self.private_tokens -= running.private;
            }
        }
        self.running.retain(|running| running.produced < running.job.answer_tokens.max(1));
        yields
    }

    fn keep(&mut self, parts: &[PromptPart]) {
        let mut whole = true;
        for part in parts {
            self.uses += 1;
            let uses = self.uses;
            let kept = self.kept.get_mut(&part.id).filter(|_| whole);
            whole = kept.is_some();
            match kept {
                Some(kept) => kept.used = uses,
                None => {
                    self.read.push(*part);
                    let new = Kept { tokens: part.tokens, used: uses };
                    let before = self.kept.insert(part.id, new);
                    let grown = u64::from(part.tokens) - before.map_or(0, |kept| u64::from(kept.tokens));
                    self.kept_tokens += grown;
                }
            }
        }
        self.give_way();
    }

    /// How much longer the first token takes than its step.
    pub fn first_ms(&self) -> f64 {
        self.model.first_ms
    }
}
