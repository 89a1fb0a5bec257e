use crate::error::{Error, Kind, Result};

/// Longest line and longest event data, in bytes. An engine sends one or a few tokens per event.
const EVENT_MAX_BYTES: usize = 64 << 10;

/// Decodes a stream of server-sent events into the data of each event.
///
/// Supports the part of the format that engines use: the `data:` lines of an event are joined up
/// to the empty line that ends it. Other fields and comments are skipped.
#[derive(Debug, Default)]
pub struct Decoder {
    line: Vec<u8>,
    data: Option<String>,
}

impl Decoder {
    /// Appends the next bytes of the stream and returns the data of the events they complete.
    ///
    /// # Errors
    ///
    /// Fails if a line or an event is too long or a line is not UTF-8. The decoder cannot be used
    /// after an error.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<String>> {
        let mut events = Vec::new();
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.line.len() + part.len() > EVENT_MAX_BYTES {
                return Err(invalid("a line of the event stream is too long"));
            }
            self.line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                events.extend(self.decode_line(&line)?);
            }
        }
        Ok(events)
    }

    /// Decodes a complete line. Returns the data of the event that it ends, if any.
    fn decode_line(&mut self, line: &[u8]) -> Result<Option<String>> {
        let line = std::str::from_utf8(line)
            .map_err(|error| invalid("the event stream is not UTF-8").with_source(error))?;
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            return Ok(self.data.take());
        }
        if let Some(data) = line.strip_prefix("data:") {
            let data = data.strip_prefix(' ').unwrap_or(data);
            match &mut self.data {
                Some(text) if text.len() + data.len() > EVENT_MAX_BYTES => {
                    return Err(invalid("an event is too long"));
                }
                Some(text) => {
                    text.push('\n');
                    text.push_str(data);
                }
                None => self.data = Some(data.to_owned()),
            }
        }
        Ok(None)
    }
}

fn invalid(detail: &str) -> Error {
    Error::new(Kind::EndpointFailed, detail)
}
