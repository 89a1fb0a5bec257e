//! Measures the policies of admission and routing on virtual time.
//!
//! One run drives the plain decision code, [`mulberrymill::admission::Scheduler`] and
//! [`mulberrymill::routing::Table`], of several entries against nine engine models with lagging
//! reports on a manual clock. There are no sockets, processes, links or leases in it, and the same
//! seed gives the same result. It is an experiment on the decision code, not a model of a cluster.

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

pub use bound::{Limit, bound};
pub use deployment::Deployment;
pub use figures::{Class, Figures};
pub use picture::picture;
pub use policies::Policies;
pub use scenario::{Fault, Plan, Scenario};
pub use sim::run;
pub use table::{Comparison, Results, compare, markdown};
