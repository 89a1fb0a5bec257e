use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Instant,
};

use rand::{Rng, SeedableRng as _, rngs::StdRng};

use super::{
    Audience, Choice, Demand, Ending, Finish, Need, PeerDigest, Progress,
    alarm::{Alarms, Source},
    cost::{cost, home, others, unread},
    hearsay::Hearsay,
    member::{Member, Report},
};
use crate::{
    directory::{Instance, Stage},
    error::{Error, Kind, Result},
    id::{Endpoint, Service, Zone},
    invariant::{self, Point},
    link::Session,
    retry::{Budget as _, Ejector, Window},
    wire::{Digest, Usage},
};

/// Consecutive errors of an endpoint after which other processes are told.
const TELLING_FAILURES: u32 = 2;

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
            let mut member = known.unwrap_or_else(|| Member::new(Arc::clone(&instance)));
            member.instance = Arc::clone(&instance);
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
        let (endpoint, at_home) = self.best(demand, now)?;
        let unread = unread(demand, at_home);
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
            others: others(&self.hearsay, member, demand.rank, now).requests,
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
                if self
                    .ejector
                    .failed(endpoint, std::slice::from_ref(&pool), now)
                {
                    log::warn!(endpoint:% = endpoint, service:% = service;
                        "endpoint is ejected after consecutive failures");
                }
                if telling {
                    self.untold.insert(endpoint.clone());
                    self.raise(endpoint, None, &pool, now);
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
            if let Some(member) = self.members.get(endpoint) {
                let pool = self.pool(&member.instance.service);
                self.raise(endpoint, Some(msg.session), &pool, now);
            }
        }
        self.hearsay.hear(msg.session, msg.digest.usages);
    }

    /// Notes a failure of an endpoint in a pool, and lets the endpoint rest if others see it fail too.
    fn raise(&mut self, endpoint: &Endpoint, source: Source, pool: &[Endpoint], now: Instant) {
        let Some(rest) = self.alarms.raise(endpoint, source, pool, now) else {
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

    /// The endpoint with the least cost, and whether it is the home of the shared parts.
    fn best(&mut self, demand: &Demand, now: Instant) -> Result<(Endpoint, bool)> {
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
                (cost, &member.instance.id, at_home)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let chosen = best.map(|(_, endpoint, at_home)| (endpoint.clone(), at_home));
        chosen.ok_or_else(|| {
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
