use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use mulberrymill::{
    clock,
    error::{Error, Kind},
    unit::{Bytes, Tokens},
    wire::Role,
};
use rand::{SeedableRng, rngs::StdRng};

use super::{
    Result,
    cache::Cache,
    config::{Config, profile},
    control::{Faults, Pending, Tally},
    report::{Event, Report},
    sequence::{Generate, Job, Phase, Sequence},
    text::TOKEN_BYTES,
};

/// Event that [`Model::poll`] returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Next part of an answer.
    Text(Job, String),
    /// End of a complete answer, with the numbers of prompt and answer tokens.
    End(Job, Tokens, Tokens),
    /// The answer breaks off; no [`Output::End`] follows.
    Broken(Job),
    /// The order in progress took effect.
    Applied,
    /// The engine crashed; its requests and the order in progress are lost.
    Crashed,
}

/// One engine step: the prompt tokens to prefill per job, and the jobs that decode a token.
#[derive(Debug)]
struct Step {
    end: Instant,
    prefill: Vec<(Job, u64)>,
    decode: Vec<Job>,
}

/// Simulated model engine without sockets. [`Model::poll`] advances it to the time of its clock.
#[derive(Debug)]
pub struct Model {
    pub(super) config: Config,
    pub(super) clock: clock::Shared,
    pub(super) rng: StdRng,
    pub(super) models: Vec<mulberrymill::id::Model>,
    pub(super) role: Role,
    pub(super) draining: bool,
    pub(super) says_leaving: bool,
    pub(super) crashed: bool,
    pub(super) cache: Cache,
    pub(super) sequences: Vec<Sequence>,
    pub(super) pending: Option<Pending>,
    pub(super) fence: mulberrymill::id::Fence,
    pub(super) faults: Faults,
    pub(super) reports: VecDeque<(Instant, Report)>,
    pub(super) events: VecDeque<(Instant, Event)>,
    pub(super) last_event: u64,
    pub(super) tally: Tally,
    step: Option<Step>,
    /// Number of accepted requests.
    arrivals: u64,
    pub(super) outputs: Vec<Output>,
}

impl Model {
    /// Creates an idle engine that takes its time from `clock`.
    #[must_use]
    pub fn new(config: Config, clock: clock::Shared) -> Self {
        let mut model = Self {
            rng: StdRng::seed_from_u64(config.seed),
            models: config.models.clone(),
            role: config.role,
            draining: false,
            says_leaving: false,
            crashed: false,
            cache: Cache::new(config.blocks),
            sequences: Vec::new(),
            pending: None,
            fence: mulberrymill::id::Fence::default(),
            faults: Faults::default(),
            reports: VecDeque::new(),
            events: VecDeque::new(),
            last_event: 0,
            tally: Tally::default(),
            step: None,
            arrivals: 0,
            outputs: Vec::new(),
            config,
            clock,
        };
        model.record_report(model.clock.now());
        model
    }

    /// Queues a request under the id `job`.
    ///
    /// # Errors
    ///
    /// Fails with `executed: no` if the engine is down, draining, pausing or changing its role, does not
    /// have the model, or has too few KV blocks for the request, and if the resume offset is after
    /// the end of the answer.
    pub fn submit(&mut self, job: Job, work: &Generate) -> Result<()> {
        self.advance();
        let refuse = |kind, detail: &str| Err(Error::new(kind, detail));
        if self.crashed {
            return refuse(Kind::NoEndpoint, "the engine is down");
        }
        if self.draining {
            return refuse(Kind::Leaving, "the engine is draining");
        }
        if let Some(pause) = self.faults.pause {
            self.tally.paused += 1;
            let error = Error::new(Kind::Paused, "the engine asks for a pause");
            return Err(error.with_retry_after(pause));
        }
        if self.is_changing_role() {
            return refuse(Kind::NoEndpoint, "the engine is changing its role");
        }
        if !self.models.contains(&work.model) {
            return refuse(Kind::NotFound, "the model is not loaded");
        }
        let mut sequence = Sequence::new(job, work, self.config.block, self.arrivals);
        if sequence.max_blocks(self.config.block) > self.config.blocks {
            return refuse(Kind::TooLarge, "the request does not fit into the KV cache");
        }
        if sequence.sent_bytes > sequence.output_tokens * TOKEN_BYTES {
            return refuse(Kind::BadRequest, "the resume offset is after the answer");
        }
        sequence.break_at = self.faults.break_next_at.take().map(Bytes::get);
        self.arrivals += 1;
        self.sequences.push(sequence);
        let now = self.clock.now();
        self.start_step(now);
        self.record_report(now);
        Ok(())
    }

    /// Number of requests accepted since the creation of the engine; a crash does not reset it.
    #[must_use]
    pub const fn accepted(&self) -> u64 {
        self.arrivals
    }

    /// Cancels a request; no effect if it has ended.
    pub fn cancel(&mut self, job: Job) {
        self.advance();
        self.remove(job);
        self.record_report(self.clock.now());
    }

    /// Advances the engine to the time of its clock and returns the events since the last call.
    pub fn poll(&mut self) -> Vec<Output> {
        self.advance();
        std::mem::take(&mut self.outputs)
    }

    /// Time of the next event, at which [`Model::poll`] is due; `None` while the engine is idle.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        if !self.outputs.is_empty() {
            return Some(self.clock.now());
        }
        let step = self.step.as_ref().map(|step| step.end);
        let pending = self.pending.as_ref().map(|pending| pending.end);
        step.into_iter().chain(pending).min()
    }

    /// Duration with the speed setting and the injected slowdown applied.
    pub(super) fn scaled_duration(&self, duration: Duration) -> Duration {
        if self.config.speed <= 0.0 {
            return Duration::ZERO;
        }
        duration.mul_f64(self.faults.slow_factor / self.config.speed)
    }

    /// Handles each event up to now at its own time, so that results do not depend on how often
    /// the engine is polled.
    pub(super) fn advance(&mut self) {
        let now = self.clock.now();
        loop {
            let step = self.step.as_ref().map(|step| step.end);
            let order = self.pending.as_ref().map(|pending| pending.end);
            match (step, order) {
                (Some(at), other) if at <= now && other.is_none_or(|other| at <= other) => {
                    self.finish_step(at);
                    self.start_step(at);
                }
                (_, Some(at)) if at <= now => {
                    self.finish_order(at);
                    self.start_step(at);
                }
                _ => return,
            }
        }
    }

    /// Breaks off all requests and empties the cache.
    pub(super) fn reset_work(&mut self) {
        self.step = None;
        let jobs: Vec<Job> = self
            .sequences
            .drain(..)
            .map(|sequence| sequence.job)
            .collect();
        self.outputs.extend(jobs.into_iter().map(Output::Broken));
        self.cache = Cache::new(self.config.blocks);
    }

    fn remove(&mut self, job: Job) {
        if let Some(index) = self
            .sequences
            .iter()
            .position(|sequence| sequence.job == job)
        {
            let removed = self.sequences.swap_remove(index);
            self.cache.release(
                &removed.hashes[..removed.shared_blocks],
                removed.private_blocks,
            );
        }
    }

    /// Starts a step unless one is running, the engine is down or its role is changing.
    fn start_step(&mut self, at: Instant) {
        if self.step.is_some() || self.crashed || self.is_changing_role() {
            return;
        }
        self.admit_waiting();
        self.sequences
            .sort_unstable_by_key(Sequence::scheduling_key);
        let profile = profile(self.role);
        let mut budget = profile.prefill_budget;
        let mut prefill = Vec::new();
        let mut decode = Vec::new();
        for sequence in &self.sequences {
            match sequence.phase {
                Phase::Prefill if budget > 0 => {
                    let tokens = sequence.prefill_left.min(budget);
                    budget -= tokens;
                    prefill.push((sequence.job, tokens));
                }
                Phase::Decode => decode.push(sequence.job),
                Phase::Waiting | Phase::Prefill => {}
            }
        }
        if prefill.is_empty() && decode.is_empty() {
            return;
        }
        let count = u32::try_from(decode.len()).unwrap_or(u32::MAX);
        let mut duration = Duration::ZERO;
        if count > 0 {
            let step = self.config.step + self.config.step_per_sequence * count;
            duration = step.mul_f64(profile.step_factor);
        }
        let rate = (self.config.prefill_rate.get() * profile.prefill_factor).max(1.0);
        #[expect(clippy::cast_precision_loss, reason = "a step has few tokens")]
        let tokens = (profile.prefill_budget - budget) as f64;
        duration += Duration::from_secs_f64(tokens / rate);
        let end = at + self.scaled_duration(duration);
        self.step = Some(Step {
            end,
            prefill,
            decode,
        });
    }

    /// Moves waiting sequences to the batch by priority, preempting less urgent ones if it or the
    /// cache is full.
    fn admit_waiting(&mut self) {
        loop {
            let waiting = self.sequences.iter().enumerate();
            let first = waiting
                .filter(|(_, sequence)| sequence.phase == Phase::Waiting)
                .min_by_key(|(_, sequence)| sequence.scheduling_key());
            let Some((index, sequence)) = first else {
                return;
            };
            let priority = sequence.priority;
            if self.running() < self.config.batch && self.allocate(index) {
                continue;
            }
            if !self.preempt(priority) {
                return;
            }
        }
    }

    pub(super) fn running(&self) -> usize {
        let all = self.sequences.iter();
        all.filter(|sequence| sequence.phase != Phase::Waiting)
            .count()
    }

    /// Allocates blocks to a waiting sequence and starts its prefill. Returns false if the cache is
    /// full.
    fn allocate(&mut self, index: usize) -> bool {
        let Self { cache, config, .. } = self;
        let sequence = &mut self.sequences[index];
        let cached_blocks = cache.cached_prefix_len(&sequence.hashes);
        // Referenced first, so that the reservation does not evict the prefix.
        cache.acquire(&sequence.hashes[..cached_blocks]);
        let needed = sequence
            .required_blocks(config.block)
            .saturating_sub(cached_blocks as u64);
        if !cache.reserve(needed) {
            cache.release(&sequence.hashes[..cached_blocks], 0);
            return false;
        }
        sequence.shared_blocks = cached_blocks;
        sequence.private_blocks = needed;
        let cached = cached_blocks as u64 * config.block.get();
        sequence.prefill_left =
            (sequence.prompt_tokens + sequence.next_token).saturating_sub(cached);
        sequence.phase = if sequence.prefill_left == 0 {
            Phase::Decode
        } else {
            Phase::Prefill
        };
        true
    }

    /// Preempts the least urgent running sequence if it is less urgent than `priority`. Its answer
    /// continues at the same offset later, after its tokens are prefilled again.
    fn preempt(&mut self, priority: u8) -> bool {
        let running = self
            .sequences
            .iter_mut()
            .filter(|sequence| sequence.phase != Phase::Waiting && sequence.priority > priority);
        let Some(sequence) = running.max_by_key(|sequence| sequence.scheduling_key()) else {
            return false;
        };
        self.cache.release(
            &sequence.hashes[..sequence.shared_blocks],
            sequence.private_blocks,
        );
        sequence.shared_blocks = 0;
        sequence.private_blocks = 0;
        sequence.phase = Phase::Waiting;
        self.tally.preempted += 1;
        true
    }

    fn finish_step(&mut self, at: Instant) {
        let Some(step) = self.step.take() else {
            return;
        };
        for (job, tokens) in step.prefill {
            let found = self
                .sequences
                .iter_mut()
                .find(|sequence| sequence.job == job);
            if let Some(sequence) = found.filter(|sequence| sequence.phase == Phase::Prefill) {
                sequence.prefill_left -= tokens.min(sequence.prefill_left);
                if sequence.prefill_left == 0 {
                    sequence.phase = Phase::Decode;
                    self.cache
                        .publish(&sequence.hashes[sequence.shared_blocks..]);
                    sequence.private_blocks -= ((sequence.hashes.len() - sequence.shared_blocks)
                        as u64)
                        .min(sequence.private_blocks);
                    sequence.shared_blocks = sequence.hashes.len();
                }
            }
        }
        for job in step.decode {
            self.generate(job);
        }
        self.record_events(at);
        self.record_report(at);
    }

    /// Generates one token of a sequence and completes it after the last token.
    fn generate(&mut self, job: Job) {
        let found = self
            .sequences
            .iter()
            .position(|sequence| sequence.job == job);
        let Some(index) = found.filter(|i| self.sequences[*i].phase == Phase::Decode) else {
            return;
        };
        let sequence = &mut self.sequences[index];
        if sequence.next_token < sequence.output_tokens {
            sequence.next_token += 1;
            let mut end = sequence.next_token * TOKEN_BYTES;
            let broken = sequence
                .break_at
                .is_some_and(|at| end - TOKEN_BYTES >= at || end > at);
            if let Some(at) = sequence.break_at {
                end = end.min(at.max(sequence.sent_bytes));
            }
            if end > sequence.sent_bytes {
                let text = sequence
                    .text
                    .slice(Bytes::new(sequence.sent_bytes), Bytes::new(end));
                sequence.sent_bytes = end;
                self.outputs.push(Output::Text(job, text));
            }
            if broken {
                self.outputs.push(Output::Broken(job));
                self.remove(job);
                return;
            }
        }
        if sequence.next_token >= sequence.output_tokens {
            let (prompt, total) = (
                Tokens::new(sequence.prompt_tokens),
                Tokens::new(sequence.output_tokens),
            );
            self.outputs.push(Output::End(job, prompt, total));
            self.remove(job);
            return;
        }
        let needed = sequence.required_blocks(self.config.block);
        let priority = sequence.priority;
        if needed > sequence.shared_blocks as u64 + sequence.private_blocks {
            self.reserve_block(job, priority);
        }
    }

    /// Reserves another block for a sequence. If the cache is full, preempts less urgent sequences,
    /// or else this one.
    fn reserve_block(&mut self, job: Job, priority: u8) {
        while !self.cache.reserve(1) {
            if self.preempt(priority) {
                continue;
            }
            if let Some(sequence) = self
                .sequences
                .iter_mut()
                .find(|sequence| sequence.job == job)
            {
                self.cache.release(
                    &sequence.hashes[..sequence.shared_blocks],
                    sequence.private_blocks,
                );
                sequence.shared_blocks = 0;
                sequence.private_blocks = 0;
                sequence.phase = Phase::Waiting;
                self.tally.preempted += 1;
            }
            return;
        }
        if let Some(sequence) = self
            .sequences
            .iter_mut()
            .find(|sequence| sequence.job == job)
        {
            sequence.private_blocks += 1;
        }
    }
}
