use std::{net::SocketAddr, path::Path, time::Duration};

use ::log::Level;
use jsonc_parser::{ast::Value, common::Ranged};

use super::{
    Result,
    imp::{log_level, open_settings, parse_settings},
};
use crate::{
    config::{ParsedDuration, Reader},
    directory::{Budget, DRAIN_NOTICE_DEFAULT},
    id::{Process, Zone},
    triage,
    unit::Bytes,
    usage,
};

/// Default of the memory that a gateway may use.
const MEMORY_DEFAULT: Bytes = Bytes::new(160 << 20);
/// The memory divided by the part for answers. Buffers that grow may take twice what they hold, and the rest
/// is for the process itself and for its callers.
const BUFFERS_DIVISOR: u64 = 4;
/// The memory divided by the part for bodies of callers.
const BODY_BUFFERS_DIVISOR: u64 = 3;
/// The memory divided by the part for unread answers and for requests that callers send ahead.
const CONNECTION_BUFFERS_DIVISOR: u64 = 8;
/// Default time in which a gateway follows the store again.
const STORE_RECOVERY_DEFAULT: Duration = Duration::from_secs(3);
/// Default interval at which endpoints write to the store.
const HEARTBEAT_DEFAULT: Duration = Duration::from_millis(1_200);
/// Default stop delay. The load balancer checks readiness once a second and stops sending
/// requests after two negative answers.
const STOP_DELAY_DEFAULT: Duration = Duration::from_millis(2_500);
/// Kind of duty in the settings that switches usage reports on.
const USAGE_KIND: &str = "usage";
/// Default time from the stop signal until the process is killed.
const GRACE_DEFAULT: Duration = Duration::from_secs(8);

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gateway {
    /// Name of the process, which log lines contain.
    pub process: Process,
    /// Availability zone of the process.
    pub zone: Zone,
    /// Address on which the gateway serves callers.
    pub listen: SocketAddr,
    /// Address that serves readiness checks of the load balancer, and metrics.
    pub readiness: SocketAddr,
    /// Address on which other gateways connect. Without it, the gateway does not share its counts of
    /// requests in progress with them.
    pub peers: Option<SocketAddr>,
    /// Address of the platform store.
    pub store: SocketAddr,
    /// Time in which changes in the store take effect again after the open connections to it have gone
    /// silent, if new ones work; 3 s by default. A longer time costs fewer calls to the store, up to
    /// seven eighths of `drain_notice`, which go before it.
    pub store_recovery: Duration,
    /// Interval at which endpoints write to the store; 1.2 s by default.
    pub heartbeat: Duration,
    /// Time from the announcement in the store that an endpoint leaves until it must get no more
    /// requests; 2 s by default. A longer time costs fewer calls to the store.
    pub drain_notice: Duration,
    /// Time for which a stopping gateway still accepts requests; 2.5 s by default.
    pub stop_delay: Duration,
    /// Time from the stop signal until the process is killed; 8 s by default.
    pub grace: Duration,
    /// Time after which no request may run with a key that was removed from the plan. With it, requests
    /// with a key are refused while the plan is not confirmed for four fifths of this time.
    pub key_revocation: Option<Duration>,
    /// Memory that the process may use; 160 MiB by default.
    pub memory: Bytes,
    /// Calls to the platform's API that one gateway at a time makes; none by default.
    pub duties: Option<Duties>,
    /// What happens when a service has too little capacity; `auto` by default.
    pub overload: triage::Mode,
    /// Least severe level that is logged; `info` by default.
    pub log: Level,
}

/// Settings of the calls to the platform's API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Duties {
    /// Address of the API.
    pub address: SocketAddr,
    /// Time to live of the lease of the gateway that makes the calls.
    pub lease: Duration,
    /// Whether the API refuses fencing tokens lower than one that it has seen.
    pub tokens_checked: bool,
    /// Shortest interval between calls.
    pub call_interval: Duration,
    /// Usage reports; `None` to send none.
    pub usage: Option<usage::Spec>,
}

impl Duties {
    /// Parses the text of the object. The faults give `name` as their file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        parse_settings(name, text, Self::read)
    }

    fn read(r: &mut Reader, value: &Value<'_>) -> Option<Self> {
        let known = [
            "address",
            "lease",
            "tokens_checked",
            "calls_per_s",
            "kinds",
            "usage",
        ];
        let fields = r.object(value, &known)?;
        let address = r.field(&fields, "address", Reader::address);
        let lease = r.field(&fields, "lease", Reader::text);
        let tokens_checked = r.field(&fields, "tokens_checked", Reader::boolean);
        let call_interval = r.field(&fields, "calls_per_s", read_call_rate);
        // Kinds that this version does not know are not made.
        let kinds = r.field(&fields, "kinds", |r, v| r.list(v, Reader::text::<String>));
        let usage = r.optional(&fields, "usage", None, |r, v| read_usage(r, v).map(Some));
        let reports = kinds?.iter().any(|kind| kind == USAGE_KIND);
        let ParsedDuration(lease) = lease?;
        Some(Self {
            address: address?,
            lease,
            tokens_checked: tokens_checked?,
            call_interval: call_interval?,
            usage: usage?.filter(|_| reports),
        })
    }
}

/// Reads a number of calls per second as the interval between them.
fn read_call_rate(r: &mut Reader, value: &Value<'_>) -> Option<Duration> {
    let rate = match value {
        Value::NumberLit(number) => number.value.parse::<f64>().ok(),
        _ => None,
    };
    let interval = rate.filter(|rate| *rate > 0.0);
    let interval = interval.and_then(|rate| Duration::try_from_secs_f64(rate.recip()).ok());
    if interval.is_none() {
        r.fault(value.range(), "expected a number above zero");
    }
    interval
}

fn read_usage(r: &mut Reader, value: &Value<'_>) -> Option<usage::Spec> {
    let fields = r.object(value, &["window", "lateness"])?;
    let window = r.field(&fields, "window", Reader::text);
    let lateness = r.field(&fields, "lateness", Reader::text);
    let (ParsedDuration(window), ParsedDuration(lateness)) = (window?, lateness?);
    if window.is_zero() {
        r.fault(fields.range, "the window must be longer than zero");
        return None;
    }
    Some(usage::Spec { window, lateness })
}

impl Gateway {
    /// Part of the memory for bodies of callers that are held until their requests have ended.
    #[must_use]
    pub const fn body_buffers(&self) -> Bytes {
        Bytes::new(self.memory.get() / BODY_BUFFERS_DIVISOR)
    }

    /// Part of the memory for answers that callers do not read and for requests that they send ahead.
    #[must_use]
    pub const fn connection_buffers(&self) -> Bytes {
        Bytes::new(self.memory.get() / CONNECTION_BUFFERS_DIVISOR)
    }

    /// Part of the memory for bytes of answers that are held until they can be passed on.
    #[must_use]
    pub const fn buffers(&self) -> Bytes {
        Bytes::new(self.memory.get() / BUFFERS_DIVISOR)
    }

    /// Division of the drain notice.
    #[must_use]
    pub const fn drain_budget(&self) -> Budget {
        Budget::new(self.drain_notice)
    }

    /// Time in which the store is followed again after the open connections to it have gone silent: the
    /// setting, or the part of the drain notice or of the revocation time if that is shorter. A confirmation
    /// of the plan is up to two waits of a watch call old, each of which is shorter than the recovery, and
    /// has to be renewed within four fifths of the revocation time.
    #[must_use]
    pub fn store_recovery(&self) -> Duration {
        let confirmation = self.key_revocation.map_or(Duration::MAX, |time| time / 2);
        self.store_recovery
            .min(self.drain_budget().store_recovery())
            .min(confirmation)
    }

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
            "readiness",
            "peers",
            "store",
            "store_recovery",
            "heartbeat",
            "drain_notice",
            "stop_delay",
            "grace",
            "key_revocation",
            "memory",
            "duties",
            "overload",
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
        let store_recovery = r.optional(
            &fields,
            "store_recovery",
            ParsedDuration(STORE_RECOVERY_DEFAULT),
            Reader::text,
        );
        let heartbeat = r.optional(
            &fields,
            "heartbeat",
            ParsedDuration(HEARTBEAT_DEFAULT),
            Reader::text,
        );
        let drain_notice = r.optional(
            &fields,
            "drain_notice",
            ParsedDuration(DRAIN_NOTICE_DEFAULT),
            Reader::text,
        );
        let stop_delay = r.optional(
            &fields,
            "stop_delay",
            ParsedDuration(STOP_DELAY_DEFAULT),
            Reader::text,
        );
        let grace = r.optional(
            &fields,
            "grace",
            ParsedDuration(GRACE_DEFAULT),
            Reader::text,
        );
        let key_revocation = r.optional(&fields, "key_revocation", None, |r, value| {
            r.text(value).map(|ParsedDuration(time)| Some(time))
        });
        let memory = r.optional(&fields, "memory", MEMORY_DEFAULT, Reader::text);
        let duties = r.optional(&fields, "duties", None, |r, value| {
            Duties::read(r, value).map(Some)
        });
        let overload = r.optional(&fields, "overload", triage::Mode::default(), |r, value| {
            r.choice(value, &triage::Mode::NAMES)
        });
        let log = r.optional(&fields, "log", Level::Info, log_level);
        Some(Self {
            process: process?,
            zone: zone?,
            listen: listen?,
            readiness: readiness?,
            peers: peers?,
            store: store?,
            store_recovery: store_recovery?.0,
            heartbeat: heartbeat?.0,
            drain_notice: drain_notice?.0,
            stop_delay: stop_delay?.0,
            grace: grace?.0,
            key_revocation: key_revocation?,
            memory: memory?,
            duties: duties?,
            overload: overload?,
            log: log?,
        })
    }
}
