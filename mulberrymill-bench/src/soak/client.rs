use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_web::{
    dev::RequestHead,
    http::{
        Method,
        header::{HeaderName, HeaderValue},
    },
};
use bytes::Bytes;
use mulberrymill::upstream::Client;
use rand::Rng;
use tokio::time;

use super::plan::rng;

/// Deadline that a client sends with each request.
pub(super) const DEADLINE: Duration = Duration::from_millis(2_500);
/// Time after the deadline at which the client gives up.
const GIVE_UP_DELAY: Duration = Duration::from_secs(2);
/// Longest pause between two requests of a client.
const PAUSE_MAX: Duration = Duration::from_millis(60);

/// Largest response body that a client reads.
const BODY_MAX_BYTES: usize = 64 << 10;

/// Kinds of request; the first path segment names the kind.
pub(super) const KINDS: [&str; 3] = ["plain", "once", "stream"];

/// A request and the response its client received.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    /// Index of the gateway.
    pub(super) gateway: usize,
    pub(super) request: String,
    pub(super) kind: &'static str,
    pub(super) target: String,
    pub(super) at: Instant,
    /// `None` if the connection failed or the client gave up before a response.
    pub(super) answer: Option<Answer>,
}

/// A response as its client received it.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) stamp: Option<String>,
    pub(super) request: Option<String>,
    /// `None` if the body was truncated.
    pub(super) body: Option<String>,
}

/// State shared by all clients.
#[derive(Clone, Debug)]
pub(super) struct Shared {
    /// Current address of each gateway.
    pub(super) gateways: Rc<RefCell<Vec<SocketAddr>>>,
    pub(super) sent: Rc<RefCell<Vec<Sent>>>,
    pub(super) stopped: Rc<Cell<bool>>,
}

/// Sends requests one after another over persistent connections until the soak test is stopped.
pub(super) async fn run(shared: Shared, seed: u64, number: u64) {
    let mut rng = rng(seed, 100 + number);
    // Unlike `awc`, this client distinguishes a truncated body from a complete one.
    let client = Client::new();
    let mut count = 0_u64;
    while !shared.stopped.get() {
        count += 1;
        let kind = KINDS[rng.random_range(0..KINDS.len())];
        let gateway = rng.random_range(0..shared.gateways.borrow().len());
        let request = format!("{number:x}-{count:x}");
        let sent = send(&shared, &client, gateway, kind, request).await;
        shared.sent.borrow_mut().push(sent);
        time::sleep(PAUSE_MAX.mul_f64(rng.random_range(0.0..1.0))).await;
    }
}

/// Sends a request and reads its response to the end.
pub(super) async fn send(
    shared: &Shared,
    client: &Client,
    gateway: usize,
    kind: &'static str,
    request: String,
) -> Sent {
    let target = format!("/{kind}/{request}");
    let at = Instant::now();
    let body = Bytes::from(request.clone());
    let address = shared.gateways.borrow()[gateway];
    let call = async {
        let response = client.send(address, head(&target, &request), body).await;
        // Without a response there is nothing to check.
        let mut response = response.ok()?;
        let header = |name: &str| {
            let value = response.head.headers().get(name)?;
            Some(value.to_str().ok()?.to_owned())
        };
        let (stamp, echoed) = (header("server-stamp"), header("request-id"));
        let status = response.head.status.as_u16();
        let body = time::timeout(
            DEADLINE + GIVE_UP_DELAY,
            response.body.collect(BODY_MAX_BYTES),
        )
        .await;
        let body = body.ok().and_then(std::result::Result::ok);
        Some(Answer {
            status,
            stamp,
            request: echoed,
            body: body.map(|body| String::from_utf8_lossy(&body).into_owned()),
        })
    };
    let answer = time::timeout(DEADLINE + GIVE_UP_DELAY, call)
        .await
        .ok()
        .flatten();
    Sent {
        gateway,
        request,
        kind,
        target,
        at,
        answer,
    }
}

fn head(target: &str, request: &str) -> RequestHead {
    let headers = [
        ("host", "soak.example".to_owned()),
        ("request-id", request.to_owned()),
        ("deadline-ms", DEADLINE.as_millis().to_string()),
    ];
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = target
        .parse()
        .unwrap_or_else(|error| panic!("{target}: {error}"));
    for (name, value) in headers {
        let value = HeaderValue::from_str(&value).unwrap_or_else(|error| panic!("{name}: {error}"));
        head.headers.insert(HeaderName::from_static(name), value);
    }
    head
}
