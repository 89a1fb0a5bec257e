//! Callers that leave while an endpoint works on their request. The endpoint is a raw socket, so
//! that a test sees how the gateway ends its connection.

use std::{net::SocketAddr, time::Duration};

use mulberrymill_bench::platform::entry;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::WriteHalf},
    sync::{mpsc, oneshot},
    task, time,
};

use super::{Harness, config};

/// Limit of the wait for an event that follows at once in a correct gateway.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without an event after which the busy endpoint counts as blocked by the gateway.
const BLOCKED_TIMEOUT: Duration = Duration::from_millis(200);
/// Time that a stopping gateway still accepts connections, as in its settings.
const STOP_DELAY: Duration = Duration::from_millis(200);
/// Size of a body that does not fit into the socket buffers between gateway and endpoint.
const LARGE_BODY_BYTES: usize = 24 << 20;
/// Data of an event of a busy stream.
const EVENT_BYTES: usize = 8_000;

/// What the endpoint does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    /// Reads the request and does not answer.
    Silent,
    /// Answers with the first event of a stream.
    Begun,
    /// Answers with events as fast as the gateway takes them.
    Busy,
    /// As [`Service::Busy`], in a body that ends with its connection.
    Unframed,
}

/// How a caller leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// Closes its connection.
    Close,
    /// Resets its connection.
    Reset,
    /// Closes its connection for writing and reads no more.
    Shutdown,
}

/// A gateway with one route to a raw endpoint, and the events that the endpoint reports.
struct Rig {
    harness: Harness,
    arrived: mpsc::UnboundedReceiver<()>,
    ended: mpsc::UnboundedReceiver<()>,
}

impl Rig {
    async fn open(service: Service) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let (arrived_sender, arrived) = mpsc::unbounded_channel();
        let (ended_sender, ended) = mpsc::unbounded_channel();
        let harness = open_harness(listener.local_addr().expect("a bound address")).await;
        task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                read_head(&mut stream).await.expect("a head");
                arrived_sender.send(()).expect("the test waits");
                let (mut reader, writer) = stream.split();
                let mut byte = [0; 1];
                tokio::select! {
                    // The requests of these tests have no body.
                    _ = reader.read(&mut byte) => {}
                    () = answer(writer, service) => {}
                }
                ended_sender.send(()).expect("the test waits");
            }
        });
        Self {
            harness,
            arrived,
            ended,
        }
    }

    /// Sends a request, leaves, and returns whether the endpoint noticed.
    async fn is_noticed(&mut self, service: Service, departure: Departure) -> bool {
        let caller = self.send_request(service).await;
        let caller = depart(caller, departure).await;
        let ended = time::timeout(EVENT_TIMEOUT, self.ended.recv()).await;
        drop(caller);
        ended.is_ok()
    }

    /// Sends a request, and waits until the endpoint does what `service` says.
    async fn send_request(&mut self, service: Service) -> TcpStream {
        let address = self.harness.gateway.address();
        let mut caller = TcpStream::connect(address).await.expect("a connection");
        let head = "POST /stream/1 HTTP/1.1\r\nhost: kitchen.example\r\nrequest-id: 9c41\r\n\
             deadline-ms: 20000\r\ncontent-length: 0\r\n\r\n";
        caller
            .write_all(head.as_bytes())
            .await
            .expect("a gateway that reads");
        self.arrived.recv().await.expect("the request arrives");
        if service == Service::Begun {
            read_head(&mut caller).await.expect("a head");
        }
        if matches!(service, Service::Busy | Service::Unframed) {
            time::sleep(BLOCKED_TIMEOUT).await;
        }
        caller
    }
}

/// Leaves, and returns what is left of the connection.
async fn depart(mut caller: TcpStream, departure: Departure) -> Option<TcpStream> {
    match departure {
        Departure::Close => None,
        Departure::Reset => {
            caller.set_zero_linger().expect("an open socket");
            None
        }
        Departure::Shutdown => {
            caller.shutdown().await.expect("an open socket");
            Some(caller)
        }
    }
}

async fn open_harness(endpoint: SocketAddr) -> Harness {
    let harness = Harness::open().await;
    let mut plan = config(3, "s1");
    plan["limits"]["maxBodyBytes"] = (2 * LARGE_BODY_BYTES).into();
    harness.store.put("op/config", &plan);
    harness
        .store
        .put("servers/e1", &entry(endpoint, "s1", 4, "ready"));
    harness.wait_until_ready().await;
    harness
}

/// Reads a head and returns it; `None` if the connection ends before.
pub(super) async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut received = Vec::new();
    while !received.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        if stream.read_buf(&mut received).await.ok()? == 0 {
            return None;
        }
    }
    Some(String::from_utf8_lossy(&received).into_owned())
}

/// Answers as `service` says, until the gateway ends the connection.
async fn answer(mut writer: WriteHalf<'_>, service: Service) {
    let framing = match service {
        Service::Silent => return std::future::pending().await,
        Service::Begun | Service::Busy => "transfer-encoding: chunked",
        Service::Unframed => "connection: close",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: 9c41\r\nserver-stamp: s\r\n\
         content-type: text/event-stream\r\n{framing}\r\n\r\n"
    );
    if writer.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    for number in 1_u64.. {
        let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
        let part = match service {
            Service::Unframed => event,
            _ => format!("{:x}\r\n{event}\r\n", event.len()),
        };
        if writer.write_all(part.as_bytes()).await.is_err() {
            return;
        }
        if service == Service::Begun {
            return std::future::pending().await;
        }
    }
}

/// Guards against an endpoint that works on for a caller that has left (GONE).
#[actix_web::test]
async fn departure_of_a_caller_ends_the_work_for_it() {
    let mut unnoticed = Vec::new();
    for service in [
        Service::Silent,
        Service::Begun,
        Service::Busy,
        Service::Unframed,
    ] {
        let mut rig = Rig::open(service).await;
        for departure in [Departure::Close, Departure::Reset, Departure::Shutdown] {
            if !rig.is_noticed(service, departure).await {
                unnoticed.push((service, departure));
                rig = Rig::open(service).await;
            }
        }
    }
    assert_eq!(unnoticed, []);
}

/// Guards against an endpoint that works on for a caller that has left while the gateway stops (GONE).
#[actix_web::test]
async fn departure_is_noticed_while_the_gateway_stops() {
    let mut unnoticed = Vec::new();
    for service in [Service::Silent, Service::Begun, Service::Busy] {
        for departure in [Departure::Close, Departure::Reset, Departure::Shutdown] {
            let mut rig = Rig::open(service).await;
            let caller = rig.send_request(service).await;
            let stopping = task::spawn_local(rig.harness.gateway.stop());
            time::sleep(2 * STOP_DELAY).await;
            let caller = depart(caller, departure).await;
            if time::timeout(EVENT_TIMEOUT, rig.ended.recv())
                .await
                .is_err()
            {
                unnoticed.push((service, departure));
            }
            drop(caller);
            stopping.await.expect("the stop does not panic");
        }
    }
    assert_eq!(unnoticed, []);
}

/// Guards against a request that an endpoint receives after its caller has left, from the socket
/// buffers of the gateway (GONE).
#[actix_web::test]
async fn request_of_a_departed_caller_is_withdrawn_from_a_slow_endpoint() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let harness = open_harness(listener.local_addr().expect("a bound address")).await;
    let (sent, has_sent) = oneshot::channel();
    let address = harness.gateway.address();
    let caller = task::spawn_local(async move {
        let mut caller = TcpStream::connect(address).await.expect("a connection");
        let head = format!(
            "POST /stream/1 HTTP/1.1\r\nhost: kitchen.example\r\nrequest-id: 9c41\r\n\
             deadline-ms: 20000\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n"
        );
        caller
            .write_all(head.as_bytes())
            .await
            .expect("a gateway that reads");
        let body = vec![b'x'; LARGE_BODY_BYTES];
        caller.write_all(&body).await.expect("a gateway that reads");
        has_sent.await.expect("the test runs");
    });
    let (mut stream, _) = listener.accept().await.expect("a connection");
    read_head(&mut stream).await.expect("a head");
    sent.send(()).expect("the caller runs");
    caller.await.expect("the caller does not panic");
    time::sleep(BLOCKED_TIMEOUT).await;
    let mut rest = Vec::new();
    let read = stream.read_to_end(&mut rest).await;
    assert!(
        read.is_err(),
        "{} bytes of the request arrived after the caller had left",
        rest.len()
    );
}
