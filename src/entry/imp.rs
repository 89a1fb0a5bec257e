use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use actix::Addr;
use rand::Rng;
use tokio::{sync::watch, task::AbortHandle, time};

use super::{Result, recorder, sink::FrameDispatcher};
use crate::{
    admission, authority, clock,
    config::Document,
    edit::Editor,
    front,
    id::{Group, Incarnation, Revision},
    link::{self, Identity},
    membership::{HostListClient, HostSource},
    operator, reconcile,
    relay::{Ports, Relay},
    routing, settings, spread,
    store::{Etcd, Store},
};

/// Interval between heartbeats to the agents.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    server: front::Server,
    actors: Actors,
    stopping: watch::Sender<bool>,
    stop_delay: Duration,
    tasks: Vec<AbortHandle>,
}

/// Addresses of the actors of an entry.
#[derive(Clone, Debug)]
struct Actors {
    holder: Addr<spread::DocumentHolder>,
    admission: Addr<admission::Controller>,
    router: Addr<routing::Router>,
    pool: Addr<link::Pool>,
    authority: Addr<authority::Holder>,
    reconciler: Addr<reconcile::Reconciler>,
    operator: Addr<operator::Console>,
}

impl Entry {
    /// Returns the bound address of the HTTP server for callers and operators.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Shuts down gracefully.
    ///
    /// `/readyz` fails at once. Requests that the load balancer sends during the stop delay are
    /// still served, and all responses in progress are completed.
    pub async fn stop(self) {
        log::info!("entry is stopping");
        self.stopping.send_replace(true);
        time::sleep(self.stop_delay).await;
        self.server.stop().await;
        if self
            .actors
            .authority
            .send(authority::ReleaseAll)
            .await
            .is_err()
        {
            log::warn!("authority lease was not released");
        }
        self.actors.pool.do_send(link::Stop);
        for task in &self.tasks {
            task.abort();
        }
        log::info!("entry has stopped");
    }
}

/// Starts an entry.
///
/// # Errors
///
/// Fails if the address cannot be bound, the settings contain no store address or the metrics
/// recorder cannot be installed.
pub fn open(settings: &settings::Entry) -> Result<Entry> {
    let clock = clock::System::shared();
    let metrics = recorder::install()?;
    let store: Rc<dyn Store> = Rc::new(Etcd::open(settings.store.clone(), Arc::clone(&clock))?);
    let (holder, view) = spread::spawn();
    let actors = spawn_actors(settings, &clock, &store, holder, &view);
    actors.subscribe();
    let (stopping, stopping_view) = watch::channel(false);
    let server = front::bind(front::Config {
        listen: settings.listen,
        workers: settings.workers,
        relay: Relay::new(actors.ports(), Arc::clone(&clock)),
        lookup: actors.pool.clone().recipient(),
        view: view.clone(),
        stopping: stopping_view,
        operator: actors.operator_ports(settings),
        clock,
        metrics: metrics.clone(),
    })?;
    let editor = Rc::new(Editor::new(store, Rc::new(operator::DocumentValidator)));
    let tasks = vec![
        spread::follow(editor, actors.holder.clone(), actors.authority.clone()),
        tokio::task::spawn_local(send_heartbeats(actors.pool.clone(), view.revision))
            .abort_handle(),
        tokio::task::spawn_local(recorder::upkeep(metrics)).abort_handle(),
    ];
    let stop_delay = settings.stop_delay;
    Ok(Entry {
        server,
        actors,
        stopping,
        stop_delay,
        tasks,
    })
}

fn spawn_actors(
    settings: &settings::Entry,
    clock: &clock::Shared,
    store: &Rc<dyn Store>,
    holder: Addr<spread::DocumentHolder>,
    view: &spread::View,
) -> Actors {
    let incarnation = Incarnation::random(&mut rand::rng());
    let admission = admission::spawn(admission::Config::new(Arc::clone(clock)));
    let router = routing::spawn(
        routing::Config::new(Arc::clone(clock))
            .seed(rand::rng().random())
            .zone(settings.zone.clone())
            .capacity(admission.clone().recipient()),
    );
    let dispatcher = Rc::new(FrameDispatcher::new(router.clone(), holder.clone()));
    let pool = link::spawn(link::Config {
        identity: Identity {
            process: settings.process.clone(),
            incarnation,
            zone: settings.zone.clone(),
            revision: view.revision.clone(),
        },
        seeds: settings.seeds.clone(),
        clock: Arc::clone(clock),
        router: router.clone().recipient(),
        sink: Rc::clone(&dispatcher) as Rc<dyn link::ConnectionHandler>,
    });
    let authority = authority::Holder::spawn(authority::Config {
        process: settings.process.clone(),
        incarnation,
        store: Rc::clone(store),
        clock: Arc::clone(clock),
        timing: authority::Timing::default(),
    });
    let authority = authority.address;
    let hosts = settings
        .hosts
        .map(|address| Rc::new(HostListClient::open(address)) as Rc<dyn HostSource>);
    let reconciler = reconcile::spawn(reconcile::Config {
        store: Rc::clone(store),
        hosts,
        authority: authority.clone(),
        link: pool.clone().recipient(),
        clock: Arc::clone(clock),
    });
    dispatcher.set_reconciler(reconciler.clone());
    let operator = operator::spawn(operator::Config {
        process: settings.process.clone(),
        store: Rc::clone(store),
        holder: holder.clone(),
        router: router.clone(),
        authority: authority.clone(),
        view: view.clone(),
    });
    Actors {
        holder,
        admission,
        router,
        pool,
        authority,
        reconciler,
        operator,
    }
}

impl Actors {
    /// Subscribes the actors to the configuration documents that the entry adopts.
    fn subscribe(&self) {
        let Self {
            admission,
            router,
            pool,
            authority,
            reconciler,
            ..
        } = self.clone();
        self.holder
            .do_send(spread::Subscribe(Box::new(move |document| {
                admission.do_send(admission::SetDocument(Arc::clone(document)));
                router.do_send(routing::SetDocument(Arc::clone(document)));
                pool.do_send(link::SetDocument(Arc::clone(document)));
                pool.do_send(link::BroadcastRevision(document.revision));
                authority.do_send(authority::SetGroups(groups(document)));
                reconciler.do_send(reconcile::SetDocument(Arc::clone(document)));
            })));
    }

    fn ports(&self) -> Ports {
        Ports {
            offer: self.admission.clone().recipient(),
            withdraw_offer: self.admission.clone().recipient(),
            choose: self.router.clone().recipient(),
            may_retry: self.router.clone().recipient(),
            submit: self.pool.clone().recipient(),
            credit: self.pool.clone().recipient(),
            cancel: self.pool.clone().recipient(),
            tally: self.operator.clone().recipient(),
        }
    }

    fn operator_ports(&self, settings: &settings::Entry) -> front::OperatorPorts {
        front::OperatorPorts {
            key_sha256: settings.operator_key_sha256.clone(),
            read: self.operator.clone().recipient(),
            put: self.operator.clone().recipient(),
            create: self.operator.clone().recipient(),
            drain: self.operator.clone().recipient(),
            status: self.operator.clone().recipient(),
        }
    }
}

/// Returns the distinct endpoint groups of a document, in order.
fn groups(document: &Document) -> Vec<Group> {
    let groups = document.endpoints.values().map(|spec| spec.group.clone());
    groups
        .collect::<std::collections::BTreeSet<_>>()
        .into_iter()
        .collect()
}

/// Sends heartbeats with the current revision to all connected agents, without end.
async fn send_heartbeats(pool: Addr<link::Pool>, revision: watch::Receiver<Revision>) {
    let mut ticks = time::interval(HEARTBEAT_PERIOD);
    loop {
        ticks.tick().await;
        let revision = *revision.borrow();
        pool.do_send(link::BroadcastRevision(revision));
    }
}
