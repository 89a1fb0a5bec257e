//! Forwards one request of a caller to an endpoint and relays the response.
//!
//! [`start`] chooses an endpoint, sends the request to it, and retries at another endpoint only if
//! that is safe: the request has certainly not run, or its route allows it to run more than once.
//! A stream that breaks is resumed at another endpoint after its last complete event if the route
//! allows that.

mod begin;
mod event;
mod exchange;
mod imp;
mod record;
mod stream;
#[cfg(test)]
mod tests;

pub use event::{EventId, EventSplitter};
pub use exchange::{Ports, start};
pub use imp::{
    Attempt, Call, EndpointResponse, Execution, Generation, KvCache, KvHandle, Response, SendError,
    Step, Upstream,
};

pub use crate::error::Result;
