use std::{
    fmt,
    str::FromStr,
    sync::atomic::{AtomicU64, Ordering},
};

use tokio::sync::{mpsc, watch};

use crate::{
    error::{Error, Kind},
    id::{Incarnation, Process, Revision, Zone},
    wire::{Frame, Hello, PROTOCOL},
};

/// Who this process is, for the first message of each connection.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name from the settings.
    pub process: Process,
    /// This run.
    pub incarnation: Incarnation,
    /// Availability zone from the settings.
    pub zone: Zone,
    /// Revision of the document in force.
    pub revision: watch::Receiver<Revision>,
}

impl Identity {
    /// The first message of a connection.
    #[must_use]
    pub fn hello(&self) -> Frame {
        Frame::Hello(Hello {
            protocol: PROTOCOL,
            process: self.process.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            revision: *self.revision.borrow(),
        })
    }
}

/// One connection of this run of the process. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Session(u64);

impl Session {
    /// A session that no other connection has.
    #[must_use]
    pub fn next() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        Self(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

impl fmt::Display for Session {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Session {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        text.parse()
            .map(Self)
            .map_err(|_error| Error::new(Kind::BadRequest, "invalid session"))
    }
}

/// The other end of a connection.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The connection.
    pub session: Session,
    /// What the peer said about itself.
    pub hello: Hello,
}

/// Queue to the task that writes a connection.
///
/// The queue has no limit of its own: an agent sends no more of an answer than the entry gave
/// credit for, and an entry submits no more than admission lets through.
#[derive(Clone, Debug)]
pub struct Outbox {
    queue: mpsc::UnboundedSender<Item>,
}

/// What waits for the task that writes a connection.
#[expect(
    clippy::large_enum_variant,
    reason = "nearly all items are frames; a box would cost each"
)]
#[derive(Clone, Debug)]
pub enum Item {
    /// A frame to write.
    Frame(Frame),
    /// Close the connection after what was queued before.
    Close,
}

impl Outbox {
    /// A queue and its receiving end.
    #[must_use]
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<Item>) {
        let (queue, receiver) = mpsc::unbounded_channel();
        (Self { queue }, receiver)
    }

    /// Queues a frame. Dropped if the connection is closed, which the [`Sink`] is told anyway.
    pub fn send(&self, frame: Frame) {
        let _queued = self.try_send(frame);
    }

    /// Queues a frame. `false` if the connection is closed.
    #[must_use]
    pub fn try_send(&self, frame: Frame) -> bool {
        self.queue.send(Item::Frame(frame)).is_ok()
    }

    /// Closes the connection once everything queued so far is written.
    pub fn close(&self) {
        // A connection that is closed already needs no closing.
        let _closed = self.queue.send(Item::Close);
    }
}

/// Receives what arrives on connections.
pub trait Sink {
    /// A connection was opened and its peer is known.
    fn opened(&self, peer: &Peer, outbox: &Outbox);

    /// A frame arrived.
    fn arrived(&self, peer: &Peer, frame: Frame, outbox: &Outbox);

    /// The connection was closed. Nothing more arrives on it.
    fn closed(&self, peer: &Peer);
}
