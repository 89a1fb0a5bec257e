use actix::Message;

use crate::{
    id::Attempt,
    link::{Outbox, Session},
    unit::Bytes,
    wire::{Report, Submit},
};

/// An attempt arrived from an entry.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Begin {
    /// The connection that it came on.
    pub session: Session,
    /// Where its answer goes.
    pub outbox: Outbox,
    /// The attempt.
    pub submit: Submit,
}

/// The entry takes more of an answer.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Credit {
    /// The attempt.
    pub attempt: Attempt,
    /// Bytes in addition.
    pub bytes: Bytes,
}

/// The entry no longer wants the answer.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Withdraw(pub Attempt);

/// A connection was closed: nobody wants the answers of its attempts.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Disconnected(pub Session);

/// Takes no new attempts (`true`) or takes them again (`false`).
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Drain(pub bool);

/// The agent is about to end: no new attempts, also after a [`Drain`] that ends.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;

/// Asks for the present state of the endpoint, as reported to entries.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Report")]
pub struct Status;

/// Answers when no attempt is in progress.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Idle;

/// A connection was opened: send it a report at once.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Connected(pub Session, pub Outbox);
