//! Edits of the configuration document in the store.
//!
//! There is one store key per section, so edits of different sections never conflict. An edit
//! names the revision of the section on which it was built; it is accepted only if the section has
//! not moved since, and only if the whole document with the new section is valid. An answer that
//! the store lost is settled by reading back the id of the edit.

mod envelope;
mod imp;
#[cfg(test)]
mod tests;

pub use imp::{Accepted, Check, Editor, Part, Snapshot, Texts};

pub use crate::error::Result;
