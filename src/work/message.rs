use actix::Message;

use crate::{
    id::Attempt,
    link::{Outbox, Session},
    unit::Bytes,
    wire::{Report, Submit},
};

/// Starts an attempt that an entry submitted.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct StartAttempt {
    /// Connection that the attempt arrived on; see [`Disconnected`] for its effect when closed.
    pub session: Session,
    /// Outgoing frames of that connection.
    pub outbox: Outbox,
    /// The submitted attempt.
    pub submit: Submit,
}

/// Allows an attempt to send more of its response.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Credit {
    /// Attempt that receives the credit; the message has no effect once it has ended.
    pub attempt: Attempt,
    /// Bytes added to the window of the attempt.
    pub bytes: Bytes,
}

/// Cancels an attempt. An operation that runs at most once is completed nevertheless.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct CancelAttempt(pub Attempt);

/// A connection was closed. Its attempts are canceled as by [`CancelAttempt`].
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Disconnected(pub Session);

/// Starts (`true`) or ends (`false`) a drain. New attempts are refused during a drain.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Drain(pub bool);

/// Refuses new attempts until the agent exits, even if a [`Drain`] ends meanwhile.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;

/// Requests the current report about the endpoint, as it is sent to entries.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Report")]
pub struct GetReport;

/// Waits until no attempt is in progress.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct WaitUntilIdle;

/// A connection was opened. It is sent the current report at once.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Connected(pub Session, pub Outbox);
