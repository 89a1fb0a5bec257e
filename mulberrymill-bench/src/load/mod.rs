//! Open-loop load generator with a seeded mix of requests.
//!
//! [`Plan`] generates the arrivals, which do not wait for earlier requests. [`run`] sends them and
//! verifies that each answer is complete and belongs to its prompt. [`Summary`] aggregates the
//! results. Latencies are measured from the planned arrival, so they include delays in the client.

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

/// Result whose error says that a run could not start or its executions could not be read.
pub type Result<T> = std::io::Result<T>;
