//! Test harness: runs a fleet of real processes under a seeded load and injects failures.

mod harness;
mod load;

pub(crate) use harness::{Harness, endpoint, run, wait_until};
pub(crate) use load::{Load, targets};
