use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::Recipient;

use super::Exchange;
use crate::{
    admission, clock,
    id::{self, Caller, Class},
    link, operator,
    routing::{self, Cost, Pool, Prefix},
    unit::{Bytes, Tokens},
    wire::Work,
};

/// A request of a caller, as the relay needs it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: id::Request,
    /// Its caller.
    pub caller: Caller,
    /// Its class.
    pub class: Class,
    /// Priority at the engine: lower is more urgent.
    pub priority: u8,
    /// The endpoints that can serve it.
    pub pool: Pool,
    /// Its expected size.
    pub cost: Cost,
    /// Leading blocks of its prompt.
    pub prefix: Prefix,
    /// What to run.
    pub work: Work,
    /// Latest time to start it.
    pub start_by: Instant,
    /// Latest time to end it.
    pub end_by: Instant,
    /// Targets of its class.
    pub target: Target,
}

/// When an answer counts as in time.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Time to the first part.
    pub first: Duration,
    /// Time to the end.
    pub whole: Duration,
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// The next bytes.
    Data(Vec<u8>),
    /// The answer is whole.
    End(Summary),
}

/// The end of a whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Why it ended, or the media type of a service's answer.
    pub reason: String,
    /// HTTP status of a service; 200 for an engine.
    pub status: u16,
    /// Prompt tokens.
    pub input: Tokens,
    /// Generated tokens.
    pub output: Tokens,
    /// Length of the answer.
    pub length: Bytes,
}

/// The actors that a relay talks to.
#[derive(Clone)]
pub struct Ports {
    /// Admits requests.
    pub offer: Recipient<admission::Offer>,
    /// Hears of requests that stop waiting for admission.
    pub leave: Recipient<admission::Finish>,
    /// Chooses endpoints.
    pub choose: Recipient<routing::Choose>,
    /// Says whether a failed request may be tried again.
    pub may_retry: Recipient<routing::MayRetry>,
    /// Sends attempts.
    pub submit: Recipient<link::Submit>,
    /// Grants credit.
    pub credit: Recipient<link::Credit>,
    /// Withdraws attempts.
    pub cancel: Recipient<link::Cancel>,
    /// Counts how requests ended.
    pub tally: Recipient<operator::Tally>,
}

impl fmt::Debug for Ports {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ports")
    }
}

/// Starts exchanges. Clones share the same actors.
#[derive(Clone, Debug)]
pub struct Relay {
    pub(super) ports: Arc<Ports>,
    pub(super) clock: clock::Shared,
}

impl Relay {
    /// A relay over running actors.
    #[must_use]
    pub fn new(ports: Ports, clock: clock::Shared) -> Self {
        Self {
            ports: Arc::new(ports),
            clock,
        }
    }

    /// Begins a request. Nothing happens until the exchange is polled.
    #[must_use]
    pub fn begin(&self, request: Request) -> Exchange {
        Exchange::new(self.clone(), request)
    }
}
