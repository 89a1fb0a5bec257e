use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use mulberrymill::{
    admission::Scheduler,
    clock::{Clock as _, Manual},
    config::EndpointKind,
    id::{Endpoint, Revision},
    retry::WindowBudget,
    routing::{Ending, Table},
    unit::Share,
    wire::{self, Change, Role},
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

use super::{
    Policies,
    deployment::as_f64,
    figures::{Figures, RequestOutcome, RequestState},
    scenario::{ENGINES, Fault, Plan, Scenario},
};
use crate::engine::{self, Job, Model, Output, TOKEN_BYTES};

/// Interval between reports of an endpoint.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Event of the simulation; the number is the index of a request or engine.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    Arrive(usize),
    Report(usize),
    CallEnd(usize),
    Fault(Fault),
}

/// Decision code of a simulated entry.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) scheduler: Scheduler,
    pub(super) table: Table,
}

/// Simulated engine and the state that its agent reports.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) endpoint: Endpoint,
    pub(super) model: Model,
    pub(super) leaving: bool,
    pub(super) in_progress: u32,
}

/// Simulation in progress.
#[derive(Debug)]
pub(super) struct Sim<'a> {
    pub(super) plan: &'a Plan,
    pub(super) clock: Manual,
    pub(super) start: Instant,
    pub(super) rng: StdRng,
    /// Events by time since the start and order of scheduling.
    pub(super) event_queue: BTreeMap<(Duration, u64), Event>,
    pub(super) last_event_number: u64,
    pub(super) entries: Vec<Entry>,
    pub(super) engines: Vec<Engine>,
    pub(super) engine_index: HashMap<Endpoint, usize>,
    pub(super) requests: Vec<RequestState>,
    pub(super) jobs: HashMap<Job, usize>,
    pub(super) submitted: u64,
    /// Number of requests without an outcome.
    pub(super) unfinished: usize,
    pub(super) cached_prompt_tokens: u64,
    pub(super) total_prompt_tokens: u64,
}

/// Simulates a plan with the given number of entries.
#[must_use]
pub fn run(plan: &Plan, policies: Policies, entries: usize, seed: u64) -> Figures {
    let mut sim = Sim::new(plan, policies, entries, seed);
    while let Some(at) = sim.next_event_time() {
        sim.advance_to(at);
    }
    let role_changes = sim
        .engines
        .iter()
        .map(|engine| engine.model.tally().role_changes);
    let hits = as_f64(sim.cached_prompt_tokens) / as_f64(sim.total_prompt_tokens.max(1));
    Figures::new(plan, &sim.requests, hits, role_changes.sum())
}

impl<'a> Sim<'a> {
    fn new(plan: &'a Plan, policies: Policies, entries: usize, seed: u64) -> Self {
        let clock = Manual::new();
        let start = clock.now();
        let document = Arc::new(plan.document.clone());
        let mut engines = Vec::new();
        for (endpoint, spec) in &document.endpoints {
            if spec.kind == EndpointKind::Engine {
                let stale = plan.scenario == Scenario::Stale;
                let config = engine::Config {
                    models: spec.models.clone(),
                    load_lag: plan.report_delay,
                    event_lag: plan.report_delay,
                    event_loss: Share::new(if stale { 1.0 / 3.0 } else { 0.02 }),
                    seed: seed + engines.len() as u64,
                    ..engine::Config::default()
                };
                engines.push(Engine {
                    endpoint: endpoint.clone(),
                    model: Model::new(config, Arc::new(clock.clone())),
                    leaving: false,
                    in_progress: 0,
                });
            }
        }
        let zones: Vec<_> = document.endpoints.values().map(|spec| &spec.zone).collect();
        let entry = |number: usize| {
            let mut scheduler = Scheduler::new(policies.admission(), policies.queueing());
            scheduler.set_document(Arc::clone(&document));
            let zone = zones[number % zones.len()].clone();
            let seed = seed.wrapping_mul(1_000).wrapping_add(number as u64);
            let budget = Box::new(WindowBudget::new());
            let mut table = Table::new(policies.routing(), budget, seed, Some(zone));
            table.set_document(&document, start);
            for endpoint in document.endpoints.keys() {
                table.set_linked(endpoint, true);
            }
            Entry { scheduler, table }
        };
        let indexed = engines.iter().enumerate();
        let mut sim = Self {
            plan,
            engine_index: indexed
                .map(|(index, engine)| (engine.endpoint.clone(), index))
                .collect(),
            start,
            rng: StdRng::seed_from_u64(seed),
            event_queue: BTreeMap::new(),
            last_event_number: 0,
            entries: (0..entries).map(entry).collect(),
            engines,
            requests: Vec::new(),
            jobs: HashMap::new(),
            submitted: 0,
            unfinished: plan.arrivals.len(),
            cached_prompt_tokens: 0,
            total_prompt_tokens: 0,
            clock,
        };
        sim.schedule_plan();
        sim
    }

    fn schedule_plan(&mut self) {
        let plan = self.plan;
        for (index, (arrival, _)) in plan.arrivals.iter().enumerate() {
            let entry = self.rng.random_range(0..self.entries.len());
            self.requests.push(RequestState::new(entry));
            self.schedule(arrival.at, Event::Arrive(index));
        }
        for index in 0..self.engines.len() {
            // Staggered, because agents do not report simultaneously.
            let offset = u32::try_from(index).unwrap_or(0);
            self.schedule(REPORT_INTERVAL * offset / ENGINES, Event::Report(index));
        }
        for (at, fault) in &plan.faults {
            self.schedule(*at, Event::Fault(*fault));
        }
        for entry in 0..self.entries.len() {
            self.update_capacity(entry);
        }
    }

    pub(super) fn schedule(&mut self, at: Duration, event: Event) {
        self.last_event_number += 1;
        self.event_queue.insert((at, self.last_event_number), event);
    }

    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Time of the next event since the start; `None` once all requests have an outcome.
    fn next_event_time(&self) -> Option<Duration> {
        if self.unfinished == 0 {
            return None;
        }
        let event_queue = self.event_queue.first_key_value().map(|((at, _), _)| *at);
        let engines = self.engines.iter().filter_map(|engine| engine.model.due());
        let expiries = self
            .entries
            .iter()
            .filter_map(|entry| entry.scheduler.next_expiry());
        let timers = engines.chain(expiries).min();
        let timers = timers.map(|at| at.saturating_duration_since(self.start));
        event_queue.into_iter().chain(timers).min()
    }

    fn advance_to(&mut self, at: Duration) {
        self.clock.advance(at.saturating_sub(self.clock.elapsed()));
        let now = self.now();
        for engine in 0..self.engines.len() {
            if self.engines[engine]
                .model
                .due()
                .is_some_and(|due| due <= now)
            {
                self.poll_engine(engine);
            }
        }
        while let Some(first) = self.event_queue.first_entry() {
            if first.key().0 > at {
                break;
            }
            let event = first.remove();
            self.handle_event(event);
        }
        for entry in 0..self.entries.len() {
            let expiry = self.entries[entry].scheduler.next_expiry();
            if expiry.is_some_and(|expiry| expiry <= now) {
                self.poll_scheduler(entry);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Report(engine) => {
                self.send_report(engine);
                let next = self.clock.elapsed() + REPORT_INTERVAL;
                self.schedule(next, Event::Report(engine));
            }
            Event::CallEnd(request) => self.end_request(request, RequestOutcome::Complete),
            Event::Fault(fault) => self.inject_fault(fault),
        }
    }

    fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Drain(engine) => {
                let model = &mut self.engines[engine].model;
                let accepted = model.order(Change::Drain, None);
                accepted.expect("an idle control interface accepts a drain");
                self.engines[engine].leaving = true;
                self.poll_engine(engine);
                self.send_report(engine);
            }
            Fault::Crash(engine) => {
                self.engines[engine].model.fault(engine::Fault::Crash);
                self.poll_engine(engine);
            }
            Fault::Restart(engine) => self.engines[engine].model.fault(engine::Fault::Restart),
        }
    }

    fn send_report(&mut self, engine: usize) {
        let now = self.now();
        let source = &mut self.engines[engine];
        let (load, _age) = source.model.load();
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let report = wire::Report {
            endpoint: source.endpoint.clone(),
            revision: Revision::default(),
            leaving: source.leaving,
            drained: source.leaving,
            paused_for: Duration::ZERO,
            role: load.role,
            models: load.models,
            entries: count(self.entries.len()),
            load: wire::Load {
                in_progress: source.in_progress,
                waiting: count(load.waiting),
                prefill: load.prefill,
                decoding: count(load.decoding),
                cache: load.cache,
            },
        };
        debug_assert_eq!(report.role, Role::Mixed, "there is no role policy");
        for entry in 0..self.entries.len() {
            self.entries[entry].table.observe(report.clone(), now);
            // Also covers the ends of ejections, which cause no report.
            self.update_capacity(entry);
        }
    }

    pub(super) fn update_capacity(&mut self, entry: usize) {
        let now = self.now();
        let Entry { scheduler, table } = &mut self.entries[entry];
        let changed = table.capacities(now);
        for capacity in &changed {
            scheduler.set_capacity(capacity);
        }
        if !changed.is_empty() {
            self.poll_scheduler(entry);
        }
    }

    fn poll_engine(&mut self, engine: usize) {
        for output in self.engines[engine].model.poll() {
            match output {
                Output::Text(job, text) => {
                    let state = &mut self.requests[self.jobs[&job]];
                    state.received_bytes += text.len() as u64;
                    state.first_token_at.get_or_insert(self.clock.elapsed());
                }
                Output::End(job, _, total) => {
                    let request = self.finish_job(engine, job);
                    let complete =
                        self.requests[request].received_bytes == total.get() * TOKEN_BYTES;
                    self.end_request(
                        request,
                        if complete {
                            RequestOutcome::Complete
                        } else {
                            RequestOutcome::Failed
                        },
                    );
                }
                Output::Broken(job) => {
                    let request = self.finish_job(engine, job);
                    let failed = self.end_attempt(request, Ending::Failed);
                    if failed.is_some_and(|failed| self.may_retry(request, failed)) {
                        self.dispatch(request);
                    } else {
                        self.abort_request(request);
                    }
                }
                Output::Applied | Output::Crashed => {}
            }
        }
    }

    fn finish_job(&mut self, engine: usize, job: Job) -> usize {
        self.engines[engine].in_progress -= 1;
        self.jobs
            .remove(&job)
            .expect("the engine answers known jobs once")
    }
}
