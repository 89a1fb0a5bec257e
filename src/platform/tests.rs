use std::time::Instant;

use actix_web::{http::header::HeaderMap, test::TestRequest, web::Bytes};
use proptest::prelude::*;

use super::*;
use crate::{
    directory::Codec as _,
    ingress::Protocol as _,
    store::{Path, Reader as _},
};

const ENTRY: &str = r#"{"service":"huvo11a","address":"10.128.0.9:8080","zone":"santiago-a",
    "version":"v1","slots":64,"state":"ready","coldLeftMs":0,"stage":"decode",
    "models":[{"name":"m","version":1,"adapters":[]}],"seq":4,"born":1700000000000}"#;

const CONFIG: &str = r#"{"version":7,"routes":[
    {"name":"r-1","host":"ficu95.example","prefix":"/pufi791/","routeKind":"streaming",
     "timeoutMs":6000,"targetLatencyMs":200,"priority":0,"service":"huvo11a","maxAttempts":1,
     "sticky":true,"resumable":false,"gapAimMs":200},
    {"name":"r-2","host":"ficu95.example","prefix":"/lohu930/","routeKind":"streaming",
     "timeoutMs":8000,"targetLatencyMs":1200,"priority":2,"maxAttempts":2,"resumable":true,
     "split":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}]},
    {"name":"r-3","host":"ficu95.example","prefix":"/puxa403/","routeKind":"non_idempotent",
     "service":"wuno96b"},
    {"name":"r-4","host":"ficu95.example","prefix":"/odd/","routeKind":"sideways",
     "service":"wuno96b"},
    {"name":"r-5","prefix":"/no-host/"}],
    "services":[],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1024}}"#;

fn path(key: &str) -> Path {
    key.parse().expect("a valid path")
}

/// Guards against entries by another writer that are taken for endpoints, and against fields that
/// land in the wrong place.
#[test]
fn entries_of_endpoints_are_checked() {
    let edits = [
        ("as written", "", ""),
        ("draining", "\"ready\"", "\"draining\""),
        ("without a stage", "\"stage\":\"decode\",", ""),
        ("of both stages", "\"decode\"", "\"colocated\""),
        ("unknown stage", "\"decode\"", "\"sleeping\""),
        ("unknown state", "\"ready\"", "\"dancing\""),
        ("no address", "\"address\":\"10.128.0.9:8080\",", ""),
        ("address without a port", "10.128.0.9:8080", "10.128.0.9"),
        ("slots as text", "64", "\"64\""),
        ("slots below zero", "64", "-64"),
        ("cut off", "\"models\"", "\u{0}"),
    ];
    let results = edits.map(|(name, old, new)| {
        let text = ENTRY.replacen(old, new, 1);
        match Codec.instance(&path("/servers/i-7f3a91c2"), text.as_bytes()) {
            Ok(instance) => format!("{name}: {instance:?}"),
            Err(error) => format!("{name}: {}", error.kind()),
        }
    });
    insta::assert_debug_snapshot!(results);
}

/// Guards against a configuration that is refused as a whole for one route, and against terms that
/// are read wrong.
#[test]
fn routes_that_cannot_be_read_are_left_out() {
    let plan = Codec.plan(CONFIG.as_bytes()).expect("a plan");
    let routes = ["/pufi791/1", "/lohu930/1", "/puxa403/1", "/odd/1"].map(|path| {
        let route = plan.find("ficu95.example", path);
        format!("{path}: {route:?}")
    });
    insta::assert_debug_snapshot!((plan.version(), plan.limits(), plan.len(), routes));
}

fn names(headers: &HeaderMap) -> Vec<String> {
    let mut names: Vec<String> = headers
        .iter()
        .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap_or("?")))
        .collect();
    names.sort();
    names
}

/// Guards against headers that a caller could use to reach into the engines' memory, and against
/// headers of one connection that are passed on.
#[test]
fn requests_are_decoded_and_cleaned() {
    let request = TestRequest::post()
        .uri("/lohu930/2f?a=%2F&b")
        .insert_header(("Host", "ficu95.example"))
        .insert_header(("Request-Id", "9c41d07be2a35f68"))
        .insert_header(("Last-Event-Id", "12"))
        .insert_header(("Token-Count", "1460,80"))
        .insert_header(("Length-Hint", "33"))
        .insert_header(("Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"))
        .insert_header(("Deadline-Ms", "8000"))
        .insert_header(("Connection", "keep-alive, X-Hop"))
        .insert_header(("X-Hop", "1"))
        .insert_header(("X-Kept", "2"))
        .insert_header(("Content-Length", "4"))
        .insert_header(("Kv-Hold", "h"))
        .insert_header(("Kv-Source", "10.0.0.1:1/h"))
        .insert_header(("Kv-Backup", "10.0.0.1:1"))
        .insert_header(("Pin-Ms", "4000"))
        .insert_header(("Expect-Instance", "i-1"))
        .insert_header(("Request-Priority", "0"))
        .insert_header(("Serving-Stage", "prefill"))
        .to_http_request();
    let call = Protocol
        .decode(&request, Bytes::from_static(b"body"), Instant::now())
        .expect("a request");
    insta::assert_debug_snapshot!((
        call.id,
        call.method,
        call.target,
        call.timeout,
        call.generation
            .map(|it| (it.prompt, it.max_output, it.shared, it.affinity.is_some())),
        call.resume_after,
        names(&call.headers),
    ));
}

/// Guards against malformed fields of a request that are taken for missing ones.
#[test]
fn malformed_fields_are_refused() {
    let cases = [
        ("Deadline-Ms", "soon"),
        ("Deadline-Ms", "-1"),
        ("Token-Count", "1460"),
        ("Token-Count", "many,80"),
        ("Last-Event-Id", "last"),
        ("Prefix-Hash", ":::,,"),
        ("Request-Id", "two words"),
    ];
    let results = cases.map(|(name, value)| {
        let request = TestRequest::get()
            .insert_header((name, value))
            .to_http_request();
        let kind = Protocol
            .decode(&request, Bytes::new(), Instant::now())
            .map_err(|error| error.kind());
        format!(
            "{name} {value}: {:?}",
            kind.map(|call| (call.id, call.timeout))
        )
    });
    insta::assert_debug_snapshot!(results);
}

/// Guards against a store that is out of reach and is taken for an empty one.
#[test]
fn store_out_of_reach_is_an_error() {
    let error = actix::System::new().block_on(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        drop(listener);
        let range = Store::open(address, clock::System::shared())
            .range(path("/servers/"))
            .await;
        range.expect_err("nobody listens")
    });
    assert_eq!(error.kind(), Kind::StoreUnavailable);
}

proptest! {
    /// Guards against a panic on bytes that are no entry and no configuration.
    #[test]
    fn any_bytes_can_be_decoded(
        key in "/servers/[!-~]{0,80}", bytes in prop::collection::vec(any::<u8>(), 0..300)
    ) {
        let entry = Codec.instance(&path(&key), &bytes);
        let plan = Codec.plan(&bytes);
        prop_assert!(entry.is_err() && plan.is_err());
    }

    /// Guards against a panic on a configuration or an entry with one byte changed.
    #[test]
    fn damaged_texts_can_be_decoded(at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        for text in [ENTRY, CONFIG] {
            let mut bytes = text.as_bytes().to_vec();
            let at = at.index(bytes.len());
            bytes[at] = byte;
            drop(Codec.instance(&path("/servers/i-1"), &bytes));
            drop(Codec.plan(&bytes));
        }
    }

    /// Guards against a panic on a request with arbitrary fields.
    #[test]
    fn any_fields_can_be_decoded(tokens in "[ -~]{0,20}", prefix in "[ -~]{0,60}") {
        let request = TestRequest::get()
            .insert_header(("Token-Count", tokens))
            .insert_header(("Prefix-Hash", prefix))
            .to_http_request();
        drop(Protocol.decode(&request, Bytes::new(), Instant::now()));
    }
}
