use std::{collections::HashMap, time::Instant};

use actix::{Actor, Addr, AsyncContext as _, Context, Handler, ResponseFuture, SpawnHandle};
use tokio::sync::oneshot;

use super::{Capacity, Offer, Policy, ReleaseSlot, Scheduler, SetDocument, Shares};
use crate::{
    clock::Shared,
    error::{Error, Executed, Kind, Result},
    id::Request,
    invariant::{self, Invariant},
};

/// Default number of requests sent to a pool per slot. Above 1, so that an engine always has a
/// queued request to add to its batch.
pub const DEFAULT_QUEUEING_FACTOR: f64 = 1.25;

/// Settings of an admission controller.
#[derive(Debug)]
pub struct Config {
    clock: Shared,
    policy: Box<dyn Policy>,
    queueing: f64,
}

impl Config {
    /// The policy [`Shares`] and the factor [`DEFAULT_QUEUEING_FACTOR`].
    #[must_use]
    pub fn new(clock: Shared) -> Self {
        Self {
            clock,
            policy: Box::new(Shares),
            queueing: DEFAULT_QUEUEING_FACTOR,
        }
    }

    /// Sets the policy; the default is [`Shares`].
    #[must_use]
    pub fn policy(mut self, policy: Box<dyn Policy>) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the number of requests that this entry sends to a pool per slot; the default is
    /// [`DEFAULT_QUEUEING_FACTOR`]. Several entries in front of one pool have to divide the factor
    /// among themselves.
    #[must_use]
    pub fn queueing(mut self, factor: f64) -> Self {
        self.queueing = factor;
        self
    }
}

/// Right to use a slot. Dropping it frees the slot.
#[derive(Debug)]
pub struct Permit {
    request: Request,
    controller: Addr<Controller>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.controller.do_send(ReleaseSlot(self.request));
    }
}

/// Actor that answers offers.
#[derive(Debug)]
pub struct Controller {
    clock: Shared,
    scheduler: Scheduler,
    pending: HashMap<Request, oneshot::Sender<Result<Permit>>>,
    timer: Option<(Instant, SpawnHandle)>,
}

/// Starts an admission controller in the current arbiter.
#[must_use]
pub fn spawn(config: Config) -> Addr<Controller> {
    Controller {
        scheduler: Scheduler::new(config.policy, config.queueing),
        clock: config.clock,
        pending: HashMap::new(),
        timer: None,
    }
    .start()
}

impl Controller {
    fn deliver_decisions(&mut self, ctx: &mut Context<Self>) {
        for decision in self.scheduler.poll(self.clock.now()) {
            let Some(answer) = self.pending.remove(&decision.request) else {
                ctx.notify(ReleaseSlot(decision.request));
                continue;
            };
            let permit = || Permit {
                request: decision.request,
                controller: ctx.address(),
            };
            // If the receiver is gone, the permit is dropped here, which frees its slot.
            drop(answer.send(decision.outcome.map(|()| permit())));
        }
        self.schedule_expiry(ctx);
    }

    fn schedule_expiry(&mut self, ctx: &mut Context<Self>) {
        let next = self.scheduler.next_expiry();
        if self.timer.map(|(at, _)| at) == next {
            return;
        }
        if let Some((_, handle)) = self.timer.take() {
            ctx.cancel_future(handle);
        }
        if let Some(at) = next {
            let delay = at.saturating_duration_since(self.clock.now());
            let handle = ctx.run_later(delay, |controller, ctx| {
                controller.timer = None;
                controller.deliver_decisions(ctx);
            });
            self.timer = Some((at, handle));
        }
    }
}

impl Actor for Controller {
    type Context = Context<Self>;
}

impl Handler<Offer> for Controller {
    type Result = ResponseFuture<Result<Permit>>;

    fn handle(&mut self, msg: Offer, ctx: &mut Context<Self>) -> Self::Result {
        let (answer, receiver) = oneshot::channel();
        match self.scheduler.offer(&msg, self.clock.now()) {
            Ok(()) => {
                self.pending.insert(msg.request, answer);
                self.deliver_decisions(ctx);
            }
            Err(error) => {
                invariant::check(Invariant::NotRun, error.executed() == Executed::No, || {
                    error.to_string()
                });
                drop(answer.send(Err(error)));
            }
        }
        Box::pin(async move {
            receiver.await.unwrap_or_else(|_closed| {
                let error = Error::new(Kind::Leaving, "the offer was withdrawn");
                Err(error.with_executed(Executed::No))
            })
        })
    }
}

impl Handler<ReleaseSlot> for Controller {
    type Result = ();

    fn handle(&mut self, ReleaseSlot(request): ReleaseSlot, ctx: &mut Context<Self>) {
        self.pending.remove(&request);
        self.scheduler.finish(request, self.clock.now());
        self.deliver_decisions(ctx);
    }
}

impl Handler<Capacity> for Controller {
    type Result = ();

    fn handle(&mut self, msg: Capacity, ctx: &mut Context<Self>) {
        self.scheduler.set_capacity(&msg);
        self.deliver_decisions(ctx);
    }
}

impl Handler<SetDocument> for Controller {
    type Result = ();

    fn handle(&mut self, SetDocument(document): SetDocument, ctx: &mut Context<Self>) {
        self.scheduler.set_document(document);
        self.deliver_decisions(ctx);
    }
}
