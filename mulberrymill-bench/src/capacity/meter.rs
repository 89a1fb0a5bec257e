use actix::{Actor, Addr, Context, Handler, Message, MessageResult};
use serde::Serialize;

/// Bytes and reads in one direction. With `TCP_NODELAY` and small frames a read is close to a
/// segment; a large frame takes several reads.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub(super) struct Flow {
    pub(super) bytes: u64,
    pub(super) reads: u64,
}

/// What passed the relays of one kind of peer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub(super) struct Total {
    /// From entries to agents.
    pub(super) to_agent: Flow,
    /// From agents to entries.
    pub(super) to_entry: Flow,
}

/// Adds up what relays report.
#[derive(Debug, Default)]
pub(super) struct Meter {
    total: Total,
}

impl Meter {
    pub(super) fn spawn() -> Addr<Self> {
        Self::default().start()
    }
}

impl Actor for Meter {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        // A document to 100 peers is several thousand reads.
        ctx.set_mailbox_capacity(1 << 16);
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Direction {
    ToAgent,
    ToEntry,
}

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Moved(pub(super) Direction, pub(super) u64);

impl Handler<Moved> for Meter {
    type Result = ();

    fn handle(&mut self, Moved(direction, bytes): Moved, _ctx: &mut Self::Context) {
        let flow = match direction {
            Direction::ToAgent => &mut self.total.to_agent,
            Direction::ToEntry => &mut self.total.to_entry,
        };
        flow.bytes += bytes;
        flow.reads += 1;
    }
}

#[derive(Message)]
#[rtype(result = "Total")]
pub(super) struct Read;

impl Handler<Read> for Meter {
    type Result = MessageResult<Read>;

    fn handle(&mut self, _msg: Read, _ctx: &mut Self::Context) -> Self::Result {
        MessageResult(self.total)
    }
}
