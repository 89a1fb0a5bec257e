use std::{
    io::{Read as _, Write as _},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_http::RequestHead;
use bytes::Bytes;
use futures_util::{FutureExt as _, future::LocalBoxFuture};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc},
    task, time,
};

use super::*;

thread_local! {
    /// Notified once the response head was read, after which the endpoint may reset its connection.
    static ALLOW_RESET: Rc<Notify> = Rc::default();
}

/// What a scripted endpoint does with its connection after it has sent a response.
#[derive(Clone, Copy, Debug)]
enum Afterwards {
    Close,
    Reset,
    KeepOpen,
}

/// Starts an endpoint that responds to every request with the same bytes. Returns its address and,
/// for each request, the number of the connection on which it arrived.
async fn endpoint(
    response: &'static [u8],
    afterwards: Afterwards,
) -> (SocketAddr, mpsc::UnboundedReceiver<u32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (sender, requests) = mpsc::unbounded_channel();
    task::spawn_local(async move {
        let mut number = 0;
        while let Ok((stream, _)) = listener.accept().await {
            number += 1;
            task::spawn_local(respond_to_all(
                stream,
                response,
                afterwards,
                number,
                sender.clone(),
            ));
        }
    });
    (address, requests)
}

async fn respond_to_all(
    mut stream: TcpStream,
    response: &'static [u8],
    afterwards: Afterwards,
    number: u32,
    requests: mpsc::UnboundedSender<u32>,
) {
    let mut buffer = vec![0; 4096];
    while let Ok(read) = stream.read(&mut buffer).await {
        if read == 0 || requests.send(number).is_err() {
            return;
        }
        if stream.write_all(response).await.is_err() {
            return;
        }
        match afterwards {
            Afterwards::KeepOpen => {}
            Afterwards::Close => return,
            Afterwards::Reset => {
                // A reset discards unread bytes, so it waits until the head has been read.
                ALLOW_RESET.with(Rc::clone).notified().await;
                let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                linger.expect("the option is set");
                return;
            }
        }
    }
}

fn request() -> RequestHead {
    let mut head = RequestHead::default();
    head.uri = "/labels/7?copy=2".parse().expect("a valid target");
    head
}

/// Describes the result of a request: status and body, or the kind of failure.
async fn outcome(client: &Client, address: SocketAddr) -> String {
    match client.send(address, request(), Bytes::new()).await {
        Ok(mut response) => {
            ALLOW_RESET.with(|reset| reset.notify_one());
            let status = response.head.status.as_u16();
            match response.body.collect(1 << 20).await {
                Ok(body) => format!("{status} {:?}", String::from_utf8_lossy(&body)),
                Err(error) => format!("{status}, then {}", error.kind()),
            }
        }
        Err(error) => error.kind().to_string(),
    }
}

const WITH_LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nlabel";
const WITH_LENGTH_INCOMPLETE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nlabel";
const CHUNKED: &[u8] =
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nlab\r\n2\r\nel\r\n0\r\n\r\n";
const CHUNKED_INCOMPLETE: &[u8] =
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nlab\r\n";
const UNTIL_CLOSE: &[u8] = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nlabel";
const WITH_EXTRA_BYTES: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nlabelHTTP/1.1 200 OK\r\n";
const NOT_HTTP: &[u8] = b"label label\r\n\r\n";
const HEAD_INCOMPLETE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-";

/// Guards against treating a truncated response as complete, for each way in which a response can
/// end.
#[test]
fn truncated_responses_are_errors() {
    let cases: [(&str, &'static [u8], Afterwards); 11] = [
        ("length", WITH_LENGTH, Afterwards::KeepOpen),
        (
            "length, closed early",
            WITH_LENGTH_INCOMPLETE,
            Afterwards::Close,
        ),
        (
            "length, reset early",
            WITH_LENGTH_INCOMPLETE,
            Afterwards::Reset,
        ),
        ("chunks", CHUNKED, Afterwards::KeepOpen),
        (
            "chunks, closed early",
            CHUNKED_INCOMPLETE,
            Afterwards::Close,
        ),
        ("chunks, reset early", CHUNKED_INCOMPLETE, Afterwards::Reset),
        ("no length, closed", UNTIL_CLOSE, Afterwards::Close),
        ("no length, reset", UNTIL_CLOSE, Afterwards::Reset),
        ("closed within the head", HEAD_INCOMPLETE, Afterwards::Close),
        ("closed without a response", b"", Afterwards::Close),
        ("no HTTP", NOT_HTTP, Afterwards::KeepOpen),
    ];
    let outcomes = actix::System::new().block_on(async move {
        let mut outcomes = Vec::new();
        for (name, response, afterwards) in cases {
            let (address, _requests) = endpoint(response, afterwards).await;
            let outcome = outcome(&Client::new(), address).await;
            outcomes.push(format!("{name}: {outcome}"));
        }
        outcomes
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against an interim response being passed on as the final one, which leaves the connection
/// of the caller out of step, and against reading interim responses without end.
#[test]
fn interim_responses_are_skipped() {
    const HINTS: &str = "HTTP/1.1 103 Early Hints\r\nLink: </a.css>\r\n\r\n";
    const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";
    let with_length = String::from_utf8_lossy(WITH_LENGTH);
    let chunked = String::from_utf8_lossy(CHUNKED);
    let cases = [
        ("103 before a length", format!("{HINTS}{with_length}")),
        ("103 before chunks", format!("{HINTS}{chunked}")),
        ("100 and 103", format!("{CONTINUE}{HINTS}{with_length}")),
        ("103 and nothing else", HINTS.to_owned()),
        (
            "103 with a body",
            format!("HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nlabel{with_length}"),
        ),
        (
            "unrequested protocol",
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nlabel".to_owned(),
        ),
        ("interim responses only", HINTS.repeat(2_000)),
        (
            "answer after too many",
            format!("{}{with_length}", HINTS.repeat(200)),
        ),
    ];
    let outcomes = actix::System::new().block_on(async move {
        let mut outcomes = Vec::new();
        for (name, response) in cases {
            let response: &'static [u8] = response.leak().as_bytes();
            let (address, mut requests) = endpoint(response, Afterwards::KeepOpen).await;
            let client = Client::new();
            let limit = Duration::from_millis(500);
            let first = time::timeout(limit, outcome(&client, address)).await;
            let first = first.unwrap_or_else(|_elapsed| "waits for the final response".to_owned());
            let second = time::timeout(limit, outcome(&client, address)).await;
            requests.recv().await.expect("a request");
            let reused = second.is_ok() && requests.recv().await == Some(1);
            outcomes.push(format!("{name}: {first}; connection reused: {reused}"));
        }
        outcomes
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against a body that ends elsewhere than its head says, and against reusing a connection
/// on which it may end elsewhere.
#[test]
fn bodies_end_where_their_heads_say() {
    const CHUNKS: &str = "5\r\nlabel\r\n0\r\n\r\n";
    let heads = [
        ("200", "Content-Length: 5", "label"),
        ("200", "Content-Length: 0", ""),
        ("200", "Transfer-Encoding: chunked", CHUNKS),
        (
            "200",
            "Transfer-Encoding: ChunkeD\r\nContent-Length: 2",
            CHUNKS,
        ),
        ("200", "Transfer-Encoding: identity", "label"),
        (
            "200",
            "Transfer-Encoding: identity\r\nContent-Length: 2",
            "label",
        ),
        ("200", "Transfer-Encoding: gzip, chunked", CHUNKS),
        ("200", "Upgrade: websocket\r\nContent-Length: 5", "label"),
        ("200", "X: y", "label"),
        ("204", "X: y", ""),
        ("204", "Transfer-Encoding: chunked", "0\r\n\r\n"),
        ("204", "Content-Length: 5", "label"),
        ("304", "Content-Length: 5", ""),
    ];
    let outcomes = actix::System::new().block_on(async move {
        let mut outcomes = Vec::new();
        for version in ["1.0", "1.1"] {
            for (status, headers, body) in heads {
                let response = format!("HTTP/{version} {status} -\r\n{headers}\r\n\r\n{body}");
                let response: &'static [u8] = response.leak().as_bytes();
                let mut reused = false;
                let mut outcome_of = async |afterwards| {
                    let (address, mut requests) = endpoint(response, afterwards).await;
                    let client = Client::new();
                    let first = outcome(&client, address).await;
                    outcome(&client, address).await;
                    requests.recv().await.expect("a request");
                    reused = requests.recv().await.expect("a request") == 1;
                    first
                };
                let closing = outcome_of(Afterwards::Close).await;
                let kept =
                    time::timeout(Duration::from_millis(200), outcome_of(Afterwards::KeepOpen));
                let kept = kept.await.unwrap_or_else(|_elapsed| "waits".to_owned());
                outcomes.push(format!(
                    "{version} {status} {headers:?}: {closing}; kept open: {kept}, reused: {reused}"
                ));
            }
        }
        outcomes
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against a response head that is read, and kept in memory, without end.
#[test]
fn endless_heads_are_errors() {
    const ENDLESS: usize = 1 << 20;
    let cases = [
        (
            "status line",
            format!("HTTP/1.1 200 {}", "x".repeat(ENDLESS)),
        ),
        (
            "header name",
            format!("HTTP/1.1 200 OK\r\n{}", "x".repeat(ENDLESS)),
        ),
        (
            "header value",
            format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(ENDLESS)),
        ),
        (
            "headers",
            format!("HTTP/1.1 200 OK\r\n{}", "x: y\r\n".repeat(ENDLESS / 6)),
        ),
        ("no protocol", "x".repeat(ENDLESS)),
    ];
    insta::assert_debug_snapshot!(outcomes_of(cases));
}

/// Guards against reading the framing of a chunked body without end, which takes processor time for
/// bytes that can be no response.
#[test]
fn endless_chunk_framing_is_an_error() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nlabel\r\n";
    const ENDLESS: usize = 1 << 20;
    let cases = [
        (
            "chunk extension",
            format!("{HEAD}5;{}", "x".repeat(ENDLESS)),
        ),
        ("chunk size", format!("{HEAD}{}", "0".repeat(ENDLESS))),
        (
            "trailers",
            format!("{HEAD}0\r\n{}", "x: y\r\n".repeat(ENDLESS / 6)),
        ),
    ];
    insta::assert_debug_snapshot!(outcomes_of(cases));
}

/// Describes the result of one request to an endpoint that sends each of these responses.
fn outcomes_of<const N: usize>(cases: [(&str, String); N]) -> Vec<String> {
    actix::System::new().block_on(async move {
        let mut outcomes = Vec::new();
        for (name, response) in cases {
            let response: &'static [u8] = response.leak().as_bytes();
            let (address, _requests) = endpoint(response, Afterwards::KeepOpen).await;
            let outcome =
                time::timeout(Duration::from_secs(5), outcome(&Client::new(), address)).await;
            let outcome = outcome.unwrap_or_else(|_elapsed| "still reading".to_owned());
            outcomes.push(format!("{name}: {outcome}"));
        }
        outcomes
    })
}

/// Guards against opening a connection for each request, and against reusing a connection that
/// holds bytes beyond its response.
#[test]
fn only_clean_connections_are_reused() {
    let cases: [(&str, &'static [u8]); 4] = [
        ("length", WITH_LENGTH),
        ("chunks", CHUNKED),
        ("bytes beyond the response", WITH_EXTRA_BYTES),
        (
            "asked to close",
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        ),
    ];
    let outcomes = actix::System::new().block_on(async move {
        let mut outcomes = Vec::new();
        for (name, response) in cases {
            let (address, mut requests) = endpoint(response, Afterwards::KeepOpen).await;
            let client = Client::new();
            let mut connections = Vec::new();
            for _ in 0..3 {
                outcome(&client, address).await;
                connections.push(requests.recv().await.expect("a request"));
            }
            outcomes.push(format!("{name}: {connections:?}"));
        }
        outcomes
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against sending a request on a connection that the endpoint has closed, or on which a copy of
/// an answer has arrived, because the runtime has not polled the socket since (MIXED, LOST).
#[test]
fn request_is_not_sent_after_unpolled_bytes_or_a_close() {
    let outcomes = [Some(WITH_LENGTH), None].map(|copy| {
        actix::System::new().block_on(async move {
            // The endpoint is served by this thread, so that nothing is polled between its last act and
            // the next request.
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
            let address = listener.local_addr().expect("a bound address");
            let client = Client::new();
            let first = task::spawn_local({
                let client = client.clone();
                async move { outcome(&client, address).await }
            });
            let mut peer = task::spawn_blocking(move || {
                let (mut peer, _) = listener.accept().expect("a connection");
                // An answer before its request would end the connection.
                let read = peer.read(&mut [0; 4096]).expect("a request");
                assert!(read > 0, "the request has arrived");
                peer
            })
            .await
            .expect("a running thread");
            peer.write_all(WITH_LENGTH).expect("a client that reads");
            let first = first.await.expect("an outcome");
            task::yield_now().await;
            match copy {
                Some(copy) => peer.write_all(copy).expect("an open connection"),
                None => peer
                    .shutdown(std::net::Shutdown::Write)
                    .expect("an open connection"),
            }
            (first, outcome(&client, address).await)
        })
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against reporting a request as possibly run although no connection was opened.
#[test]
fn refused_connection_is_reported_as_not_sent() {
    let outcome = actix::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        drop(listener);
        outcome(&Client::new(), address).await
    });
    assert_eq!(outcome, Kind::Refused.to_string());
}

/// Guards against an endpoint that continues a request after it was canceled.
#[test]
fn canceled_request_closes_the_connection() {
    let closed = actix::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let client = Client::new();
        let request = task::spawn_local({
            let client = client.clone();
            async move { client.send(address, request(), Bytes::new()).await }
        });
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buffer = vec![0; 4096];
        let read = stream.read(&mut buffer).await.expect("a request");
        assert!(read > 0, "the request has arrived");
        request.abort();
        stream.read(&mut buffer).await
    });
    assert!(matches!(closed, Ok(0) | Err(_)), "the connection is open");
}

/// Permits a request until it is revoked.
#[derive(Debug)]
struct Revocable {
    is_open: bool,
    revoked: Rc<Notify>,
}

impl Default for Revocable {
    fn default() -> Self {
        Self {
            is_open: true,
            revoked: Rc::default(),
        }
    }
}

impl Gate for Revocable {
    fn may_send(&self) -> bool {
        self.is_open
    }

    fn revoked(&self) -> LocalBoxFuture<'static, ()> {
        let revoked = Rc::clone(&self.revoked);
        async move { revoked.notified().await }.boxed_local()
    }

    fn on_head(&self, _head: &actix_http::ResponseHead, _reused: bool) -> bool {
        true
    }
}

/// Guards against a request whose last byte is sent after its gate was revoked (DRAIN), and against
/// reporting such a request as not run: the endpoint can run it on its head (TWICE, REFUSED).
#[actix_rt::test]
async fn request_that_was_begun_is_not_sent_to_its_end_and_may_have_run() {
    // More than the buffers of both sockets hold.
    const BODY_SIZE: usize = 32 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let gate = Revocable::default();
    let revoke = Rc::clone(&gate.revoked);
    let (accepted, began) = tokio::sync::oneshot::channel();
    let endpoint = task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut start = [0; 64];
        stream
            .read_exact(&mut start)
            .await
            .expect("the start of the request");
        accepted.send(()).expect("the test waits");
        revoke.notify_one();
        // Reads on only after the request has been given up.
        time::timeout(Duration::from_secs(30), async {
            let mut received = start.len();
            let mut buffer = vec![0; 64 << 10];
            tokio::time::sleep(Duration::from_millis(200)).await;
            while let Ok(read @ 1..) = stream.read(&mut buffer).await {
                received += read;
            }
            received
        })
        .await
    });
    let mut head = RequestHead::default();
    head.method = actix_http::Method::POST;
    head.uri = "/".parse().expect("a path");
    let body = Bytes::from(vec![0; BODY_SIZE]);
    let client = Client::new();
    let sent = client
        .send_through(Rc::new(gate), address, head, body)
        .await;
    began.await.expect("the request was begun");
    let received = endpoint.await.expect("the endpoint runs");
    let received = received.expect("the connection ends");
    assert_eq!(sent.expect_err("it was given up").kind(), Kind::Interrupted);
    assert!(
        received < BODY_SIZE,
        "the endpoint received {received} bytes"
    );
}

/// Guards against the rest of a body that is sent on to an endpoint after its answer is complete, or, while it
/// answers, after the gate was revoked (DRAIN), and against giving up the answer.
#[actix_rt::test]
async fn body_is_not_sent_on_after_the_answer_or_the_revocation() {
    const BODY_SIZE: usize = 32 << 20;
    // What the buffers of both sockets and their bookkeeping hold.
    const BUFFERED_MAX: usize = 1 << 20;
    const ENDPOINT_BUFFER: usize = 64 << 10;
    let answers = [
        ("complete", "Content-Length: 5\r\n\r\nlabel", ""),
        ("begun", "Content-Length: 6\r\n\r\nlabel", "s"),
    ];
    for (what, start, rest) in answers {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        let size = u32::try_from(ENDPOINT_BUFFER).expect("a small buffer");
        socket.set_recv_buffer_size(size).expect("an open socket");
        socket
            .bind("127.0.0.1:0".parse().expect("an address"))
            .expect("a free port");
        let listener = socket.listen(1).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let gate = Revocable::default();
        let revoke = Rc::clone(&gate.revoked);
        let (release, released) = tokio::sync::oneshot::channel();
        let endpoint = task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut buffer = vec![0; 64 << 10];
            let mut received = stream.read(&mut buffer).await.expect("a request");
            let head = format!("HTTP/1.1 200 OK\r\n{start}");
            stream.write_all(head.as_bytes()).await.expect("a reader");
            released.await.expect("the test goes on");
            let limit = Duration::from_millis(200);
            while let Ok(Ok(read @ 1..)) = time::timeout(limit, stream.read(&mut buffer)).await {
                received += read;
            }
            // Without a rest, the connection was reset.
            let _ = stream.write_all(rest.as_bytes()).await;
            received
        });
        let mut head = RequestHead::default();
        head.method = actix_http::Method::POST;
        head.uri = "/".parse().expect("a path");
        let body = Bytes::from(vec![0; BODY_SIZE]);
        let sent = Client::new()
            .send_through(Rc::new(gate), address, head, body)
            .await;
        let mut response = sent.expect("an answer");
        let first = response.body.next().await.expect("a body");
        if rest.is_empty() {
            let end = response.body.next().await.expect("the end of the body");
            assert_eq!(end, None);
        } else {
            revoke.notify_one();
            task::yield_now().await;
        }
        release.send(()).expect("the endpoint waits");
        let last = response.body.collect(BODY_SIZE).await;
        let received = endpoint.await.expect("the endpoint runs");
        assert_eq!(first.as_deref(), Some(&b"label"[..]), "{what}");
        assert_eq!(last.as_deref(), Ok(rest.as_bytes()), "{what}");
        assert!(received < BUFFERED_MAX, "{what}: received {received} bytes");
    }
}

/// Guards against a request that is sent although its gate does not permit it (DRAIN), and against
/// reporting it as possibly run.
#[actix_rt::test]
async fn request_that_is_not_permitted_is_not_begun() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let gate = Revocable {
        is_open: false,
        ..Revocable::default()
    };
    let client = Client::without_reuse();
    let sent = client
        .send_through(Rc::new(gate), address, request(), Bytes::new())
        .await;
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut received = Vec::new();
    let ended = stream.read_to_end(&mut received).await;
    let outcome = sent.expect_err("it was not sent").kind();
    assert!(matches!(ended, Ok(0)), "{ended:?}");
    assert_eq!(outcome, Kind::Withheld);
}
