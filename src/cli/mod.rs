//! The command line.

mod imp;

pub use imp::run;
