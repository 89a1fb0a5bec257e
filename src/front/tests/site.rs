//! A server on loopback with fakes behind it, and a client that hides nothing of the protocol.

use std::{
    sync::{Arc, OnceLock},
    time::{Instant, SystemTime},
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
        fake::{self, Behaviour, Rig},
        script::{Act, act},
    },
    spread::View,
    wire,
};

/// Bearer keys of the example document and of the operators.
pub(super) const KITCHEN: &str = "example-key-kitchen";
pub(super) const OFFICE: &str = "example-key-menu-office";
pub(super) const OPERATOR: &str = "operator-key";

/// The machine's monotonic clock at a fixed wall-clock time.
#[derive(Debug)]
struct Fixed;

impl Clock for Fixed {
    fn now(&self) -> Instant {
        clock::System.now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

/// Stands for the operators' console and for agents that are asked for outcomes.
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

unavailable!(Read -> Snapshot, Put -> Revision, Create -> Revision, Drain -> (), Status -> StatusReport);

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

/// A running server and what stands behind it.
pub(super) struct Site {
    pub(super) rig: Rig,
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

/// A server without a document.
pub(super) fn unready(slots: u32) -> Site {
    let metrics = metrics();
    let rig = fake::rig(Behaviour::default(), slots);
    let (revision, revision_view) = watch::channel(Revision::default());
    let (document, document_view) = watch::channel(Arc::default());
    let (stopping, stopping_view) = watch::channel(false);
    let console = Console.start();
    let server = bind(Config {
        listen: "127.0.0.1:0".parse().expect("valid address"),
        workers: 1,
        relay: rig.relay.clone(),
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
        clock: Arc::new(Fixed),
        metrics,
    });
    Site {
        rig,
        document,
        stopping,
        server: server.expect("a free port"),
        _revision: revision,
    }
}

/// A server with the document of the tests; `slots` requests run at the same time.
pub(super) fn site(slots: u32) -> Site {
    let site = unready(slots);
    site.document.send_replace(fake::document());
    site
}

impl Site {
    pub(super) async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.server.address())
            .await
            .expect("a listening server")
    }

    /// Sends bytes and returns all that the server answers, redacted.
    pub(super) async fn exchange(&self, request: &[u8]) -> String {
        let mut stream = self.connect().await;
        // The server may answer and close before it has read everything.
        let _sent = stream.write_all(request).await;
        redact(&read_all(&mut stream).await)
    }

    /// Sends a request whose attempt is answered by a script.
    pub(super) async fn ask(&mut self, request: &[u8], script: Vec<Act>) -> String {
        let mut stream = self.connect().await;
        stream.write_all(request).await.expect("write");
        let submit = self.rig.submits.recv().await.expect("an attempt");
        for event in script {
            act(&submit, event);
        }
        redact(&read_all(&mut stream).await)
    }
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    // A reset after the answer does not matter.
    let _read = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// A request with a key and a body that asks to close the connection.
pub(super) fn request(method: &str, path: &str, key: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: mill\r\nConnection: close\r\n\
         Authorization: Bearer {key}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// A completion request of the kitchen.
pub(super) fn completion(body: &str) -> Vec<u8> {
    request("POST", "/v1/completions", KITCHEN, "", body)
}

/// Sorts the headers, joins the chunks of the body, and hides dates and ids.
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
