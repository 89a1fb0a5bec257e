use std::{
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{MailboxError, Recipient};
use futures_util::{FutureExt, future::LocalBoxFuture};
use tokio::{task, time};

use super::{
    Attempt, Call, EndpointResponse, EventId, Execution, KvCache, Response, Result, SendError,
    Step, Upstream,
    begin::Begin,
    record::{RequestLog, log_endpoint_ended},
    stream,
};
use crate::{
    clock::Shared,
    directory::Stage,
    dispatch::{Choice, Choose, Demand, Ending, IsSilent, MayRetry, Need, Permit, Ticket},
    error::{Error, Executed, Kind},
    id::{Endpoint, Service, Zone},
    invariant::{self, Invariant},
    route::Route,
    shutdown,
    unit::Tokens,
    usage::RequestBegun,
};

/// Connections that fail without being refused after which a request fails.
const FAILED_CONNECTIONS_MAX: u32 = 3;
/// Sends that a rejected request may use even if its route allows fewer attempts; a rejection means
/// that it has not run.
const REJECTED_SENDS_MIN: u32 = 2;
/// Waits of a request for the end of pauses.
const PAUSES_AWAITED_MAX: u32 = 3;
/// Longest wait for the end of a pause, as a fraction of the time to the deadline: the rest is for the
/// answer. A caller that is refused instead comes back after a third of its time at most.
const PAUSE_FRACTION_MAX: f64 = 0.6;
/// Time to the deadline at or below which a request is not retried.
const RETRY_TIME_MIN: Duration = Duration::from_millis(30);
/// Timeout of an attempt that can be retried, as a multiple of the route's target latency.
const ATTEMPT_TIMEOUT_TARGETS: u32 = 4;
/// Lower bound of that timeout. Shorter timeouts repeat work in every burst.
const ATTEMPT_TIMEOUT_MIN: Duration = Duration::from_millis(600);
/// Time after which an engine without an answer counts as silent, as a multiple of the forecast.
const SILENT_FORECASTS: u32 = 4;
/// Upper bound of that timeout, as a fraction of the time to the deadline.
const ATTEMPT_TIMEOUT_FRACTION: f64 = 0.6;
/// Wait beyond the deadline for a response; the endpoint may still respond in this time.
const DEADLINE_GRACE: Duration = Duration::from_millis(60);
/// Retry-after period of a failed request, as a fraction of the time to its deadline.
const RETRY_AFTER_FRACTION: f64 = 0.1;
/// Upper bound of the retry-after period.
const RETRY_AFTER_MAX: Duration = Duration::from_millis(500);

/// Statuses that tell callers that a request has not run. They are not passed on, because an
/// endpoint that sends one without marking the request as not executed may have run it.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Actors and clients that an exchange uses.
#[derive(Clone, Debug)]
pub struct Ports {
    /// Chooses an endpoint for each attempt.
    pub choose: Recipient<Choose>,
    /// Grants retries within the retry budget of the service.
    pub may_retry: Recipient<MayRetry>,
    /// Tells busy endpoints from silent ones.
    pub is_silent: Recipient<IsSilent>,
    /// Sends attempts to endpoints.
    pub upstream: Rc<dyn Upstream>,
    /// Follows whether the process stops.
    pub shutdown: shutdown::Watch,
    /// Time source of deadlines and latencies.
    pub clock: Shared,
    /// Counts the requests of customers that begin to run; `None` if this is not asked for.
    pub begun: Option<Recipient<RequestBegun>>,
}

/// Forwards a request as its route allows, and returns once the head of the response is known.
///
/// # Errors
///
/// `Kind::NoEndpoint` and `Kind::Overloaded` if the request has not run; `Kind::EndpointLost`,
/// `Kind::EndpointFailed` and `Kind::Deadline` if it may have run.
pub async fn start(call: Call, route: Arc<Route>, ports: Ports) -> Result<Response> {
    let Some(service) = route.select_service(&mut rand::rng()).cloned() else {
        return Err(Error::new(Kind::NoEndpoint, "the route has no service"));
    };
    let timeout = call.timeout.unwrap_or(route.timeout).min(route.timeout);
    let log = RequestLog::new(&call, route.name.clone(), Arc::clone(&ports.clock));
    let begin = Begin::new(&call, ports.begun.clone());
    let mut exchange = Exchange {
        begin,
        deadline: call.arrived + timeout,
        call: Rc::new(call),
        route,
        service,
        ports,
        log,
        excluded: Vec::new(),
        addresses: Vec::new(),
        sends: 0,
        failed_connections: 0,
        pauses_awaited: 0,
        may_have_run: false,
        last_failure: None,
    };
    let resume_after = exchange.call.resume_after;
    let shutdown = exchange.ports.shutdown.clone();
    let clock = Arc::clone(&exchange.ports.clock);
    let obtained = tokio::select! {
        biased;
        obtained = exchange.obtain_response(None, resume_after) => Some(obtained),
        () = shutdown.cut(&*clock) => None,
    };
    match obtained.unwrap_or_else(|| Err(exchange.cut_by_stop())) {
        Ok(accepted) => {
            let response = stream::relay_response(exchange, accepted);
            response.boxed_local().await
        }
        Err(error) => {
            exchange.log.failed(&error);
            Err(error)
        }
    }
}

/// A response that is relayed to the caller, and the ticket of the endpoint that sends it.
pub(super) struct Accepted {
    pub(super) response: EndpointResponse,
    pub(super) ticket: Ticket,
}

/// Outcome of an attempt.
enum Sent {
    /// The response is relayed to the caller.
    Accepted(Box<Accepted>),
    /// Another endpoint is tried.
    Retry,
}

/// Outcome of a prefill step.
enum Prefill {
    /// The request is ready to run.
    Done(Box<Ticket>, Step),
    /// It failed, and the request has not run. Another endpoint is tried: that of the ticket, or one
    /// that is to be chosen.
    Retry(Option<Box<Ticket>>),
}

/// Outcome of the wait for an answer.
enum Wait {
    /// The endpoint answered, or the attempt failed.
    Ended(std::result::Result<EndpointResponse, SendError>),
    /// The endpoint is silent, and another one is reserved.
    Moved(Box<Ticket>),
    /// Another endpoint has answered instead of a silent one, or of one that was lost.
    Elsewhere { accepted: Box<Accepted>, lost: bool },
    /// The deadline has passed.
    TimedOut,
}

/// Whether a failed attempt is retried.
enum Decision {
    /// Choose another endpoint.
    Retry,
    /// Fail the request.
    GiveUp(Error),
}

/// State of a request over all of its attempts.
pub(super) struct Exchange {
    pub(super) call: Rc<Call>,
    pub(super) route: Arc<Route>,
    pub(super) deadline: Instant,
    pub(super) ports: Ports,
    pub(super) log: RequestLog,
    service: Service,
    /// Reports when the request begins to run.
    begin: Begin,
    excluded: Vec<Endpoint>,
    /// Where attempts were sent to; two endpoints can be listed with one address for a while.
    addresses: Vec<SocketAddr>,
    sends: u32,
    failed_connections: u32,
    pauses_awaited: u32,
    may_have_run: bool,
    /// Why the last attempt failed.
    last_failure: Option<String>,
}

impl Exchange {
    /// Endpoints that the request was sent to.
    pub(super) const fn sends(&self) -> u32 {
        self.sends
    }

    /// Time to the deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline
            .saturating_duration_since(self.ports.clock.now())
    }

    /// Sends the request until an endpoint responds, or until no retry is allowed. The first
    /// endpoint is that of `reserved`, if given.
    pub(super) async fn obtain_response(
        &mut self,
        mut reserved: Option<Ticket>,
        resume_after: Option<EventId>,
    ) -> Result<Accepted> {
        let mut need = Need::Start;
        loop {
            if self.remaining().is_zero() {
                return Err(self.give_up("the deadline has passed"));
            }
            let ticket = match reserved.take() {
                Some(ticket) => ticket,
                None => self.choose_open(need, None).await?,
            };
            need = Need::PrefillAndDecode;
            self.log.placed(ticket.choice());
            let prefills = ticket.choice().instance.stage == Some(Stage::Prefill);
            let (ticket, step) = if prefills {
                match self.prefill(ticket, resume_after).await? {
                    Prefill::Done(ticket, step) => (*ticket, step),
                    Prefill::Retry(next) => {
                        reserved = next.map(|ticket| *ticket);
                        continue;
                    }
                }
            } else {
                (ticket, Step::Whole)
            };
            if let Sent::Accepted(accepted) = self.send_attempt(ticket, step, resume_after).await? {
                return Ok(*accepted);
            }
        }
    }

    /// Runs the prefill step, and chooses the engine for the decode step.
    async fn prefill(&mut self, ticket: Ticket, resume_after: Option<EventId>) -> Result<Prefill> {
        let instance = Arc::clone(&ticket.choice().instance);
        let permit = ticket.permit();
        let attempt = self.new_attempt(&ticket, Step::Prefill, resume_after);
        let limit = silent_after(ticket.choice().forecast);
        let handle = match self.send_and_wait(&ticket, attempt, limit).await {
            Wait::Ended(Ok(EndpointResponse {
                cache: Some(handle),
                load,
                ..
            })) => {
                let mut ticket = ticket;
                self.log.prefilled();
                ticket.record_first_response(load, true);
                ticket.end(Ending::Served);
                handle
            }
            Wait::Ended(Ok(response)) => {
                self.log
                    .retried(&format!("prefill: status {}", response.status));
                ticket.end(self.ending_of(&response, true));
                self.excluded.push(instance.id.clone());
                return self.check_prefill_retry().await;
            }
            Wait::Ended(Err(error @ SendError::Withheld)) => {
                self.log.retried(&format!("prefill: {error}"));
                return Ok(Prefill::Retry(None));
            }
            Wait::Ended(Err(error)) => {
                self.log.retried(&format!("prefill: {error}"));
                self.excluded.push(instance.id.clone());
                match error {
                    SendError::Refused(_) => {
                        ticket.end(Ending::Down);
                        return Ok(Prefill::Retry(None));
                    }
                    // A planned leave is no failure.
                    SendError::Interrupted(_) => ticket.end(Ending::Abandoned),
                    _ => self.end_lost(ticket),
                }
                return self.check_prefill_retry().await;
            }
            Wait::Moved(next) => {
                self.end_silent(ticket, false).await;
                return Ok(Prefill::Retry(Some(next)));
            }
            // Only a request that runs is answered elsewhere while it waits.
            Wait::Elsewhere { .. } | Wait::TimedOut => {
                let ending = self.ending_of_timeout(ticket.choice()).await;
                ticket.end(ending);
                return Err(self.give_up("the deadline has passed"));
            }
        };
        let cache = KvCache {
            source: instance.address,
            handle,
        };
        let guard = UnusedCache {
            cache: Some((cache, permit)),
            upstream: Rc::clone(&self.ports.upstream),
        };
        let preferred_zone = Some(instance.zone.clone());
        let ticket = self.choose_open(Need::Decode, preferred_zone).await?;
        let cache = guard.take();
        Ok(cache.map_or(Prefill::Retry(None), |cache| {
            Prefill::Done(Box::new(ticket), Step::Decode(cache))
        }))
    }

    /// Fails unless the retry budget allows another attempt after a failed prefill.
    async fn check_prefill_retry(&mut self) -> Result<Prefill> {
        if self.remaining() <= RETRY_TIME_MIN {
            return Err(self.give_up("the deadline has passed"));
        }
        if self.spend_retry_budget().await? {
            return Ok(Prefill::Retry(None));
        }
        Err(self.give_up("the retry budget is used up"))
    }

    /// Sends the request to an endpoint that runs it.
    async fn send_attempt(
        &mut self,
        mut ticket: Ticket,
        step: Step,
        resume_after: Option<EventId>,
    ) -> Result<Sent> {
        let what = match &step {
            Step::Decode(_) => "decode",
            _ => "whole",
        };
        self.log.sent(ticket.choice(), what);
        self.sends += 1;
        let attempt = self.new_attempt(&ticket, step, resume_after);
        let is_generation = self.call.generation.is_some();
        if !is_generation {
            self.begin.sent(self.ports.clock.now());
        }
        let limit = self.attempt_timeout();
        let outcome = self.send_and_wait(&ticket, attempt, limit).await;
        let id = ticket.choice().instance.id.clone();
        let decision = match outcome {
            Wait::Ended(Ok(response)) => {
                ticket.record_first_response(response.load, response.status < 300);
                if response.execution != Execution::MayHaveRun {
                    self.discount_send();
                } else if !is_generation || response.status < 300 {
                    self.begin.began(self.ports.clock.now());
                }
                match self.classify(&response).await? {
                    None => {
                        let accepted = Accepted { response, ticket };
                        return Ok(Sent::Accepted(Box::new(accepted)));
                    }
                    Some(decision) => {
                        ticket.end(self.ending_of(&response, false));
                        decision
                    }
                }
            }
            Wait::Ended(Err(error @ SendError::Withheld)) => {
                self.discount_send();
                self.log.retried(&error.to_string());
                self.sends -= 1;
                return Ok(Sent::Retry);
            }
            Wait::Ended(Err(SendError::Refused(detail))) => {
                ticket.end(Ending::Down);
                self.discount_send();
                self.sends -= 1;
                // Each endpoint is tried once, and a refusal takes one round trip.
                self.after_unsent(&detail)
            }
            Wait::Ended(Err(SendError::NotSent(detail))) => {
                ticket.end(Ending::Lost);
                self.discount_send();
                self.sends -= 1;
                self.failed_connections += 1;
                self.after_unsent(&detail)
            }
            Wait::Ended(Err(SendError::Interrupted(detail))) => {
                // A planned leave is no failure.
                ticket.end(Ending::Abandoned);
                self.may_have_run = true;
                self.after_possible_execution(&detail).await?
            }
            Wait::Ended(Err(SendError::Lost(detail))) => {
                self.end_lost(ticket);
                self.may_have_run = true;
                self.after_possible_execution(&detail).await?
            }
            Wait::Elsewhere { accepted, lost } => {
                self.end_silent(ticket, lost).await;
                return Ok(Sent::Accepted(accepted));
            }
            // Only a prefill moves without an answer.
            Wait::Moved(_) | Wait::TimedOut => {
                let ending = self.ending_of_timeout(ticket.choice()).await;
                ticket.end(ending);
                self.may_have_run = true;
                self.after_possible_execution("no answer in time").await?
            }
        };
        self.excluded.push(id);
        match decision {
            Decision::Retry => Ok(Sent::Retry),
            Decision::GiveUp(error) => Err(error),
        }
    }

    /// Does not count a send that has not run, unless an earlier one of the request may have.
    fn discount_send(&mut self) {
        if !self.may_have_run {
            self.begin.not_run();
        }
    }

    /// Decides about a response. `None` means that it is passed on to the caller.
    async fn classify(&mut self, response: &EndpointResponse) -> Result<Option<Decision>> {
        match response.execution {
            Execution::Rejected | Execution::Replaced => {
                let why = format!("rejected: status {}", response.status);
                return self.after_rejection(&why).await.map(Some);
            }
            Execution::MayHaveRun => self.may_have_run = true,
        }
        if response.status < 500 && !NOT_EXECUTED_STATUSES.contains(&response.status) {
            return Ok(None);
        }
        match self
            .after_possible_execution(&format!("status {}", response.status))
            .await?
        {
            // The error response of the endpoint tells the caller more than a generic error.
            Decision::GiveUp(_) if !NOT_EXECUTED_STATUSES.contains(&response.status) => Ok(None),
            decision => Ok(Some(decision)),
        }
    }

    /// Timeout of the current attempt. An attempt that cannot be retried may use all of the
    /// remaining time.
    fn attempt_timeout(&self) -> Duration {
        let remaining = self.remaining() + DEADLINE_GRACE;
        if !self.has_attempts() {
            return remaining;
        }
        let timeout =
            (self.route.latency_target * ATTEMPT_TIMEOUT_TARGETS).max(ATTEMPT_TIMEOUT_MIN);
        timeout.min(remaining.mul_f64(ATTEMPT_TIMEOUT_FRACTION))
    }

    /// Sends an attempt and waits for its answer. After `limit`, and from then on at an interval,
    /// another endpoint is asked too if this one is silent: if it has answered no request since it was
    /// selected. Otherwise it is only busy, and a second attempt would add work and wait again. The
    /// silent endpoint keeps the request until the other one has answered, since it may be sound.
    async fn send_and_wait(&mut self, ticket: &Ticket, attempt: Attempt, limit: Duration) -> Wait {
        let choice = ticket.choice();
        let id = choice.instance.id.clone();
        let is_prefill = attempt.step == Step::Prefill;
        let resume_after = attempt.resume_after;
        let upstream = Rc::clone(&self.ports.upstream);
        let mut sent = pin!(upstream.send(attempt));
        let mut limit = limit;
        loop {
            let remaining = self.remaining() + DEADLINE_GRACE;
            match time::timeout(limit.min(remaining), sent.as_mut()).await {
                Ok(answer) => return Wait::Ended(answer),
                Err(_elapsed) if limit >= remaining => return Wait::TimedOut,
                Err(_elapsed) => {}
            }
            limit = ATTEMPT_TIMEOUT_MIN;
            if !(is_prefill || self.has_attempts()) || !self.is_silent(choice).await {
                continue;
            }
            let Some(reserved) = self.reserve(&id, Need::PrefillAndDecode).await else {
                continue;
            };
            self.log.retried("no answer in time");
            if is_prefill {
                // The other endpoint runs the request, so this step must not lead to a second run.
                return Wait::Moved(Box::new(reserved));
            }
            self.may_have_run = true;
            let other = self.obtain_response(Some(reserved), resume_after);
            let (answer, accepted) = first_answer(sent.as_mut(), other.boxed_local()).await;
            if let Some(accepted) = accepted {
                let lost = matches!(answer, Some(Err(SendError::Lost(_))));
                let accepted = Box::new(accepted);
                return Wait::Elsewhere { accepted, lost };
            }
            self.log.stayed(&id, "no other endpoint has answered");
            if let Some(answer) = answer {
                return Wait::Ended(answer);
            }
        }
    }

    /// Ends the attempt at an endpoint instead of which another one has answered.
    async fn end_silent(&self, ticket: Ticket, lost: bool) {
        if lost {
            return self.end_lost(ticket);
        }
        let ending = self.ending_of_timeout(ticket.choice()).await;
        ticket.end(ending);
    }

    /// Returns whether the endpoint has answered no request since it was selected.
    async fn is_silent(&self, choice: &Choice) -> bool {
        let asked = self.ports.is_silent.send(IsSilent {
            endpoint: choice.instance.id.clone(),
            since: choice.selected_at,
        });
        // Without the dispatcher the process is stopping.
        asked.await.unwrap_or(false)
    }

    /// How an attempt without an answer ended: as a failure if the endpoint is silent for much longer
    /// than expected. Otherwise the request waited in its queue until the deadline.
    async fn ending_of_timeout(&self, choice: &Choice) -> Ending {
        let waited = self.ports.clock.now() - choice.selected_at;
        if waited >= silent_after(choice.forecast) && self.is_silent(choice).await {
            Ending::Failed
        } else {
            Ending::Abandoned
        }
    }

    /// How the attempt ended at its endpoint, judged by the head of the response.
    fn ending_of(&self, response: &EndpointResponse, prefill: bool) -> Ending {
        if response.notice.pause.is_some() {
            return Ending::Paused;
        }
        match response.execution {
            // The deadline passed in the queue of the endpoint, which is not full.
            Execution::Rejected if self.remaining() <= RETRY_TIME_MIN => Ending::Abandoned,
            Execution::Rejected => Ending::Rejected,
            Execution::Replaced => Ending::Replaced,
            Execution::MayHaveRun if response.status >= 500 || prefill => Ending::Failed,
            Execution::MayHaveRun => Ending::Served,
        }
    }

    /// Ends an attempt whose connection was lost. Finds out in the background whether the endpoint has
    /// ended, if the request has parts that may be the cause.
    pub(super) fn end_lost(&self, ticket: Ticket) {
        if self.call.shared_parts.is_empty() {
            return ticket.end(Ending::Lost);
        }
        let call = Rc::clone(&self.call);
        let instance = Arc::clone(&ticket.choice().instance);
        let refuses = self.ports.upstream.refuses_connections(instance.address);
        task::spawn_local(async move {
            if refuses.await {
                log_endpoint_ended(&call, &instance.id);
                ticket.end(Ending::Crashed);
            } else {
                ticket.end(Ending::Lost);
            }
        });
    }

    async fn after_possible_execution(&mut self, why: &str) -> Result<Decision> {
        self.last_failure = Some(why.to_owned());
        let allowed = self.has_attempts();
        if allowed && self.remaining() > RETRY_TIME_MIN && self.spend_retry_budget().await? {
            self.log.retried(why);
            return Ok(Decision::Retry);
        }
        Ok(Decision::GiveUp(self.give_up(why)))
    }

    async fn after_rejection(&mut self, why: &str) -> Result<Decision> {
        let allowed = self.sends < self.route.attempts.max(REJECTED_SENDS_MIN);
        if allowed && self.remaining() > RETRY_TIME_MIN && self.spend_retry_budget().await? {
            self.log.retried(why);
            return Ok(Decision::Retry);
        }
        Ok(Decision::GiveUp(self.give_up(why)))
    }

    fn after_unsent(&mut self, why: &str) -> Decision {
        if self.failed_connections < FAILED_CONNECTIONS_MAX && self.remaining() > RETRY_TIME_MIN {
            self.log.retried(why);
            return Decision::Retry;
        }
        Decision::GiveUp(self.give_up(why))
    }

    /// Whether the request may be sent once more although it may have run.
    pub(super) fn has_attempts(&self) -> bool {
        self.route.kind.is_repeatable() && self.sends < self.route.attempts
    }

    /// Reserves an endpoint other than the given one, which keeps the request if there is none, or
    /// if the retry budget is used up.
    pub(super) async fn reserve(&mut self, endpoint: &Endpoint, need: Need) -> Option<Ticket> {
        if self.remaining() <= RETRY_TIME_MIN {
            return None;
        }
        self.excluded.push(endpoint.clone());
        let reserved = match self.choose(need, None).await {
            Ok(ticket) => self
                .spend_retry_budget()
                .await
                .map(|allowed| allowed.then_some(ticket)),
            Err(error) => Err(error),
        };
        let reserved = reserved.unwrap_or_else(|error| {
            log::debug!(endpoint:% = endpoint, error:% = error;
                "no other endpoint can take the request of a silent one");
            None
        });
        if reserved.is_none() {
            self.excluded.pop();
        }
        reserved
    }

    /// Whether a broken stream may be resumed at an endpoint other than the given one.
    pub(super) async fn may_resume(&mut self, endpoint: &Endpoint) -> bool {
        let allowed = self.has_attempts();
        self.excluded.push(endpoint.clone());
        if !allowed || self.remaining() <= RETRY_TIME_MIN {
            return false;
        }
        self.spend_retry_budget().await.unwrap_or_else(|error| {
            log::info!(error:% = error; "retry budget is unavailable; stream is not resumed");
            false
        })
    }

    /// The error for a request that fails now. Only a request that has not run gets a status that
    /// says so.
    fn give_up(&self, why: &str) -> Error {
        if !self.may_have_run {
            let period = self
                .remaining()
                .mul_f64(RETRY_AFTER_FRACTION)
                .min(RETRY_AFTER_MAX);
            return Error::new(Kind::Overloaded, format!("not run: {why}"))
                .with_retry_after(period);
        }
        let kind = if self.remaining().is_zero() {
            Kind::Deadline
        } else {
            Kind::EndpointLost
        };
        let error = Error::new(kind, why);
        invariant::check(Invariant::NotRun, error.executed() != Executed::No, || {
            format!("{error} reports a request as not executed that may have run")
        });
        error
    }

    /// The error for a request that is in progress at the end of a stop.
    fn cut_by_stop(&self) -> Error {
        metrics::counter!("stop_cuts_total", "phase" => "waiting").increment(1);
        // An attempt in progress is not marked as possibly run before it has ended.
        if self.may_have_run || self.sends > 0 {
            return Error::new(Kind::Deadline, "the process stops before the answer");
        }
        Error::new(Kind::Leaving, "the process stops; not run")
    }

    /// Chooses an endpoint, and waits if all of them pause and one opens early enough.
    async fn choose_open(&mut self, need: Need, preferred_zone: Option<Zone>) -> Result<Ticket> {
        loop {
            let error = match self.choose(need, preferred_zone.clone()).await {
                Err(error) if error.kind() == Kind::Paused => error,
                chosen => return chosen,
            };
            let wait_max = self.remaining().mul_f64(PAUSE_FRACTION_MAX);
            let opens_in = error.retry_after().filter(|time| *time <= wait_max);
            match opens_in {
                Some(opens_in) if self.pauses_awaited < PAUSES_AWAITED_MAX => {
                    self.pauses_awaited += 1;
                    self.log.waits(opens_in);
                    time::sleep(opens_in).await;
                }
                _ => return Err(error),
            }
        }
    }

    async fn choose(&self, need: Need, preferred_zone: Option<Zone>) -> Result<Ticket> {
        let generation = self.call.generation;
        let demand = Demand {
            service: self.service.clone(),
            need,
            route: Some(self.route.name.clone()),
            customer: self
                .call
                .customer
                .as_ref()
                .map(|customer| customer.name.clone()),
            rank: self.route.rank_for(self.call.customer.as_deref()),
            latency_target: self.route.latency_target,
            waited: self
                .ports
                .clock
                .now()
                .saturating_duration_since(self.call.arrived),
            prompt: generation.map_or(Tokens::ZERO, |generation| generation.prompt),
            max_output: generation.map_or(Tokens::ZERO, |generation| generation.max_output),
            shared_prefix: generation.map_or(Tokens::ZERO, |generation| generation.shared),
            shared_parts: Arc::clone(&self.call.shared_parts),
            affinity: generation.and_then(|generation| generation.affinity),
            remaining: self.remaining(),
            excluded: self.excluded.clone(),
            preferred_zone,
        };
        let ticket = self.ports.choose.send(Choose(demand)).await;
        ticket
            .unwrap_or_else(|error| Err(dispatcher_stopped(error)))
            .map_err(|error| {
                // The dispatcher reports the request as not executed, but an earlier attempt may
                // have run it.
                if self.may_have_run {
                    let failure = self.last_failure.as_deref().unwrap_or("no answer");
                    Error::new(Kind::EndpointLost, format!("{failure}; {}", error.detail()))
                } else if matches!(
                    error.kind(),
                    Kind::Overloaded | Kind::Paused | Kind::Quarantined
                ) {
                    // The dispatcher knows when to come back.
                    error
                } else {
                    error.with_retry_after(
                        self.remaining()
                            .mul_f64(RETRY_AFTER_FRACTION)
                            .min(RETRY_AFTER_MAX),
                    )
                }
            })
    }

    fn new_attempt(
        &mut self,
        ticket: &Ticket,
        step: Step,
        resume_after: Option<EventId>,
    ) -> Attempt {
        let address = ticket.choice().instance.address;
        let repeats_address = self.addresses.contains(&address);
        if !repeats_address {
            self.addresses.push(address);
        }
        Attempt {
            call: Rc::clone(&self.call),
            instance: Arc::clone(&ticket.choice().instance),
            permit: ticket.permit(),
            remaining: self.remaining(),
            rank: ticket.choice().rank,
            fetch_from: ticket.choice().fetch_from,
            step,
            resume_after,
            repeats_address,
        }
    }

    /// Takes one retry from the budget of the service. Returns whether there was one.
    async fn spend_retry_budget(&self) -> Result<bool> {
        let allowed = self
            .ports
            .may_retry
            .send(MayRetry(self.service.clone()))
            .await
            .map_err(dispatcher_stopped)?;
        if !allowed {
            metrics::counter!("repeats_denied_total", "service" => self.service.to_string())
                .increment(1);
        }
        Ok(allowed)
    }
}

/// Answer of an endpoint, or the reason why there is none.
type Answer = std::result::Result<EndpointResponse, SendError>;

/// Waits for the first useful answer of a silent endpoint and of the other one that was asked, and
/// cancels the other attempt. If both fail, only the answer of the silent endpoint is returned, if it
/// has sent one.
async fn first_answer(
    mut sent: Pin<&mut impl Future<Output = Answer>>,
    mut other: LocalBoxFuture<'_, Result<Accepted>>,
) -> (Option<Answer>, Option<Accepted>) {
    tokio::select! {
        biased;
        answer = sent.as_mut() => {
            let useful = answer.as_ref().is_ok_and(|response| {
                response.status < 500 && response.execution == Execution::MayHaveRun
            });
            let accepted = if useful { None } else { other.await.ok() };
            (Some(answer), accepted)
        }
        accepted = &mut other => (None, accepted.ok()),
    }
}

/// Frees a KV cache on drop, unless a decode step has taken it.
struct UnusedCache {
    cache: Option<(KvCache, Permit)>,
    upstream: Rc<dyn Upstream>,
}

impl UnusedCache {
    fn take(mut self) -> Option<KvCache> {
        self.cache.take().map(|(cache, _)| cache)
    }
}

impl Drop for UnusedCache {
    fn drop(&mut self) {
        if let Some((cache, permit)) = self.cache.take() {
            self.upstream.release_cache(cache, permit);
        }
    }
}

/// Time without an answer after which an endpoint counts as silent, if an answer was expected after
/// `forecast`.
fn silent_after(forecast: Duration) -> Duration {
    (forecast * SILENT_FORECASTS).max(ATTEMPT_TIMEOUT_MIN)
}

fn dispatcher_stopped(error: MailboxError) -> Error {
    Error::new(Kind::Leaving, "the process is shutting down").with_source(error)
}
