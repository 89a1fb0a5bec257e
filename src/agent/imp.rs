use std::{net::SocketAddr, rc::Rc, sync::Arc};

use actix::Addr;
use rand::Rng;

use super::{Result, control::EndpointControl, orders, sink::FrameDispatcher};
use crate::{
    clock,
    config::EndpointKind,
    gate,
    id::Incarnation,
    invariant::{self, Invariant},
    ledger::{self, Ledger},
    link::{BoundListener, Broadcast, CloseAll, ConnectionRegistry, GoAway, Identity, Listener},
    settings, spread,
    store::{Etcd, Store},
    wire::Frame,
    work::{self, EndpointClient, EngineClient, GetReport, ServiceClient, WaitUntilIdle, Worker},
};

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    listener: Listener,
    registry: Addr<ConnectionRegistry>,
    worker: Addr<Worker>,
}

impl Agent {
    /// Returns the bound address of the listener for entries.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Shuts down gracefully: rejects new attempts, completes those in progress and closes the
    /// connections once the last frame is sent.
    pub async fn stop(self) {
        log::info!("agent is stopping");
        self.worker.do_send(work::Stop);
        let mailbox_closed = |_error| log::warn!("an actor stopped before the agent");
        self.registry
            .send(GoAway)
            .await
            .unwrap_or_else(mailbox_closed);
        self.worker
            .send(WaitUntilIdle)
            .await
            .unwrap_or_else(mailbox_closed);
        if let Ok(report) = self.worker.send(GetReport).await {
            invariant::check(Invariant::NoCut, report.load.in_progress == 0, || {
                "the agent closes its connections during an attempt".to_owned()
            });
        }
        self.registry
            .send(CloseAll)
            .await
            .unwrap_or_else(mailbox_closed);
        drop(self.listener);
        log::info!("agent has stopped");
    }
}

/// Starts an agent.
///
/// Binds the port before it connects to the endpoint or the store, so that a second agent for the
/// same endpoint accesses neither.
///
/// # Errors
///
/// Fails if the address cannot be bound, because another agent of the endpoint, possibly one that
/// hangs, still listens on it. Also fails if the settings contain no store address or an endpoint
/// name that is not valid in a store key.
pub async fn open(settings: &settings::Agent) -> Result<Agent> {
    let clock = clock::System::shared();
    let port = BoundListener::bind(settings.listen).await?;
    let store: Rc<dyn Store> = Rc::new(Etcd::open(settings.store.clone(), Arc::clone(&clock))?);
    let incarnation = Incarnation::random(&mut rand::rng());
    let (holder, view) = spread::spawn();
    let registry = ConnectionRegistry::spawn();
    let endpoint: Rc<dyn EndpointClient> = match settings.kind {
        EndpointKind::Engine => Rc::new(EngineClient::open(settings.address, Arc::clone(&clock))),
        EndpointKind::Service => Rc::new(ServiceClient::open(settings.address, Arc::clone(&clock))),
    };
    let ledger = spawn_ledger(settings, &store, &clock, incarnation)?;
    let reports = registry.clone();
    let worker = work::spawn(work::Config {
        name: settings.endpoint.clone(),
        incarnation,
        clock: Arc::clone(&clock),
        endpoint: Rc::clone(&endpoint),
        ledger: ledger.as_ref().map(ledger_ports),
        revision: view.revision.clone(),
        report: Box::new(move |report| reports.do_send(Broadcast(Frame::Report(report)))),
    });
    let control = EndpointControl {
        endpoint,
        worker: worker.clone(),
    };
    let orders = spawn_orders(settings, &store, &clock, incarnation, control);
    subscribe(&holder, &orders);
    let identity = Identity {
        process: settings.process.clone(),
        incarnation,
        zone: settings.zone.clone(),
        revision: view.revision,
    };
    let dispatcher = FrameDispatcher {
        registry: registry.clone(),
        worker: worker.clone(),
        holder,
        orders,
        ledger,
    };
    let listener = port.listen(identity, clock, Rc::new(dispatcher));
    Ok(Agent {
        listener,
        registry,
        worker,
    })
}

/// Starts the ledger of a service. An engine has none, since its requests may safely run twice.
fn spawn_ledger(
    settings: &settings::Agent,
    store: &Rc<dyn Store>,
    clock: &clock::Shared,
    incarnation: Incarnation,
) -> Result<Option<Addr<Ledger>>> {
    if settings.kind != EndpointKind::Service {
        return Ok(None);
    }
    let config = ledger::Config {
        store: Rc::clone(store),
        clock: Arc::clone(clock),
        incarnation,
        endpoint: settings.endpoint.clone(),
        seed: rand::rng().random(),
    };
    ledger::spawn(config).map(Some)
}

fn ledger_ports(ledger: &Addr<Ledger>) -> work::Ports {
    work::Ports {
        claim: ledger.clone().recipient(),
        record: ledger.clone().recipient(),
        release: ledger.clone().recipient(),
    }
}

fn spawn_orders(
    settings: &settings::Agent,
    store: &Rc<dyn Store>,
    clock: &clock::Shared,
    incarnation: Incarnation,
    control: EndpointControl,
) -> Addr<orders::Dispatcher> {
    let (store, clock) = (Rc::clone(store), Arc::clone(clock));
    let endpoint = settings.endpoint.clone();
    let control: Rc<dyn gate::Control> = Rc::new(control);
    orders::Dispatcher::spawn(endpoint.clone(), move |group| {
        gate::spawn(gate::Config {
            store: Rc::clone(&store),
            control: Rc::clone(&control),
            clock: Arc::clone(&clock),
            incarnation,
            endpoint: endpoint.clone(),
            group,
        })
    })
}

/// Subscribes the order dispatcher to the configuration documents that the agent adopts.
fn subscribe(holder: &Addr<spread::DocumentHolder>, orders: &Addr<orders::Dispatcher>) {
    let orders = orders.clone();
    holder.do_send(spread::Subscribe(Box::new(move |document| {
        orders.do_send(orders::SetDocument(Arc::clone(document)));
    })));
}
