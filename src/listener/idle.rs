//! Decides which connections of callers are closed: those that were idle for too long, and the longest
//! idle ones once no others could be accepted.

use std::{
    collections::{BTreeSet, HashMap},
    fmt,
    str::FromStr,
    time::{Duration, Instant},
};

use super::Result;
use crate::error::{Error, Kind};

/// Share of the limit of connections that is kept free by closing idle ones, as its reciprocal.
const RESERVE_DIVISOR: usize = 16;

/// Idle time below which a connection is not closed in favor of a new one: its next request may be on its
/// way.
const REPLACED_IDLE_MIN: Duration = Duration::from_millis(100);

/// Time after which a connection whose head or body is not complete is closed while no further connections can
/// be accepted, the longest first. Callers send a head within 3 s.
const REPLACED_RECEIVING_MIN: Duration = Duration::from_secs(3);

/// Connections below the limit from which on none may be accepted any more.
const FULL_MARGIN: usize = 1;

/// Number of a connection within one thread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Id(u64);

impl Id {
    /// The next number.
    pub(super) const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Id {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse()
            .map(Self)
            .map_err(|_error| Error::new(Kind::BadRequest, "invalid number of a connection"))
    }
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No request is in progress.
    Idle,
    /// Bytes have arrived, but no complete head of a request.
    Receiving,
    /// The head of a request is complete, and its body is awaited.
    Uploading,
    /// A request is in progress, until its answer is complete.
    Serving,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// It was idle for longer than the limit.
    Idle,
    /// The head of a request was not received in time.
    Receiving,
    /// It was the longest idle one while few further connections could be accepted.
    Full,
}

impl Reason {
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Receiving => "receiving",
            Self::Full => "full",
        }
    }
}

/// A decision to close a connection, unless it has changed since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Eviction {
    pub(super) id: Id,
    pub(super) reason: Reason,
    /// The phase that it is in.
    pub(super) phase: Phase,
    /// When its phase last changed.
    pub(super) since: Instant,
}

#[derive(Clone, Copy, Debug)]
struct State {
    phase: Phase,
    since: Instant,
    /// When it is closed; `None` while a request is in progress, and while it is being closed.
    due: Option<Instant>,
    /// Whether it was decided to close it, unless it has changed since.
    closing: bool,
}

impl State {
    /// From when on it may be closed for another one, unless it is being closed.
    fn replaceable_from(&self) -> Option<Instant> {
        match self.phase {
            _ if self.closing => None,
            Phase::Idle => Some(self.since + REPLACED_IDLE_MIN),
            Phase::Receiving | Phase::Uploading => Some(self.since + REPLACED_RECEIVING_MIN),
            Phase::Serving => None,
        }
    }
}

/// The open connections of one thread, and when each is closed.
#[derive(Debug)]
pub(super) struct Table {
    states: HashMap<Id, State>,
    /// The connections that are closed at some time, in this order.
    due: BTreeSet<(Instant, Id)>,
    /// The connections that are closed for others once none can be accepted, by the time from which on they
    /// may be.
    replaceable: BTreeSet<(Instant, Id)>,
    /// Number of connections that are being closed.
    closing: usize,
    /// Number of connections from which on none may be accepted any more.
    full_from: usize,
    /// Number of connections above which idle ones are closed.
    idle_above: usize,
    head_timeout: Duration,
}

impl Table {
    /// Creates a table for a thread that accepts up to `connections_max` connections.
    pub(super) fn new(connections_max: usize, head_timeout: Duration) -> Self {
        Self {
            states: HashMap::new(),
            due: BTreeSet::new(),
            replaceable: BTreeSet::new(),
            closing: 0,
            full_from: connections_max.saturating_sub(FULL_MARGIN).max(1),
            idle_above: connections_max - connections_max.div_ceil(RESERVE_DIVISOR),
            head_timeout,
        }
    }

    /// Adds a connection. Returns the longest idle one if few further connections could be accepted.
    pub(super) fn open(
        &mut self,
        id: Id,
        now: Instant,
        idle_timeout: Duration,
    ) -> Option<Eviction> {
        let state = State {
            phase: Phase::Idle,
            since: now,
            due: None,
            closing: false,
        };
        self.states.insert(id, state);
        self.change(id, Phase::Idle, now, idle_timeout);
        if self.states.len() <= self.idle_above {
            return None;
        }
        let mut due = self.due.iter().map(|(_, id)| (*id, self.states[id]));
        let (longest, state) = due.find(|(_, state)| state.phase == Phase::Idle)?;
        let may_replace = now.saturating_duration_since(state.since) >= REPLACED_IDLE_MIN;
        may_replace.then(|| self.close(longest, Reason::Full))
    }

    /// Records the phase of a connection, unless it was removed.
    pub(super) fn change(&mut self, id: Id, phase: Phase, now: Instant, idle_timeout: Duration) {
        let Some(state) = self.states.get_mut(&id) else {
            return;
        };
        let due = match phase {
            Phase::Idle => Some(now + idle_timeout),
            Phase::Receiving => Some(now + self.head_timeout),
            Phase::Uploading | Phase::Serving => None,
        };
        let former = std::mem::replace(
            state,
            State {
                phase,
                since: now,
                due,
                closing: false,
            },
        );
        self.closing -= usize::from(former.closing);
        if let Some(due) = former.due {
            self.due.remove(&(due, id));
        }
        if let Some(from) = former.replaceable_from() {
            self.replaceable.remove(&(from, id));
        }
        self.due.extend(due.map(|due| (due, id)));
        let from = self.states[&id].replaceable_from();
        self.replaceable.extend(from.map(|from| (from, id)));
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&mut self, id: Id) {
        let Some(state) = self.states.remove(&id) else {
            return;
        };
        self.closing -= usize::from(state.closing);
        if let Some(due) = state.due {
            self.due.remove(&(due, id));
        }
        if let Some(from) = state.replaceable_from() {
            self.replaceable.remove(&(from, id));
        }
    }

    /// When [`take_due`](Self::take_due) has to be called next.
    pub(super) fn next_due(&self) -> Option<Instant> {
        let due = self.due.first().map(|&(due, _)| due);
        let replaced = self.next_replaceable().map(|(from, _)| from);
        due.into_iter().chain(replaced).min()
    }

    /// The next connection to close for others, and when, while none can be accepted.
    fn next_replaceable(&self) -> Option<(Instant, Id)> {
        let is_full = self.states.len() - self.closing >= self.full_from;
        self.replaceable.first().copied().filter(|_| is_full)
    }

    /// Returns a connection to close now, if there is one. A limit that was raised since a connection
    /// became idle applies to it; one that was lowered does not, since its caller may still use it.
    pub(super) fn take_due(&mut self, now: Instant, idle_timeout: Duration) -> Option<Eviction> {
        if let Some((_, id)) = self.next_replaceable().filter(|(from, _)| *from <= now) {
            return Some(self.close(id, Reason::Full));
        }
        loop {
            let &(due, id) = self.due.first().filter(|(due, _)| *due <= now)?;
            let state = self.states.get_mut(&id)?;
            let reason = match state.phase {
                Phase::Idle if state.since + idle_timeout > now => {
                    let later = state.since + idle_timeout;
                    state.due = Some(later);
                    self.due.remove(&(due, id));
                    self.due.insert((later, id));
                    continue;
                }
                Phase::Idle | Phase::Uploading | Phase::Serving => Reason::Idle,
                Phase::Receiving => Reason::Receiving,
            };
            return Some(self.close(id, reason));
        }
    }

    /// Decides to close a connection, once.
    fn close(&mut self, id: Id, reason: Reason) -> Eviction {
        let state = self.states.get_mut(&id).expect("an open connection");
        if let Some(from) = state.replaceable_from() {
            self.replaceable.remove(&(from, id));
        }
        if let Some(due) = state.due.take() {
            self.due.remove(&(due, id));
        }
        state.closing = true;
        self.closing += 1;
        Eviction {
            id,
            reason,
            phase: state.phase,
            since: state.since,
        }
    }
}
