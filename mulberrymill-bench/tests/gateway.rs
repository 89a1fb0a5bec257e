//! The gateway against stand-ins of the users' platform, through the real adapter.

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

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);
/// Looks after which a condition counts as never met.
const LOOKS: usize = 500;

struct Site {
    store: Store,
    gateway: Gateway,
    client: Client,
}

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

async fn open_gateway(process: &str, store: SocketAddr) -> Gateway {
    let text = format!(
        r#"{{"process": "{process}", "zone": "a", "listen": "127.0.0.1:0", "peers": "127.0.0.1:0",
            "readiness": "127.0.0.1:0", "store": "{store}", "stop_delay": "200ms"}}"#,
    );
    let settings = settings::Gateway::parse("gateway.jsonc", &text).expect("no fault");
    let adapter = platform::open(settings.store).expect("valid names");
    gateway::open(&settings, adapter).await.expect("free ports")
}

impl Site {
    async fn open() -> Self {
        let store = Store::bind().expect("a free port");
        let gateway = open_gateway("gateway-1", store.address()).await;
        let client = Client::builder().timeout(Duration::from_secs(20)).finish();
        Self {
            store,
            gateway,
            client,
        }
    }

    /// A site whose routes go to `s1`, with the endpoint `e1`; `e2` belongs to `s2`.
    async fn with_two_services() -> (Self, [Endpoint; 2]) {
        let site = Self::open().await;
        let endpoints = ["e1", "e2"].map(|id| Endpoint::bind(id).expect("a free port"));
        site.store.put("op/config", &config(3, "s1"));
        for (endpoint, (id, service)) in endpoints.iter().zip([("e1", "s1"), ("e2", "s2")]) {
            let entry = endpoint.entry(service, "ready");
            site.store.put(&format!("servers/{id}"), &entry);
        }
        site.until_answered_by("e1").await;
        (site, endpoints)
    }

    /// Waits until `/plain/` is answered by this text, which is the id of an endpoint.
    async fn until_answered_by(&self, expected: &str) {
        for _ in 0..LOOKS {
            if self.get("/plain/1").await.contains(expected) {
                return;
            }
            time::sleep(LOOK).await;
        }
        panic!("no answer by {expected}");
    }

    async fn get(&self, target: &str) -> String {
        send(&self.client, self.gateway.address(), target).await
    }

    async fn ready(&self) -> u16 {
        let url = format!("http://{}/mulberrymill/readyz", self.gateway.readiness());
        let response = self.client.get(url).send().await.expect("it listens");
        response.status().as_u16()
    }
}

/// Status, stamp and body of an answer.
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
                Err(_) => format!("{status} {stamp} cut off"),
            }
        }
        Err(error) => format!("no answer: {error}"),
    }
}

/// Guards against a gateway that is ready before it can serve, changes what it passes on, or lets
/// callers set what only the system may.
#[actix_web::test]
async fn requests_reach_an_endpoint_unchanged() {
    let site = Site::open().await;
    let endpoint = Endpoint::bind("e1").expect("a free port");
    let mut steps = vec![format!("nothing known: ready {}", site.ready().await)];
    steps.push(format!(
        "  {}",
        site.get("/plain/1").await.split(' ').next().unwrap_or("-")
    ));
    site.store.put("op/config", &config(3, "s1"));
    for (number, state) in [(8, "ready"), (9, "draining")] {
        // Several entries, so that the read has several pages.
        let other = Endpoint::bind("other").expect("a free port");
        site.store
            .put(&format!("servers/e{number}"), &other.entry("s9", state));
    }
    site.store.put("servers/foreign", &json!({"service": 7}));
    site.store.put("servers/e1", &endpoint.entry("s1", "ready"));
    site.until_answered_by("e1").await;
    steps.push(format!("all known: ready {}", site.ready().await));
    for target in ["/once/7?copy=%2F2", "/stream/1", "/plain", "/unknown/1"] {
        let answer = site.get(target).await;
        steps.push(format!(
            "{target}: {}",
            answer.split("\"type\"").next().unwrap_or("-")
        ));
    }
    let mut seen = endpoint.seen();
    let mut once = seen.split_off(seen.len() - 2).swap_remove(0);
    once.headers.iter_mut().for_each(|(name, value)| {
        if name == "deadline-ms" {
            let left: u64 = value.parse().expect("a number");
            assert!((15_000..=20_000).contains(&left), "{left} ms are left");
            "some".clone_into(value);
        }
    });
    insta::assert_debug_snapshot!((steps, once));
}

/// Guards against a gateway that keeps an old plan, or sends work to an endpoint that is leaving.
#[actix_web::test]
async fn changes_in_the_store_take_effect() {
    let (site, [first, second]) = Site::with_two_services().await;
    site.store.put("op/config", &config(9, "s2"));
    site.until_answered_by("e2").await;
    site.store.put("op/config", &config(11, "s1"));
    site.until_answered_by("e1").await;
    // The history that the watches need is gone.
    site.store.compact();
    site.store.put("servers/e2", &second.entry("s1", "ready"));
    site.store.put("servers/e1", &first.entry("s1", "draining"));
    site.until_answered_by("e2").await;
    let before = first.seen().len();
    for _ in 0..20 {
        assert!(site.get("/plain/1").await.contains("e2"));
    }
    assert_eq!(first.seen().len(), before, "a draining endpoint got work");
}

/// Guards against a gateway that stops serving while the store is down, or misses what changed
/// meanwhile.
#[actix_web::test]
async fn store_outage_stops_nothing() {
    let (site, _endpoints) = Site::with_two_services().await;
    site.store.port().down().await;
    for _ in 0..20 {
        assert!(site.get("/once/1").await.contains("e1"));
    }
    assert_eq!(site.ready().await, 200);
    site.store.put("op/config", &config(4, "s2"));
    site.store.port().up().await.expect("the port is free");
    site.until_answered_by("e2").await;
}

/// Guards against a stop that cuts off a stream, or that goes on being ready.
#[actix_web::test]
async fn stop_completes_streams() {
    let site = Site::open().await;
    let endpoint = Endpoint::bind("e1").expect("a free port");
    endpoint.release(1);
    site.store.put("op/config", &config(3, "s1"));
    site.store.put("servers/e1", &endpoint.entry("s1", "ready"));
    site.until_answered_by("e1").await;
    let request = site
        .client
        .get(format!("http://{}/stream/1", site.gateway.address()))
        .insert_header(("Host", "kitchen.example"));
    let mut response = request.send().await.expect("an answer");
    let first = response.next().await.expect("a part").expect("not cut off");
    let readiness = site.gateway.readiness();
    let stopping = actix_web::rt::spawn(site.gateway.stop());
    let url = format!("http://{readiness}/mulberrymill/readyz");
    let mut status = 200;
    for _ in 0..LOOKS {
        let response = site.client.get(&url).send().await.expect("it listens");
        status = response.status().as_u16();
        if status != 200 {
            break;
        }
        time::sleep(LOOK).await;
    }
    endpoint.release(3);
    let rest = response.body().await.expect("not cut off");
    stopping.await.expect("it stops");
    let text = [first, rest].map(|part| String::from_utf8_lossy(&part).into_owned());
    insta::assert_debug_snapshot!((status, text.concat()));
}

/// Guards against requests over the limits that reach an endpoint.
#[actix_web::test]
async fn limits_are_kept() {
    let site = Site::open().await;
    let endpoint = Endpoint::bind("e1").expect("a free port");
    site.store.put("op/config", &config(3, "s1"));
    site.store.put("servers/e1", &endpoint.entry("s1", "ready"));
    site.until_answered_by("e1").await;
    let before = endpoint.seen().len();
    let url = format!("http://{}/plain/1", site.gateway.address());
    let request = || {
        site.client
            .post(&url)
            .insert_header(("Host", "kitchen.example"))
    };
    let body = request().send_body("x".repeat(1_001)).await;
    let head = request()
        .insert_header(("X-Long", "x".repeat(2_000)))
        .send()
        .await;
    let malformed = request()
        .insert_header(("Deadline-Ms", "soon"))
        .send()
        .await;
    let statuses =
        [body, head, malformed].map(|answer| answer.expect("an answer").status().as_u16());
    assert_eq!(statuses, [413, 431, 400]);
    assert_eq!(endpoint.seen().len(), before);
}

/// Guards against a gateway that others do not find, that they find after it has stopped, or that
/// stays lost after the platform has let its entry lapse.
#[actix_web::test]
async fn gateways_register_until_they_stop() {
    let site = Site::open().await;
    let other = open_gateway("gateway-2", site.store.address()).await;
    let until = async |expected: &[&str]| {
        for _ in 0..LOOKS {
            if site.store.keys("gateways/") == expected {
                return;
            }
            time::sleep(LOOK).await;
        }
        panic!(
            "listed are {:?}, not {expected:?}",
            site.store.keys("gateways/")
        );
    };
    until(&["gateways/gateway-1", "gateways/gateway-2"]).await;
    site.store.lapse_leases();
    until(&["gateways/gateway-1", "gateways/gateway-2"]).await;
    other.stop().await;
    until(&["gateways/gateway-1"]).await;
}
