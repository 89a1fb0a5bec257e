/// Splits a byte stream into the data of server-sent events.
#[derive(Debug, Default)]
pub(super) struct Events {
    buffer: Vec<u8>,
    start: usize,
}

impl Events {
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.start);
        self.start = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// The data of the next whole event. Comments and other fields are skipped.
    pub fn next(&mut self) -> Option<String> {
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
