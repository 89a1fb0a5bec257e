use std::{net::SocketAddr, rc::Rc, time::Duration};

use rand::Rng;
use tokio::{
    net::TcpStream,
    task::{self, AbortHandle},
    time,
};
use tokio_tungstenite::client_async_with_config;

use super::{Identity, Sink, connection};
use crate::{
    clock,
    error::{Error, Kind, Result},
};

/// Delay before the first attempt to connect again.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest delay between two attempts to connect.
const BACKOFF_MAX: Duration = Duration::from_secs(5);
/// A connection that lasted this long resets the delay. A shorter one may have been refused right
/// after the handshake, and must not cause a tight loop.
const STABLE: Duration = Duration::from_secs(10);
/// Longest time for a connection and its handshake.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// A connection that is kept, and made again when it breaks. Dropping it closes the connection.
#[derive(Debug)]
pub struct Dialer {
    address: SocketAddr,
    task: AbortHandle,
}

impl Dialer {
    /// Where the other end listens.
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

/// Starts to keep a connection to the process at an address.
#[must_use]
pub fn dial(
    address: SocketAddr,
    identity: Identity,
    clock: clock::Shared,
    sink: Rc<dyn Sink>,
) -> Dialer {
    let task = task::spawn_local(run(address, identity, clock, sink));
    Dialer {
        address,
        task: task.abort_handle(),
    }
}

/// Keeps a connection until the task is aborted.
async fn run(address: SocketAddr, identity: Identity, clock: clock::Shared, sink: Rc<dyn Sink>) {
    let mut backoff = BACKOFF_MIN;
    loop {
        let started = clock.now();
        let error = match connect(address).await {
            Ok(socket) => connection::run(socket, &identity, &clock, &sink).await,
            Err(error) => error,
        };
        log::info!(address:% = address, error:% = error; "no connection to the peer");
        if clock.now().duration_since(started) >= STABLE {
            backoff = BACKOFF_MIN;
        }
        // Jitter keeps the entries from all connecting to a restarted agent at the same moment.
        time::sleep(backoff.mul_f64(rand::rng().random_range(0.5..1.0))).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}

async fn connect(address: SocketAddr) -> Result<tokio_tungstenite::WebSocketStream<TcpStream>> {
    let lost = |error: &dyn std::fmt::Display| {
        Error::new(
            Kind::EndpointLost,
            format!("peer cannot be reached: {error}"),
        )
    };
    let handshake = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| lost(&error))?;
        stream.set_nodelay(true).map_err(|error| lost(&error))?;
        let url = format!("ws://{address}/link");
        let config = Some(connection::limits());
        let (socket, _response) = client_async_with_config(url, stream, config)
            .await
            .map_err(|error| lost(&error))?;
        Ok(socket)
    };
    time::timeout(CONNECT_LIMIT, handshake)
        .await
        .map_err(|elapsed| lost(&elapsed))?
}
