use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use rand::{SeedableRng as _, rngs::StdRng};

use super::{Cost, Demand, Ending, Policy, Pool, Status, View, portion::Portion};
use crate::{
    admission::Capacity,
    config::Document,
    error::{Error, Kind, Result},
    id::{Endpoint, Zone},
    invariant::{self, Point},
    retry::{Budget, Ejector},
    wire::Report,
};

/// State of the router, as plain code.
#[derive(Debug)]
pub struct Table {
    policy: Box<dyn Policy>,
    budget: Box<dyn Budget>,
    rng: StdRng,
    view: View,
    ejector: Ejector,
    slots: BTreeMap<Pool, u32>,
    portions: BTreeMap<Pool, Portion>,
}

impl Table {
    /// A table without endpoints.
    #[must_use]
    pub fn new(
        policy: Box<dyn Policy>,
        budget: Box<dyn Budget>,
        seed: u64,
        zone: Option<Zone>,
    ) -> Self {
        Self {
            policy,
            budget,
            rng: StdRng::seed_from_u64(seed),
            view: View {
                zone,
                ..View::default()
            },
            ejector: Ejector::new(),
            slots: BTreeMap::new(),
            portions: BTreeMap::new(),
        }
    }

    /// Takes over the endpoints of a document; those that stay keep their state.
    pub fn adopt(&mut self, document: &Document, now: Instant) {
        let endpoints = &mut self.view.endpoints;
        endpoints.retain(|endpoint, _| document.endpoints.contains_key(endpoint));
        for (endpoint, spec) in &document.endpoints {
            let status = endpoints
                .entry(endpoint.clone())
                .or_insert_with(|| Status::new(spec.clone()));
            status.spec = spec.clone();
        }
        self.ejector
            .retain(|endpoint| document.endpoints.contains_key(endpoint));
        for pool in self.pools() {
            self.ejector.relax(&self.members(&pool), now);
        }
    }

    /// Takes in a load report. Returns whether it can change the slots of a pool.
    pub fn observe(&mut self, report: Report, now: Instant) -> bool {
        let Some(status) = self.view.endpoints.get_mut(&report.endpoint) else {
            return false;
        };
        let old = status.report.replace((report, now));
        let new = status.report.as_ref();
        let relevant = |(report, _): &(Report, Instant)| {
            (report.leaving, report.entries, report.models.clone())
        };
        old.as_ref().map(relevant) != new.map(relevant)
    }

    /// Takes in the state of a link. An unknown endpoint is ignored.
    pub fn link(&mut self, endpoint: &Endpoint, up: bool) {
        if let Some(status) = self.view.endpoints.get_mut(endpoint) {
            status.linked = Some(up);
        }
    }

    /// Chooses an endpoint and counts the request there.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::NoEndpoint`] if no endpoint fits.
    pub fn choose(&mut self, demand: &Demand, now: Instant) -> Result<Endpoint> {
        // A retry after a failure names the endpoint to avoid, and is not a recent request.
        if demand.avoid.is_empty() {
            self.budget.record(now);
        }
        for (endpoint, status) in &mut self.view.endpoints {
            status.portion = self.ejector.portion(endpoint, now);
        }
        self.view.now = Some(now);
        self.view.mix.record(demand);
        let chosen = self.policy.choose(demand, &self.view, &mut self.rng);
        let status = chosen
            .as_ref()
            .and_then(|endpoint| self.view.endpoints.get_mut(endpoint));
        let (Some(endpoint), Some(status)) = (chosen, status) else {
            let detail = format!("no endpoint of {} can take the request", demand.pool);
            return Err(Error::new(Kind::NoEndpoint, detail));
        };
        invariant::check(Point::Leaving, !status.is_leaving(), || {
            format!("{endpoint} was chosen although it is leaving")
        });
        status.begin(demand);
        Ok(endpoint)
    }

    /// Ends what [`Table::choose`] began. Returns whether the endpoint is ejected for it.
    pub fn finish(
        &mut self,
        endpoint: &Endpoint,
        cost: Cost,
        ending: Ending,
        now: Instant,
    ) -> bool {
        let Some(status) = self.view.endpoints.get_mut(endpoint) else {
            return false;
        };
        status.end(cost);
        match ending {
            Ending::Served => self.ejector.served(endpoint, now),
            Ending::Failed => {
                let pools = status.pools();
                let members: Vec<_> = pools.iter().map(|pool| self.members(pool)).collect();
                return self.ejector.failed(endpoint, &members, now);
            }
            Ending::Refused | Ending::Abandoned => {}
        }
        false
    }

    /// Whether a failed request may be retried.
    pub fn may_retry(&mut self, now: Instant) -> bool {
        self.budget.may_retry(now)
    }

    /// The pools whose slots changed since the last call.
    pub fn capacities(&mut self, now: Instant) -> Vec<Capacity> {
        // A pool that is gone is announced once more, without slots.
        let gone = self.slots.iter().filter(|(_, old)| **old > 0);
        let gone = gone.map(|(pool, _)| pool.clone());
        let pools = self.pools().into_iter().chain(gone);
        let mut usages: BTreeMap<Pool, Usage> =
            pools.map(|pool| (pool, Usage::default())).collect();
        for (endpoint, status) in &self.view.endpoints {
            let ejected = self.ejector.is_ejected(endpoint, now);
            if ejected || status.is_down(now) || status.is_leaving() {
                continue;
            }
            for pool in status.pools() {
                usages.entry(pool).or_default().add(status);
            }
        }
        self.portions.retain(|pool, _| usages.contains_key(pool));
        let adapts = self.policy.shares_slots();
        let slots: BTreeMap<Pool, u32> = usages
            .into_iter()
            .map(|(pool, usage)| {
                let slots = if adapts {
                    let portion = self.portions.entry(pool.clone()).or_default();
                    portion.limit(usage.slots, usage.own, usage.all, now)
                } else {
                    whole(usage.share)
                };
                (pool, slots)
            })
            .collect();
        let change = |(pool, slots): (&Pool, &u32)| {
            (self.slots.get(pool) != Some(slots)).then(|| Capacity {
                pool: pool.clone(),
                slots: *slots,
            })
        };
        let updates = slots.iter().filter_map(change).collect();
        self.slots = slots;
        updates
    }

    /// The view that choices are based on.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    fn pools(&self) -> BTreeSet<Pool> {
        self.view
            .endpoints
            .values()
            .flat_map(Status::pools)
            .collect()
    }

    fn members(&self, pool: &Pool) -> Vec<Endpoint> {
        let members = self.view.endpoints.iter();
        members
            .filter(|(_, status)| status.serves(pool))
            .map(|(endpoint, _)| endpoint.clone())
            .collect()
    }
}

/// How the slots of a pool are used.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    /// Slots of all its endpoints.
    slots: u32,
    /// The part of them that falls to this entry if all entries get the same.
    share: f64,
    /// Requests of this entry.
    own: u32,
    /// Requests of all entries, as last reported.
    all: u32,
}

impl Usage {
    fn add(&mut self, status: &Status) {
        self.slots += status.spec.slots;
        self.share += status.share();
        self.own += status.in_flight;
        self.all += status.in_progress();
    }
}

/// Rounds up, so that an entry always keeps a slot of a pool that it shares with many others.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "shares are positive, and sums of slots are far below the limit"
)]
fn whole(share: f64) -> u32 {
    share.ceil() as u32
}
