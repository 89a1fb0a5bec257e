//! Identifiers as newtypes, each with `Display` and `FromStr`.
//!
//! Names written by operators (`Caller`, `Endpoint`, `Model`, ...) are 1 to 64 characters out of
//! `A-Z a-z 0-9 . _ -`. Numbers that only grow (`Fence`, `Revision`) compare by size. Random ids
//! (`Request`, `Incarnation`, `Order`) print as hexadecimal.
//!
//! ```
//! use mulberrymill::id;
//!
//! let engine: id::Endpoint = "review-1".parse()?;
//! assert_eq!(engine.to_string(), "review-1");
//! assert!("two words".parse::<id::Endpoint>().is_err());
//! # Ok::<(), id::Error>(())
//! ```

mod imp;
#[cfg(test)]
mod tests;

pub use imp::{
    Attempt, Call, Caller, Class, Edit, Editor, Endpoint, Error, Fence, Group, Host, Incarnation,
    Key, Model, Operation, Order, Process, Request, Revision, Route, Service, Zone,
};

/// Result of parsing an identifier.
pub type Result<T> = std::result::Result<T, Error>;
