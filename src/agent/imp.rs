use std::{net::SocketAddr, rc::Rc, sync::Arc};

use actix::Addr;
use rand::Rng;

use super::{Result, control::Adapter, orders, sink::Inbox};
use crate::{
    clock,
    config::EndpointKind,
    gate,
    id::Incarnation,
    invariant::{self, Point},
    ledger::{self, Ledger},
    link::{Broadcast, Close, GoAway, Hub, Identity, Listener, Port},
    settings, spread,
    store::{Etcd, Store},
    wire::Frame,
    work::{self, Endpoint, Engine, Idle, Plain, Status, Worker},
};

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    listener: Listener,
    hub: Addr<Hub>,
    worker: Addr<Worker>,
}

impl Agent {
    /// The address at which entries connect.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops gracefully: takes no new attempts, completes those in progress, and closes the
    /// connections after the last frame.
    pub async fn stop(self) {
        log::info!("agent is stopping");
        self.worker.do_send(work::Stop);
        let gone = |_error| log::warn!("an actor stopped before the agent");
        self.hub.send(GoAway).await.unwrap_or_else(gone);
        self.worker.send(Idle).await.unwrap_or_else(gone);
        if let Ok(report) = self.worker.send(Status).await {
            invariant::check(Point::NoCut, report.load.in_progress == 0, || {
                "the agent closes its connections during an attempt".to_owned()
            });
        }
        self.hub.send(Close).await.unwrap_or_else(gone);
        drop(self.listener);
        log::info!("agent has stopped");
    }
}

/// Starts an agent.
///
/// The port is bound before anything talks to the endpoint or the store, so that a second agent of
/// the endpoint does neither.
///
/// # Errors
///
/// Fails if the address cannot be bound: another agent of the endpoint, even a frozen one, still
/// holds it.
pub async fn open(settings: &settings::Agent) -> Result<Agent> {
    let clock = clock::System::shared();
    let port = Port::bind(settings.listen).await?;
    let store: Rc<dyn Store> = Rc::new(Etcd::open(settings.store.clone(), Arc::clone(&clock))?);
    let incarnation = Incarnation::random(&mut rand::rng());
    let (holder, view) = spread::spawn();
    let hub = Hub::spawn();
    let endpoint: Rc<dyn Endpoint> = match settings.kind {
        EndpointKind::Engine => Rc::new(Engine::open(settings.address)),
        EndpointKind::Service => Rc::new(Plain::open(settings.address)),
    };
    let ledger = open_ledger(settings, &store, &clock, incarnation)?;
    let reports = hub.clone();
    let worker = work::spawn(work::Config {
        name: settings.endpoint.clone(),
        incarnation,
        endpoint: Rc::clone(&endpoint),
        ledger: ledger.as_ref().map(ledger_ports),
        revision: view.revision.clone(),
        report: Box::new(move |report| reports.do_send(Broadcast(Frame::Report(report)))),
    });
    let adapter = Adapter {
        endpoint,
        worker: worker.clone(),
    };
    let orders = open_orders(settings, &store, &clock, incarnation, adapter);
    subscribe(&holder, &orders);
    let identity = Identity {
        process: settings.process.clone(),
        incarnation,
        zone: settings.zone.clone(),
        revision: view.revision,
    };
    let inbox = Inbox {
        hub: hub.clone(),
        worker: worker.clone(),
        holder,
        orders,
        ledger,
    };
    let listener = port.listen(identity, clock, Rc::new(inbox));
    Ok(Agent {
        listener,
        hub,
        worker,
    })
}

/// An engine runs nothing that must not run twice, so that only a service has a ledger.
fn open_ledger(
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

fn open_orders(
    settings: &settings::Agent,
    store: &Rc<dyn Store>,
    clock: &clock::Shared,
    incarnation: Incarnation,
    adapter: Adapter,
) -> Addr<orders::Dispatcher> {
    let (store, clock) = (Rc::clone(store), Arc::clone(clock));
    let endpoint = settings.endpoint.clone();
    let control: Rc<dyn gate::Control> = Rc::new(adapter);
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

/// Tells the gate of each document that comes into force.
fn subscribe(holder: &Addr<spread::Holder>, orders: &Addr<orders::Dispatcher>) {
    let orders = orders.clone();
    holder.do_send(spread::Subscribe(Box::new(move |document| {
        orders.do_send(orders::Adopt(Arc::clone(document)));
    })));
}
