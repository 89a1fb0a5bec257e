//! Chooses the endpoint of each attempt.

mod message;

pub use message::{Adopt, Choose, Cost, Demand, Ending, Finish, Linked, Observe, Pool, Prefix};
