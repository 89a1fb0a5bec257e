use std::{
    fmt,
    str::FromStr,
    time::{Duration, Instant},
};

use super::{ByCost, Reject};
use crate::{
    id::{Caller, Route, Service},
    unit::{Tokens, as_f64},
};

/// Longest period after which a rejected client is asked to return, as a fraction of the time to its
/// deadline, so that enough time is left to serve it then.
const RETRY_AFTER_FRACTION_MAX: f64 = 0.3;

/// What happens when a service has too little capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Mode {
    /// Rejects requests that are not expected to be answered before their deadline.
    #[default]
    Reject,
    /// Delays or rejects the requests that cost clients least.
    ByCost,
}

impl Mode {
    /// All modes and their names in the settings.
    pub const NAMES: [(&'static str, Self); 2] =
        [("reject", Self::Reject), ("by-cost", Self::ByCost)];
}

impl fmt::Display for Mode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Reject => "reject",
            Self::ByCost => "by-cost",
        })
    }
}

impl FromStr for Mode {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let known = Self::NAMES.iter().find(|(name, _)| *name == text);
        known
            .map(|(_, mode)| *mode)
            .ok_or_else(|| format!("unknown overload mode {text:?}; use reject or by-cost"))
    }
}

/// Creates the policy of a mode.
#[must_use]
pub fn new(mode: Mode) -> Box<dyn Policy> {
    match mode {
        Mode::Reject => Box::new(Reject::default()),
        Mode::ByCost => Box::new(ByCost::default()),
    }
}

/// The properties of a request that decide about its delay or rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// Service that runs it.
    pub service: &'a Service,
    /// Route, which is the kind of request; `None` if it is not known.
    pub route: Option<&'a Route>,
    /// Customer, if customers are configured.
    pub customer: Option<&'a Caller>,
    /// Configured priority rank, 0 is the most urgent.
    pub rank: u8,
    /// Latency up to which the request counts as in time.
    pub latency_target: Duration,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Prompt length, 0 for a plain service.
    pub prompt: Tokens,
    /// Prompt tokens that are not in a prefix which other requests share.
    pub own_prompt: Tokens,
    /// Limit of the output tokens.
    pub max_output: Tokens,
    /// Whether this is its first attempt. Later ones may continue work that is half done, so they are
    /// never rejected.
    pub is_first: bool,
}

impl Request<'_> {
    /// Time until the latency target.
    #[must_use]
    pub const fn time_to_target(&self) -> Duration {
        self.latency_target.saturating_sub(self.waited)
    }

    /// Tokens to prefill if the shared prefix is cached.
    pub(super) fn prefill(&self) -> f64 {
        as_f64(self.own_prompt.get()).max(1.0)
    }

    /// Tokens to prefill and to generate.
    pub(super) fn work(&self) -> f64 {
        self.prefill() + as_f64(self.max_output.get())
    }

    /// The longest time after which the client may be asked to return.
    fn longest_return(&self) -> Duration {
        self.remaining.mul_f64(RETRY_AFTER_FRACTION_MAX)
    }

    /// Rejects the request until the time by which its answer would be too late has passed.
    pub(super) fn reject(&self, reason: Reason, too_late_by: Duration) -> Verdict {
        let retry_after = too_late_by.min(self.longest_return());
        Verdict::Reject(Rejection {
            reason,
            retry_after,
        })
    }
}

/// What a request is expected to meet at the best endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outlook {
    /// Rank at the engines that the forecast holds for.
    pub rank: u8,
    /// Expected time until the answer begins; zero for a plain service.
    pub forecast: Duration,
    /// Part of the forecast in which requests before this one are processed.
    pub queueing: Duration,
}

/// The decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It runs at the rank of the outlook.
    Run,
    /// It is to be placed at this less urgent rank, and judged again by its outlook there.
    GiveWay(u8),
    /// It does not run.
    Reject(Rejection),
}

/// The rejection of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why it is rejected.
    pub reason: Reason,
    /// When there is expected to be room.
    pub retry_after: Duration,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No answer is expected before the deadline.
    Deadline,
    /// It can only be late, and takes the place of more valuable requests.
    Displaced,
    /// It can only be late, and its customer has used more than a fair share.
    Share,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Deadline => "deadline",
            Self::Displaced => "displaced",
            Self::Share => "share",
        })
    }
}

/// Decides about the requests of a process, without I/O or a clock of its own.
pub trait Policy: fmt::Debug + Send {
    /// Records a new request.
    fn record(&mut self, request: &Request<'_>, now: Instant);

    /// Records prompt tokens that the endpoints of a service have processed for this process.
    fn record_prefill(&mut self, service: &Service, tokens: Tokens, now: Instant);

    /// Records whether an endpoint began to answer a request that was to run, or kept it waiting until
    /// it was given up.
    fn record_ending(&mut self, request: &Request<'_>, served: bool, now: Instant);

    /// The rank of a request at the engines, 0 to 9, if it is expected to be in time.
    fn rank(&self, request: &Request<'_>, now: Instant) -> u8;

    /// Decides about a request, given what it is expected to meet.
    fn decide(&mut self, request: &Request<'_>, outlook: Outlook, now: Instant) -> Verdict;
}
