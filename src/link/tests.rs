use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use actix::{Actor, Addr, Context, Handler};
use futures_util::{SinkExt, StreamExt};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{mpsc, watch},
};
use tokio_tungstenite::tungstenite::Message;

use super::*;
use crate::{
    clock,
    config::{Document, EndpointKind, EndpointSpec},
    error::Kind,
    id::{self, Attempt, Incarnation, Revision},
    routing::LinkChanged,
    testing::with_paused_time,
    unit::{Bytes, Tokens},
    wire::{self, Cancel as CancelFrame, Chunk, End, Frame},
};

const AGENT_INCARNATION: u64 = 0x00a9_e27a;

fn identity(process: &str, incarnation: u64) -> Identity {
    // The sender may be dropped because the revision of these processes never changes.
    let (_sender, revision) = watch::channel(Revision::new(7));
    Identity {
        process: process.parse().expect("valid name"),
        incarnation: Incarnation::from_bytes(incarnation.to_be_bytes()),
        zone: "zone-a".parse().expect("valid name"),
        revision,
    }
}

/// Sends a description of each event on the agent's connections to the test, and keeps the outbox
/// of the connection opened last.
struct RecordingSink {
    recorded: mpsc::UnboundedSender<String>,
    outbox: Rc<RefCell<Option<Outbox>>>,
}

impl ConnectionHandler for RecordingSink {
    fn on_open(&self, peer: &Peer, outbox: &Outbox) {
        self.outbox.replace(Some(outbox.clone()));
        self.record(format!(
            "opened {} with revision {}",
            peer.hello.process, peer.hello.revision
        ));
    }

    fn on_frame(&self, _peer: &Peer, frame: Frame, _outbox: &Outbox) {
        self.record(match frame {
            Frame::Submit(submit) => format!("submit to {}", submit.incarnation),
            other => format!("{other:?}"),
        });
    }

    fn on_close(&self, peer: &Peer) {
        self.record(format!("closed {}", peer.hello.process));
    }
}

impl RecordingSink {
    fn record(&self, text: String) {
        // The test may have ended.
        let _sent = self.recorded.send(text);
    }
}

/// Ignores all events.
struct NoopSink;

impl ConnectionHandler for NoopSink {
    fn on_open(&self, _peer: &Peer, _outbox: &Outbox) {}
    fn on_frame(&self, _peer: &Peer, _frame: Frame, _outbox: &Outbox) {}
    fn on_close(&self, _peer: &Peer) {}
}

/// Fake router that sends to the test whether the connection to the agent is open.
struct FakeRouter(mpsc::UnboundedSender<bool>);

impl Actor for FakeRouter {
    type Context = Context<Self>;
}

impl Handler<LinkChanged> for FakeRouter {
    type Result = ();

    fn handle(&mut self, msg: LinkChanged, _ctx: &mut Self::Context) {
        let _sent = self.0.send(msg.up);
    }
}

struct Fixture {
    listener: Listener,
    recorded: mpsc::UnboundedReceiver<String>,
    outbox: Rc<RefCell<Option<Outbox>>>,
    pool: Addr<Pool>,
    link_states: mpsc::UnboundedReceiver<bool>,
}

async fn agent() -> (
    Listener,
    mpsc::UnboundedReceiver<String>,
    Rc<RefCell<Option<Outbox>>>,
) {
    let (sender, recorded) = mpsc::unbounded_channel();
    let outbox = Rc::new(RefCell::new(None));
    let sink = Rc::new(RecordingSink {
        recorded: sender,
        outbox: Rc::clone(&outbox),
    });
    let loopback = "127.0.0.1:0".parse().expect("valid address");
    let port = BoundListener::bind(loopback).await.expect("a free port");
    let listener = port.listen(
        identity("agent", AGENT_INCARNATION),
        clock::System::shared(),
        sink,
    );
    (listener, recorded, outbox)
}

/// Starts an agent and the connection pool of an entry, the process that sends requests to agents,
/// and waits until they are connected.
async fn connect_entry_to_agent() -> Fixture {
    let (listener, recorded, outbox) = agent().await;
    let (sender, link_states) = mpsc::unbounded_channel();
    let pool = spawn(Config {
        identity: identity("entry", 1),
        seeds: Vec::new(),
        clock: clock::System::shared(),
        router: FakeRouter(sender).start().recipient(),
        sink: Rc::new(NoopSink),
    });
    pool.do_send(SetDocument(document(Some(listener.address()))));
    let mut fixture = Fixture {
        listener,
        recorded,
        outbox,
        pool,
        link_states,
    };
    assert_eq!(fixture.link_states.recv().await, Some(true));
    assert_eq!(
        fixture.recorded.recv().await.as_deref(),
        Some("opened entry with revision 7")
    );
    fixture
}

impl Fixture {
    fn agent_sends(&self, frame: Frame) {
        self.outbox
            .borrow()
            .as_ref()
            .expect("a connection")
            .send(frame);
    }

    async fn submit(&mut self) -> (Attempt, mpsc::UnboundedReceiver<Event>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let submit = submit_frame();
        let attempt = submit.attempt;
        let sent = self
            .pool
            .send(Submit {
                endpoint: endpoint(),
                submit,
                events,
            })
            .await;
        assert!(sent.expect("a running pool").is_ok(), "submit failed");
        let expected = format!("submit to {AGENT_INCARNATION:016x}");
        assert_eq!(self.recorded.recv().await, Some(expected));
        (attempt, receiver)
    }
}

fn endpoint() -> id::Endpoint {
    "review-1".parse().expect("valid name")
}

fn document(agent: Option<SocketAddr>) -> Arc<Document> {
    let spec = |agent| EndpointSpec {
        kind: EndpointKind::Engine,
        group: "review".parse().expect("valid name"),
        host: "host-1".parse().expect("valid name"),
        zone: "zone-a".parse().expect("valid name"),
        agent,
        fenced: true,
        models: Vec::new(),
        role: wire::Role::Mixed,
        service: None,
        slots: 4,
    };
    let endpoints = agent
        .map(|agent| (endpoint(), spec(agent)))
        .into_iter()
        .collect();
    Arc::new(Document {
        revision: Revision::new(8),
        endpoints,
        ..Document::default()
    })
}

fn submit_frame() -> wire::Submit {
    wire::Submit {
        attempt: "0000000000000000000000000000002a.1"
            .parse()
            .expect("valid id"),
        incarnation: Incarnation::from_bytes([0; 8]),
        caller: "kitchen".parse().expect("valid name"),
        class: "verdict".parse().expect("valid name"),
        priority: 1,
        time_left: Duration::from_secs(1),
        credit: Bytes::new(1024),
        work: wire::Work::Invoke(wire::Invoke {
            service: "labels".parse().expect("valid name"),
            operation: "status".parse().expect("valid name"),
            key: None,
            at_most_once: false,
            content_type: "text/plain".to_owned(),
            body: Vec::new(),
        }),
    }
}

fn chunk(attempt: Attempt) -> Chunk {
    Chunk {
        attempt,
        offset: Bytes::ZERO,
        data: b"no".to_vec(),
    }
}

fn end(attempt: Attempt) -> End {
    End {
        attempt,
        length: Bytes::new(2),
        reason: "stop".to_owned(),
        status: 200,
        input: Tokens::new(1),
        output: Tokens::new(1),
    }
}

/// Guards against an attempt sent with the incarnation of another run of the agent, and against
/// events delivered to another attempt.
#[actix::test]
async fn events_are_delivered_to_their_attempt() {
    let mut fixture = connect_entry_to_agent().await;
    let (attempt, mut receiver) = fixture.submit().await;
    fixture.agent_sends(Frame::Chunk(chunk(attempt.next())));
    fixture.agent_sends(Frame::Chunk(chunk(attempt)));
    fixture.agent_sends(Frame::End(end(attempt)));
    assert_eq!(receiver.recv().await, Some(Event::Chunk(chunk(attempt))));
    assert_eq!(receiver.recv().await, Some(Event::End(end(attempt))));
    assert_eq!(receiver.recv().await, None);
}

/// Guards against a request that waits forever after the connection to its agent was lost.
#[actix::test]
async fn lost_connection_ends_attempts() {
    let mut fixture = connect_entry_to_agent().await;
    let (_attempt, mut receiver) = fixture.submit().await;
    drop(fixture.listener);
    assert_eq!(receiver.recv().await, Some(Event::Disconnected));
    assert_eq!(fixture.link_states.recv().await, Some(false));
}

/// Guards against a planned change that interrupts a request in progress, here the removal of the
/// endpoint from the document.
#[actix::test]
async fn removed_endpoint_completes_its_attempts() {
    let mut fixture = connect_entry_to_agent().await;
    let (attempt, mut receiver) = fixture.submit().await;
    fixture
        .pool
        .send(SetDocument(document(None)))
        .await
        .expect("a running pool");
    assert_eq!(fixture.link_states.recv().await, Some(false));
    fixture.agent_sends(Frame::Chunk(chunk(attempt)));
    fixture.agent_sends(Frame::End(end(attempt)));
    assert_eq!(receiver.recv().await, Some(Event::Chunk(chunk(attempt))));
    assert_eq!(receiver.recv().await, Some(Event::End(end(attempt))));
    assert_eq!(
        fixture.recorded.recv().await.as_deref(),
        Some("closed entry")
    );
}

/// Guards against an attempt that continues at the agent although nothing receives its events, as
/// after the caller has disconnected: the entry answers the next chunk with `Cancel`.
#[actix::test]
async fn attempt_without_receiver_is_canceled() {
    let mut fixture = connect_entry_to_agent().await;
    let (attempt, receiver) = fixture.submit().await;
    drop(receiver);
    fixture.agent_sends(Frame::Chunk(chunk(attempt)));
    let cancel = format!("{:?}", Frame::Cancel(CancelFrame { attempt }));
    assert_eq!(fixture.recorded.recv().await, Some(cancel));
}

/// Guards against an attempt that the agent does not read because it closes the connection during a
/// planned stop. To prevent this, the entry acknowledges `GoAway` and sends no attempt after it.
#[actix::test]
async fn no_attempt_is_sent_after_go_away() {
    let mut fixture = connect_entry_to_agent().await;
    fixture.agent_sends(Frame::GoAway);
    assert_eq!(fixture.recorded.recv().await.as_deref(), Some("GoAway"));
    let (events, _receiver) = mpsc::unbounded_channel();
    let submit = Submit {
        endpoint: endpoint(),
        submit: submit_frame(),
        events,
    };
    let result = fixture.pool.send(submit).await.expect("a running pool");
    assert_eq!(result.map_err(|error| error.kind()), Err(Kind::Leaving));
}

/// Guards against two agents that listen on the same port and so control the same endpoint.
#[actix::test]
async fn port_is_bound_exclusively() {
    let (first, _recorded, _outbox) = agent().await;
    let second = BoundListener::bind(first.address()).await;
    assert_eq!(
        second.map(|_| ()).map_err(|error| error.kind()),
        Err(Kind::Internal)
    );
}

/// Guards against a listener that fails, or accepts no further connections, after an invalid
/// WebSocket handshake or an invalid frame.
#[actix::test]
async fn listener_survives_invalid_input() {
    let (listener, mut recorded, _outbox) = agent().await;
    let mut stream = TcpStream::connect(listener.address())
        .await
        .expect("connect");
    stream
        .write_all(b"\x16\x03\x01 no handshake\r\n\r\n")
        .await
        .expect("write");
    let mut response = Vec::new();
    // The listener closes the connection, with or without a response.
    let _read = stream.read_to_end(&mut response).await;

    let url = format!("ws://{}/link", listener.address());
    let hello = wire::encode(&identity("entry", 3).hello()).expect("small frame");
    for damaged in [vec![], vec![0xff; 40], hello[..hello.len() - 1].to_vec()] {
        let stream = TcpStream::connect(listener.address())
            .await
            .expect("connect");
        let (mut socket, _) = tokio_tungstenite::client_async(&url, stream)
            .await
            .expect("handshake");
        socket.send(Message::binary(damaged)).await.expect("send");
        while let Some(Ok(_)) = socket.next().await {}
    }

    let stream = TcpStream::connect(listener.address())
        .await
        .expect("connect");
    let (mut socket, _) = tokio_tungstenite::client_async(&url, stream)
        .await
        .expect("handshake");
    socket.send(Message::binary(hello)).await.expect("send");
    assert_eq!(
        recorded.recv().await.as_deref(),
        Some("opened entry with revision 7")
    );
}

/// Guards against a stopping agent that does not send `GoAway` to every entry, including those that
/// connect while it stops, and against one that does not wait for their acknowledgments.
#[test]
fn go_away_waits_for_every_entry() {
    let queued = with_paused_time(async {
        // The hub tracks the open connections of an agent.
        let registry = ConnectionRegistry::spawn();
        let (early, mut early_queue) = Outbox::channel();
        let (late, mut late_queue) = Outbox::channel();
        let [first, second] = [Session::next(), Session::next()];
        registry
            .send(ConnectionOpened(first, early))
            .await
            .expect("a running hub");
        let mut go_away = Box::pin(registry.send(GoAway));
        assert!(futures_util::poll!(&mut go_away).is_pending());
        registry
            .send(ConnectionOpened(second, late))
            .await
            .expect("a running hub");
        let queued = [early_queue.try_recv(), late_queue.try_recv()];
        for session in [first, second] {
            assert!(futures_util::poll!(&mut go_away).is_pending());
            registry
                .send(GoAwayAcknowledged(session))
                .await
                .expect("a running hub");
        }
        go_away.await.expect("a running hub");
        queued
    });
    insta::assert_debug_snapshot!(queued);
}
