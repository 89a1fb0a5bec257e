//! Requests that the gateway refuses before it has received their bodies.

use std::time::Duration;

use mulberrymill_bench::platform::Endpoint;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use super::{Harness, config};

/// Pause of a caller between the head and the body, in which the gateway answers.
const BODY_DELAY: Duration = Duration::from_millis(100);
/// Bytes that a caller sends at once.
const PART_BYTES: usize = 16 << 10;
const PARTS: usize = 8;

/// Sends a request and, if that succeeds, returns the first line of the answer.
async fn send(caller: &mut TcpStream, path: &str) -> std::io::Result<String> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: kitchen.example\r\nrequest-id: 9c41\r\n\
         deadline-ms: 20000\r\ncontent-length: {}\r\n\r\n",
        PARTS * PART_BYTES
    );
    caller.write_all(head.as_bytes()).await?;
    for _ in 0..PARTS {
        time::sleep(BODY_DELAY).await;
        caller.write_all(&[b'x'; PART_BYTES]).await?;
    }
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).await?;
    let answer = String::from_utf8_lossy(&answer);
    Ok(answer.lines().next().unwrap_or("no answer").to_owned())
}

/// Guards against a refusal that does not reach its caller, because the connection is reset while the
/// caller still sends the body (LOST).
#[actix_web::test]
async fn refusal_reaches_a_caller_that_still_sends() {
    let harness = Harness::open().await;
    let address = harness.gateway.address();
    let mut answers = Vec::new();
    let mut record = async |case: &str, path: &str| {
        let mut caller = TcpStream::connect(address).await.expect("a connection");
        let answer = send(&mut caller, path).await;
        answers.push(format!(
            "{case}: {}",
            answer.unwrap_or_else(|error| error.kind().to_string())
        ));
    };
    record("no plan", "/plain/1").await;
    harness.store.put("op/config", &config(3, "s1"));
    let endpoint = Endpoint::bind("e1").expect("a free port");
    harness
        .store
        .put("servers/e1", &endpoint.entry("s1", "ready"));
    harness.wait_until_ready().await;
    record("no such route", "/dropped/1").await;
    record("body over the limit", "/plain/1").await;
    insta::assert_debug_snapshot!(answers);
}
