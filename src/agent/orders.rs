use actix::{Actor, Addr, Context, Handler, Message};

use crate::{
    config::Document,
    gate,
    id::{Endpoint, Group},
    link::Outbox,
    wire::{Done, Frame, Order, Verdict},
};

/// Passes orders to the gate of the endpoint's group, and its answers back.
///
/// A gate belongs to one group. It is started when the document first tells the group, and replaced
/// when the document moves the endpoint to another group.
pub(super) struct Dispatcher {
    endpoint: Endpoint,
    open: Box<dyn Fn(Group) -> gate::Result<Addr<gate::Task>>>,
    gate: Option<(Group, Addr<gate::Task>)>,
}

impl Dispatcher {
    pub(super) fn spawn(
        endpoint: Endpoint,
        open: impl Fn(Group) -> gate::Result<Addr<gate::Task>> + 'static,
    ) -> Addr<Self> {
        Self {
            endpoint,
            open: Box::new(open),
            gate: None,
        }
        .start()
    }

    fn enter(&mut self, group: &Group) {
        if self.gate.as_ref().is_some_and(|(known, _)| known == group) {
            return;
        }
        if let Some((_, gate)) = self.gate.take() {
            gate.do_send(gate::Stop);
        }
        match (self.open)(group.clone()) {
            Ok(gate) => self.gate = Some((group.clone(), gate)),
            Err(error) => log::error!(group:% = group, error:% = error; "no gate for the group"),
        }
    }
}

impl Actor for Dispatcher {
    type Context = Context<Self>;
}

/// A new document is in force.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Adopt(pub(super) std::sync::Arc<Document>);

impl Handler<Adopt> for Dispatcher {
    type Result = ();

    fn handle(&mut self, Adopt(document): Adopt, _ctx: &mut Self::Context) {
        if let Some(spec) = document.endpoints.get(&self.endpoint) {
            self.enter(&spec.group);
        }
    }
}

/// An order arrived from an entry.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Arrived(pub(super) Order, pub(super) Outbox);

impl Handler<Arrived> for Dispatcher {
    type Result = ();

    fn handle(&mut self, Arrived(order, outbox): Arrived, _ctx: &mut Self::Context) {
        let refuse = |kind| {
            let done = Done {
                order: order.order,
                verdict: Verdict::Refused(kind),
            };
            outbox.send(Frame::Done(done));
        };
        let Some((_, gate)) = &self.gate else {
            return refuse(crate::error::Kind::NotReady);
        };
        let applying = gate.send(gate::Apply(order));
        let outbox = outbox.clone();
        tokio::task::spawn_local(async move {
            // A gate that was replaced answers nothing; the holder sends the order again.
            if let Ok(done) = applying.await {
                outbox.send(Frame::Done(done));
            }
        });
    }
}
