use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    task::{AbortHandle, JoinSet},
    time,
};
use tokio_tungstenite::accept_async_with_config;

use super::{Identity, Result, Sink, connection};
use crate::{
    clock,
    error::{Error, Kind},
};

/// Longest time for the WebSocket handshake, so that a slow or silent client holds no task.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(2);
/// Most connections at a time. An agent is linked to a subset of the entries, far fewer.
const CONNECTIONS_MAX: usize = 1024;
/// Pause after a failed accept, which can be caused by a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running listener. Dropping it closes the port and all its connections.
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

/// A bound port on which nothing is accepted yet.
///
/// The port is bound exclusively: while another process holds it, also a frozen one, this fails.
#[derive(Debug)]
pub struct Port {
    address: SocketAddr,
    listener: TcpListener,
}

impl Port {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
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

    /// Accepts connections.
    #[must_use]
    pub fn listen(self, identity: Identity, clock: clock::Shared, sink: Rc<dyn Sink>) -> Listener {
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
    sink: Rc<dyn Sink>,
) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _peer)) if connections.len() < CONNECTIONS_MAX => {
                let serving = serve(
                    stream,
                    identity.clone(),
                    Arc::clone(&clock),
                    Rc::clone(&sink),
                );
                connections.spawn_local(serving);
            }
            Ok(_too_many) => log::warn!("too many connections; refused one"),
            Err(error) => {
                log::warn!(error:% = error; "connection could not be accepted");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, identity: Identity, clock: clock::Shared, sink: Rc<dyn Sink>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let handshake = accept_async_with_config(stream, Some(connection::limits()));
    match time::timeout(HANDSHAKE_LIMIT, handshake).await {
        Ok(Ok(socket)) => {
            let error = connection::run(socket, &identity, &clock, &sink).await;
            log::info!(error:% = error; "accepted connection ended");
        }
        Ok(Err(error)) => log::info!(error:% = error; "handshake failed"),
        Err(_elapsed) => log::info!("handshake took too long"),
    }
}
