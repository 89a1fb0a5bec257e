use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use actix_web::{HttpRequest, HttpResponse, web};
use futures_util::{StreamExt, stream};
use rand::Rng;
use tokio::time;

use super::Result;
use crate::port::Port;

/// Events of a stream.
pub(super) const EVENTS: u64 = 4;
/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// Longest time of a plain request. Faults should meet some requests in progress.
const WORK_MAX: Duration = Duration::from_millis(150);
/// Requests that an endpoint runs at once, more than there are clients.
pub(super) const SLOTS: u32 = 64;

/// A request that an endpoint has begun to run.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) request: String,
    pub(super) line: String,
    pub(super) body: String,
    pub(super) endpoint: String,
    pub(super) at: Instant,
}

/// All runs of a soak.
pub(super) type Runs = Arc<Mutex<Vec<Run>>>;

pub(super) fn lock(runs: &Runs) -> MutexGuard<'_, Vec<Run>> {
    runs.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An endpoint that records what it runs and answers with the id of the request.
#[derive(Debug)]
pub(super) struct Backend {
    id: String,
    port: Port,
}

struct Shared {
    id: String,
    runs: Runs,
}

impl Backend {
    pub(super) fn bind(id: String, runs: &Runs) -> Result<Self> {
        let data = web::Data::new(Shared {
            id: id.clone(),
            runs: Arc::clone(runs),
        });
        let port = Port::bind(Arc::new(move |app: &mut web::ServiceConfig| {
            app.app_data(data.clone()).default_service(web::to(answer));
        }))?;
        Ok(Self { id, port })
    }

    pub(super) fn id(&self) -> &str {
        &self.id
    }

    pub(super) const fn address(&self) -> SocketAddr {
        self.port.address()
    }
}

/// An event of the answer to a request.
pub(super) fn event(number: u64, request: &str) -> String {
    format!("id: {number}\ndata: {request}\n\n")
}

async fn answer(request: HttpRequest, body: web::Bytes, shared: web::Data<Shared>) -> HttpResponse {
    let header = |name: &str| {
        let value = request.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let id = header("request-id");
    if header("expect-instance") != shared.id {
        return HttpResponse::MisdirectedRequest()
            .insert_header(("Not-Executed", "1"))
            .insert_header(("Instance-Id", shared.id.clone()))
            .finish();
    }
    lock(&shared.runs).push(Run {
        request: id.clone(),
        line: format!("{} {}", request.method(), request.uri()),
        body: String::from_utf8_lossy(&body).into_owned(),
        endpoint: shared.id.clone(),
        at: Instant::now(),
    });
    let mut response = HttpResponse::Ok();
    response.insert_header(("Server-Stamp", shared.id.clone()));
    response.insert_header(("Instance-Load", format!("1,0,{SLOTS}")));
    response.insert_header(("Request-Id", id.clone()));
    if !request.path().starts_with("/stream/") {
        time::sleep(WORK_MAX.mul_f64(rand::rng().random_range(0.0..1.0))).await;
        return response.body(id);
    }
    let last: u64 = header("last-event-id").parse().unwrap_or_default();
    let events = stream::iter(last + 1..=EVENTS).then(move |number| {
        let event = event(number, &id);
        async move {
            time::sleep(EVENT_PAUSE).await;
            Ok::<_, actix_web::Error>(web::Bytes::from(event))
        }
    });
    response.content_type("text/event-stream").streaming(events)
}
