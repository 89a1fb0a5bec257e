use std::{net::SocketAddr, rc::Rc, time::Duration};

use rand::Rng;
use tokio::{
    net::TcpStream,
    task::{self, AbortHandle},
    time,
};
use tokio_tungstenite::client_async_with_config;

use super::{ConnectionHandler, Identity, connection};
use crate::{
    clock,
    error::{Error, Kind, Result},
};

/// Delay before the first reconnect.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Maximum delay between two reconnects.
const BACKOFF_MAX: Duration = Duration::from_secs(5);
/// Lifetime of a connection that resets the backoff. A shorter connection may have been closed by
/// the peer right after the handshake, and resetting then would reconnect in a tight loop.
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(10);
/// Timeout of the TCP connect and the WebSocket handshake together.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection that is reopened when it closes. Dropping the dialer closes the connection.
#[derive(Debug)]
pub struct Dialer {
    address: SocketAddr,
    task: AbortHandle,
}

impl Dialer {
    /// Address to which it connects.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a task that connects to `address`, and reconnects with exponential backoff.
#[must_use]
pub fn dial(
    address: SocketAddr,
    identity: Identity,
    clock: clock::Shared,
    sink: Rc<dyn ConnectionHandler>,
) -> Dialer {
    let task = task::spawn_local(run(address, identity, clock, sink));
    Dialer {
        address,
        task: task.abort_handle(),
    }
}

/// Connects and reconnects until the task is aborted.
async fn run(
    address: SocketAddr,
    identity: Identity,
    clock: clock::Shared,
    sink: Rc<dyn ConnectionHandler>,
) {
    let mut backoff = BACKOFF_MIN;
    loop {
        let started = clock.now();
        let error = match connect(address).await {
            Ok(socket) => connection::run(socket, &identity, &clock, &sink).await,
            Err(error) => error,
        };
        log::info!(address:% = address, error:% = error;
            "connection to the peer failed or closed; reconnecting");
        if clock.now().duration_since(started) >= BACKOFF_RESET_AFTER {
            backoff = BACKOFF_MIN;
        }
        // Jitter avoids simultaneous reconnects of all entries to a restarted agent.
        time::sleep(backoff.mul_f64(rand::rng().random_range(0.5..1.0))).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}

async fn connect(address: SocketAddr) -> Result<tokio_tungstenite::WebSocketStream<TcpStream>> {
    let unreachable = |error: &dyn std::fmt::Display| {
        Error::new(
            Kind::EndpointLost,
            format!("peer cannot be reached: {error}"),
        )
    };
    let handshake = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| unreachable(&error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| unreachable(&error))?;
        let url = format!("ws://{address}/link");
        let config = Some(connection::limits());
        let (socket, _response) = client_async_with_config(url, stream, config)
            .await
            .map_err(|error| unreachable(&error))?;
        Ok(socket)
    };
    time::timeout(CONNECT_TIMEOUT, handshake)
        .await
        .map_err(|elapsed| unreachable(&elapsed))?
}
