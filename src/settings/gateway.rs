use std::{net::SocketAddr, path::Path, time::Duration};

use ::log::Level;
use jsonc_parser::ast::Value;

use super::{
    Result,
    imp::{level, open, read},
};
use crate::{
    config::{ParsedDuration, Reader},
    id::{Process, Zone},
};

/// Interval at which endpoints write to the store, unless the file says otherwise.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time that a stopping gateway accepts requests: the load balancer asks for readiness once a
/// second and needs two answers.
const STOP_DELAY: Duration = Duration::from_millis(2_500);
/// Time until a process that was asked to stop is killed, unless the file says otherwise.
const GRACE: Duration = Duration::from_secs(8);

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gateway {
    /// Name of the process.
    pub process: Process,
    /// Availability zone.
    pub zone: Zone,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the load balancer asks for readiness, and where metrics are served.
    pub readiness: SocketAddr,
    /// Where other gateways link to; without it, gateways do not tell each other of their work.
    pub peers: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Interval at which endpoints write to the store.
    pub heartbeat: Duration,
    /// Time that a stopping gateway still accepts requests.
    pub stop_delay: Duration,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
    /// Least severe level that is logged.
    pub log: Level,
}

impl Gateway {
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
            "readiness",
            "peers",
            "store",
            "heartbeat",
            "stop_delay",
            "grace",
            "log",
        ];
        let fields = r.object(value, &known)?;
        let process = r.field(&fields, "process", Reader::text);
        let zone = r.field(&fields, "zone", Reader::text);
        let listen = r.field(&fields, "listen", Reader::address);
        let readiness = r.field(&fields, "readiness", Reader::address);
        let peers = r.optional(&fields, "peers", None, |r, value| {
            r.address(value).map(Some)
        });
        let store = r.field(&fields, "store", Reader::address);
        let heartbeat = r.optional(
            &fields,
            "heartbeat",
            ParsedDuration(HEARTBEAT),
            Reader::text,
        );
        let stop_delay = r.optional(
            &fields,
            "stop_delay",
            ParsedDuration(STOP_DELAY),
            Reader::text,
        );
        let grace = r.optional(&fields, "grace", ParsedDuration(GRACE), Reader::text);
        let log = r.optional(&fields, "log", Level::Info, level);
        Some(Self {
            process: process?,
            zone: zone?,
            listen: listen?,
            readiness: readiness?,
            peers: peers?,
            store: store?,
            heartbeat: heartbeat?.0,
            stop_delay: stop_delay?.0,
            grace: grace?.0,
            log: log?,
        })
    }
}
