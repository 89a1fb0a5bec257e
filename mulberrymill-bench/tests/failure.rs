//! Failure tests of a complete fleet. Each entry and agent is a real process, and a small seeded
//! load runs while one of them stops, is killed, is frozen or loses access to the store.

mod common;

#[path = "failure/crash.rs"]
mod crash;
#[path = "failure/drain.rs"]
mod drain;
#[path = "failure/edit.rs"]
mod edit;
#[path = "failure/freeze.rs"]
mod freeze;
#[path = "failure/notices.rs"]
mod notices;
#[path = "failure/stop.rs"]
mod stop;
#[path = "failure/store.rs"]
mod store;
