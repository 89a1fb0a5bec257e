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

/// A request that an endpoint has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Method and request target, separated by a space.
    pub line: String,
    /// Name and value of the headers that the gateway sets or must not forward.
    pub headers: Vec<(String, String)>,
    /// Request body, with invalid UTF-8 replaced.
    pub body: String,
}

/// Concurrent requests that an endpoint announces as its capacity.
const SLOTS: u32 = 4;
/// Longest wait for a held-back event, so that a stream ends if a test never releases it.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(30);

/// Record of an endpoint, as the platform keeps it in the store.
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
    /// Number of events that each stream may send.
    released: watch::Sender<u64>,
}

impl Shared {
    fn seen(&self) -> MutexGuard<'_, Vec<Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Endpoint stand-in. Responds to a request with its id, and to one below `/stream/` with three
/// events. Clones refer to the same one.
#[derive(Clone, Debug)]
pub struct Endpoint {
    shared: Arc<Shared>,
    port: Port,
}

impl Endpoint {
    /// Binds a free loopback port. Must be called inside an actix system.
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
            app.app_data(data.clone()).default_service(web::to(respond));
        });
        let port = Port::bind(routes)?;
        Ok(Self { shared, port })
    }

    /// Address that the endpoint listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Record of this endpoint in the store.
    #[must_use]
    pub fn entry(&self, service: &str, state: &str) -> Value {
        entry(self.address(), service, SLOTS, state)
    }

    /// Requests received so far, in order.
    #[must_use]
    pub fn seen(&self) -> Vec<Seen> {
        self.shared.seen().clone()
    }

    /// Lets each stream send its first `count` events and holds back the rest. By default all
    /// events are sent.
    pub fn release(&self, count: u64) {
        self.shared.released.send_replace(count);
    }
}

/// Request headers that are recorded in [`Seen::headers`].
const RECORDED_HEADERS: [&str; 8] = [
    "request-id",
    "deadline-ms",
    "expect-instance",
    "kv-hold",
    "x-kept",
    "authorization",
    "tenant",
    "request-priority",
];

async fn respond(request: HttpRequest, body: Bytes, shared: web::Data<Shared>) -> HttpResponse {
    let header = |name: &str| {
        let value = request.headers().get(name)?;
        Some(value.to_str().ok()?.to_owned())
    };
    shared.seen().push(Seen {
        line: format!("{} {}", request.method(), request.uri()),
        headers: RECORDED_HEADERS
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
            match time::timeout(RELEASE_TIMEOUT, released).await {
                Ok(Ok(_)) => Ok(Bytes::from(format!("id: {number}\ndata: x\n\n"))),
                _ => Err(actix_web::error::ErrorInternalServerError("not released")),
            }
        }
    });
    response.content_type("text/event-stream").streaming(events)
}
