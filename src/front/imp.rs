use std::{
    fmt,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use actix::Recipient;
use actix_web::{
    App, HttpRequest, HttpResponse, HttpServer, Resource,
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
    link,
    relay::Relay,
    spread::View,
};

/// Longest time for the head of a request.
const HEAD_LIMIT: Duration = Duration::from_secs(5);
/// Longest time that a stopping server waits for answers in progress.
const STOP_LIMIT: Duration = Duration::from_hours(1);
/// Connections per worker thread.
const CONNECTIONS_MAX: usize = 10_000;

/// What the HTTP interface needs.
#[derive(Clone)]
pub struct Config {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Worker threads.
    pub workers: usize,
    /// Starts requests.
    pub relay: Relay,
    /// Asks agents for recorded outcomes.
    pub lookup: Recipient<link::Lookup>,
    /// The document in force.
    pub view: View,
    /// Whether the process is stopping.
    pub stopping: watch::Receiver<bool>,
    /// Serves operators.
    pub operator: operator::Ports,
    /// The clock.
    pub clock: clock::Shared,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
}

impl fmt::Debug for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Config")
            .field("listen", &self.listen)
            .finish_non_exhaustive()
    }
}

/// What the handlers share, read-only.
pub(super) type Context = Config;

impl Config {
    /// The document in force.
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

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// The bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and waits until the answers in progress are complete.
    pub async fn stop(self) {
        self.handle.stop(true).await;
    }
}

/// Binds the address and serves.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn bind(config: Config) -> Result<Server> {
    let (listen, workers) = (config.listen, config.workers);
    let failed = |error: std::io::Error| {
        Error::new(Kind::Internal, format!("cannot listen on {listen}")).with_source(error)
    };
    let context = web::Data::new(config);
    let server = HttpServer::new(move || App::new().app_data(context.clone()).configure(routes))
        .workers(workers)
        .max_connections(CONNECTIONS_MAX)
        .client_request_timeout(HEAD_LIMIT)
        .h1_allow_half_closed(false)
        // A streamed token must not wait for the acknowledgement of the one before.
        .tcp_nodelay(true)
        .shutdown_timeout(STOP_LIMIT.as_secs())
        .disable_signals()
        .bind(listen)
        .map_err(failed)?;
    let address = server.addrs().first().copied().unwrap_or(listen);
    let running = server.run();
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
                .route(web::get().to(service::recorded)),
        )
        .service(resource("/healthz").route(web::get().to(health::healthz)))
        .service(resource("/readyz").route(web::get().to(health::readyz)))
        .service(resource("/metrics").route(web::get().to(health::metrics)))
        .configure(operator::routes)
        .default_service(web::to(unknown_route));
}

/// A path that answers other methods than its routes with a problem document.
pub(super) fn resource(path: &str) -> Resource {
    web::resource(path).default_service(web::to(other_method))
}

async fn unknown_route(request: HttpRequest) -> HttpResponse {
    let detail = format!("there is no {}", request.path());
    problem::respond(&Error::new(Kind::NotFound, detail))
}

async fn other_method(request: HttpRequest) -> HttpResponse {
    let detail = format!(
        "{} cannot be used with {}",
        request.path(),
        request.method()
    );
    problem::respond(&Error::new(Kind::MethodNotAllowed, detail))
}
