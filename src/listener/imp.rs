use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use actix_http::{
    ConnectionType, HttpService, KeepAlive, Protocol, Request, Response, Version,
    body::{BodySize, MessageBody},
};
use actix_service::{
    IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt, apply_fn_factory, fn_service,
    map_config,
};
use actix_web::dev::{AppConfig, Server as Running};
use socket2::{Domain, Socket, Type};
use tokio::net::TcpStream;

use super::{
    Result,
    connection::Connection,
    monitor::{self, Activity, Body},
    payload, unread,
};
use crate::{
    clock::Shared,
    error::{Error, Kind},
    memory::Pool,
    unit,
};

/// Time for which a connection is read on after an answer that came before the end of the request,
/// and the limit of its shutdown. A caller that still sends would lose the answer to a reset.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections that the kernel keeps until they are accepted.
const BACKLOG: i32 = 1_024;

/// Limits of a listener that may change while it runs.
pub trait Limits: fmt::Debug + Send + Sync {
    /// Time after which an idle connection is closed. A connection that became idle under a higher limit
    /// keeps that one.
    fn idle_timeout(&self) -> Duration;
}

/// An idle timeout that does not change.
impl Limits for Duration {
    fn idle_timeout(&self) -> Duration {
        *self
    }
}

/// Parameters of a listener.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to bind.
    pub address: SocketAddr,
    /// Threads that serve callers.
    pub workers: usize,
    /// Limit of concurrent connections of each thread. Shortly below it, the longest idle connection is
    /// closed for each new one.
    pub connections_max: usize,
    /// Time within which the head of a request must arrive.
    pub head_timeout: Duration,
    /// Bytes that the connections of each thread may hold of unread answers and of requests that were sent
    /// ahead. They are a few KiB for each connection in any case.
    pub buffers: unit::Bytes,
    /// Limits that apply at each moment.
    pub limits: Arc<dyn Limits>,
    /// Limit of the wait for responses in progress during a graceful stop; fractions of a second are
    /// dropped.
    pub stop_timeout: Duration,
    /// Time source of the measured delays.
    pub clock: Shared,
}

/// Binds the address and starts to serve the application that `new_app` creates for each thread.
/// Returns the running server and the bound address.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn bind<F, A, S, B>(config: &Config, new_app: F) -> Result<(Running, SocketAddr)>
where
    F: Fn() -> A + Send + Clone + 'static,
    A: IntoServiceFactory<S, Request>,
    S: ServiceFactory<Request, Config = AppConfig> + 'static,
    S::Error: Into<Response<actix_http::body::BoxBody>>,
    S::InitError: fmt::Debug,
    S::Response: Into<Response<B>>,
    B: MessageBody + 'static,
{
    let cannot_listen = |error: io::Error| {
        let detail = format!("cannot listen on {}", config.address);
        Error::new(Kind::Internal, detail).with_source(error)
    };
    let socket = bind_socket(config.address).map_err(cannot_listen)?;
    let address = socket.local_addr().map_err(cannot_listen)?;
    let builder = actix_server::Server::build()
        .workers(config.workers)
        .max_concurrent_connections(config.connections_max)
        .shutdown_timeout(config.stop_timeout.as_secs())
        .disable_signals();
    let stop_signal = builder.graceful_shutdown_signal();
    let Config {
        connections_max,
        head_timeout,
        buffers,
        limits,
        clock,
        ..
    } = config.clone();
    let serve = move || {
        let clock = Arc::clone(&clock);
        let stop_signal = stop_signal.clone();
        let monitor = monitor::spawn(
            connections_max,
            head_timeout,
            Arc::clone(&limits),
            Arc::clone(&clock),
            Pool::new("connections", buffers),
        );
        let app = map_config(new_app(), |()| AppConfig::default());
        let app = apply_fn_factory(app, |request: Request, app: &S::Service| {
            let activity = request.conn_data::<Activity>().cloned();
            // Only the end of the connection can tell such a caller that an answer is cut.
            let resets = request.version() < Version::HTTP_11;
            let (request, serving) = match activity {
                Some(activity) => {
                    let serving = activity.begin(payload::head_size(&request));
                    (payload::watch(request, activity), Some(serving))
                }
                None => (request, None),
            };
            let response = app.call(request);
            async move {
                let mut response: Response<B> = response.await?.into();
                if resets && response.body().size() == BodySize::Stream {
                    // HTTP/1.0 has no chunks: an answer without a length ends with the connection.
                    response.head_mut().no_chunking(true);
                    response
                        .head_mut()
                        .set_connection_type(ConnectionType::Close);
                }
                Ok(response.map_body(|_head, body| Body::new(body, serving, resets)))
            }
        });
        let http = HttpService::build()
            .graceful_shutdown_signal(move || {
                let signal = stop_signal.clone();
                async move { signal.notified().await }
            })
            // The monitor closes idle connections.
            .keep_alive(KeepAlive::Os)
            .client_request_timeout(head_timeout)
            .client_disconnect_timeout(DISCONNECT_TIMEOUT)
            // A caller that closes its side of the connection cancels its request.
            .h1_allow_half_closed(false)
            .local_addr(address)
            .on_connect_ext(|connection: &Connection, data| {
                data.insert(connection.activity());
            })
            .finish(app);
        fn_service(move |stream: TcpStream| {
            let clock = Arc::clone(&clock);
            let monitor = monitor.clone();
            async move {
                // Nagle's algorithm would delay an event until the previous one is acknowledged.
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!(error:% = error; "connection was lost before it was served");
                }
                let caller = stream.peer_addr().ok();
                let sender = caller.unwrap_or(address);
                Ok((
                    Connection::new(stream, clock, &monitor, sender),
                    Protocol::Http1,
                    caller,
                ))
            }
        })
        .and_then(http)
    };
    let builder = builder
        .listen("callers", socket, serve)
        .map_err(cannot_listen)?;
    Ok((builder.run(), address))
}

fn bind_socket(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // Accepted connections have the sizes of their listener.
    socket.set_recv_buffer_size(unread::RECEIVE_BUFFER_SIZE)?;
    socket.set_send_buffer_size(unread::SEND_BUFFER_SIZE)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
