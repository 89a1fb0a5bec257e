//! Decides which requests run, and in which order, when a service has too little capacity.
//!
//! [`Policy`] is asked for each request that [`dispatch`](crate::dispatch) places: first for its rank
//! at the engines, then, with the forecast at the best endpoint, whether it runs, gives way to more
//! valuable work, or is rejected. It has no clock and no input or output. [`Mode`] selects the policy.

mod by_cost;
mod decay;
mod imp;
mod kind;
mod reject;
mod share;
#[cfg(test)]
mod tests;
mod urgency;

pub use by_cost::ByCost;
pub use imp::{Mode, Outlook, Policy, Reason, Rejection, Request, Verdict, new};
pub use reject::Reject;
