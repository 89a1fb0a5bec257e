//! Test harness: the HTTP server on loopback with fake actors behind it, and a client that works
//! on raw bytes.

use std::{
    sync::{Arc, OnceLock},
    time::{Duration, Instant, SystemTime},
};

use actix::{Actor, Context, Handler};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
};

use super::super::{Config, OperatorPorts, Server, bind, hash_key};
use crate::{
    clock::{self, Clock},
    config::Document,
    error::{Error, Kind, Result},
    id::Revision,
    link,
    operator::{Create, Drain, Put, Read, Snapshot, Status, StatusReport},
    relay::tests::{
        fake::{self, FakeSettings},
        script::{AgentEvent, send_event},
    },
    spread::View,
    wire,
};

/// Bearer key of the caller `kitchen` in the example document.
pub(super) const KITCHEN: &str = "example-key-kitchen";
/// Bearer key of the caller `menu-office` in the example document.
pub(super) const OFFICE: &str = "example-key-menu-office";
/// Bearer key of the operators.
pub(super) const OPERATOR: &str = "operator-key";

/// The system's monotonic clock with a wall clock fixed at the Unix epoch.
#[derive(Debug)]
struct FixedWallClock;

impl Clock for FixedWallClock {
    fn now(&self) -> Instant {
        clock::System.now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }

    fn since_boot(&self) -> Duration {
        clock::System.since_boot()
    }
}

/// Fake of the operator console, whose store is unreachable, and of the agents' record lookup.
struct Console;

impl Actor for Console {
    type Context = Context<Self>;
}

macro_rules! unavailable {
    ($($message:ident -> $answer:ty),*) => {
        $(impl Handler<$message> for Console {
            type Result = Result<$answer>;

            fn handle(&mut self, _msg: $message, _ctx: &mut Self::Context) -> Self::Result {
                Err(Error::new(Kind::StoreUnavailable, "the store is down"))
            }
        })*
    };
}

unavailable!(
    Read -> Snapshot,
    Put -> Revision,
    Create -> Revision,
    Drain -> (),
    Status -> StatusReport
);

impl Handler<link::Lookup> for Console {
    type Result = Result<wire::Outcome>;

    fn handle(&mut self, msg: link::Lookup, _ctx: &mut Self::Context) -> Self::Result {
        let recorded = match msg.lookup.key.as_str() {
            "started" => wire::Recorded::Started,
            "ended" => wire::Recorded::Ended {
                status: 200,
                content_type: "text/plain".to_owned(),
                body: b"printed".to_vec(),
            },
            "unavailable" => wire::Recorded::Unavailable,
            _ => wire::Recorded::Absent,
        };
        let request = msg.lookup.request;
        Ok(wire::Outcome { request, recorded })
    }
}

/// A running server, its fake actors and the senders of its inputs.
pub(super) struct Harness {
    pub(super) fake_relay: fake::Harness,
    pub(super) document: watch::Sender<Arc<Document>>,
    pub(super) stopping: watch::Sender<bool>,
    pub(super) server: Server,
    _revision: watch::Sender<Revision>,
}

fn metrics() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    let install = || PrometheusBuilder::new().install_recorder();
    let handle = HANDLE.get_or_init(|| install().expect("the only recorder"));
    handle.clone()
}

/// Starts a server that has not received a document.
pub(super) fn harness_without_document(slots: u32) -> Harness {
    let metrics = metrics();
    let fake_relay = fake::start_relay(FakeSettings::default(), slots);
    let (revision, revision_view) = watch::channel(Revision::default());
    let (document, document_view) = watch::channel(Arc::default());
    let (stopping, stopping_view) = watch::channel(false);
    let console = Console.start();
    let server = bind(Config {
        listen: "127.0.0.1:0".parse().expect("valid address"),
        workers: 1,
        relay: fake_relay.relay.clone(),
        lookup: console.clone().recipient(),
        view: View {
            revision: revision_view,
            document: document_view,
        },
        stopping: stopping_view,
        operator: OperatorPorts {
            key_sha256: hash_key(OPERATOR),
            read: console.clone().recipient(),
            put: console.clone().recipient(),
            create: console.clone().recipient(),
            drain: console.clone().recipient(),
            status: console.recipient(),
        },
        clock: Arc::new(FixedWallClock),
        metrics,
    });
    Harness {
        fake_relay,
        document,
        stopping,
        server: server.expect("a free port"),
        _revision: revision,
    }
}

/// Starts a server with the test document. At most `slots` requests run concurrently.
pub(super) fn harness(slots: u32) -> Harness {
    let harness = harness_without_document(slots);
    harness.document.send_replace(fake::document());
    harness
}

impl Harness {
    pub(super) async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.server.address())
            .await
            .expect("a listening server")
    }

    /// Sends bytes and returns the whole redacted response.
    pub(super) async fn exchange(&self, request: &[u8]) -> String {
        let mut stream = self.connect().await;
        // The server may answer and close before it has read everything.
        let _sent = stream.write_all(request).await;
        redact(&read_all(&mut stream).await)
    }

    /// Sends a request, answers its attempt by a script and returns the whole redacted response.
    pub(super) async fn ask(&mut self, request: &[u8], script: Vec<AgentEvent>) -> String {
        let mut stream = self.connect().await;
        stream.write_all(request).await.expect("write");
        let submit = self.fake_relay.submits.recv().await.expect("an attempt");
        for event in script {
            send_event(&submit, event);
        }
        redact(&read_all(&mut stream).await)
    }
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    // A connection reset after the response is ignored.
    let _read = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Encodes a request with a bearer key, a body and `Connection: close`.
pub(super) fn request(method: &str, path: &str, key: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: mill\r\nConnection: close\r\n\
         Authorization: Bearer {key}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Encodes a completion request of the caller `kitchen`.
pub(super) fn completion(body: &str) -> Vec<u8> {
    request("POST", "/v1/completions", KITCHEN, "", body)
}

/// Sorts the headers, decodes a chunked body, removes the date and replaces the request id.
fn redact(answer: &str) -> String {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return answer.to_owned();
    };
    let mut lines: Vec<&str> = head.split("\r\n").collect();
    let id = lines
        .iter()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    let chunked = lines.contains(&"transfer-encoding: chunked");
    lines.retain(|line| !line.starts_with("date:"));
    lines[1..].sort_unstable();
    let body = if chunked {
        join_chunks(body)
    } else {
        body.to_owned()
    };
    let text = format!("{}\n\n{body}", lines.join("\n"));
    id.map_or(text.clone(), |id| text.replace(id, "ID"))
}

fn join_chunks(mut body: &str) -> String {
    let mut text = String::new();
    while let Some((size, rest)) = body.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap_or(0);
        if size == 0 {
            return text;
        }
        text.push_str(&rest[..size]);
        body = rest[size..].trim_start_matches("\r\n");
    }
    text + "(cut)"
}
