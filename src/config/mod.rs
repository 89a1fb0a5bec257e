//! Parsing and validation of the configuration document.
//!
//! The document is one JSON object with comments and trailing commas. Each of its sections is owned
//! by one team, stored under its own key, and edited separately. [`Document`] is the validated form
//! that the other modules read.
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
pub use imp::{Result, from_sections, parse, split_sections};
pub use section::{
    CallerSpec, ClassSpec, Document, EndpointKind, EndpointSpec, Limits, ModelSpec, OperationSpec,
    RoleSpec, Section, ServiceSpec,
};

pub(crate) use fault::Source;
pub(crate) use reader::{ParsedDuration, Reader, TEXT_BYTES_MAX};
pub(crate) use spec::endpoint_kind;
