use std::{fmt, str::FromStr};

use bytes::{Bytes, BytesMut};

use super::Result;
use crate::error::{Error, Kind};

/// Longest event of a stream.
const EVENT_MAX: usize = 1 << 20;

/// Number of an event within its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EventId(u64);

impl EventId {
    /// Wraps a number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for EventId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.trim()
            .parse()
            .map(Self)
            .map_err(|_error| Error::new(Kind::BadRequest, "invalid event id"))
    }
}

/// Cuts a stream of server-sent events after each complete event, and keeps the id of the last one.
///
/// The bytes themselves are not changed, so what the caller gets is what the endpoint sent.
///
/// ```
/// use mulberrymill::forward::{EventId, Splitter};
///
/// let mut splitter = Splitter::default();
/// assert_eq!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda")?, "id: 1\ndata: a\n\n");
/// assert_eq!(splitter.last(), Some(EventId::new(1)));
/// assert!(!splitter.is_between_events());
/// assert_eq!(splitter.push(b"ta: b\n\n")?, "id: 2\ndata: b\n\n");
/// assert_eq!(splitter.last(), Some(EventId::new(2)));
/// # Ok::<(), mulberrymill::error::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Start of the line that is being read.
    line: usize,
    last: Option<EventId>,
    /// Id of the event that is being read.
    next: Option<EventId>,
}

impl Splitter {
    /// Takes the next bytes and returns those up to the end of the last complete event.
    ///
    /// # Errors
    ///
    /// Fails on an event that is too long, or on an id that is not larger than the one before.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes> {
        let mut searched = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        let mut complete = 0;
        while let Some(offset) = self.buffer[searched..].iter().position(|b| *b == b'\n') {
            let end = searched + offset;
            if self.end_line(end)? {
                complete = end + 1;
            }
            self.line = end + 1;
            searched = end + 1;
        }
        if self.buffer.len() - complete > EVENT_MAX {
            return Err(Error::new(Kind::EndpointFailed, "an event is too long"));
        }
        self.line -= complete;
        Ok(self.buffer.split_to(complete).freeze())
    }

    /// Id of the last complete event.
    #[must_use]
    pub const fn last(&self) -> Option<EventId> {
        self.last
    }

    /// Whether no event is incomplete.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Starts over with another stream that continues this one.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.line = 0;
        self.next = None;
    }

    /// Reads the line up to `end`. Returns whether it ends an event.
    fn end_line(&mut self, end: usize) -> Result<bool> {
        let line = self.buffer[self.line..end].trim_ascii_end();
        if line.is_empty() {
            if let Some(id) = self.next.take() {
                if self.last.is_some_and(|last| id <= last) {
                    let detail = format!("event {id} is a repetition");
                    return Err(Error::new(Kind::EndpointFailed, detail));
                }
                self.last = Some(id);
            }
            return Ok(true);
        }
        if let Some(id) = line.strip_prefix(b"id:") {
            self.next = std::str::from_utf8(id)
                .ok()
                .and_then(|text| text.parse().ok());
        }
        Ok(false)
    }
}
