//! Host list stand-in: a list of live and leaving hosts that lags behind what it is told.

mod http;
mod imp;
#[cfg(test)]
mod tests;

pub use http::{Handle, bind};
pub use imp::{Config, Entry, Fault, Model, State};
