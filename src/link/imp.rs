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

/// Identity of this process, sent in the first frame of each connection.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Process name from the settings.
    pub process: Process,
    /// Id of this run of the process.
    pub incarnation: Incarnation,
    /// Availability zone from the settings.
    pub zone: Zone,
    /// Revision of the configuration document in force.
    pub revision: watch::Receiver<Revision>,
}

impl Identity {
    /// First frame of a connection, with the revision in force now.
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

/// Id of a connection, unique within one run of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Session(u64);

impl Session {
    /// Allocates an id that no other connection has.
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

/// Remote end of a connection.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Id of the connection.
    pub session: Session,
    /// First frame that the peer sent.
    pub hello: Hello,
}

/// Queues frames for the task that writes to a connection.
///
/// The queue is unbounded. Its length is limited by other means: an agent sends response bytes only
/// as far as it has been granted credit (flow control), and admission control limits the requests
/// that an entry sends to agents.
#[derive(Clone, Debug)]
pub struct Outbox {
    queue: mpsc::UnboundedSender<WriterItem>,
}

/// Element of the queue of a writer task.
#[expect(
    clippy::large_enum_variant,
    reason = "nearly all items are frames, and boxing would allocate for each"
)]
#[derive(Clone, Debug)]
pub enum WriterItem {
    /// Write a frame.
    Frame(Frame),
    /// Close the connection once all items queued before are written.
    Close,
}

impl Outbox {
    /// Creates a queue and returns both ends.
    #[must_use]
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<WriterItem>) {
        let (queue, receiver) = mpsc::unbounded_channel();
        (Self { queue }, receiver)
    }

    /// Queues a frame. Drops it if the connection is closed, which
    /// [`ConnectionHandler::on_close`] reports.
    pub fn send(&self, frame: Frame) {
        let _queued = self.try_send(frame);
    }

    /// Queues a frame. Returns `false` if the connection is closed. A frame that is queued after
    /// [`Outbox::close`] is never written, even if this returns `true`.
    #[must_use]
    pub fn try_send(&self, frame: Frame) -> bool {
        self.queue.send(WriterItem::Frame(frame)).is_ok()
    }

    /// Closes the connection once all frames queued so far are written.
    pub fn close(&self) {
        // Fails only if the connection is already closed.
        let _closed = self.queue.send(WriterItem::Close);
    }
}

/// Handles the events of connections.
pub trait ConnectionHandler {
    /// A connection was opened and the peer's `Hello` was received.
    fn on_open(&self, peer: &Peer, outbox: &Outbox);

    /// A frame after the `Hello` was received. Responses to it go to `outbox`.
    fn on_frame(&self, peer: &Peer, frame: Frame, outbox: &Outbox);

    /// The connection was closed. No further call is made for it.
    fn on_close(&self, peer: &Peer);
}
