//! Command line of `mulberrymill-bench`. Each subcommand runs in the foreground.
//!
//! A stand-in prints its addresses as one JSON line and runs until interrupted.

mod capacity;
mod demo;
mod experiment;
mod imp;
mod load;
mod measure;
mod mix;
mod soak;
mod standin;
#[cfg(test)]
mod tests;

pub use imp::run;
