//! Endpoints whose answers are faulty. The endpoint is a raw socket, and the caller sees every byte of
//! the answer.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task,
};

use super::{Harness, config, departure::read_head};
use mulberrymill_bench::platform::entry;

/// Statuses that tell callers that a request has not run.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A gateway whose routes lead to the endpoint at this address.
async fn open_harness(endpoint: SocketAddr) -> Harness {
    let harness = Harness::open().await;
    harness.store.put("op/config", &config(3, "s1"));
    harness
        .store
        .put("servers/e1", &entry(endpoint, "s1", 4, "ready"));
    harness.wait_until_ready().await;
    harness
}

/// Sends a request on a connection of its own, and returns the whole answer.
async fn send(gateway: SocketAddr, target: &str, id: &str) -> String {
    let mut caller = TcpStream::connect(gateway).await.expect("a connection");
    let head = format!(
        "POST {target} HTTP/1.1\r\nhost: kitchen.example\r\nrequest-id: {id}\r\n\
         deadline-ms: 5000\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    let sent = caller.write_all(head.as_bytes()).await;
    sent.expect("a gateway that reads");
    let mut answer = Vec::new();
    // The gateway may end a broken answer with a reset.
    let _ = caller.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn status(answer: &str) -> u16 {
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
                read_head(&mut stream).await;
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
