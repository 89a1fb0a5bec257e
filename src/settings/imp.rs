use std::{fs::File, io::Read, net::SocketAddr, path::Path, time::Duration};

use ::log::Level;
use jsonc_parser::{
    ast::Value,
    common::{Range, Ranged},
};

use super::Result;
use crate::{
    config::{EndpointKind, ParsedDuration, Reader, Source, TEXT_BYTES_MAX, endpoint_kind},
    id::{Endpoint, Process, Zone},
};

/// Default stop delay, in which the load balancer notices that a stopping entry is not ready.
const STOP_DELAY_DEFAULT: Duration = Duration::from_secs(5);
/// Default number of HTTP worker threads.
const WORKERS_DEFAULT: usize = 2;
/// Maximum number of HTTP worker threads; larger values are rejected as typing errors.
const WORKERS_MAX: u64 = 256;

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the process, which log lines contain.
    pub process: Process,
    /// Availability zone of the process.
    pub zone: Zone,
    /// Address on which the entry serves callers and operators.
    pub listen: SocketAddr,
    /// Addresses of the platform store, at least one.
    pub store: Vec<SocketAddr>,
    /// Address of the host list; `None` to use no host list.
    pub hosts: Option<SocketAddr>,
    /// Agents from which the entry fetches the document while the store is down; none by default.
    pub seeds: Vec<SocketAddr>,
    /// Time for which a stopping entry still accepts requests; 5 s by default.
    pub stop_delay: Duration,
    /// Least severe level that is logged; `info` by default.
    pub log: Level,
    /// Number of HTTP worker threads, from 1 to 256; 2 by default.
    pub workers: usize,
    /// SHA-256 hash of the operators' bearer key, 64 lower-case hexadecimal digits.
    pub operator_key_sha256: String,
}

impl Entry {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file, or a single fault if it cannot be read.
    pub fn open(path: impl AsRef<Path>) -> Result<Self> {
        open_settings(path.as_ref(), Self::parse)
    }

    /// Parses and validates the text of a settings file. The faults give `name` as their file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        parse_settings(name, text, Self::read)
    }

    fn read(r: &mut Reader, value: &Value<'_>) -> Option<Self> {
        let known = [
            "process",
            "zone",
            "listen",
            "store",
            "hosts",
            "seeds",
            "stop_delay",
            "log",
            "workers",
            "operator_key_sha256",
        ];
        let fields = r.object(value, &known)?;
        let process = r.field(&fields, "process", Reader::text);
        let zone = r.field(&fields, "zone", Reader::text);
        let listen = r.field(&fields, "listen", Reader::address);
        let store = r.field(&fields, "store", store_addresses);
        let hosts = r.optional(&fields, "hosts", None, |r, v| r.address(v).map(Some));
        let seeds = r.optional(&fields, "seeds", Vec::new(), |r, v| {
            r.list(v, Reader::address)
        });
        let stop_delay = r.optional(
            &fields,
            "stop_delay",
            ParsedDuration(STOP_DELAY_DEFAULT),
            Reader::text,
        );
        let log = r.optional(&fields, "log", Level::Info, log_level);
        let workers = r.optional(&fields, "workers", WORKERS_DEFAULT, |r, v| {
            r.integer(v, 1, WORKERS_MAX)
        });
        let operator_key_sha256 = r.field(&fields, "operator_key_sha256", Reader::key_hash);
        Some(Self {
            process: process?,
            zone: zone?,
            listen: listen?,
            store: store?,
            hosts: hosts?,
            seeds: seeds?,
            stop_delay: stop_delay?.0,
            log: log?,
            workers: workers?,
            operator_key_sha256: operator_key_sha256?,
        })
    }
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agent {
    /// Name of the process, which log lines contain.
    pub process: Process,
    /// Availability zone of the process.
    pub zone: Zone,
    /// Endpoint that the agent serves.
    pub endpoint: Endpoint,
    /// Whether the endpoint is an engine or a service.
    pub kind: EndpointKind,
    /// Address on which the agent accepts links from entries.
    pub listen: SocketAddr,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Addresses of the platform store, at least one.
    pub store: Vec<SocketAddr>,
    /// Least severe level that is logged; `info` by default.
    pub log: Level,
}

impl Agent {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file, or a single fault if it cannot be read.
    pub fn open(path: impl AsRef<Path>) -> Result<Self> {
        open_settings(path.as_ref(), Self::parse)
    }

    /// Parses and validates the text of a settings file. The faults give `name` as their file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        parse_settings(name, text, Self::read)
    }

    fn read(r: &mut Reader, value: &Value<'_>) -> Option<Self> {
        let known = [
            "process", "zone", "endpoint", "kind", "listen", "address", "store", "log",
        ];
        let fields = r.object(value, &known)?;
        let process = r.field(&fields, "process", Reader::text);
        let zone = r.field(&fields, "zone", Reader::text);
        let endpoint = r.field(&fields, "endpoint", Reader::text);
        let kind = r.field(&fields, "kind", endpoint_kind);
        let listen = r.field(&fields, "listen", Reader::address);
        let address = r.field(&fields, "address", Reader::address);
        let store = r.field(&fields, "store", store_addresses);
        let log = r.optional(&fields, "log", Level::Info, log_level);
        Some(Self {
            process: process?,
            zone: zone?,
            endpoint: endpoint?,
            kind: kind?,
            listen: listen?,
            address: address?,
            store: store?,
            log: log?,
        })
    }
}

fn store_addresses(r: &mut Reader, value: &Value<'_>) -> Option<Vec<SocketAddr>> {
    let addresses = r.list(value, Reader::address)?;
    if addresses.is_empty() {
        r.fault(value.range(), "at least one store address is required");
    }
    Some(addresses)
}

/// Reads the name of a log level.
pub(super) fn log_level(r: &mut Reader, value: &Value<'_>) -> Option<Level> {
    let levels = [
        ("error", Level::Error),
        ("warn", Level::Warn),
        ("info", Level::Info),
        ("debug", Level::Debug),
        ("trace", Level::Trace),
    ];
    r.choice(value, &levels)
}

/// Parses the text of a settings file and converts its root with `read`.
pub(super) fn parse_settings<T>(
    name: &str,
    text: &str,
    read: fn(&mut Reader, &Value<'_>) -> Option<T>,
) -> Result<T> {
    let mut reader = Reader::new(Source::new(name, text));
    let root = reader.parse(text);
    let settings = root.and_then(|root| read(&mut reader, &root));
    match settings {
        Some(settings) if reader.faults.is_empty() => Ok(settings),
        _ => Err(reader.faults),
    }
}

/// Reads a settings file and passes its path and text to `parse`.
pub(super) fn open_settings<T>(path: &Path, parse: fn(&str, &str) -> Result<T>) -> Result<T> {
    let name = path.display().to_string();
    let mut text = String::new();
    // Reading one byte more than the maximum is enough for `parse` to reject a file that is too long.
    let limit = u64::try_from(TEXT_BYTES_MAX)
        .unwrap_or(u64::MAX)
        .saturating_add(1);
    let outcome = File::open(path).and_then(|file| file.take(limit).read_to_string(&mut text));
    if let Err(error) = outcome {
        let mut reader = Reader::new(Source::new(&name, ""));
        let message = format!("cannot read the file: {error}");
        reader.fault(Range { start: 0, end: 0 }, message);
        return Err(reader.faults);
    }
    parse(&name, &text)
}
