use std::{
    io,
    sync::{Arc, Mutex, mpsc},
};

use ::log::{Level, Log, Metadata, Record, kv};

use log4rs::append::Append;

use super::{imp::ProcessLogger, queue::Queue};

/// Logger that keeps the attributes of the last record as text.
#[derive(Default)]
struct LastAttributes(Arc<Mutex<String>>);

struct Text(String);

impl<'kvs> kv::VisitSource<'kvs> for Text {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        self.0 = format!("{}{key}={value} ", self.0);
        Ok(())
    }
}

impl Log for LastAttributes {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut text = Text(String::new());
        record.key_values().visit(&mut text).expect("text only");
        *self.0.lock().expect("one thread") = text.0;
    }

    fn flush(&self) {}
}

/// Guards against log lines without their attributes or the name of their process.
#[test]
fn records_contain_the_process() {
    let last = Arc::new(Mutex::new(String::new()));
    let logger = ProcessLogger {
        inner: Box::new(LastAttributes(Arc::clone(&last))),
        process: "entry-1".to_owned(),
    };
    let pairs = [("request", "2a"), ("class", "verdict")];
    let record = Record::builder()
        .level(Level::Info)
        .key_values(&pairs)
        .build();
    logger.log(&record);
    insta::assert_snapshot!(last.lock().expect("one thread"));
}

/// Output that blocks each write until it is released.
struct BlockedOutput {
    release: mpsc::Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl io::Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.release.recv().map_err(io::Error::other)?;
        let mut written = self.written.lock().expect("no panic");
        written.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a reader of the log that stops reading and thereby blocks requests, and against
/// dropped lines that are not reported.
#[test]
fn blocked_output_drops_and_reports_lines() {
    let (release, released) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = BlockedOutput {
        release: released,
        written: Arc::clone(&written),
    };
    let queue = Queue::spawn(output).expect("a thread");
    let lines = 10_000;
    for number in 0..lines {
        let arguments = format_args!("line {number}");
        let record = Record::builder().level(Level::Info).args(arguments).build();
        queue.append(&record).expect("the line is encoded");
    }
    for _ in 0..lines {
        release.send(()).expect("the thread runs");
    }
    let count = |text: &str| -> (usize, usize) {
        let kept = text.lines().filter(|line| line.contains("line ")).count();
        let notes = text
            .lines()
            .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
        let dropped = notes.filter_map(|note| usize::try_from(note["lines"].as_u64()?).ok());
        (kept, dropped.sum())
    };
    // A flush has no effect while the queue is full, so it is repeated.
    let mut counts = (0, 0);
    while counts.0 + counts.1 < lines {
        queue.flush();
        let written = written.lock().expect("no panic");
        counts = count(std::str::from_utf8(&written).expect("text"));
    }
    assert!(counts.1 > 0, "all lines were kept");
    assert_eq!(counts.0 + counts.1, lines);
}
