use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use super::{Cost, Demand, EndpointStatus, Pool, Prefix};
use crate::{
    config::EndpointSpec,
    id::{Endpoint, Revision, Zone},
    unit::{Share, Tokens},
    wire::{Report, Role},
};

/// Prompt blocks remembered per endpoint. About as many as the KV cache of an engine has blocks,
/// so that the memory does not promise more than the engine keeps.
const BLOCKS: usize = 1024;
/// Age after which a report no longer shows that an endpoint is alive.
const STALE: Duration = Duration::from_secs(3);

/// What an entry knows about the endpoints.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub(super) zone: Option<Zone>,
    pub(super) now: Option<Instant>,
    pub(super) mix: Mix,
    pub(super) endpoints: BTreeMap<Endpoint, Status>,
}

/// What an entry knows about one endpoint.
#[derive(Clone, Debug)]
pub struct Status {
    /// Its entry in the document.
    pub spec: EndpointSpec,
    /// Whether its agent can be reached, once a link was tried.
    pub linked: Option<bool>,
    /// The last report and when it arrived.
    pub report: Option<(Report, Instant)>,
    /// Requests that this entry has in progress there.
    pub in_flight: u32,
    /// Their size.
    pub own: Cost,
    /// Part of its normal work that it gets; 0 while ejected.
    pub portion: Share,
    pub(super) memory: Memory,
}

impl View {
    /// The endpoints for operators.
    #[must_use]
    pub fn survey(&self, now: Instant) -> Vec<EndpointStatus> {
        let endpoints = self.endpoints.iter();
        endpoints
            .map(|(endpoint, status)| {
                let up = !status.is_down(now);
                let report = status
                    .report
                    .as_ref()
                    .map(|(report, _)| report)
                    .filter(|_| up);
                EndpointStatus {
                    endpoint: endpoint.clone(),
                    up,
                    leaving: status.is_leaving(),
                    role: status.role(),
                    in_progress: report.map_or(0, |report| report.load.in_progress),
                    revision: report.map_or_else(Revision::default, |report| report.revision),
                }
            })
            .collect()
    }
}

impl Status {
    pub(super) fn new(spec: EndpointSpec) -> Self {
        Self {
            spec,
            linked: None,
            report: None,
            in_flight: 0,
            own: Cost::default(),
            portion: Share::new(1.0),
            memory: Memory::default(),
        }
    }

    /// Whether its last report asks for no new work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.report
            .as_ref()
            .is_some_and(|(report, _)| report.leaving)
    }

    /// Whether it cannot be reached. A late report alone proves nothing, because reports lag under
    /// load; it counts only for an endpoint whose link is not known.
    #[must_use]
    pub fn is_down(&self, now: Instant) -> bool {
        let fresh = |at: Instant| now.saturating_duration_since(at) <= STALE;
        let reported = self.report.as_ref().is_some_and(|(_, at)| fresh(*at));
        !self.linked.unwrap_or(reported)
    }

    /// Whether it belongs to a pool. The report of an engine goes before the document, because an
    /// engine may not have loaded a model yet.
    #[must_use]
    pub fn serves(&self, pool: &Pool) -> bool {
        match pool {
            Pool::Model(model) => match &self.report {
                Some((report, _)) => report.models.contains(model),
                None => self.spec.models.contains(model),
            },
            Pool::Service(service) => self.spec.service.as_ref() == Some(service),
        }
    }

    /// The part of its slots that this entry may use: the entries that are connected to the agent
    /// share them evenly, as the balancer shares the requests. Without this, each of them would
    /// admit requests for the whole endpoint.
    #[must_use]
    pub fn share(&self) -> f64 {
        let entries = self
            .report
            .as_ref()
            .map_or(1, |(report, _)| report.entries.max(1));
        f64::from(self.spec.slots) / f64::from(entries)
    }

    /// The pools that it belongs to.
    #[must_use]
    pub fn pools(&self) -> Vec<Pool> {
        let reported = self.report.as_ref().map(|(report, _)| &report.models);
        let models = reported.unwrap_or(&self.spec.models).iter();
        let services = self.spec.service.iter().cloned().map(Pool::Service);
        models.cloned().map(Pool::Model).chain(services).collect()
    }

    /// Role of the engine.
    #[must_use]
    pub fn role(&self) -> Role {
        let report = self.report.as_ref();
        report.map_or(self.spec.role, |(report, _)| report.role)
    }

    /// Prompt tokens that the endpoint has probably cached, from what this entry sent there.
    #[must_use]
    pub fn cached(&self, demand: &Demand) -> Tokens {
        let Prefix(blocks) = &demand.prefix;
        let matching = blocks
            .iter()
            .take_while(|hash| self.memory.contains(**hash));
        let (matching, all) = (matching.count() as u64, blocks.len() as u64);
        Tokens::new(demand.cost.input.get() * matching / all.max(1))
    }

    /// Attempts of all entries there, as last reported.
    pub(super) fn in_progress(&self) -> u32 {
        let report = self.report.as_ref();
        report.map_or(0, |(report, _)| report.load.in_progress)
    }

    pub(super) fn begin(&mut self, demand: &Demand) {
        self.in_flight += 1;
        self.own.input += demand.cost.input;
        self.own.output += demand.cost.output;
        self.memory.insert(&demand.prefix);
    }

    pub(super) fn end(&mut self, cost: Cost) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.own.input = self.own.input.saturating_sub(cost.input);
        self.own.output = self.own.output.saturating_sub(cost.output);
    }
}

impl View {
    /// Part of the recent work of this entry that belongs to long prompts.
    pub(super) fn long_work(&self) -> f64 {
        self.mix.long / self.mix.all.max(f64::MIN_POSITIVE)
    }

    /// The zone of this entry.
    #[must_use]
    pub fn zone(&self) -> Option<&Zone> {
        self.zone.as_ref()
    }

    /// All endpoints.
    #[must_use]
    pub fn endpoints(&self) -> &BTreeMap<Endpoint, Status> {
        &self.endpoints
    }

    /// The endpoints that may take a request: in its pool, reachable, not leaving, not ejected,
    /// and not one that already failed it.
    #[must_use]
    pub fn candidates(&self, demand: &Demand) -> Vec<(&Endpoint, &Status)> {
        let fits = |(endpoint, status): &(&Endpoint, &Status)| {
            status.serves(&demand.pool)
                && !self.now.is_some_and(|now| status.is_down(now))
                && !status.is_leaving()
                && status.portion.get() > 0.0
                && !demand.avoid.contains(endpoint)
        };
        self.endpoints.iter().filter(fits).collect()
    }
}

/// Prompt tokens from which a prompt is long: it fills the prompt tokens of at least one step of an
/// engine, and every request that generates there waits for them.
const LONG: Tokens = Tokens::new(512);
/// Weight of the newest request in the mix.
const NEWEST: f64 = 0.001;
/// Engine time of an output token in prompt tokens, in a full batch of the engine stand-in.
const OUTPUT: f64 = 7.0;

/// Whether a prompt is long.
pub(super) fn is_long(demand: &Demand) -> bool {
    demand.cost.input >= LONG
}

/// Recent work of this entry, in prompt tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mix {
    long: f64,
    all: f64,
}

impl Mix {
    pub(super) fn record(&mut self, demand: &Demand) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "token counts stay far below 2^52"
        )]
        let [input, output] = [demand.cost.input, demand.cost.output].map(|one| one.get() as f64);
        let work = input + output * OUTPUT;
        let long = if is_long(demand) { work } else { 0.0 };
        self.long += (long - self.long) * NEWEST;
        self.all += (work - self.all) * NEWEST;
    }
}

/// Hashes of the blocks that were sent last.
#[derive(Clone, Debug, Default)]
pub(super) struct Memory {
    /// Uses of each hash in `order`.
    uses: HashMap<u64, u32>,
    order: VecDeque<u64>,
}

impl Memory {
    fn contains(&self, hash: u64) -> bool {
        self.uses.contains_key(&hash)
    }

    fn insert(&mut self, Prefix(blocks): &Prefix) {
        // The leading blocks are the ones that other prompts share.
        for hash in blocks.iter().take(BLOCKS) {
            *self.uses.entry(*hash).or_default() += 1;
            self.order.push_back(*hash);
        }
        while self.order.len() > BLOCKS {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(uses) = self.uses.get_mut(&oldest) {
                *uses -= 1;
                if *uses == 0 {
                    self.uses.remove(&oldest);
                }
            }
        }
    }
}
