//! Optimistic concurrency control for edits of the configuration document in the store.
//!
//! Each section has its own store key, so edits of different sections never conflict. An edit names
//! the base revision of its section. It is accepted only if the section still has this revision and
//! the whole document with the new text is valid. If the response of the store is lost, the editor
//! reads the section and compares the id of the edit to find out whether the edit was applied.

mod envelope;
mod imp;
#[cfg(test)]
mod tests;

pub use imp::{Accepted, Check, Editor, SectionTexts, Snapshot, StoredSection};

pub use crate::error::Result;
