use std::{net::SocketAddr, rc::Rc, sync::Arc};

use actix::Addr;

use super::{Result, sink::Inbox};
use crate::{
    clock,
    config::EndpointKind,
    id::Incarnation,
    link::{self, Broadcast, Close, Farewell, Hub, Identity, Listener},
    settings, spread,
    wire::Frame,
    work::{self, Drain, Endpoint, Engine, Idle, Plain, Worker},
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
        self.worker.do_send(Drain(true));
        let gone = |_error| log::warn!("an actor stopped before the agent");
        self.hub.send(Farewell).await.unwrap_or_else(gone);
        self.worker.send(Idle).await.unwrap_or_else(gone);
        self.hub.send(Close).await.unwrap_or_else(gone);
        drop(self.listener);
        log::info!("agent has stopped");
    }
}

/// Starts an agent.
///
/// # Errors
///
/// Fails if the address cannot be bound: another agent of the endpoint, even a frozen one, still
/// holds it.
pub async fn open(settings: &settings::Agent) -> Result<Agent> {
    let clock = clock::System::shared();
    let incarnation = Incarnation::random(&mut rand::rng());
    let (holder, view) = spread::spawn();
    let hub = Hub::spawn();
    let endpoint: Rc<dyn Endpoint> = match settings.kind {
        EndpointKind::Engine => Rc::new(Engine::open(settings.address)),
        EndpointKind::Service => Rc::new(Plain::open(settings.address)),
    };
    let reports = hub.clone();
    let worker = work::spawn(work::Config {
        name: settings.endpoint.clone(),
        incarnation,
        endpoint,
        revision: view.revision.clone(),
        report: Box::new(move |report| reports.do_send(Broadcast(Frame::Report(report)))),
    });
    let identity = Identity {
        process: settings.process.clone(),
        incarnation,
        zone: settings.zone.clone(),
        revision: view.revision,
    };
    let sink = Rc::new(Inbox {
        hub: hub.clone(),
        worker: worker.clone(),
        holder,
    });
    let listener = link::listen(settings.listen, identity, Arc::clone(&clock), sink).await?;
    Ok(Agent {
        listener,
        hub,
        worker,
    })
}
