//! Endpoints whose answers are faulty. The endpoint is a raw socket, and the caller sees every byte of
//! the answer.

use std::{cell::Cell, collections::VecDeque, net::SocketAddr, rc::Rc};

use awc::Client;
use mulberrymill_bench::platform::{Store, entry};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task,
};

use super::{Harness, STOP_SETTINGS, config, departure::read_head, open_gateway};

/// Statuses that tell callers that a request has not run.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A gateway whose routes lead to the endpoint at this address.
pub(super) async fn open_harness(endpoint: SocketAddr) -> Harness {
    let harness = Harness::open().await;
    harness.store.put("op/config", &config(3, "s1"));
    harness
        .store
        .put("servers/e1", &entry(endpoint, "s1", 4, "ready"));
    harness.wait_until_ready().await;
    harness
}

/// Sends a request on a connection of its own, and returns the whole answer.
pub(super) async fn send(gateway: SocketAddr, target: &str, id: &str) -> String {
    send_within(gateway, target, id, 5_000).await
}

/// Sends a request like [`send`], whose caller waits for so many milliseconds.
pub(super) async fn send_within(
    gateway: SocketAddr,
    target: &str,
    id: &str,
    deadline_ms: u32,
) -> String {
    let mut caller = TcpStream::connect(gateway).await.expect("a connection");
    let head = format!(
        "POST {target} HTTP/1.1\r\nhost: kitchen.example\r\nrequest-id: {id}\r\n\
         deadline-ms: {deadline_ms}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    let sent = caller.write_all(head.as_bytes()).await;
    sent.expect("a gateway that reads");
    let mut answer = Vec::new();
    // The gateway may end a broken answer with a reset.
    let _ = caller.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

pub(super) fn status(answer: &str) -> u16 {
    let status = answer.split(' ').nth(1);
    status
        .and_then(|status| status.parse().ok())
        .expect("an answer with a status")
}

/// Guards against telling a caller that its request has not run because the endpoint wrote an earlier
/// refusal once more while it runs the request (REFUSED).
#[actix_web::test]
async fn repeated_refusal_is_not_taken_for_the_answer_to_the_next_request() {
    let mut statuses = Vec::new();
    for echo in ["", "request-id: first\r\n"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let harness = open_harness(listener.local_addr().expect("a bound address")).await;
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\n{echo}content-length: 0\r\n\r\n"
        );
        task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            for _ in 0..2 {
                read_head(&mut stream).await.expect("a head");
                let sent = stream.write_all(refusal.as_bytes()).await;
                sent.expect("a gateway that reads");
            }
            std::future::pending::<()>().await;
        });
        let address = harness.gateway.address();
        let first = status(&send(address, "/once/1", "first").await);
        let second = status(&send(address, "/once/2", "second").await);
        statuses.push((echo, first, NOT_EXECUTED_STATUSES.contains(&second)));
    }
    assert_eq!(
        statuses,
        [("", 503, false), ("request-id: first\r\n", 503, false)]
    );
}

/// Guards against using a connection on which an answer is still due, after a copy took its place: each
/// further request would get the answer of the one before, and fail although it has run (LOST).
#[actix_web::test]
async fn connection_is_not_used_again_after_a_copy_of_an_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let harness = open_harness(listener.local_addr().expect("a bound address")).await;
    task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            task::spawn_local(async move {
                // The answer to the first request of a connection comes twice.
                let mut due = VecDeque::new();
                while let Some(head) = read_head(&mut stream).await {
                    let id = head
                        .lines()
                        .find(|line| line.starts_with("request-id: "))
                        .expect("an id");
                    let answer = format!("HTTP/1.1 200 OK\r\n{id}\r\ncontent-length: 0\r\n\r\n");
                    if due.is_empty() {
                        due.push_back(answer.clone());
                    }
                    due.push_back(answer);
                    let next = due.pop_front().expect("an answer");
                    let sent = stream.write_all(next.as_bytes()).await;
                    sent.expect("a gateway that reads");
                }
            });
        }
    });
    let mut statuses = Vec::new();
    for id in ["1", "2", "3", "4", "5", "6"] {
        let answer = send(harness.gateway.address(), &format!("/once/{id}"), id).await;
        statuses.push(status(&answer));
    }
    assert_eq!(statuses, [200, 502, 200, 502, 200, 502]);
}

/// Guards against telling a caller that its request has not run, or sending it to yet another endpoint,
/// because of a copy of the refusal of its first attempt: the address is listed under two ids, and the
/// second attempt goes to it, too (REFUSED, TWICE).
#[actix_web::test]
async fn repeated_refusal_is_not_taken_for_the_answer_to_the_next_attempt() {
    const REFUSAL: &str = "HTTP/1.1 421 Misdirected Request\r\nnot-executed: 1\r\n\
                           request-id: once\r\ninstance-id: e3\r\ncontent-length: 0\r\n\r\n";
    const ANSWER: &str = "HTTP/1.1 200 OK\r\nserver-stamp: s\r\nrequest-id: once\r\n\
                          content-length: 5\r\n\r\nlabel";
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let store = Store::bind().expect("a free port");
    store.put("op/config", &config(3, "s1"));
    for id in ["e1", "e2"] {
        let entry = entry(address, "s1", 4, "ready");
        store.put(&format!("servers/{id}"), &entry);
    }
    let harness = Harness {
        gateway: open_gateway("gateway-1", store.address(), STOP_SETTINGS).await,
        client: Client::default(),
        store,
    };
    harness.wait_until_ready().await;
    let requests = Rc::new(Cell::new(0));
    let count = Rc::clone(&requests);
    task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = Rc::clone(&count);
            task::spawn_local(async move {
                let mut has_refused = false;
                while read_head(&mut stream).await.is_some() {
                    has_refused |= count.replace(count.get() + 1) == 0;
                    // All requests but the first are run, but a copy of the refusal comes first.
                    let answer = if has_refused { REFUSAL } else { ANSWER };
                    let sent = stream.write_all(answer.as_bytes()).await;
                    sent.expect("a gateway that reads");
                }
            });
        }
    });
    let answer = send(harness.gateway.address(), "/once/1", "once").await;
    assert_eq!((status(&answer), requests.get()), (200, 2));
}

/// Whether an answer looks complete and successful to its caller.
pub(super) fn is_complete_success(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return false;
    };
    let length: Option<usize> = head.lines().find_map(|line| {
        line.to_lowercase()
            .strip_prefix("content-length: ")?
            .parse()
            .ok()
    });
    let complete = match length {
        Some(length) => body.len() == length,
        None => body.ends_with("0\r\n\r\n"),
    };
    status(head) == 200 && complete
}

/// Guards against an answer that is passed on as a complete success although the endpoint stopped
/// within its head or its body (MIXED, ORDER).
#[actix_web::test]
async fn answer_that_is_cut_off_at_any_byte_is_no_success() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nserver-stamp: s\r\n";
    const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let framings = [
        ("/once/", format!("{HEAD}content-length: 5\r\n\r\nlabel")),
        (
            "/once/",
            format!("{HEAD}transfer-encoding: chunked\r\n\r\n5\r\nlabel\r\n0\r\n\r\n"),
        ),
        (
            "/stream/",
            format!(
                "{HEAD}content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n{EVENTS}",
                EVENTS.len()
            ),
        ),
        (
            "/stream/",
            format!("{HEAD}content-type: text/event-stream\r\n\r\n{EVENTS}"),
        ),
    ];
    let mut accepted = Vec::new();
    for (target, whole) in framings {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let harness = open_harness(listener.local_addr().expect("a bound address")).await;
        let served = whole.clone();
        task::spawn_local(async move {
            for cut in 0..=served.len() {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                read_head(&mut stream).await.expect("a head");
                let sent = stream.write_all(&served.as_bytes()[..cut]).await;
                sent.expect("a gateway that reads");
            }
        });
        for cut in 0..=whole.len() {
            let answer = send(harness.gateway.address(), target, &format!("cut-{cut}")).await;
            if is_complete_success(&answer) {
                accepted.push(format!(
                    "{target}: {:?}",
                    &whole[cut.saturating_sub(9)..cut]
                ));
            }
        }
    }
    insta::assert_debug_snapshot!(accepted);
}
