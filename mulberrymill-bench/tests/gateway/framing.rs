//! Answers whose headers say in an unusual way, or in two ways, where the body ends. The endpoint and the
//! caller are raw sockets.

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task,
};

use super::{
    departure::read_head,
    faulty::{is_complete_success, open_harness},
};

/// What the endpoint does with its connection after the answer to the first request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Afterwards {
    Close,
    KeepOpen,
}

/// Sends two requests on one connection. The endpoint answers the first one with these bytes, and the
/// second one soundly. Returns all that the caller receives, without the dates.
async fn exchange(method: &str, first: &'static str, afterwards: Afterwards) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let harness = open_harness(listener.local_addr().expect("a bound address")).await;
    task::spawn_local(async move {
        let mut answers = vec![
            "HTTP/1.1 200 OK\r\nrequest-id: 2\r\ncontent-length: 6\r\n\r\nsecond",
            first,
        ];
        while let Ok((mut stream, _)) = listener.accept().await {
            while read_head(&mut stream).await.is_some() {
                let answer = answers.pop().expect("two requests");
                let sent = stream.write_all(answer.as_bytes()).await;
                sent.expect("a gateway that reads");
                if answers.len() == 1 && afterwards == Afterwards::Close {
                    break;
                }
            }
        }
    });
    let mut caller = TcpStream::connect(harness.gateway.address())
        .await
        .expect("a connection");
    let requests = format!(
        "{method} /once/1 HTTP/1.1\r\nhost: kitchen.example\r\nrequest-id: 1\r\n\
         deadline-ms: 5000\r\ncontent-length: 0\r\n\r\n\
         POST /once/2 HTTP/1.1\r\nhost: kitchen.example\r\nrequest-id: 2\r\n\
         deadline-ms: 5000\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    let sent = caller.write_all(requests.as_bytes()).await;
    sent.expect("a gateway that reads");
    let mut received = Vec::new();
    // The gateway may end a broken answer with a reset.
    let _ = caller.read_to_end(&mut received).await;
    let text = String::from_utf8_lossy(&received);
    if text.ends_with("second") {
        sort_headers(&text)
    } else {
        // How much of the answer arrives depends on when the gateway notices the fault.
        format!("broken off; looks complete: {}", is_complete_success(&text))
    }
}

/// Sorts the headers of each answer, and removes its date.
fn sort_headers(text: &str) -> String {
    let lines = text.split_inclusive("\r\n");
    let mut lines: Vec<&str> = lines.filter(|line| !line.starts_with("date: ")).collect();
    for heads in lines.chunk_by_mut(|line, _| *line != "\r\n") {
        let status = heads.iter().position(|line| line.contains("HTTP/1.1 "));
        if let (Some(status), Some(end)) = (status, heads.len().checked_sub(1)) {
            heads[status + 1..end].sort_unstable();
        }
    }
    lines.concat()
}

/// What the caller of a `POST` request receives, for each of these answers.
async fn received<const N: usize>(answers: [(&'static str, Afterwards); N]) -> Vec<String> {
    let mut all = Vec::new();
    for (answer, afterwards) in answers {
        all.push(exchange("POST", answer, afterwards).await);
    }
    all
}

/// Guards against an answer that is cut to its `Content-Length`, and passed on as complete, although
/// its body is sent in chunks (MIXED).
#[actix_web::test]
async fn answer_with_chunks_and_a_length_is_passed_on_whole() {
    const CHUNKS: &str = "HTTP/1.1 200 OK\r\nrequest-id: 1\r\ntransfer-encoding: chunked\r\n\
                          content-length: 2\r\n\r\n5\r\nlabel\r\n0\r\n\r\n";
    const NO_LENGTH: &str = "HTTP/1.1 200 OK\r\nrequest-id: 1\r\ncontent-length: 0\r\n\
                             transfer-encoding: Chunked\r\n\r\n5\r\nlabel\r\n0\r\n\r\n";
    // The body has the length, so it cannot be decoded as chunks.
    const LENGTH: &str = "HTTP/1.1 200 OK\r\nrequest-id: 1\r\ntransfer-encoding: chunked\r\n\
                          content-length: 5\r\n\r\nlabel";
    const OLD_VERSION: &str = "HTTP/1.0 200 OK\r\nrequest-id: 1\r\ntransfer-encoding: chunked\r\n\
                               content-length: 2\r\n\r\n5\r\nlabel\r\n0\r\n\r\n";
    let received = received([
        (CHUNKS, Afterwards::KeepOpen),
        (NO_LENGTH, Afterwards::KeepOpen),
        (LENGTH, Afterwards::KeepOpen),
        (OLD_VERSION, Afterwards::Close),
    ]);
    insta::assert_debug_snapshot!(received.await);
}

/// Guards against an answer that arrives without its body because it names a coding that is not
/// chunked, or a protocol to switch to (MIXED).
#[actix_web::test]
async fn answer_with_another_coding_is_not_passed_on_without_its_body() {
    const IDENTITY: &str =
        "HTTP/1.1 200 OK\r\nrequest-id: 1\r\ntransfer-encoding: identity\r\n\r\nlabel";
    const IDENTITY_AND_LENGTH: &str = "HTTP/1.1 200 OK\r\nrequest-id: 1\r\n\
                                       transfer-encoding: identity\r\ncontent-length: 2\r\n\r\nlabel";
    const UPGRADE: &str = "HTTP/1.1 200 OK\r\nrequest-id: 1\r\nupgrade: websocket\r\n\
                           content-length: 5\r\n\r\nlabel";
    let received = received([
        (IDENTITY, Afterwards::Close),
        (IDENTITY_AND_LENGTH, Afterwards::Close),
        (UPGRADE, Afterwards::KeepOpen),
    ]);
    insta::assert_debug_snapshot!(received.await);
}

/// Guards against bytes of a body after an answer that has none, which the caller takes for the begin
/// of its next answer (MIXED).
#[actix_web::test]
async fn answer_without_a_body_keeps_the_connection_in_step() {
    const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\nrequest-id: 1\r\n\r\n";
    const LAST_CHUNK: &str = "HTTP/1.1 204 No Content\r\nrequest-id: 1\r\n\
                              transfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    const NOT_MODIFIED: &str = "HTTP/1.1 304 Not Modified\r\nrequest-id: 1\r\n\r\n";
    const OTHER_LENGTH: &str =
        "HTTP/1.1 304 Not Modified\r\nrequest-id: 1\r\ncontent-length: 5\r\n\r\n";
    const EMPTY: &str = "HTTP/1.1 200 OK\r\nrequest-id: 1\r\ncontent-length: 0\r\n\r\n";
    let answers = [NO_CONTENT, LAST_CHUNK, NOT_MODIFIED, OTHER_LENGTH, EMPTY];
    let mut received = received(answers.map(|answer| (answer, Afterwards::KeepOpen))).await;
    for head in [
        "HTTP/1.1 200 OK\r\nrequest-id: 1\r\ncontent-length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\r\nrequest-id: 1\r\n\r\n",
    ] {
        received.push(exchange("HEAD", head, Afterwards::KeepOpen).await);
    }
    insta::assert_debug_snapshot!(received);
}

/// Guards against an answer that is cut and looks complete to a caller of HTTP/1.0, which finds the end of an
/// answer without a length only by the end of the connection.
#[actix_web::test]
async fn cut_answer_does_not_look_complete_to_a_caller_of_http_1_0() {
    const WHOLE: &str = "transfer-encoding: chunked\r\n\r\n5\r\nlabel\r\n0\r\n\r\n";
    const CUT: &str = "transfer-encoding: chunked\r\n\r\n5\r\nlabel\r\n5\r\nla";
    let mut ends = Vec::new();
    for (name, rest) in [("whole", WHOLE), ("cut", CUT)] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let harness = open_harness(listener.local_addr().expect("a bound address")).await;
        task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            read_head(&mut stream).await.expect("a head");
            let answer = format!("HTTP/1.1 200 OK\r\nrequest-id: 1\r\nserver-stamp: s\r\n{rest}");
            let sent = stream.write_all(answer.as_bytes()).await;
            sent.expect("a gateway that reads");
        });
        let mut caller = TcpStream::connect(harness.gateway.address())
            .await
            .expect("a connection");
        let request = "POST /once/1 HTTP/1.0\r\nhost: kitchen.example\r\nrequest-id: 1\r\n\
                       deadline-ms: 5000\r\ncontent-length: 0\r\n\r\n";
        let sent = caller.write_all(request.as_bytes()).await;
        sent.expect("a gateway that reads");
        let mut received = Vec::new();
        let end = caller.read_to_end(&mut received).await;
        let text = String::from_utf8_lossy(&received);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
        let end = match end {
            Ok(_) => format!(
                "{}, {body:?}, closed",
                head.lines().next().unwrap_or_default()
            ),
            // A reset discards what the caller has not read yet, so any part may have arrived.
            Err(error) => {
                assert!("labella".starts_with(body), "{body}");
                error.kind().to_string()
            }
        };
        ends.push(format!("{name}: {end}"));
    }
    insta::assert_debug_snapshot!(ends);
}
