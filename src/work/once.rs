use std::fmt;

use actix::Recipient;
use futures_util::StreamExt;
use tokio::time;

use super::{Endpoint, Job, Piece, Result};
use crate::{
    error::{Error, Executed, Kind},
    ledger::{Claim, Claimed, Digest, Outcome, Record, Release},
    link::Outbox,
    unit::{Bytes, Tokens},
    wire::{Chunk, End, Frame, Invoke, Submit},
};

/// Largest answer of a service that is passed on.
const BODY_MAX: usize = 1 << 20;

/// The ledger that decides whether an operation runs.
#[derive(Clone)]
pub struct Ports {
    /// Asks to run an operation.
    pub claim: Recipient<Claim>,
    /// Records its outcome.
    pub record: Recipient<Record>,
    /// Gives back a claim that was not used.
    pub release: Recipient<Release>,
}

impl fmt::Debug for Ports {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ports")
    }
}

/// Runs an operation that must not run twice, or passes on its recorded answer.
pub(super) async fn run(
    ports: Ports,
    endpoint: &dyn Endpoint,
    submit: Submit,
    invoke: Invoke,
    outbox: &Outbox,
) -> Result<End> {
    let attempt = submit.attempt;
    let deadline = time::Instant::now() + submit.time_left;
    let claim = claim(&submit, &invoke)?;
    let outcome = match ports
        .claim
        .send(claim.clone())
        .await
        .map_err(|_error| stopped())??
    {
        Claimed::Ended {
            status,
            content_type,
            body,
        } => Outcome {
            status,
            content_type,
            body,
        },
        Claimed::Fresh => {
            let job = Job {
                priority: submit.priority,
                work: submit.work,
            };
            let ran = execute(endpoint, job, deadline).await;
            settle(&ports, claim, ran).await?
        }
    };
    let length = Bytes::new(outcome.body.len() as u64);
    let chunk = Chunk {
        attempt,
        offset: Bytes::ZERO,
        data: outcome.body,
    };
    outbox.send(Frame::Chunk(chunk));
    Ok(End {
        attempt,
        length,
        reason: outcome.content_type,
        status: outcome.status,
        input: Tokens::ZERO,
        output: Tokens::ZERO,
    })
}

fn claim(submit: &Submit, invoke: &Invoke) -> Result<Claim> {
    let missing = || Error::new(Kind::KeyRequired, "the operation may not be repeated");
    Ok(Claim {
        caller: submit.caller.clone(),
        service: invoke.service.clone(),
        operation: invoke.operation.clone(),
        key: invoke.key.clone().ok_or_else(missing)?,
        attempt: submit.attempt,
        digest: Digest::of(&invoke.body),
    })
}

/// Calls the endpoint. The deadline is checked before, so that a claim that came too late has no
/// effect; after it, only the answer is given up.
async fn execute(endpoint: &dyn Endpoint, job: Job, deadline: time::Instant) -> Result<Outcome> {
    if time::Instant::now() >= deadline {
        let error = Error::new(Kind::Deadline, "the claim took too long");
        return Err(error.with_executed(Executed::No));
    }
    time::timeout_at(deadline, collect(endpoint, job))
        .await
        .unwrap_or_else(|_elapsed| Err(Error::new(Kind::Deadline, "the service took too long")))
}

async fn collect(endpoint: &dyn Endpoint, job: Job) -> Result<Outcome> {
    let mut pieces = endpoint.run(job);
    let mut body = Vec::new();
    while let Some(piece) = pieces.next().await {
        match piece? {
            Piece::Data(data) => body.extend_from_slice(&data),
            Piece::End { reason, status, .. } => {
                return Ok(Outcome {
                    status,
                    content_type: reason,
                    body,
                });
            }
        }
        if body.len() > BODY_MAX {
            let error = Error::new(
                Kind::EndpointFailed,
                "the answer of the service is too large",
            );
            return Err(error.with_executed(Executed::Yes));
        }
    }
    Err(Error::new(
        Kind::EndpointLost,
        "the service broke off its answer",
    ))
}

/// Records what came of the operation. A claim is given back only if it certainly did not run.
async fn settle(ports: &Ports, claim: Claim, ran: Result<Outcome>) -> Result<Outcome> {
    match ran {
        Ok(outcome) => {
            let record = Record {
                claim,
                outcome: outcome.clone(),
            };
            if !matches!(ports.record.send(record).await, Ok(Ok(()))) {
                log::error!("the outcome of an operation could not be recorded");
            }
            Ok(outcome)
        }
        Err(error) => {
            if error.executed() == Executed::No
                && !matches!(ports.release.send(Release(claim)).await, Ok(Ok(())))
            {
                log::warn!("the claim of an operation that did not run could not be released");
            }
            Err(error)
        }
    }
}

fn stopped() -> Error {
    Error::new(Kind::Leaving, "the agent is stopping")
}
