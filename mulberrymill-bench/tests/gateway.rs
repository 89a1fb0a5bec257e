//! Tests the gateway and its platform adapter against stand-ins of the users' platform.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use futures_util::StreamExt;
use mulberrymill::{
    gateway::{self, Gateway},
    platform, settings,
};
use mulberrymill_bench::platform::{Endpoint, Store};
use serde_json::{Value, json};
use tokio::time;

#[path = "gateway/customers.rs"]
mod customers;
#[path = "gateway/departure.rs"]
mod departure;
#[path = "gateway/endless.rs"]
mod endless;
#[path = "gateway/faulty.rs"]
mod faulty;
#[path = "gateway/framing.rs"]
mod framing;
#[path = "gateway/idle.rs"]
mod idle;
#[path = "gateway/notices.rs"]
mod notices;
#[path = "gateway/odd_entries.rs"]
mod odd_entries;
#[path = "gateway/refusal.rs"]
mod refusal;
#[path = "gateway/restore.rs"]
mod restore;
#[path = "gateway/silence.rs"]
mod silence;
#[path = "gateway/stop.rs"]
mod stop;
#[path = "gateway/upload.rs"]
mod upload;

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of polls after which a test stops waiting for a condition.
const MAX_POLLS: usize = 500;

/// A gateway, the store stand-in that it reads, and an HTTP client.
struct Harness {
    store: Store,
    gateway: Gateway,
    client: Client,
}

/// Configuration document with one route of each kind to a service.
fn config(version: u64, service: &str) -> Value {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({
            "name": name, "host": "kitchen.example", "prefix": prefix, "routeKind": kind,
            "timeoutMs": 20_000, "targetLatencyMs": 200, "priority": 0, "service": service,
            "maxAttempts": 2, "resumable": false,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("plain", "/plain/", "idempotent"),
            route("once", "/once/", "non_idempotent"),
            route("stream", "/stream/", "streaming"),
        ],
        "services": [],
        "limits": {"maxHeaderBytes": 2_000, "maxBodyBytes": 1_000},
    })
}

/// Settings of the stop in most tests.
const STOP_SETTINGS: &str = r#""stop_delay": "200ms""#;

async fn open_gateway(process: &str, store: SocketAddr, stop_settings: &str) -> Gateway {
    let text = format!(
        r#"{{"process": "{process}", "zone": "a", "listen": "127.0.0.1:0", "peers": "127.0.0.1:0",
            "readiness": "127.0.0.1:0", "store": "{store}", {stop_settings}}}"#,
    );
    let settings = settings::Gateway::parse("gateway.jsonc", &text).expect("valid settings");
    let adapter = platform::open(
        settings.store,
        settings.store_recovery(),
        settings.buffers(),
    )
    .expect("valid key names");
    gateway::open(&settings, adapter).await.expect("free ports")
}

impl Harness {
    async fn open() -> Self {
        Self::with_settings(STOP_SETTINGS).await
    }

    /// Starts a gateway with these settings of its stop.
    async fn with_settings(stop: &str) -> Self {
        let store = Store::bind().expect("a free port");
        let gateway = open_gateway("gateway-1", store.address(), stop).await;
        let client = Client::builder().timeout(Duration::from_secs(20)).finish();
        Self {
            store,
            gateway,
            client,
        }
    }

    /// Starts a gateway whose routes lead to service `s1`. Endpoint `e1` belongs to `s1`, and `e2`
    /// to `s2`.
    async fn with_two_services() -> (Self, [Endpoint; 2]) {
        let harness = Self::open().await;
        let endpoints = harness.add_two_services().await;
        (harness, endpoints)
    }

    /// Adds routes to service `s1`, to which endpoint `e1` belongs, and endpoint `e2` of `s2`.
    async fn add_two_services(&self) -> [Endpoint; 2] {
        let endpoints = ["e1", "e2"].map(|id| Endpoint::bind(id).expect("a free port"));
        self.store.put("op/config", &config(3, "s1"));
        for (endpoint, (id, service)) in endpoints.iter().zip([("e1", "s1"), ("e2", "s2")]) {
            let entry = endpoint.entry(service, "ready");
            self.store.put(&format!("servers/{id}"), &entry);
        }
        self.wait_until_answered_by("e1").await;
        endpoints
    }

    /// Waits until a request below `/plain/` is answered by the endpoint with this id.
    async fn wait_until_answered_by(&self, endpoint: &str) {
        for _ in 0..MAX_POLLS {
            if self.send("/plain/1").await.contains(endpoint) {
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
        panic!("no response from endpoint {endpoint}");
    }

    /// Waits until the gateway reports that it is ready.
    async fn wait_until_ready(&self) {
        for _ in 0..MAX_POLLS {
            if self.readiness_status().await == 200 {
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
        panic!("the gateway is not ready");
    }

    async fn send(&self, target: &str) -> String {
        send(&self.client, self.gateway.address(), target).await
    }

    /// Status code of the readiness endpoint.
    async fn readiness_status(&self) -> u16 {
        let url = format!("http://{}/mulberrymill/readyz", self.gateway.readiness());
        let response = self
            .client
            .get(url)
            .send()
            .await
            .expect("the readiness port responds");
        response.status().as_u16()
    }
}

/// Sends a POST request. Returns the status, the `Server-Stamp` header and the body of the
/// response.
async fn send(client: &Client, address: SocketAddr, target: &str) -> String {
    let request = client
        .post(format!("http://{address}{target}"))
        .insert_header(("Host", "kitchen.example"))
        .insert_header(("Request-Id", "9c41"))
        .insert_header(("Deadline-Ms", "20000"))
        .insert_header(("Kv-Hold", "stolen"))
        .insert_header(("X-Kept", "yes"));
    match request.send_body("print 7").await {
        Ok(mut response) => {
            let stamp = response.headers().get("server-stamp").cloned();
            let stamp = stamp.map_or("-".to_owned(), |stamp| format!("{stamp:?}"));
            let status = response.status().as_u16();
            match response.body().await {
                Ok(body) => format!("{status} {stamp} {}", String::from_utf8_lossy(&body)),
                Err(_) => format!("{status} {stamp} body incomplete"),
            }
        }
        Err(error) => format!("no response: {error}"),
    }
}

/// Guards against a gateway that is ready before it can serve, modifies forwarded requests or
/// responses, or forwards internal headers set by callers.
#[actix_web::test]
async fn requests_reach_an_endpoint_unchanged() {
    let harness = Harness::open().await;
    let endpoint = Endpoint::bind("e1").expect("a free port");
    let mut steps = vec![format!(
        "before configuration: readyz {}",
        harness.readiness_status().await
    )];
    steps.push(format!(
        "  {}",
        harness
            .send("/plain/1")
            .await
            .split(' ')
            .next()
            .unwrap_or("-")
    ));
    harness.store.put("op/config", &config(3, "s1"));
    for (number, state) in [(8, "ready"), (9, "draining")] {
        // With several entries, the store returns the range in more than one page.
        let other = Endpoint::bind("other").expect("a free port");
        harness
            .store
            .put(&format!("servers/e{number}"), &other.entry("s9", state));
    }
    harness.store.put("servers/invalid", &json!({"service": 7}));
    harness
        .store
        .put("servers/e1", &endpoint.entry("s1", "ready"));
    harness.wait_until_answered_by("e1").await;
    steps.push(format!(
        "after configuration: readyz {}",
        harness.readiness_status().await
    ));
    for target in ["/once/7?copy=%2F2", "/stream/1", "/plain", "/unknown/1"] {
        let answer = harness.send(target).await;
        steps.push(format!(
            "{target}: {}",
            answer.split("\"type\"").next().unwrap_or("-")
        ));
    }
    let mut received = endpoint.seen();
    let mut once_request = received.split_off(received.len() - 2).swap_remove(0);
    once_request.headers.iter_mut().for_each(|(name, value)| {
        if name == "deadline-ms" {
            let remaining_ms: u64 = value.parse().expect("a number");
            assert!(
                (15_000..=20_000).contains(&remaining_ms),
                "{remaining_ms} ms remain"
            );
            "some".clone_into(value);
        }
    });
    insta::assert_debug_snapshot!((steps, once_request));
}

/// Guards against a gateway that keeps using an outdated configuration, or sends requests to a
/// draining endpoint.
#[actix_web::test]
async fn store_changes_take_effect() {
    let (harness, [first, second]) = Harness::with_two_services().await;
    harness.store.put("op/config", &config(9, "s2"));
    harness.wait_until_answered_by("e2").await;
    harness.store.put("op/config", &config(11, "s1"));
    harness.wait_until_answered_by("e1").await;
    // After compaction the watches cannot resume from their last revision.
    harness.store.compact();
    harness
        .store
        .put("servers/e2", &second.entry("s1", "ready"));
    harness
        .store
        .put("servers/e1", &first.entry("s1", "draining"));
    harness.wait_until_answered_by("e2").await;
    let before = first.seen().len();
    for _ in 0..20 {
        assert!(harness.send("/plain/1").await.contains("e2"));
    }
    assert_eq!(
        first.seen().len(),
        before,
        "a draining endpoint got requests"
    );
}

/// Guards against a gateway that stops serving while the store is down, or misses changes made
/// during the outage.
#[actix_web::test]
async fn store_outage_does_not_interrupt_serving() {
    let (harness, _endpoints) = Harness::with_two_services().await;
    harness.store.port().down().await;
    for _ in 0..20 {
        assert!(harness.send("/once/1").await.contains("e1"));
    }
    assert_eq!(harness.readiness_status().await, 200);
    harness.store.put("op/config", &config(4, "s2"));
    harness.store.port().up().await.expect("the port is free");
    harness.wait_until_answered_by("e2").await;
}

/// Guards against a stopping gateway that interrupts a stream, or that still reports itself ready.
#[actix_web::test]
async fn stop_completes_streams() {
    let harness = Harness::open().await;
    let endpoint = Endpoint::bind("e1").expect("a free port");
    endpoint.release(1);
    harness.store.put("op/config", &config(3, "s1"));
    harness
        .store
        .put("servers/e1", &endpoint.entry("s1", "ready"));
    harness.wait_until_answered_by("e1").await;
    let request = harness
        .client
        .get(format!("http://{}/stream/1", harness.gateway.address()))
        .insert_header(("Host", "kitchen.example"));
    let mut response = request.send().await.expect("a response");
    let first = response
        .next()
        .await
        .expect("a chunk")
        .expect("a complete chunk");
    let readiness = harness.gateway.readiness();
    let stopping = actix_web::rt::spawn(harness.gateway.stop());
    let url = format!("http://{readiness}/mulberrymill/readyz");
    let mut status = 200;
    for _ in 0..MAX_POLLS {
        let response = harness
            .client
            .get(&url)
            .send()
            .await
            .expect("the readiness port responds");
        status = response.status().as_u16();
        if status != 200 {
            break;
        }
        time::sleep(POLL_INTERVAL).await;
    }
    endpoint.release(3);
    let rest = response.body().await.expect("a complete body");
    stopping.await.expect("the stop task does not panic");
    let text = [first, rest].map(|chunk| String::from_utf8_lossy(&chunk).into_owned());
    insta::assert_debug_snapshot!((status, text.concat()));
}

/// Guards against oversized or malformed requests that reach an endpoint.
#[actix_web::test]
async fn limits_are_enforced() {
    let harness = Harness::open().await;
    let endpoint = Endpoint::bind("e1").expect("a free port");
    harness.store.put("op/config", &config(3, "s1"));
    harness
        .store
        .put("servers/e1", &endpoint.entry("s1", "ready"));
    harness.wait_until_answered_by("e1").await;
    let before = endpoint.seen().len();
    let url = format!("http://{}/plain/1", harness.gateway.address());
    let request = || {
        harness
            .client
            .post(&url)
            .insert_header(("Host", "kitchen.example"))
    };
    let oversized_body = request().send_body("x".repeat(1_001)).await;
    let oversized_head = request()
        .insert_header(("X-Long", "x".repeat(2_000)))
        .send()
        .await;
    let malformed = request()
        .insert_header(("Deadline-Ms", "soon"))
        .send()
        .await;
    let statuses = [oversized_body, oversized_head, malformed]
        .map(|answer| answer.expect("a response").status().as_u16());
    assert_eq!(statuses, [413, 431, 400]);
    assert_eq!(endpoint.seen().len(), before);
}

/// Guards against a gateway that is not registered, stays registered after it has stopped, or does
/// not register again after its lease has expired.
#[actix_web::test]
async fn gateways_are_registered_until_they_stop() {
    let harness = Harness::open().await;
    let other = open_gateway("gateway-2", harness.store.address(), STOP_SETTINGS).await;
    let wait_until_registered = async |expected: &[&str]| {
        for _ in 0..MAX_POLLS {
            if harness.store.keys("gateways/") == expected {
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
        panic!(
            "registered gateways are {:?} instead of {expected:?}",
            harness.store.keys("gateways/")
        );
    };
    wait_until_registered(&["gateways/gateway-1", "gateways/gateway-2"]).await;
    harness.store.lapse_leases();
    wait_until_registered(&["gateways/gateway-1", "gateways/gateway-2"]).await;
    other.stop().await;
    wait_until_registered(&["gateways/gateway-1"]).await;
}
