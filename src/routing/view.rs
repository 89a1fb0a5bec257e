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

/// Prompt blocks tracked per endpoint: about the number of blocks in the KV cache of an engine, so
/// that evicted blocks are not expected to be cached.
const TRACKED_BLOCKS_MAX: usize = 1024;
/// Age after which a report no longer shows that an endpoint is alive.
const REPORT_MAX_AGE: Duration = Duration::from_secs(3);

/// The state of all endpoints as one entry sees it.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub(super) zone: Option<Zone>,
    pub(super) now: Option<Instant>,
    pub(super) workload: WorkloadMix,
    pub(super) endpoints: BTreeMap<Endpoint, Status>,
}

/// The state of one endpoint as one entry sees it.
#[derive(Clone, Debug)]
pub struct Status {
    /// Specification of the endpoint in the configuration document.
    pub spec: EndpointSpec,
    /// Whether the link to its agent is up, `None` before the first attempt to connect.
    pub linked: Option<bool>,
    /// The last load report and its time of arrival.
    pub report: Option<(Report, Instant)>,
    /// Requests of this entry in flight there.
    pub in_flight: u32,
    /// Sum of the sizes of these requests.
    pub in_flight_cost: Cost,
    /// Fraction of its normal traffic, 0 to 1: 0 while ejected, 1 by default.
    pub traffic_share: Share,
    pub(super) sent_blocks: BlockHistory,
}

impl View {
    /// Returns the status of each endpoint for the operator API.
    #[must_use]
    pub fn endpoint_statuses(&self, now: Instant) -> Vec<EndpointStatus> {
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
                    paused: status.is_paused(now),
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
            in_flight_cost: Cost::default(),
            traffic_share: Share::new(1.0),
            sent_blocks: BlockHistory::default(),
        }
    }

    /// Returns whether its last report said that it takes no new work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.report
            .as_ref()
            .is_some_and(|(report, _)| report.leaving)
    }

    /// Returns whether its last report said that it pauses, and that is not over.
    #[must_use]
    pub fn is_paused(&self, now: Instant) -> bool {
        self.report
            .as_ref()
            .is_some_and(|(report, at)| now < *at + report.paused_for)
    }

    /// Returns whether the endpoint cannot be reached. The state of its link decides. The age of
    /// the last report, which may be late under load, decides only before the first link attempt.
    #[must_use]
    pub fn is_down(&self, now: Instant) -> bool {
        let fresh = |at: Instant| now.saturating_duration_since(at) <= REPORT_MAX_AGE;
        let recently_reported = self.report.as_ref().is_some_and(|(_, at)| fresh(*at));
        !self.linked.unwrap_or(recently_reported)
    }

    /// Returns whether the endpoint belongs to a pool. The models that an engine reports take
    /// precedence over the document, because it may not have loaded all of them yet.
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

    /// The slots that this entry may use, as an equal share among the entries that are connected to
    /// the agent, over which the load balancer spreads requests evenly. Without the division,
    /// each entry would admit requests for all slots of the endpoint.
    #[must_use]
    pub fn slot_share(&self) -> f64 {
        let entries = self
            .report
            .as_ref()
            .map_or(1, |(report, _)| report.entries.max(1));
        f64::from(self.spec.slots) / f64::from(entries)
    }

    /// Returns the pools that the endpoint belongs to. Reported models take precedence over the
    /// document.
    #[must_use]
    pub fn pools(&self) -> Vec<Pool> {
        let reported = self.report.as_ref().map(|(report, _)| &report.models);
        let models = reported.unwrap_or(&self.spec.models).iter();
        let services = self.spec.service.iter().cloned().map(Pool::Service);
        models.cloned().map(Pool::Model).chain(services).collect()
    }

    /// Returns the last reported role of the engine, or that of the document before a report.
    #[must_use]
    pub fn role(&self) -> Role {
        let report = self.report.as_ref();
        report.map_or(self.spec.role, |(report, _)| report.role)
    }

    /// Estimates the prompt tokens that the endpoint has cached, from the leading blocks of the
    /// prompts that this entry has sent there.
    #[must_use]
    pub fn cached(&self, demand: &Demand) -> Tokens {
        let Prefix(blocks) = &demand.prefix;
        let matching = blocks
            .iter()
            .take_while(|hash| self.sent_blocks.contains(**hash));
        let (matching, all) = (matching.count() as u64, blocks.len() as u64);
        Tokens::new(demand.cost.input.get() * matching / all.max(1))
    }

    /// Attempts of all entries in progress there, as last reported.
    pub(super) fn in_progress(&self) -> u32 {
        let report = self.report.as_ref();
        report.map_or(0, |(report, _)| report.load.in_progress)
    }

    pub(super) fn record_start(&mut self, demand: &Demand) {
        self.in_flight += 1;
        self.in_flight_cost.input += demand.cost.input;
        self.in_flight_cost.output += demand.cost.output;
        self.sent_blocks.insert(&demand.prefix);
    }

    pub(super) fn record_end(&mut self, cost: Cost) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_cost.input = self.in_flight_cost.input.saturating_sub(cost.input);
        self.in_flight_cost.output = self.in_flight_cost.output.saturating_sub(cost.output);
    }
}

impl View {
    /// Fraction of the recent work of this entry that requests with long prompts cause.
    pub(super) fn long_prompt_share(&self) -> f64 {
        self.workload.long / self.workload.all.max(f64::MIN_POSITIVE)
    }

    /// The availability zone of this entry, if it is configured.
    #[must_use]
    pub fn zone(&self) -> Option<&Zone> {
        self.zone.as_ref()
    }

    /// All endpoints, including those that are down or ejected.
    #[must_use]
    pub fn endpoints(&self) -> &BTreeMap<Endpoint, Status> {
        &self.endpoints
    }

    /// Returns the endpoints that are eligible for a request: in its pool, reachable, not draining,
    /// not pausing, not ejected, and not one to avoid.
    #[must_use]
    pub fn candidates(&self, demand: &Demand) -> Vec<(&Endpoint, &Status)> {
        let is_eligible = |(endpoint, status): &(&Endpoint, &Status)| {
            status.serves(&demand.pool)
                && !self
                    .now
                    .is_some_and(|now| status.is_down(now) || status.is_paused(now))
                && !status.is_leaving()
                && status.traffic_share.get() > 0.0
                && !demand.excluded.contains(endpoint)
        };
        self.endpoints.iter().filter(is_eligible).collect()
    }
}

/// Length from which a prompt counts as long: it fills the prefill budget of at least one engine
/// step, which delays all requests that decode there.
const LONG_PROMPT_MIN: Tokens = Tokens::new(512);
/// Weight of the newest request in the moving averages of the workload.
const AVERAGE_WEIGHT: f64 = 0.001;
/// Engine time of an output token, in prompt tokens, in a full batch of the engine stand-in.
const OUTPUT_TOKEN_COST: f64 = 7.0;

/// Returns whether the prompt of a request counts as long.
pub(super) fn is_long(demand: &Demand) -> bool {
    demand.cost.input >= LONG_PROMPT_MIN
}

/// Exponential moving averages of the work per request of this entry, in prompt tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkloadMix {
    /// Work of requests with long prompts; other requests count as 0.
    long: f64,
    /// Work of all requests.
    all: f64,
}

impl WorkloadMix {
    pub(super) fn record(&mut self, demand: &Demand) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "token counts stay far below 2^52"
        )]
        let [input, output] = [demand.cost.input, demand.cost.output].map(|one| one.get() as f64);
        let work = input + output * OUTPUT_TOKEN_COST;
        let long = if is_long(demand) { work } else { 0.0 };
        self.long += (long - self.long) * AVERAGE_WEIGHT;
        self.all += (work - self.all) * AVERAGE_WEIGHT;
    }
}

/// Hashes of the prompt blocks that were last sent to an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct BlockHistory {
    /// Number of occurrences of each hash in `order`.
    counts: HashMap<u64, u32>,
    /// Hashes in the order in which they were sent, oldest first.
    order: VecDeque<u64>,
}

impl BlockHistory {
    fn contains(&self, hash: u64) -> bool {
        self.counts.contains_key(&hash)
    }

    fn insert(&mut self, Prefix(blocks): &Prefix) {
        // Of a prompt with more blocks, only the leading ones are tracked: other prompts share
        // those.
        for hash in blocks.iter().take(TRACKED_BLOCKS_MAX) {
            *self.counts.entry(*hash).or_default() += 1;
            self.order.push_back(*hash);
        }
        while self.order.len() > TRACKED_BLOCKS_MAX {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(count) = self.counts.get_mut(&oldest) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&oldest);
                }
            }
        }
    }
}
