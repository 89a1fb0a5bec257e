use std::{net::SocketAddr, time::Duration};

use futures_util::FutureExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::{self, AbortHandle},
    time,
};

use super::Result;

/// Buffer of one direction of a connection.
const BUFFER_BYTES: usize = 4 << 10;

/// Time after which [`Mode::Reset`] resets a new connection. By then most requests are being
/// executed and few have a response.
const RESET_AFTER: Duration = Duration::from_millis(60);

/// How a proxy treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Forwards all bytes.
    #[default]
    Open,
    /// Forwards all bytes after a delay.
    Delay(Duration),
    /// Resets all connections, and new ones immediately.
    Refuse,
    /// Resets all connections, and new ones after a short delay.
    Reset,
    /// Holds back bytes from clients until the mode changes.
    CutUp,
    /// Holds back bytes from the server until the mode changes.
    CutDown,
    /// Stops forwarding on the connections that are open now, permanently; new ones work.
    Silence,
    /// Forwards each whole answer of the server once more after a delay.
    Repeat(Duration),
    /// Resets a connection in place of the server's first bytes on it.
    Lose,
}

/// A loopback TCP proxy in front of a server. Dropping it closes its connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    task: AbortHandle,
}

impl Proxy {
    /// Listens on a free loopback port and forwards connections to `server`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn bind(server: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(Mode::Open);
        let task = task::spawn_local(accept(listener, server, mode.subscribe()));
        Ok(Self {
            address,
            mode,
            task: task.abort_handle(),
        })
    }

    /// Address that the proxy listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode, also of open connections.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, mode: watch::Receiver<Mode>) {
    let mut connections = task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((client, _)) => {
                connections.spawn_local(serve(client, server, mode.clone()));
            }
            Err(error) => eprintln!("proxy cannot accept a connection: {error}"),
        }
    }
}

async fn serve(client: TcpStream, server: SocketAddr, mut mode: watch::Receiver<Mode>) {
    let current = *mode.borrow_and_update();
    let upstream = match current {
        Mode::Refuse => None,
        _ => TcpStream::connect(server).await.ok(),
    };
    // Closing a socket with unread bytes or with zero linger resets the connection.
    let Some(upstream) = upstream else {
        return reset(&client);
    };
    let (client_read, mut client_write) = client.into_split();
    let (server_read, mut server_write) = upstream.into_split();
    let broken = tokio::select! {
        broken = copy(client_read, &mut server_write, mode.clone(), Side::Client) => broken,
        broken = copy(server_read, &mut client_write, mode.clone(), Side::Server) => broken,
        // Dropping the proxy drops the sender of the mode, which ends the connections too.
        changed = mode.wait_for(|now| {
            *now != current && matches!(*now, Mode::Reset | Mode::Refuse)
        }) => {
            drop(changed);
            true
        }
        () = time::sleep(RESET_AFTER), if current == Mode::Reset => true,
    };
    if broken {
        // Without a reset, an answer that ends with its connection would look complete.
        reset(client_write.as_ref());
        client_write.forget();
    }
}

fn reset(client: &TcpStream) {
    if let Err(error) = client.set_zero_linger() {
        eprintln!("proxy cannot reset a connection: {error}");
    }
}

/// The sender of one direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Client,
    Server,
}

/// Whether the bytes are a whole answer with a length, rather than a part of a stream.
fn is_whole_answer(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    length == Some(body.len().to_string().as_str()) && head.starts_with("HTTP/1.1 ")
}

/// Copies one direction until it ends, and returns whether bytes were lost.
async fn copy(
    mut from: OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    side: Side,
) -> bool {
    let cut = match side {
        Side::Client => Mode::CutUp,
        Side::Server => Mode::CutDown,
    };
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        // The guard that `wait_for` returns locks the mode and must not outlive this block.
        let silenced = async { drop(mode.wait_for(|mode| *mode == Mode::Silence).await) };
        let length = tokio::select! {
            () = silenced => return std::future::pending().await,
            read = from.read(&mut buffer) => match read {
                Ok(0) => return false,
                Err(_) => return true,
                Ok(length) => length,
            },
        };
        let current = *mode.borrow();
        if let Mode::Delay(delay) = current {
            time::sleep(delay).await;
        }
        if current == cut {
            if mode.wait_for(|mode| *mode != cut).await.is_err() {
                return true;
            }
            // Drops the held-back bytes if their sender has closed the connection in the meantime.
            let mut next = [0];
            if let Some(Ok(0) | Err(_)) = from.peek(&mut next).now_or_never() {
                return true;
            }
        }
        if current == Mode::Lose && side == Side::Server {
            return true;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return true;
        }
        if let Mode::Repeat(delay) = current
            && side == Side::Server
            && is_whole_answer(&buffer[..length])
        {
            time::sleep(delay).await;
            // The fault ends when the mode changes.
            let lasts = *mode.borrow() == current;
            if lasts && to.write_all(&buffer[..length]).await.is_err() {
                return true;
            }
        }
    }
}
