//! A model of an inference engine: continuous batching, chunked prefill, limited KV memory and a prefix cache.

use crankpick_dispatch::{PromptPart, ReportedLoad};
use std::collections::{HashMap, VecDeque};

/// The speed and the capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    pub slots: usize,
    pub kv_tokens: u64,
    pub step_ms: f64,
    pub step_ms_per_slot: f64,
    pub step_ms_per_k_context_tokens: f64,
    pub prefill_tokens_per_ms: f64,
    pub prefill_ms_per_m_token_pairs: f64,
    pub first_token_overhead_ms: f64,
    pub tokens_per_event: u32,
    pub prefill_chunk_tokens: u32,
}

/// A request as submitted to an engine.
#[derive(Clone, Debug)]
pub struct EngineJob {
    pub id: usize,
    pub priority: u8,
    pub parts: Vec<PromptPart>,
    pub response_tokens: u32,
}

/// An output of an engine step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StepOutput {
    FirstToken { id: usize, load: ReportedLoad },
    Event { id: usize },
    Done { id: usize },
}

#[derive(Debug)]
struct Running {
    job: EngineJob,
    prefill_left: u32,
    context_tokens: u64,
    generated_tokens: u32,
    private_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    used: u64,
}

/// The state of an engine between steps. The caller maintains the clock.
#[derive(Debug)]
pub struct Engine {
    model: EngineModel,
    slowness: f64,
    waiting: VecDeque<EngineJob>,
    running: Vec<Running>,
    cache: HashMap<u64, CachedPart>,
    cached_tokens: u64,
    reserved_tokens: u64,
    use_counter: u64,
    /// Parts prefilled since the caller last took this list.
    pub prefilled_parts: Vec<PromptPart>,
}

impl Engine {
    pub fn new(model: EngineModel, slowness: f64) -> Engine {
        Engine {
            model,
            slowness,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: HashMap::new(),
            cached_tokens: 0,
            reserved_tokens: 0,
            use_counter: 0,
            prefilled_parts: Vec::new(),
        }
    }

    pub fn push(&mut self, job: EngineJob) {
        let position = self.waiting.iter().position(|other| other.priority > job.priority);
        self.waiting.insert(position.unwrap_or(self.waiting.len()), job);
    }

    pub fn idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    pub fn cancel(&mut self, id: usize) {
        self.waiting.retain(|job| job.id != id);
        if let Some(at) = self.running.iter().position(|running| running.job.id == id) {
            let removed = self.running.remove(at);
            self.reserved_tokens -= removed.private_tokens;
        }
    }

    pub fn load(&self) -> ReportedLoad {
        let running = self.running.iter().filter(|running| running.generated_tokens > 0).count();
        let waiting = self.running.len() - running + self.waiting.len();
        ReportedLoad { running: running as u32, waiting: waiting as u32, slots: self.model.slots as u32 }
    }

    /// Begins a step and returns its duration in ms; `finish_step` ends it.
    pub fn begin_step(&mut self) -> f64 {
        self.admit();
        let decoding: Vec<&Running> =
            self.running.iter().filter(|running| running.prefill_left == 0).collect();
        let context_tokens: u64 = decoding.iter().map(|running| running.context_tokens).sum();
        let model = &self.model;
        let mut ms = model.step_ms
            + model.step_ms_per_slot * decoding.len() as f64
            + model.step_ms_per_k_context_tokens * context_tokens as f64 / 1e3;
        let mut budget = model.prefill_chunk_tokens;
        for running in &self.running {
            let chunk = running.prefill_left.min(budget);
            budget -= chunk;
            let pairs = f64::from(chunk) * (running.context_tokens as f64 + f64::from(chunk) / 2.0);
            ms += f64::from(chunk) / model.prefill_tokens_per_ms
                + model.prefill_ms_per_m_token_pairs * pairs / 1e6;
        }
        ms * self.slowness
    }

    fn admit(&mut self) {
        while self.running.len() < self.model.slots {
            let Some(job) = self.waiting.front() else { return };
            let prompt_tokens: u64 = job.parts.iter().map(|part| u64::from(part.tokens)).sum();
            let needed_tokens = prompt_tokens + u64::from(job.response_tokens);
            if self.reserved_tokens + needed_tokens > self.model.kv_tokens && !self.running.is_empty() {
                return;
            }
            let job = self.waiting.pop_front().expect("the queue is not empty");
            self.start(job);
        }
    }

    fn start(&mut self, job: EngineJob) {
        let mut cached = 0;
        let mut prefix_cached = true;
        for part in &job.parts {
            self.use_counter += 1;
            let cached_part = self.cache.get_mut(&part.id).filter(|_| prefix_cached);
            prefix_cached = cached_part.is_some();
            if let Some(cached_part) = cached_part {
                cached_part.used = self.use_counter;
                cached += part.tokens;
            }
        }
        let prompt_tokens: u32 = job.parts.iter().map(|part| part.tokens).sum();
        let prefill_left = (prompt_tokens - cached).max(1);
        let private_tokens = u64::from(prefill_left + job.response_tokens);
        self.reserved_tokens += private_tokens;
        self.evict_parts();
        self.running.push(Running {
            job,
            prefill_left,
            context_tokens: u64::from(cached),
            generated_tokens: 0,
            private_tokens,
        });
    }

    fn evict_parts(&mut self) {
        while self.reserved_tokens + self.cached_tokens > self.model.kv_tokens && !self.cache.is_empty() {
            let oldest =
                *self.cache.iter().min_by_key(|(_, part)| part.used).expect("the cache is not empty").0;
            let evicted = self.cache.remove(&oldest).expect("the oldest part is cached");
            self.cached_tokens -= u64::from(evicted.tokens);
        }
    }

    /// Ends the step and returns its outputs.
    pub fn finish_step(&mut self) -> Vec<StepOutput> {
        let mut outputs = Vec::new();
        let mut budget = self.model.prefill_chunk_tokens;
        let mut completed_prompts = Vec::new();
        for running in &mut self.running {
            if running.prefill_left > 0 {
                let chunk = running.prefill_left.min(budget);
                budget -= chunk;
                running.prefill_left -= chunk;
                running.context_tokens += u64::from(chunk);
                if running.prefill_left > 0 || chunk == 0 {
                    continue;
                }
                completed_prompts.push(running.job.parts.clone());
            }
            running.generated_tokens += 1;
            running.context_tokens += 1;
        }
        completed_prompts.into_iter().for_each(|parts| self.cache_parts(&parts));
        let load = self.load();
        for running in &self.running {
            let id = running.job.id;
            match running.generated_tokens {
                0 => {}
                1 => outputs.push(StepOutput::FirstToken { id, load }),
                n if n % self.model.tokens_per_event == 0 => outputs.push(StepOutput::Event { id }),
                _ => {}
            }
            if running.generated_tokens >= running.job.response_tokens.max(1) {
                outputs.push(StepOutput::Done { id });
                self.reserved_tokens -= running.private_tokens;
            }
        }
        self.running.retain(|running| running.generated_tokens < running.job.response_tokens.max(1));
        outputs
    }

    fn cache_parts(&mut self, parts: &[PromptPart]) {
        let mut prefix_cached = true;
        for part in parts {
            self.use_counter += 1;
            let used = self.use_counter;
            let cached_part = self.cache.get_mut(&part.id).filter(|_| prefix_cached);
            prefix_cached = cached_part.is_some();
            match cached_part {
                Some(cached_part) => cached_part.used = used,
                None => {
                    self.prefilled_parts.push(*part);
                    let new = CachedPart { tokens: part.tokens, used };
                    let previous = self.cache.insert(part.id, new);
                    let grown = u64::from(part.tokens)
                        - previous.map_or(0, |cached_part| u64::from(cached_part.tokens));
                    self.cached_tokens += grown;
                }
            }
        }
        self.evict_parts();
    }

    /// The delay of a first token beyond the end of its step, in ms.
    pub fn first_token_overhead_ms(&self) -> f64 {
        self.model.first_token_overhead_ms
    }
}
