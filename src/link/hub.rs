use std::collections::BTreeMap;

use actix::{Actor, Addr, Context, Handler, Message, ResponseFuture};
use tokio::{sync::oneshot, time};

use super::{IDLE_TIMEOUT, Outbox, Session};
use crate::wire::Frame;

/// Tracks the open connections of an agent.
#[derive(Debug, Default)]
pub struct ConnectionRegistry {
    peers: BTreeMap<Session, PeerState>,
    /// Set once the agent accepts no new attempts.
    leaving: bool,
    go_away_waiters: Vec<oneshot::Sender<()>>,
    close_waiters: Vec<oneshot::Sender<()>>,
}

#[derive(Debug)]
struct PeerState {
    outbox: Outbox,
    /// The entry has confirmed that it sends no further attempts.
    acknowledged: bool,
}

impl ConnectionRegistry {
    /// Starts the actor.
    #[must_use]
    pub fn spawn() -> Addr<Self> {
        Self::default().start()
    }

    fn complete_waiters(&mut self) {
        if self.peers.values().all(|peer| peer.acknowledged) {
            complete_all(&mut self.go_away_waiters);
        }
        if self.peers.is_empty() {
            complete_all(&mut self.close_waiters);
        }
    }
}

fn complete_all(waiters: &mut Vec<oneshot::Sender<()>>) {
    for sender in waiters.drain(..) {
        // The receiver may have been dropped.
        let _dropped = sender.send(());
    }
}

/// Waits for at most [`IDLE_TIMEOUT`], after which an unresponsive peer counts as disconnected.
async fn wait(receiver: oneshot::Receiver<()>) {
    let _elapsed = time::timeout(IDLE_TIMEOUT, receiver).await;
}

impl Actor for ConnectionRegistry {
    type Context = Context<Self>;
}

/// A connection was opened.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct ConnectionOpened(pub Session, pub Outbox);

impl Handler<ConnectionOpened> for ConnectionRegistry {
    type Result = ();

    fn handle(
        &mut self,
        ConnectionOpened(session, outbox): ConnectionOpened,
        _ctx: &mut Self::Context,
    ) {
        if self.leaving {
            outbox.send(Frame::GoAway);
        }
        self.peers.insert(
            session,
            PeerState {
                outbox,
                acknowledged: false,
            },
        );
    }
}

/// A connection was closed.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct ConnectionClosed(pub Session);

impl Handler<ConnectionClosed> for ConnectionRegistry {
    type Result = ();

    fn handle(&mut self, ConnectionClosed(session): ConnectionClosed, _ctx: &mut Self::Context) {
        self.peers.remove(&session);
        self.complete_waiters();
    }
}

/// Sends a frame on all connections.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Broadcast(pub Frame);

impl Handler<Broadcast> for ConnectionRegistry {
    type Result = ();

    fn handle(&mut self, Broadcast(frame): Broadcast, _ctx: &mut Self::Context) {
        for peer in self.peers.values() {
            peer.outbox.send(frame.clone());
        }
    }
}

/// Tells all entries to send no further attempts. Completes once each has acknowledged this or
/// disconnected.
///
/// Connections keep the order of frames, so an attempt that an entry sent before its
/// acknowledgment has arrived by then. The agent can reject it with `executed: no`, whereas an
/// attempt that is lost in a closed socket has an unknown outcome.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct GoAway;

impl Handler<GoAway> for ConnectionRegistry {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _msg: GoAway, _ctx: &mut Self::Context) -> Self::Result {
        self.leaving = true;
        for peer in self.peers.values() {
            peer.outbox.send(Frame::GoAway);
        }
        let (sender, receiver) = oneshot::channel();
        self.go_away_waiters.push(sender);
        self.complete_waiters();
        Box::pin(wait(receiver))
    }
}

/// An entry has acknowledged `GoAway` and sends no further attempts.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct GoAwayAcknowledged(pub Session);

impl Handler<GoAwayAcknowledged> for ConnectionRegistry {
    type Result = ();

    fn handle(
        &mut self,
        GoAwayAcknowledged(session): GoAwayAcknowledged,
        _ctx: &mut Self::Context,
    ) {
        if let Some(peer) = self.peers.get_mut(&session) {
            peer.acknowledged = true;
        }
        self.complete_waiters();
    }
}

/// Closes all connections once their queued frames are written. Completes once all are closed.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct CloseAll;

impl Handler<CloseAll> for ConnectionRegistry {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _msg: CloseAll, _ctx: &mut Self::Context) -> Self::Result {
        for peer in self.peers.values() {
            peer.outbox.close();
        }
        let (sender, receiver) = oneshot::channel();
        self.close_waiters.push(sender);
        self.complete_waiters();
        Box::pin(wait(receiver))
    }
}
