use actix::Message;

use super::{Digest, Outcome, Result};
use crate::{
    id::{Attempt, Caller, Key, Operation, Service},
    wire::Recorded,
};

/// Asks to run an operation.
///
/// Fails with `KeyReused` if the key belongs to another body, `InProgress` if another attempt runs
/// it, `Unsettled` if its owner is gone without an outcome, and `StoreUnavailable` (`executed: no`)
/// if the claim could not be confirmed. A sender that stops waiting sends [`Release`].
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "Result<Claimed>")]
pub struct Claim {
    /// The caller.
    pub caller: Caller,
    /// The service.
    pub service: Service,
    /// The operation.
    pub operation: Operation,
    /// The idempotency key.
    pub key: Key,
    /// The attempt that asks.
    pub attempt: Attempt,
    /// Digest of the request body.
    pub digest: Digest,
}

impl Claim {
    /// The question about the same key.
    #[must_use]
    pub fn lookup(&self) -> Lookup {
        Lookup {
            caller: self.caller.clone(),
            service: self.service.clone(),
            operation: self.operation.clone(),
            key: self.key.clone(),
        }
    }
}

/// Answer to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// The attempt holds the claim and starts the operation now.
    Fresh,
    /// The operation ended before; this is the recorded answer.
    Ended {
        /// HTTP status of the service.
        status: u16,
        /// Media type of the body.
        content_type: String,
        /// Body of the service's answer.
        body: Vec<u8>,
    },
}

/// Records the outcome of an operation that the attempt ran. Answers once the outcome is kept in
/// memory; it is written to the store as soon as the store answers.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "Result<()>")]
pub struct Record {
    /// The claim.
    pub claim: Claim,
    /// What the service answered.
    pub outcome: Outcome,
}

/// Gives back a claim whose operation certainly did not start and will not start.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "Result<()>")]
pub struct Release(pub Claim);

/// Asks what is recorded for a key.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "Recorded")]
pub struct Lookup {
    /// The caller.
    pub caller: Caller,
    /// The service.
    pub service: Service,
    /// The operation.
    pub operation: Operation,
    /// The idempotency key.
    pub key: Key,
}

/// Ends the actor at once, as a killed process does. Nothing is written any more.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct Stop;
