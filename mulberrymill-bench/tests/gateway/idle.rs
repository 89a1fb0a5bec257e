//! Connections of callers that stay open without a request.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{self, Instant},
};

use super::{Harness, config};

/// `idleTimeoutMs` of the configuration.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit of the wait for an event that follows by itself in a correct gateway.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Whether these bytes are a head with a length and the body that it announces.
fn is_complete(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map(|length| length.parse().expect("a number"));
    length == Some(body.len())
}

/// Sends a request, and returns the status line of its answer once it is complete.
async fn exchange(caller: &mut TcpStream) -> String {
    let head = "POST /plain/1 HTTP/1.1\r\nhost: kitchen.example\r\nrequest-id: 9c41\r\n\
                deadline-ms: 5000\r\ncontent-length: 0\r\n\r\n";
    if let Err(error) = caller.write_all(head.as_bytes()).await {
        return format!("not sent: {}", error.kind());
    }
    let mut answer = Vec::new();
    while !is_complete(&answer) {
        match caller.read_buf(&mut answer).await {
            Ok(0) => return "closed without an answer".to_owned(),
            Ok(_) => {}
            Err(error) => return format!("lost: {}", error.kind()),
        }
    }
    let answer = String::from_utf8_lossy(&answer);
    answer.lines().next().unwrap_or_default().to_owned()
}

/// Waits until the gateway closes an idle connection. Describes whether it did so before the limit.
async fn closed(caller: &mut TcpStream, limit: Duration) -> &'static str {
    let begin = Instant::now();
    let read = time::timeout(EVENT_TIMEOUT, caller.read(&mut [0; 1])).await;
    match read {
        Err(_elapsed) => "still open",
        Ok(Ok(0)) if begin.elapsed() >= limit => "closed after the limit",
        Ok(Ok(0)) => "closed before the limit",
        Ok(_) => "bytes or an error without a request",
    }
}

/// Guards against a gateway that keeps idle connections until it can accept no others, whatever limit the
/// configuration sets (RECOVER), and against one that closes connections that callers may still use.
#[actix_web::test]
async fn connections_end_at_the_limit_of_the_configuration() {
    let (harness, _endpoints) = Harness::with_two_services().await;
    let mut plan = config(9, "s2");
    plan["limits"]["idleTimeoutMs"] = 1_000.into();
    harness.store.put("op/config", &plan);
    harness.wait_until_answered_by("e2").await;

    let address = harness.gateway.address();
    let mut used = TcpStream::connect(address).await.expect("a connection");
    let mut steps = vec![format!("first request: {}", exchange(&mut used).await)];
    // Callers reuse connections that have been idle for up to four fifths of the limit.
    time::sleep(IDLE_TIMEOUT * 4 / 5).await;
    steps.push(format!("second request: {}", exchange(&mut used).await));
    steps.push(format!(
        "idle after a request: {}",
        closed(&mut used, IDLE_TIMEOUT).await
    ));
    let mut unused = TcpStream::connect(address).await.expect("a connection");
    steps.push(format!(
        "never used: {}",
        closed(&mut unused, IDLE_TIMEOUT).await
    ));
    insta::assert_debug_snapshot!(steps);
}
