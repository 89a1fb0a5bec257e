use crate::{
    id::Attempt,
    invariant::{self, Point},
    unit::Bytes,
    wire::{Chunk, End},
};

/// What to do with a message of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Pass it on.
    Take,
    /// Drop it: it belongs to another attempt or was taken before.
    Drop,
    /// Give up the attempt: a part of the answer is missing.
    Gap,
}

/// Puts the answer of a request together from the messages of its attempts.
///
/// Only the current attempt counts, and only the next byte: what is late, repeated or reordered
/// never reaches the caller, and an answer with a missing part is never taken for a whole one.
#[derive(Clone, Debug)]
pub struct Assembly {
    current: Attempt,
    taken: Bytes,
    ended: bool,
}

impl Assembly {
    /// The answer of a request before its first attempt.
    #[must_use]
    pub const fn new(first: Attempt) -> Self {
        Self {
            current: first,
            taken: Bytes::ZERO,
            ended: false,
        }
    }

    /// The attempt that counts.
    #[must_use]
    pub const fn current(&self) -> Attempt {
        self.current
    }

    /// Bytes taken so far; the offset at which a next attempt continues.
    #[must_use]
    pub const fn taken(&self) -> Bytes {
        self.taken
    }

    /// Gives up the current attempt for a next one.
    pub fn retry(&mut self) {
        self.current = self.current.next();
    }

    /// Decides on a part of the answer.
    pub fn chunk(&mut self, chunk: &Chunk) -> Step {
        let end = chunk.offset + Bytes::new(chunk.data.len() as u64);
        if self.ended || chunk.attempt != self.current || end <= self.taken {
            return Step::Drop;
        }
        if chunk.offset != self.taken {
            return Step::Gap;
        }
        self.taken = end;
        Step::Take
    }

    /// Decides on the end of the answer.
    pub fn end(&mut self, end: &End) -> Step {
        if self.ended || end.attempt != self.current {
            return Step::Drop;
        }
        if end.length != self.taken {
            return Step::Gap;
        }
        self.ended = true;
        Step::Take
    }

    /// Asserts that an answer about to be declared whole is whole.
    pub fn check_whole(&self, request: crate::id::Request, length: Bytes) {
        let whole = self.ended && self.taken == length && self.current.request() == request;
        invariant::check(Point::WholeAnswer, whole, || {
            format!(
                "attempt {} ended at {} of {length}",
                self.current, self.taken
            )
        });
    }
}
