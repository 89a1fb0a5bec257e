use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng as _, rngs::StdRng};

use super::{Choice, Demand, Ending, Finish, Load, Need, Progress};
use crate::{
    directory::{Instance, Stage},
    error::{Error, Kind, Result},
    id::{Endpoint, Service, Zone},
    invariant::{self, Point},
    retry::{Budget as _, Ejector, Window},
    unit::as_f64,
};

/// Age at which a load report says nothing about the present. Requests last about this long.
const REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// Prompt tokens assumed for a request of another process that an engine reports, about the mean
/// of what the requests leave to read.
const FOREIGN_PROMPT: f64 = 600.0;
/// Cost of a request besides its prompt, in prompt tokens: the steps that it slows down.
const REQUEST_COST: f64 = 100.0;
/// Cost of reading a prompt token at a decode engine. It reads at half the speed, and each step with
/// a piece of a prompt slows down all streams of the engine.
const DECODE_PREFILL_COST: f64 = 4.0;
/// Length of a prompt at which that cost is twice as high per token: a long prompt slows down the
/// streams of a decode engine for longer than their callers wait.
const DECODE_PREFILL_SCALE: f64 = 3_000.0;
/// Cost of handing a KV cache from one engine to another, in prompt tokens: a second request.
const TRANSFER_COST: f64 = 400.0;
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
    prompt: u64,
    report: Option<Report>,
    /// Rejections since it last served a request.
    rejections: u32,
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
                    prompt: 0,
                    report: None,
                    rejections: 0,
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
        self.ejector
            .retain(|endpoint| members.contains_key(endpoint));
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
        let endpoint = self.best(demand, now)?;
        let others = self.members[&endpoint].others(now);
        let Some(member) = self.members.get_mut(&endpoint) else {
            return Err(Error::new(Kind::Internal, "the chosen endpoint is unknown"));
        };
        invariant::check(Point::Leaving, !member.instance.draining, || {
            format!("{endpoint} was chosen although it is leaving")
        });
        member.own += 1;
        if demand.need != Need::Decode {
            member.prompt += demand.prompt.get();
        }
        Ok(Choice {
            instance: Arc::clone(&member.instance),
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
            member.prompt = member.prompt.saturating_sub(progress.prompt.get());
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
        member.prompt = member.prompt.saturating_sub(finish.prompt.get());
        let service = member.instance.service.clone();
        match finish.ending {
            Ending::Served => {
                member.serve();
                self.ejector.served(endpoint, now);
            }
            Ending::Failed => {
                let pool = self.pool(&service);
                if self.ejector.failed(endpoint, &[pool], now) {
                    log::warn!(endpoint:% = endpoint, service:% = service;
                        "endpoint is ejected after consecutive failures");
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

    /// Whether a request of a service may be sent to a further endpoint.
    pub fn may_repeat(&mut self, service: &Service, now: Instant) -> bool {
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.may_retry(now)
    }

    fn best(&mut self, demand: &Demand, now: Instant) -> Result<Endpoint> {
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
                let cost = cost(member, demand, at_home, near, now) * jitter;
                (cost, &member.instance.id)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, endpoint)| endpoint.clone()).ok_or_else(|| {
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

/// Prompt tokens that an engine has to read, by the own requests and an estimate of those of other
/// processes.
fn unread(member: &Member, now: Instant) -> f64 {
    // At a decode engine the running requests have been read.
    let others = match member.instance.stage {
        Some(Stage::Decode) => member.waiting(now),
        _ => member.others(now),
    };
    as_f64(member.prompt) + f64::from(others) * FOREIGN_PROMPT
}

/// Estimate of the time until the first token, in prompt tokens that an engine reads meanwhile; for
/// a plain service, of the requests per slot.
fn cost(member: &Member, demand: &Demand, at_home: bool, near: &Zone, now: Instant) -> f64 {
    let far = member.instance.zone != *near;
    let others = f64::from(member.others(now));
    let own = f64::from(member.own);
    if demand.prompt.get() == 0 {
        let far = if far { FAR_REQUESTS } else { 0.0 };
        return (own + others + 1.0 + far) / f64::from(member.instance.slots.max(1));
    }
    let mut prompt = as_f64(demand.prompt.get());
    if at_home {
        prompt -= as_f64(demand.shared.get());
    }
    let queued = unread(member, now);
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
    queued * speed + read + transfer + (own + others) * REQUEST_COST + far
}
