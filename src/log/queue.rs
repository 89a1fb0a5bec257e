use std::{
    fmt,
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::Duration,
};

use ::log::Record;
use log4rs::{
    append::Append,
    encode::{Encode, json::JsonEncoder, writer::simple::SimpleWriter},
};
use serde_json::json;

/// Lines that wait for a slow reader of the log. About 2 MB at the usual length of a line.
const LINES_MAX: usize = 4_096;
/// Bytes that are written at once.
const BATCH_MAX: usize = 64 << 10;

/// Longest wait for the lines of a process that ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// What the writing thread gets.
enum Entry {
    Line(Vec<u8>),
    /// Asks for a sign that all lines before it are written.
    Flush(SyncSender<()>),
}

/// Hands lines to a thread that writes them, and drops those that do not fit in its queue, so that
/// a slow reader of the log never holds up a request.
pub(super) struct Queue {
    lines: SyncSender<Entry>,
    dropped: Arc<AtomicU64>,
}

impl fmt::Debug for Queue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Queue")
            .field("dropped", &self.dropped)
            .finish_non_exhaustive()
    }
}

impl Queue {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started.
    pub(super) fn spawn(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = sync_channel(LINES_MAX);
        let dropped = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(&queue, output, &count))?;
        Ok(Self { lines, dropped })
    }
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::new());
        JsonEncoder::new().encode(&mut line, record)?;
        match self.lines.try_send(Entry::Line(line.0)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                metrics::counter!("log_lines_dropped_total").increment(1);
            }
        }
        Ok(())
    }

    fn flush(&self) {
        let (sender, written) = sync_channel(1);
        if self.lines.try_send(Entry::Flush(sender)).is_ok() {
            // Nothing more can be done about lines that are not written in time.
            written.recv_timeout(FLUSH_LIMIT).unwrap_or_default();
        }
    }
}

/// Writes lines until the queue is closed or the output is gone. Lines that wait are written
/// together.
fn write(queue: &Receiver<Entry>, mut output: impl Write, dropped: &AtomicU64) {
    while let Ok(first) = queue.recv() {
        let mut batch = Vec::new();
        let mut flushes = Vec::new();
        let mut next = Some(first);
        while let Some(entry) = next {
            match entry {
                Entry::Line(line) => batch.extend_from_slice(&line),
                Entry::Flush(sender) => flushes.push(sender),
            }
            let full = batch.len() >= BATCH_MAX;
            next = if full { None } else { queue.try_recv().ok() };
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note =
                json!({ "level": "WARN", "message": "log lines were dropped", "lines": lost });
            batch.extend_from_slice(format!("{note}\n").as_bytes());
        }
        // Without an output there is nowhere to report its loss but the counter of dropped lines,
        // which grows once the queue is closed.
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
        for flush in flushes {
            flush.try_send(()).unwrap_or_default();
        }
    }
}
