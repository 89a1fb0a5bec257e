use std::{
    future::poll_fn,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use actix_web::{
    HttpRequest, HttpResponse,
    body::{BodyStream, BoxBody, MessageBody},
    http::ConnectionType,
    web,
};
use futures_util::{StreamExt, stream};
use rand::Rng;
use tokio::time;

use super::Result;
use crate::port::Port;

/// Events in each stream.
pub(super) const STREAM_EVENTS: u64 = 4;
/// Pause before each event of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Longest duration of a request that is not streamed, long enough that faults hit some requests in
/// progress.
const REQUEST_DURATION_MAX: Duration = Duration::from_millis(150);
/// Concurrent requests that an endpoint announces as its capacity, more than there are clients.
pub(super) const SLOTS: u32 = 64;

/// Least time between two silences of an endpoint, so that they do not add up to a longer one.
const SILENCE_INTERVAL: Duration = Duration::from_secs(1);

/// A request that an endpoint has started to execute.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) request: String,
    pub(super) line: String,
    pub(super) body: String,
    pub(super) endpoint: String,
    pub(super) at: Instant,
}

/// All runs of a soak test, shared by its endpoints.
pub(super) type Runs = Arc<Mutex<Vec<Run>>>;

pub(super) fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What an endpoint says of itself in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Notice {
    pub(super) leaving: bool,
    /// Pause that it asks for with each refusal; it refuses all requests then.
    pub(super) pause: Option<Duration>,
}

/// A request that reached an endpoint, run or refused.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) request: String,
    pub(super) endpoint: String,
    /// The run of the endpoint, from 1.
    pub(super) started: u64,
    pub(super) at: Instant,
    /// When its answer began, later if the endpoint was silent.
    pub(super) answered: Option<Instant>,
    /// What its answer said.
    pub(super) notice: Notice,
}

/// All arrivals of a soak test, shared by its endpoints.
pub(super) type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// Endpoint stand-in that records its runs and responds with the id of the request.
#[derive(Debug)]
pub(super) struct Backend {
    id: String,
    port: Port,
    state: Arc<Mutex<State>>,
}

/// The current run of an endpoint, and what it says.
#[derive(Clone, Copy, Debug)]
struct State {
    started: u64,
    notice: Notice,
    silent_until: Instant,
    unframed: bool,
}

struct Shared {
    id: String,
    runs: Runs,
    arrivals: Arrivals,
    state: Arc<Mutex<State>>,
}

impl Backend {
    pub(super) fn bind(id: String, runs: &Runs, arrivals: &Arrivals) -> Result<Self> {
        let state = Arc::new(Mutex::new(State {
            started: 1,
            notice: Notice::default(),
            silent_until: Instant::now(),
            unframed: false,
        }));
        let data = web::Data::new(Shared {
            id: id.clone(),
            runs: Arc::clone(runs),
            arrivals: Arc::clone(arrivals),
            state: Arc::clone(&state),
        });
        let port = Port::bind(Arc::new(move |app: &mut web::ServiceConfig| {
            app.app_data(data.clone()).default_service(web::to(respond));
        }))?;
        Ok(Self { id, port, state })
    }

    /// Sets what its answers say from now on.
    pub(super) fn set_notice(&self, notice: Notice) {
        lock(&self.state).notice = notice;
    }

    /// Falls silent from now on, unless it is silent or was until just now.
    pub(super) fn fall_silent(&self, lasts: Duration) {
        let (mut state, now) = (lock(&self.state), Instant::now());
        if state.silent_until + SILENCE_INTERVAL < now {
            state.silent_until = now + lasts;
        }
    }

    /// Sets whether answers from now on end with their connections, without a length or chunks.
    pub(super) fn set_unframed(&self, unframed: bool) {
        lock(&self.state).unframed = unframed;
    }

    /// Starts a new run, which says nothing of itself.
    pub(super) fn start_again(&self) {
        let mut state = lock(&self.state);
        state.started += 1;
        state.notice = Notice::default();
    }

    /// The current run, from 1.
    pub(super) fn started(&self) -> u64 {
        lock(&self.state).started
    }

    pub(super) fn id(&self) -> &str {
        &self.id
    }

    pub(super) const fn address(&self) -> SocketAddr {
        self.port.address()
    }
}

/// The event with a number, from 1, in the streamed response to a request.
pub(super) fn event(number: u64, request: &str) -> String {
    format!("id: {number}\ndata: {request}\n\n")
}

/// Waits until the endpoint is not silent.
async fn wait_while_silent(state: &Mutex<State>) {
    loop {
        let until = lock(state).silent_until;
        if until <= Instant::now() {
            return;
        }
        time::sleep_until(until.into()).await;
    }
}

async fn respond(
    request: HttpRequest,
    body: web::Bytes,
    shared: web::Data<Shared>,
) -> HttpResponse {
    let response = answer(request, body, &shared).await;
    if !lock(&shared.state).unframed || !response.status().is_success() {
        return response;
    }
    response.map_body(|head, body| {
        head.no_chunking(true);
        head.set_connection_type(ConnectionType::Close);
        // Only a body of unknown size is sent without a length.
        let parts = stream::unfold(Box::pin(body), |mut body| async move {
            let part = poll_fn(|context| body.as_mut().poll_next(context)).await?;
            Some((part, body))
        });
        BoxBody::new(BodyStream::new(parts))
    })
}

async fn answer(request: HttpRequest, body: web::Bytes, shared: &Shared) -> HttpResponse {
    let header = |name: &str| {
        let value = request.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let id = header("request-id");
    if header("expect-instance") != shared.id {
        wait_while_silent(&shared.state).await;
        return HttpResponse::MisdirectedRequest()
            .insert_header(("Not-Executed", "1"))
            .insert_header(("Instance-Id", shared.id.clone()))
            .insert_header(("Request-Id", id))
            .finish();
    }
    let State {
        started, notice, ..
    } = *lock(&shared.state);
    let arrival = {
        let mut arrivals = lock(&shared.arrivals);
        arrivals.push(Arrival {
            request: id.clone(),
            endpoint: shared.id.clone(),
            started,
            at: Instant::now(),
            answered: None,
            notice,
        });
        arrivals.len() - 1
    };
    let begin_answer = || lock(&shared.arrivals)[arrival].answered = Some(Instant::now());
    if let Some(pause) = notice.pause {
        wait_while_silent(&shared.state).await;
        begin_answer();
        return HttpResponse::ServiceUnavailable()
            .insert_header(("Not-Executed", "1"))
            .insert_header(("Request-Id", id))
            .insert_header(("Retry-After", pause.as_secs_f64().to_string()))
            .finish();
    }
    lock(&shared.runs).push(Run {
        request: id.clone(),
        line: format!("{} {}", request.method(), request.uri()),
        body: String::from_utf8_lossy(&body).into_owned(),
        endpoint: shared.id.clone(),
        at: Instant::now(),
    });
    wait_while_silent(&shared.state).await;
    let mut response = HttpResponse::Ok();
    if notice.leaving {
        response.insert_header(("Server-Leaving", "1"));
    }
    response.insert_header(("Server-Stamp", shared.id.clone()));
    response.insert_header(("Instance-Load", format!("1,0,{SLOTS}")));
    response.insert_header(("Request-Id", id.clone()));
    if !request.path().starts_with("/stream") {
        time::sleep(REQUEST_DURATION_MAX.mul_f64(rand::rng().random_range(0.0..1.0))).await;
        wait_while_silent(&shared.state).await;
        begin_answer();
        return response.body(id);
    }
    begin_answer();
    let last: u64 = header("last-event-id").parse().unwrap_or_default();
    let state = Arc::clone(&shared.state);
    let events = stream::iter(last + 1..=STREAM_EVENTS).then(move |number| {
        let event = event(number, &id);
        let state = Arc::clone(&state);
        async move {
            time::sleep(EVENT_INTERVAL).await;
            wait_while_silent(&state).await;
            Ok::<_, actix_web::Error>(web::Bytes::from(event))
        }
    });
    response.content_type("text/event-stream").streaming(events)
}
