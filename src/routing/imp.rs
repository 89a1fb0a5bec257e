use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use rand::{SeedableRng as _, rngs::StdRng};

use super::{Cost, Demand, Ending, Policy, Pool, Status, View};
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

    /// Takes in a load report.
    pub fn observe(&mut self, report: Report, now: Instant) {
        if let Some(status) = self.view.endpoints.get_mut(&report.endpoint) {
            status.report = Some((report, now));
        }
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

    /// Ends what [`Table::choose`] began.
    pub fn finish(&mut self, endpoint: &Endpoint, cost: Cost, ending: Ending, now: Instant) {
        let Some(status) = self.view.endpoints.get_mut(endpoint) else {
            return;
        };
        status.end(cost);
        match ending {
            Ending::Served => self.ejector.served(endpoint, now),
            Ending::Failed => {
                let pools = self.pools();
                let members = pools.iter().map(|pool| self.members(pool));
                let members: Vec<_> = members.filter(|pool| pool.contains(endpoint)).collect();
                self.ejector.failed(endpoint, &members, now);
            }
            Ending::Refused | Ending::Abandoned => {}
        }
    }

    /// Whether a failed request may be retried.
    pub fn may_retry(&mut self, now: Instant) -> bool {
        self.budget.may_retry(now)
    }

    /// The pools whose slots changed since the last call.
    pub fn capacities(&mut self, now: Instant) -> Vec<Capacity> {
        let mut slots: BTreeMap<Pool, u32> = BTreeMap::new();
        for pool in self.pools().into_iter().chain(self.slots.keys().cloned()) {
            let usable = |(endpoint, status): &(&Endpoint, &Status)| {
                status.serves(&pool)
                    && !status.is_down(now)
                    && !status.is_leaving()
                    && !self.ejector.is_ejected(endpoint, now)
            };
            let usable = self.view.endpoints.iter().filter(usable);
            let sum = usable.map(|(_, status)| status.spec.slots).sum();
            slots.insert(pool, sum);
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
        let specs = self.view.endpoints.values().map(|status| &status.spec);
        specs
            .flat_map(|spec| {
                let models = spec.models.iter().cloned().map(Pool::Model);
                models.chain(spec.service.iter().cloned().map(Pool::Service))
            })
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
