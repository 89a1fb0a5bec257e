//! One request of a caller, from its arrival to the end of its answer.
//!
//! [`start`] chooses an endpoint, sends the request there, and repeats it elsewhere only if that is
//! safe: if it certainly has not run, or if its route says that it may run again. A stream that
//! breaks is continued at another endpoint after its last complete event, if its route allows that.

mod event;
mod exchange;
mod imp;
mod record;
mod stream;
#[cfg(test)]
mod tests;

pub use event::{EventId, Splitter};
pub use exchange::{Ports, start};
pub use imp::{
    Answer, Cache, Call, Failure, Generation, Handle, Job, Reply, Step, Upstream, Verdict,
};

pub use crate::error::Result;
