//! Finds parts of prompts that crash engines, and holds back the requests that contain them.
//!
//! A prompt can end every engine that begins to answer it, and with it the answers of all other
//! requests there. Such prompts differ from each other; what they share is a part. [`Quarantine`]
//! collects from all gateways which parts were running at an engine when it ended, and which were
//! answered. A part that was there in several crashes and in no answer since is held. If other parts were there
//! in the same crashes, only requests with all of them are held back.
//!
//! It has no clock and no input or output; [`dispatch`](crate::dispatch) asks it before each attempt,
//! and [`peers`](crate::peers) carries its reports.

mod imp;
mod served;
#[cfg(test)]
mod tests;

pub use imp::{Hold, Parts, Quarantine};
