use crate::error::{Error, Kind, Result};

/// Longest line of an event stream, in bytes. An engine sends one token or a few per event.
const LINE_MAX: usize = 64 << 10;

/// Splits a stream of server-sent events into the data of each event.
///
/// Follows the published format as far as engines use it: `data:` lines are joined up to the empty
/// line that ends the event; other fields and comments are skipped.
#[derive(Debug, Default)]
pub struct Decoder {
    line: Vec<u8>,
    data: Option<String>,
}

impl Decoder {
    /// Takes the next bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Fails on a line that is too long or not UTF-8. The stream cannot be continued after that.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<String>> {
        let mut events = Vec::new();
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.line.len() + part.len() > LINE_MAX {
                return Err(invalid("a line of the event stream is too long"));
            }
            self.line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                events.extend(self.end_line(&line)?);
            }
        }
        Ok(events)
    }

    fn end_line(&mut self, line: &[u8]) -> Result<Option<String>> {
        let line = std::str::from_utf8(line)
            .map_err(|error| invalid("the event stream is not UTF-8").with_source(error))?;
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            return Ok(self.data.take());
        }
        if let Some(data) = line.strip_prefix("data:") {
            let data = data.strip_prefix(' ').unwrap_or(data);
            match &mut self.data {
                Some(text) if text.len() + data.len() > LINE_MAX => {
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
