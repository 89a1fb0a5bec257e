/// Incremental decoder of server-sent events.
#[derive(Debug, Default)]
pub(super) struct EventDecoder {
    buffer: Vec<u8>,
    /// Start of the first event in `buffer` that is not decoded.
    start: usize,
}

impl EventDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.start);
        self.start = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Data of the next complete event; `None` if there is none yet. Comments and fields other than
    /// `data` are skipped.
    pub fn next_data(&mut self) -> Option<String> {
        loop {
            let rest = &self.buffer[self.start..];
            let length = rest.windows(2).position(|pair| pair == b"\n\n")?;
            let event = String::from_utf8_lossy(&rest[..length]).into_owned();
            self.start += length + 2;
            let lines = event.lines().filter_map(|line| line.strip_prefix("data:"));
            let data: Vec<&str> = lines.map(str::trim_start).collect();
            if !data.is_empty() {
                return Some(data.join("\n"));
            }
        }
    }
}
