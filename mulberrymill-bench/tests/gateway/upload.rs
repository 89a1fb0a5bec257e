//! Requests with long bodies whose endpoint leaves while it takes them. The endpoints are raw sockets, so that
//! they can begin on the head of a request and read the rest when a test says so.

use std::time::Duration;

use mulberrymill_bench::platform::entry;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    task::{self, JoinHandle},
    time,
};

use super::{Harness, MAX_POLLS, POLL_INTERVAL, config, departure::read_head};

/// Size of a body that does not fit into the socket buffers between gateway and endpoint.
const LARGE_BODY_BYTES: usize = 24 << 20;
/// Settings with the shortest drain notice that the gateway divides as in production.
const SHORT_NOTICE: &str = r#""stop_delay": "200ms", "drain_notice": "2s""#;
/// Settings with a drain notice that is longer than a test.
const LONG_NOTICE: &str = r#""stop_delay": "200ms", "drain_notice": "60s""#;
/// Limit of the wait for an event that follows in a correct gateway.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// How the gateway learns that an endpoint leaves.
#[derive(Clone, Copy, Debug)]
enum Leave {
    /// The store lists it as draining.
    Drains,
    /// Its entry is removed from the store.
    IsRemoved,
    /// It says so in its answer to another request.
    SaysSo,
}

/// An endpoint that begins to work on each request when it has its head. It answers short requests at once,
/// and long ones when it has read them, which it does once it is released.
struct Engine {
    id: &'static str,
    address: std::net::SocketAddr,
    /// Targets of the long requests that it has begun to work on.
    begun: mpsc::UnboundedReceiver<String>,
    released: watch::Sender<bool>,
    leaving: watch::Sender<bool>,
}

impl Engine {
    async fn bind(id: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (sender, begun) = mpsc::unbounded_channel();
        let (released, leaving) = (watch::Sender::new(false), watch::Sender::new(false));
        let serving = (released.subscribe(), leaving.subscribe());
        task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (released, leaving) = serving.clone();
                task::spawn_local(serve(stream, id, sender.clone(), released, leaving));
            }
        });
        Self {
            id,
            address,
            begun,
            released,
            leaving,
        }
    }

    fn list(&self, harness: &Harness, state: &str) {
        let entry = entry(self.address, "s1", 4, state);
        harness.store.put(&format!("servers/{}", self.id), &entry);
    }

    async fn leave(&self, harness: &Harness, leave: Leave) {
        match leave {
            Leave::Drains => self.list(harness, "draining"),
            Leave::IsRemoved => harness.store.remove(&format!("servers/{}", self.id)),
            Leave::SaysSo => {
                self.leaving.send_replace(true);
                harness.wait_until_answered_by(self.id).await;
            }
        }
    }

    /// Targets of the long requests that it has begun to work on since the last call.
    fn take_begun(&mut self) -> Vec<String> {
        std::iter::from_fn(|| self.begun.try_recv().ok()).collect()
    }
}

async fn serve(
    mut stream: TcpStream,
    id: &'static str,
    begun: mpsc::UnboundedSender<String>,
    mut released: watch::Receiver<bool>,
    leaving: watch::Receiver<bool>,
) -> Option<()> {
    loop {
        // The gateway sends the head in one part, and short bodies with it.
        let head = read_head(&mut stream).await?;
        if head.contains(&format!("content-length: {LARGE_BODY_BYTES}")) {
            let target = head.split(' ').nth(1).unwrap_or_default();
            begun.send(target.to_owned()).ok()?;
            released.wait_for(|released| *released).await.ok()?;
            let (_, start) = head.split_once("\r\n\r\n")?;
            let mut missing = LARGE_BODY_BYTES - start.len();
            let mut buffer = vec![0; 64 << 10];
            while missing > 0 {
                match stream.read(&mut buffer).await {
                    Ok(read @ 1..) => missing -= read,
                    _ => return None,
                }
            }
        }
        let notice = if *leaving.borrow() {
            "server-leaving: 1\r\n"
        } else {
            ""
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: 9c41\r\nserver-stamp: {id}\r\n{notice}\
             content-length: {}\r\n\r\n{id}",
            id.len()
        );
        stream.write_all(answer.as_bytes()).await.ok()?;
    }
}

/// Sends a request with a long body. Returns the status and the body of the answer.
fn upload(harness: &Harness, target: &'static str) -> JoinHandle<String> {
    let url = format!("http://{}{target}", harness.gateway.address());
    let request = harness
        .client
        .post(url)
        .insert_header(("Host", "kitchen.example"))
        .insert_header(("Request-Id", "9c41"))
        .insert_header(("Deadline-Ms", "20000"));
    task::spawn_local(async move {
        let answer = request.send_body(vec![b'x'; LARGE_BODY_BYTES]).await;
        match answer {
            Ok(mut response) => {
                let body = response.body().await.expect("a complete body");
                let body = String::from_utf8_lossy(&body).into_owned();
                let status = response.status().as_u16();
                if status == 200 {
                    format!("{status} {body}")
                } else {
                    status.to_string()
                }
            }
            Err(error) => format!("no answer: {error}"),
        }
    })
}

async fn harness(settings: &str) -> Harness {
    let harness = Harness::with_settings(settings).await;
    let mut plan = config(3, "s1");
    plan["limits"]["maxBodyBytes"] = (2 * LARGE_BODY_BYTES).into();
    harness.store.put("op/config", &plan);
    harness
}

/// Begins a long request at the first endpoint, which then leaves and reads no further. Returns what the caller
/// and the second endpoint got.
async fn interrupt(target: &'static str, leave: Leave, has_other: bool) -> String {
    let harness = harness(SHORT_NOTICE).await;
    let [mut first, mut second] = [Engine::bind("e1").await, Engine::bind("e2").await];
    // A request that is sent to the second endpoint is completed there.
    second.released.send_replace(true);
    first.list(&harness, "ready");
    harness.wait_until_ready().await;
    harness.wait_until_answered_by("e1").await;
    let answer = upload(&harness, target);
    let begun = time::timeout(EVENT_TIMEOUT, first.begun.recv()).await;
    begun.expect("the request arrives").expect("e1 runs");
    first.leave(&harness, leave).await;
    if has_other {
        second.list(&harness, "ready");
        harness.wait_until_answered_by("e2").await;
    }
    let answer = time::timeout(EVENT_TIMEOUT, answer).await;
    let answer = answer.expect("an answer").expect("the caller runs");
    format!(
        "{target} {leave:?}: {answer}; also begun at e1: {:?}, at e2: {:?}",
        first.take_begun(),
        second.take_begun()
    )
}

/// Guards against a request that must run once and runs at a second endpoint since the first one left while it
/// took the body (TWICE), and against a status that says that it has not run (REFUSED).
#[actix_web::test]
async fn request_whose_endpoint_leaves_during_the_upload_runs_once() {
    let mut outcomes = Vec::new();
    for leave in [Leave::Drains, Leave::IsRemoved, Leave::SaysSo] {
        for has_other in [true, false] {
            outcomes.push(interrupt("/once/1", leave, has_other).await);
        }
    }
    outcomes.push(interrupt("/stream/1", Leave::Drains, true).await);
    outcomes.push(interrupt("/plain/1", Leave::Drains, true).await);
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against giving up a request that its endpoint has begun to take, although it serves on after it has
/// announced its leave.
#[actix_web::test]
async fn upload_that_was_begun_is_completed_within_the_drain_notice() {
    let mut outcomes = Vec::new();
    for leave in [Leave::Drains, Leave::IsRemoved, Leave::SaysSo] {
        let harness = harness(LONG_NOTICE).await;
        let [mut first, mut second] = [Engine::bind("e1").await, Engine::bind("e2").await];
        first.list(&harness, "ready");
        harness.wait_until_ready().await;
        harness.wait_until_answered_by("e1").await;
        let answer = upload(&harness, "/once/1");
        let begun = time::timeout(EVENT_TIMEOUT, first.begun.recv()).await;
        begun.expect("the request arrives").expect("e1 runs");
        first.leave(&harness, leave).await;
        second.list(&harness, "ready");
        wait_until_only_answered_by(&harness, "e2").await;
        first.released.send_replace(true);
        let answer = time::timeout(EVENT_TIMEOUT, answer).await;
        let answer = answer.expect("an answer").expect("the caller runs");
        let others = (first.take_begun(), second.take_begun());
        outcomes.push(format!("{leave:?}: {answer}; also begun: {others:?}"));
    }
    insta::assert_debug_snapshot!(outcomes);
}

/// Waits until the gateway sends no more requests to other endpoints: ten in a row go to this one.
async fn wait_until_only_answered_by(harness: &Harness, endpoint: &str) {
    let mut in_a_row = 0;
    for _ in 0..MAX_POLLS {
        let is_answered = harness.send("/plain/1").await.contains(endpoint);
        in_a_row = if is_answered { in_a_row + 1 } else { 0 };
        if in_a_row == 10 {
            return;
        }
        time::sleep(POLL_INTERVAL).await;
    }
    panic!("other endpoints than {endpoint} get requests");
}
