use std::fmt;

use mulberrymill::{
    admission::{self, Adaptive, DEFAULT_QUEUEING_FACTOR, Shares},
    routing::{self, Isolation, PowerOfTwo},
};
use serde::Serialize;

/// Requests per slot that an entry sends to a pool under a baseline policy: the former default of
/// the admission controller.
const BASELINE_QUEUEING: f64 = 1.25;

/// Combination of an admission and a routing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policies {
    /// Baseline: FIFO admission, round-robin routing.
    RoundRobin,
    /// Baseline: strict-priority admission, least-in-flight routing.
    LeastInFlight,
    /// Defaults of the gateway.
    Default,
    /// Proposed new defaults: adaptive admission, separate engines for long prompts.
    Proposed,
}

impl Policies {
    /// All combinations, in the order of the result tables.
    pub const ALL: [Self; 4] = [
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::Default,
        Self::Proposed,
    ];

    /// Requests per slot that an entry sends to a pool.
    pub(super) const fn queueing(self) -> f64 {
        match self {
            Self::RoundRobin | Self::LeastInFlight => BASELINE_QUEUEING,
            Self::Default => DEFAULT_QUEUEING_FACTOR,
            Self::Proposed => 1.0,
        }
    }

    pub(super) fn admission(self) -> Box<dyn admission::Policy> {
        match self {
            Self::RoundRobin => Box::new(admission::Fifo),
            Self::LeastInFlight => Box::new(admission::StrictPriority),
            Self::Default => Box::new(Shares),
            Self::Proposed => Box::new(Adaptive),
        }
    }

    pub(super) fn routing(self) -> Box<dyn routing::Policy> {
        match self {
            Self::RoundRobin => Box::new(routing::RoundRobin::default()),
            Self::LeastInFlight => Box::new(routing::LeastInFlight),
            Self::Default => Box::new(PowerOfTwo::default()),
            Self::Proposed => Box::new(Isolation::default()),
        }
    }
}

impl fmt::Display for Policies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::RoundRobin => "round robin, FIFO",
            Self::LeastInFlight => "least in-flight, strict priority",
            Self::Default => "default",
            Self::Proposed => "proposed",
        })
    }
}
