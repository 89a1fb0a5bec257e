use crate::{
    id::Attempt,
    invariant::{self, Invariant},
    unit::Bytes,
    wire::{Chunk, End},
};

/// How to handle a message of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Forward it to the caller.
    Accept,
    /// Ignore it: it belongs to another attempt or repeats bytes already received.
    Ignore,
    /// Fail the attempt: bytes of the response are missing.
    Gap,
}

/// Assembles the response of a request from the messages of its attempts.
///
/// Accepts only messages of the current attempt, and only in byte order. Stale, repeated or
/// reordered data never reaches the caller, and a response with missing bytes is never reported as
/// complete.
#[derive(Clone, Debug)]
pub struct ResponseAssembler {
    current_attempt: Attempt,
    received: Bytes,
    ended: bool,
}

impl ResponseAssembler {
    /// Creates the assembler of a request whose first attempt is `first`.
    #[must_use]
    pub const fn new(first: Attempt) -> Self {
        Self {
            current_attempt: first,
            received: Bytes::ZERO,
            ended: false,
        }
    }

    /// The attempt whose messages are accepted.
    #[must_use]
    pub const fn current_attempt(&self) -> Attempt {
        self.current_attempt
    }

    /// Bytes accepted so far, which is the offset at which the next attempt resumes.
    #[must_use]
    pub const fn received(&self) -> Bytes {
        self.received
    }

    /// Advances to the next attempt. Later messages of the previous one are ignored.
    pub fn next_attempt(&mut self) {
        self.current_attempt = self.current_attempt.next();
    }

    /// Accepts a chunk if it continues the response.
    pub fn accept_chunk(&mut self, chunk: &Chunk) -> Disposition {
        let end = chunk.offset + Bytes::new(chunk.data.len() as u64);
        if self.ended || chunk.attempt != self.current_attempt || end <= self.received {
            return Disposition::Ignore;
        }
        if chunk.offset != self.received {
            return Disposition::Gap;
        }
        self.received = end;
        Disposition::Accept
    }

    /// Accepts the end of the response if all its bytes have been received.
    pub fn accept_end(&mut self, end: &End) -> Disposition {
        if self.ended || end.attempt != self.current_attempt {
            return Disposition::Ignore;
        }
        if end.length != self.received {
            return Disposition::Gap;
        }
        self.ended = true;
        Disposition::Accept
    }

    /// Checks the whole-answer invariant before a response is reported as complete.
    pub fn check_complete(&self, request: crate::id::Request, length: Bytes) {
        let complete =
            self.ended && self.received == length && self.current_attempt.request() == request;
        invariant::check(Invariant::WholeAnswer, complete, || {
            format!(
                "attempt {} ended at {} of {length}",
                self.current_attempt, self.received
            )
        });
    }
}
