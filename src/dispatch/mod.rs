//! Selects the endpoint that serves a request.
//!
//! [`LoadBalancer`] keeps the state of each endpoint: requests in flight from this process and from
//! its peers, the load that the endpoint last reported, recent failures, what it said of itself in its answers, and the affinity of shared
//! prompt prefixes. [`Dispatcher`] is the actor that owns the balancer.

mod actor;
mod backlog;
mod cost;
mod evidence;
mod failure;
mod imp;
mod kv_memory;
mod lateness;
mod member;
mod message;
mod peer_load;
mod permit;
#[cfg(test)]
mod tests;
mod ticket;

pub use actor::{Config, Dispatcher, spawn};
pub use backlog::Backlog;
pub use evidence::Evidence;
pub use imp::LoadBalancer;
pub use kv_memory::Footprint;
pub use message::{
    Choice, Choose, Demand, Ending, ExpireInstances, Finish, IsSilent, ListConfirmed, Load,
    MayRetry, Need, NoticeReceived, PeerCoverage, PeerDigest, PeerDisconnected, Prediction,
    Progress, SetInstances, SetMemory, TakeDigest,
};
pub use permit::Permit;
pub use ticket::Ticket;
