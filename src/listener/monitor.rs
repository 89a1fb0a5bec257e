use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use pin_project_lite::pin_project;
use tokio::{sync::mpsc, task, time};

use super::{
    Limits,
    idle::{Eviction, Id, Phase, Table},
    unread::Ahead,
};
use crate::{
    clock::Shared,
    memory::{Pool, Reservation},
};

/// Interval at which a connection without a request reports that its caller still reads.
const WRITE_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Orders to close one connection that may wait until it handles them.
const EVICTIONS_MAX: usize = 1;

/// What a connection tells the task that decides when it is closed.
#[derive(Debug)]
enum Event {
    Opened(mpsc::Sender<Eviction>, Instant),
    Changed(Phase, Instant),
    Closed,
}

/// Handle of the task that closes idle connections of one thread. The task ends with the last handle and
/// connection.
#[derive(Clone, Debug)]
pub(super) struct Monitor {
    events: mpsc::UnboundedSender<(Id, Event)>,
    last: Rc<Cell<Id>>,
    clock: Shared,
    /// Counts the bytes that connections hold.
    pool: Pool,
}

/// Starts the task on this thread.
pub(super) fn spawn(
    connections_max: usize,
    head_timeout: Duration,
    limits: Arc<dyn Limits>,
    clock: Shared,
    pool: Pool,
) -> Monitor {
    let (events, receiver) = mpsc::unbounded_channel();
    let table = Table::new(connections_max, head_timeout);
    task::spawn_local(run(table, receiver, limits, Arc::clone(&clock)));
    Monitor {
        events,
        last: Rc::default(),
        clock,
        pool,
    }
}

async fn run(
    mut table: Table,
    mut events: mpsc::UnboundedReceiver<(Id, Event)>,
    limits: Arc<dyn Limits>,
    clock: Shared,
) {
    let mut connections = HashMap::new();
    loop {
        let due = table.next_due();
        let event = tokio::select! {
            event = events.recv() => match event {
                Some(event) => Some(event),
                None => return,
            },
            () = sleep_until(due) => None,
        };
        let eviction = match event {
            Some((id, Event::Opened(sender, since))) => {
                connections.insert(id, sender);
                table.open(id, since, limits.idle_timeout())
            }
            Some((id, Event::Changed(phase, since))) => {
                table.change(id, phase, since, limits.idle_timeout());
                None
            }
            Some((id, Event::Closed)) => {
                connections.remove(&id);
                table.remove(id);
                None
            }
            None => table.take_due(clock.now(), limits.idle_timeout()),
        };
        let Some(eviction) = eviction else {
            continue;
        };
        let sender = connections.get(&eviction.id);
        if sender.is_some_and(|sender| sender.try_send(eviction).is_err()) {
            log::debug!(connection:% = eviction.id; "connection ended before it was closed");
        }
    }
}

async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

impl Monitor {
    /// An empty reservation for bytes of the connection of a caller.
    pub(super) fn reserve(&self, caller: SocketAddr) -> Reservation {
        self.pool.reserve(caller)
    }

    /// Adds a connection. Returns what it reports to, and the orders to close it.
    pub(super) fn add(&self, caller: SocketAddr) -> (Activity, mpsc::Receiver<Eviction>) {
        let id = self.last.get().next();
        self.last.set(id);
        let (sender, evictions) = mpsc::channel(EVICTIONS_MAX);
        let now = self.clock.now();
        let activity = Activity(Rc::new(State {
            id,
            phase: Cell::new(Phase::Idle),
            since: Cell::new(now),
            ahead: RefCell::new(Ahead::new(self.reserve(caller))),
            awaits_payload: Cell::new(false),
            reader: Cell::new(None),
            discarded: Cell::new(false),
            events: self.events.clone(),
            clock: Arc::clone(&self.clock),
        }));
        activity.0.send(Event::Opened(sender, now));
        (activity, evictions)
    }
}

struct State {
    id: Id,
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// What was received beyond the request in progress.
    ahead: RefCell<Ahead>,
    /// Whether the request in progress waits for a part of its body.
    awaits_payload: Cell<bool>,
    /// Woken once the connection may be read again.
    reader: Cell<Option<Waker>>,
    /// Whether what the caller has not received is discarded at the end of the connection.
    discarded: Cell<bool>,
    events: mpsc::UnboundedSender<(Id, Event)>,
    clock: Shared,
}

impl State {
    fn send(&self, event: Event) {
        if self.events.send((self.id, event)).is_err() {
            log::debug!(connection:% = self.id; "idle connections are no longer closed");
        }
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    fn change(&self, phase: Phase) {
        let now = self.clock.now();
        self.phase.set(phase);
        self.since.set(now);
        self.send(Event::Changed(phase, now));
    }
}

/// What a connection is used for, shared by the connection and its request.
#[derive(Clone)]
pub(super) struct Activity(Rc<State>);

impl fmt::Debug for Activity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Activity")
            .field("id", &self.0.id)
            .field("phase", &self.0.phase.get())
            .finish_non_exhaustive()
    }
}

impl Activity {
    /// Whether more may be read. If not, the task is woken once it may.
    pub(super) fn may_read(&self, cx: &Context<'_>) -> bool {
        let mut ahead = self.0.ahead.borrow_mut();
        let phase = self.0.phase.get();
        if phase == Phase::Idle {
            ahead.clear();
            return true;
        }
        let in_progress = matches!(phase, Phase::Uploading | Phase::Serving);
        if in_progress && !self.0.awaits_payload.get() {
            let may_read = ahead.may_read();
            if !may_read {
                self.0.reader.set(Some(cx.waker().clone()));
            }
            return may_read;
        }
        let pauses = ahead.pauses();
        if pauses {
            cx.waker().wake_by_ref();
        }
        !pauses
    }

    /// Records that bytes have arrived.
    pub(super) fn on_read(&self, size: usize) {
        if self.0.phase.get() == Phase::Idle {
            self.0.change(Phase::Receiving);
        }
        self.0.ahead.borrow_mut().add(size);
    }

    /// Records whether the request in progress waits for a part of its body.
    pub(super) fn await_payload(&self, awaits: bool) {
        self.0.awaits_payload.set(awaits);
        if awaits {
            self.0.wake_reader();
        }
    }

    /// Records that the request in progress has a body, until [`end_upload`](Self::end_upload).
    pub(super) fn begin_upload(&self) {
        self.0.change(Phase::Uploading);
    }

    /// Records that the body of the request in progress is complete, or is not read any more.
    pub(super) fn end_upload(&self) {
        if self.0.phase.get() == Phase::Uploading {
            self.0.change(Phase::Serving);
        }
    }

    /// Records that a part of the body of the request in progress was taken.
    pub(super) fn on_payload(&self, size: usize) {
        self.0.ahead.borrow_mut().take(size);
    }

    /// Makes the end of the connection discard what the caller has not received.
    pub(super) fn discard(&self) {
        self.0.discarded.set(true);
    }

    pub(super) fn is_discarded(&self) -> bool {
        self.0.discarded.get()
    }

    /// Records that the caller reads the rest of an answer whose request has ended.
    pub(super) fn on_write(&self) {
        let is_due = || self.0.clock.now() >= self.0.since.get() + WRITE_REPORT_INTERVAL;
        if self.0.phase.get() == Phase::Idle && is_due() {
            self.0.change(Phase::Idle);
        }
    }

    /// Records that the head of a request, of about this size, is complete. The request ends when the result
    /// is dropped.
    pub(super) fn begin(&self, head_size: usize) -> Serving {
        self.0.change(Phase::Serving);
        self.0.ahead.borrow_mut().take(head_size);
        Serving(self.clone())
    }

    /// Records the end of the connection.
    pub(super) fn end(&self) {
        self.0.send(Event::Closed);
    }

    /// Whether the phase has not changed since this decision.
    pub(super) fn is_unchanged(&self, eviction: &Eviction) -> bool {
        self.0.since.get() == eviction.since && self.0.phase.get() != Phase::Serving
    }
}

/// A request in progress.
#[derive(Debug)]
pub(super) struct Serving(Activity);

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.0.change(Phase::Idle);
        self.0.0.wake_reader();
    }
}

pin_project! {
    /// The body of an answer, whose request is in progress until it is dropped.
    pub(super) struct Body<B> {
        #[pin]
        inner: B,
        serving: Option<Serving>,
        // Whether the connection is reset if the body fails.
        resets: bool,
    }
}

impl<B> Body<B> {
    pub(super) const fn new(body: B, serving: Option<Serving>, resets: bool) -> Self {
        Self {
            inner: body,
            serving,
            resets,
        }
    }
}

impl<B: MessageBody> MessageBody for Body<B> {
    type Error = B::Error;

    fn size(&self) -> BodySize {
        self.inner.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let this = self.project();
        let part = this.inner.poll_next(cx);
        if let (Poll::Ready(Some(Err(_))), true, Some(serving)) =
            (&part, *this.resets, this.serving)
        {
            serving.0.discard();
        }
        part
    }
}
