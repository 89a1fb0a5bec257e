//! Failures of a whole fleet: each entry and agent is a real process, and a small seeded load runs
//! while one of them stops, dies, freezes or loses the store.

mod common;

#[path = "failure/crash.rs"]
mod crash;
#[path = "failure/drain.rs"]
mod drain;
#[path = "failure/edit.rs"]
mod edit;
#[path = "failure/freeze.rs"]
mod freeze;
#[path = "failure/stop.rs"]
mod stop;
#[path = "failure/store.rs"]
mod store;
