use std::{
    fmt,
    str::FromStr,
    time::{Duration, Instant},
};

use super::Result;
use crate::{
    error::{Error, Kind},
    unit::Share,
};

/// Longest pause that is granted. An endpoint that is away for longer should leave; a longer value is
/// more likely a mistake, which would cost its capacity for good.
const PAUSE_MAX: Duration = Duration::from_hours(1);
/// Time after a pause in which an endpoint gets a growing share of its requests, so that what has
/// waited at all processes does not come back at once.
const RETURN_PERIOD: Duration = Duration::from_secs(1);
/// Share of its requests that an endpoint gets right after its pause.
const RETURN_SHARE_MIN: f64 = 0.1;

/// The time for which an endpoint wants no requests from this process.
///
/// Parsed from seconds, whole or with a fraction. A negative value, a date or another text is an error:
/// the endpoint is used as if it had said nothing. A value above one hour counts as one hour.
///
/// ```
/// use std::time::Duration;
/// use mulberrymill::notice::Pause;
///
/// let pause: Pause = "1.5".parse()?;
/// assert_eq!(pause.duration(), Duration::from_millis(1_500));
/// assert!("Fri, 04 Dec 2026 23:00:00 GMT".parse::<Pause>().is_err());
/// # Ok::<(), mulberrymill::error::Error>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Pause(Duration);

impl Pause {
    /// Returns the longest of several pauses. Texts that are no pause are ignored.
    pub fn longest<'a>(texts: impl Iterator<Item = &'a str>) -> Option<Self> {
        texts.filter_map(|text| text.parse().ok()).max()
    }

    /// The length of the pause.
    #[must_use]
    pub const fn duration(self) -> Duration {
        self.0
    }
}

impl fmt::Display for Pause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.as_secs_f64())
    }
}

impl FromStr for Pause {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::new(Kind::BadRequest, "a pause is a number of seconds");
        let is_number = |byte: u8| byte.is_ascii_digit() || byte == b'.';
        let text = text.trim();
        if !text.bytes().all(is_number) {
            return Err(invalid());
        }
        let seconds: f64 = text.parse().map_err(|_error| invalid())?;
        let pause = Duration::try_from_secs_f64(seconds).unwrap_or(PAUSE_MAX);
        Ok(Self(pause.min(PAUSE_MAX)))
    }
}

/// What an endpoint says of itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Notice {
    /// Whether it is leaving and must get no new work.
    pub leaving: bool,
    /// How long it wants no requests from this process.
    pub pause: Option<Pause>,
}

impl Notice {
    /// Whether it says nothing.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        !self.leaving && self.pause.is_none()
    }
}

/// Whether an endpoint may get new requests from this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Standing {
    /// It may.
    #[default]
    Open,
    /// Not before its pause is over.
    Paused,
    /// Not any more.
    Leaving,
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Open => "open",
            Self::Paused => "paused",
            Self::Leaving => "leaving",
        })
    }
}

/// What the notices of one run of an endpoint amount to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Closure {
    leaving: bool,
    paused_until: Option<Instant>,
}

impl Closure {
    /// Adds a notice. Of several pauses, the latest end counts.
    pub fn add(&mut self, notice: Notice, now: Instant) {
        self.leaving |= notice.leaving;
        let until = notice.pause.map(|pause| now + pause.duration());
        self.paused_until = self.paused_until.max(until);
    }

    /// Whether the endpoint may get new requests.
    #[must_use]
    pub fn standing(&self, now: Instant) -> Standing {
        if self.leaving {
            Standing::Leaving
        } else if self.opens_in(now).is_some() {
            Standing::Paused
        } else {
            Standing::Open
        }
    }

    /// Time until the pause is over; `None` if there is none, or if the endpoint leaves.
    #[must_use]
    pub fn opens_in(&self, now: Instant) -> Option<Duration> {
        let until = self
            .paused_until
            .filter(|until| !self.leaving && now < *until)?;
        Some(until - now)
    }

    /// Share of its requests that the endpoint may get: zero while it pauses or leaves, and growing to
    /// one after a pause.
    #[must_use]
    pub fn share(&self, now: Instant) -> Share {
        if self.standing(now) != Standing::Open {
            return Share::new(0.0);
        }
        let share = self.paused_until.map_or(1.0, |until| {
            let passed = now.saturating_duration_since(until);
            passed.as_secs_f64() / RETURN_PERIOD.as_secs_f64()
        });
        Share::new(share.clamp(RETURN_SHARE_MIN, 1.0))
    }

    /// Whether it has no effect any more.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        !self.leaving && self.share(now).get() >= 1.0
    }
}
