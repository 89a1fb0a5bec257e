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

/// What an engine does, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// More bytes of an answer.
    Text(Job, String),
    /// The end of a whole answer, with prompt and answer tokens.
    End(Job, Tokens, Tokens),
    /// The stream breaks without an end.
    Broken(Job),
    /// The order in progress took effect.
    Applied,
    /// The engine crashed; its streams and its order are lost.
    Crashed,
}

/// Work of one step: prompt tokens per prefilling job, and the decoding jobs.
#[derive(Debug)]
struct Step {
    end: Instant,
    prefill: Vec<(Job, u64)>,
    decode: Vec<Job>,
}

/// A model engine without sockets. [`Model::poll`] brings it up to the time of its clock.
#[derive(Debug)]
pub struct Model {
    pub(super) config: Config,
    pub(super) clock: clock::Shared,
    pub(super) rng: StdRng,
    pub(super) models: Vec<mulberrymill::id::Model>,
    pub(super) role: Role,
    pub(super) draining: bool,
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
    arrivals: u64,
    pub(super) out: Vec<Output>,
}

impl Model {
    /// An idle engine.
    #[must_use]
    pub fn new(config: Config, clock: clock::Shared) -> Self {
        let mut model = Self {
            rng: StdRng::seed_from_u64(config.seed),
            models: config.models.clone(),
            role: config.role,
            draining: false,
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
            out: Vec::new(),
            config,
            clock,
        };
        model.sample(model.clock.now());
        model
    }

    /// Accepts a request.
    ///
    /// # Errors
    ///
    /// Fails with `executed: no` if the engine is down, draining or changing its role, does not
    /// have the model, or could never hold the request in its KV blocks.
    pub fn submit(&mut self, job: Job, work: &Generate) -> Result<()> {
        self.advance();
        let refuse = |kind, detail: &str| Err(Error::new(kind, detail));
        if self.crashed {
            return refuse(Kind::NoEndpoint, "the engine is down");
        }
        if self.draining {
            return refuse(Kind::Leaving, "the engine is draining");
        }
        if self.is_changing_role() {
            return refuse(Kind::NoEndpoint, "the engine is changing its role");
        }
        if !self.models.contains(&work.model) {
            return refuse(Kind::NotFound, "the model is not loaded");
        }
        let mut sequence = Sequence::new(job, work, self.config.block, self.arrivals);
        if sequence.most_blocks(self.config.block) > self.config.blocks {
            return refuse(Kind::TooLarge, "the request does not fit into the KV cache");
        }
        if sequence.sent > sequence.total * TOKEN_BYTES {
            return refuse(Kind::BadRequest, "the resume offset is after the answer");
        }
        sequence.break_at = self.faults.break_next.take().map(Bytes::get);
        self.arrivals += 1;
        self.sequences.push(sequence);
        let now = self.clock.now();
        self.start(now);
        self.sample(now);
        Ok(())
    }

    /// Requests that were accepted, since the model was made.
    #[must_use]
    pub const fn accepted(&self) -> u64 {
        self.arrivals
    }

    /// Withdraws a request. Nothing happens if it has ended.
    pub fn cancel(&mut self, job: Job) {
        self.advance();
        self.remove(job);
        self.sample(self.clock.now());
    }

    /// Brings the engine up to the time of its clock and returns what it did.
    pub fn poll(&mut self) -> Vec<Output> {
        self.advance();
        std::mem::take(&mut self.out)
    }

    /// When [`Model::poll`] next has something to do; `None` while the engine is idle.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        if !self.out.is_empty() {
            return Some(self.clock.now());
        }
        let step = self.step.as_ref().map(|step| step.end);
        let pending = self.pending.as_ref().map(|pending| pending.end);
        step.into_iter().chain(pending).min()
    }

    pub(super) fn scaled(&self, period: Duration) -> Duration {
        if self.config.speed <= 0.0 {
            return Duration::ZERO;
        }
        period.mul_f64(self.faults.slow / self.config.speed)
    }

    /// Handles each event up to now at its own time, so that rare polls change nothing.
    pub(super) fn advance(&mut self) {
        let now = self.clock.now();
        loop {
            let step = self.step.as_ref().map(|step| step.end);
            let order = self.pending.as_ref().map(|pending| pending.end);
            match (step, order) {
                (Some(at), other) if at <= now && other.is_none_or(|other| at <= other) => {
                    self.finish_step(at);
                    self.start(at);
                }
                (_, Some(at)) if at <= now => {
                    self.finish_order(at);
                    self.start(at);
                }
                _ => return,
            }
        }
    }

    pub(super) fn clear(&mut self) {
        self.step = None;
        let jobs: Vec<Job> = self.sequences.drain(..).map(|one| one.job).collect();
        self.out.extend(jobs.into_iter().map(Output::Broken));
        self.cache = Cache::new(self.config.blocks);
    }

    fn remove(&mut self, job: Job) {
        if let Some(index) = self.sequences.iter().position(|one| one.job == job) {
            let gone = self.sequences.swap_remove(index);
            self.cache.release(&gone.hashes[..gone.held], gone.private);
        }
    }

    /// Starts a step unless one is running or the engine is unavailable.
    fn start(&mut self, at: Instant) {
        if self.step.is_some() || self.crashed || self.is_changing_role() {
            return;
        }
        self.admit();
        self.sequences.sort_unstable_by_key(Sequence::rank);
        let profile = profile(self.role);
        let mut budget = profile.chunk;
        let mut prefill = Vec::new();
        let mut decode = Vec::new();
        for one in &self.sequences {
            match one.phase {
                Phase::Prefill if budget > 0 => {
                    let part = one.left.min(budget);
                    budget -= part;
                    prefill.push((one.job, part));
                }
                Phase::Decode => decode.push(one.job),
                Phase::Waiting | Phase::Prefill => {}
            }
        }
        if prefill.is_empty() && decode.is_empty() {
            return;
        }
        let count = u32::try_from(decode.len()).unwrap_or(u32::MAX);
        let mut period = Duration::ZERO;
        if count > 0 {
            let step = self.config.step + self.config.step_per_sequence * count;
            period = step.mul_f64(profile.step);
        }
        let rate = (self.config.prefill_rate.get() * profile.prefill).max(1.0);
        #[expect(clippy::cast_precision_loss, reason = "a step has few tokens")]
        let tokens = (profile.chunk - budget) as f64;
        period += Duration::from_secs_f64(tokens / rate);
        let end = at + self.scaled(period);
        self.step = Some(Step {
            end,
            prefill,
            decode,
        });
    }

    /// Moves waiting sequences into the batch, most urgent first, preempting less urgent ones.
    fn admit(&mut self) {
        loop {
            let waiting = self.sequences.iter().enumerate();
            let first = waiting
                .filter(|(_, one)| one.phase == Phase::Waiting)
                .min_by_key(|(_, one)| one.rank());
            let Some((index, urgent)) = first else {
                return;
            };
            let priority = urgent.priority;
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
        all.filter(|one| one.phase != Phase::Waiting).count()
    }

    fn allocate(&mut self, index: usize) -> bool {
        let Self { cache, config, .. } = self;
        let one = &mut self.sequences[index];
        let held = cache.prefix(&one.hashes);
        // Held first, so that the reservation does not evict the prefix.
        cache.hold(&one.hashes[..held]);
        let need = one.blocks(config.block).saturating_sub(held as u64);
        if !cache.reserve(need) {
            cache.release(&one.hashes[..held], 0);
            return false;
        }
        one.held = held;
        one.private = need;
        let cached = held as u64 * config.block.get();
        one.left = (one.prompt + one.next).saturating_sub(cached);
        one.phase = if one.left == 0 {
            Phase::Decode
        } else {
            Phase::Prefill
        };
        true
    }

    /// Returns the least urgent running sequence to the queue if it is less urgent than `than`.
    /// Its answer goes on later at the same place, after its tokens are processed again.
    fn preempt(&mut self, than: u8) -> bool {
        let running = self
            .sequences
            .iter_mut()
            .filter(|one| one.phase != Phase::Waiting && one.priority > than);
        let Some(one) = running.max_by_key(|one| one.rank()) else {
            return false;
        };
        self.cache.release(&one.hashes[..one.held], one.private);
        one.held = 0;
        one.private = 0;
        one.phase = Phase::Waiting;
        self.tally.preempted += 1;
        true
    }

    fn finish_step(&mut self, at: Instant) {
        let Some(step) = self.step.take() else {
            return;
        };
        for (job, part) in step.prefill {
            let found = self.sequences.iter_mut().find(|one| one.job == job);
            if let Some(one) = found.filter(|one| one.phase == Phase::Prefill) {
                one.left -= part.min(one.left);
                if one.left == 0 {
                    one.phase = Phase::Decode;
                    self.cache.publish(&one.hashes[one.held..]);
                    one.private -= ((one.hashes.len() - one.held) as u64).min(one.private);
                    one.held = one.hashes.len();
                }
            }
        }
        for job in step.decode {
            self.generate(job);
        }
        self.record_events(at);
        self.sample(at);
    }

    /// Generates one token of a sequence and ends it after the last one.
    fn generate(&mut self, job: Job) {
        let found = self.sequences.iter().position(|one| one.job == job);
        let Some(index) = found.filter(|i| self.sequences[*i].phase == Phase::Decode) else {
            return;
        };
        let one = &mut self.sequences[index];
        if one.next < one.total {
            one.next += 1;
            let mut end = one.next * TOKEN_BYTES;
            let broken = one
                .break_at
                .is_some_and(|at| end - TOKEN_BYTES >= at || end > at);
            if let Some(at) = one.break_at {
                end = end.min(at.max(one.sent));
            }
            if end > one.sent {
                let text = one.text.slice(Bytes::new(one.sent), Bytes::new(end));
                one.sent = end;
                self.out.push(Output::Text(job, text));
            }
            if broken {
                self.out.push(Output::Broken(job));
                self.remove(job);
                return;
            }
        }
        if one.next >= one.total {
            let (prompt, total) = (Tokens::new(one.prompt), Tokens::new(one.total));
            self.out.push(Output::End(job, prompt, total));
            self.remove(job);
            return;
        }
        let need = one.blocks(self.config.block);
        let rank = one.priority;
        if need > one.held as u64 + one.private {
            self.grow(job, rank);
        }
    }

    /// Reserves one more block, preempting less urgent sequences or else this one.
    fn grow(&mut self, job: Job, priority: u8) {
        while !self.cache.reserve(1) {
            if self.preempt(priority) {
                continue;
            }
            if let Some(one) = self.sequences.iter_mut().find(|one| one.job == job) {
                self.cache.release(&one.hashes[..one.held], one.private);
                one.held = 0;
                one.private = 0;
                one.phase = Phase::Waiting;
                self.tally.preempted += 1;
            }
            return;
        }
        if let Some(one) = self.sequences.iter_mut().find(|one| one.job == job) {
            one.private += 1;
        }
    }
}
