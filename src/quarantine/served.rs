use std::collections::HashSet;

use crate::id::PromptPart;

/// Parts in a generation; two generations take less than 1 MB.
const GENERATION_MAX: usize = 8_192;

/// The parts that were answered lately. Two generations bound it: when the newer one is full, the
/// older one is dropped.
#[derive(Debug, Default)]
pub(super) struct Served {
    newer: HashSet<PromptPart>,
    older: HashSet<PromptPart>,
}

impl Served {
    pub(super) fn insert(&mut self, part: PromptPart) {
        if self.newer.len() >= GENERATION_MAX {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(part);
    }

    pub(super) fn contains(&self, part: PromptPart) -> bool {
        self.newer.contains(&part) || self.older.contains(&part)
    }
}
