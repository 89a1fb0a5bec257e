//! The configuration document: its sections, their types, and their checks.
//!
//! Operators write one long document in JSON with comments. Each section belongs to a team and is
//! stored and edited on its own. [`Document`] is the checked form that the other slices read.

mod section;

pub use section::{
    CallerSpec, ClassSpec, Document, EndpointKind, EndpointSpec, Limits, ModelSpec, OperationSpec,
    RoleSpec, Section, ServiceSpec,
};
