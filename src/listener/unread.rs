//! What a connection holds for a caller that does not read its answer or sends requests ahead, and when it
//! is given up.

use std::{
    io::{self, ErrorKind},
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::time::{self, Sleep};

use crate::memory::Reservation;

/// Size of the kernel's receive buffer of a connection, in bytes. The kernel would otherwise let both buffers
/// grow to several MiB for each caller that sends too much or does not read.
pub(super) const RECEIVE_BUFFER_SIZE: usize = 64 << 10;
/// Size of the kernel's send buffer of a connection, in bytes.
pub(super) const SEND_BUFFER_SIZE: usize = 32 << 10;
/// Time without progress after which an unread answer is given up. Its endpoint can't send the rest for as
/// long, and engines cut off an answer that stays unread for some seconds.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that are read of further requests while one is in progress: two heads of the largest size, or many
/// of the usual one. The rest waits in the kernel's buffer or at the caller.
const AHEAD_MAX: usize = 32 << 10;
/// Bytes that are read at a time of heads, or of a body that is waited for. They are decoded before more are
/// read.
const READ_MAX: usize = 32 << 10;
/// Bytes of further requests that each connection may hold whatever the others hold.
const AHEAD_UNCOUNTED: usize = 4 << 10;

/// The answer that waits for its caller.
#[derive(Debug)]
pub(super) struct Unread {
    held: Reservation,
    timeout: Option<Pin<Box<Sleep>>>,
}

impl Unread {
    pub(super) const fn new(held: Reservation) -> Self {
        Self {
            held,
            timeout: None,
        }
    }

    /// Records that the caller reads.
    pub(super) fn progress(&mut self) {
        if self.timeout.take().is_some() {
            // Fewer bytes are always held.
            let _ = self.held.resize(0);
        }
    }

    /// Waits for the caller to read. Ends with the reason to give the answer up.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        if self.timeout.is_none() && self.held.resize(SEND_BUFFER_SIZE).is_err() {
            let detail = "too many callers do not read their answers";
            return Poll::Ready(io::Error::new(ErrorKind::OutOfMemory, detail));
        }
        let timeout = self
            .timeout
            .get_or_insert_with(|| Box::pin(time::sleep(UNREAD_TIMEOUT)));
        timeout.as_mut().poll(cx).map(|()| {
            let detail = "the caller does not read its answer";
            io::Error::new(ErrorKind::TimedOut, detail)
        })
    }
}

/// The bytes that are received beyond the request in progress.
#[derive(Debug)]
pub(super) struct Ahead {
    held: Reservation,
    size: usize,
    /// Size from which on what was read is decoded first.
    pause_at: usize,
}

impl Ahead {
    pub(super) const fn new(held: Reservation) -> Self {
        Self {
            held,
            size: 0,
            pause_at: READ_MAX,
        }
    }

    /// Records bytes that were read.
    pub(super) fn add(&mut self, size: usize) {
        self.size += size;
    }

    /// Records bytes that belong to the request in progress.
    pub(super) fn take(&mut self, size: usize) {
        self.set(self.size.saturating_sub(size));
    }

    /// Records that no request follows the one that has ended.
    pub(super) fn clear(&mut self) {
        self.set(0);
    }

    fn set(&mut self, size: usize) {
        self.size = size;
        self.pause_at = self.pause_at.min(size + READ_MAX);
        let counted = size.saturating_sub(AHEAD_UNCOUNTED);
        if (counted as u64) < self.held.size().get() {
            // Fewer bytes are always held.
            let _ = self.held.resize(counted);
        }
    }

    /// Whether what was read must be decoded before more is read. If so, more may be read then.
    pub(super) fn pauses(&mut self) -> bool {
        let pauses = self.size >= self.pause_at;
        if pauses {
            self.pause_at = self.size + READ_MAX;
        }
        pauses
    }

    /// Whether more may be read while a request is in progress.
    pub(super) fn may_read(&mut self) -> bool {
        let counted = self.size.saturating_sub(AHEAD_UNCOUNTED);
        let is_held = counted as u64 <= self.held.size().get();
        self.size < AHEAD_MAX && (is_held || self.held.resize(counted).is_ok())
    }
}
