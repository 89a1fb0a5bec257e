use std::{collections::HashMap, time::Instant};

use crate::id::PromptPart;

/// Parts in a generation; two generations take less than 1 MB.
const GENERATION_MAX: usize = 8_192;

/// When parts were last answered. Two generations bound it: when the newer one is full, the older one
/// is dropped.
#[derive(Debug, Default)]
pub(super) struct Served {
    newer: HashMap<PromptPart, Instant>,
    older: HashMap<PromptPart, Instant>,
}

impl Served {
    /// Notes an answer. Returns whether it is the first one that is known.
    pub(super) fn insert(&mut self, part: PromptPart, at: Instant) -> bool {
        let last = self.last(part);
        if self.newer.len() >= GENERATION_MAX && !self.newer.contains_key(&part) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer
            .insert(part, last.map_or(at, |last| last.max(at)));
        last.is_none()
    }

    /// When the part was last answered, if that is known.
    pub(super) fn last(&self, part: PromptPart) -> Option<Instant> {
        let last = self.newer.get(&part).or_else(|| self.older.get(&part));
        last.copied()
    }
}
