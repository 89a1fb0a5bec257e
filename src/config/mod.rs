//! The configuration document: its sections, their types, and their checks.
//!
//! Operators write one long document in JSON with comments. Each section belongs to a team and is
//! stored and edited on its own. [`Document`] is the checked form that the other slices read.
//!
//! ```
//! use mulberrymill::config;
//!
//! let faults = config::parse("mill.jsonc", "{\"modles\": {}}").unwrap_err();
//! assert!(faults.to_string().starts_with("mill.jsonc:1:2: unknown field \"modles\""));
//! ```

mod check;
mod fault;
mod imp;
mod reader;
mod section;
mod spec;
#[cfg(test)]
mod tests;

pub use fault::{Fault, Faults};
pub use imp::{Result, assemble, parse, split};
pub use section::{
    CallerSpec, ClassSpec, Document, EndpointKind, EndpointSpec, Limits, ModelSpec, OperationSpec,
    RoleSpec, Section, ServiceSpec,
};

pub(crate) use fault::Source;
pub(crate) use reader::{Period, Reader, TEXT_MAX};
pub(crate) use spec::kind;
