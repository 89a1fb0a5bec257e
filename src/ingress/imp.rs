use std::{
    fmt,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::Recipient;
use actix_web::{
    App, HttpRequest, HttpServer,
    dev::{Server as Running, ServerHandle},
    web::{self, Bytes},
};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{sync::watch, time};

use super::{Result, serve};
use crate::{
    clock::Shared,
    customer::{Customer, Freshness, Key},
    dispatch::{Choose, IsSilent, MayRetry},
    error::{Error, Kind},
    forward::{Call, Ports, Upstream},
    id, listener,
    memory::Pool,
    route::Plan,
    shutdown, unit,
    usage::RequestBegun,
};

/// Time within which the head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that an answer and the next request of its caller may be on their way, beyond the idle time that
/// the caller is allowed.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Limit of the wait for connections of callers in a stop, which [`Server::stop`] ends before.
const STOP_TIMEOUT: Duration = Duration::from_mins(1);
/// Limit of concurrent connections of callers.
const CONNECTIONS_MAX: usize = 3_000;
/// Threads that serve callers; a host of the platform has only a part of one core.
const WORKERS: usize = 1;

/// Protocol of the platform for requests and responses.
pub trait Protocol: fmt::Debug + Send + Sync {
    /// Path of the load balancer's readiness check.
    fn readiness_path(&self) -> &'static str;

    /// The request id that the caller set, for logs; `None` if it is missing or malformed.
    fn call_id(&self, request: &HttpRequest) -> Option<id::Call>;

    /// Decodes a request from a caller. Drops hop-by-hop headers and headers that only this system
    /// may set.
    ///
    /// # Errors
    ///
    /// `Kind::BadRequest` on a malformed field.
    fn decode(&self, request: &HttpRequest, body: Bytes, arrived: Instant) -> Result<Call>;

    /// The API key of a request; `None` if there is not exactly one well-formed key.
    fn key(&self, request: &HttpRequest) -> Option<Key>;

    /// Sets the customer of a request, and removes what the caller says of its identity.
    fn identify(&self, call: &mut Call, customer: Option<Arc<Customer>>);

    /// Creates the client of the endpoints for one thread.
    fn upstream(&self) -> Rc<dyn Upstream>;
}

/// Addresses, state and actors that the server uses.
#[derive(Clone)]
pub struct Config {
    /// Address to bind for callers.
    pub listen: SocketAddr,
    /// Address to bind for readiness and metrics.
    pub readiness: SocketAddr,
    /// Decodes requests and creates clients of the endpoints.
    pub protocol: Arc<dyn Protocol>,
    /// The active plan; `None` until the first one is received.
    pub plan: watch::Receiver<Option<Arc<Plan>>>,
    /// Whether the plan was confirmed recently enough for requests with a key.
    pub freshness: Freshness,
    /// Whether at least one endpoint is known.
    pub endpoints: watch::Receiver<bool>,
    /// Follows whether the process stops.
    pub shutdown: shutdown::Watch,
    /// Chooses an endpoint for each attempt.
    pub choose: Recipient<Choose>,
    /// Grants retries within the retry budget of the service.
    pub may_retry: Recipient<MayRetry>,
    /// Tells busy endpoints from silent ones.
    pub is_silent: Recipient<IsSilent>,
    /// Time source of arrival times, deadlines and latencies.
    pub clock: Shared,
    /// Bytes of callers' bodies that are held until their requests have ended.
    pub body_buffers: unit::Bytes,
    /// Counts the requests of customers that begin to run; `None` if this is not asked for.
    pub begun: Option<Recipient<RequestBegun>>,
    /// Renders the metrics of this process.
    pub metrics: PrometheusHandle,
}

impl fmt::Debug for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Config")
            .field("listen", &self.listen)
            .field("readiness", &self.readiness)
            .finish_non_exhaustive()
    }
}

impl Config {
    /// Fails with the reason if the process is not ready.
    pub(super) fn readiness(&self) -> Result<()> {
        if self.shutdown.schedule().is_some() {
            return Err(Error::new(Kind::Leaving, "the process is stopping"));
        }
        let confirmed = self.freshness.confirmed();
        let plan = self.plan.borrow().clone();
        if plan.is_none() || !*self.endpoints.borrow() {
            return Err(Error::new(
                Kind::NotReady,
                "no plan or no endpoint is known",
            ));
        }
        if plan.is_some_and(|plan| plan.customers().is_some()) {
            self.freshness.check(confirmed)?;
        }
        Ok(())
    }
}

/// State that the handlers of one thread share.
pub(super) struct Context {
    pub(super) config: Config,
    pub(super) ports: Ports,
    /// Counts the bytes of callers' bodies.
    pub(super) bodies: Pool,
}

/// The running servers for callers and for readiness and metrics.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    readiness: SocketAddr,
    callers: ServerHandle,
    control: ServerHandle,
}

impl Server {
    /// Bound address for callers.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bound address for readiness and metrics.
    #[must_use]
    pub const fn readiness(&self) -> SocketAddr {
        self.readiness
    }

    /// Stops accepting connections of callers, waits for the responses in progress until `exit_at`, and
    /// then stops the server for readiness and metrics.
    pub async fn stop(self, exit_at: Instant) {
        let ended = time::timeout_at(exit_at.into(), self.callers.stop(true)).await;
        if ended.is_err() {
            log::warn!("connections of callers were still open at the end of the stop");
        }
        self.control.stop(false).await;
    }
}

/// Binds both addresses and starts to serve.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub fn bind(config: Config) -> Result<Server> {
    let (control, readiness) = bind_control(&config)?;
    let (callers, address) = bind_callers(config)?;
    Ok(Server {
        address,
        readiness,
        callers,
        control,
    })
}

fn bind_callers(config: Config) -> Result<(ServerHandle, SocketAddr)> {
    let parameters = listener::Config {
        address: config.listen,
        workers: WORKERS,
        connections_max: CONNECTIONS_MAX,
        head_timeout: HEAD_TIMEOUT,
        limits: Arc::new(PlanLimits(config.plan.clone())),
        stop_timeout: STOP_TIMEOUT,
        clock: Arc::clone(&config.clock),
    };
    let new_app = move || {
        App::new()
            .app_data(web::Data::new(new_context(&config)))
            .default_service(web::to(serve::request))
    };
    let (running, address) = listener::bind(&parameters, new_app)?;
    Ok((spawn(running), address))
}

/// The limits of the active plan.
#[derive(Debug)]
struct PlanLimits(watch::Receiver<Option<Arc<Plan>>>);

impl listener::Limits for PlanLimits {
    fn idle_timeout(&self) -> Duration {
        let plan = self.0.borrow();
        let limits = plan.as_ref().map(|plan| plan.limits()).unwrap_or_default();
        limits.idle.saturating_add(IDLE_MARGIN)
    }
}

fn new_context(config: &Config) -> Context {
    let ports = Ports {
        choose: config.choose.clone(),
        may_retry: config.may_retry.clone(),
        is_silent: config.is_silent.clone(),
        upstream: config.protocol.upstream(),
        shutdown: config.shutdown.clone(),
        clock: Arc::clone(&config.clock),
        begun: config.begun.clone(),
    };
    Context {
        config: config.clone(),
        ports,
        bodies: Pool::without_shares("bodies", config.body_buffers),
    }
}

fn bind_control(config: &Config) -> Result<(ServerHandle, SocketAddr)> {
    let listen = config.readiness;
    let path = config.protocol.readiness_path();
    let config = web::Data::new(config.clone());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(config.clone())
            .route(path, web::get().to(serve::readiness))
            .route("/metrics", web::get().to(serve::metrics))
    })
    .workers(WORKERS)
    .disable_signals()
    .bind(listen)
    .map_err(|error| cannot_listen(listen, error))?;
    let address = server.addrs().first().copied().unwrap_or(listen);
    Ok((spawn(server.run()), address))
}

fn spawn(running: Running) -> ServerHandle {
    let handle = running.handle();
    actix_rt::spawn(running);
    handle
}

fn cannot_listen(address: SocketAddr, error: std::io::Error) -> Error {
    Error::new(Kind::Internal, format!("cannot listen on {address}")).with_source(error)
}
