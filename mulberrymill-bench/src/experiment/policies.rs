use std::fmt;

use mulberrymill::{
    admission::{self, Adaptive, QUEUEING, Shares},
    routing::{self, Balanced, Separate},
};
use serde::Serialize;

/// Requests that a baseline sends to a pool per slot and entry: the first default of the admission controller.
const BASELINE_QUEUEING: f64 = 1.25;

/// Policies that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policies {
    /// Round robin, first in first out.
    RoundRobin,
    /// Least in-flight, strict priority.
    LeastInFlight,
    /// The defaults.
    Default,
    /// Adaptive admission and separate engines for long prompts, proposed as new defaults.
    Proposed,
}

impl Policies {
    /// All, in the order of the table.
    pub const ALL: [Self; 4] = [
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::Default,
        Self::Proposed,
    ];

    /// Requests that an entry sends to a pool per slot.
    pub(super) const fn queueing(self) -> f64 {
        match self {
            Self::RoundRobin | Self::LeastInFlight => BASELINE_QUEUEING,
            Self::Default => QUEUEING,
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
            Self::Default => Box::new(Balanced::default()),
            Self::Proposed => Box::new(Separate::default()),
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
