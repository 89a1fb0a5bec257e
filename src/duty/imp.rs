use std::{
    collections::BTreeMap,
    fmt,
    str::FromStr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::LocalBoxFuture;

use super::Result;
use crate::{
    error::{Error, Kind},
    id::{Caller, Fence, Window},
    store::Era,
};

/// Bits of a token that hold the revision.
const REVISION_BITS: u32 = 40;
/// Bits of a token that hold the era. Together with the revision they fit a JSON number exactly.
const ERA_BITS: u32 = 13;

/// Number that increases with each term, also if a restored store hands out revisions again: the era
/// of the store in the upper part, the revision at which the holder's key was created in the lower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(u64);

impl Token {
    /// Builds the token of a term.
    ///
    /// # Errors
    ///
    /// `Kind::StaleFence` if the era or the revision is too large to be represented.
    pub fn new(era: Era, fence: Fence) -> Result<Self> {
        if era.get() >> ERA_BITS != 0 || fence.get() >> REVISION_BITS != 0 {
            let detail = format!("no token for revision {fence} in era {era}");
            return Err(Error::new(Kind::StaleFence, detail));
        }
        Ok(Self(era.get() << REVISION_BITS | fence.get()))
    }

    /// The number, below 2^53.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Token {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.parse::<u64>().ok();
        let number = number.filter(|number| number >> (ERA_BITS + REVISION_BITS) == 0);
        number
            .map(Self)
            .ok_or_else(|| Error::new(Kind::BadRequest, "invalid fencing token"))
    }
}

/// A call to the platform's API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reports the requests of each customer that began to run in a window.
    Usage {
        /// The window.
        window: Window,
        /// Requests by customer; none is left out.
        counts: Arc<BTreeMap<Caller, u64>>,
    },
}

/// Outcome of a call that was sent, or may have been sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The API has executed the call.
    Accepted,
    /// The API has seen a higher token.
    Superseded,
    /// The API answered that it has not executed the call.
    Refused(String),
    /// No answer was received. The call may still be executed, also after later ones.
    Unknown(String),
}

/// The platform's API.
pub trait Api: fmt::Debug {
    /// Sends a call. Dropping the future cancels what has not been sent yet.
    fn send(&self, token: Token, call: &Call) -> LocalBoxFuture<'static, Answer>;
}

/// Decides from when on a holder may act.
///
/// Where the API checks no tokens, a holder must not act while an earlier one may. The term of an
/// earlier holder ends before its lease expires in the store, except if the store is restored from an
/// older copy: then its lease is gone at once. So a process acts only once it has known the era of the
/// store for the time to live of a lease. For the same time it pauses after a call of an earlier term
/// of its own, so that calls of three terms in a row never come from two processes in turn.
#[derive(Clone, Debug)]
pub struct Schedule {
    lease: Duration,
    tokens_checked: bool,
    era: Option<Era>,
    era_since: Instant,
    last_call: Option<(Token, Instant)>,
    superseded: Option<Token>,
}

impl Schedule {
    /// Starts a process at `now`. `lease` is the time to live of a lease, and `tokens_checked` states
    /// whether the API refuses tokens lower than one that it has seen.
    #[must_use]
    pub const fn new(lease: Duration, tokens_checked: bool, now: Instant) -> Self {
        Self {
            lease,
            tokens_checked,
            era: None,
            era_since: now,
            last_call: None,
            superseded: None,
        }
    }

    /// Notes the era that the store states at `now`.
    pub fn observe_era(&mut self, era: Option<Era>, now: Instant) {
        if self.era != era {
            self.era = era;
            self.era_since = now;
        }
    }

    /// Whether a call with this token may be sent at `now`.
    #[must_use]
    pub fn may_act(&self, token: Token, now: Instant) -> bool {
        if self
            .superseded
            .is_some_and(|superseded| token <= superseded)
        {
            return false;
        }
        if self.tokens_checked {
            return true;
        }
        let last = self.last_call.filter(|(last, _)| *last != token);
        let after_last = last.map(|(_, at)| at + self.lease);
        now >= self.era_since + self.lease && after_last.is_none_or(|earliest| now >= earliest)
    }

    /// Notes that a call with this token may have been sent at `now`.
    pub fn record_call(&mut self, token: Token, now: Instant) {
        self.last_call = Some((token, now));
    }

    /// Notes that the API has seen a higher token.
    pub fn record_superseded(&mut self, token: Token) {
        self.superseded = Some(token);
    }
}
