use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use rand::{SeedableRng as _, rngs::StdRng};

use super::{Cost, Demand, Ending, Policy, Pool, Status, View, slot_limit::SlotLimit};
use crate::{
    admission::Capacity,
    config::Document,
    error::{Error, Kind, Result},
    id::{Endpoint, Zone},
    invariant::{self, Invariant},
    retry::{Budget, Ejector},
    wire::Report,
};

/// State and decisions of the router, without I/O or a clock of its own.
#[derive(Debug)]
pub struct Table {
    policy: Box<dyn Policy>,
    budget: Box<dyn Budget>,
    rng: StdRng,
    view: View,
    ejector: Ejector,
    slots: BTreeMap<Pool, u32>,
    slot_limits: BTreeMap<Pool, SlotLimit>,
}

impl Table {
    /// Creates a table without endpoints. `seed` makes the random choices reproducible; `zone` is
    /// the zone that the policy may prefer.
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
            slot_limits: BTreeMap::new(),
        }
    }

    /// Replaces the endpoints by those of a document. Endpoints that remain keep their state.
    pub fn set_document(&mut self, document: &Document, now: Instant) {
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
            self.ejector.limit_ejections(&self.members(&pool), now);
        }
    }

    /// Stores a load report. Returns whether it may change the slots of a pool. Reports of unknown
    /// endpoints are ignored.
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

    /// Stores whether the link to an agent is up. Unknown endpoints are ignored.
    pub fn set_linked(&mut self, endpoint: &Endpoint, up: bool) {
        if let Some(status) = self.view.endpoints.get_mut(endpoint) {
            status.linked = Some(up);
        }
    }

    /// Selects an endpoint and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::NoEndpoint`] if no endpoint is eligible.
    pub fn choose(&mut self, demand: &Demand, now: Instant) -> Result<Endpoint> {
        // A request with endpoints to avoid is a retry, which does not raise the retry budget.
        if demand.excluded.is_empty() {
            self.budget.record(now);
        }
        for (endpoint, status) in &mut self.view.endpoints {
            status.traffic_share = self.ejector.traffic_share(endpoint, now);
        }
        self.view.now = Some(now);
        self.view.workload.record(demand);
        let chosen = self.policy.choose(demand, &self.view, &mut self.rng);
        let status = chosen
            .as_ref()
            .and_then(|endpoint| self.view.endpoints.get_mut(endpoint));
        let (Some(endpoint), Some(status)) = (chosen, status) else {
            let detail = format!("no endpoint of {} can take the request", demand.pool);
            return Err(Error::new(Kind::NoEndpoint, detail));
        };
        invariant::check(Invariant::Leaving, !status.is_leaving(), || {
            format!("{endpoint} was selected while it is draining")
        });
        status.record_start(demand);
        Ok(endpoint)
    }

    /// Ends a request that [`Table::choose`] placed. Returns whether its failure ejects the
    /// endpoint.
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
        status.record_end(cost);
        match ending {
            Ending::Served => self.ejector.record_success(endpoint, now),
            Ending::Failed => {
                let pools = status.pools();
                let members: Vec<_> = pools.iter().map(|pool| self.members(pool)).collect();
                return self.ejector.record_failure(endpoint, &members, now);
            }
            Ending::Refused | Ending::Abandoned => {}
        }
        false
    }

    /// Returns whether the retry budget allows a retry, and counts it if so.
    pub fn may_retry(&mut self, now: Instant) -> bool {
        self.budget.may_retry(now)
    }

    /// Returns the pools whose usable slots changed since the last call.
    pub fn capacities(&mut self, now: Instant) -> Vec<Capacity> {
        // A pool that was removed is reported once more, with 0 slots.
        let removed = self.slots.iter().filter(|(_, old)| **old > 0);
        let removed = removed.map(|(pool, _)| pool.clone());
        let pools = self.pools().into_iter().chain(removed);
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
        self.slot_limits.retain(|pool, _| usages.contains_key(pool));
        let adaptive = self.policy.uses_adaptive_slots();
        let slots: BTreeMap<Pool, u32> = usages
            .into_iter()
            .map(|(pool, usage)| {
                let slots = if adaptive {
                    let limit = self.slot_limits.entry(pool.clone()).or_default();
                    limit.update(usage.slots, usage.own, usage.all, now)
                } else {
                    round_up(usage.equal_share)
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

    /// The endpoint state that the policy selects from.
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

/// Slots and requests of the usable endpoints of a pool.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    /// Slots of all usable endpoints.
    slots: u32,
    /// Slots of this entry if the connected entries share each endpoint equally.
    equal_share: f64,
    /// Requests of this entry in flight.
    own: u32,
    /// Requests of all entries in progress, as last reported.
    all: u32,
}

impl Usage {
    fn add(&mut self, status: &Status) {
        self.slots += status.spec.slots;
        self.equal_share += status.slot_share();
        self.own += status.in_flight;
        self.all += status.in_progress();
    }
}

/// Rounds up, so that an entry keeps at least one slot of a pool that it shares with many others.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "shares are positive, and sums of slots are far below `u32::MAX`"
)]
fn round_up(share: f64) -> u32 {
    share.ceil() as u32
}
