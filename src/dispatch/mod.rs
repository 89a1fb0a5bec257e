//! Which endpoint a request goes to.
//!
//! [`Board`] holds what is known of each endpoint: the work that this process and others sent there,
//! the load that the endpoint reported with its last answer, failures, and which shared prompt parts
//! it is the home of. [`Dispatcher`] is the actor that owns the board.

mod actor;
mod alarm;
mod backlog;
mod cost;
mod hearsay;
mod imp;
mod member;
mod message;
#[cfg(test)]
mod tests;
mod ticket;

pub use actor::{Config, Dispatcher, spawn};
pub use backlog::Backlog;
pub use imp::Board;
pub use message::{
    Audience, Choice, Choose, Demand, Ending, Finish, Load, MayRepeat, Members, Need, PeerDigest,
    PeerLost, Progress, Survey,
};
pub use ticket::Ticket;
