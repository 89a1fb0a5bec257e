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
    routing::Linked,
    testing::on_virtual_time,
    unit::{Bytes, Tokens},
    wire::{self, Cancel as CancelFrame, Chunk, End, Frame},
};

const AGENT: u64 = 0x00a9_e27a;

fn identity(process: &str, incarnation: u64) -> Identity {
    // The sender is dropped: the revision of these processes never changes.
    let (_sender, revision) = watch::channel(Revision::new(7));
    Identity {
        process: process.parse().expect("valid name"),
        incarnation: Incarnation::from_bytes(incarnation.to_be_bytes()),
        zone: "zone-a".parse().expect("valid name"),
        revision,
    }
}

/// Hands everything that arrives at the agent to the test.
struct Tap {
    seen: mpsc::UnboundedSender<String>,
    outbox: Rc<RefCell<Option<Outbox>>>,
}

impl Sink for Tap {
    fn opened(&self, peer: &Peer, outbox: &Outbox) {
        self.outbox.replace(Some(outbox.clone()));
        self.note(format!(
            "opened {} at {}",
            peer.hello.process, peer.hello.revision
        ));
    }

    fn arrived(&self, _peer: &Peer, frame: Frame, _outbox: &Outbox) {
        self.note(match frame {
            Frame::Submit(submit) => format!("submit to {}", submit.incarnation),
            other => format!("{other:?}"),
        });
    }

    fn closed(&self, peer: &Peer) {
        self.note(format!("closed {}", peer.hello.process));
    }
}

impl Tap {
    fn note(&self, text: String) {
        // The test may have ended.
        let _over = self.seen.send(text);
    }
}

/// Ignores what belongs to no attempt.
struct Ignore;

impl Sink for Ignore {
    fn opened(&self, _peer: &Peer, _outbox: &Outbox) {}
    fn arrived(&self, _peer: &Peer, _frame: Frame, _outbox: &Outbox) {}
    fn closed(&self, _peer: &Peer) {}
}

/// Stands for the router and hands link states to the test.
struct Router(mpsc::UnboundedSender<bool>);

impl Actor for Router {
    type Context = Context<Self>;
}

impl Handler<Linked> for Router {
    type Result = ();

    fn handle(&mut self, msg: Linked, _ctx: &mut Self::Context) {
        let _over = self.0.send(msg.up);
    }
}

struct Rig {
    listener: Listener,
    seen: mpsc::UnboundedReceiver<String>,
    outbox: Rc<RefCell<Option<Outbox>>>,
    pool: Addr<Pool>,
    links: mpsc::UnboundedReceiver<bool>,
}

async fn agent() -> (
    Listener,
    mpsc::UnboundedReceiver<String>,
    Rc<RefCell<Option<Outbox>>>,
) {
    let (sender, seen) = mpsc::unbounded_channel();
    let outbox = Rc::new(RefCell::new(None));
    let sink = Rc::new(Tap {
        seen: sender,
        outbox: Rc::clone(&outbox),
    });
    let loopback = "127.0.0.1:0".parse().expect("valid address");
    let port = Port::bind(loopback).await.expect("a free port");
    let listener = port.listen(identity("agent", AGENT), clock::System::shared(), sink);
    (listener, seen, outbox)
}

/// An entry and an agent that are connected.
async fn rig() -> Rig {
    let (listener, seen, outbox) = agent().await;
    let (sender, links) = mpsc::unbounded_channel();
    let pool = spawn(Config {
        identity: identity("entry", 1),
        seeds: Vec::new(),
        clock: clock::System::shared(),
        router: Router(sender).start().recipient(),
        sink: Rc::new(Ignore),
    });
    pool.do_send(Adopt(document(Some(listener.address()))));
    let mut rig = Rig {
        listener,
        seen,
        outbox,
        pool,
        links,
    };
    assert_eq!(rig.links.recv().await, Some(true));
    assert_eq!(rig.seen.recv().await.as_deref(), Some("opened entry at 7"));
    rig
}

impl Rig {
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
        let expected = format!("submit to {AGENT:016x}");
        assert_eq!(self.seen.recv().await, Some(expected));
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
            once: false,
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

/// Guards against an attempt that reaches another run of the agent, and events that reach another
/// attempt.
#[actix::test]
async fn attempts_and_events_find_each_other() {
    let mut rig = rig().await;
    let (attempt, mut receiver) = rig.submit().await;
    rig.agent_sends(Frame::Chunk(chunk(attempt.next())));
    rig.agent_sends(Frame::Chunk(chunk(attempt)));
    rig.agent_sends(Frame::End(end(attempt)));
    assert_eq!(receiver.recv().await, Some(Event::Chunk(chunk(attempt))));
    assert_eq!(receiver.recv().await, Some(Event::End(end(attempt))));
    assert_eq!(receiver.recv().await, None);
}

/// Guards against a request that waits forever after its agent died.
#[actix::test]
async fn lost_connection_ends_attempts() {
    let mut rig = rig().await;
    let (_attempt, mut receiver) = rig.submit().await;
    drop(rig.listener);
    assert_eq!(receiver.recv().await, Some(Event::Lost));
    assert_eq!(rig.links.recv().await, Some(false));
}

/// Guards against a planned change, here the removal of an endpoint from the document, that cuts
/// off a request in progress.
#[actix::test]
async fn removed_endpoint_completes_its_attempts() {
    let mut rig = rig().await;
    let (attempt, mut receiver) = rig.submit().await;
    rig.pool
        .send(Adopt(document(None)))
        .await
        .expect("a running pool");
    assert_eq!(rig.links.recv().await, Some(false));
    rig.agent_sends(Frame::Chunk(chunk(attempt)));
    rig.agent_sends(Frame::End(end(attempt)));
    assert_eq!(receiver.recv().await, Some(Event::Chunk(chunk(attempt))));
    assert_eq!(receiver.recv().await, Some(Event::End(end(attempt))));
    assert_eq!(rig.seen.recv().await.as_deref(), Some("closed entry"));
}

/// Guards against an engine that generates for a caller that is gone.
#[actix::test]
async fn forgotten_attempt_is_withdrawn() {
    let mut rig = rig().await;
    let (attempt, receiver) = rig.submit().await;
    drop(receiver);
    rig.agent_sends(Frame::Chunk(chunk(attempt)));
    let cancel = format!("{:?}", Frame::Cancel(CancelFrame { attempt }));
    assert_eq!(rig.seen.recv().await, Some(cancel));
}

/// Guards against an attempt that is lost in the socket of an agent that has closed it on a
/// planned stop: after the entry's `GoAway`, no attempt follows.
#[actix::test]
async fn no_attempt_follows_a_go_away() {
    let mut rig = rig().await;
    rig.agent_sends(Frame::GoAway);
    assert_eq!(rig.seen.recv().await.as_deref(), Some("GoAway"));
    let (events, _receiver) = mpsc::unbounded_channel();
    let submit = Submit {
        endpoint: endpoint(),
        submit: submit_frame(),
        events,
    };
    let refused = rig.pool.send(submit).await.expect("a running pool");
    assert_eq!(refused.map_err(|error| error.kind()), Err(Kind::Leaving));
}

/// Guards against two agents that both give orders to one endpoint.
#[actix::test]
async fn port_is_bound_exclusively() {
    let (first, _seen, _outbox) = agent().await;
    let second = Port::bind(first.address()).await;
    assert_eq!(
        second.map(|_| ()).map_err(|error| error.kind()),
        Err(Kind::Internal)
    );
}

/// Guards against a listener that fails on bytes that are no WebSocket handshake, or whose frames
/// are damaged, and against one that serves nobody afterwards.
#[actix::test]
async fn listener_survives_invalid_input() {
    let (listener, mut seen, _outbox) = agent().await;
    let mut stream = TcpStream::connect(listener.address())
        .await
        .expect("connect");
    stream
        .write_all(b"\x16\x03\x01 no handshake\r\n\r\n")
        .await
        .expect("write");
    let mut answer = Vec::new();
    // The listener closes the connection, with or without an answer.
    let _read = stream.read_to_end(&mut answer).await;

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
    assert_eq!(seen.recv().await.as_deref(), Some("opened entry at 7"));
}

/// Guards against a stopping agent that does not ask its entries to send no more, also those that
/// connect while it stops, and against one that does not wait for their consent.
#[test]
fn stopping_agent_asks_every_entry() {
    let seen = on_virtual_time(async {
        let hub = Hub::spawn();
        let (early, mut early_queue) = Outbox::channel();
        let (late, mut late_queue) = Outbox::channel();
        let [first, second] = [Session::next(), Session::next()];
        hub.send(Joined(first, early)).await.expect("it runs");
        let mut away = Box::pin(hub.send(GoAway));
        assert!(futures_util::poll!(&mut away).is_pending());
        hub.send(Joined(second, late)).await.expect("it runs");
        let asked = [early_queue.try_recv(), late_queue.try_recv()];
        for session in [first, second] {
            assert!(futures_util::poll!(&mut away).is_pending());
            hub.send(Acknowledged(session)).await.expect("it runs");
        }
        away.await.expect("it runs");
        asked
    });
    insta::assert_debug_snapshot!(seen);
}
