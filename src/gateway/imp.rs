use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use actix::Addr;
use rand::Rng;
use tokio::{sync::watch, task::AbortHandle, time};

use super::{Keeper, Result};
use crate::{
    clock::{self, Shared},
    directory::{self, Codec, Directory, Feed},
    dispatch::{self, Dispatcher, Members},
    entry::recorder,
    id::{Incarnation, Revision},
    ingress::{self, Protocol},
    link::{self, Identity},
    peers::{self, Presence},
    settings,
    store::{Path, Reader, Store},
};

/// Pause between two checks for endpoints whose grace is over.
const EXPIRY_PERIOD: Duration = Duration::from_millis(100);
/// Time that is left between the end of the last answer and the end of the process's grace.
const STOP_RESERVE: Duration = Duration::from_millis(500);

/// What a gateway needs of the platform.
#[derive(Debug)]
pub struct Adapter {
    /// The store.
    pub store: Rc<dyn Reader>,
    /// The same store, with a watch that costs fewer calls, for the entries of the gateways.
    pub roster: Rc<dyn Store>,
    /// Prefix of the gateways' entries.
    pub gateways: Path,
    /// Prefix of the endpoints' entries.
    pub endpoints: Path,
    /// Key of the plan.
    pub plan: Path,
    /// Decodes both.
    pub codec: Arc<dyn Codec>,
    /// Requests and answers.
    pub protocol: Arc<dyn Protocol>,
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    server: ingress::Server,
    stopping: watch::Sender<bool>,
    stop_delay: Duration,
    tasks: Vec<AbortHandle>,
    links: Option<Links>,
}

impl Gateway {
    /// The address at which callers are served.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The address for readiness and metrics.
    #[must_use]
    pub const fn readiness(&self) -> SocketAddr {
        self.server.readiness()
    }

    /// Stops gracefully: is not ready any more, still serves what the load balancer sends until it
    /// notices, and waits for the answers in progress.
    pub async fn stop(self) {
        log::info!("gateway is stopping");
        self.stopping.send_replace(true);
        // The links stay open: peers count the work in progress until it has ended.
        let (presence, _links) = self
            .links
            .map(|links| (links.presence, links.listener))
            .unzip();
        let withdraw = async {
            if let Some(presence) = presence {
                presence.deregister().await;
            }
        };
        futures_util::future::join(withdraw, time::sleep(self.stop_delay)).await;
        self.server.stop().await;
        for task in &self.tasks {
            task.abort();
        }
        log::info!("gateway has stopped");
    }
}

/// What links a gateway with others.
#[derive(Debug)]
struct Links {
    presence: Presence,
    listener: link::Listener,
}

/// Starts a gateway.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn open(settings: &settings::Gateway, adapter: Adapter) -> Result<Gateway> {
    let clock = clock::System::shared();
    let metrics = recorder::install()?;
    let config = dispatch::Config::new(Arc::clone(&clock), settings.zone.clone());
    let dispatcher = dispatch::spawn(config.seed(rand::rng().random()));

    let mut keeper = Keeper::new(Arc::clone(&adapter.codec), adapter.plan.clone());
    let plan = keeper.view();
    let follow_plan = directory::follow(
        Rc::clone(&adapter.store),
        adapter.plan,
        Arc::clone(&clock),
        Box::new(move |feed| keeper.apply(feed)),
    );

    let known = watch::Sender::new(false);
    let endpoints = known.subscribe();
    let book = Rc::new(RefCell::new(Book {
        directory: Directory::new(adapter.codec, settings.heartbeat),
        dispatcher: dispatcher.clone(),
        known,
        clock: Arc::clone(&clock),
    }));
    let follow_endpoints = directory::follow(
        adapter.store,
        adapter.endpoints,
        Arc::clone(&clock),
        Box::new({
            let book = Rc::clone(&book);
            move |feed| book.borrow_mut().apply(feed)
        }),
    );

    let (stopping, stopping_view) = watch::channel(false);
    let stop_limit = settings
        .grace
        .saturating_sub(settings.stop_delay + STOP_RESERVE);
    let server = ingress::bind(
        ingress::Config {
            listen: settings.listen,
            readiness: settings.readiness,
            protocol: adapter.protocol,
            plan,
            endpoints,
            stopping: stopping_view,
            choose: dispatcher.clone().recipient(),
            may_repeat: dispatcher.clone().recipient(),
            clock: Arc::clone(&clock),
            metrics: metrics.clone(),
        },
        stop_limit,
    )?;
    let (links, follow_gateways) = match settings.peers {
        Some(address) => {
            let port = link::Port::bind(address).await?;
            let (links, follow) = meet(
                settings,
                port,
                &adapter.roster,
                &adapter.gateways,
                &dispatcher,
                &clock,
            );
            (Some(links), Some(follow))
        }
        None => (None, None),
    };
    let mut tasks = vec![
        follow_plan,
        follow_endpoints,
        tokio::task::spawn_local(expire(book)).abort_handle(),
        tokio::task::spawn_local(recorder::upkeep(metrics)).abort_handle(),
    ];
    tasks.extend(follow_gateways);
    Ok(Gateway {
        server,
        stopping,
        stop_delay: settings.stop_delay,
        tasks,
        links,
    })
}

/// Registers this gateway and links it with others. Also returns the task that follows their
/// entries.
fn meet(
    settings: &settings::Gateway,
    port: link::Port,
    roster: &Rc<dyn Store>,
    gateways: &Path,
    dispatcher: &Addr<Dispatcher>,
    clock: &Shared,
) -> (Links, AbortHandle) {
    let entry = gateways.join(&settings.process);
    let presence = Presence::register(
        Rc::clone(roster),
        entry,
        port.address().to_string().into_bytes(),
    );
    let identity = Identity {
        process: settings.process.clone(),
        incarnation: Incarnation::random(&mut rand::rng()),
        zone: settings.zone.clone(),
        // Gateways take the plan from the store, never from each other.
        revision: watch::Sender::new(Revision::default()).subscribe(),
    };
    let config = peers::Config::new(identity, Arc::clone(clock), dispatcher.into());
    let (mesh, listener) = peers::spawn(config, port);
    let follow = directory::follow(
        Rc::clone(roster) as Rc<dyn Reader>,
        gateways.clone(),
        Arc::clone(clock),
        Box::new(move |feed| mesh.do_send(peers::GatewaysChanged(feed))),
    );
    (Links { presence, listener }, follow)
}

/// Passes the directory on to the dispatcher.
struct Book {
    directory: Directory,
    dispatcher: Addr<Dispatcher>,
    known: watch::Sender<bool>,
    clock: Shared,
}

impl Book {
    fn apply(&mut self, feed: Feed) {
        let before: Vec<_> = self.directory.instances().map(Arc::clone).collect();
        self.directory.apply(feed, self.clock.now());
        let after: Vec<_> = self.directory.instances().map(Arc::clone).collect();
        // Heartbeats change nothing that a choice depends on.
        if before != after {
            self.publish(after);
        }
    }

    fn expire(&mut self) {
        if self.directory.expire(self.clock.now()) {
            self.publish(self.directory.instances().map(Arc::clone).collect());
        }
    }

    fn publish(&self, instances: Vec<Arc<directory::Instance>>) {
        let any = !instances.is_empty();
        self.known
            .send_if_modified(|known| std::mem::replace(known, any) != any);
        self.dispatcher.do_send(Members(instances));
    }
}

async fn expire(book: Rc<RefCell<Book>>) {
    let mut ticks = time::interval(EXPIRY_PERIOD);
    loop {
        ticks.tick().await;
        book.borrow_mut().expire();
    }
}
