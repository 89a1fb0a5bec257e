use std::{cell::RefCell, collections::HashMap, rc::Rc};

use actix::{
    Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, ResponseFuture,
    WrapFuture,
};
use tokio::sync::oneshot;

use super::{
    Admission, Apply, Control, Gate, Result, Stop,
    plan::{lease_path, plan_path},
    run::{Ended, Runner},
};
use crate::{
    clock,
    error::Kind,
    id::{self, Endpoint, Group, Incarnation},
    store::Store,
    wire::{Done, Order, Verdict},
};

/// Parts of a gate.
#[derive(Clone, Debug)]
pub struct Config {
    /// The platform store.
    pub store: Rc<dyn Store>,
    /// The endpoint's control interface.
    pub control: Rc<dyn Control>,
    /// Source of time.
    pub clock: clock::Shared,
    /// This run of the agent.
    pub incarnation: Incarnation,
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Its group.
    pub group: Group,
}

/// Starts a gate. It accepts orders once it has settled what an earlier run left.
///
/// # Errors
///
/// If the names do not form store keys.
pub fn spawn(config: Config) -> Result<Addr<Task>> {
    let runner = Runner {
        plan: plan_path(&config.endpoint)?,
        lease: lease_path(&config.group)?,
        store: config.store,
        control: config.control,
        clock: config.clock,
        incarnation: config.incarnation,
        gate: Rc::new(RefCell::new(Gate::new(config.group))),
    };
    Ok(Task {
        runner,
        waiting: HashMap::new(),
    }
    .start())
}

/// Actor that runs the orders of one endpoint.
#[derive(Debug)]
pub struct Task {
    runner: Runner,
    waiting: HashMap<id::Order, Vec<oneshot::Sender<Verdict>>>,
}

impl Task {
    /// The futures belong to the actor, so that nothing goes on after it has ended.
    fn settle(&self, ctx: &mut Context<Self>) {
        let runner = self.runner.clone();
        let settle = async move {
            runner.settle().await;
            runner.gate.borrow_mut().open();
        };
        ctx.spawn(settle.into_actor(self));
    }

    fn start_order(&self, order: Order, ctx: &mut Context<Self>) {
        let runner = self.runner.clone();
        let id = order.order;
        let run = async move { runner.run(&order).await };
        ctx.spawn(
            run.into_actor(self)
                .map(move |ended, task, ctx| task.finish(id, &ended, ctx)),
        );
    }

    fn finish(&mut self, order: id::Order, ended: &Ended, ctx: &mut Context<Self>) {
        let mut gate = self.runner.gate.borrow_mut();
        gate.finish(order, ended.verdict, ended.settled);
        drop(gate);
        for waiting in self.waiting.remove(&order).unwrap_or_default() {
            // The receiver is gone if its entry is; then nobody needs the answer.
            let _gone = waiting.send(ended.verdict);
        }
        if !ended.settled {
            self.settle(ctx);
        }
    }
}

impl Actor for Task {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.settle(ctx);
    }
}

impl Handler<Apply> for Task {
    type Result = ResponseFuture<Done>;

    fn handle(&mut self, Apply(order): Apply, ctx: &mut Self::Context) -> Self::Result {
        let id = order.order;
        let admission = self.runner.gate.borrow_mut().admit(&order);
        if let Admission::Answer(verdict) = admission {
            return Box::pin(async move { Done { order: id, verdict } });
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.entry(id).or_default().push(sender);
        if admission == Admission::Start {
            self.start_order(order, ctx);
        }
        Box::pin(async move {
            let lost = Verdict::Failed(Kind::EndpointLost);
            let verdict = receiver.await.unwrap_or(lost);
            Done { order: id, verdict }
        })
    }
}

impl Handler<Stop> for Task {
    type Result = ();

    fn handle(&mut self, Stop: Stop, ctx: &mut Self::Context) {
        ctx.terminate();
    }
}
