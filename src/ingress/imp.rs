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
use tokio::sync::watch;

use super::{Result, serve};
use crate::{
    clock::Shared,
    dispatch::{Choose, MayRepeat},
    error::{Error, Kind},
    forward::{Call, Ports, Upstream},
    id,
    route::Plan,
};

/// Longest time for the head of a request.
const HEAD_LIMIT: Duration = Duration::from_secs(10);
/// Time for which an idle connection of a caller is kept. Longer than any idle time that callers
/// are allowed, so that a kept connection is not closed under a request.
const IDLE_LIMIT: Duration = Duration::from_mins(2);
/// Connections of callers.
const CONNECTIONS_MAX: usize = 3_000;
/// One thread: a host of the platform has a part of one core.
const WORKERS: usize = 1;

/// The form of requests and answers on the wire.
pub trait Protocol: fmt::Debug + Send + Sync {
    /// Path at which the load balancer asks for readiness.
    fn readiness_path(&self) -> &'static str;

    /// The caller's id of a request, for logs.
    fn call_id(&self, request: &HttpRequest) -> Option<id::Call>;

    /// The request of a caller that arrived at the given time, without the headers that concern only one connection and without
    /// those that only this system may set.
    ///
    /// # Errors
    ///
    /// `Kind::BadRequest` on a malformed field.
    fn decode(&self, request: &HttpRequest, body: Bytes, arrived: Instant) -> Result<Call>;

    /// Opens the client of endpoints for one thread.
    fn upstream(&self) -> Rc<dyn Upstream>;
}

/// What the server needs.
#[derive(Clone)]
pub struct Config {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for readiness and metrics.
    pub readiness: SocketAddr,
    /// The wire.
    pub protocol: Arc<dyn Protocol>,
    /// The plan in force; nothing before the first one is known.
    pub plan: watch::Receiver<Option<Arc<Plan>>>,
    /// Whether endpoints are known.
    pub endpoints: watch::Receiver<bool>,
    /// Whether the process is stopping.
    pub stopping: watch::Receiver<bool>,
    /// Chooses endpoints.
    pub choose: Recipient<Choose>,
    /// Holds the retry budget.
    pub may_repeat: Recipient<MayRepeat>,
    /// The clock.
    pub clock: Shared,
    /// Renders the metrics.
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
    /// Why the process is not ready, or nothing.
    pub(super) fn readiness(&self) -> Result<()> {
        if *self.stopping.borrow() {
            return Err(Error::new(Kind::Leaving, "the process is stopping"));
        }
        if self.plan.borrow().is_none() || !*self.endpoints.borrow() {
            return Err(Error::new(
                Kind::NotReady,
                "no plan or no endpoint is known",
            ));
        }
        Ok(())
    }
}

/// What the handlers of one thread share.
pub(super) struct Context {
    pub(super) config: Config,
    pub(super) ports: Ports,
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    readiness: SocketAddr,
    callers: ServerHandle,
    control: ServerHandle,
}

impl Server {
    /// The bound address for callers.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The bound address for readiness and metrics.
    #[must_use]
    pub const fn readiness(&self) -> SocketAddr {
        self.readiness
    }

    /// Stops accepting, waits until the answers in progress are complete, and then stops to tell
    /// its readiness.
    pub async fn stop(self) {
        self.callers.stop(true).await;
        self.control.stop(false).await;
    }
}

/// Binds both addresses and serves. `stop_limit` bounds the wait for answers in progress.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub fn bind(config: Config, stop_limit: Duration) -> Result<Server> {
    let (control, readiness) = bind_control(&config)?;
    let (callers, address) = bind_callers(config, stop_limit)?;
    Ok(Server {
        address,
        readiness,
        callers,
        control,
    })
}

fn bind_callers(config: Config, stop_limit: Duration) -> Result<(ServerHandle, SocketAddr)> {
    let listen = config.listen;
    let server = HttpServer::new(move || {
        let ports = Ports {
            choose: config.choose.clone(),
            may_repeat: config.may_repeat.clone(),
            upstream: config.protocol.upstream(),
            clock: Arc::clone(&config.clock),
        };
        let context = Context {
            config: config.clone(),
            ports,
        };
        App::new()
            .app_data(web::Data::new(context))
            .default_service(web::to(serve::request))
    })
    .workers(WORKERS)
    .max_connections(CONNECTIONS_MAX)
    .keep_alive(IDLE_LIMIT)
    .client_request_timeout(HEAD_LIMIT)
    // A caller that closes its side has left; its request is cancelled.
    .h1_allow_half_closed(false)
    // An event must not wait for the acknowledgement of the one before.
    .tcp_nodelay(true)
    .shutdown_timeout(stop_limit.as_secs())
    .disable_signals()
    .bind(listen)
    .map_err(|error| cannot_listen(listen, error))?;
    let address = server.addrs().first().copied().unwrap_or(listen);
    Ok((spawn(server.run()), address))
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
