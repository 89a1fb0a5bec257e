//! Host list stand-in: serves the live and leaving hosts, and shows updates only after a delay.

mod http;
mod imp;
#[cfg(test)]
mod tests;

pub use http::{Handle, bind};
pub use imp::{Config, Fault, HostList, HostRecord, State};
