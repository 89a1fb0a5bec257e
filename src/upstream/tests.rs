use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::RequestHead;
use bytes::Bytes;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc},
    task,
};

use super::*;

thread_local! {
    /// Lets an endpoint reset its connection.
    static RESET: Rc<Notify> = Rc::default();
}

/// What a scripted endpoint does after it has read a request.
#[derive(Clone, Copy, Debug)]
enum After {
    Close,
    Reset,
    Keep,
}

/// An endpoint that answers every request on every connection with the same bytes. Returns its
/// address and the numbers of the connections on which requests arrived.
async fn endpoint(
    answer: &'static [u8],
    after: After,
) -> (SocketAddr, mpsc::UnboundedReceiver<u32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (sender, requests) = mpsc::unbounded_channel();
    task::spawn_local(async move {
        let mut number = 0;
        while let Ok((stream, _)) = listener.accept().await {
            number += 1;
            task::spawn_local(answer_all(stream, answer, after, number, sender.clone()));
        }
    });
    (address, requests)
}

async fn answer_all(
    mut stream: TcpStream,
    answer: &'static [u8],
    after: After,
    number: u32,
    requests: mpsc::UnboundedSender<u32>,
) {
    let mut buffer = vec![0; 4096];
    while let Ok(read) = stream.read(&mut buffer).await {
        if read == 0 || requests.send(number).is_err() {
            return;
        }
        if stream.write_all(answer).await.is_err() {
            return;
        }
        match after {
            After::Keep => {}
            After::Close => return,
            After::Reset => {
                // A reset discards what was not read, so it comes after the head was.
                RESET.with(Rc::clone).notified().await;
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

/// What becomes of a request: status and body, or how it fails.
async fn outcome(pool: &Pool, address: SocketAddr) -> String {
    match pool.send(address, request(), Bytes::new()).await {
        Ok(mut response) => {
            RESET.with(|reset| reset.notify_one());
            let status = response.head.status.as_u16();
            match response.body.collect(1 << 20).await {
                Ok(body) => format!("{status} {:?}", String::from_utf8_lossy(&body)),
                Err(error) => format!("{status}, then {}", error.kind()),
            }
        }
        Err(error) => error.kind().to_string(),
    }
}

const SIZED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nlabel";
const SHORT: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nlabel";
const CHUNKED: &[u8] =
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nlab\r\n2\r\nel\r\n0\r\n\r\n";
const UNFINISHED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nlab\r\n";
const UNSIZED: &[u8] = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nlabel";
const EXTRA: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nlabelHTTP/1.1 200 OK\r\n";
const GARBAGE: &[u8] = b"label label\r\n\r\n";
const HEADLESS: &[u8] = b"HTTP/1.1 200 OK\r\nContent-";

/// Guards against an answer that is cut off and is taken for complete, in every way in which an
/// answer can end.
#[test]
fn only_complete_answers_are_complete() {
    let cases: [(&str, &'static [u8], After); 11] = [
        ("length", SIZED, After::Keep),
        ("length, closed early", SHORT, After::Close),
        ("length, reset early", SHORT, After::Reset),
        ("chunks", CHUNKED, After::Keep),
        ("chunks, closed early", UNFINISHED, After::Close),
        ("chunks, reset early", UNFINISHED, After::Reset),
        ("no length, closed", UNSIZED, After::Close),
        ("no length, reset", UNSIZED, After::Reset),
        ("closed within the head", HEADLESS, After::Close),
        ("closed without an answer", b"", After::Close),
        ("no HTTP", GARBAGE, After::Keep),
    ];
    let outcomes = actix::System::new().block_on(async move {
        let mut outcomes = Vec::new();
        for (name, answer, after) in cases {
            let (address, _requests) = endpoint(answer, after).await;
            let outcome = outcome(&Pool::new(), address).await;
            outcomes.push(format!("{name}: {outcome}"));
        }
        outcomes
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against a new connection for each request, and against one that is used again although
/// it holds bytes beyond its answer.
#[test]
fn only_clean_connections_are_used_again() {
    let cases: [(&str, &'static [u8]); 4] = [
        ("length", SIZED),
        ("chunks", CHUNKED),
        ("bytes beyond the answer", EXTRA),
        (
            "asked to close",
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        ),
    ];
    let outcomes = actix::System::new().block_on(async move {
        let mut outcomes = Vec::new();
        for (name, answer) in cases {
            let (address, mut requests) = endpoint(answer, After::Keep).await;
            let pool = Pool::new();
            let mut connections = Vec::new();
            for _ in 0..3 {
                outcome(&pool, address).await;
                connections.push(requests.recv().await.expect("a request"));
            }
            outcomes.push(format!("{name}: {connections:?}"));
        }
        outcomes
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against a request that counts as possibly run although no connection was opened.
#[test]
fn refused_connection_is_certain() {
    let outcome = actix::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        drop(listener);
        outcome(&Pool::new(), address).await
    });
    assert_eq!(outcome, Kind::NotSent.to_string());
}

/// Guards against an endpoint that goes on with a request after its caller has left.
#[test]
fn dropped_answer_closes_the_connection() {
    let closed = actix::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let pool = Pool::new();
        let request = task::spawn_local({
            let pool = pool.clone();
            async move { pool.send(address, request(), Bytes::new()).await }
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
