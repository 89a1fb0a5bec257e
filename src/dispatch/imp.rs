use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng as _, rngs::StdRng};

use super::{
    Audience, Backlog, Choice, Demand, Ending, Finish, Load, Need, PeerDigest, Progress,
    alarm::{Alarms, Source},
    hearsay::{Foreign, Hearsay},
};
use crate::{
    directory::{Instance, Stage},
    error::{Error, Kind, Result},
    id::{Endpoint, Service, Zone},
    invariant::{self, Point},
    link::Session,
    retry::{Budget as _, Ejector, Window},
    unit::{Tokens, as_f64},
    wire::{Digest, Usage},
};

/// Age at which a load report says nothing about the present. Requests last about this long.
const REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// Prompt tokens assumed for a request of another process that an engine reports, about the mean
/// of what the requests leave to read.
const FOREIGN_PROMPT: f64 = 600.0;
/// Cost of a request besides its prompt, in prompt tokens: the steps that it slows down.
const REQUEST_COST: f64 = 100.0;
/// Part of the less urgent prompts that a request waits for: the piece that the engine reads when
/// it arrives.
const LESS_URGENT_PART: f64 = 0.5;
/// Cost of reading a prompt token at a decode engine. It reads at half the speed, and each step with
/// a piece of a prompt slows down all streams of the engine.
const DECODE_PREFILL_COST: f64 = 14.0;
/// Length of a prompt at which that cost is twice as high per token: a long prompt slows down the
/// streams of a decode engine for longer than their callers wait.
const DECODE_PREFILL_SCALE: f64 = 3_000.0;
/// Cost of reading a shared token that another engine holds, besides the time for it: it takes the
/// place of a part that others need, and that part is read again later.
const AWAY_COST: f64 = 7.0;
/// Cost of handing a KV cache from one engine to another, in prompt tokens: a second request.
const TRANSFER_COST: f64 = 400.0;
/// Consecutive errors of an endpoint after which other processes are told.
const TELLING_FAILURES: u32 = 2;
/// Time for which an endpoint gets no requests after it has rejected one. Twice as long after each
/// further rejection.
const FIRST_REST: Duration = Duration::from_millis(250);
/// Longest such time. An engine that changes its stage rejects requests for some seconds.
const LONGEST_REST: Duration = Duration::from_secs(2);
/// Cost of an endpoint in another zone, in prompt tokens for an engine. It decides between
/// endpoints with nearly the same load.
const FAR_COST: f64 = 60.0;
/// The same for a plain service, in requests.
const FAR_REQUESTS: f64 = 0.5;

#[derive(Clone, Debug)]
struct Member {
    instance: Arc<Instance>,
    /// Requests of this process in progress.
    own: u32,
    /// Prompt tokens of those that the engine has not read.
    unread: Backlog,
    report: Option<Report>,
    /// Rejections since it last served a request.
    rejections: u32,
    /// Failures since then.
    failures: u32,
    rest_until: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    load: Load,
    at: Instant,
    /// Requests of this process in progress at the time of the report.
    own: u32,
}

impl Member {
    fn reject(&mut self, now: Instant) {
        let rest = FIRST_REST * (1 << self.rejections.min(4));
        self.rest_until = Some(now + rest.min(LONGEST_REST));
        self.rejections += 1;
    }

    fn serve(&mut self) {
        self.rejections = 0;
        self.failures = 0;
        self.rest_until = None;
    }

    fn rests(&self, now: Instant) -> bool {
        self.rest_until.is_some_and(|until| now < until)
    }

    /// Requests of other processes, by a report that is recent enough.
    fn others(&self, now: Instant) -> u32 {
        self.recent(now).map_or(0, |report| {
            (report.load.running + report.load.waiting).saturating_sub(report.own)
        })
    }

    /// Requests that wait, by a report that is recent enough.
    fn waiting(&self, now: Instant) -> u32 {
        self.recent(now).map_or(0, |report| report.load.waiting)
    }

    fn recent(&self, now: Instant) -> Option<Report> {
        self.report
            .filter(|report| now.saturating_duration_since(report.at) < REPORT_MAX_AGE)
    }
}

/// What is known of the endpoints, as plain code.
#[derive(Debug)]
pub struct Board {
    zone: Zone,
    rng: StdRng,
    members: BTreeMap<Endpoint, Member>,
    ejector: Ejector,
    budgets: BTreeMap<Service, Window>,
    hearsay: Hearsay,
    alarms: Alarms,
    /// Failures that other processes have not been told.
    untold: BTreeSet<Endpoint>,
}

impl Board {
    /// A board without endpoints.
    #[must_use]
    pub fn new(zone: Zone, seed: u64) -> Self {
        Self {
            zone,
            rng: StdRng::seed_from_u64(seed),
            members: BTreeMap::new(),
            ejector: Ejector::new(),
            budgets: BTreeMap::new(),
            hearsay: Hearsay::default(),
            alarms: Alarms::default(),
            untold: BTreeSet::new(),
        }
    }

    /// Takes over the list of endpoints; those that stay keep their state.
    pub fn replace(&mut self, instances: Vec<Arc<Instance>>, now: Instant) {
        let mut old = std::mem::take(&mut self.members);
        for instance in instances {
            let known = old.remove(&instance.id);
            // A restart under the same id at another address knows nothing of the work before.
            let known = known.filter(|member| member.instance.address == instance.address);
            let member = known.map_or_else(
                || Member {
                    instance: Arc::clone(&instance),
                    own: 0,
                    unread: Backlog::default(),
                    report: None,
                    rejections: 0,
                    failures: 0,
                    rest_until: None,
                },
                |member| Member {
                    instance: Arc::clone(&instance),
                    ..member
                },
            );
            self.members.insert(instance.id.clone(), member);
        }
        let members = &self.members;
        let known = |endpoint: &Endpoint| members.contains_key(endpoint);
        self.ejector.retain(known);
        self.alarms.retain(known);
        self.untold.retain(known);
        for service in self.services() {
            self.ejector.relax(&self.pool(&service), now);
        }
    }

    /// Chooses an endpoint and counts the request there.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::NoEndpoint`] if no endpoint fits.
    pub fn choose(&mut self, demand: &Demand, now: Instant) -> Result<Choice> {
        let (endpoint, unread) = self.best(demand, now)?;
        let others = others(&self.hearsay, &self.members[&endpoint], demand.rank, now).requests;
        let Some(member) = self.members.get_mut(&endpoint) else {
            return Err(Error::new(Kind::Internal, "the chosen endpoint is unknown"));
        };
        invariant::check(Point::Leaving, !member.instance.draining, || {
            format!("{endpoint} was chosen although it is leaving")
        });
        member.own += 1;
        member.unread.add(demand.rank, unread);
        Ok(Choice {
            instance: Arc::clone(&member.instance),
            rank: demand.rank,
            unread,
            own: member.own,
            others,
            report_age: member
                .report
                .map(|report| now.saturating_duration_since(report.at)),
        })
    }

    /// Counts a request that is not a repeat.
    pub fn record(&mut self, service: &Service, now: Instant) {
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.record(now);
    }

    /// Takes in that an endpoint has begun to answer.
    pub fn progress(&mut self, progress: &Progress, now: Instant) {
        if let Some(member) = self.members.get_mut(&progress.endpoint) {
            member.unread.take(progress.rank, progress.prompt);
            if let Some(load) = progress.load {
                member.report = Some(Report {
                    load,
                    at: now,
                    own: member.own,
                });
            }
        }
    }

    /// Ends what [`Board::choose`] began.
    pub fn finish(&mut self, finish: &Finish, now: Instant) {
        let endpoint = &finish.endpoint;
        let Some(member) = self.members.get_mut(endpoint) else {
            return;
        };
        member.own = member.own.saturating_sub(1);
        member.unread.take(finish.rank, finish.prompt);
        let service = member.instance.service.clone();
        match finish.ending {
            Ending::Served => {
                member.serve();
                self.ejector.served(endpoint, now);
                self.alarms.served(endpoint);
            }
            Ending::Failed | Ending::Lost => {
                member.failures += 1;
                // An endpoint may fail a single request for a reason that lies in the request.
                let telling = finish.ending == Ending::Lost || member.failures >= TELLING_FAILURES;
                let pool = self.pool(&service);
                if self.ejector.failed(endpoint, &[pool], now) {
                    log::warn!(endpoint:% = endpoint, service:% = service;
                        "endpoint is ejected after consecutive failures");
                }
                if telling {
                    self.untold.insert(endpoint.clone());
                    self.raise(endpoint, None, now);
                }
            }
            Ending::Replaced => {
                log::warn!(endpoint:% = endpoint, service:% = service;
                    "another instance has the address; endpoint is forgotten");
                self.members.remove(endpoint);
            }
            Ending::Rejected => member.reject(now),
            Ending::Abandoned => {}
        }
    }

    /// The own work in progress, for each endpoint that has any, and the failures since the last
    /// survey.
    pub fn survey(&mut self) -> Digest {
        let busy = self.members.values().filter(|member| member.own > 0);
        let usages = busy.map(|member| Usage {
            endpoint: member.instance.id.clone(),
            requests: member.own,
            unread: member.unread.iter().collect(),
        });
        Digest {
            usages: usages.collect(),
            failed: std::mem::take(&mut self.untold).into_iter().collect(),
        }
    }

    /// Takes in what another process tells.
    pub fn hear(&mut self, msg: PeerDigest, now: Instant) {
        for endpoint in &msg.digest.failed {
            self.raise(endpoint, Some(msg.session), now);
        }
        self.hearsay.hear(msg.session, msg.digest.usages);
    }

    fn raise(&mut self, endpoint: &Endpoint, source: Source, now: Instant) {
        let Some(member) = self.members.get(endpoint) else {
            return;
        };
        let pool = self.pool(&member.instance.service);
        let Some(rest) = self.alarms.raise(endpoint, source, &pool, now) else {
            return;
        };
        // Random, so that one process finds out first whether the endpoint works again.
        let rest = rest.mul_f64(self.rng.random_range(0.75..1.25));
        if let Some(member) = self.members.get_mut(endpoint) {
            member.rest_until = member.rest_until.max(Some(now + rest));
        }
        metrics::counter!("endpoint_rests_total").increment(1);
        log::warn!(endpoint:% = endpoint, rest:? = rest, own = source.is_none();
            "endpoint rests: several processes have seen it fail");
    }

    /// Forgets the work of another process.
    pub fn forget_peer(&mut self, session: Session) {
        self.hearsay.forget(session);
    }

    /// Takes in how many other processes tell of their work.
    pub const fn set_audience(&mut self, audience: Audience) {
        self.hearsay.set_audience(audience);
    }

    /// Whether a request of a service may be sent to a further endpoint.
    pub fn may_repeat(&mut self, service: &Service, now: Instant) -> bool {
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.may_retry(now)
    }

    /// The endpoint with the least cost, and the prompt tokens that it has to read.
    fn best(&mut self, demand: &Demand, now: Instant) -> Result<(Endpoint, Tokens)> {
        let fitting: Vec<&Member> = self
            .members
            .values()
            .filter(|member| fits(member, demand))
            .collect();
        let healthy: Vec<&Member> = fitting
            .iter()
            .copied()
            .filter(|member| {
                let portion = self.ejector.portion(&member.instance.id, now).get();
                let portion = if member.rests(now) { 0.0 } else { portion };
                portion >= 1.0 || (portion > 0.0 && self.rng.random_bool(portion))
            })
            .collect();
        // An endpoint that has failed or rejected a request is better than none.
        let candidates = if healthy.is_empty() { fitting } else { healthy };
        let homes: BTreeSet<&Endpoint> = [Some(Stage::Prefill), Some(Stage::Decode), None]
            .into_iter()
            .filter_map(|stage| home(&candidates, stage, demand.affinity?))
            .collect();
        let near = demand.near.as_ref().unwrap_or(&self.zone);
        let best = candidates
            .iter()
            .map(|member| {
                let at_home = homes.contains(&member.instance.id);
                // The jitter separates processes that see the same load.
                let jitter = self.rng.random_range(1.0..1.05);
                let others = others(&self.hearsay, member, demand.rank, now);
                let cost = cost(member, demand, at_home, near, others) * jitter;
                (cost, &member.instance.id)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, endpoint)) = best else {
            let detail = format!("no endpoint of {} can take the request", demand.service);
            return Err(Error::new(Kind::NoEndpoint, detail));
        };
        let unread = unread(demand, homes.contains(endpoint));
        Ok((endpoint.clone(), unread))
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

/// Work of other processes at an endpoint: what they tell, else an estimate from its report.
fn others(hearsay: &Hearsay, member: &Member, rank: u8, now: Instant) -> Foreign {
    hearsay.at(&member.instance.id, rank).unwrap_or_else(|| {
        let others = member.others(now);
        // At a decode engine the running requests have been read.
        let unread = match member.instance.stage {
            Some(Stage::Decode) => member.waiting(now),
            _ => others,
        };
        Foreign {
            requests: f64::from(others),
            urgent: f64::from(unread) * FOREIGN_PROMPT,
            patient: 0.0,
        }
    })
}

/// Prompt tokens that an endpoint has to read for a request.
fn unread(demand: &Demand, at_home: bool) -> Tokens {
    match demand.need {
        Need::Decode => Tokens::ZERO,
        Need::Start | Need::Whole if at_home => {
            Tokens::new(demand.prompt.get().saturating_sub(demand.shared.get()))
        }
        Need::Start | Need::Whole => demand.prompt,
    }
}

fn fits(member: &Member, demand: &Demand) -> bool {
    let instance = &member.instance;
    instance.service == demand.service
        && !instance.draining
        && !demand.avoid.contains(&instance.id)
        && (demand.need == Need::Start || instance.stage != Some(Stage::Prefill))
}

/// The engine of a stage that requests with the same shared parts go to. Rendezvous hashing: when
/// an engine comes or goes, only the requests that it serves move.
fn home<'a>(members: &[&'a Member], stage: Option<Stage>, affinity: u64) -> Option<&'a Endpoint> {
    let weight = |endpoint: &Endpoint| {
        let mut hasher = DefaultHasher::new();
        (affinity, endpoint).hash(&mut hasher);
        hasher.finish()
    };
    members
        .iter()
        .filter(|member| member.instance.stage == stage)
        .map(|member| &member.instance.id)
        .max_by_key(|endpoint| weight(endpoint))
}

/// Estimate of the time until the first token, in prompt tokens that an engine reads meanwhile; for
/// a plain service, of the requests per slot.
fn cost(member: &Member, demand: &Demand, at_home: bool, near: &Zone, others: Foreign) -> f64 {
    let far = member.instance.zone != *near;
    let Foreign {
        requests: others,
        urgent,
        patient,
    } = others;
    let own = f64::from(member.own);
    if demand.prompt.get() == 0 {
        let far = if far { FAR_REQUESTS } else { 0.0 };
        return (own + others + 1.0 + far) / f64::from(member.instance.slots.max(1));
    }
    let prompt = as_f64(unread(demand, at_home).get());
    let away = if at_home || demand.need == Need::Decode {
        0.0
    } else {
        as_f64(demand.shared.get()) * AWAY_COST
    };
    let (own_urgent, own_patient) = member.unread.split(demand.rank);
    let queued = as_f64(own_urgent) + urgent + (as_f64(own_patient) + patient) * LESS_URGENT_PART;
    let (read, transfer) = match (member.instance.stage, demand.need) {
        (_, Need::Decode) => (0.0, 0.0),
        (Some(Stage::Prefill), _) => (prompt, TRANSFER_COST),
        (Some(Stage::Decode), _) => {
            let slowdown = 1.0 + prompt / DECODE_PREFILL_SCALE;
            (prompt * DECODE_PREFILL_COST * slowdown, 0.0)
        }
        (None, _) => (prompt, 0.0),
    };
    let speed = match member.instance.stage {
        Some(Stage::Decode) => DECODE_PREFILL_COST,
        _ => 1.0,
    };
    let far = if far { FAR_COST } else { 0.0 };
    queued * speed + read + away + transfer + (own + others) * REQUEST_COST + far
}
