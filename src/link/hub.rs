use std::collections::BTreeMap;

use actix::{Actor, Addr, Context, Handler, Message, ResponseFuture};
use tokio::{sync::oneshot, time};

use super::{Outbox, SILENCE, Session};
use crate::wire::Frame;

/// The open connections of an agent.
#[derive(Debug, Default)]
pub struct Hub {
    peers: BTreeMap<Session, Member>,
    /// Set once the agent takes no new attempts.
    leaving: bool,
    settled: Vec<oneshot::Sender<()>>,
    closed: Vec<oneshot::Sender<()>>,
}

#[derive(Debug)]
struct Member {
    outbox: Outbox,
    /// The entry has promised to send no further attempts.
    acknowledged: bool,
}

impl Hub {
    /// Starts the actor.
    #[must_use]
    pub fn spawn() -> Addr<Self> {
        Self::default().start()
    }

    fn notice(&mut self) {
        if self.peers.values().all(|member| member.acknowledged) {
            release(&mut self.settled);
        }
        if self.peers.is_empty() {
            release(&mut self.closed);
        }
    }
}

fn release(waiting: &mut Vec<oneshot::Sender<()>>) {
    for sender in waiting.drain(..) {
        // The one who waited may have given up.
        let _gone = sender.send(());
    }
}

/// Waits for the peers, but not for one that is silent: its connection is as good as closed.
async fn wait(receiver: oneshot::Receiver<()>) {
    let _elapsed = time::timeout(SILENCE, receiver).await;
}

impl Actor for Hub {
    type Context = Context<Self>;
}

/// A connection was opened.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Joined(pub Session, pub Outbox);

impl Handler<Joined> for Hub {
    type Result = ();

    fn handle(&mut self, Joined(session, outbox): Joined, _ctx: &mut Self::Context) {
        if self.leaving {
            outbox.send(Frame::GoAway);
        }
        self.peers.insert(
            session,
            Member {
                outbox,
                acknowledged: false,
            },
        );
    }
}

/// A connection was closed.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Left(pub Session);

impl Handler<Left> for Hub {
    type Result = ();

    fn handle(&mut self, Left(session): Left, _ctx: &mut Self::Context) {
        self.peers.remove(&session);
        self.notice();
    }
}

/// Sends a frame on all connections.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Broadcast(pub Frame);

impl Handler<Broadcast> for Hub {
    type Result = ();

    fn handle(&mut self, Broadcast(frame): Broadcast, _ctx: &mut Self::Context) {
        for member in self.peers.values() {
            member.outbox.send(frame.clone());
        }
    }
}

/// Asks all entries to send no further attempts, and answers once each has agreed or gone.
///
/// An attempt that an entry sent before it agreed has arrived by then, since a connection keeps
/// the order. So it can be refused with `executed: no` instead of being lost in a closed socket.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct GoAway;

impl Handler<GoAway> for Hub {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _msg: GoAway, _ctx: &mut Self::Context) -> Self::Result {
        self.leaving = true;
        for member in self.peers.values() {
            member.outbox.send(Frame::GoAway);
        }
        let (sender, receiver) = oneshot::channel();
        self.settled.push(sender);
        self.notice();
        Box::pin(wait(receiver))
    }
}

/// An entry has agreed to send no further attempts.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Acknowledged(pub Session);

impl Handler<Acknowledged> for Hub {
    type Result = ();

    fn handle(&mut self, Acknowledged(session): Acknowledged, _ctx: &mut Self::Context) {
        if let Some(member) = self.peers.get_mut(&session) {
            member.acknowledged = true;
        }
        self.notice();
    }
}

/// Closes all connections after what is queued on them, and answers once they are closed.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Close;

impl Handler<Close> for Hub {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _msg: Close, _ctx: &mut Self::Context) -> Self::Result {
        for member in self.peers.values() {
            member.outbox.close();
        }
        let (sender, receiver) = oneshot::channel();
        self.closed.push(sender);
        self.notice();
        Box::pin(wait(receiver))
    }
}
