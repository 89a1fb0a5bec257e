use std::fmt;

use mulberrymill::{
    admission::{self, Shares},
    routing::{self, Balanced},
};
use serde::Serialize;

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
}

impl Policies {
    /// All, in the order of the table.
    pub const ALL: [Self; 3] = [Self::RoundRobin, Self::LeastInFlight, Self::Default];

    pub(super) fn admission(self) -> Box<dyn admission::Policy> {
        match self {
            Self::RoundRobin => Box::new(admission::Fifo),
            Self::LeastInFlight => Box::new(admission::StrictPriority),
            Self::Default => Box::new(Shares),
        }
    }

    pub(super) fn routing(self) -> Box<dyn routing::Policy> {
        match self {
            Self::RoundRobin => Box::new(routing::RoundRobin::default()),
            Self::LeastInFlight => Box::new(routing::LeastInFlight),
            Self::Default => Box::new(Balanced::default()),
        }
    }
}

impl fmt::Display for Policies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::RoundRobin => "round robin, FIFO",
            Self::LeastInFlight => "least in-flight, strict priority",
            Self::Default => "default",
        })
    }
}
