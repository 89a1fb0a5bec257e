use actix::{Actor, Addr, Context, Handler, Message};

use crate::{
    config::Document,
    gate,
    id::{Endpoint, Group},
    link::Outbox,
    wire::{Done, Frame, Order, Verdict},
};

/// Forwards orders to the gate of the endpoint's group and returns its verdicts to the entry.
///
/// A gate belongs to one group. It is started when a document first names the group of the endpoint
/// and replaced when a later document assigns the endpoint to another group.
pub(super) struct Dispatcher {
    endpoint: Endpoint,
    spawn_gate: Box<dyn Fn(Group) -> gate::Result<Addr<gate::GateActor>>>,
    gate: Option<(Group, Addr<gate::GateActor>)>,
}

impl Dispatcher {
    pub(super) fn spawn(
        endpoint: Endpoint,
        spawn_gate: impl Fn(Group) -> gate::Result<Addr<gate::GateActor>> + 'static,
    ) -> Addr<Self> {
        Self {
            endpoint,
            spawn_gate: Box::new(spawn_gate),
            gate: None,
        }
        .start()
    }

    fn set_group(&mut self, group: &Group) {
        if self
            .gate
            .as_ref()
            .is_some_and(|(current, _)| current == group)
        {
            return;
        }
        if let Some((_, gate)) = self.gate.take() {
            gate.do_send(gate::Stop);
        }
        match (self.spawn_gate)(group.clone()) {
            Ok(gate) => self.gate = Some((group.clone(), gate)),
            Err(error) => {
                log::error!(group:% = group, error:% = error; "cannot start the gate of the group");
            }
        }
    }
}

impl Actor for Dispatcher {
    type Context = Context<Self>;
}

/// Adopts a new configuration document.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct SetDocument(pub(super) std::sync::Arc<Document>);

impl Handler<SetDocument> for Dispatcher {
    type Result = ();

    fn handle(&mut self, SetDocument(document): SetDocument, _ctx: &mut Self::Context) {
        if let Some(spec) = document.endpoints.get(&self.endpoint) {
            self.set_group(&spec.group);
        }
    }
}

/// An order received from an entry, and the outbox for its verdict.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Received(pub(super) Order, pub(super) Outbox);

impl Handler<Received> for Dispatcher {
    type Result = ();

    fn handle(&mut self, Received(order, outbox): Received, _ctx: &mut Self::Context) {
        let reject = |kind| {
            let done = Done {
                order: order.order,
                verdict: Verdict::Refused(kind),
            };
            outbox.send(Frame::Done(done));
        };
        let Some((_, gate)) = &self.gate else {
            return reject(crate::error::Kind::NotReady);
        };
        let verdict = gate.send(gate::Apply(order));
        let outbox = outbox.clone();
        tokio::task::spawn_local(async move {
            // A replaced gate does not respond; the holder of the lease sends the order again.
            if let Ok(done) = verdict.await {
                outbox.send(Frame::Done(done));
            }
        });
    }
}
