//! Retry budgets and outlier ejection.
//!
//! Both keep no clock: the caller passes in the time. The router and the dispatcher own them.

mod imp;
#[cfg(test)]
mod tests;

pub use imp::{Budget, Ejector, WindowBudget};
