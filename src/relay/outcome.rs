use super::{Part, Request, Result};
use crate::{
    error::{Error, Executed, Kind},
    id::{self, Endpoint},
    invariant::{self, Point},
    operator::Verdict,
    routing::Ending,
};

/// What a failed attempt says about the health of its endpoint.
pub(super) fn ending(error: &Error) -> Ending {
    match error.kind() {
        Kind::Leaving | Kind::WrongIncarnation => Ending::Refused,
        Kind::EndpointFailed | Kind::EndpointLost | Kind::Internal => Ending::Failed,
        _ => Ending::Abandoned,
    }
}

/// Whether another endpoint may serve a request that failed with this error.
pub(super) fn other_endpoint_may_help(error: &Error) -> bool {
    matches!(
        error.kind(),
        Kind::Leaving | Kind::WrongIncarnation | Kind::EndpointFailed | Kind::EndpointLost
    )
}

/// How a request counts that ended with `part`.
pub(super) fn verdict(part: &Result<Part>, in_time: bool) -> Verdict {
    match part {
        Ok(_) if in_time => Verdict::Served,
        Ok(_) => Verdict::Late,
        Err(error) if error.executed() == Executed::No => Verdict::Refused,
        Err(_) => Verdict::Failed,
    }
}

/// Logs that a request is tried again after its attempt at `endpoint` failed.
pub(super) fn log_retry(request: &Request, endpoint: Option<&Endpoint>, error: &Error) {
    log::info!(request:% = request.id, caller:% = request.caller, class:% = request.class,
        endpoint:% = name(endpoint), kind:% = error.kind(); "request is tried again");
}

/// Logs the end of a request; `endpoint` is the one of its last attempt.
pub(super) fn log_end(
    request: &Request,
    endpoint: Option<&Endpoint>,
    attempts: u16,
    part: &Result<Part>,
) {
    let Request {
        id,
        caller,
        class,
        pool,
        ..
    } = request;
    let endpoint = name(endpoint);
    match part {
        Ok(_) => log::info!(request:% = id, caller:% = caller, class:% = class, pool:% = pool,
            endpoint:% = endpoint, attempts = attempts; "request served"),
        Err(error) => log::warn!(request:% = id, caller:% = caller, class:% = class,
            pool:% = pool, endpoint:% = endpoint, attempts = attempts, kind:% = error.kind(),
            executed:% = error.executed(); "request failed"),
    }
}

/// A request that was refused before its first attempt has no endpoint.
fn name(endpoint: Option<&Endpoint>) -> &str {
    endpoint.map_or("-", Endpoint::as_str)
}

/// The error of a request whose actors have stopped.
pub(super) fn stopping(_error: actix::MailboxError) -> Error {
    Error::new(Kind::Leaving, "the entry is stopping").with_executed(Executed::No)
}

/// The error that the caller is told, which does not deny an attempt that may have run.
pub(super) fn final_error(error: Error, maybe_run: bool, request: id::Request) -> Error {
    let error = if maybe_run && error.executed() == Executed::No {
        error.with_executed(Executed::Unknown)
    } else {
        error
    };
    let honest = error.executed() != Executed::No || !maybe_run;
    invariant::check(Point::NotRun, honest, || format!("request {request}"));
    error
}
