use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    task::{AbortHandle, JoinSet},
    time,
};
use tokio_tungstenite::accept_async_with_config;

use super::{ConnectionHandler, Identity, Result, connection};
use crate::{
    clock,
    error::{Error, Kind},
};

/// Timeout of the WebSocket handshake, so that a slow or silent client does not hold a task.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of open connections. An agent is connected to a subset of the entries, far fewer.
const CONNECTIONS_MAX: usize = 1024;
/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A running listener. Dropping it closes the port and all accepted connections.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    task: AbortHandle,
}

impl Listener {
    /// The bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A bound port that does not accept connections yet.
///
/// The bind is exclusive: it fails while another process, even a suspended one, holds the port.
#[derive(Debug)]
pub struct BoundListener {
    address: SocketAddr,
    listener: TcpListener,
}

impl BoundListener {
    /// Binds a TCP address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// `Kind::Internal` if the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> Result<Self> {
        let failed = |error: std::io::Error| {
            Error::new(Kind::Internal, format!("cannot listen on {address}")).with_source(error)
        };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        Ok(Self { address, listener })
    }

    /// The bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to accept connections and reports their events to `sink`.
    #[must_use]
    pub fn listen(
        self,
        identity: Identity,
        clock: clock::Shared,
        sink: Rc<dyn ConnectionHandler>,
    ) -> Listener {
        let Self { address, listener } = self;
        let task = tokio::task::spawn_local(accept(listener, identity, clock, sink));
        Listener {
            address,
            task: task.abort_handle(),
        }
    }
}

async fn accept(
    listener: TcpListener,
    identity: Identity,
    clock: clock::Shared,
    sink: Rc<dyn ConnectionHandler>,
) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _peer)) if connections.len() < CONNECTIONS_MAX => {
                let connection = serve(
                    stream,
                    identity.clone(),
                    Arc::clone(&clock),
                    Rc::clone(&sink),
                );
                connections.spawn_local(connection);
            }
            Ok(_over_limit) => log::warn!("connection limit reached; refused a connection"),
            Err(error) => {
                log::warn!(error:% = error; "accept failed; retrying after a delay");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    identity: Identity,
    clock: clock::Shared,
    sink: Rc<dyn ConnectionHandler>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let handshake = accept_async_with_config(stream, Some(connection::limits()));
    match time::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(socket)) => {
            let error = connection::run(socket, &identity, &clock, &sink).await;
            log::info!(error:% = error; "incoming connection closed");
        }
        Ok(Err(error)) => log::info!(error:% = error; "WebSocket handshake failed"),
        Err(_elapsed) => log::info!("WebSocket handshake timed out"),
    }
}
