//! Clients of engines and services against raw sockets, whose answers are faulty.

use std::{net::SocketAddr, time::Duration};

use futures_util::StreamExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task, time,
};

use super::{super::*, submit};
use crate::{
    clock::{Clock as _, System},
    wire::{Invoke, Work},
};

/// Starts an endpoint that answers each request on the n-th connection with the n-th of these.
async fn endpoint(answers: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    task::spawn_local(async move {
        for answer in answers {
            let (stream, _) = listener.accept().await.expect("a connection");
            task::spawn_local(answer_all(stream, answer));
        }
    });
    address
}

/// Answers all requests on a connection; an answer that is not complete ends it.
async fn answer_all(mut stream: TcpStream, answer: Vec<u8>) {
    let mut buffer = vec![0; 8 << 10];
    while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
        if stream.write_all(&answer).await.is_err() || answer.ends_with(b"cut") {
            return;
        }
    }
}

/// Runs a job, and describes its parts.
async fn run(client: &dyn EndpointClient, work: Work) -> Vec<String> {
    let parts = client.run(Job { work, priority: 1 });
    let described = parts.map(|part| match part {
        Ok(ResponsePart::Data(data)) => String::from_utf8_lossy(&data).into_owned(),
        Ok(ResponsePart::End { status, .. }) => format!("end with status {status}"),
        Err(error) => format!("{}, executed {}", error.kind(), error.executed()),
    });
    let described = time::timeout(Duration::from_secs(5), described.collect()).await;
    described.unwrap_or_else(|_elapsed| vec!["no end".to_owned()])
}

/// Guards against telling that a generation has not run because the engine wrote an earlier refusal
/// once more while it runs (REFUSED).
#[test]
fn repeated_refusal_of_an_engine_is_not_taken_for_the_next_answer() {
    const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
    const EVENTS: &str = "data: {\"choices\":[{\"text\":\"no nuts\",\"finish_reason\":\"stop\"}]}\n\n\
                          data: [DONE]\n\n";
    let served = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{EVENTS}",
        EVENTS.len()
    );
    let outcomes = actix::System::new().block_on(async move {
        let address = endpoint(vec![REFUSAL.to_vec(), served.into_bytes()]).await;
        let client = EngineClient::open(address, System::shared());
        let work = submit(1, 100).work;
        [run(&client, work.clone()).await, run(&client, work).await]
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against an answer of a service that breaks off and is passed on as complete (MIXED).
#[test]
fn answer_of_a_service_that_breaks_off_is_no_success() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\n";
    let answers = [
        format!("{HEAD}content-length: 5\r\n\r\nlabel"),
        format!("{HEAD}transfer-encoding: chunked\r\n\r\n5\r\nlabel\r\n0\r\n\r\n"),
        format!("{HEAD}content-length: 9\r\n\r\nlab-cut"),
        format!("{HEAD}transfer-encoding: chunked\r\n\r\n9\r\nlab-cut"),
        format!("{HEAD}transfer-encoding: chunked\r\n\r\n7\r\nlab-cut"),
        format!("{HEAD}connection: close\r\n\r\nlabel that ends with its connection, not cut"),
        format!("{HEAD}content-length-cut"),
    ];
    let outcomes = actix::System::new().block_on(async move {
        let address = endpoint(answers.iter().cloned().map(String::into_bytes).collect()).await;
        let client = ServiceClient::open(address, System::shared());
        let mut outcomes = Vec::new();
        for answer in &answers {
            let work = Work::Invoke(Invoke {
                service: "labels".parse().expect("valid name"),
                operation: "print".parse().expect("valid name"),
                key: None,
                at_most_once: false,
                content_type: "text/plain".to_owned(),
                body: Vec::new(),
            });
            let head_line = answer.split("\r\n").nth(1).unwrap_or_default();
            outcomes.push((head_line.to_owned(), run(&client, work).await));
        }
        outcomes
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against requests to an engine that has said that it leaves or pauses (DRAIN, BUDGET), and
/// against one that stays closed after it has started again.
#[test]
fn closed_engine_gets_no_requests() {
    const EVENTS: &str = "data: {\"choices\":[{\"text\":\"no nuts\",\"finish_reason\":\"stop\"}]}\n\n\
                          data: [DONE]\n\n";
    let answer = |head: &str, body: &str| {
        let length = body.len();
        format!("HTTP/1.1 {head}content-length: {length}\r\n\r\n{body}").into_bytes()
    };
    let load = |started: u64| answer("200 OK\r\n", &format!("{{\"started\":{started}}}"));
    let answers = vec![
        load(1),
        answer("200 OK\r\nendpoint-leaving: 1\r\n", EVENTS),
        load(1),
        // The connection is opened, but no request is sent on it.
        answer("200 OK\r\n", EVENTS),
        load(2),
        answer("503 Service Unavailable\r\nretry-after: 60\r\n", ""),
        answer("200 OK\r\n", EVENTS),
        load(3),
        answer("200 OK\r\n", EVENTS),
    ];
    let outcomes = actix::System::new().block_on(async move {
        let client = EngineClient::open(endpoint(answers).await, System::shared());
        let work = submit(1, 100).work;
        let mut outcomes = Vec::new();
        for step in [
            "load", "run", "load", "run", "load", "run", "run", "load", "run",
        ] {
            let outcome = if step == "load" {
                client.state().await.expect("a load report");
                Vec::new()
            } else {
                run(&client, work.clone()).await
            };
            let standing = client.closure().borrow().standing(System.now());
            outcomes.push(format!("{step}: {outcome:?}, then {standing}"));
        }
        outcomes
    });
    insta::assert_debug_snapshot!(outcomes);
}
