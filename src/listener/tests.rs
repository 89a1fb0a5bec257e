use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_web::{App, HttpRequest, HttpResponse, dev::ServerHandle, web};
use futures_util::stream;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    sync::Notify,
    time,
};

use super::{
    Config, bind,
    idle::{Id, Phase, Table},
};
use crate::{clock, unit};

/// Idle timeout of the listener in these tests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which the head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(4);
/// Time that the long answers take, at which an idle connection would have been closed.
const LONG: Duration = Duration::from_secs(3);
/// Limit of the wait for an event that follows by itself.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Answers at once, once it is released, after [`LONG`], with a body that ends after [`LONG`], or once it has
/// received the body of the request, as the path says.
async fn answer(
    request: HttpRequest,
    payload: web::Payload,
    release: web::Data<Notify>,
) -> HttpResponse {
    match request.path() {
        "/body" => {
            let body = payload.to_bytes().await;
            if body.is_err() {
                return HttpResponse::BadRequest().finish();
            }
        }
        "/held" => release.notified().await,
        "/late" => time::sleep(LONG).await,
        "/long" => {
            let parts = stream::once(async {
                time::sleep(LONG).await;
                Ok::<_, actix_web::Error>(web::Bytes::from_static(b"end"))
            });
            return HttpResponse::Ok().streaming(parts);
        }
        _ => {}
    }
    HttpResponse::Ok().body("end")
}

/// A running listener, and what releases its held answers.
struct Rig {
    server: ServerHandle,
    address: SocketAddr,
    release: web::Data<Notify>,
}

impl Rig {
    fn open(connections_max: usize, idle_timeout: Duration) -> Self {
        let config = Config {
            address: "127.0.0.1:0".parse().expect("an address"),
            workers: 1,
            connections_max,
            head_timeout: HEAD_TIMEOUT,
            buffers: unit::Bytes::new(1 << 20),
            limits: Arc::new(idle_timeout),
            stop_timeout: Duration::from_secs(1),
            clock: clock::System::shared(),
        };
        let release = web::Data::new(Notify::new());
        let data = release.clone();
        let new_app = move || {
            App::new()
                .app_data(data.clone())
                .default_service(web::to(answer))
        };
        let (running, address) = bind(&config, new_app).expect("a free port");
        let server = running.handle();
        actix_rt::spawn(running);
        Self {
            server,
            address,
            release,
        }
    }

    async fn connect(&self) -> TcpStream {
        let connected = TcpStream::connect(self.address).await;
        connected.expect("a connection")
    }
}

/// Sends a request, and reads until `end` has arrived. Returns whether it has.
async fn exchange(caller: &mut TcpStream, path: &str) -> bool {
    let head = format!("GET {path} HTTP/1.1\r\nhost: a.example\r\n\r\n");
    if caller.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    let mut answer = Vec::new();
    while !answer.windows(3).any(|bytes| bytes == b"end") {
        let read = time::timeout(EVENT_TIMEOUT, caller.read_buf(&mut answer)).await;
        if !matches!(read, Ok(Ok(1..))) {
            return false;
        }
    }
    true
}

/// Waits for the end of a connection, and describes how it came.
async fn end_of(caller: &mut TcpStream) -> String {
    let mut rest = Vec::new();
    match time::timeout(EVENT_TIMEOUT, caller.read_to_end(&mut rest)).await {
        Ok(Ok(_)) => format!("closed after {:?}", String::from_utf8_lossy(&rest)),
        Ok(Err(error)) => format!("lost: {}", error.kind()),
        Err(_elapsed) => "still open".to_owned(),
    }
}

/// Sends two requests on one connection, and describes how it ends.
async fn use_twice(rig: &Rig, path: &str) -> String {
    let mut caller = rig.connect().await;
    let first = exchange(&mut caller, path).await;
    let second = exchange(&mut caller, path).await;
    format!("{path}: {first}, {second}, {}", end_of(&mut caller).await)
}

/// Sends nothing, or a request and the begin of another one, and describes how the connection ends.
async fn wait_with(rig: &Rig, begin: Option<&str>) -> String {
    let mut caller = rig.connect().await;
    if let Some(begin) = begin {
        assert!(exchange(&mut caller, "/soon").await);
        let sent = caller.write_all(begin.as_bytes()).await;
        sent.expect("an open connection");
    }
    format!("{begin:?}: {}", end_of(&mut caller).await)
}

/// Guards against cutting an answer that takes longer than the idle timeout, and against keeping a
/// connection forever on which a second request was begun.
#[test]
fn only_connections_without_a_request_are_closed() {
    let ends = actix_rt::System::new().block_on(async {
        let rig = Rig::open(64, IDLE_TIMEOUT);
        let ends = tokio::join!(
            use_twice(&rig, "/soon"),
            use_twice(&rig, "/late"),
            use_twice(&rig, "/long"),
            wait_with(&rig, None),
            wait_with(&rig, Some("GET /soon HT")),
        );
        rig.server.stop(false).await;
        ends
    });
    insta::assert_debug_snapshot!(ends);
}

/// Guards against a listener that accepts no connection because idle ones take all its places (RECOVER).
#[test]
fn new_connections_replace_the_longest_idle() {
    const CONNECTIONS_MAX: usize = 32;
    /// Makes the longest idle of these connections idle for long enough to be closed.
    const SPACING: Duration = Duration::from_millis(10);
    let outcome = actix_rt::System::new().block_on(async {
        let rig = Rig::open(CONNECTIONS_MAX, Duration::from_hours(1));
        let mut held = rig.connect().await;
        let held = actix_rt::spawn(async move { exchange(&mut held, "/held").await });
        let mut callers = Vec::new();
        for _ in 0..4 * CONNECTIONS_MAX {
            let mut caller = rig.connect().await;
            if !exchange(&mut caller, "/soon").await {
                break;
            }
            callers.push(caller);
            time::sleep(SPACING).await;
        }
        let mut open = Vec::new();
        for (number, caller) in callers.iter_mut().enumerate() {
            if exchange(caller, "/soon").await {
                open.push(number);
            }
        }
        rig.release.notify_one();
        let held = held.await.expect("a request");
        rig.server.stop(false).await;
        format!(
            "{} new connections were answered, then those from {:?} to {:?} ({}) again, and the held one: {held}",
            callers.len(),
            open.first(),
            open.last(),
            open.len()
        )
    });
    insta::assert_snapshot!(outcome);
}

/// Guards against a listener that accepts no connection because requests whose bodies are not complete take all
/// its places (RECOVER), and against closing one that serves a request.
#[test]
fn new_connections_replace_stalled_uploads() {
    const CONNECTIONS_MAX: usize = 32;
    let outcome = actix_rt::System::new().block_on(async {
        let rig = Rig::open(CONNECTIONS_MAX, Duration::from_hours(1));
        let mut held = rig.connect().await;
        let held = actix_rt::spawn(async move { exchange(&mut held, "/held").await });
        let mut crowd = Vec::new();
        for _ in 0..2 * CONNECTIONS_MAX {
            let mut caller = rig.connect().await;
            let part = "POST /body HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
            let sent = caller.write_all(part.as_bytes()).await;
            sent.expect("an open connection");
            crowd.push(caller);
        }
        let mut answered = 0;
        for _ in 0..4 {
            let mut caller = rig.connect().await;
            answered += usize::from(exchange(&mut caller, "/soon").await);
        }
        rig.release.notify_one();
        let held = held.await.expect("a request");
        rig.server.stop(false).await;
        format!("{answered} ordinary requests were answered, and the held one: {held}")
    });
    insta::assert_snapshot!(outcome);
}

/// Guards against cutting an upload while there is room for others.
#[test]
fn slow_upload_is_received_while_there_is_room() {
    let outcome = actix_rt::System::new().block_on(async {
        let rig = Rig::open(64, IDLE_TIMEOUT);
        let mut caller = rig.connect().await;
        let head = "POST /body HTTP/1.1\r\nhost: a.example\r\ncontent-length: 6\r\n\r\n";
        caller
            .write_all(head.as_bytes())
            .await
            .expect("an open connection");
        for part in ["abc", "def"] {
            time::sleep(2 * IDLE_TIMEOUT).await;
            caller
                .write_all(part.as_bytes())
                .await
                .expect("an open connection");
        }
        let mut answer = Vec::new();
        while !answer.windows(3).any(|bytes| bytes == b"end") {
            let read = time::timeout(EVENT_TIMEOUT, caller.read_buf(&mut answer)).await;
            assert!(matches!(read, Ok(Ok(1..))), "{read:?}");
        }
        rig.server.stop(false).await;
        String::from_utf8_lossy(&answer)
            .lines()
            .next()
            .unwrap_or_default()
            .to_owned()
    });
    assert_eq!(outcome, "HTTP/1.1 200 OK");
}

/// Guards against closing a connection for a new one while its request may be on its way.
#[test]
fn connection_is_not_replaced_as_soon_as_it_is_idle() {
    let start = Instant::now();
    let limit = Duration::from_secs(10);
    let mut table = Table::new(2, limit);
    let mut id = Id::default();
    let steps = [0, 20, 99, 120, 140].map(|milliseconds| {
        id = id.next();
        let now = start + Duration::from_millis(milliseconds);
        let evicted = table.open(id, now, limit);
        let evicted = evicted.map(|eviction| format!("{} {:?}", eviction.id, eviction.reason));
        format!("{id} opened at {milliseconds} ms: {evicted:?}")
    });
    insta::assert_debug_snapshot!(steps);
}

/// Guards against closing a connection that its caller may use under the limit that applied when its last
/// request ended, or under the present one.
#[test]
fn higher_of_two_limits_applies() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let limit = Duration::from_secs;
    let mut table = Table::new(16, limit(5));
    let ids = ["1", "2", "3"].map(|text| text.parse().expect("a number"));
    let [_idle, receiving, serving] = ids;
    for id in ids {
        assert_eq!(table.open(id, at(0), limit(10)), None);
    }
    table.change(receiving, Phase::Receiving, at(1), limit(10));
    table.change(serving, Phase::Serving, at(1), limit(10));
    let mut steps = Vec::new();
    let mut look = |now, seconds| {
        let next = table.next_due().map(|due| due - start);
        let evicted = table.take_due(at(now), limit(seconds));
        let evicted = evicted.map(|eviction| format!("{} {:?}", eviction.id, eviction.reason));
        steps.push(format!(
            "at {now} s, limit {seconds} s, due {next:?}: {evicted:?}"
        ));
    };
    look(5, 3);
    look(6, 3);
    look(9, 3);
    look(10, 20);
    look(19, 20);
    look(20, 3);
    look(100, 3);
    insta::assert_debug_snapshot!(steps);
}

/// Guards against connections that stall in a head or a body, or send nothing, and take all places until the end
/// of their own time limits (RECOVER). No more of them are closed than are needed.
#[test]
fn stalled_connections_are_closed_once_no_other_is_accepted() {
    let start = Instant::now();
    let limit = Duration::from_secs(10);
    let steps = [Phase::Receiving, Phase::Uploading].map(|phase| {
        let mut table = Table::new(4, limit);
        let ids = ["1", "2", "3"].map(|text| text.parse().expect("a number"));
        for id in ids {
            assert_eq!(table.open(id, start, limit), None);
        }
        let [first, second, third] = ids;
        table.change(first, phase, start, limit);
        table.change(second, phase, start, limit);
        table.change(third, Phase::Serving, start, limit);
        [2_999, 3_000, 3_001].map(|milliseconds| {
            let now = start + Duration::from_millis(milliseconds);
            let evicted = table.take_due(now, limit);
            let evicted = evicted.map(|eviction| format!("{} {:?}", eviction.id, eviction.reason));
            format!("at {milliseconds} ms: {evicted:?}")
        })
    });
    let [heads, bodies] = steps;
    assert_eq!(heads, bodies);
    insta::assert_debug_snapshot!(heads);
}
