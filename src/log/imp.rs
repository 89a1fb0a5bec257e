use std::{fmt, io};

use ::log::{Level, Log, Metadata, Record, kv};
use log4rs::{
    Logger,
    config::{Appender, Config, Root, runtime::ConfigErrors},
};

use super::queue::Queue;
use crate::id::Process;

/// Error of installing the logger: one is already installed, or its thread cannot be started.
#[derive(Debug)]
pub struct Error(Cause);

#[derive(Debug)]
enum Cause {
    Config(ConfigErrors),
    AlreadyInstalled(::log::SetLoggerError),
    Thread(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("cannot install the logger")
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.0 {
            Cause::Config(error) => Some(error),
            Cause::AlreadyInstalled(error) => Some(error),
            Cause::Thread(error) => Some(error),
        }
    }
}

/// Result of installing the logger.
pub type Result<T> = std::result::Result<T, Error>;

/// Logger that adds the name of the process to the attributes of each record.
pub(super) struct ProcessLogger {
    pub(super) inner: Box<dyn Log>,
    pub(super) process: String,
}

/// The attributes of a record, preceded by the name of the process.
struct Attributes<'a> {
    inner: &'a dyn kv::Source,
    process: &'a str,
}

impl kv::Source for Attributes<'_> {
    fn visit<'kvs>(
        &'kvs self,
        visitor: &mut dyn kv::VisitSource<'kvs>,
    ) -> std::result::Result<(), kv::Error> {
        visitor.visit_pair(kv::Key::from("process"), kv::Value::from(self.process))?;
        self.inner.visit(visitor)
    }
}

impl Log for ProcessLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        let attributes = Attributes {
            inner: record.key_values(),
            process: &self.process,
        };
        let record = record.to_builder().key_values(&attributes).build();
        self.inner.log(&record);
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

/// Installs the logger of the process, which writes one JSON object per line to standard output.
///
/// # Errors
///
/// Fails if a logger is already installed, or if the writer thread cannot be started.
pub fn open(level: Level, process: &Process) -> Result<()> {
    let console = Queue::spawn(io::stdout()).map_err(|error| Error(Cause::Thread(error)))?;
    let filter = level.to_level_filter();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(filter))
        .map_err(|error| Error(Cause::Config(error)))?;
    let logger = ProcessLogger {
        inner: Box::new(Logger::new(config)),
        process: process.to_string(),
    };
    ::log::set_boxed_logger(Box::new(logger))
        .map_err(|error| Error(Cause::AlreadyInstalled(error)))?;
    ::log::set_max_level(filter);
    Ok(())
}
