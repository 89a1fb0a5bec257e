//! Order of the writes of one entry, also across a restore of the store.

use std::time::{Duration, Instant};

use super::{Listing, Sequence, Started};
use crate::id::Revision;

/// Longest time by which the store may execute a write late. A write of an earlier run that comes later
/// than that is of a new run, before which the clock of its host was set back.
const WRITE_DELAY_MAX: Duration = Duration::from_mins(1);

/// A write of an entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct Write {
    pub(super) started: Option<Started>,
    pub(super) sequence: Option<Sequence>,
    pub(super) draining: bool,
    pub(super) revision: Revision,
    /// When this process received it.
    pub(super) received_at: Instant,
}

/// The last write of an entry that took effect.
#[derive(Clone, Debug)]
pub(super) struct Last {
    write: Write,
    /// Whether the store was restored since. Revisions are not comparable then.
    restored: bool,
    /// Revision at which the entry was found after the restore, if that was not taken for newer.
    copy: Option<Revision>,
}

impl Last {
    pub(super) const fn new(write: Write) -> Self {
        Self {
            write,
            restored: false,
            copy: None,
        }
    }

    pub(super) const fn into_write(self) -> Write {
        self.write
    }

    /// Whether the store was restored since the write.
    pub(super) const fn is_restored(&self) -> bool {
        self.restored
    }

    pub(super) const fn record_restore(&mut self) {
        self.restored = true;
        self.copy = None;
    }

    /// Whether a write at `revision` is known or older.
    pub(super) fn is_after(&self, revision: Revision) -> bool {
        !self.restored && self.write.revision > revision
    }

    /// Whether `next` takes effect after this write. Notes the revision of an entry that cannot be
    /// ordered, so that a later one is recognized as written since the restore.
    pub(super) fn precedes(&mut self, next: &Write, known: Listing) -> bool {
        use std::cmp::Ordering::{Equal, Greater, Less};

        let by_run = self
            .write
            .started
            .zip(next.started)
            .map(|(last, next)| next.cmp(&last));
        let by_sequence = self
            .write
            .sequence
            .zip(next.sequence)
            .filter(|_| by_run == Some(Equal))
            .map(|(last, next)| next.cmp(&last));
        if !self.restored {
            // A write that was delayed has a new revision.
            let age = next
                .received_at
                .saturating_duration_since(self.write.received_at);
            let is_of_former_run = by_run == Some(Less) && age <= WRITE_DELAY_MAX;
            return !is_of_former_run && by_sequence != Some(Less);
        }
        match (by_run, by_sequence, known) {
            (Some(Greater), _, _) | (_, Some(Greater), _) => true,
            (Some(Less), _, _) | (_, None, Listing::Removed) => self.is_rewritten(next.revision),
            (_, Some(Less), _) | (_, Some(Equal), Listing::Removed) => false,
            (_, _, Listing::Draining) => next.draining,
            (_, _, Listing::Ready) => true,
        }
    }

    /// Whether an entry that cannot be ordered was written since the restore. The first revision at
    /// which it is found can be that of the copy.
    fn is_rewritten(&mut self, revision: Revision) -> bool {
        revision > *self.copy.get_or_insert(revision)
    }
}
