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
    ingress::{self, Protocol},
    settings,
    store::{Path, Reader},
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
        time::sleep(self.stop_delay).await;
        self.server.stop().await;
        for task in &self.tasks {
            task.abort();
        }
        log::info!("gateway has stopped");
    }
}

/// Starts a gateway.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub fn open(settings: &settings::Gateway, adapter: Adapter) -> Result<Gateway> {
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
            may_repeat: dispatcher.recipient(),
            clock,
            metrics: metrics.clone(),
        },
        stop_limit,
    )?;
    let tasks = vec![
        follow_plan,
        follow_endpoints,
        tokio::task::spawn_local(expire(book)).abort_handle(),
        tokio::task::spawn_local(recorder::upkeep(metrics)).abort_handle(),
    ];
    Ok(Gateway {
        server,
        stopping,
        stop_delay: settings.stop_delay,
        tasks,
    })
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
