//! Deterministic subsetting: selects the endpoints of a pool to which an entry keeps links.
//!
//! A pool holds the endpoints of one model or service. Each entry selects its subset by hashing its
//! own name with those of the endpoints, without coordination, so that the subsets of all entries
//! cover a pool evenly.
//!
//! ```
//! use mulberrymill::subset::{LINKS_MAX, Member, choose};
//!
//! let member = |name: &str, zone: &str| Member {
//!     endpoint: name.parse().unwrap(),
//!     zone: zone.parse().unwrap(),
//! };
//! let pool = [member("review-1", "scl-a"), member("review-2", "scl-b")];
//! let entry = "entry-1".parse().unwrap();
//! assert_eq!(choose(&entry, &pool, LINKS_MAX).len(), 2);
//! assert_eq!(choose(&entry, &pool, 1).len(), 1);
//! ```

mod imp;
#[cfg(test)]
mod tests;

pub use imp::{LINKS_MAX, Member, choose, rendezvous};
