use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Instant,
};

use rand::{Rng, SeedableRng as _, rngs::StdRng};

use super::{
    Choice, Demand, Ending, Finish, Need, PeerCoverage, PeerDigest, Progress,
    cost::{affinity_endpoint, cost, peer_load, prefill_tokens},
    failure::{FailureReports, Reporter},
    member::{Member, Report},
    peer_load::PeerLoads,
};
use crate::{
    directory::{Instance, Stage},
    error::{Error, Kind, Result},
    id::{Endpoint, Service, Zone},
    invariant::{self, Invariant},
    link::Session,
    retry::{Budget as _, Ejector, WindowBudget},
    wire::{Digest, Usage},
};

/// Consecutive failures of an endpoint after which it is reported to peers. An endpoint that is
/// unreachable or closes a connection early is reported at once.
const REPORTED_FAILURES_MIN: u32 = 2;

/// The state of all endpoints and the selection among them, without I/O or a clock of its own.
#[derive(Debug)]
pub struct LoadBalancer {
    zone: Zone,
    rng: StdRng,
    members: BTreeMap<Endpoint, Member>,
    ejector: Ejector,
    budgets: BTreeMap<Service, WindowBudget>,
    peer_loads: PeerLoads,
    failure_reports: FailureReports,
    /// Failed endpoints that have not been reported to peers yet.
    unreported_failures: BTreeSet<Endpoint>,
}

impl LoadBalancer {
    /// Creates a balancer without endpoints. `seed` makes its random choices reproducible.
    #[must_use]
    pub fn new(zone: Zone, seed: u64) -> Self {
        Self {
            zone,
            rng: StdRng::seed_from_u64(seed),
            members: BTreeMap::new(),
            ejector: Ejector::new(),
            budgets: BTreeMap::new(),
            peer_loads: PeerLoads::default(),
            failure_reports: FailureReports::default(),
            unreported_failures: BTreeSet::new(),
        }
    }

    /// Replaces the list of endpoints. Endpoints that remain at the same address keep their state.
    pub fn set_instances(&mut self, instances: Vec<Arc<Instance>>, now: Instant) {
        let mut old = std::mem::take(&mut self.members);
        for instance in instances {
            let known = old.remove(&instance.id);
            // An endpoint that restarted at another address has lost its earlier requests.
            let known = known.filter(|member| member.instance.address == instance.address);
            let mut member = known.unwrap_or_else(|| Member::new(Arc::clone(&instance)));
            member.instance = Arc::clone(&instance);
            self.members.insert(instance.id.clone(), member);
        }
        let members = &self.members;
        let known = |endpoint: &Endpoint| members.contains_key(endpoint);
        self.ejector.retain(known);
        self.failure_reports.retain(known);
        self.unreported_failures.retain(known);
        for service in self.services() {
            self.ejector.limit_ejections(&self.pool(&service), now);
        }
    }

    /// Selects the endpoint with the lowest cost and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoEndpoint`] if no endpoint is eligible.
    pub fn choose(&mut self, demand: &Demand, now: Instant) -> Result<Choice> {
        let (endpoint, has_affinity) = self.select(demand, now)?;
        let prefill = prefill_tokens(demand, has_affinity);
        let Some(member) = self.members.get_mut(&endpoint) else {
            return Err(Error::new(Kind::Internal, "the chosen endpoint is unknown"));
        };
        invariant::check(Invariant::Leaving, !member.instance.draining, || {
            format!("{endpoint} was selected while it is draining")
        });
        member.in_flight += 1;
        member.backlog.add(demand.rank, prefill);
        Ok(Choice {
            instance: Arc::clone(&member.instance),
            rank: demand.rank,
            prefill_tokens: prefill,
            own_requests: member.in_flight,
            peer_requests: peer_load(&self.peer_loads, member, demand.rank, now).requests,
            report_age: member
                .report
                .map(|report| now.saturating_duration_since(report.received_at)),
        })
    }

    /// Counts a first attempt towards the retry budget of its service.
    pub fn record_request(&mut self, service: &Service, now: Instant) {
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.record(now);
    }

    /// Handles the start of an answer: removes the prompt from the backlog of the endpoint and
    /// stores its load report.
    pub fn progress(&mut self, progress: &Progress, now: Instant) {
        if let Some(member) = self.members.get_mut(&progress.endpoint) {
            member.backlog.subtract(progress.rank, progress.prompt);
            if let Some(load) = progress.load {
                member.report = Some(Report {
                    load,
                    received_at: now,
                    in_flight: member.in_flight,
                });
            }
        }
    }

    /// Ends a request that [`LoadBalancer::choose`] placed and updates the health of its endpoint.
    pub fn finish(&mut self, finish: &Finish, now: Instant) {
        let endpoint = &finish.endpoint;
        let Some(member) = self.members.get_mut(endpoint) else {
            return;
        };
        member.in_flight = member.in_flight.saturating_sub(1);
        member.backlog.subtract(finish.rank, finish.prompt);
        let service = member.instance.service.clone();
        match finish.ending {
            Ending::Served => {
                member.record_success();
                self.ejector.record_success(endpoint, now);
                self.failure_reports.record_success(endpoint);
            }
            Ending::Failed | Ending::Lost => {
                member.failures += 1;
                // A single error answer may be caused by the request, not by the endpoint.
                let reports_failure =
                    finish.ending == Ending::Lost || member.failures >= REPORTED_FAILURES_MIN;
                let pool = self.pool(&service);
                if self
                    .ejector
                    .record_failure(endpoint, std::slice::from_ref(&pool), now)
                {
                    log::warn!(endpoint:% = endpoint, service:% = service;
                        "ejecting endpoint after consecutive failures");
                }
                if reports_failure {
                    self.unreported_failures.insert(endpoint.clone());
                    self.record_failure(endpoint, None, &pool, now);
                }
            }
            Ending::Replaced => {
                log::warn!(endpoint:% = endpoint, service:% = service;
                    "address now belongs to another instance; removing endpoint");
                self.members.remove(endpoint);
            }
            Ending::Rejected => member.record_rejection(now),
            Ending::Abandoned => {}
        }
    }

    /// Returns the digest for peers: the usage of each endpoint with requests of this process in
    /// flight, and the endpoints that failed since the last call.
    pub fn take_digest(&mut self) -> Digest {
        let busy = self.members.values().filter(|member| member.in_flight > 0);
        let usages = busy.map(|member| Usage {
            endpoint: member.instance.id.clone(),
            requests: member.in_flight,
            prompt_tokens_to_prefill: member.backlog.iter().collect(),
        });
        Digest {
            usages: usages.collect(),
            failed: std::mem::take(&mut self.unreported_failures)
                .into_iter()
                .collect(),
        }
    }

    /// Applies the usage and failures that a peer reports.
    pub fn apply_peer_digest(&mut self, msg: PeerDigest, now: Instant) {
        for endpoint in &msg.digest.failed {
            if let Some(member) = self.members.get(endpoint) {
                let pool = self.pool(&member.instance.service);
                self.record_failure(endpoint, Some(msg.session), &pool, now);
            }
        }
        self.peer_loads.update(msg.session, msg.digest.usages);
    }

    /// Records a failure of an endpoint, and backs off if enough processes have reported it.
    fn record_failure(
        &mut self,
        endpoint: &Endpoint,
        reporter: Reporter,
        pool: &[Endpoint],
        now: Instant,
    ) {
        let backoff = self
            .failure_reports
            .record_failure(endpoint, reporter, pool, now);
        let Some(backoff) = backoff else {
            return;
        };
        // With jitter, so that a single process probes the endpoint first.
        let backoff = backoff.mul_f64(self.rng.random_range(0.75..1.25));
        if let Some(member) = self.members.get_mut(endpoint) {
            member.backoff_until = member.backoff_until.max(Some(now + backoff));
        }
        metrics::counter!("endpoint_rests_total").increment(1);
        log::warn!(endpoint:% = endpoint, rest:? = backoff, own = reporter.is_none();
            "backing off from endpoint after correlated failures");
    }

    /// Removes the load of a peer whose link has closed.
    pub fn remove_peer(&mut self, session: Session) {
        self.peer_loads.remove(session);
    }

    /// Sets how many of the known peers are linked, for extrapolating their load.
    pub const fn set_peer_coverage(&mut self, coverage: PeerCoverage) {
        self.peer_loads.set_coverage(coverage);
    }

    /// Returns whether the retry budget of a service allows another attempt, and counts it if so.
    pub fn may_retry(&mut self, service: &Service, now: Instant) -> bool {
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.may_retry(now)
    }

    /// Returns the endpoint with the lowest cost, and whether it has affinity to the request.
    fn select(&mut self, demand: &Demand, now: Instant) -> Result<(Endpoint, bool)> {
        let eligible: Vec<&Member> = self
            .members
            .values()
            .filter(|member| is_eligible(member, demand))
            .collect();
        let healthy: Vec<&Member> = eligible
            .iter()
            .copied()
            .filter(|member| {
                let share = self.ejector.traffic_share(&member.instance.id, now).get();
                let share = if member.is_backing_off(now) {
                    0.0
                } else {
                    share
                };
                share >= 1.0 || (share > 0.0 && self.rng.random_bool(share))
            })
            .collect();
        // If all eligible endpoints are ejected or backing off, one of them is tried anyway.
        let candidates = if healthy.is_empty() {
            eligible
        } else {
            healthy
        };
        let affine: BTreeSet<&Endpoint> = [Some(Stage::Prefill), Some(Stage::Decode), None]
            .into_iter()
            .filter_map(|stage| affinity_endpoint(&candidates, stage, demand.affinity?))
            .collect();
        let preferred_zone = demand.preferred_zone.as_ref().unwrap_or(&self.zone);
        let best = candidates
            .iter()
            .map(|member| {
                let has_affinity = affine.contains(&member.instance.id);
                // Jitter keeps processes that see the same load from all selecting the same
                // endpoint.
                let jitter = self.rng.random_range(1.0..1.05);
                let peers = peer_load(&self.peer_loads, member, demand.rank, now);
                let cost = cost(member, demand, has_affinity, preferred_zone, peers) * jitter;
                (cost, &member.instance.id, has_affinity)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let selected = best.map(|(_, endpoint, has_affinity)| (endpoint.clone(), has_affinity));
        selected.ok_or_else(|| {
            let detail = format!("no endpoint of {} can take the request", demand.service);
            Error::new(Kind::NoEndpoint, detail)
        })
    }

    fn services(&self) -> BTreeSet<Service> {
        let members = self.members.values();
        members
            .map(|member| member.instance.service.clone())
            .collect()
    }

    fn pool(&self, service: &Service) -> Vec<Endpoint> {
        let members = self.members.values();
        members
            .filter(|member| member.instance.service == *service)
            .map(|member| member.instance.id.clone())
            .collect()
    }
}

fn is_eligible(member: &Member, demand: &Demand) -> bool {
    let instance = &member.instance;
    instance.service == demand.service
        && !instance.draining
        && !demand.excluded.contains(&instance.id)
        && (demand.need == Need::Start || instance.stage != Some(Stage::Prefill))
}
