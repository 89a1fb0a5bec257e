//! Learns what the engines can do from the requests that they serve.
//!
//! [`Model`] holds two properties of each service's engines: how fast they prefill prompts, by stage
//! and by engine, and how close the pauses of their streams come to the longest pause that callers
//! accept. [`Dispatcher`](crate::dispatch::Dispatcher) places requests by the times that follow.
//!
//! The load pattern that this answers is a shift between prompt-heavy and output-heavy traffic: how
//! many prompts decode engines should take over depends on how much faster prefill engines are, and
//! on how much slack the streams have. Both differ between deployments and within a day.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use mulberrymill::{
//!     directory::Stage,
//!     forecast::{Model, Pace},
//! };
//!
//! let now = Instant::now();
//! let mut model = Model::new();
//! let service = "lm".parse()?;
//! let before = model.pause_pressure(&service, now);
//!
//! // Events arrive every 190 ms, callers accept pauses of 200 ms.
//! let deadline = now + Duration::from_secs(30);
//! let mut pace = Pace::new(Duration::from_millis(200), deadline);
//! for event in 0..100 {
//!     pace.record(now + Duration::from_millis(190) * event);
//! }
//! model.record_pace(&service, pace, now);
//! assert!(model.pause_pressure(&service, now) > before);
//! # Ok::<(), mulberrymill::id::Error>(())
//! ```

mod average;
mod imp;
mod pace;
#[cfg(test)]
mod tests;

pub(crate) use average::Average;
pub use imp::{Expectation, Model, Observation};
pub use pace::Pace;
