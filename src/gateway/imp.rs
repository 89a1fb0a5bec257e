use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, UNIX_EPOCH},
};

use actix::{Addr, Recipient};
use rand::Rng;
use tokio::{sync::watch, task::AbortHandle, time};

use super::{ActivePlan, Result, plan};
use crate::{
    authority,
    clock::{self, Shared},
    customer::Freshness,
    directory::{self, Codec, Directory, Update},
    dispatch::{self, Dispatcher, ExpireInstances, ListConfirmed, SetInstances, SetMemory},
    duty::{self, Duties, Release},
    entry::recorder,
    era,
    error::{Error, Kind},
    id::{Group, Incarnation, Process, Revision},
    ingress::{self, Protocol},
    link::{self, Identity},
    peers::{self, Presence, SharedPlan},
    route::Plan,
    settings, shutdown,
    store::{Path, Reader, Store},
    usage::{self, Reporter, RequestBegun},
};

/// Delay after each batch of changes of the plan or of the list of gateways.
const BATCH_DELAY: Duration = Duration::from_millis(500);
/// Interval at which endpoints are removed whose grace period has ended.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before the era of the store is read again.
const ERA_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Name of the lease of the duties.
const DUTIES_GROUP: &str = "duties";
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
    /// Prefix of what the duties keep in the store.
    pub duties_prefix: Path,
    /// Opens a client of the API at an address, for the process that is named.
    pub open_api: fn(SocketAddr, &Process) -> Box<dyn duty::Api>,
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
    duties: Option<Addr<Duties>>,
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
        let duties = self.duties;
        // The lease is revoked only once its last permit has expired.
        let release = async {
            if let Some(duties) = duties {
                let _ = duties.send(Release).await;
            }
        };
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
        let withdraw = futures_util::future::join(withdraw, release);
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
    let budget = settings.drain_budget();
    let config = dispatch::Config::new(Arc::clone(&clock), settings.zone.clone())
        .overload(settings.overload)
        .drain_budget(budget);
    let dispatcher = dispatch::spawn(config.seed(rand::rng().random()));

    let incarnation = Incarnation::random(&mut rand::rng());
    let duties = start_duties(settings, incarnation, &adapter, &clock)?;

    let plan = start_plan(settings, &adapter, &clock);

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
            move |update, _sent| publisher.borrow_mut().apply(update)
        }),
    );

    let (shutdown, shutdown_watch) = shutdown::channel();
    let server = ingress::bind(ingress::Config {
        listen: settings.listen,
        readiness: settings.readiness,
        protocol: adapter.protocol,
        plan: plan.active.clone(),
        freshness: plan.freshness,
        endpoints,
        shutdown: shutdown_watch,
        choose: dispatcher.clone().recipient(),
        may_retry: dispatcher.clone().recipient(),
        is_silent: dispatcher.clone().recipient(),
        clock: Arc::clone(&clock),
        body_buffers: settings.body_buffers(),
        begun: duties.as_ref().and_then(DutyActors::begun),
        connection_buffers: settings.connection_buffers(),
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
            let identity = Identity {
                process: settings.process.clone(),
                incarnation,
                zone: settings.zone.clone(),
                // Gateways state the version of their plan in digests, so no revision is announced.
                revision: watch::Sender::new(Revision::default()).subscribe(),
            };
            let usage = duties.as_ref().and_then(|actors| actors.usage.clone());
            let recipients = peers::Recipients::from(&dispatcher).with_usage(usage);
            let active = plan.active.clone();
            let mut config = peers::Config::new(identity, Arc::clone(&clock), recipients, active);
            if let Some(shared) = plan.shared {
                config = config.with_plan(shared);
            }
            let (links, follow) = join_peers(
                config,
                port,
                adapter.gateways_prefix.join(&settings.process),
                (&adapter.gateways_store, &adapter.gateways_prefix),
                duties.clone(),
                &clock,
            );
            (Some(links), Some(follow))
        }
        None => (None, None),
    };
    let follow_services = follow_services(plan.active, dispatcher.clone());
    let mut tasks = vec![
        tokio::task::spawn_local(follow_services).abort_handle(),
        follow_endpoints,
        tokio::task::spawn_local(run_expiry(publisher, Arc::clone(&clock))).abort_handle(),
        tokio::task::spawn_local(recorder::upkeep(metrics)).abort_handle(),
    ];
    tasks.extend(plan.tasks);
    tasks.extend(follow_gateways);
    Ok(Gateway {
        server,
        shutdown,
        stop_delay: settings.stop_delay,
        grace: settings.grace,
        clock,
        tasks,
        links,
        duties: duties.map(|actors| actors.duties),
    })
}

/// The actors that make the calls to the platform's API.
#[derive(Clone, Debug)]
struct DutyActors {
    duties: Addr<Duties>,
    usage: Option<Addr<Reporter>>,
}

impl DutyActors {
    /// Counts requests that begin to run.
    fn begun(&self) -> Option<Recipient<RequestBegun>> {
        let usage = self.usage.clone();
        usage.map(Addr::recipient)
    }

    fn gateways_changed(&self, update: &Update) {
        self.duties.do_send(peers::GatewaysChanged(update.clone()));
        if let Some(usage) = &self.usage {
            usage.do_send(peers::GatewaysChanged(update.clone()));
        }
    }
}

/// Starts to compete for the duties and to count requests, if the settings ask for usage reports.
fn start_duties(
    settings: &settings::Gateway,
    incarnation: Incarnation,
    adapter: &Adapter,
    clock: &Shared,
) -> Result<Option<DutyActors>> {
    let duties = settings.duties.as_ref();
    let Some(duties) = duties.filter(|duties| duties.usage.is_some()) else {
        return Ok(None);
    };
    let process = &settings.process;
    let store = &adapter.gateways_store;
    let boot = clock::Boot::shared();
    let timing = authority::Timing::new(duties.lease).with_poll_interval(duties.lease);
    let authority = authority::Holder::spawn(authority::Config {
        process: process.clone(),
        incarnation,
        store: Rc::clone(store),
        clock: Arc::clone(&boot),
        timing,
    });
    let actor = duty::spawn(duty::Config {
        process: process.clone(),
        authority: authority.address,
        group: duties_group()?,
        api: (adapter.open_api)(duties.address, process),
        clock: Arc::clone(&boot),
        lease: duties.lease,
        tokens_checked: duties.tokens_checked,
        call_interval: duties.call_interval,
        era: store.era(),
    });
    let usage = duties.usage.map(|spec| {
        usage::spawn(usage::Config {
            process: process.clone(),
            incarnation,
            spec,
            get_term: actor.clone().recipient(),
            perform: actor.clone().recipient(),
            store: Rc::clone(store),
            root: adapter.duties_prefix.clone(),
            monotonic: Arc::clone(clock),
            clock: boot,
        })
    });
    Ok(Some(DutyActors {
        duties: actor,
        usage,
    }))
}

fn duties_group() -> Result<Group> {
    let group = DUTIES_GROUP.parse();
    group.map_err(|error: crate::id::Error| {
        Error::new(Kind::Internal, "invalid name of a lease").with_source(error)
    })
}

/// What is known of the plan, and the task that follows it in the store.
struct PlanFollower {
    active: watch::Receiver<Option<Arc<Plan>>>,
    freshness: Freshness,
    /// The plan for peers, if keys may only be accepted with a confirmed plan.
    shared: Option<Rc<dyn SharedPlan>>,
    tasks: Vec<AbortHandle>,
}

fn start_plan(settings: &settings::Gateway, adapter: &Adapter, clock: &Shared) -> PlanFollower {
    let mut plan = ActivePlan::new(Arc::clone(&adapter.codec), adapter.plan_path.clone());
    if settings.key_revocation.is_some() {
        plan = plan.with_rewrite_time(plan::REWRITE_TIME);
    }
    let active = plan.subscribe();
    let freshness = Freshness::new(
        plan.subscribe_confirmed(),
        settings.key_revocation,
        Arc::clone(clock),
    );
    let plan = Rc::new(RefCell::new(plan));
    let shared = settings
        .key_revocation
        .map(|_| Rc::new(plan::Shared(Rc::clone(&plan))) as Rc<dyn SharedPlan>);
    let mut tasks = Vec::new();
    if settings.key_revocation.is_some() {
        let store = Rc::clone(&adapter.gateways_store);
        let prefix = adapter.duties_prefix.clone();
        let observe = observe_era(Rc::clone(&plan), store, prefix, Arc::clone(clock));
        tasks.push(tokio::task::spawn_local(observe).abort_handle());
    }
    tasks.push(directory::follow(
        Rc::clone(&adapter.store),
        adapter.plan_path.clone(),
        BATCH_DELAY,
        Arc::clone(clock),
        Box::new(move |update, sent| plan.borrow_mut().apply(update, sent)),
    ));
    PlanFollower {
        active,
        freshness,
        shared,
        tasks,
    }
}

/// Reads since when the era of the store is known, once there is a plan, so that the plan is confirmed at once unless
/// the store was restored a short time ago.
async fn observe_era(
    plan: Rc<RefCell<ActivePlan>>,
    store: Rc<dyn Store>,
    prefix: Path,
    clock: Shared,
) {
    let mut active = plan.borrow().subscribe();
    if active.changed().await.is_err() {
        return;
    }
    let stated = store.era();
    loop {
        let unix = clock.wall().duration_since(UNIX_EPOCH);
        let unix = unix.unwrap_or_default();
        let era = stated.borrow().unwrap_or_default();
        let known = Some(era::Record { era, since: unix });
        match era::Record::read_or_create(&*store, &prefix, known).await {
            Ok(record) => {
                // Another era was stated meanwhile: the follower of the plan reads it again.
                let record = record.filter(|it| it.era == stated.borrow().unwrap_or_default());
                let age = record.map_or(Duration::ZERO, |record| record.age(unix));
                log::info!(era:% = era, age_ms = age.as_millis(); "era of the store is known");
                let since = clock.since_boot().saturating_sub(age);
                plan.borrow_mut().observe_era(since);
                return;
            }
            Err(error) => {
                log::info!(error:% = error; "era of the store was not read; retrying");
                time::sleep(ERA_RETRY_DELAY).await;
            }
        }
    }
}

/// Registers this gateway at `entry` and starts to link it with others, whose entries have the given prefix
/// in the store. Also returns the task that watches them.
fn join_peers(
    config: peers::Config,
    port: link::BoundListener,
    entry: Path,
    (store, prefix): (&Rc<dyn Store>, &Path),
    duties: Option<DutyActors>,
    clock: &Shared,
) -> (PeerLinks, AbortHandle) {
    let presence = Presence::register(
        Rc::clone(store),
        entry,
        port.address().to_string().into_bytes(),
    );
    let (mesh, listener) = peers::spawn(config, port);
    let follow = directory::follow(
        Rc::clone(store) as Rc<dyn Reader>,
        prefix.clone(),
        BATCH_DELAY,
        Arc::clone(clock),
        Box::new(move |update, _sent| {
            if let Some(actors) = &duties {
                actors.gateways_changed(&update);
            }
            mesh.do_send(peers::GatewaysChanged(update));
        }),
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
            self.set_any_known(&after);
            self.dispatcher.do_send(SetInstances(after));
        }
        if confirms {
            self.dispatcher.do_send(ListConfirmed);
        }
    }

    fn expire(&mut self) {
        if self.directory.expire(self.clock.now()) {
            let instances: Vec<_> = self.directory.instances().map(Arc::clone).collect();
            self.set_any_known(&instances);
            self.dispatcher.do_send(ExpireInstances(instances));
        }
    }

    fn set_any_known(&self, instances: &[Arc<directory::Instance>]) {
        let any = !instances.is_empty();
        self.any_known
            .send_if_modified(|known| std::mem::replace(known, any) != any);
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
