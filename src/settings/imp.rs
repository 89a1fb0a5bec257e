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

/// Time in which the load balancer notices that a stopping entry is not ready.
const STOP_DELAY: Duration = Duration::from_secs(5);
/// Threads that serve HTTP unless the file says otherwise.
const WORKERS: usize = 2;
/// Most threads; a larger number is a slip of the pen.
const WORKERS_MAX: u64 = 256;

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the process.
    pub process: Process,
    /// Availability zone.
    pub zone: Zone,
    /// Where callers and operators connect.
    pub listen: SocketAddr,
    /// The platform store, at least one address.
    pub store: Vec<SocketAddr>,
    /// The host list.
    pub hosts: Option<SocketAddr>,
    /// Agents to ask for the document while the store is down.
    pub seeds: Vec<SocketAddr>,
    /// Time that a stopping entry still accepts requests.
    pub stop_delay: Duration,
    /// Least severe level that is logged.
    pub log: Level,
    /// Threads that serve HTTP.
    pub workers: usize,
    /// SHA-256 of the operators' bearer key, 64 hexadecimal digits.
    pub operator_key_sha256: String,
}

impl Entry {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file, or one fault if it cannot be read.
    pub fn open(path: impl AsRef<Path>) -> Result<Self> {
        open(path.as_ref(), Self::parse)
    }

    /// Checks the text of a settings file; `name` is the file name in the faults.
    ///
    /// # Errors
    ///
    /// Returns every fault.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        read(name, text, Self::read)
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
        let store = r.field(&fields, "store", store);
        let hosts = r.optional(&fields, "hosts", None, |r, v| r.address(v).map(Some));
        let seeds = r.optional(&fields, "seeds", Vec::new(), |r, v| {
            r.list(v, Reader::address)
        });
        let stop_delay = r.optional(
            &fields,
            "stop_delay",
            ParsedDuration(STOP_DELAY),
            Reader::text,
        );
        let log = r.optional(&fields, "log", Level::Info, level);
        let workers = r.optional(&fields, "workers", WORKERS, |r, v| {
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
    /// Name of the process.
    pub process: Process,
    /// Availability zone.
    pub zone: Zone,
    /// The endpoint that it serves.
    pub endpoint: Endpoint,
    /// Engine or service.
    pub kind: EndpointKind,
    /// Where entries connect.
    pub listen: SocketAddr,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// The platform store, at least one address.
    pub store: Vec<SocketAddr>,
    /// Least severe level that is logged.
    pub log: Level,
}

impl Agent {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file, or one fault if it cannot be read.
    pub fn open(path: impl AsRef<Path>) -> Result<Self> {
        open(path.as_ref(), Self::parse)
    }

    /// Checks the text of a settings file; `name` is the file name in the faults.
    ///
    /// # Errors
    ///
    /// Returns every fault.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        read(name, text, Self::read)
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
        let store = r.field(&fields, "store", store);
        let log = r.optional(&fields, "log", Level::Info, level);
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

fn store(r: &mut Reader, value: &Value<'_>) -> Option<Vec<SocketAddr>> {
    let addresses = r.list(value, Reader::address)?;
    if addresses.is_empty() {
        r.fault(value.range(), "at least one store address is needed");
    }
    Some(addresses)
}

pub(super) fn level(r: &mut Reader, value: &Value<'_>) -> Option<Level> {
    let levels = [
        ("error", Level::Error),
        ("warn", Level::Warn),
        ("info", Level::Info),
        ("debug", Level::Debug),
        ("trace", Level::Trace),
    ];
    r.choice(value, &levels)
}

pub(super) fn read<T>(
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

pub(super) fn open<T>(path: &Path, parse: fn(&str, &str) -> Result<T>) -> Result<T> {
    let name = path.display().to_string();
    let mut text = String::new();
    // One byte more than is allowed shows that the file is too long without reading all of it.
    let most = u64::try_from(TEXT_BYTES_MAX)
        .unwrap_or(u64::MAX)
        .saturating_add(1);
    let outcome = File::open(path).and_then(|file| file.take(most).read_to_string(&mut text));
    if let Err(error) = outcome {
        let mut reader = Reader::new(Source::new(&name, ""));
        let message = format!("the file cannot be read: {error}");
        reader.fault(Range { start: 0, end: 0 }, message);
        return Err(reader.faults);
    }
    parse(&name, &text)
}
