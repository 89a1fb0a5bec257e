use std::{fmt, str::FromStr};

use bytes::{Bytes, BytesMut};

use super::Result;
use crate::error::{Error, Kind};

/// Longest event of a stream, in bytes.
const EVENT_MAX: usize = 1 << 20;

/// Sequence number of an event within its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EventId(u64);

impl EventId {
    /// Creates an id from a sequence number.
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

/// Splits a stream of server-sent events at event boundaries and tracks the id of the last complete
/// event.
///
/// The bytes are not changed, so the caller receives exactly what the endpoint sent.
///
/// ```
/// use mulberrymill::forward::{EventId, EventSplitter};
///
/// let mut splitter = EventSplitter::default();
/// assert_eq!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda")?, "id: 1\ndata: a\n\n");
/// assert_eq!(splitter.last_id(), Some(EventId::new(1)));
/// assert!(!splitter.is_between_events());
/// assert_eq!(splitter.push(b"ta: b\n\n")?, "id: 2\ndata: b\n\n");
/// assert_eq!(splitter.last_id(), Some(EventId::new(2)));
/// # Ok::<(), mulberrymill::error::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Offset in `buffer` at which the incomplete line starts.
    line_start: usize,
    last_id: Option<EventId>,
    /// Id of the incomplete event.
    pending_id: Option<EventId>,
}

impl EventSplitter {
    /// Appends bytes and returns everything up to the end of the last complete event.
    ///
    /// # Errors
    ///
    /// Fails if an event exceeds 1 MiB, or if an id is not larger than the previous one.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes> {
        let mut searched = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        let mut complete = 0;
        while let Some(offset) = self.buffer[searched..].iter().position(|b| *b == b'\n') {
            let end = searched + offset;
            if self.end_line(end)? {
                complete = end + 1;
            }
            self.line_start = end + 1;
            searched = end + 1;
        }
        if self.buffer.len() - complete > EVENT_MAX {
            return Err(Error::new(Kind::EndpointFailed, "an event is too long"));
        }
        self.line_start -= complete;
        Ok(self.buffer.split_to(complete).freeze())
    }

    /// Id of the last complete event.
    #[must_use]
    pub const fn last_id(&self) -> Option<EventId> {
        self.last_id
    }

    /// Bytes of the incomplete event.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether all bytes received so far belong to complete events.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Discards an incomplete event before another endpoint resumes the stream. The last id is kept
    /// to detect repeated events.
    pub fn restart(&mut self) {
        self.buffer.clear();
        self.line_start = 0;
        self.pending_id = None;
    }

    /// Parses the line that ends at `end`. Returns whether it completes an event.
    fn end_line(&mut self, end: usize) -> Result<bool> {
        let line = self.buffer[self.line_start..end].trim_ascii_end();
        if line.is_empty() {
            if let Some(id) = self.pending_id.take() {
                if self.last_id.is_some_and(|last| id <= last) {
                    let detail = format!("event {id} is a repetition");
                    return Err(Error::new(Kind::EndpointFailed, detail));
                }
                self.last_id = Some(id);
            }
            return Ok(true);
        }
        if let Some(id) = line.strip_prefix(b"id:") {
            self.pending_id = std::str::from_utf8(id)
                .ok()
                .and_then(|text| text.parse().ok());
        }
        Ok(false)
    }
}
