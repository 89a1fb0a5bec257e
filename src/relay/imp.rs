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

/// A client request with everything that admission, routing and its attempts need.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id shared by all attempts of the request; logged as `request`.
    pub id: id::Request,
    /// Authenticated caller, whose limits apply.
    pub caller: Caller,
    /// Request class, which sets the targets and labels the metrics.
    pub class: Class,
    /// Scheduling priority at the engine; lower values are more urgent.
    pub priority: u8,
    /// Model or service to run, which determines the candidate endpoints.
    pub pool: Pool,
    /// Estimated cost, used by admission and routing.
    pub cost: Cost,
    /// Hashes of the leading prompt blocks, for prefix-aware routing.
    pub prefix: Prefix,
    /// Generation or service call to run.
    pub work: Work,
    /// Admission deadline: a request that is still queued at this time is rejected.
    pub admission_deadline: Instant,
    /// Deadline of the complete response, including retries.
    pub response_deadline: Instant,
    /// Latency targets of the class.
    pub target: LatencyTargets,
}

/// Latency targets, measured from the start of the exchange. A response that misses one is still
/// delivered, but counts as late.
#[derive(Clone, Copy, Debug)]
pub struct LatencyTargets {
    /// Longest time to the first chunk.
    pub first_part: Duration,
    /// Longest time to the end of the response.
    pub whole_response: Duration,
}

/// An item of the response stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The next bytes of the body.
    Data(Vec<u8>),
    /// The response is complete; nothing follows.
    End(ResponseSummary),
}

/// Metadata of a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseSummary {
    /// Finish reason of a generation, or media type of a service response.
    pub reason: String,
    /// HTTP status of a service response; always 200 for a generation.
    pub status: u16,
    /// Prompt tokens; 0 for a service.
    pub prompt_tokens: Tokens,
    /// Generated tokens; 0 for a service.
    pub generated_tokens: Tokens,
    /// Length of the body across all attempts.
    pub length: Bytes,
}

/// Recipients of the messages that a relay sends.
#[derive(Clone)]
pub struct Ports {
    /// Queues a request for admission.
    pub offer: Recipient<admission::Offer>,
    /// Removes a request from the admission queue.
    pub withdraw_offer: Recipient<admission::ReleaseSlot>,
    /// Selects the endpoint of an attempt.
    pub choose: Recipient<routing::Choose>,
    /// Draws a retry from the retry budget.
    pub may_retry: Recipient<routing::MayRetry>,
    /// Sends an attempt to the agent of an endpoint.
    pub submit: Recipient<link::Submit>,
    /// Allows an agent to send further bytes of a response.
    pub credit: Recipient<link::Credit>,
    /// Cancels an attempt at its agent.
    pub cancel: Recipient<link::Cancel>,
    /// Counts the outcome of a request.
    pub tally: Recipient<operator::Tally>,
}

impl fmt::Debug for Ports {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ports")
    }
}

/// Creates exchanges. Clones share the same recipients.
#[derive(Clone, Debug)]
pub struct Relay {
    pub(super) ports: Arc<Ports>,
    pub(super) clock: clock::Shared,
}

impl Relay {
    /// Creates a relay that sends its messages to `ports`.
    #[must_use]
    pub fn new(ports: Ports, clock: clock::Shared) -> Self {
        Self {
            ports: Arc::new(ports),
            clock,
        }
    }

    /// Creates the exchange of a request. Nothing is sent before [`Exchange::next`] is polled.
    #[must_use]
    pub fn new_exchange(&self, request: Request) -> Exchange {
        Exchange::new(self.clone(), request)
    }
}
