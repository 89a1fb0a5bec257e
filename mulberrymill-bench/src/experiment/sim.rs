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
    retry::Window,
    routing::{Ending, Table},
    unit::Share,
    wire::{self, Change, Role},
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

use super::{
    Policies,
    deployment::as_f64,
    figures::{Fate, Figures, Track},
    scenario::{Fault, Plan, Scenario},
};
use crate::engine::{self, Job, Model, Output, TOKEN_BYTES};

/// Pause between two reports of an endpoint.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    Arrive(usize),
    Report(usize),
    CallEnd(usize),
    Fault(Fault),
}

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) scheduler: Scheduler,
    pub(super) table: Table,
}

#[derive(Debug)]
pub(super) struct Engine {
    pub(super) endpoint: Endpoint,
    pub(super) model: Model,
    pub(super) leaving: bool,
    pub(super) in_progress: u32,
}

/// A run in progress.
#[derive(Debug)]
pub(super) struct Sim<'a> {
    pub(super) plan: &'a Plan,
    pub(super) clock: Manual,
    pub(super) start: Instant,
    pub(super) rng: StdRng,
    pub(super) agenda: BTreeMap<(Duration, u64), Event>,
    pub(super) scheduled: u64,
    pub(super) entries: Vec<Entry>,
    pub(super) engines: Vec<Engine>,
    pub(super) index: HashMap<Endpoint, usize>,
    pub(super) tracks: Vec<Track>,
    pub(super) jobs: HashMap<Job, usize>,
    pub(super) submitted: u64,
    pub(super) open: usize,
    pub(super) prefix: (u64, u64),
}

/// Runs a plan with a number of entries.
#[must_use]
pub fn run(plan: &Plan, policies: Policies, entries: usize, seed: u64) -> Figures {
    let mut sim = Sim::new(plan, policies, entries, seed);
    while let Some(at) = sim.next() {
        sim.step(at);
    }
    let role_changes = sim.engines.iter().map(|one| one.model.tally().role_changes);
    let hits = as_f64(sim.prefix.0) / as_f64(sim.prefix.1.max(1));
    Figures::new(plan, &sim.tracks, hits, role_changes.sum())
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
                    load_lag: plan.lag,
                    event_lag: plan.lag,
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
            scheduler.adopt(Arc::clone(&document));
            let zone = zones[number % zones.len()].clone();
            let seed = seed.wrapping_mul(1_000).wrapping_add(number as u64);
            let budget = Box::new(Window::new());
            let mut table = Table::new(policies.routing(), budget, seed, Some(zone));
            table.adopt(&document, start);
            for endpoint in document.endpoints.keys() {
                table.link(endpoint, true);
            }
            Entry { scheduler, table }
        };
        let names = engines.iter().enumerate();
        let mut sim = Self {
            plan,
            index: names
                .map(|(index, one)| (one.endpoint.clone(), index))
                .collect(),
            start,
            rng: StdRng::seed_from_u64(seed),
            agenda: BTreeMap::new(),
            scheduled: 0,
            entries: (0..entries).map(entry).collect(),
            engines,
            tracks: Vec::new(),
            jobs: HashMap::new(),
            submitted: 0,
            open: plan.arrivals.len(),
            prefix: (0, 0),
            clock,
        };
        sim.prepare();
        sim
    }

    fn prepare(&mut self) {
        let plan = self.plan;
        for (index, (arrival, _)) in plan.arrivals.iter().enumerate() {
            let entry = self.rng.random_range(0..self.entries.len());
            self.tracks.push(Track::new(entry));
            self.schedule(arrival.at, Event::Arrive(index));
        }
        for index in 0..self.engines.len() {
            // Agents do not report in step.
            let part = u32::try_from(index).unwrap_or(0);
            self.schedule(REPORT_PERIOD * part / 9, Event::Report(index));
        }
        for (at, fault) in &plan.faults {
            self.schedule(*at, Event::Fault(*fault));
        }
        for entry in 0..self.entries.len() {
            self.update_capacity(entry);
        }
    }

    pub(super) fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.agenda.insert((at, self.scheduled), event);
    }

    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Time of the next event; nothing once all requests have ended.
    fn next(&self) -> Option<Duration> {
        if self.open == 0 {
            return None;
        }
        let agenda = self.agenda.first_key_value().map(|((at, _), _)| *at);
        let engines = self.engines.iter().filter_map(|one| one.model.due());
        let expiries = self
            .entries
            .iter()
            .filter_map(|one| one.scheduler.next_expiry());
        let others = engines.chain(expiries).min();
        let others = others.map(|at| at.saturating_duration_since(self.start));
        agenda.into_iter().chain(others).min()
    }

    fn step(&mut self, at: Duration) {
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
        while let Some(first) = self.agenda.first_entry() {
            if first.key().0 > at {
                break;
            }
            let event = first.remove();
            self.handle(event);
        }
        for entry in 0..self.entries.len() {
            let expiry = self.entries[entry].scheduler.next_expiry();
            if expiry.is_some_and(|expiry| expiry <= now) {
                self.pump(entry);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Report(engine) => {
                self.report(engine);
                let next = self.clock.elapsed() + REPORT_PERIOD;
                self.schedule(next, Event::Report(engine));
            }
            Event::CallEnd(request) => self.end(request, Fate::Whole),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Withdraw(engine) => {
                let model = &mut self.engines[engine].model;
                let accepted = model.order(Change::Drain, None);
                accepted.expect("an idle control interface accepts a drain");
                self.engines[engine].leaving = true;
                self.poll_engine(engine);
                self.report(engine);
            }
            Fault::Crash(engine) => {
                self.engines[engine].model.fault(engine::Fault::Crash);
                self.poll_engine(engine);
            }
            Fault::Restart(engine) => self.engines[engine].model.fault(engine::Fault::Restart),
        }
    }

    fn report(&mut self, engine: usize) {
        let now = self.now();
        let one = &mut self.engines[engine];
        let (load, _age) = one.model.load();
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let report = wire::Report {
            endpoint: one.endpoint.clone(),
            revision: Revision::default(),
            leaving: one.leaving,
            drained: one.leaving,
            role: load.role,
            models: load.models,
            entries: count(self.entries.len()),
            load: wire::Load {
                in_progress: one.in_progress,
                waiting: count(load.waiting),
                prefill: load.prefill,
                decoding: count(load.decoding),
                cache: load.cache,
            },
        };
        debug_assert_eq!(report.role, Role::Mixed, "there is no role policy");
        for entry in 0..self.entries.len() {
            self.entries[entry].table.observe(report.clone(), now);
            // Also at the end of ejections, which no report announces.
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
            self.pump(entry);
        }
    }

    fn poll_engine(&mut self, engine: usize) {
        for output in self.engines[engine].model.poll() {
            match output {
                Output::Text(job, text) => {
                    let track = &mut self.tracks[self.jobs[&job]];
                    track.bytes += text.len() as u64;
                    track.first.get_or_insert(self.clock.elapsed());
                }
                Output::End(job, _, total) => {
                    let request = self.close(engine, job);
                    let whole = self.tracks[request].bytes == total.get() * TOKEN_BYTES;
                    self.end(request, if whole { Fate::Whole } else { Fate::Failed });
                }
                Output::Broken(job) => {
                    let request = self.close(engine, job);
                    let failed = self.leave(request, Ending::Failed);
                    if failed.is_some_and(|failed| self.may_retry(request, failed)) {
                        self.dispatch(request);
                    } else {
                        self.abort(request);
                    }
                }
                Output::Applied | Output::Crashed => {}
            }
        }
    }

    fn close(&mut self, engine: usize, job: Job) -> usize {
        self.engines[engine].in_progress -= 1;
        self.jobs
            .remove(&job)
            .expect("the engine answers known jobs once")
    }
}
