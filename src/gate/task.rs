use std::{cell::RefCell, collections::HashMap, rc::Rc};

use actix::{
    Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, ResponseFuture,
    WrapFuture,
};
use tokio::sync::oneshot;

use super::{
    Apply, Control, Decision, Gate, Result, Stop,
    plan::{group_path, plan_path},
    run::{OrderResult, Runner},
};
use crate::{
    clock,
    error::Kind,
    id::{self, Endpoint, Group, Incarnation},
    store::Store,
    wire::{Done, Order, Verdict},
};

/// Identity and dependencies of a gate.
#[derive(Clone, Debug)]
pub struct Config {
    /// Store of the plans and the group keys.
    pub store: Rc<dyn Store>,
    /// Control interface of the endpoint.
    pub control: Rc<dyn Control>,
    /// Clock for the age of plans and for timeouts.
    pub clock: clock::Shared,
    /// Id of this run of the agent; tells its own plans from those of earlier runs.
    pub incarnation: Incarnation,
    /// Endpoint that the orders change.
    pub endpoint: Endpoint,
    /// Group of the endpoint; orders for other groups are refused.
    pub group: Group,
}

/// Starts a gate. It refuses orders until it has settled the order that an earlier run left.
///
/// # Errors
///
/// If the name of the endpoint or group cannot be part of a store key.
pub fn spawn(config: Config) -> Result<Addr<GateActor>> {
    let runner = Runner {
        plan: plan_path(&config.endpoint)?,
        group_key: group_path(&config.group)?,
        store: config.store,
        control: config.control,
        clock: config.clock,
        incarnation: config.incarnation,
        gate: Rc::new(RefCell::new(Gate::new(config.group))),
    };
    Ok(GateActor {
        runner,
        waiting: HashMap::new(),
    }
    .start())
}

/// Actor that runs the orders to one endpoint.
#[derive(Debug)]
pub struct GateActor {
    runner: Runner,
    waiting: HashMap<id::Order, Vec<oneshot::Sender<Verdict>>>,
}

impl GateActor {
    /// Starts the settlement, after which orders are accepted. Like the run of an order, it is a
    /// future of the actor, so that it ends with the actor.
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
                .map(move |result, task, ctx| task.finish(id, &result, ctx)),
        );
    }

    fn finish(&mut self, order: id::Order, result: &OrderResult, ctx: &mut Context<Self>) {
        let mut gate = self.runner.gate.borrow_mut();
        gate.finish(order, result.verdict, result.settled);
        drop(gate);
        for waiting in self.waiting.remove(&order).unwrap_or_default() {
            // The receiver is gone if its entry has disconnected; the answer is then not needed.
            let _closed = waiting.send(result.verdict);
        }
        if !result.settled {
            self.settle(ctx);
        }
    }
}

impl Actor for GateActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.settle(ctx);
    }
}

impl Handler<Apply> for GateActor {
    type Result = ResponseFuture<Done>;

    fn handle(&mut self, Apply(order): Apply, ctx: &mut Self::Context) -> Self::Result {
        let id = order.order;
        let decision = self.runner.gate.borrow_mut().decide(&order);
        if let Decision::Answer(verdict) = decision {
            return Box::pin(async move { Done { order: id, verdict } });
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.entry(id).or_default().push(sender);
        if decision == Decision::Start {
            self.start_order(order, ctx);
        }
        Box::pin(async move {
            let lost = Verdict::Failed(Kind::EndpointLost);
            let verdict = receiver.await.unwrap_or(lost);
            Done { order: id, verdict }
        })
    }
}

impl Handler<Stop> for GateActor {
    type Result = ();

    fn handle(&mut self, Stop: Stop, ctx: &mut Self::Context) {
        ctx.terminate();
    }
}
