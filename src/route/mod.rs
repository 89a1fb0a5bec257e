//! Matches requests to routes, which set the target service, timeout, priority and retries.
//!
//! A [`Plan`] holds the routes of one version of the operator's configuration. A request matches
//! the route of its host with the longest prefix of its path.
//!
//! ```
//! use std::{sync::Arc, time::Duration};
//!
//! use mulberrymill::route::{Kind, Limits, Plan, Route, Target, Version};
//!
//! let route = |name: &str, prefix: &str| Route {
//!     name: name.parse().expect("a valid name"),
//!     host: "kitchen.example".to_owned(),
//!     prefix: prefix.to_owned(),
//!     kind: Kind::Idempotent,
//!     targets: vec![Target::single("labels".parse().expect("a valid name"))],
//!     timeout: Duration::from_secs(1),
//!     latency_target: Duration::from_millis(150),
//!     rank: 2,
//!     attempts: 2,
//!     event_gap: None,
//!     public: false,
//! };
//! let plan = Plan::new(
//!     Version::new(1),
//!     vec![route("all", "/"), route("labels", "/labels/")],
//!     Limits::default(),
//! );
//! let found = plan.find("kitchen.example", "/labels/7").expect("a route");
//! assert_eq!(found.name.as_str(), "labels");
//! assert!(plan.find("other.example", "/labels/7").is_none());
//! ```

mod imp;
#[cfg(test)]
mod tests;

pub use imp::{Kind, Limits, Plan, Route, Service, Target, Version};
