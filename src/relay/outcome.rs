use super::{Request, ResponsePart, Result};
use crate::{
    error::{Error, Executed, Kind},
    id::{self, Endpoint},
    invariant::{self, Invariant},
    operator::RequestOutcome,
    routing::Ending,
};

/// Classifies a failed attempt for the health tracking of its endpoint.
pub(super) fn endpoint_ending(error: &Error) -> Ending {
    match error.kind() {
        Kind::Leaving | Kind::Paused | Kind::WrongIncarnation => Ending::Refused,
        Kind::EndpointFailed | Kind::EndpointLost | Kind::Internal => Ending::Failed,
        _ => Ending::Abandoned,
    }
}

/// Whether a retry on another endpoint may succeed after this error.
pub(super) fn other_endpoint_may_succeed(error: &Error) -> bool {
    matches!(
        error.kind(),
        Kind::Leaving
            | Kind::Paused
            | Kind::WrongIncarnation
            | Kind::EndpointFailed
            | Kind::EndpointLost
    )
}

/// Verdict that is counted for a request whose last part is `part`.
pub(super) fn tally_verdict(part: &Result<ResponsePart>, in_time: bool) -> RequestOutcome {
    match part {
        Ok(_) if in_time => RequestOutcome::Served,
        Ok(_) => RequestOutcome::Late,
        Err(error) if error.executed() == Executed::No => RequestOutcome::Refused,
        Err(_) => RequestOutcome::Failed,
    }
}

/// Logs a retry after the attempt on `endpoint` failed.
pub(super) fn log_retry(request: &Request, endpoint: Option<&Endpoint>, error: &Error) {
    log::info!(request:% = request.id, caller:% = request.caller, class:% = request.class,
        endpoint:% = endpoint_field(endpoint), kind:% = error.kind(); "retrying the request");
}

/// Logs the end of a request. `endpoint` is that of the last attempt.
pub(super) fn log_end(
    request: &Request,
    endpoint: Option<&Endpoint>,
    attempts: u16,
    part: &Result<ResponsePart>,
) {
    let Request {
        id,
        caller,
        class,
        pool,
        ..
    } = request;
    let endpoint = endpoint_field(endpoint);
    match part {
        Ok(_) => log::info!(request:% = id, caller:% = caller, class:% = class, pool:% = pool,
            endpoint:% = endpoint, attempts = attempts; "request served"),
        Err(error) => log::warn!(request:% = id, caller:% = caller, class:% = class,
            pool:% = pool, endpoint:% = endpoint, attempts = attempts, kind:% = error.kind(),
            executed:% = error.executed(); "request failed"),
    }
}

/// Value of the `endpoint` log field: `-` for a request rejected before its first attempt.
fn endpoint_field(endpoint: Option<&Endpoint>) -> &str {
    endpoint.map_or("-", Endpoint::as_str)
}

/// Error for a message whose recipient has stopped: the process is shutting down.
pub(super) fn mailbox_error(_error: actix::MailboxError) -> Error {
    Error::new(Kind::Leaving, "the entry is stopping").with_executed(Executed::No)
}

/// The error returned to the caller. If an attempt may have run, `executed: no` becomes
/// `executed: unknown`.
pub(super) fn caller_error(error: Error, may_have_run: bool, request: id::Request) -> Error {
    let error = if may_have_run && error.executed() == Executed::No {
        error.with_executed(Executed::Unknown)
    } else {
        error
    };
    let consistent = error.executed() != Executed::No || !may_have_run;
    invariant::check(Invariant::NotRun, consistent, || {
        format!("request {request}")
    });
    error
}
