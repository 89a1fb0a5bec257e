use std::{cell::Cell, time::Instant};

use actix_http::ResponseHead;
use actix_web::{
    http::{
        StatusCode,
        header::{HeaderMap, HeaderName, HeaderValue},
    },
    test::TestRequest,
    web::Bytes,
};
use futures_util::StreamExt as _;
use proptest::prelude::*;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    sync::mpsc,
    task,
};

use super::*;
use crate::{
    customer::Key,
    directory::{self, Codec as _},
    duty,
    error::Executed,
    ingress::Protocol as _,
    store::{Item, Path, Position, Reader as _, Store as _, Txn, Write},
};

const ENTRY: &str = r#"{"service":"huvo11a","address":"10.128.0.9:8080","zone":"santiago-a",
    "version":"v1","slots":64,"state":"ready","coldLeftMs":0,"stage":"decode",
    "models":[{"name":"m","version":1,"adapters":[]}],"seq":4,"born":1700000000000}"#;

const CONFIGURATION: &str = r#"{"version":7,"routes":[
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
    "services":[],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1024,"idleTimeoutMs":15000}}"#;

fn protocol() -> Protocol {
    Protocol::new(crate::unit::Bytes::new(40 << 20))
}

fn path(key: &str) -> Path {
    key.parse().expect("a valid path")
}

/// Guards against accepting malformed entries as endpoints, and against mixed-up fields.
#[test]
fn endpoint_entries_are_validated() {
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

/// Guards against an entry of another writer that is used as an endpoint, or displaces one.
#[test]
fn odd_entries_name_no_endpoint() {
    let deep = format!("\"seq\":{}{}", "[".repeat(200), "]".repeat(200));
    let edits = [
        ("\"seq\":4", deep.as_str()),
        ("\"version\":1", "\"version\":1e999"),
        ("\"version\":\"v1\",", ""),
        ("\"coldLeftMs\":0", "\"coldLeftMs\":\"0\""),
        ("\"slots\":64", "\"slots\":0"),
        ("\"slots\":64", "\"slots\":4294967295"),
        ("\"slots\":64", "\"slots\":4294967296"),
        ("10.128.0.9:8080", "10.128.0.9:70000"),
        ("10.128.0.9:8080", "10.128.0.9:0"),
        ("10.128.0.9:8080", "0.0.0.0:8080"),
        ("10.128.0.9:8080", "[ff02::1]:8080"),
        ("10.128.0.9:8080", "255.255.255.255:80"),
        ("1700000000000", "1700000000000.5"),
    ];
    let used: Vec<&str> = edits
        .iter()
        .filter(|(old, new)| {
            let text = ENTRY.replacen(old, new, 1);
            let entry = Codec.instance(&path("/servers/i-1"), text.as_bytes());
            entry.is_ok()
        })
        .map(|(_, new)| *new)
        .collect();
    assert_eq!(used, Vec::<&str>::new());
    let nested = Codec.instance(&path("/servers/other/i-1"), ENTRY.as_bytes());
    assert!(nested.is_err(), "{nested:?}");
}

/// Guards against a reason that quotes a value of any size in a log line.
#[test]
fn reason_why_an_entry_is_not_used_is_short() {
    let entry = ENTRY.replacen("ready", &"x".repeat(100_000), 1);
    let error = Codec.instance(&path("/servers/i-1"), entry.as_bytes());
    let reason = error.expect_err("an unknown state").to_string();
    assert!(reason.len() < 1_000, "{} bytes", reason.len());
}

/// Guards against rejecting a whole configuration because of one invalid route, and against
/// mixed-up fields of a route.
#[test]
fn invalid_routes_are_skipped() {
    let plan = Codec.plan(CONFIGURATION.as_bytes()).expect("a plan");
    let routes = ["/pufi791/1", "/lohu930/1", "/puxa403/1", "/odd/1"].map(|path| {
        let route = plan.find("ficu95.example", path);
        format!("{path}: {route:?}")
    });
    insta::assert_debug_snapshot!((plan.version(), plan.limits(), plan.len(), routes));
}

/// Guards against a route that makes the others unusable, or whose numbers end requests on it.
#[test]
fn odd_routes_cost_only_themselves() {
    let deep = format!("{}{}", "[".repeat(200), "]".repeat(200));
    let whole = Codec.plan(CONFIGURATION.as_bytes()).expect("a plan");
    for odd in [deep.as_str(), "1e999", "\"\\ud800\"", "-1"] {
        let text = CONFIGURATION.replacen("\"priority\":0", &format!("\"priority\":{odd}"), 1);
        let plan = Codec.plan(text.as_bytes()).expect("a plan");
        let route = plan.find("ficu95.example", "/pufi791/1").expect("a route");
        assert_eq!(route.targets, [], "{odd:.20}");
        assert_eq!(plan.len(), whole.len(), "{odd:.20}");
    }
    let text = CONFIGURATION
        .replacen("6000", "18446744073709551615", 1)
        .replacen("\"targetLatencyMs\":200", "\"targetLatencyMs\":1e22", 1);
    let plan = Codec.plan(text.as_bytes()).expect("a plan");
    let route = plan.find("ficu95.example", "/pufi791/1").expect("a route");
    assert!(route.latency_target.checked_mul(1_000).is_some());
    assert!(route.timeout.checked_mul(1_000).is_some());
}

/// Guards against a service that makes a configuration unusable, and against memory that is assigned to
/// another service.
#[test]
fn services_state_the_memory_of_engines() {
    let services = |list: &str| {
        let list = format!("\"services\":{list}");
        let text = CONFIGURATION.replacen("\"services\":[]", &list, 1);
        let plan = Codec.plan(text.as_bytes()).expect("a plan");
        let services = plan.services().iter();
        let services = services.map(|(name, service)| format!("{name}: {service:?}"));
        services.collect::<Vec<_>>().join(", ")
    };
    let lists = [
        "[]",
        "{}",
        r#"[{"name":"plain"},
            {"name":"lm","engine":{"slots":64,"kvTokens":477722,"kvBytes":327680,"linkMbps":100}}]"#,
        r#"[{"name":"a","engine":{"slots":64}},{"name":"b","engine":{"kvTokens":9}}]"#,
        r#"[{"name":"a","engine":{"kvTokens":-1}},{"engine":{}},3,{"name":"b","engine":{"kvTokens":9}}]"#,
    ];
    let table = lists.map(|list| format!("{list}: {}", services(list)));
    insta::assert_debug_snapshot!(table);
}

/// Guards against an unreadable customer that costs the others their keys, or the process its plan, and
/// against requests that need no key because the list of customers is unreadable.
#[test]
fn unreadable_customers_are_skipped() {
    let lists = [
        ("none", ""),
        ("empty", r#""tenants":[],"#),
        ("not a list", r#""tenants":{},"#),
        (
            "one of each",
            r#""tenants":[{"name":"hule930","apiKeys":["a"],"priority":1,"more":1e999},
                {"name":"two words","apiKeys":["b"]}, {"name":"fida11","apiKeys":"c"}, 7,
                {"name":"mona2","apiKeys":["d"],"priority":-1}, {"apiKeys":["e"]},
                {"name":"juri5","apiKeys":["f"]}],"#,
        ),
    ];
    let results = lists.map(|(name, list)| {
        let text = CONFIGURATION.replacen("\"services\"", &format!("{list}\"services\""), 1);
        let plan = Codec.plan(text.as_bytes()).map_err(|error| error.kind());
        let found = plan.map(|plan| {
            let customers = plan.customers()?;
            let keys = ["a", "b", "c", "d", "e", "f"].map(Key::new);
            let owners = keys.iter().filter_map(|key| customers.find(key));
            Some(owners.cloned().collect::<Vec<_>>())
        });
        format!("{name}: {found:?}")
    });
    insta::assert_debug_snapshot!(results);
}

/// Guards against a key that is taken from a malformed or repeated header.
#[test]
fn only_one_whole_bearer_key_is_read() {
    let cases: [&[&str]; 9] = [
        &["Bearer k-1"],
        &["bearer  k-1"],
        &[],
        &["Bearer"],
        &["Bearer "],
        &["Basic k-1"],
        &["k-1"],
        &["Bearer k-1, Bearer k-1"],
        &["Bearer k-1", "Bearer k-1"],
    ];
    let read = cases.map(|values| {
        let request = values.iter().fold(TestRequest::get(), |request, value| {
            request.append_header(("Authorization", *value))
        });
        let key = protocol().key(&request.to_http_request());
        format!("{values:?}: {}", key == Some(Key::new("k-1")))
    });
    insta::assert_debug_snapshot!(read);
}

/// Guards against a request whose numbers overflow.
#[test]
fn shared_tokens_do_not_overflow() {
    let request = TestRequest::get()
        .insert_header(("Token-Count", "1460,80"))
        .insert_header((
            "Prefix-Hash",
            "a:18446744073709551615,b:18446744073709551615,c:1",
        ))
        .to_http_request();
    let call = protocol().decode(&request, Bytes::new(), Instant::now());
    let shared = call.map(|call| call.generation.map(|it| it.shared.get()));
    assert_eq!(shared.ok(), Some(Some(1_460)));
}

fn header_lines(headers: &HeaderMap) -> Vec<String> {
    let mut lines: Vec<String> = headers
        .iter()
        .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap_or("?")))
        .collect();
    lines.sort();
    lines
}

/// Guards against passing on headers with which a caller could control the engines' KV caches, and
/// against passing on hop-by-hop headers.
#[test]
fn system_and_hop_by_hop_headers_are_dropped() {
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
    let call = protocol()
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
        header_lines(&call.headers),
    ));
}

/// Guards against treating malformed headers of a request as missing. The ids are optional, so a
/// malformed `Request-Id` or `Prefix-Hash` is ignored.
#[test]
fn malformed_headers_are_rejected() {
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
        let kind = protocol()
            .decode(&request, Bytes::new(), Instant::now())
            .map_err(|error| error.kind());
        format!(
            "{name} {value}: {:?}",
            kind.map(|call| (call.id, call.timeout))
        )
    });
    insta::assert_debug_snapshot!(results);
}

/// Guards against treating an unreachable store as an empty one.
#[test]
fn unreachable_store_is_an_error() {
    let error = actix::System::new().block_on(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        drop(listener);
        let range = Store::new(address, clock::System::shared())
            .range(path("/servers/"))
            .await;
        range.expect_err("nobody listens")
    });
    assert_eq!(error.kind(), Kind::StoreUnavailable);
}

fn any_json() -> impl Strategy<Value = String> {
    let scalar = prop_oneof![
        Just("null".to_owned()),
        Just("1e999".to_owned()),
        Just("\"\\ud800\"".to_owned()),
        any::<i128>().prop_map(|number| number.to_string()),
        "[ -~]{0,20}".prop_map(|text| serde_json::Value::from(text).to_string()),
    ];
    let name = prop_oneof![
        Just("key"),
        Just("value"),
        Just("rev"),
        Just("createRev"),
        Just("removed"),
        Just("items")
    ];
    scalar.prop_recursive(4, 24, 4, move |inner| {
        let field = (name.clone(), inner.clone());
        prop_oneof![
            inner.clone().prop_map(|value| format!(
                "{}{value}{}",
                "[".repeat(200),
                "]".repeat(200)
            )),
            prop::collection::vec(inner, 0..4)
                .prop_map(|values| format!("[ {} ]", values.join(" , "))),
            prop::collection::vec(field, 0..4).prop_map(|fields| {
                let fields = fields
                    .iter()
                    .map(|(name, value)| format!("\"{name}\" : {value}"));
                format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
            }),
        ]
    })
}

/// Answers one request per connection, with the next of these answers, and counts the requests.
async fn serve_script(answers: Vec<String>) -> (Store, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let count = Rc::new(Cell::new(0));
    let served = Rc::clone(&count);
    task::spawn_local(async move {
        for answer in answers {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await.expect("a request"));
            }
            served.set(served.get() + 1);
            stream
                .write_all(answer.as_bytes())
                .await
                .expect("a client that reads");
        }
    });
    (Store::new(address, clock::System::shared()), count)
}

fn answer(status: &str, era: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{era}connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

const PAGE: &str =
    r#"{"items":[{"key":"servers/e1","value":"","rev":4}],"truncated":true,"asOf":4}"#;
const LAST_PAGE: &str = r#"{"items":[],"asOf":5}"#;
const NO_EVENTS: &str = r#"{"events":[],"asOf":5}"#;

/// Guards against a store that lists entries without end, which took all memory of the process.
#[test]
fn read_of_entries_without_end_is_given_up() {
    const PAGES: usize = 60;
    let value = "AAAA".repeat(175_000);
    let pages = (0..PAGES).map(|number| {
        let item = format!(r#"{{"key":"servers/e{number:02}","value":"{value}","rev":4}}"#);
        let body = format!(r#"{{"items":[{item}],"truncated":true,"asOf":4}}"#);
        answer("200 OK", "", &body)
    });
    let (error, pages_read) = actix::System::new().block_on(async {
        let (store, count) = serve_script(pages.collect()).await;
        let error = store
            .range(path("/servers/"))
            .await
            .map(|range| range.items.len());
        (error.map_err(|error| error.to_string()), count.get())
    });
    insta::assert_debug_snapshot!((error, pages_read));
}

/// Guards against a read or a watch that goes on over a restore of the store, whatever the status of the
/// answer that shows it, and against a restore that is seen where the store states no era.
#[test]
fn restore_is_detected_in_every_answer() {
    const OLD: &str = "Store-Era: 3\r\n";
    const NEW: &str = "store-era: 4\r\n";
    let cases = [
        ("the same era", OLD, "200 OK", OLD, NO_EVENTS),
        ("events of another era", OLD, "200 OK", NEW, NO_EVENTS),
        ("an earlier era", NEW, "200 OK", OLD, NO_EVENTS),
        (
            "a dropped revision of another era",
            OLD,
            "410 Gone",
            NEW,
            "",
        ),
        ("a dropped revision", OLD, "410 Gone", OLD, ""),
        (
            "a refusal in another era",
            OLD,
            "503 Service Unavailable",
            NEW,
            "",
        ),
        ("no era at all", "", "200 OK", "", NO_EVENTS),
        ("no era in one answer", OLD, "200 OK", "", NO_EVENTS),
        (
            "an era that is no number",
            OLD,
            "200 OK",
            "store-era: iv\r\n",
            NO_EVENTS,
        ),
        (
            "the first era of a store",
            "store-era: 0\r\n",
            "200 OK",
            "store-era: 1\r\n",
            NO_EVENTS,
        ),
    ];
    let outcomes = cases.map(|(name, first, status, second, body)| {
        actix::System::new().block_on(async move {
            let script = vec![
                answer("200 OK", first, LAST_PAGE),
                answer(status, second, body),
                answer("200 OK", first, PAGE),
                answer(status, second, LAST_PAGE),
            ];
            let (store, _count) = serve_script(script).await;
            let prefix = path("/servers/");
            let read = store.range(prefix.clone()).await.expect("an answer");
            let mut events = store
                .watch(prefix.clone(), read.next())
                .await
                .expect("a watch");
            let watched = events.next().await.expect("an item");
            let paged = store.range(prefix).await;
            let kind = |error: &Error| error.kind().to_string();
            format!(
                "{name}: watch {:?}, second page {:?}",
                watched
                    .map(|events| events.len())
                    .map_err(|error| kind(&error)),
                paged
                    .map(|range| range.items.len())
                    .map_err(|error| kind(&error)),
            )
        })
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against a follower that goes on from a revision that the store no longer has (410).
#[test]
fn watch_from_a_dropped_revision_leads_to_a_full_read() {
    let updates = actix::System::new().block_on(async {
        let script = vec![
            answer("200 OK", "", LAST_PAGE),
            answer("410 Gone", "", ""),
            answer(
                "200 OK",
                "",
                r#"{"items":[{"key":"servers/e1","value":"","rev":9}],"asOf":9}"#,
            ),
        ];
        let (store, _count) = serve_script(script).await;
        let (sender, mut updates) = mpsc::unbounded_channel();
        let task = directory::follow(
            Rc::new(store),
            path("/servers/"),
            Duration::ZERO,
            clock::System::shared(),
            Box::new(move |update, _sent| drop(sender.send(update))),
        );
        let mut seen = Vec::new();
        while seen.len() < 4 {
            seen.push(match updates.recv().await.expect("a running follower") {
                // Without the time of the failed call.
                directory::Update::Availability(availability) => format!("store {availability}"),
                update => format!("{update:?}"),
            });
        }
        task.abort();
        seen
    });
    insta::assert_debug_snapshot!(updates);
}

/// Guards against timeouts that leave too little of the recovery for the calls after them, and against a
/// pause before a watch call that delays the detection of silence by as much.
#[test]
fn timeouts_follow_from_the_recovery() {
    let waits = [500, 2_000, 3_000, 4_000, 60_000].map(|recovery_ms| {
        actix::System::new().block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("a bound address");
            let clock = Arc::new(clock::Manual::default());
            let store = Store::new(address, Arc::clone(&clock) as clock::Shared)
                .with_recovery(Duration::from_millis(recovery_ms));
            let limits = format!("{store:?}").replace(&address.to_string(), "-");
            let mut events = store
                .watch(path("/servers/"), Position::default())
                .await
                .expect("a watch");
            clock.advance(Duration::from_millis(700));
            let call = task::spawn_local(async move { events.next().await.is_some() });
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n") {
                head.push(stream.read_u8().await.expect("a request"));
            }
            call.abort();
            let line = String::from_utf8_lossy(&head).into_owned();
            let wait = line
                .split(['&', ' '])
                .find(|part| part.starts_with("waitMs"));
            format!("{limits}, 0.7 s after an answer: {wait:?}")
        })
    });
    insta::assert_debug_snapshot!(waits);
}

/// Guards against a call with the number of a lease of an earlier era, which may belong to a lease of
/// another process.
#[test]
fn leases_of_an_earlier_era_are_not_used() {
    let (renewed, written, calls) = actix::System::new().block_on(async {
        let script = vec![
            answer("200 OK", "store-era: 1\r\n", r#"{"lease":7,"ttlMs":15000}"#),
            answer("200 OK", "store-era: 2\r\n", LAST_PAGE),
        ];
        let (store, count) = serve_script(script).await;
        let lease = store.grant(Duration::from_secs(15)).await.expect("a lease");
        store.range(path("/servers/")).await.expect("an answer");
        let renewed = store.renew(lease).await.expect("no call");
        store.revoke(lease).await.expect("no call");
        let txn = Txn {
            writes: vec![Write::Put(path("/a"), Vec::new(), Some(lease))],
            ..Txn::default()
        };
        let written = store.commit(txn).await.map_err(|error| error.executed());
        (renewed, written, count.get())
    });
    assert_eq!((renewed, written, calls), (false, Err(Executed::No), 2));
}

proptest! {
    /// Guards against an item that changes how the others of its page or batch are read.
    #[test]
    fn any_item_leaves_the_others_readable(odd in any_json(), place in 0..3_usize) {
        let good = |key: &str| format!(r#"{{"key":"servers/{key}","value":"e30=","rev":7}}"#);
        let mut items = vec![good("i-1"), good("i-2")];
        items.insert(place, odd);
        let list = items.join(",");
        let page = format!(r#"{{"truncated":true,"items":[{list}],"asOf":9}}"#);
        let page = record::Page::parse(page.as_bytes()).expect("a page");
        let batch = format!(r#"{{"events":[{list}],"asOf":9}}"#);
        let batch = record::Batch::parse(batch.as_bytes()).expect("a batch");
        prop_assert_eq!((page.revision, page.truncated, batch.revision), (9, true, 9));
        let items: Vec<_> = page.items.iter().filter_map(record::item).collect();
        let events: Vec<_> = batch.events.iter().filter_map(record::event).collect();
        for id in ["/servers/i-1", "/servers/i-2"] {
            let is_whole = |item: &Item| item.path == path(id) && item.value == b"\x7b\x7d";
            prop_assert!(items.iter().any(is_whole));
            prop_assert!(events.iter().any(|event| event.path == path(id)));
        }
    }

    /// Guards against a panic on bytes that are neither an entry nor a configuration.
    #[test]
    fn arbitrary_bytes_are_rejected(
        key in "/servers/[!-~]{0,80}", bytes in prop::collection::vec(any::<u8>(), 0..300)
    ) {
        let entry = Codec.instance(&path(&key), &bytes);
        let plan = Codec.plan(&bytes);
        prop_assert!(entry.is_err() && plan.is_err());
    }

    /// Guards against a panic on an entry or a configuration with one changed byte.
    #[test]
    fn corrupted_documents_do_not_panic(at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        for text in [ENTRY, CONFIGURATION] {
            let mut bytes = text.as_bytes().to_vec();
            let at = at.index(bytes.len());
            bytes[at] = byte;
            drop(Codec.instance(&path("/servers/i-1"), &bytes));
            drop(Codec.plan(&bytes));
        }
    }

    /// Guards against a panic on arbitrary values of `Token-Count` and `Prefix-Hash`.
    #[test]
    fn arbitrary_headers_do_not_panic(tokens in "[ -~]{0,20}", prefix in "[ -~]{0,60}") {
        let request = TestRequest::get()
            .insert_header(("Token-Count", tokens))
            .insert_header(("Prefix-Hash", prefix))
            .to_http_request();
        drop(protocol().decode(&request, Bytes::new(), Instant::now()));
    }
}

/// Guards against a notice that is misread: an endpoint that is closed for good, or not at all.
#[test]
fn notices_are_decoded_from_the_head_of_any_answer() {
    let heads: [(u16, &[(&str, &str)]); 11] = [
        (200, &[]),
        (200, &[("server-leaving", "1")]),
        (500, &[("server-leaving", "1"), ("retry-after", "3")]),
        (200, &[("server-leaving", "0")]),
        (503, &[("retry-after", "2")]),
        (503, &[("retry-after", "0.25")]),
        (503, &[("retry-after", "2"), ("retry-after", "5")]),
        (503, &[("retry-after", "-1"), ("retry-after", "4")]),
        (503, &[("retry-after", "Fri, 04 Dec 2026 23:00:00 GMT")]),
        (503, &[("retry-after", "99999999")]),
        (429, &[("retry-after", "2")]),
    ];
    let notices = heads.map(|(status, headers)| {
        let status = StatusCode::from_u16(status).expect("a status");
        let mut head = ResponseHead::new(status);
        for (name, value) in headers {
            let name = HeaderName::from_static(name);
            head.headers_mut()
                .append(name, HeaderValue::from_static(value));
        }
        format!(
            "{} {headers:?}: {:?}",
            status.as_u16(),
            engine::decode_notice(&head)
        )
    });
    insta::assert_debug_snapshot!(notices);
}

/// Guards against a load report that is misread, and against one whose slowdown makes an endpoint look
/// infinitely fast or slow.
#[test]
fn load_reports_have_three_or_four_figures() {
    let texts = [
        "3,1,6",
        " 3, 1, 6 ",
        "3,1,6,130",
        "3,1,6,97.6",
        "3,1,6,1",
        "3,1,6,4000000000000",
        "3,1,6,0",
        "3,1,6,-20",
        "3,1,6,NaN",
        "3,1,6,inf",
        "3,1,6,",
        "3,1,6,fast",
        "3,1,6,130,1",
        "3,1",
        "",
        "3,-1,6",
        "3,1.5,6,130",
    ];
    let loads = texts.map(|text| format!("{text:?}: {:?}", engine::decode_load(text)));
    insta::assert_debug_snapshot!(loads);
}

/// Guards against a call to the platform's API whose path, body or headers are not those of the
/// platform, and against a refused token that looks like another failure.
#[actix_rt::test]
async fn duty_calls_have_the_platforms_format() {
    let mut seen = Vec::new();
    for status in ["200 OK", "409 Conflict", "429 Too Many Requests"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let cloud = Cloud::new(address, "edge-1".parse().expect("a valid name"));
        let served = task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = Vec::new();
            while !request.ends_with(b"}") || !request.windows(8).any(|part| part == b"windowId") {
                assert!(stream.read_buf(&mut request).await.expect("readable") > 0);
            }
            let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes()).await.expect("writable");
            request
        });
        let counts = [("hule930", 412), ("fida11", 11)]
            .map(|(name, count)| (name.parse().expect("a valid name"), count));
        let call = duty::Call::Usage {
            window: crate::id::Window::new(353_445_120),
            counts: Arc::new(counts.into()),
        };
        let token = "8192".parse().expect("a token");
        let answer = duty::Api::send(&cloud, token, &call).await;
        let request = String::from_utf8(served.await.expect("served")).expect("text");
        let request = request.replace(&address.to_string(), "ADDRESS");
        let lines = request.lines().filter(|line| !line.starts_with("date:"));
        let mut lines: Vec<&str> = lines.collect();
        lines.sort_unstable();
        seen.push((answer, lines.join("\n")));
    }
    insta::assert_debug_snapshot!(seen);
}
