use actix::Message;

use super::{Digest, Outcome, Result};
use crate::{
    id::{Attempt, Caller, Key, Operation, Service},
    wire::Recorded,
};

/// Claims the right to run an operation.
///
/// Fails with `KeyReused` if the key was used with another body, `InProgress` if another attempt
/// runs the operation, `Unsettled` if the owner of the claim is gone without an outcome, and
/// `StoreUnavailable` (`executed: no`) if the claim could not be confirmed. A sender that stops
/// waiting for the reply sends [`Release`].
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "Result<Claimed>")]
pub struct Claim {
    /// Caller, which is the scope of the key.
    pub caller: Caller,
    /// Service that runs the operation.
    pub service: Service,
    /// Name of the operation.
    pub operation: Operation,
    /// Idempotency key that the caller sent.
    pub key: Key,
    /// Attempt that runs the operation if it obtains the claim.
    pub attempt: Attempt,
    /// Digest of the request body. A repeated key has to come with the same body.
    pub digest: Digest,
}

impl Claim {
    /// Builds the lookup of the same key.
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

/// Reply to a successful [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// The attempt holds the claim and has to start the operation now.
    Fresh,
    /// The operation has run before; this is its recorded response.
    Ended {
        /// HTTP status of the response.
        status: u16,
        /// Media type of `body`.
        content_type: String,
        /// Body of the response, or its digest and length if it was too large to store.
        body: Vec<u8>,
    },
}

/// Records the outcome of an operation that the attempt ran. Replies once the outcome is held in
/// memory; it is written to the store as soon as the store is available.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "Result<()>")]
pub struct Record {
    /// Claim under which the operation ran.
    pub claim: Claim,
    /// Response of the service.
    pub outcome: Outcome,
}

/// Releases a claim whose operation certainly has not started and will not start.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "Result<()>")]
pub struct Release(pub Claim);

/// Requests the recorded state of an idempotency key.
#[derive(Clone, Debug)]
#[derive(Message)]
#[rtype(result = "Recorded")]
pub struct Lookup {
    /// Caller, which is the scope of the key.
    pub caller: Caller,
    /// Service that runs the operation.
    pub service: Service,
    /// Name of the operation.
    pub operation: Operation,
    /// Idempotency key that the caller sent.
    pub key: Key,
}

/// Stops the actor at once, as if the process were killed. Nothing more is written.
#[derive(Clone, Copy, Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct Stop;
