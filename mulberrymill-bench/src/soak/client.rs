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
use mulberrymill::upstream::{self, Client, Response};
use rand::Rng;
use tokio::time::{self, error::Elapsed};

use super::plan::rng;

/// Deadlines that clients send with their requests; the first one with half of them.
const DEADLINES: [Duration; 3] = [
    Duration::from_millis(2_500),
    Duration::from_millis(4_500),
    Duration::from_secs(9),
];
/// Gap between two events after which the client of a stream leaves.
const EVENT_GAP_MAX: Duration = Duration::from_secs(2);
/// Time after the deadline at which the client gives up.
const GIVE_UP_DELAY: Duration = Duration::from_secs(2);
/// Longest pause between two requests of a client.
const PAUSE_MAX: Duration = Duration::from_millis(60);

/// A route of the configuration; its name is the first path segment.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Route {
    pub(super) name: &'static str,
    pub(super) service: &'static str,
    pub(super) kind: &'static str,
    pub(super) resumable: bool,
    pub(super) attempts: usize,
}

impl Route {
    const fn new(
        name: &'static str,
        service: &'static str,
        kind: &'static str,
        resumable: bool,
        attempts: usize,
    ) -> Self {
        Self {
            name,
            service,
            kind,
            resumable,
            attempts,
        }
    }

    pub(super) fn is_stream(&self) -> bool {
        self.kind == "streaming"
    }

    /// Whether a request may be executed again.
    pub(super) fn is_repeatable(&self) -> bool {
        self.kind == "idempotent" || self.resumable
    }
}

/// Number of kinds of request.
pub(super) const KIND_COUNT: usize = 3;

/// Routes: one of each kind of request, and then variants of these.
pub(super) const ROUTES: [Route; 7] = [
    Route::new("plain", "free", "idempotent", false, 2),
    Route::new("once", "once", "non_idempotent", false, 2),
    Route::new("stream", "free", "streaming", true, 2),
    Route::new("plain-single", "free", "idempotent", false, 1),
    Route::new("once-single", "once", "non_idempotent", false, 1),
    Route::new("stream-single", "free", "streaming", true, 1),
    Route::new("stream-once", "free", "streaming", false, 2),
];

/// A request and the response its client received.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    /// Index of the gateway.
    pub(super) gateway: usize,
    pub(super) request: String,
    pub(super) route: &'static Route,
    pub(super) target: String,
    pub(super) at: Instant,
    pub(super) deadline: Duration,
    pub(super) ended: Instant,
    pub(super) end: End,
    /// `None` if the connection failed or the client gave up before a response.
    pub(super) answer: Option<Answer>,
}

/// How the response to a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum End {
    Complete,
    /// The connection failed.
    Broken(String),
    /// The client closed the connection.
    GaveUp,
}

impl From<upstream::Error> for End {
    fn from(error: upstream::Error) -> Self {
        Self::Broken(error.to_string())
    }
}

impl From<Elapsed> for End {
    fn from(_: Elapsed) -> Self {
        Self::GaveUp
    }
}

/// A response as its client received it.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) stamp: Option<String>,
    pub(super) request: Option<String>,
    /// `None` if the body was truncated.
    pub(super) body: Option<String>,
    pub(super) received_bytes: usize,
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
    // Drawn apart, so that recorded seeds keep their other requests.
    let mut variants = self::rng(seed, 200 + number);
    // Unlike `awc`, this client distinguishes a truncated body from a complete one.
    let client = Client::new();
    let mut count = 0_u64;
    while !shared.stopped.get() {
        count += 1;
        let kind = ROUTES[rng.random_range(0..KIND_COUNT)].kind;
        let same_kind: Vec<_> = ROUTES.iter().filter(|route| route.kind == kind).collect();
        let variant = variants.random_range(0_usize..4).saturating_sub(1);
        let route = same_kind[variant.min(same_kind.len() - 1)];
        let deadline = DEADLINES[variants.random_range(0_usize..4).saturating_sub(1)];
        let gateway = rng.random_range(0..shared.gateways.borrow().len());
        let request = format!("{number:x}-{count:x}");
        let sent = send(&shared, &client, gateway, (route, deadline), request).await;
        shared.sent.borrow_mut().push(sent);
        time::sleep(PAUSE_MAX.mul_f64(rng.random_range(0.0..1.0))).await;
    }
}

/// Sends a request on a route with a deadline, and reads its response to the end.
pub(super) async fn send(
    shared: &Shared,
    client: &Client,
    gateway: usize,
    (route, deadline): (&'static Route, Duration),
    request: String,
) -> Sent {
    let target = format!("/{}/{request}", route.name);
    let at = Instant::now();
    let address = shared.gateways.borrow()[gateway];
    let limit = deadline + GIVE_UP_DELAY;
    let gap = if route.is_stream() {
        EVENT_GAP_MAX
    } else {
        limit
    };
    let mut answer = None;
    let call = async {
        let body = Bytes::from(request.clone());
        let response = client.send(address, head(&target, &request, deadline), body);
        receive(time::timeout(gap, response).await??, gap, &mut answer).await
    };
    let end = match time::timeout(limit, call).await {
        Ok(end) => end.err().unwrap_or(End::Complete),
        Err(_elapsed) => End::GaveUp,
    };
    Sent {
        gateway,
        request,
        route,
        target,
        at,
        deadline,
        ended: Instant::now(),
        end,
        answer,
    }
}

/// Sends a probe request on a route.
pub(super) async fn probe(
    shared: &Shared,
    client: &Client,
    gateway: usize,
    route: &'static Route,
) -> Sent {
    let request = format!("probe-{:x}", shared.sent.borrow().len());
    send(shared, client, gateway, (route, DEADLINES[0]), request).await
}

/// Reads a response into `answer`, and leaves after a `gap` between parts of its body.
async fn receive(
    mut response: Response,
    gap: Duration,
    answer: &mut Option<Answer>,
) -> std::result::Result<(), End> {
    let header = |name: &str| {
        let value = response.head.headers().get(name)?;
        Some(value.to_str().ok()?.to_owned())
    };
    let answer = answer.insert(Answer {
        status: response.head.status.as_u16(),
        stamp: header("server-stamp"),
        request: header("request-id"),
        body: None,
        received_bytes: 0,
    });
    let mut body = Vec::new();
    loop {
        let Some(part) = time::timeout(gap, response.body.next()).await?? else {
            answer.body = Some(String::from_utf8_lossy(&body).into_owned());
            return Ok(());
        };
        body.extend_from_slice(&part);
        answer.received_bytes = body.len();
    }
}

fn head(target: &str, request: &str, deadline: Duration) -> RequestHead {
    let headers = [
        ("host", "soak.example".to_owned()),
        ("request-id", request.to_owned()),
        ("deadline-ms", deadline.as_millis().to_string()),
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
