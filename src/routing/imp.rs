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
        let relevant = |(report, _): &(Report, Instant)| (report.leaving, report.models.clone());
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
        let mut slots: BTreeMap<Pool, u32> = self.pools().into_iter().map(|p| (p, 0)).collect();
        for (pool, old) in &self.slots {
            // A pool that is gone is announced once more, without slots.
            if *old > 0 {
                slots.entry(pool.clone()).or_default();
            }
        }
        let mut used: BTreeMap<Pool, (u32, u32)> = BTreeMap::new();
        for (endpoint, status) in &self.view.endpoints {
            let ejected = self.ejector.is_ejected(endpoint, now);
            if ejected || status.is_down(now) || status.is_leaving() {
                continue;
            }
            for pool in status.pools() {
                let (own, all) = used.entry(pool.clone()).or_default();
                *own += status.in_flight;
                *all += status.in_progress();
                *slots.entry(pool).or_default() += status.spec.slots;
            }
        }
        if self.policy.shares_slots() {
            self.portions.retain(|pool, _| slots.contains_key(pool));
            for (pool, slots) in &mut slots {
                let (own, all) = used.get(pool).copied().unwrap_or_default();
                let portion = self.portions.entry(pool.clone()).or_default();
                *slots = portion.limit(*slots, own, all, now);
            }
        }
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
