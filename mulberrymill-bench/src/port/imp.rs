use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
};

use actix_web::{App, HttpServer, dev::ServerHandle, web};
use tokio::sync::{mpsc, oneshot};

use super::Result;

/// Largest accepted request body. Long menu reviews stay below 1 MiB.
const BODY_MAX_BYTES: usize = 4 << 20;

/// Registers the routes of a server. Called once per worker, and again after [`Port::up`].
pub type Routes = Arc<dyn Fn(&mut web::ServiceConfig) + Send + Sync>;

enum Command {
    Up(oneshot::Sender<Result<()>>),
    Down(oneshot::Sender<()>),
}

/// Handle of a server. Clones control the same server, which stops when the last one is dropped.
#[derive(Clone, Debug)]
pub struct Port {
    address: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
}

impl Port {
    /// Listens on a free loopback port and serves `routes`. Must be called inside an actix system.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn bind(routes: Routes) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let handle = serve(listener, &routes)?;
        let (commands, requests) = mpsc::unbounded_channel();
        actix_rt::spawn(run(address, routes, handle, requests));
        Ok(Self { address, commands })
    }

    /// Address that the server listens on. It stays the same while the server is down.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and every connection. Has no effect if the server is down.
    pub async fn down(&self) {
        let (reply, done) = oneshot::channel();
        if self.commands.send(Command::Down(reply)).is_ok() {
            let _stopped = done.await;
        }
    }

    /// Listens again on the same port. Has no effect if the server is up.
    ///
    /// # Errors
    ///
    /// Fails if another process has taken the port, or if the server task has ended.
    pub async fn up(&self) -> Result<()> {
        let (reply, done) = oneshot::channel();
        let ended = || std::io::Error::other("the server task has ended");
        self.commands
            .send(Command::Up(reply))
            .map_err(|_error| ended())?;
        done.await.map_err(|_error| ended())?
    }
}

fn serve(listener: TcpListener, routes: &Routes) -> Result<ServerHandle> {
    let routes = Arc::clone(routes);
    let server = HttpServer::new(move || {
        let routes = Arc::clone(&routes);
        App::new()
            .app_data(web::JsonConfig::default().limit(BODY_MAX_BYTES))
            .app_data(web::PayloadConfig::new(BODY_MAX_BYTES))
            .configure(move |config| routes(config))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

async fn run(
    address: SocketAddr,
    routes: Routes,
    handle: ServerHandle,
    mut requests: mpsc::UnboundedReceiver<Command>,
) {
    let mut running = Some(handle);
    while let Some(command) = requests.recv().await {
        match command {
            Command::Down(reply) => {
                if let Some(handle) = running.take() {
                    handle.stop(false).await;
                }
                let _received = reply.send(());
            }
            Command::Up(reply) => {
                let result = match running {
                    Some(_) => Ok(()),
                    None => TcpListener::bind(address)
                        .and_then(|listener| serve(listener, &routes))
                        .map(|handle| running = Some(handle)),
                };
                let _received = reply.send(result);
            }
        }
    }
    if let Some(handle) = running {
        handle.stop(false).await;
    }
}
