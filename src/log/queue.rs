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

/// Capacity of the queue in lines, about 2 MB at the usual length of a line.
const QUEUE_CAPACITY: usize = 4_096;
/// Size in bytes after which a batch of lines is written, although more are queued.
const MAX_BATCH_BYTES: usize = 64 << 10;

/// Timeout of a flush, so that a blocked output does not delay the exit of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A message to the writer thread.
enum Command {
    Line(Vec<u8>),
    /// Requests a notification once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Appender that passes lines to a writer thread and drops those that do not fit in its queue, so
/// that a slow reader of the log never blocks a request.
pub(super) struct Queue {
    lines: SyncSender<Command>,
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
    /// Starts the writer thread for `output`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub(super) fn spawn(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&queue, output, &count))?;
        Ok(Self { lines, dropped })
    }
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::new());
        JsonEncoder::new().encode(&mut line, record)?;
        match self.lines.try_send(Command::Line(line.0)) {
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
        if self.lines.try_send(Command::Flush(sender)).is_ok() {
            // Lines that are not written before the timeout are lost.
            written.recv_timeout(FLUSH_TIMEOUT).unwrap_or_default();
        }
    }
}

/// Writes lines until the queue is closed or the output fails. Queued lines are written in batches.
fn write_lines(queue: &Receiver<Command>, mut output: impl Write, dropped: &AtomicU64) {
    while let Ok(first) = queue.recv() {
        let mut batch = Vec::new();
        let mut flushes = Vec::new();
        let mut next = Some(first);
        while let Some(entry) = next {
            match entry {
                Command::Line(line) => batch.extend_from_slice(&line),
                Command::Flush(sender) => flushes.push(sender),
            }
            let full = batch.len() >= MAX_BATCH_BYTES;
            next = if full { None } else { queue.try_recv().ok() };
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note =
                json!({ "level": "WARN", "message": "log lines were dropped", "lines": lost });
            batch.extend_from_slice(format!("{note}\n").as_bytes());
        }
        // If the output fails, the error cannot be logged. Returning closes the queue, so that
        // further lines are counted as dropped.
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
