//! Simulation of admission and routing policies in virtual time.
//!
//! A run drives the [`mulberrymill::admission::Scheduler`] and [`mulberrymill::routing::Table`] of
//! several entries against nine engine models with delayed reports on a manual clock. The same seed
//! gives the same result. Sockets, processes, links and leases are not simulated, so the results
//! compare policies and do not predict the performance of a cluster.

mod bound;
mod deployment;
mod figures;
mod flow;
mod picture;
mod policies;
mod scenario;
mod sim;
mod table;
#[cfg(test)]
mod tests;

pub use bound::{UpperBound, upper_bound};
pub use deployment::Deployment;
pub use figures::{ClassFigures, Figures};
pub use picture::picture;
pub use policies::Policies;
pub use scenario::{Fault, Plan, Scenario};
pub use sim::run;
pub use table::{Comparison, Results, compare, markdown};
