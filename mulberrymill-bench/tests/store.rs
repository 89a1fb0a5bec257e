//! The store client against the stand-in, and both against the in-memory store.

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

const PERIOD: Duration = Duration::from_secs(9);
const CASES: usize = 64;

fn path(text: &str) -> Path {
    text.parse().expect("valid path")
}

fn put(text: &str, value: &str) -> Write {
    Write::Put(path(text), value.into(), None)
}

fn write(value: &str) -> Txn {
    Txn {
        compares: Vec::new(),
        writes: vec![put("/a", value)],
    }
}

fn start() -> (Handle, Etcd) {
    let handle = store::bind(Config::default()).expect("a loopback port");
    let client = open(vec![handle.address()]);
    (handle, client)
}

fn open(addresses: Vec<SocketAddr>) -> Etcd {
    Etcd::open(addresses, clock::System::shared()).expect("an address")
}

async fn set(handle: &Handle, fault: Fault) {
    let url = format!("http://{}/fault", handle.address());
    let response = awc::Client::new().post(url).send_json(&fault).await;
    assert!(response.expect("an answer").status().is_success());
}

async fn count(handle: &Handle) -> serde_json::Value {
    let url = format!("http://{}/count", handle.address());
    let response = awc::Client::new().get(url).send().await;
    let mut response = response.expect("an answer");
    response.json().await.expect("counts")
}

fn ran<T>(result: Result<T>) -> Executed {
    result.map_or_else(|error| error.executed(), |_value| Executed::Yes)
}

async fn take(events: &mut Events, number: usize) -> Result<Vec<String>> {
    let mut taken = Vec::new();
    while taken.len() < number {
        match events.next().await {
            Some(batch) => taken.extend(batch?.iter().map(|event| format!("{event:?}"))),
            None => break,
        }
    }
    Ok(taken)
}

fn transactions(lease: Lease) -> Vec<Txn> {
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

async fn contract(store: &dyn Store) -> Result<Vec<String>> {
    let mut seen = Vec::new();
    let mut events = store.watch(path("/c/"), Revision::default()).await?;
    let lease = store.grant(PERIOD).await?;
    for txn in transactions(lease) {
        seen.push(format!(
            "{:?}",
            store.commit(txn).await.map_err(|e| e.executed())
        ));
    }
    seen.push(format!("{:?}", store.get(path("/c/a")).await));
    seen.push(format!("{:?}", store.get(path("/c")).await));
    seen.push(format!("{:?}", store.range(path("/c")).await));
    seen.push(format!(
        "{:?}",
        store.get(path("/d")).await?.items[0].value.len()
    ));
    seen.push(format!("renewed {:?}", store.renew(lease).await));
    seen.push(format!("revoked {:?}", store.revoke(lease).await));
    seen.push(format!("renewed {:?}", store.renew(lease).await));
    seen.push(format!("revoked {:?}", store.revoke(lease).await));
    seen.push(format!("{:?}", store.range(path("/c")).await));
    seen.extend(take(&mut events, 7).await?);
    let mut past = store.watch(path("/c/a"), Revision::new(3)).await?;
    seen.extend(take(&mut past, 2).await?);
    Ok(seen)
}

/// Guards against a client, stand-in or in-memory store that differs from the others, so that a
/// test on one says nothing about the rest.
#[actix_rt::test]
async fn stores_behave_alike() -> Result<()> {
    let (handle, client) = start();
    let remote = contract(&client).await?;
    let local = contract(&Memory::new(clock::System::shared())).await?;
    assert_eq!(remote, local);
    insta::assert_debug_snapshot!(local);
    handle.stop().await;
    Ok(())
}

/// Guards against a fault that is reported with the wrong execution state.
#[actix_rt::test]
async fn faults_tell_what_ran() -> Result<()> {
    let (handle, client) = start();
    let mut seen = Vec::new();
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
        set(&handle, fault).await;
        let result = ran(client.commit(write(&index.to_string())).await);
        set(&handle, Fault::default()).await;
        let value = client.get(path("/a")).await?.items.pop();
        let value = value.map(|item| String::from_utf8_lossy(&item.value).into_owned());
        seen.push((fault, result, value));
    }
    insta::assert_debug_snapshot!((seen, count(&handle).await));
    handle.stop().await;
    Ok(())
}

/// Guards against a watch that hangs through an outage, and against one that is counted for ever.
#[actix_rt::test]
async fn outage_ends_watches() -> Result<()> {
    let (handle, client) = start();
    let mut events = client.watch(path("/"), Revision::default()).await?;
    let before = count(&handle).await;
    set(
        &handle,
        Fault {
            down: true,
            ..Fault::default()
        },
    )
    .await;
    let error = events.next().await.is_some_and(|batch| batch.is_err());
    let end = events.next().await.is_none();
    insta::assert_debug_snapshot!((before, error, end, count(&handle).await));
    handle.stop().await;
    Ok(())
}

/// Guards against a refused connection that counts as a possible write, and against a client that
/// gives up although another address answers.
#[actix_rt::test]
async fn addresses_are_tried_in_turn() -> Result<()> {
    // A port that is bound without listening refuses connections and cannot be given to the
    // stand-in of another test.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(Config::default().address).expect("a port");
    let address = socket.local_addr().expect("an address");
    let refused = ran(open(vec![address]).commit(write("1")).await);
    let (handle, _) = start();
    let client = open(vec![address, handle.address()]);
    let second = client.commit(write("2")).await?.succeeded;
    insta::assert_debug_snapshot!((refused, second));
    handle.stop().await;
    Ok(())
}

fn samples<S: Strategy>(strategy: &S) -> Vec<S::Value> {
    let mut runner = TestRunner::new_with_rng(
        RunnerConfig::default(),
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    let draw = |_| strategy.new_tree(&mut runner).expect("a sample").current();
    (0..CASES).map(draw).collect()
}

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

/// Guards against a request that stops the stand-in or that it takes for a valid one.
#[actix_rt::test]
async fn malformed_requests_are_refused() {
    let (handle, _) = start();
    let client = awc::Client::new();
    let mut statuses = std::collections::BTreeSet::new();
    for body in samples(&malformed_json()) {
        for route in [
            "kv/range",
            "kv/txn",
            "lease/grant",
            "lease/keepalive",
            "watch",
        ] {
            let url = format!("http://{}/v3/{route}", handle.address());
            let response = client.post(url).send_body(body.clone()).await;
            let status = response.expect("an answer").status().as_u16();
            let known_empty = matches!(route, "kv/txn" | "lease/keepalive");
            assert!(status == 400 || known_empty, "{route} {body:?}: {status}");
            statuses.insert(status);
        }
    }
    insta::assert_debug_snapshot!((statuses, count(&handle).await["watches"].as_u64()));
    handle.stop().await;
}

async fn answer_once(listener: &TcpListener, answer: &[u8]) {
    let (mut socket, _) = listener.accept().await.expect("a connection");
    let mut request = [0; 4096];
    let _read = socket.read(&mut request).await;
    // The client may close first, because it has seen enough.
    let _written = socket.write_all(answer).await;
    let _closed = socket.shutdown().await;
}

/// Guards against an answer that makes the client panic, hang or report success.
#[actix_rt::test]
async fn malformed_answers_are_errors() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut answers = samples(&malformed_json());
    answers.push(vec![b'x'; 5 << 20]);
    for body in answers {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let answer = [head.into_bytes(), body.clone()].concat();
        let client = open(vec![address]);
        let (result, ()) = tokio::join!(client.get(path("/a")), answer_once(&listener, &answer));
        assert!(result.is_err(), "{body:?}");
        let client = open(vec![address]);
        let (result, ()) = tokio::join!(client.commit(write("1")), answer_once(&listener, &answer));
        assert_eq!(ran(result), Executed::Unknown, "{body:?}");
        let client = open(vec![address]);
        let watch = client.watch(path("/a"), Revision::default());
        let (result, ()) = tokio::join!(watch, answer_once(&listener, &body));
        assert!(result.is_err(), "{body:?}");
    }
}
