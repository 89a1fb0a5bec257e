use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng as _, rngs::StdRng};

use super::{
    Choice, Demand, Ending, Finish, Footprint, Load, Need, NoticeReceived, PeerCoverage,
    PeerDigest, Prediction, Progress,
    cost::{Candidate, Conditions, Placement, peer_load},
    failure::{FailureReports, Reporter},
    kv_memory::Room,
    member::{Member, Report},
    peer_load::PeerLoads,
};
use crate::{
    directory::{Instance, Stage},
    error::{Error, Kind, Result},
    forecast::{Model, Observation},
    id::{Endpoint, Service, Zone},
    invariant::{self, Invariant},
    link::Session,
    notice::{Board, Standing},
    quarantine::{Hold, Quarantine},
    retry::{Budget as _, Ejector, WindowBudget},
    triage::{self, Outlook, Policy, Reason, Rejection, Verdict},
    unit::{Slowdown, Tokens, as_f64},
    wire::{Digest, Occupancy, Usage},
};

/// Consecutive failures of an endpoint after which it is reported to peers. An endpoint that is
/// unreachable or closes a connection early is reported at once.
const REPORTED_FAILURES_MIN: u32 = 2;

/// Work that peers may have placed at an engine since their last digest: about a third of the
/// interval between digests.
const UNSEEN_WORK: Duration = Duration::from_millis(30);

/// Time over which the requests that wait for the end of a pause are spread.
const RETURN_SPREAD: Duration = Duration::from_millis(300);

/// The state of all endpoints and the selection among them, without I/O or a clock of its own.
#[derive(Debug)]
pub struct LoadBalancer {
    zone: Zone,
    rng: StdRng,
    members: BTreeMap<Endpoint, Member>,
    /// When the store last confirmed the list of endpoints.
    list_confirmed_at: Option<Instant>,
    ejector: Ejector,
    budgets: BTreeMap<Service, WindowBudget>,
    peer_loads: PeerLoads,
    /// Memory of the engines of each service.
    capacities: BTreeMap<Service, Tokens>,
    model: Model,
    policy: Box<dyn Policy>,
    failure_reports: FailureReports,
    quarantine: Quarantine,
    notices: Board,
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
            list_confirmed_at: None,
            ejector: Ejector::new(),
            budgets: BTreeMap::new(),
            peer_loads: PeerLoads::default(),
            capacities: BTreeMap::new(),
            model: Model::new(),
            policy: triage::new(triage::Mode::default()),
            failure_reports: FailureReports::default(),
            quarantine: Quarantine::new(),
            notices: Board::default(),
            unreported_failures: BTreeSet::new(),
        }
    }

    /// Sets the policy that delays and rejects requests. Without it, requests are rejected if no answer
    /// is expected before their deadline.
    #[must_use]
    pub fn with_policy(mut self, policy: Box<dyn Policy>) -> Self {
        self.policy = policy;
        self
    }

    /// Notes that the store has confirmed the list of endpoints.
    pub const fn confirm_list(&mut self, now: Instant) {
        self.list_confirmed_at = Some(now);
    }

    /// Replaces the memory of the engines of each service, in tokens.
    pub fn set_memory(&mut self, capacities: BTreeMap<Service, Tokens>) {
        self.capacities = capacities;
    }

    /// Replaces the list of endpoints. Endpoints that remain at the same address keep their state.
    pub fn set_instances(&mut self, instances: Vec<Arc<Instance>>, now: Instant) {
        self.replace_instances(instances, self.list_confirmed_at, now);
    }

    /// Replaces the list of endpoints by one without those whose grace period is over. The store may have
    /// removed these before the last time at which it confirmed its list.
    pub fn expire_instances(&mut self, instances: Vec<Arc<Instance>>, now: Instant) {
        self.replace_instances(instances, None, now);
    }

    /// Replaces the list of endpoints. Those that are leaving now stayed until `listed_at`.
    fn replace_instances(
        &mut self,
        instances: Vec<Arc<Instance>>,
        listed_at: Option<Instant>,
        now: Instant,
    ) {
        let mut old = std::mem::take(&mut self.members);
        for instance in instances {
            let known = old.remove(&instance.id);
            // An endpoint that has started again has lost its earlier requests.
            let known = known.filter(|member| is_same_run(&member.instance, &instance));
            self.notices.set_run(&instance.id, instance.started);
            let closure = self.notices.closure(&instance.id);
            let mut member = known.unwrap_or_else(|| Member::new(Arc::clone(&instance), closure));
            member.set_instance(Arc::clone(&instance), listed_at, now);
            self.members.insert(instance.id.clone(), member);
        }
        for member in old.values() {
            member.set_removed(listed_at, now);
        }
        let members = &self.members;
        let known = |endpoint: &Endpoint| members.contains_key(endpoint);
        self.notices.limit(known);
        self.ejector.retain(known);
        self.failure_reports.retain(known);
        self.model.retain(known);
        self.unreported_failures.retain(known);
        for service in self.services() {
            self.ejector.limit_ejections(&self.pool(&service), now);
        }
    }

    /// Selects the endpoint with the lowest cost and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoEndpoint`] if no endpoint is eligible, and [`Kind::Overloaded`] if the policy
    /// rejects the request, in any case a first attempt that is not expected to be answered before its
    /// deadline at any of them.
    /// [`Kind::Quarantined`] if the prompt has a part that has ended engines.
    pub fn choose(&mut self, demand: &Demand, now: Instant) -> Result<Choice> {
        if let Some(hold) = self.quarantine.check(&demand.shared_parts, now) {
            return Err(quarantined(&hold));
        }
        let (rank, selection) = self.select_by_policy(demand, now)?;
        let Selection {
            endpoint,
            home,
            placement,
            exceeds_memory,
        } = selection;
        let prefill = placement.prefill;
        let fetch_from = home
            .and_then(|home| self.members.get(&home))
            .map(|home| home.instance.address);
        let Some(member) = self.members.get_mut(&endpoint) else {
            return Err(Error::new(Kind::Internal, "the chosen endpoint is unknown"));
        };
        let standing = member.standing(now);
        invariant::check(Invariant::Leaving, standing == Standing::Open, || {
            format!("{endpoint} was selected while it is {standing}")
        });
        member.in_flight += 1;
        member.backlog.add(rank, prefill);
        let footprint = Footprint::of(demand);
        if exceeds_memory {
            metrics::counter!("engine_memory_exceeded_total",
                "service" => demand.service.to_string())
            .increment(1);
            log::debug!(endpoint:% = endpoint, service:% = demand.service,
                own_tokens = footprint.own.get();
                "no engine is known to have room in its memory for the request");
        }
        member.memory.add(footprint);
        if placement.delays_streams {
            member.crowded_at = Some(now);
        }
        Ok(Choice {
            instance: Arc::clone(&member.instance),
            rank,
            prefill_tokens: prefill,
            footprint,
            tokens_ahead: placement.tokens_ahead,
            fetch_from,
            forecast: placement.forecast,
            bare_forecast: placement.bare_forecast,
            slowdown: member.reported_slowdown(now),
            rounds: placement.rounds,
            selected_at: now,
            own_requests: member.in_flight,
            peer_requests: peer_load(&self.peer_loads, member, rank, now).requests,
            report_age: member
                .report
                .map(|report| now.saturating_duration_since(report.received_at)),
            listing_age: self
                .list_confirmed_at
                .map(|confirmed_at| now.saturating_duration_since(confirmed_at)),
            evidence: member.subscribe(),
        })
    }

    /// Applies what an endpoint said of itself. It binds the run that said it, whatever the store says.
    pub fn record_notice(&mut self, received: &NoticeReceived, now: Instant) {
        let NoticeReceived {
            instance,
            notice,
            call,
        } = received;
        let member = self.members.get(&instance.id);
        if member.is_some_and(|member| !is_same_run(&member.instance, instance)) {
            return;
        }
        let before = self.notices.closure(&instance.id).standing(now);
        let changed = self
            .notices
            .record(&instance.id, instance.started, *notice, now);
        let Some(closure) = changed else {
            return;
        };
        if let Some(member) = member {
            member.set_closure(closure, self.list_confirmed_at, now);
        }
        let standing = closure.standing(now);
        // Answers to requests that were on their way prolong a pause by little.
        if standing != before {
            log::info!(endpoint:% = instance.id, call:? = call.as_ref().map(ToString::to_string),
                standing:% = standing,
                pause_ms:? = closure.opens_in(now).map(|time| time.as_millis());
                "endpoint asked for no new requests in its answer");
            self.count_closed(now);
        }
    }

    /// Logs the pauses that have ended, and counts the endpoints that get no requests.
    pub fn review_notices(&mut self, now: Instant) {
        for endpoint in self.notices.take_reopened(now) {
            log::info!(endpoint:% = endpoint; "endpoint gets requests again after its pause");
        }
        self.count_closed(now);
    }

    fn count_closed(&self, now: Instant) {
        for standing in [Standing::Paused, Standing::Leaving] {
            let members = self.members.values();
            let closed = members.filter(|member| member.closure().standing(now) == standing);
            metrics::gauge!("closed_endpoints", "reason" => standing.to_string())
                .set(as_f64(closed.count() as u64));
        }
    }

    /// Counts the first attempt of a request towards the retry budget of its service, and its prompt
    /// towards the lengths that are usual in its class.
    pub fn record_request(&mut self, demand: &Demand, now: Instant) {
        let budget = self.budgets.entry(demand.service.clone()).or_default();
        budget.record(now);
        self.policy.record(&demand.triage(), now);
    }

    /// Handles the start of an answer: removes the prompt from the backlog of the endpoint and
    /// stores its load report.
    pub fn progress(&mut self, progress: &Progress, now: Instant) {
        if let Some(member) = self.members.get_mut(&progress.endpoint) {
            member.backlog.subtract(progress.rank, progress.prompt);
            member.last_answer = Some(now);
            let instance = &member.instance;
            let service = &instance.service;
            self.policy.record_prefill(service, progress.prompt, now);
            if let Some(prediction) = progress.prediction {
                let seen = observe(&prediction, progress.load, now);
                if let Some(rounds) = prediction.rounds {
                    self.model
                        .record_service_time(service, seen.elapsed, rounds, now);
                } else {
                    self.model.record_prefill(instance, seen, now);
                    // The forecast includes the reported slowdown, and so does the time.
                    let elapsed = now.saturating_duration_since(prediction.selected_at);
                    self.model
                        .record_excess(instance, prediction.expected, elapsed, now);
                }
            }
            if let Some(load) = progress.load {
                member.report = Some(Report {
                    load,
                    received_at: now,
                    in_flight: member.in_flight,
                });
            }
        }
    }

    /// Returns whether an endpoint has answered no request since an instant. An endpoint that is not
    /// listed any more is silent.
    #[must_use]
    pub fn is_silent(&self, endpoint: &Endpoint, since: Instant) -> bool {
        let member = self.members.get(endpoint);
        member
            .and_then(|member| member.last_answer)
            .is_none_or(|last| last <= since)
    }

    /// Ends a request that [`LoadBalancer::choose`] placed and updates the health of its endpoint.
    pub fn finish(&mut self, finish: &Finish, now: Instant) {
        let endpoint = &finish.endpoint;
        let Some(member) = self.members.get_mut(endpoint) else {
            return;
        };
        member.in_flight = member.in_flight.saturating_sub(1);
        member.backlog.subtract(finish.rank, finish.prompt);
        member.memory.subtract(finish.footprint);
        let service = member.instance.service.clone();
        let has_waited = finish.prompt > Tokens::ZERO && finish.ending == Ending::Abandoned;
        if finish.demand.is_first() && (has_waited || finish.ending == Ending::Served) {
            let served = !has_waited;
            let request = finish.demand.triage();
            self.policy.record_ending(&request, served, now);
        }
        if let Some(mut pace) = finish.pace {
            if finish.ending != Ending::Served {
                pace.break_off(now);
            }
            self.model.record_pace(&service, pace, now);
            let exposed = member.crowded_at.zip(pace.started_at());
            if exposed.is_some_and(|(crowded_at, started_at)| crowded_at >= started_at) {
                self.model.record_exposed(&service, pace, now);
            }
        }
        match finish.ending {
            Ending::Served => {
                member.record_success();
                // A prefill is no answer.
                if member.instance.stage != Some(Stage::Prefill) {
                    self.quarantine
                        .record_served(&finish.demand.shared_parts, now);
                }
                self.ejector.record_success(endpoint, now);
                self.failure_reports.record_success(endpoint);
            }
            Ending::Failed | Ending::Lost | Ending::Down | Ending::Crashed => {
                // A host that refuses connections can be reached, so this is no fault of the network.
                if matches!(finish.ending, Ending::Down | Ending::Crashed) {
                    member.record_down(now, self.rng.random_range(0.75..1.25));
                }
                member.failures += 1;
                // A single error answer may be caused by the request, not by the endpoint.
                let reports_failure =
                    finish.ending != Ending::Failed || member.failures >= REPORTED_FAILURES_MIN;
                let pool = self.pool(&service);
                if self
                    .ejector
                    .record_failure(endpoint, std::slice::from_ref(&pool), now)
                {
                    log::warn!(endpoint:% = endpoint, service:% = service;
                        "ejecting endpoint after consecutive failures");
                }
                if finish.ending == Ending::Crashed {
                    self.quarantine
                        .record_crash(endpoint, &finish.demand.shared_parts, now);
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
            Ending::Abandoned | Ending::Paused => {}
        }
    }

    /// Returns the digest for peers: the usage of each endpoint with requests of this process in
    /// flight, the endpoints that failed since the last call, and what is new of parts of prompts that
    /// end engines.
    pub fn take_digest(&mut self, now: Instant) -> Digest {
        let busy = self.members.values().filter(|member| member.in_flight > 0);
        let usages = busy.map(|member| Usage {
            endpoint: member.instance.id.clone(),
            requests: member.in_flight,
            prompt_tokens_to_prefill: member.backlog.iter().collect(),
        });
        let tokens = self.members.values().filter(|member| {
            self.capacities.contains_key(&member.instance.service) && !member.memory.is_empty()
        });
        let tokens = tokens.map(|member| {
            let (own, prefixes) = member.memory.report();
            Occupancy {
                endpoint: member.instance.id.clone(),
                own,
                prefixes,
            }
        });
        Digest {
            begun: Vec::new(),
            time: None,
            usages: usages.collect(),
            tokens: tokens.collect(),
            failed: std::mem::take(&mut self.unreported_failures)
                .into_iter()
                .collect(),
            parts: self.quarantine.take_report(now),
            plan: None,
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
        self.quarantine.apply_report(msg.digest.parts, now);
        self.peer_loads.update(msg.session, msg.digest.usages);
        self.peer_loads
            .update_memory(msg.session, msg.digest.tokens);
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

    /// The room that an engine has for a request; ample where the configuration states no memory.
    fn room(&self, member: &Member, request: Footprint) -> Room {
        let instance = &member.instance;
        let Some(capacity) = self.capacities.get(&instance.service) else {
            return Room::Ample;
        };
        let peers = self.peer_loads.memory(&instance.id);
        let factor = self.peer_loads.coverage_factor();
        member.memory.room(peers, factor, request, *capacity)
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

    /// Selects an endpoint at the rank at the engines that the policy sets, and returns both.
    fn select_by_policy(&mut self, demand: &Demand, now: Instant) -> Result<(u8, Selection)> {
        let request = demand.triage();
        let mut rank = self.policy.rank(&request, now);
        loop {
            // Backlogs, of this process and of its peers, are by the rank at the engines.
            let ranked = Demand {
                rank,
                ..demand.clone()
            };
            let selection = self.select(&ranked, now)?;
            // The forecast of a plain service only compares its endpoints.
            let forecast = if demand.prompt == Tokens::ZERO {
                Duration::ZERO
            } else {
                selection.placement.forecast
            };
            let outlook = Outlook {
                rank,
                forecast,
                queueing: selection.placement.queueing,
            };
            match self.policy.decide(&request, outlook, now) {
                // Less urgent ranks are finite, so this ends.
                Verdict::GiveWay(less_urgent) if less_urgent > rank => rank = less_urgent,
                Verdict::Run | Verdict::GiveWay(_) => return Ok((rank, selection)),
                Verdict::Reject(rejection) => {
                    return Err(rejected(demand, rejection, outlook.forecast));
                }
            }
        }
    }

    /// Returns the endpoint with the lowest cost among those that can answer in time.
    fn select(&mut self, demand: &Demand, now: Instant) -> Result<Selection> {
        let eligible = self
            .members
            .values()
            .filter(|member| is_eligible(member, demand, now));
        let (paused, eligible): (Vec<&Member>, Vec<&Member>) =
            eligible.partition(|member| member.standing(now) == Standing::Paused);
        if eligible.is_empty() {
            let opens_in = paused
                .iter()
                .filter_map(|member| member.closure().opens_in(now))
                .min();
            return Err(self.none_eligible(demand, opens_in, now));
        }
        let healthy: Vec<&Member> = eligible
            .iter()
            .copied()
            .filter(|member| {
                let share = self.ejector.traffic_share(&member.instance.id, now).get();
                let share = share * member.closure().share(now).get();
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
        let open = candidates.len();
        // Endpoints that pause come back soon, and keep the prefixes that they have.
        let candidates: Vec<Candidate<'_>> = candidates
            .into_iter()
            .chain(paused)
            .map(|member| Candidate {
                member,
                peers: peer_load(&self.peer_loads, member, demand.rank, now),
            })
            .collect();
        let preferred_zone = demand.preferred_zone.as_ref().unwrap_or(&self.zone);
        let conditions = Conditions::new(&self.model, &candidates, demand, preferred_zone, now);
        let footprint = Footprint::of(demand);
        let rooms: Vec<Room> = candidates[..open]
            .iter()
            .map(|candidate| self.room(candidate.member, footprint))
            .collect();
        let best = candidates[..open]
            .iter()
            .zip(rooms)
            .map(|(candidate, room)| {
                // Jitter keeps processes that see the same load from all selecting the same
                // endpoint before the next digest.
                let jitter = self.rng.random_range(1.0..1.05);
                let unseen = if demand.prompt == Tokens::ZERO {
                    0.0
                } else {
                    self.rng.random_range(0.0..UNSEEN_WORK.as_secs_f64())
                };
                let placement = conditions.place(candidate, demand);
                let endpoint = &candidate.member.instance.id;
                let misses = placement.forecast > demand.remaining;
                // An engine ends if its memory is exceeded, which fails all requests there.
                let order = (room == Room::None, misses, room == Room::Tight);
                (order, placement.cost * jitter + unseen, endpoint, placement)
            })
            // An engine that can answer in time precedes a cheaper one that cannot.
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let selected = best.map(
            |((exceeds_memory, _, _), _, endpoint, placement)| Selection {
                endpoint: endpoint.clone(),
                home: conditions.home().filter(|_| placement.fetches).cloned(),
                placement,
                exceeds_memory,
            },
        );
        selected.ok_or_else(|| no_endpoint(&demand.service))
    }

    /// The refusal of a request for which no endpoint is eligible. `opens_in` is the time until the
    /// first pause is over, if endpoints pause. The requests that wait for it are spread.
    fn none_eligible(
        &mut self,
        demand: &Demand,
        opens_in: Option<Duration>,
        now: Instant,
    ) -> Error {
        if let Some(opens_in) = opens_in {
            let spread = RETURN_SPREAD.mul_f64(self.rng.random_range(0.0..1.0));
            let detail = format!("all endpoints of {} have asked for a pause", demand.service);
            return Error::new(Kind::Paused, detail).with_retry_after(opens_in + spread);
        }
        let leaves = |member: &Member| {
            member.instance.service == demand.service
                && member.closure().standing(now) == Standing::Leaving
        };
        if self.members.values().any(leaves) {
            let detail = format!(
                "all endpoints of {} that could run it leave",
                demand.service
            );
            return Error::new(Kind::NoEndpoint, detail);
        }
        no_endpoint(&demand.service)
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

/// Logs and counts the rejection of a request.
fn rejected(demand: &Demand, rejection: Rejection, forecast: Duration) -> Error {
    let Rejection {
        reason,
        retry_after,
    } = rejection;
    let service = demand.service.to_string();
    if reason == Reason::Deadline {
        metrics::counter!("forecast_refusals_total", "service" => service.clone()).increment(1);
    }
    metrics::counter!("triage_rejections_total", "service" => service,
        "reason" => reason.to_string(), "rank" => demand.rank.to_string())
    .increment(1);
    log::debug!(service:% = demand.service, route:? = demand.route.as_ref().map(ToString::to_string),
        customer:? = demand.customer.as_ref().map(ToString::to_string), rank = demand.rank,
        reason:% = reason, forecast_ms = forecast.as_millis(),
        target_ms = demand.latency_target.as_millis(),
        remaining_ms = demand.remaining.as_millis(),
        retry_after_ms = retry_after.as_millis();
        "rejected a request for lack of capacity");
    let time = match reason {
        Reason::Deadline => format!("the deadline is in {} ms", demand.remaining.as_millis()),
        Reason::Displaced => "it would delay more valuable requests".to_owned(),
        Reason::Share => "its customer has used more than its share".to_owned(),
    };
    let detail = format!(
        "not run: an answer is expected after {} ms, {time}",
        forecast.as_millis()
    );
    Error::new(Kind::Overloaded, detail).with_retry_after(retry_after)
}

/// The time until an answer as it would have been at the usual speed of the endpoint. The slowdown is
/// applied to the learned speed while it is reported, and must not be learned as well.
fn observe(prediction: &Prediction, load: Option<Load>, now: Instant) -> Observation {
    let elapsed = now.saturating_duration_since(prediction.selected_at);
    let reports = [prediction.slowdown, load.and_then(|load| load.slowdown)];
    let known = reports.into_iter().flatten().map(Slowdown::factor);
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), factor| {
        (sum + factor, count + 1.0)
    });
    let slowdown = if count > 0.0 { sum / count } else { 1.0 };
    Observation {
        tokens: prediction.tokens_ahead,
        elapsed: elapsed.div_f64(slowdown),
    }
}

fn quarantined(hold: &Hold) -> Error {
    metrics::counter!("quarantine_refusals_total").increment(1);
    let detail = format!(
        "not run: prompts with part {} have ended engines",
        hold.parts
    );
    Error::new(Kind::Quarantined, detail).with_retry_after(hold.remaining)
}

/// The endpoint that is selected for a request.
struct Selection {
    endpoint: Endpoint,
    /// The engine from which the shared prefix is transferred.
    home: Option<Endpoint>,
    placement: Placement,
    /// Whether the request may exceed the memory of the engine.
    exceeds_memory: bool,
}

fn no_endpoint(service: &Service) -> Error {
    let detail = format!("no endpoint of {service} can take the request");
    Error::new(Kind::NoEndpoint, detail)
}

/// Whether both are the same run of an endpoint.
fn is_same_run(known: &Instance, listed: &Instance) -> bool {
    let starts = known.started.zip(listed.started);
    let is_restarted = starts.is_some_and(|(known, listed)| known != listed);
    known.address == listed.address && !is_restarted
}

fn is_eligible(member: &Member, demand: &Demand, now: Instant) -> bool {
    let instance = &member.instance;
    instance.service == demand.service
        && member.standing(now) != Standing::Leaving
        && !demand.excluded.contains(&instance.id)
        && (demand.need == Need::Start || instance.stage != Some(Stage::Prefill))
}
