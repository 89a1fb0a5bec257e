use std::{
    cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use actix::Addr;
use rand::Rng;
use tokio::{sync::watch, task::AbortHandle, time};

use super::{ActivePlan, Result};
use crate::{
    clock::{self, Shared},
    directory::{self, Codec, Directory, Update},
    dispatch::{self, Dispatcher, ListConfirmed, SetInstances, SetMemory},
    entry::recorder,
    id::{Incarnation, Revision},
    ingress::{self, Protocol},
    link::{self, Identity},
    peers::{self, Presence},
    route::Plan,
    settings, shutdown,
    store::{Path, Reader, Store},
};

/// Delay after each batch of changes of the plan or of the list of gateways.
const BATCH_DELAY: Duration = Duration::from_millis(500);
/// Interval at which endpoints are removed whose grace period has ended.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of a timer from which on a line is logged.
const TIMER_DELAY_MIN: Duration = Duration::from_millis(250);

/// The platform of a gateway: its store, formats and protocol.
#[derive(Debug)]
pub struct Adapter {
    /// Store from which the plan and the endpoints are read.
    pub store: Rc<dyn Reader>,
    /// The same store with a longer wait per watch call, which costs fewer calls; used for the
    /// entries of the gateways.
    pub gateways_store: Rc<dyn Store>,
    /// Prefix of the gateways' entries in the store.
    pub gateways_prefix: Path,
    /// Prefix of the endpoints' entries in the store.
    pub endpoints_prefix: Path,
    /// Key of the plan in the store.
    pub plan_path: Path,
    /// Decodes the endpoints' entries and the plan.
    pub codec: Arc<dyn Codec>,
    /// Decodes requests of callers and opens clients of the endpoints.
    pub protocol: Arc<dyn Protocol>,
}

/// A running gateway process.
#[derive(Debug)]
pub struct Gateway {
    server: ingress::Server,
    shutdown: shutdown::Trigger,
    stop_delay: Duration,
    grace: Duration,
    clock: Shared,
    tasks: Vec<AbortHandle>,
    links: Option<PeerLinks>,
}

impl Gateway {
    /// Bound address of the server for callers.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Bound address of the server for readiness and metrics.
    #[must_use]
    pub const fn readiness(&self) -> SocketAddr {
        self.server.readiness()
    }

    /// Stops gracefully: reports that it is not ready, serves requests for the stop delay until the
    /// load balancer has noticed, and then waits for the responses in progress. All of it ends within
    /// the grace period.
    pub async fn stop(self) {
        log::info!("gateway is stopping");
        let schedule = shutdown::Schedule::new(self.clock.now(), self.stop_delay, self.grace);
        self.shutdown.begin(schedule);
        // The links stay open until the end, so that peers still count the work in progress.
        let (presence, _links) = self
            .links
            .map(|links| (links.presence, links.listener))
            .unzip();
        let withdraw = async {
            if let Some(presence) = presence {
                presence.deregister().await;
            }
        };
        let exit_at = schedule.exit_at();
        let serve = async {
            time::sleep_until(schedule.accept_until().into()).await;
            self.server.stop(exit_at).await;
        };
        // A slow store must not delay the end.
        let withdraw = time::timeout_at(exit_at.into(), withdraw);
        let _ = futures_util::future::join(withdraw, serve).await;
        for task in &self.tasks {
            task.abort();
        }
        log::info!("gateway has stopped");
    }
}

/// The registration of a gateway and the listener for links from its peers.
#[derive(Debug)]
struct PeerLinks {
    presence: Presence,
    listener: link::Listener,
}

/// Starts a gateway.
///
/// # Errors
///
/// Fails if an address cannot be bound, or if the metrics recorder cannot be installed.
pub async fn open(settings: &settings::Gateway, adapter: Adapter) -> Result<Gateway> {
    let clock = clock::System::shared();
    let metrics = recorder::install()?;
    let config = dispatch::Config::new(Arc::clone(&clock), settings.zone.clone());
    let dispatcher = dispatch::spawn(config.seed(rand::rng().random()));

    let mut active_plan = ActivePlan::new(Arc::clone(&adapter.codec), adapter.plan_path.clone());
    let plan = active_plan.subscribe();
    let services = active_plan.subscribe();
    let follow_plan = directory::follow(
        Rc::clone(&adapter.store),
        adapter.plan_path,
        BATCH_DELAY,
        Arc::clone(&clock),
        Box::new(move |update| active_plan.apply(update)),
    );

    let budget = settings.drain_budget();
    let any_known = watch::Sender::new(false);
    let endpoints = any_known.subscribe();
    let publisher = Rc::new(RefCell::new(EndpointPublisher {
        directory: Directory::new(adapter.codec, settings.heartbeat, budget),
        dispatcher: dispatcher.clone(),
        any_known,
        clock: Arc::clone(&clock),
    }));
    let follow_endpoints = directory::follow(
        adapter.store,
        adapter.endpoints_prefix,
        budget.batch_delay(),
        Arc::clone(&clock),
        Box::new({
            let publisher = Rc::clone(&publisher);
            move |update| publisher.borrow_mut().apply(update)
        }),
    );

    let (shutdown, shutdown_watch) = shutdown::channel();
    let server = ingress::bind(ingress::Config {
        listen: settings.listen,
        readiness: settings.readiness,
        protocol: adapter.protocol,
        plan,
        endpoints,
        shutdown: shutdown_watch,
        choose: dispatcher.clone().recipient(),
        may_retry: dispatcher.clone().recipient(),
        is_silent: dispatcher.clone().recipient(),
        clock: Arc::clone(&clock),
        body_buffers: settings.body_buffers(),
        metrics: metrics.clone(),
    })?;
    // The follower has not run yet, as nothing has been awaited since it was started.
    publisher
        .borrow_mut()
        .directory
        .set_own_addresses(vec![server.address(), server.readiness()]);
    let (links, follow_gateways) = match settings.peers {
        Some(address) => {
            let port = link::BoundListener::bind(address).await?;
            let (links, follow) = join_peers(
                settings,
                port,
                &adapter.gateways_store,
                &adapter.gateways_prefix,
                &dispatcher,
                &clock,
            );
            (Some(links), Some(follow))
        }
        None => (None, None),
    };
    let follow_services = follow_services(services, dispatcher.clone());
    let mut tasks = vec![
        tokio::task::spawn_local(follow_services).abort_handle(),
        follow_plan,
        follow_endpoints,
        tokio::task::spawn_local(run_expiry(publisher, Arc::clone(&clock))).abort_handle(),
        tokio::task::spawn_local(recorder::upkeep(metrics)).abort_handle(),
    ];
    tasks.extend(follow_gateways);
    Ok(Gateway {
        server,
        shutdown,
        stop_delay: settings.stop_delay,
        grace: settings.grace,
        clock,
        tasks,
        links,
    })
}

/// Registers this gateway and starts to link it with others. Also returns the task that watches
/// their entries in the store.
fn join_peers(
    settings: &settings::Gateway,
    port: link::BoundListener,
    store: &Rc<dyn Store>,
    gateways: &Path,
    dispatcher: &Addr<Dispatcher>,
    clock: &Shared,
) -> (PeerLinks, AbortHandle) {
    let entry = gateways.join(&settings.process);
    let presence = Presence::register(
        Rc::clone(store),
        entry,
        port.address().to_string().into_bytes(),
    );
    let identity = Identity {
        process: settings.process.clone(),
        incarnation: Incarnation::random(&mut rand::rng()),
        zone: settings.zone.clone(),
        // Gateways read the plan from the store and never exchange it, so no revision is announced.
        revision: watch::Sender::new(Revision::default()).subscribe(),
    };
    let config = peers::Config::new(identity, Arc::clone(clock), dispatcher.into());
    let (mesh, listener) = peers::spawn(config, port);
    let follow = directory::follow(
        Rc::clone(store) as Rc<dyn Reader>,
        gateways.clone(),
        BATCH_DELAY,
        Arc::clone(clock),
        Box::new(move |update| mesh.do_send(peers::GatewaysChanged(update))),
    );
    (PeerLinks { presence, listener }, follow)
}

/// Sends the instances of the directory to the dispatcher, and tracks whether there are any.
struct EndpointPublisher {
    directory: Directory,
    dispatcher: Addr<Dispatcher>,
    any_known: watch::Sender<bool>,
    clock: Shared,
}

impl EndpointPublisher {
    fn apply(&mut self, update: Update) {
        let confirms = matches!(update, Update::Snapshot(_) | Update::Changes(_));
        let before: Vec<_> = self.directory.instances().map(Arc::clone).collect();
        self.directory.apply(update, self.clock.now());
        let after: Vec<_> = self.directory.instances().map(Arc::clone).collect();
        // Heartbeats do not change the instances, so they are not sent to the dispatcher.
        if before != after {
            self.publish(after);
        }
        if confirms {
            self.dispatcher.do_send(ListConfirmed);
        }
    }

    fn expire(&mut self) {
        if self.directory.expire(self.clock.now()) {
            self.publish(self.directory.instances().map(Arc::clone).collect());
        }
    }

    fn publish(&self, instances: Vec<Arc<directory::Instance>>) {
        let any = !instances.is_empty();
        self.any_known
            .send_if_modified(|known| std::mem::replace(known, any) != any);
        self.dispatcher.do_send(SetInstances(instances));
    }
}

/// Sends the memory of the engines to the dispatcher, for each plan.
pub(super) async fn follow_services(
    mut plan: watch::Receiver<Option<Arc<Plan>>>,
    dispatcher: Addr<Dispatcher>,
) {
    while plan.changed().await.is_ok() {
        let Some(plan) = plan.borrow_and_update().clone() else {
            continue;
        };
        let capacities = plan.services().iter();
        let capacities: BTreeMap<_, _> = capacities
            .filter_map(|(name, service)| Some((name.clone(), service.kv_tokens?)))
            .collect();
        for (service, tokens) in &capacities {
            log::info!(version:% = plan.version(), service:% = service, kv_tokens = tokens.get();
                "memory of the engines is limited");
        }
        dispatcher.do_send(SetMemory(capacities));
    }
}

async fn run_expiry(publisher: Rc<RefCell<EndpointPublisher>>, clock: Shared) {
    let mut ticks = time::interval(EXPIRY_INTERVAL);
    let mut last = clock.now();
    loop {
        ticks.tick().await;
        let now = clock.now();
        record_timer_delay(
            now.saturating_duration_since(last)
                .saturating_sub(EXPIRY_INTERVAL),
        );
        last = now;
        publisher.borrow_mut().expire();
    }
}

/// Records by how much a timer fired late: all work of the process waits for as long.
fn record_timer_delay(delay: Duration) {
    metrics::histogram!("timer_delay_seconds").record(delay.as_secs_f64());
    if delay >= TIMER_DELAY_MIN {
        log::warn!(delay_ms = delay.as_millis(); "process was suspended, or short of processor time");
    }
}
