use std::{cell::RefCell, collections::HashMap, fmt, net::SocketAddr, rc::Rc};

use actix_http::{RequestHead, ResponseHead};
use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

use super::{Result, connection};

/// Idle connections that are kept per endpoint. More are needed only in a burst.
const IDLE_MAX: usize = 32;

/// How a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// No byte of the request was sent.
    NotSent,
    /// The connection was lost after a part of the request was sent.
    Lost,
    /// The endpoint sent bytes that are not an answer.
    Malformed,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "not sent",
            Self::Lost => "lost",
            Self::Malformed => "malformed answer",
        })
    }
}

/// Why a request has no answer, or no complete one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: Kind,
    detail: String,
}

impl Error {
    pub(crate) fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }

    /// How it failed.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.kind
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.detail)
    }
}

impl std::error::Error for Error {}

/// A part of a body.
#[derive(Debug)]
pub(super) enum Part {
    Chunk(Bytes),
    End,
    Broken(Error),
}

/// The body of an answer.
#[derive(Debug)]
pub struct Body {
    parts: mpsc::Receiver<Part>,
    ended: bool,
}

impl Body {
    pub(super) const fn new(parts: mpsc::Receiver<Part>) -> Self {
        Self {
            parts,
            ended: false,
        }
    }

    /// A body that holds some chunks and then ends as told, or never.
    #[cfg(test)]
    pub(crate) fn scripted(chunks: &[&'static str], end: Option<Result<()>>) -> Self {
        let (sender, parts) = mpsc::channel(chunks.len() + 1);
        let chunks = chunks.iter().map(|chunk| Part::Chunk(Bytes::from(*chunk)));
        let end = end.map(|end| end.map_or_else(Part::Broken, |()| Part::End));
        let hangs = end.is_none();
        for part in chunks.chain(end) {
            sender.try_send(part).expect("the channel is large enough");
        }
        if hangs {
            tokio::task::spawn_local(async move { sender.closed().await });
        }
        Self::new(parts)
    }

    /// The next bytes, or nothing at the end of a complete body.
    ///
    /// # Errors
    ///
    /// Fails if the body is cut off.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        if self.ended {
            return Ok(None);
        }
        match self.parts.recv().await {
            Some(Part::Chunk(chunk)) => Ok(Some(chunk)),
            Some(Part::End) => {
                self.ended = true;
                Ok(None)
            }
            Some(Part::Broken(error)) => Err(error),
            None => Err(Error::new(Kind::Lost, "the connection task has ended")),
        }
    }

    /// The whole body, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body is cut off or longer than `limit`.
    pub async fn collect(&mut self, limit: usize) -> Result<Vec<u8>> {
        let mut whole = Vec::new();
        while let Some(chunk) = self.next().await? {
            if whole.len() + chunk.len() > limit {
                return Err(Error::new(Kind::Malformed, "the body is too long"));
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole)
    }
}

/// An answer of an endpoint.
#[derive(Debug)]
pub struct Response {
    /// Status and headers.
    pub head: ResponseHead,
    /// The body. Dropping it before its end closes the connection.
    pub body: Body,
}

/// A request for a connection task.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    pub(super) reply: oneshot::Sender<Result<Response>>,
}

/// Idle connections by address. The last one used is used first, so that the others can end.
pub(super) type Idle = Rc<RefCell<HashMap<SocketAddr, Vec<oneshot::Sender<Job>>>>>;

/// Connections to endpoints, for one thread.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Idle,
}

impl Pool {
    /// A pool without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request on an idle connection, or on a new one.
    ///
    /// # Errors
    ///
    /// [`Kind::NotSent`] if the endpoint certainly did not get the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        head: RequestHead,
        body: Bytes,
    ) -> Result<Response> {
        let (reply, answer) = oneshot::channel();
        let mut job = Job { head, body, reply };
        while let Some(connection) = self.take(address) {
            match connection.send(job) {
                Ok(()) => return received(answer.await),
                // The connection has ended since it was put into the pool.
                Err(returned) => job = returned,
            }
        }
        connection::spawn(address, job, Rc::clone(&self.idle));
        received(answer.await)
    }

    fn take(&self, address: SocketAddr) -> Option<oneshot::Sender<Job>> {
        self.idle.borrow_mut().get_mut(&address)?.pop()
    }
}

/// Puts a connection into the pool.
pub(super) fn offer(idle: &Idle, address: SocketAddr, connection: oneshot::Sender<Job>) {
    let mut idle = idle.borrow_mut();
    let connections = idle.entry(address).or_default();
    connections.retain(|connection| !connection.is_closed());
    if connections.len() < IDLE_MAX {
        connections.push(connection);
    }
}

/// Forgets the connections of an address that have ended, and the address if none is left.
pub(super) fn forget(idle: &Idle, address: SocketAddr) {
    let mut idle = idle.borrow_mut();
    if let Some(connections) = idle.get_mut(&address) {
        connections.retain(|connection| !connection.is_closed());
        if connections.is_empty() {
            idle.remove(&address);
        }
    }
}

fn received(
    answer: std::result::Result<Result<Response>, oneshot::error::RecvError>,
) -> Result<Response> {
    answer.unwrap_or_else(|_closed| Err(Error::new(Kind::Lost, "the connection task has ended")))
}
