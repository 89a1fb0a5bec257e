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
    /// When its phase last changed.
    pub(super) since: Instant,
}

#[derive(Clone, Copy, Debug)]
struct State {
    phase: Phase,
    since: Instant,
    /// When it is closed; `None` while it serves a request or is being closed.
    due: Option<Instant>,
}

/// The open connections of one thread, and when each is closed.
#[derive(Debug)]
pub(super) struct Table {
    states: HashMap<Id, State>,
    /// The connections that are closed at some time, in this order.
    due: BTreeSet<(Instant, Id)>,
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
            Phase::Serving => None,
        };
        let former = std::mem::replace(
            state,
            State {
                phase,
                since: now,
                due,
            },
        );
        if let Some(former) = former.due {
            self.due.remove(&(former, id));
        }
        self.due.extend(due.map(|due| (due, id)));
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&mut self, id: Id) {
        if let Some(due) = self.states.remove(&id).and_then(|state| state.due) {
            self.due.remove(&(due, id));
        }
    }

    /// When [`take_due`](Self::take_due) has to be called next.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.due.first().map(|&(due, _)| due)
    }

    /// Returns a connection to close now, if there is one. A limit that was raised since a connection
    /// became idle applies to it; one that was lowered does not, since its caller may still use it.
    pub(super) fn take_due(&mut self, now: Instant, idle_timeout: Duration) -> Option<Eviction> {
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
                Phase::Idle | Phase::Serving => Reason::Idle,
                Phase::Receiving => Reason::Receiving,
            };
            return Some(self.close(id, reason));
        }
    }

    /// Decides to close a connection, once.
    fn close(&mut self, id: Id, reason: Reason) -> Eviction {
        let state = self.states.get_mut(&id).expect("an open connection");
        if let Some(due) = state.due.take() {
            self.due.remove(&(due, id));
        }
        Eviction {
            id,
            reason,
            since: state.since,
        }
    }
}
