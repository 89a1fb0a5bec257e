//! Identifiers as newtypes, each with `Display` and `FromStr`.
//!
//! Names set by operators (`Caller`, `Endpoint`, `Model`, ...) consist of 1 to 64 characters from
//! `A-Z a-z 0-9 . _ -`. Increasing numbers (`Fence`, `Revision`) are ordered by value. Random ids
//! (`Request`, `Incarnation`, `Order`) are written in hexadecimal.
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
    Key, Model, Operation, Order, Process, PromptPart, Request, Revision, Route, Service, Window,
    Zone,
};

/// Result of parsing an identifier.
pub type Result<T> = std::result::Result<T, Error>;
