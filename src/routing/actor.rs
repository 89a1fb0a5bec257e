use std::time::Duration;

use actix::{Actor, Addr, AsyncContext as _, Context, Handler, MessageResult, Recipient};

use super::{
    Choice, Choose, Finish, GetEndpointStatuses, LinkChanged, LoadReport, MayRetry, Policy,
    PowerOfTwo, SetDocument, Table,
};
use crate::{
    admission::Capacity,
    clock::Shared,
    error::Result,
    id::Zone,
    retry::{Budget, WindowBudget},
};

/// Interval of the check for slots that change with time alone, when an ejection ends or reports
/// become stale. Other changes are published at once.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Configuration of a [`Router`].
#[derive(Debug)]
pub struct Config {
    clock: Shared,
    policy: Box<dyn Policy>,
    budget: Box<dyn Budget>,
    seed: u64,
    zone: Option<Zone>,
    capacity: Option<Recipient<Capacity>>,
}

impl Config {
    /// Configures a router with the [`PowerOfTwo`] policy, a [`WindowBudget`] retry budget, seed 0
    /// and no zone.
    #[must_use]
    pub fn new(clock: Shared) -> Self {
        Self {
            clock,
            policy: Box::new(PowerOfTwo::default()),
            budget: Box::new(WindowBudget::new()),
            seed: 0,
            zone: None,
            capacity: None,
        }
    }

    /// Sets the policy that selects endpoints.
    #[must_use]
    pub fn policy(mut self, policy: Box<dyn Policy>) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the budget that limits retries.
    #[must_use]
    pub fn budget(mut self, budget: Box<dyn Budget>) -> Self {
        self.budget = budget;
        self
    }

    /// Sets the seed of the random choices. Each entry needs a seed of its own, or all of them make
    /// the same choices.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the zone of this entry, which [`PowerOfTwo`] prefers between endpoints with similar
    /// load.
    #[must_use]
    pub fn zone(mut self, zone: Zone) -> Self {
        self.zone = Some(zone);
        self
    }

    /// Sets the recipient of changes to the usable slots of a pool. By default they are dropped.
    #[must_use]
    pub fn capacity(mut self, recipient: Recipient<Capacity>) -> Self {
        self.capacity = Some(recipient);
        self
    }
}

/// The actor that selects endpoints.
#[derive(Debug)]
pub struct Router {
    clock: Shared,
    table: Table,
    capacity: Option<Recipient<Capacity>>,
}

/// Starts a router in the current arbiter, without endpoints until it receives [`SetDocument`].
#[must_use]
pub fn spawn(config: Config) -> Addr<Router> {
    Router {
        clock: config.clock,
        table: Table::new(config.policy, config.budget, config.seed, config.zone),
        capacity: config.capacity,
    }
    .start()
}

impl Router {
    fn publish(&mut self) {
        for change in self.table.capacities(self.clock.now()) {
            if let Some(recipient) = &self.capacity {
                recipient.do_send(change);
            }
        }
    }
}

impl Actor for Router {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(REFRESH_INTERVAL, |router, _| router.publish());
    }
}

impl Handler<SetDocument> for Router {
    type Result = ();

    fn handle(&mut self, SetDocument(document): SetDocument, _: &mut Context<Self>) {
        self.table.set_document(&document, self.clock.now());
        self.publish();
    }
}

impl Handler<LoadReport> for Router {
    type Result = ();

    fn handle(&mut self, LoadReport(report): LoadReport, _: &mut Context<Self>) {
        if self.table.observe(report, self.clock.now()) {
            self.publish();
        }
    }
}

impl Handler<LinkChanged> for Router {
    type Result = ();

    fn handle(&mut self, msg: LinkChanged, _: &mut Context<Self>) {
        self.table.set_linked(&msg.endpoint, msg.up);
        self.publish();
    }
}

impl Handler<Choose> for Router {
    type Result = Result<Choice>;

    fn handle(&mut self, Choose(demand): Choose, ctx: &mut Context<Self>) -> Self::Result {
        let endpoint = self.table.choose(&demand, self.clock.now())?;
        Ok(Choice::new(
            endpoint,
            demand.cost,
            ctx.address().recipient(),
        ))
    }
}

impl Handler<Finish> for Router {
    type Result = ();

    fn handle(&mut self, msg: Finish, _: &mut Context<Self>) {
        let now = self.clock.now();
        let ejected = self.table.finish(&msg.endpoint, msg.cost, msg.ending, now);
        if ejected {
            self.publish();
        }
    }
}

impl Handler<MayRetry> for Router {
    type Result = bool;

    fn handle(&mut self, _: MayRetry, _: &mut Context<Self>) -> bool {
        self.table.may_retry(self.clock.now())
    }
}

impl Handler<GetEndpointStatuses> for Router {
    type Result = MessageResult<GetEndpointStatuses>;

    fn handle(&mut self, _: GetEndpointStatuses, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.table.view().endpoint_statuses(self.clock.now()))
    }
}
