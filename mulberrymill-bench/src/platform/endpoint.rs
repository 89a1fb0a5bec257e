use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use actix_web::{
    HttpRequest, HttpResponse,
    web::{self, Bytes},
};
use futures_util::{StreamExt, stream};
use serde_json::{Value, json};
use tokio::{sync::watch, time};

use super::Result;
use crate::port::Port;

/// What an endpoint has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Method and target.
    pub line: String,
    /// Headers that the gateway sets or must not pass on, by name.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

/// Requests that an endpoint says it runs at once.
const SLOTS: u32 = 4;

/// The entry of an endpoint in the store.
#[must_use]
pub fn entry(address: SocketAddr, service: &str, slots: u32, state: &str) -> Value {
    json!({
        "service": service, "address": address.to_string(), "zone": "a", "version": "v1",
        "slots": slots, "state": state, "coldLeftMs": 0, "seq": 1,
    })
}

#[derive(Debug)]
struct Shared {
    id: String,
    seen: Mutex<Vec<Seen>>,
    /// Events of a stream that may be sent.
    released: watch::Sender<u64>,
}

impl Shared {
    fn seen(&self) -> MutexGuard<'_, Vec<Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An endpoint: answers a request with its id, and a request below `/stream/` with three events.
#[derive(Clone, Debug)]
pub struct Endpoint {
    shared: Arc<Shared>,
    port: Port,
}

impl Endpoint {
    /// Binds a free port. Runs inside an actix system.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn bind(id: &str) -> Result<Self> {
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            seen: Mutex::default(),
            released: watch::Sender::new(u64::MAX),
        });
        let data = web::Data::from(Arc::clone(&shared));
        let routes = Arc::new(move |app: &mut web::ServiceConfig| {
            app.app_data(data.clone()).default_service(web::to(answer));
        });
        let port = Port::bind(routes)?;
        Ok(Self { shared, port })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Its entry in the store.
    #[must_use]
    pub fn entry(&self, service: &str, state: &str) -> Value {
        entry(self.address(), service, SLOTS, state)
    }

    /// What it has received.
    #[must_use]
    pub fn seen(&self) -> Vec<Seen> {
        self.shared.seen().clone()
    }

    /// Holds back all events of streams after the first `count`.
    pub fn release(&self, count: u64) {
        self.shared.released.send_replace(count);
    }
}

/// Headers that a test looks at.
const NOTED: [&str; 5] = [
    "request-id",
    "deadline-ms",
    "expect-instance",
    "kv-hold",
    "x-kept",
];

async fn answer(request: HttpRequest, body: Bytes, shared: web::Data<Shared>) -> HttpResponse {
    let header = |name: &str| {
        let value = request.headers().get(name)?;
        Some(value.to_str().ok()?.to_owned())
    };
    shared.seen().push(Seen {
        line: format!("{} {}", request.method(), request.uri()),
        headers: NOTED
            .iter()
            .filter_map(|name| Some(((*name).to_owned(), header(name)?)))
            .collect(),
        body: String::from_utf8_lossy(&body).into_owned(),
    });
    let mut response = HttpResponse::Ok();
    response.insert_header(("Server-Stamp", format!("stamp-of-{}", shared.id)));
    response.insert_header(("Instance-Load", format!("1,0,{SLOTS}")));
    if let Some(id) = header("request-id") {
        response.insert_header(("Request-Id", id));
    }
    if !request.path().starts_with("/stream/") {
        return response.body(shared.id.clone());
    }
    let released = shared.released.subscribe();
    let events = stream::iter(1..=3_u64).then(move |number| {
        let mut released = released.clone();
        async move {
            let released = released.wait_for(|count| *count >= number);
            // A test that never releases an event ends the stream by its own limit.
            match time::timeout(Duration::from_secs(30), released).await {
                Ok(Ok(_)) => Ok(Bytes::from(format!("id: {number}\ndata: x\n\n"))),
                _ => Err(actix_web::error::ErrorInternalServerError("not released")),
            }
        }
    });
    response.content_type("text/event-stream").streaming(events)
}
