//! Requests that a stopping gateway gets. The endpoint is a raw socket that takes as long as the target
//! of the request says, and the caller sees every byte of the answer.

use std::{cell::RefCell, collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use awc::Client;
use futures_util::future::join_all;
use mulberrymill_bench::platform::entry;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task, time,
};

use super::{Harness, MAX_POLLS, config, departure::read_head, faulty::status};

/// Settings of a gateway that accepts connections for the first third of its grace period.
const SETTINGS: &str = r#""stop_delay": "1s", "grace": "3s""#;
/// Interval at which requests are sent.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Requests of each kind, which are sent until the gateway accepts no connections.
const MOMENTS: u32 = 9;
/// Time after the begin of the stop at which the gateway accepts no connections, and an answer that
/// takes long cannot be complete before the end.
const LATE: Duration = Duration::from_millis(1_500);
/// Targets below `/once/` and `/plain/` are answered after as many milliseconds as they say, those below
/// `/stream/` with events for as long.
const SHORT: &str = "20";
const LONG: &str = "6000";
/// Interval of the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// A gateway with one endpoint, and the ids of the requests that the endpoint has received.
struct Rig {
    harness: Harness,
    seen: Rc<RefCell<BTreeSet<String>>>,
}

/// A request of a caller.
#[derive(Clone, Debug)]
struct Call {
    target: String,
    id: String,
    deadline_ms: u32,
}

impl Call {
    fn new(kind: &str, work: &str, deadline_ms: u32, name: &str) -> Self {
        Self {
            target: format!("/{kind}/{work}"),
            id: format!("{kind}-{work}-{deadline_ms}-{name}"),
            deadline_ms,
        }
    }

    fn head(&self, body_bytes: usize) -> String {
        format!(
            "POST {} HTTP/1.1\r\nhost: kitchen.example\r\nrequest-id: {}\r\n\
             deadline-ms: {}\r\ncontent-length: {body_bytes}\r\n\r\n",
            self.target, self.id, self.deadline_ms
        )
    }

    /// Sends the request, and returns all bytes until the end of the connection; `None` if the
    /// connection was lost before the request was sent.
    async fn send(&self, caller: Option<TcpStream>) -> Option<String> {
        let mut caller = caller?;
        caller.write_all(self.head(0).as_bytes()).await.ok()?;
        Some(read_rest(&mut caller).await)
    }
}

/// Reads until the end of a connection. The gateway may end a broken answer with a reset.
async fn read_rest(caller: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = caller.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

impl Rig {
    async fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let harness = Harness::with_settings(SETTINGS).await;
        harness.store.put("op/config", &config(3, "s1"));
        let address = listener.local_addr().expect("a bound address");
        harness
            .store
            .put("servers/e1", &entry(address, "s1", 64, "ready"));
        harness.wait_until_ready().await;
        let seen = Rc::new(RefCell::default());
        task::spawn_local({
            let seen = Rc::clone(&seen);
            async move {
                while let Ok((stream, _)) = listener.accept().await {
                    task::spawn_local(serve(stream, Rc::clone(&seen)));
                }
            }
        });
        Self { harness, seen }
    }

    /// A connection on which a request was served before.
    async fn connect_and_keep(&self, name: &str) -> TcpStream {
        let mut caller = connect(self.harness.gateway.address())
            .await
            .expect("a connection");
        let first = Call::new("plain", SHORT, 5_000, &format!("first-{name}"));
        let sent = caller.write_all(first.head(0).as_bytes()).await;
        sent.expect("a gateway that reads");
        let head = read_head(&mut caller).await.expect("a head");
        assert!(head.contains("content-length: 0"), "{head}");
        caller
    }
}

async fn wait_until_stopping(client: &Client, readiness: SocketAddr) {
    let url = format!("http://{readiness}/mulberrymill/readyz");
    for _ in 0..MAX_POLLS {
        let response = client.get(&url).send().await;
        if response.expect("a response").status().as_u16() != 200 {
            return;
        }
    }
    panic!("the gateway does not stop");
}

async fn connect(gateway: SocketAddr) -> Option<TcpStream> {
    TcpStream::connect(gateway).await.ok()
}

/// Answers the requests of one connection.
async fn serve(mut stream: TcpStream, seen: Rc<RefCell<BTreeSet<String>>>) -> Option<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let target = head.split(' ').nth(1)?;
        let work = Duration::from_millis(target.rsplit('/').next()?.parse().ok()?);
        let id = head.lines().find_map(|l| l.strip_prefix("request-id: "))?;
        seen.borrow_mut().insert(id.to_owned());
        let common = format!("HTTP/1.1 200 OK\r\nserver-stamp: s\r\nrequest-id: {id}\r\n");
        if !target.starts_with("/stream/") {
            time::sleep(work).await;
            let answer = format!("{common}content-length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes()).await.ok()?;
            continue;
        }
        let head = format!(
            "{common}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        for number in 1..=work.as_millis() / EVENT_INTERVAL.as_millis() {
            let event = format!("id: {number}\ndata: x\n\n");
            let part = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(part.as_bytes()).await.ok()?;
            time::sleep(EVENT_INTERVAL).await;
        }
        stream.write_all(b"0\r\n\r\n").await.ok()?;
    }
}

/// What a caller was told. A refusal also says whether the endpoint has received the request, and
/// whether the caller is sent elsewhere.
fn outcome(answer: Option<&str>, seen: bool) -> String {
    let answer = answer.unwrap_or_default();
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return if seen { "cut" } else { "not taken" }.to_owned();
    };
    let head = head.to_lowercase();
    let whole = !head.contains("chunked") || body.ends_with("0\r\n\r\n");
    match status(&head) {
        200 if whole => "whole".to_owned(),
        200 => "cut within the answer".to_owned(),
        503 => {
            let run = if seen { "passed on" } else { "not passed on" };
            let elsewhere = head.contains("retry-after: ") && head.contains("connection: close");
            format!("503, {run}, sent elsewhere: {elsewhere}")
        }
        other => other.to_string(),
    }
}

/// The refusal that a stopping gateway gives.
const REFUSED: &str = "503, not passed on, sent elsewhere: true";

/// Guards against requests that a stopping gateway takes and passes on, and cuts without an answer when
/// its grace period ends (LOST).
#[actix_web::test]
async fn requests_in_a_stop_are_answered_or_refused() {
    let rig = Rig::open().await;
    let address = rig.harness.gateway.address();
    let mut sent = Vec::new();
    for moment in 0..MOMENTS {
        for (kind, work, deadline_ms) in [
            ("once", SHORT, 1_000),
            ("once", LONG, 20_000),
            ("plain", SHORT, 1_000),
            ("plain", LONG, 20_000),
            ("plain", LONG, 4_000),
            ("stream", SHORT, 1_000),
            ("stream", LONG, 20_000),
        ] {
            for kept in [
                None,
                Some(rig.connect_and_keep(&sent.len().to_string()).await),
            ] {
                let name = format!("{moment}-{}", kept.is_some());
                let call = Call::new(kind, work, deadline_ms, &name);
                sent.push((moment, call, kept));
            }
        }
    }
    let readiness = rig.harness.gateway.readiness();
    let stopping = task::spawn_local(rig.harness.gateway.stop());
    wait_until_stopping(&rig.harness.client, readiness).await;
    let outcomes = sent.into_iter().map(async |(moment, call, kept)| {
        time::sleep(SEND_INTERVAL * moment).await;
        let caller = match kept {
            Some(caller) => Some(caller),
            None => connect(address).await,
        };
        let answer = call.send(caller).await;
        let seen = rig.seen.borrow().contains(&call.id);
        let what = outcome(answer.as_deref(), seen);
        (call, what)
    });
    let outcomes = join_all(outcomes).await;
    stopping.await.expect("the stop does not panic");
    let allowed = ["whole", "504", "not taken", REFUSED];
    let unexpected: Vec<_> = outcomes
        .iter()
        .filter(|(_, what)| !allowed.contains(&what.as_str()))
        .collect();
    assert!(unexpected.is_empty(), "{unexpected:#?}");
    let seen = rig.seen.borrow();
    let passed_on: Vec<_> = seen.iter().filter(|id| id.contains("-20000-")).collect();
    assert!(passed_on.is_empty(), "{passed_on:#?}");
    let refused = |kind: &str| {
        let of_kind = |call: &Call, what: &str| call.id.starts_with(kind) && what == REFUSED;
        outcomes.iter().any(|(call, what)| of_kind(call, what))
    };
    assert!(["once", "plain", "stream"].iter().all(|kind| refused(kind)));
}

/// Guards against a request that is passed on late in a stop because its body took long, and is cut
/// without an answer (LOST).
#[actix_web::test]
async fn request_whose_body_ends_late_in_a_stop_is_refused() {
    let rig = Rig::open().await;
    let address = rig.harness.gateway.address();
    let mut sent = Vec::new();
    for kind in ["once", "plain", "stream"] {
        for completes in [true, false] {
            let call = Call::new(kind, LONG, 20_000, &completes.to_string());
            let mut caller = connect(address).await.expect("a connection");
            let sent_head = caller.write_all(call.head(5).as_bytes()).await;
            sent_head.expect("a gateway that reads");
            sent.push((call, caller, completes));
        }
    }
    let stopping = task::spawn_local(rig.harness.gateway.stop());
    time::sleep(LATE).await;
    let outcomes = sent.into_iter().map(async |(call, mut caller, completes)| {
        let body: &[u8] = if completes { b"label" } else { b"lab" };
        let sent = caller.write_all(body).await;
        sent.expect("a gateway that reads");
        let answer = read_rest(&mut caller).await;
        let seen = rig.seen.borrow().contains(&call.id);
        format!("{}: {}", call.id, outcome(Some(&answer), seen))
    });
    let outcomes = join_all(outcomes).await;
    stopping.await.expect("the stop does not panic");
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against a request that is cut without an answer at the end of a stop that began after it, or
/// whose answer does not say that the connection ends (LOST).
#[actix_web::test]
async fn requests_before_a_stop_are_answered_at_its_end() {
    let rig = Rig::open().await;
    let address = rig.harness.gateway.address();
    let calls = [
        Call::new("once", "500", 20_000, "1"),
        Call::new("once", LONG, 20_000, "1"),
        Call::new("plain", LONG, 20_000, "1"),
        Call::new("stream", LONG, 20_000, "1"),
    ];
    let mut sent = Vec::new();
    for call in calls {
        let mut caller = connect(address).await.expect("a connection");
        let sent_head = caller.write_all(call.head(0).as_bytes()).await;
        sent_head.expect("a gateway that reads");
        while !rig.seen.borrow().contains(&call.id) {
            time::sleep(EVENT_INTERVAL).await;
        }
        sent.push((call, caller));
    }
    let stopping = task::spawn_local(rig.harness.gateway.stop());
    let outcomes = sent.into_iter().map(async |(call, mut caller)| {
        let answer = read_rest(&mut caller).await;
        let closes = answer.to_lowercase().contains("connection: close");
        let what = outcome(Some(&answer), true);
        format!("{}: {what}, announces its close: {closes}", call.id)
    });
    let outcomes = join_all(outcomes).await;
    stopping.await.expect("the stop does not panic");
    insta::assert_debug_snapshot!(outcomes);
}
