use std::{
    fmt,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use actix::Recipient;
use actix_web::{
    App, HttpRequest, HttpResponse, Resource,
    dev::ServerHandle,
    web::{self, ServiceConfig},
};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::watch;

use super::{Result, health, openai, operator, problem, service};
use crate::{
    clock,
    config::Document,
    error::{Error, Kind},
    link, listener,
    relay::Relay,
    spread::View,
    unit,
};

/// Timeout for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a graceful shutdown, after which responses in progress are aborted.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_hours(1);
/// Bytes that the connections of each thread may hold of unread answers and of requests that were sent ahead.
const CONNECTION_BUFFERS: unit::Bytes = unit::Bytes::new(64 << 20);
/// Open connections per worker thread.
const MAX_CONNECTIONS_PER_WORKER: usize = 10_000;

/// Configuration and dependencies of the HTTP server.
#[derive(Clone)]
pub struct Config {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Number of worker threads.
    pub workers: usize,
    /// Processes completions and service calls.
    pub relay: Relay,
    /// Looks up recorded outcomes of service operations at the agents.
    pub lookup: Recipient<link::Lookup>,
    /// Current configuration document and its revision.
    pub view: View,
    /// Becomes true when the process starts to shut down.
    pub stopping: watch::Receiver<bool>,
    /// Recipients of operator requests.
    pub operator: operator::Ports,
    /// Clock for deadlines and the `created` field of answers.
    pub clock: clock::Shared,
    /// Source of the `/metrics` page.
    pub metrics: PrometheusHandle,
}

impl fmt::Debug for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Config")
            .field("listen", &self.listen)
            .finish_non_exhaustive()
    }
}

/// Application data of the handlers, shared and read-only.
pub(super) type Context = Config;

impl Config {
    /// Returns the current configuration document, or `Kind::NotReady` before the first one.
    pub(super) fn document(&self) -> Result<Arc<Document>> {
        let document = Arc::clone(&self.view.document.borrow());
        if document.revision.get() == 0 {
            return Err(Error::new(
                Kind::NotReady,
                "no document has been received yet",
            ));
        }
        Ok(document)
    }

    pub(super) fn readiness(&self) -> Result<()> {
        if *self.stopping.borrow() {
            return Err(Error::new(Kind::Leaving, "the entry is stopping"));
        }
        self.document().map(|_document| ())
    }

    pub(super) fn seconds_since_epoch(&self) -> u64 {
        let since = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        since.unwrap_or_default().as_secs()
    }
}

/// Handle of a running HTTP server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Returns the bound address, with the port chosen by the system if the configured one is 0.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits for the responses in progress, for at most one hour.
    pub async fn stop(self) {
        self.handle.stop(true).await;
    }
}

/// Binds the configured address and starts to serve requests.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn bind(config: Config) -> Result<Server> {
    let parameters = listener::Config {
        address: config.listen,
        workers: config.workers,
        connections_max: MAX_CONNECTIONS_PER_WORKER,
        head_timeout: HEAD_TIMEOUT,
        buffers: CONNECTION_BUFFERS,
        limits: Arc::new(IDLE_TIMEOUT),
        stop_timeout: SHUTDOWN_TIMEOUT,
        clock: Arc::clone(&config.clock),
    };
    let context = web::Data::new(config);
    let new_app = move || App::new().app_data(context.clone()).configure(routes);
    let (running, address) = listener::bind(&parameters, new_app)?;
    let handle = running.handle();
    actix_rt::spawn(running);
    Ok(Server { address, handle })
}

fn routes(app: &mut ServiceConfig) {
    app.service(resource("/v1/completions").route(web::post().to(openai::completions)))
        .service(resource("/v1/chat/completions").route(web::post().to(openai::chat)))
        .service(resource("/v1/models").route(web::get().to(openai::models)))
        .service(
            resource("/v1/services/{service}/{operation}").route(web::post().to(service::invoke)),
        )
        .service(
            resource("/v1/services/{service}/{operation}/{key}")
                .route(web::get().to(service::lookup)),
        )
        .service(resource("/healthz").route(web::get().to(health::healthz)))
        .service(resource("/readyz").route(web::get().to(health::readyz)))
        .service(resource("/metrics").route(web::get().to(health::metrics)))
        .configure(operator::routes)
        .default_service(web::to(route_not_found));
}

/// Creates a resource that answers unsupported methods with a problem document.
pub(super) fn resource(path: &str) -> Resource {
    web::resource(path).default_service(web::to(method_not_allowed))
}

async fn route_not_found(request: HttpRequest) -> HttpResponse {
    let detail = format!("there is no {}", request.path());
    problem::respond(&Error::new(Kind::NotFound, detail))
}

async fn method_not_allowed(request: HttpRequest) -> HttpResponse {
    let detail = format!(
        "{} cannot be used with {}",
        request.path(),
        request.method()
    );
    problem::respond(&Error::new(Kind::MethodNotAllowed, detail))
}
