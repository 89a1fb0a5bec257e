//! A fleet of real processes under a seeded load, for tests that bring failures about.

mod load;
mod rig;

pub(crate) use load::{Load, targets};
pub(crate) use rig::{Rig, endpoint, run, until};
