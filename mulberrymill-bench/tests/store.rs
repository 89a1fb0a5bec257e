//! Tests the etcd client against the store stand-in, and compares both with the in-memory store.

use std::{net::SocketAddr, time::Duration};

use futures_util::StreamExt;
use mulberrymill::{
    clock,
    error::{Executed, Result},
    id::Revision,
    store::{Compare, Etcd, Events, Lease, Memory, Path, Reader, Store, Txn, Write},
};
use mulberrymill_bench::store::{self, Config, Fault, Handle};
use proptest::{
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config as RunnerConfig, TestRunner},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket},
};

/// Time to live of the lease in `exercise_store`.
const LEASE_TTL: Duration = Duration::from_secs(9);
/// Number of generated requests or responses of a test with malformed input.
const SAMPLES: usize = 64;

fn path(text: &str) -> Path {
    text.parse().expect("valid path")
}

fn put(text: &str, value: &str) -> Write {
    Write::Put(path(text), value.into(), None)
}

/// Transaction that sets `/a` without conditions.
fn put_transaction(value: &str) -> Txn {
    Txn {
        compares: Vec::new(),
        writes: vec![put("/a", value)],
    }
}

/// Starts a store stand-in and opens a client for it.
fn start_store() -> (Handle, Etcd) {
    let handle = store::bind(Config::default()).expect("a loopback port");
    let client = open_client(vec![handle.address()]);
    (handle, client)
}

fn open_client(addresses: Vec<SocketAddr>) -> Etcd {
    Etcd::open(addresses, clock::System::shared()).expect("an address")
}

/// Replaces the fault settings of the stand-in.
async fn set_fault(handle: &Handle, fault: Fault) {
    let url = format!("http://{}/fault", handle.address());
    let response = awc::Client::new().post(url).send_json(&fault).await;
    assert!(response.expect("a response").status().is_success());
}

/// Reads the number of reads and writes, and of open watches, from the stand-in.
async fn request_counts(handle: &Handle) -> serde_json::Value {
    let url = format!("http://{}/count", handle.address());
    let response = awc::Client::new().get(url).send().await;
    let mut response = response.expect("a response");
    response.json().await.expect("counts")
}

/// Whether an operation was executed, as its result states.
fn execution_state<T>(result: Result<T>) -> Executed {
    result.map_or_else(|error| error.executed(), |_value| Executed::Yes)
}

/// Reads events until there are at least `number`, or the watch ends.
async fn next_events(events: &mut Events, number: usize) -> Result<Vec<String>> {
    let mut received = Vec::new();
    while received.len() < number {
        match events.next().await {
            Some(batch) => received.extend(batch?.iter().map(|event| format!("{event:?}"))),
            None => break,
        }
    }
    Ok(received)
}

/// Transactions that cover each kind of comparison and write, and invalid or oversized ones.
fn contract_transactions(lease: Lease) -> Vec<Txn> {
    let absent = Compare::Absent(path("/c/a"));
    let txn = |compares, writes| Txn { compares, writes };
    vec![
        txn(
            vec![absent.clone()],
            vec![put("/c/a", "1"), put("/c/b", "")],
        ),
        txn(vec![absent], vec![put("/c/a", "2")]),
        txn(
            vec![Compare::Modified(path("/c/a"), Revision::new(2))],
            vec![put("/c/a", "3")],
        ),
        txn(
            vec![Compare::Modified(path("/c/a"), Revision::new(2))],
            vec![put("/c/a", "4")],
        ),
        txn(
            vec![Compare::Created(path("/c/a"), Revision::new(2))],
            vec![put("/c/a", "5")],
        ),
        txn(
            vec![Compare::Created(path("/c/x"), Revision::new(2))],
            vec![],
        ),
        txn(
            vec![Compare::Created(path("/c/x"), Revision::default())],
            vec![],
        ),
        txn(
            vec![],
            vec![Write::Delete(path("/c/b")), Write::Delete(path("/c/none"))],
        ),
        txn(
            vec![],
            vec![Write::Put(path("/c/l"), vec![0, 255], Some(lease))],
        ),
        txn(
            vec![],
            vec![Write::Put(path("/c/m"), vec![1], Some(Lease::new(77)))],
        ),
        txn(vec![], vec![put("/c/a", "6"), put("/c/a", "7")]),
        txn(
            vec![],
            vec![Write::Put(path("/c/big"), vec![0; (1 << 20) + 1], None)],
        ),
        txn(vec![], vec![Write::Put(path("/d"), vec![7; 1 << 20], None)]),
    ]
}

/// Runs the same calls against any store and returns the results as text.
async fn exercise_store(store: &dyn Store) -> Result<Vec<String>> {
    let mut results = Vec::new();
    let mut events = store.watch(path("/c/"), Revision::default().into()).await?;
    let lease = store.grant(LEASE_TTL).await?;
    for txn in contract_transactions(lease) {
        results.push(format!(
            "{:?}",
            store.commit(txn).await.map_err(|e| e.executed())
        ));
    }
    results.push(format!("{:?}", store.get(path("/c/a")).await));
    results.push(format!("{:?}", store.get(path("/c")).await));
    results.push(format!("{:?}", store.range(path("/c")).await));
    results.push(format!(
        "{:?}",
        store.get(path("/d")).await?.items[0].value.len()
    ));
    results.push(format!("renewed {:?}", store.renew(lease).await));
    results.push(format!("revoked {:?}", store.revoke(lease).await));
    results.push(format!("renewed {:?}", store.renew(lease).await));
    results.push(format!("revoked {:?}", store.revoke(lease).await));
    results.push(format!("{:?}", store.range(path("/c")).await));
    results.extend(next_events(&mut events, 7).await?);
    let mut replay = store.watch(path("/c/a"), Revision::new(3).into()).await?;
    results.extend(next_events(&mut replay, 2).await?);
    Ok(results)
}

/// Guards against a difference between the in-memory store and the client with the stand-in, which
/// would make tests against one of them meaningless for the other.
#[actix_rt::test]
async fn store_implementations_agree() -> Result<()> {
    let (handle, client) = start_store();
    let remote = exercise_store(&client).await?;
    let local = exercise_store(&Memory::new(clock::System::shared())).await?;
    assert_eq!(remote, local);
    insta::assert_debug_snapshot!(local);
    handle.stop().await;
    Ok(())
}

/// Guards against a store fault that is reported with the wrong execution state.
#[actix_rt::test]
async fn faults_report_the_execution_state() -> Result<()> {
    let (handle, client) = start_store();
    let mut results = Vec::new();
    let faults = [
        Fault {
            down: true,
            ..Fault::default()
        },
        Fault {
            lose_answers: 1,
            ..Fault::default()
        },
        Fault {
            slow: 60_000,
            ..Fault::default()
        },
        Fault {
            slow: 10,
            ..Fault::default()
        },
    ];
    for (index, fault) in faults.into_iter().enumerate() {
        set_fault(&handle, fault).await;
        let result = execution_state(client.commit(put_transaction(&index.to_string())).await);
        set_fault(&handle, Fault::default()).await;
        let value = client.get(path("/a")).await?.items.pop();
        let value = value.map(|item| String::from_utf8_lossy(&item.value).into_owned());
        results.push((fault, result, value));
    }
    insta::assert_debug_snapshot!((results, request_counts(&handle).await));
    handle.stop().await;
    Ok(())
}

/// Guards against a watch that hangs during an outage, and against one that the stand-in still
/// counts as open after it has ended.
#[actix_rt::test]
async fn outage_ends_watches() -> Result<()> {
    let (handle, client) = start_store();
    let mut events = client.watch(path("/"), Revision::default().into()).await?;
    let before = request_counts(&handle).await;
    set_fault(
        &handle,
        Fault {
            down: true,
            ..Fault::default()
        },
    )
    .await;
    let error = events.next().await.is_some_and(|batch| batch.is_err());
    let end = events.next().await.is_none();
    insta::assert_debug_snapshot!((before, error, end, request_counts(&handle).await));
    handle.stop().await;
    Ok(())
}

/// Guards against a refused connection that is reported as a possible write, and against a client
/// that fails although another address accepts connections.
#[actix_rt::test]
async fn addresses_are_tried_in_order() -> Result<()> {
    // A bound port without a listener refuses connections, and the system cannot assign it to the
    // stand-in of another test.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(Config::default().address).expect("a port");
    let address = socket.local_addr().expect("an address");
    let refused = execution_state(
        open_client(vec![address])
            .commit(put_transaction("1"))
            .await,
    );
    let (handle, _) = start_store();
    let client = open_client(vec![address, handle.address()]);
    let second = client.commit(put_transaction("2")).await?.succeeded;
    insta::assert_debug_snapshot!((refused, second));
    handle.stop().await;
    Ok(())
}

/// Draws [`SAMPLES`] values from a strategy with a fixed seed.
fn generate_samples<S: Strategy>(strategy: &S) -> Vec<S::Value> {
    let mut runner = TestRunner::new_with_rng(
        RunnerConfig::default(),
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    let draw = |_| strategy.new_tree(&mut runner).expect("a sample").current();
    (0..SAMPLES).map(draw).collect()
}

/// Generates arbitrary bytes, and JSON objects with a known field and an invalid value.
fn malformed_json() -> impl Strategy<Value = Vec<u8>> {
    let field = prop_oneof![
        Just("key"),
        Just("range_end"),
        Just("compare"),
        Just("success"),
        Just("ID"),
        Just("TTL"),
        Just("create_request"),
    ];
    let value = prop_oneof![
        Just("-1".to_owned()),
        Just("[{}]".to_owned()),
        Just("\"%\"".to_owned()),
        Just("{\"key\":3}".to_owned()),
        "\\PC{0,20}",
    ];
    prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..60),
        (field, value).prop_map(|(field, value)| format!("{{\"{field}\":{value}}}").into_bytes()),
    ]
}

/// Guards against a malformed request that crashes the stand-in or that it accepts as valid.
#[actix_rt::test]
async fn malformed_requests_are_rejected() {
    let (handle, _) = start_store();
    let client = awc::Client::new();
    let mut statuses = std::collections::BTreeSet::new();
    for body in generate_samples(&malformed_json()) {
        for route in [
            "kv/range",
            "kv/txn",
            "lease/grant",
            "lease/keepalive",
            "watch",
        ] {
            let url = format!("http://{}/v3/{route}", handle.address());
            let response = client.post(url).send_body(body.clone()).await;
            let status = response.expect("a response").status().as_u16();
            // These routes also accept a request that has none of the fields they read.
            let accepts_empty_request = matches!(route, "kv/txn" | "lease/keepalive");
            assert!(
                status == 400 || accepts_empty_request,
                "{route} {body:?}: {status}"
            );
            statuses.insert(status);
        }
    }
    insta::assert_debug_snapshot!((statuses, request_counts(&handle).await["watches"].as_u64()));
    handle.stop().await;
}

/// Accepts one connection, reads from it once and sends a response.
async fn respond_once(listener: &TcpListener, response: &[u8]) {
    let (mut socket, _) = listener.accept().await.expect("a connection");
    let mut request = [0; 4096];
    let _read = socket.read(&mut request).await;
    // The client may close the connection before it has read the whole response.
    let _written = socket.write_all(response).await;
    let _closed = socket.shutdown().await;
}

/// Guards against a malformed response that makes the client panic, hang or report success.
#[actix_rt::test]
async fn malformed_responses_are_errors() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut bodies = generate_samples(&malformed_json());
    bodies.push(vec![b'x'; 5 << 20]);
    for body in bodies {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let response = [head.into_bytes(), body.clone()].concat();
        let client = open_client(vec![address]);
        let (result, ()) = tokio::join!(client.get(path("/a")), respond_once(&listener, &response));
        assert!(result.is_err(), "{body:?}");
        let client = open_client(vec![address]);
        let (result, ()) = tokio::join!(
            client.commit(put_transaction("1")),
            respond_once(&listener, &response)
        );
        assert_eq!(execution_state(result), Executed::Unknown, "{body:?}");
        let client = open_client(vec![address]);
        let watch = client.watch(path("/a"), Revision::default().into());
        let (result, ()) = tokio::join!(watch, respond_once(&listener, &body));
        assert!(result.is_err(), "{body:?}");
    }
}
