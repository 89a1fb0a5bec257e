//! Load generator: a seeded mix of requests that arrive whether or not earlier ones have ended.
//!
//! [`Plan`] draws the arrivals; [`run`] sends them and checks that each answer is whole and belongs
//! to its prompt; [`Summary`] gives the figures. Waiting in the client counts as latency, since
//! every time is measured from the planned arrival.

mod client;
mod overhead;
mod plan;
mod run;
mod sse;
mod summary;
#[cfg(test)]
mod tests;

pub use client::Target;
pub use overhead::{Overhead, Throughput, overhead, stream};
pub use plan::{Arrival, Kind, Mix, Plan, Profile};
pub use run::{Config, run};
pub use summary::{Figures, Outcome, Quantiles, Sample, Summary};

/// Result of a run.
pub type Result<T> = std::io::Result<T>;
