use std::fmt;

use actix::Recipient;
use futures_util::StreamExt;
use tokio::time;

use super::{EndpointClient, Job, ResponsePart, Result};
use crate::{
    error::{Error, Executed, Kind},
    ledger::{Claim, Claimed, Digest, Outcome, Record, Release},
    link::Outbox,
    unit::{Bytes, Tokens},
    wire::{Chunk, End, Frame, Invoke, Submit},
};

/// Largest accepted response body, in bytes.
const RESPONSE_MAX_BYTES: usize = 1 << 20;

/// Recipients of the ledger, which decides whether an operation runs.
#[derive(Clone)]
pub struct Ports {
    /// Claims the right to run an operation.
    pub claim: Recipient<Claim>,
    /// Records the outcome of an operation.
    pub record: Recipient<Record>,
    /// Releases the claim of an operation that did not run.
    pub release: Recipient<Release>,
}

impl fmt::Debug for Ports {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ports")
    }
}

/// Runs an operation at most once, or sends its recorded response.
pub(super) async fn run(
    ports: Ports,
    endpoint: &dyn EndpointClient,
    submit: Submit,
    invoke: Invoke,
    outbox: &Outbox,
) -> Result<End> {
    let attempt = submit.attempt;
    let deadline = time::Instant::now() + submit.time_left;
    let claim = new_claim(&submit, &invoke)?;
    let outcome = match ports
        .claim
        .send(claim.clone())
        .await
        .map_err(|_error| ledger_stopped())??
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
            let result = execute(endpoint, job, deadline).await;
            record_or_release(&ports, claim, result).await?
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

fn new_claim(submit: &Submit, invoke: &Invoke) -> Result<Claim> {
    let key_required = || Error::new(Kind::KeyRequired, "the operation may not be repeated");
    Ok(Claim {
        caller: submit.caller.clone(),
        service: invoke.service.clone(),
        operation: invoke.operation.clone(),
        key: invoke.key.clone().ok_or_else(key_required)?,
        attempt: submit.attempt,
        digest: Digest::of(&invoke.body),
    })
}

/// Calls the endpoint. The deadline is checked first, so that an operation whose claim took too
/// long does not start. Once it has started, a timeout leaves its outcome unknown.
async fn execute(
    endpoint: &dyn EndpointClient,
    job: Job,
    deadline: time::Instant,
) -> Result<Outcome> {
    if time::Instant::now() >= deadline {
        let error = Error::new(Kind::Deadline, "the claim took too long");
        return Err(error.with_executed(Executed::No));
    }
    time::timeout_at(deadline, collect_response(endpoint, job))
        .await
        .unwrap_or_else(|_elapsed| Err(Error::new(Kind::Deadline, "the service took too long")))
}

async fn collect_response(endpoint: &dyn EndpointClient, job: Job) -> Result<Outcome> {
    let mut parts = endpoint.run(job);
    let mut body = Vec::new();
    while let Some(part) = parts.next().await {
        match part? {
            ResponsePart::Data(data) => body.extend_from_slice(&data),
            ResponsePart::End { reason, status, .. } => {
                return Ok(Outcome {
                    status,
                    content_type: reason,
                    body,
                });
            }
        }
        if body.len() > RESPONSE_MAX_BYTES {
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

/// Records the outcome of the operation, or releases the claim if it certainly did not run.
async fn record_or_release(
    ports: &Ports,
    claim: Claim,
    result: Result<Outcome>,
) -> Result<Outcome> {
    match result {
        Ok(outcome) => {
            let record = Record {
                claim,
                outcome: outcome.clone(),
            };
            if !matches!(ports.record.send(record).await, Ok(Ok(()))) {
                log::error!("failed to record the outcome of an operation");
            }
            Ok(outcome)
        }
        Err(error) => {
            if error.executed() == Executed::No
                && !matches!(ports.release.send(Release(claim)).await, Ok(Ok(())))
            {
                log::warn!("failed to release the claim of an operation that did not run");
            }
            Err(error)
        }
    }
}

fn ledger_stopped() -> Error {
    Error::new(Kind::Leaving, "the agent is stopping")
}
