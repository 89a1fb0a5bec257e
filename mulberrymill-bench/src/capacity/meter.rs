use actix::{Actor, Addr, Context, Handler, Message, MessageResult};
use serde::Serialize;

/// Bytes and reads in one direction. With `TCP_NODELAY` and small frames, one read is
/// approximately one TCP segment; a large frame takes several reads.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub(super) struct Flow {
    pub(super) bytes: u64,
    pub(super) reads: u64,
}

/// Traffic through the relays of one kind of peer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub(super) struct Total {
    /// From entries to agents.
    pub(super) to_agent: Flow,
    /// From agents to entries.
    pub(super) to_entry: Flow,
}

/// Sums the byte counts of relays.
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
        // Sending a document to 100 peers takes several thousand reads.
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
pub(super) struct BytesRead(pub(super) Direction, pub(super) u64);

impl Handler<BytesRead> for Meter {
    type Result = ();

    fn handle(&mut self, BytesRead(direction, bytes): BytesRead, _ctx: &mut Self::Context) {
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
pub(super) struct GetTotal;

impl Handler<GetTotal> for Meter {
    type Result = MessageResult<GetTotal>;

    fn handle(&mut self, _msg: GetTotal, _ctx: &mut Self::Context) -> Self::Result {
        MessageResult(self.total)
    }
}
