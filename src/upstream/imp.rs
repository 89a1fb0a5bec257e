use std::{cell::RefCell, collections::HashMap, fmt, net::SocketAddr, rc::Rc};

use actix_http::{RequestHead, ResponseHead};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use tokio::sync::{mpsc, oneshot};

use super::{Framing, Result, connection};
use crate::memory::{Pool, Reservation};

/// Idle connections kept per endpoint. More are needed only in a burst.
const IDLE_CONNECTIONS_MAX: usize = 32;

/// How a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// No byte of the request was sent.
    NotSent,
    /// The host refused the connection: the endpoint does not run.
    Refused,
    /// No byte of the request was sent, since its [`Gate`] did not permit it.
    Withheld,
    /// A part of the request was sent, and the rest was not, since its [`Gate`] was revoked. The endpoint
    /// may run it: it needs no more than the head to begin.
    Interrupted,
    /// The connection was lost after a part of the request was sent.
    Lost,
    /// The endpoint sent bytes that are not a valid HTTP response.
    Malformed,
    /// The endpoint sent more bytes than are held for it.
    Exceeded,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "not sent",
            Self::Refused => "refused",
            Self::Withheld => "withheld",
            Self::Interrupted => "interrupted",
            Self::Lost => "lost",
            Self::Malformed => "malformed answer",
            Self::Exceeded => "exceeded memory",
        })
    }
}

/// Why a request has no response, or an incomplete one.
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

    /// Tells whether the endpoint can have received the request.
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

/// Message from a connection task to the reader of a body.
#[derive(Debug)]
pub(super) enum BodyPart {
    /// With the reservation of its bytes while they wait for the reader.
    Chunk(Bytes, Reservation),
    End,
    Failed(Error),
}

/// The body of a response, received in parts. Dropping it before its end cancels the request.
#[derive(Debug)]
pub struct Body {
    parts: mpsc::Receiver<BodyPart>,
    ended: bool,
    /// The bytes that the reader keeps.
    kept: Reservation,
}

impl Body {
    pub(super) const fn new(parts: mpsc::Receiver<BodyPart>, kept: Reservation) -> Self {
        Self {
            parts,
            ended: false,
            kept,
        }
    }

    /// States how many of the received bytes the reader keeps from now on.
    ///
    /// # Errors
    ///
    /// [`Kind::Exceeded`] if they are more than are held for the endpoint.
    pub fn keep(&mut self, bytes: usize) -> Result<()> {
        self.kept.resize(bytes).map_err(|error| exceeded(&error))
    }

    /// A body that consists of `chunks` and ends with `end`; with `None` it never ends.
    #[cfg(test)]
    pub(crate) fn scripted(chunks: &[&'static str], end: Option<Result<()>>) -> Self {
        let (sender, parts) = mpsc::channel(chunks.len() + 1);
        let chunks = chunks
            .iter()
            .map(|chunk| BodyPart::Chunk(Bytes::from(*chunk), Reservation::uncounted()));
        let end = end.map(|end| end.map_or_else(BodyPart::Failed, |()| BodyPart::End));
        let never_ends = end.is_none();
        for part in chunks.chain(end) {
            sender.try_send(part).expect("the channel is large enough");
        }
        if never_ends {
            tokio::task::spawn_local(async move { sender.closed().await });
        }
        Self::new(parts, Reservation::uncounted())
    }

    /// A body without end whose next part is always ready.
    #[cfg(test)]
    pub(crate) fn endless(part: &'static str) -> Self {
        let (sender, parts) = mpsc::channel(2);
        tokio::task::spawn_local(async move {
            let part = || {
                BodyPart::Chunk(
                    Bytes::from_static(part.as_bytes()),
                    Reservation::uncounted(),
                )
            };
            while sender.send(part()).await.is_ok() {}
        });
        Self::new(parts, Reservation::uncounted())
    }

    /// A body without end that sends these parts in turn, one at an interval.
    #[cfg(test)]
    pub(crate) fn dribbling(
        parts_in_turn: &'static [&'static str],
        interval: std::time::Duration,
    ) -> Self {
        let (sender, parts) = mpsc::channel(2);
        tokio::task::spawn_local(async move {
            for part in parts_in_turn.iter().cycle() {
                let part = BodyPart::Chunk(
                    Bytes::from_static(part.as_bytes()),
                    Reservation::uncounted(),
                );
                if sender.send(part).await.is_err() {
                    return;
                }
                tokio::time::sleep(interval).await;
            }
        });
        Self::new(parts, Reservation::uncounted())
    }

    /// A body that sends each part after its delay, and then ends.
    #[cfg(test)]
    pub(crate) fn delayed(parts_after: &'static [(std::time::Duration, &'static str)]) -> Self {
        let (sender, parts) = mpsc::channel(2);
        tokio::task::spawn_local(async move {
            for (delay, part) in parts_after {
                tokio::time::sleep(*delay).await;
                let part = BodyPart::Chunk(
                    Bytes::from_static(part.as_bytes()),
                    Reservation::uncounted(),
                );
                if sender.send(part).await.is_err() {
                    return;
                }
            }
            if sender.send(BodyPart::End).await.is_err() {
                log::debug!("nobody reads the end of the body");
            }
        });
        Self::new(parts, Reservation::uncounted())
    }

    /// Returns the next bytes, or `None` at the end of a complete body.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        if self.ended {
            return Ok(None);
        }
        match self.parts.recv().await {
            Some(BodyPart::Chunk(chunk, _reservation)) => Ok(Some(chunk)),
            Some(BodyPart::End) => {
                self.ended = true;
                Ok(None)
            }
            Some(BodyPart::Failed(error)) => Err(error),
            None => Err(Error::new(Kind::Lost, "the connection task has ended")),
        }
    }

    /// Reads the whole body, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated or longer than `limit`.
    pub async fn collect(&mut self, limit: usize) -> Result<Vec<u8>> {
        let mut whole = Vec::new();
        while let Some(chunk) = self.next().await? {
            if whole.len() + chunk.len() > limit {
                return Err(Error::new(Kind::Malformed, "the body is too long"));
            }
            whole.extend_from_slice(&chunk);
            self.keep(whole.len())?;
        }
        Ok(whole)
    }
}

/// The response of an endpoint.
#[derive(Debug)]
pub struct Response {
    /// Status and headers.
    pub head: ResponseHead,
    /// The body. Dropping it before its end closes the connection.
    pub body: Body,
    /// How the end of the body is found.
    pub framing: Framing,
    /// Whether the connection has served other requests before. Only then can the response be a
    /// late copy of an earlier one.
    pub reused: bool,
}

/// Decides about a request while its connection task has it.
pub trait Gate: fmt::Debug {
    /// Whether the request may be sent now. Asked right before its first byte is written.
    fn may_send(&self) -> bool;

    /// Returns once no more of the request may be sent. Awaited until its last byte is written.
    fn revoked(&self) -> LocalBoxFuture<'static, ()>;

    /// Sees the head of the final response, also if nobody waits for it any more. `reused` states
    /// whether the connection has served other requests before. Returns whether it may be used again.
    fn on_head(&self, head: &ResponseHead, reused: bool) -> bool;
}

/// A request that is passed to a connection task.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    pub(super) gate: Option<Rc<dyn Gate>>,
    pub(super) responder: oneshot::Sender<Result<Response>>,
}

/// Idle connections by address. The most recently used one is reused first, so that surplus
/// connections reach their idle timeout.
pub(super) type IdleConnections =
    Rc<RefCell<HashMap<SocketAddr, Vec<oneshot::Sender<PendingRequest>>>>>;

/// Pool of connections to endpoints, used by one thread.
#[derive(Clone, Debug)]
pub struct Client {
    /// `None` if connections are not reused.
    idle: Option<IdleConnections>,
    /// Counts the bytes that are held of answers; `None` if they are not counted.
    pool: Option<Pool>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates an empty pool. Connections are opened on demand.
    #[must_use]
    pub fn new() -> Self {
        Self {
            idle: Some(IdleConnections::default()),
            pool: None,
        }
    }

    /// Counts the bytes that are held of answers in a pool, by the address of the endpoint.
    #[must_use]
    pub fn with_pool(mut self, pool: Pool) -> Self {
        self.pool = Some(pool);
        self
    }

    /// Creates a client that opens a connection for each request.
    #[must_use]
    pub const fn without_reuse() -> Self {
        Self {
            idle: None,
            pool: None,
        }
    }

    /// Sends a request on an idle connection, or on a new one, and waits for the head of the
    /// response.
    ///
    /// # Errors
    ///
    /// [`Kind::NotSent`] or [`Kind::Refused`] if the endpoint did not receive the request, otherwise
    /// [`Kind::Lost`] or [`Kind::Malformed`].
    pub async fn send(
        &self,
        address: SocketAddr,
        head: RequestHead,
        body: Bytes,
    ) -> Result<Response> {
        self.submit(address, head, body, None).await
    }

    /// Sends a request like [`Client::send`], if `gate` permits it.
    ///
    /// # Errors
    ///
    /// As [`Client::send`]; [`Kind::Withheld`] if the gate did not permit it, and [`Kind::Interrupted`] if
    /// the gate was revoked before its last byte was sent.
    pub async fn send_through(
        &self,
        gate: Rc<dyn Gate>,
        address: SocketAddr,
        head: RequestHead,
        body: Bytes,
    ) -> Result<Response> {
        self.submit(address, head, body, Some(gate)).await
    }

    async fn submit(
        &self,
        address: SocketAddr,
        head: RequestHead,
        body: Bytes,
        gate: Option<Rc<dyn Gate>>,
    ) -> Result<Response> {
        let (responder, response) = oneshot::channel();
        let mut pending = PendingRequest {
            head,
            body,
            gate,
            responder,
        };
        while let Some(connection) = self.take_idle(address) {
            match connection.send(pending) {
                Ok(()) => return flatten(response.await),
                // The connection was closed after it was returned to the pool.
                Err(returned) => pending = returned,
            }
        }
        let reservation = self
            .pool
            .as_ref()
            .map_or_else(Reservation::uncounted, |pool| pool.reserve(address));
        connection::spawn(address, pending, self.idle.clone(), reservation);
        flatten(response.await)
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        if let Some(idle) = &self.idle {
            idle.borrow_mut().remove(&address);
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<oneshot::Sender<PendingRequest>> {
        let idle = self.idle.as_ref()?;
        idle.borrow_mut().get_mut(&address)?.pop()
    }
}

/// Returns a connection to the pool, unless the endpoint has enough idle ones. A connection that is
/// not kept closes by itself.
pub(super) fn add_idle(
    idle: &IdleConnections,
    address: SocketAddr,
    connection: oneshot::Sender<PendingRequest>,
) {
    let mut idle = idle.borrow_mut();
    let connections = idle.entry(address).or_default();
    connections.retain(|connection| !connection.is_closed());
    if connections.len() < IDLE_CONNECTIONS_MAX {
        connections.push(connection);
    }
}

/// Removes the closed connections of an address, and the address if none is left.
pub(super) fn remove_closed(idle: &IdleConnections, address: SocketAddr) {
    let mut idle = idle.borrow_mut();
    if let Some(connections) = idle.get_mut(&address) {
        connections.retain(|connection| !connection.is_closed());
        if connections.is_empty() {
            idle.remove(&address);
        }
    }
}

/// The error for an endpoint that sent more bytes than are held for it.
pub(super) fn exceeded(error: &crate::error::Error) -> Error {
    Error::new(Kind::Exceeded, error.detail())
}

fn flatten(
    response: std::result::Result<Result<Response>, oneshot::error::RecvError>,
) -> Result<Response> {
    response.unwrap_or_else(|_closed| Err(Error::new(Kind::Lost, "the connection task has ended")))
}
