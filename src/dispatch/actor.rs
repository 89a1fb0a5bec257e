use std::{sync::Arc, time::Duration};

use actix::{Actor, Addr, AsyncContext, Context, Handler, MessageResult};

use super::{
    Choose, ExpireInstances, Finish, IsSilent, ListConfirmed, LoadBalancer, MayRetry,
    NoticeReceived, PeerCoverage, PeerDigest, PeerDisconnected, Progress, SetInstances, SetMemory,
    TakeDigest, Ticket, ticket::Reports,
};
use crate::{clock::Shared, directory::Budget, error::Result, id::Zone, triage};

/// Interval at which the end of pauses is logged and counted.
const NOTICES_INTERVAL: Duration = Duration::from_millis(250);

/// Configuration of a [`Dispatcher`].
#[derive(Clone, Debug)]
pub struct Config {
    clock: Shared,
    zone: Zone,
    seed: u64,
    overload: triage::Mode,
    drain_budget: Budget,
}

impl Config {
    /// Configures a dispatcher that prefers endpoints in `zone`. The seed is 0 until
    /// [`Config::seed`] sets it.
    #[must_use]
    pub fn new(clock: Shared, zone: Zone) -> Self {
        Self {
            clock,
            zone,
            seed: 0,
            overload: triage::Mode::Auto,
            drain_budget: Budget::default(),
        }
    }

    /// Sets how long a request that was begun may still be sent to an endpoint that leaves.
    #[must_use]
    pub const fn drain_budget(mut self, budget: Budget) -> Self {
        self.drain_budget = budget;
        self
    }

    /// Sets the seed of the random choices. Each process needs a seed of its own, or all of them
    /// make the same choices.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets what happens when a service has too little capacity; [`triage::Mode::Auto`] until then.
    #[must_use]
    pub const fn overload(mut self, overload: triage::Mode) -> Self {
        self.overload = overload;
        self
    }
}

/// The actor that selects endpoints.
#[derive(Debug)]
pub struct Dispatcher {
    clock: Shared,
    drain_budget: Budget,
    balancer: LoadBalancer,
}

/// Starts a dispatcher in the current arbiter, without endpoints until it receives
/// [`SetInstances`].
#[must_use]
pub fn spawn(config: Config) -> Addr<Dispatcher> {
    Dispatcher {
        balancer: LoadBalancer::new(config.zone, config.seed)
            .with_policy(triage::new(config.overload)),
        clock: config.clock,
        drain_budget: config.drain_budget,
    }
    .start()
}

impl Actor for Dispatcher {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(NOTICES_INTERVAL, |dispatcher, _| {
            dispatcher.balancer.review_notices(dispatcher.clock.now());
        });
    }
}

impl Handler<Choose> for Dispatcher {
    type Result = Result<Ticket>;

    fn handle(&mut self, Choose(demand): Choose, ctx: &mut Context<Self>) -> Self::Result {
        let now = self.clock.now();
        if demand.is_first() {
            self.balancer.record_request(&demand, now);
        }
        let choice = self.balancer.choose(&demand, now)?;
        let address = ctx.address();
        let reports = Reports {
            progress: address.clone().recipient(),
            finish: address.clone().recipient(),
            notice: address.recipient(),
            clock: Arc::clone(&self.clock),
            upload_time: self.drain_budget.upload_time(),
        };
        Ok(Ticket::new(choice, Arc::new(demand), reports))
    }
}

impl Handler<Progress> for Dispatcher {
    type Result = ();

    fn handle(&mut self, msg: Progress, _: &mut Context<Self>) {
        self.balancer.progress(&msg, self.clock.now());
    }
}

impl Handler<Finish> for Dispatcher {
    type Result = ();

    fn handle(&mut self, msg: Finish, _: &mut Context<Self>) {
        self.balancer.finish(&msg, self.clock.now());
    }
}

impl Handler<NoticeReceived> for Dispatcher {
    type Result = ();

    fn handle(&mut self, msg: NoticeReceived, _: &mut Context<Self>) {
        self.balancer.record_notice(&msg, self.clock.now());
    }
}

impl Handler<MayRetry> for Dispatcher {
    type Result = MessageResult<MayRetry>;

    fn handle(&mut self, MayRetry(service): MayRetry, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.balancer.may_retry(&service, self.clock.now()))
    }
}

impl Handler<IsSilent> for Dispatcher {
    type Result = MessageResult<IsSilent>;

    fn handle(&mut self, msg: IsSilent, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.balancer.is_silent(&msg.endpoint, msg.since))
    }
}

impl Handler<ListConfirmed> for Dispatcher {
    type Result = ();

    fn handle(&mut self, _: ListConfirmed, _: &mut Context<Self>) {
        self.balancer.confirm_list(self.clock.now());
    }
}

impl Handler<SetInstances> for Dispatcher {
    type Result = ();

    fn handle(&mut self, SetInstances(instances): SetInstances, _: &mut Context<Self>) {
        self.balancer.set_instances(instances, self.clock.now());
    }
}

impl Handler<ExpireInstances> for Dispatcher {
    type Result = ();

    fn handle(&mut self, ExpireInstances(instances): ExpireInstances, _: &mut Context<Self>) {
        self.balancer.expire_instances(instances, self.clock.now());
    }
}

impl Handler<SetMemory> for Dispatcher {
    type Result = ();

    fn handle(&mut self, SetMemory(capacities): SetMemory, _: &mut Context<Self>) {
        self.balancer.set_memory(capacities);
    }
}

impl Handler<TakeDigest> for Dispatcher {
    type Result = MessageResult<TakeDigest>;

    fn handle(&mut self, _: TakeDigest, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.balancer.take_digest(self.clock.now()))
    }
}

impl Handler<PeerDigest> for Dispatcher {
    type Result = ();

    fn handle(&mut self, msg: PeerDigest, _: &mut Context<Self>) {
        self.balancer.apply_peer_digest(msg, self.clock.now());
    }
}

impl Handler<PeerDisconnected> for Dispatcher {
    type Result = ();

    fn handle(&mut self, PeerDisconnected(session): PeerDisconnected, _: &mut Context<Self>) {
        self.balancer.remove_peer(session);
    }
}

impl Handler<PeerCoverage> for Dispatcher {
    type Result = ();

    fn handle(&mut self, msg: PeerCoverage, _: &mut Context<Self>) {
        self.balancer.set_peer_coverage(msg);
    }
}
