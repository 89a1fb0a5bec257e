use std::time::Duration;

use tokio::{sync::mpsc, time};

use super::{
    Disposition, Relay, Request, ResponseAssembler, ResponsePart, ResponseSummary, Result,
    guard::{OfferGuard, SubmitGuard},
    meter::RequestMetrics,
    outcome,
};
use crate::{
    admission::{self, Permit},
    error::{Error, Executed, Kind},
    id::{self, Attempt, Endpoint},
    link::{self, Event},
    operator::Tally,
    routing::{self, Choice, Demand, Ending},
    unit::Bytes,
    wire::{self, Chunk, End, Fail, Work},
};

/// Bytes of a response that an agent may send ahead of what the caller has read.
const CREDIT_WINDOW: Bytes = Bytes::new(64 << 10);
/// Consumed bytes that trigger a credit grant, so that not every chunk costs a message.
const CREDIT_GRANT_MIN: Bytes = Bytes::new(16 << 10);

/// A request in progress. Its response is read with [`Exchange::next`].
#[derive(Debug)]
pub struct Exchange {
    relay: Relay,
    request: Request,
    stage: Stage,
    assembler: ResponseAssembler,
    /// Endpoints of failed attempts, which later attempts skip.
    excluded: Vec<Endpoint>,
    /// Endpoint of the last attempt, for logs.
    last_endpoint: Option<Endpoint>,
    /// Whether an attempt may have run, so that a later failure is not reported as `executed: no`.
    may_have_run: bool,
    /// Whether the complete response met its latency targets.
    in_time: bool,
    metrics: RequestMetrics,
}

#[derive(Debug)]
enum Stage {
    /// Not admitted yet.
    Queued,
    /// Admitted, without an attempt in progress.
    Admitted(Permit),
    /// An attempt is in progress.
    Running(Permit, Running),
    /// Complete or failed.
    Finished,
}

#[derive(Debug)]
struct Running {
    choice: Choice,
    events: mpsc::UnboundedReceiver<Event>,
    /// Bytes read by the caller for which no credit has been granted yet.
    ungranted: Bytes,
}

impl Exchange {
    pub(super) fn new(relay: Relay, request: Request) -> Self {
        let metrics = RequestMetrics::new(
            relay.clock.now(),
            &request.caller,
            &request.class,
            request.target,
        );
        let assembler = ResponseAssembler::new(Attempt::first(request.id));
        Self {
            relay,
            request,
            stage: Stage::Queued,
            assembler,
            excluded: Vec::new(),
            last_endpoint: None,
            may_have_run: false,
            in_time: false,
            metrics,
        }
    }

    /// Id of the request, shared by all its attempts.
    #[must_use]
    pub const fn id(&self) -> id::Request {
        self.request.id
    }

    /// Returns the next part of the response, or `None` after the end or an error.
    ///
    /// This method is not cancel safe: dropping the future before it is ready may end the exchange
    /// without an error, so the caller has to drop the exchange as well.
    ///
    /// # Errors
    ///
    /// Fails once, if the request is rejected or its response cannot be completed. The response is
    /// complete only after [`ResponsePart::End`].
    pub async fn next(&mut self) -> Option<Result<ResponsePart>> {
        if matches!(self.stage, Stage::Finished) {
            return None;
        }
        let part = self.advance().await;
        if !matches!(part, Ok(ResponsePart::Data(_))) {
            let attempts = self.assembler.current_attempt().number();
            outcome::log_end(&self.request, self.last_endpoint.as_ref(), attempts, &part);
            let verdict = outcome::tally_verdict(&part, self.in_time);
            let class = self.request.class.clone();
            self.relay.ports.tally.do_send(Tally { class, verdict });
            self.stage = Stage::Finished;
        }
        Some(part)
    }

    async fn advance(&mut self) -> Result<ResponsePart> {
        loop {
            match std::mem::replace(&mut self.stage, Stage::Finished) {
                Stage::Queued => {
                    let permit = self.admit().await?;
                    self.stage = Stage::Admitted(permit);
                }
                Stage::Admitted(permit) => {
                    let started = self.start_attempt().await;
                    self.stage = match started {
                        Ok(running) => Stage::Running(permit, running),
                        Err(error) => {
                            self.retry_or_fail(error).await?;
                            Stage::Admitted(permit)
                        }
                    };
                }
                Stage::Running(permit, running) => {
                    self.stage = Stage::Running(permit, running);
                    if let Some(part) = self.next_event().await? {
                        return Ok(part);
                    }
                }
                Stage::Finished => {
                    return Err(Error::new(Kind::Internal, "the request is over"));
                }
            }
        }
    }

    async fn admit(&self) -> Result<Permit> {
        let guard = OfferGuard::new(&self.relay, self.request.id);
        let offer = admission::Offer {
            request: self.request.id,
            caller: self.request.caller.clone(),
            class: self.request.class.clone(),
            pool: self.request.pool.clone(),
            cost: self.request.cost,
            deadline: self.request.admission_deadline,
        };
        let answer = self.relay.ports.offer.send(offer).await;
        guard.disarm();
        let permit = answer.map_err(outcome::mailbox_error)??;
        self.metrics.record_admission(self.relay.clock.now());
        Ok(permit)
    }

    /// Selects an endpoint and sends the attempt to its agent.
    async fn start_attempt(&mut self) -> Result<Running> {
        let demand = Demand {
            pool: self.request.pool.clone(),
            class: self.request.class.clone(),
            cost: self.request.cost,
            prefix: self.request.prefix.clone(),
            excluded: self.excluded.clone(),
        };
        let choose = self.relay.ports.choose.send(routing::Choose(demand)).await;
        let choice = choose.map_err(outcome::mailbox_error)??;
        self.last_endpoint = Some(choice.endpoint().clone());
        let (sender, events) = mpsc::unbounded_channel();
        let endpoint = choice.endpoint().clone();
        let guard = SubmitGuard::new(&self.relay, &endpoint, self.assembler.current_attempt());
        let submit = link::Submit {
            endpoint,
            submit: self.submit_message(),
            events: sender,
        };
        let sent = self
            .relay
            .ports
            .submit
            .send(submit)
            .await
            .map_err(outcome::mailbox_error);
        guard.disarm();
        match sent.and_then(std::convert::identity) {
            Ok(()) => Ok(Running {
                choice,
                events,
                ungranted: Bytes::ZERO,
            }),
            Err(error) => {
                self.excluded.push(choice.endpoint().clone());
                choice.finish(Ending::Refused);
                Err(error)
            }
        }
    }

    fn submit_message(&self) -> wire::Submit {
        let mut work = self.request.work.clone();
        if let Work::Generate(generate) = &mut work {
            generate.resume = self.assembler.received();
        }
        wire::Submit {
            attempt: self.assembler.current_attempt(),
            // The connection pool fills in the incarnation of the connected agent.
            incarnation: id::Incarnation::from_bytes([0; 8]),
            caller: self.request.caller.clone(),
            class: self.request.class.clone(),
            priority: self.request.priority,
            time_left: self.time_left(),
            credit: CREDIT_WINDOW,
            work,
        }
    }

    /// Time until the deadline of the complete response; zero once it has passed.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.request
            .response_deadline
            .saturating_duration_since(self.relay.clock.now())
    }

    /// Handles the next event of the attempt. Returns `None` if it yields nothing for the caller.
    async fn next_event(&mut self) -> Result<Option<ResponsePart>> {
        let time_left = self.time_left();
        let Stage::Running(_, running) = &mut self.stage else {
            return Ok(None);
        };
        let event = time::timeout(time_left, running.events.recv()).await;
        match event {
            Err(_elapsed) => {
                self.may_have_run = true;
                self.cancel_attempt(Ending::Failed);
                Err(Error::new(
                    Kind::Deadline,
                    "the answer was not complete in time",
                ))
            }
            Ok(None | Some(Event::Disconnected)) => {
                let error = Error::new(Kind::EndpointLost, "the connection to the agent was lost");
                self.fail_attempt(error).await
            }
            Ok(Some(Event::Chunk(chunk))) => self.handle_chunk(chunk).await,
            Ok(Some(Event::End(end))) => self.handle_end(end).await,
            Ok(Some(Event::Fail(fail))) => self.handle_fail(fail).await,
        }
    }

    async fn handle_chunk(&mut self, chunk: Chunk) -> Result<Option<ResponsePart>> {
        // A chunk proves that the attempt ran, even if it later fails with `executed: no`.
        self.may_have_run |= chunk.attempt == self.assembler.current_attempt();
        match self.assembler.accept_chunk(&chunk) {
            Disposition::Ignore => Ok(None),
            Disposition::Gap => self.fail_with_gap().await,
            Disposition::Accept => {
                self.metrics.record_part(self.relay.clock.now());
                self.grant_credit(chunk.data.len());
                Ok(Some(ResponsePart::Data(chunk.data)))
            }
        }
    }

    async fn handle_end(&mut self, end: End) -> Result<Option<ResponsePart>> {
        match self.assembler.accept_end(&end) {
            Disposition::Ignore => Ok(None),
            Disposition::Gap => self.fail_with_gap().await,
            Disposition::Accept => {
                self.assembler.check_complete(self.request.id, end.length);
                self.in_time = self.metrics.record_end(self.relay.clock.now());
                self.release_endpoint(Ending::Served);
                Ok(Some(ResponsePart::End(ResponseSummary {
                    reason: end.reason,
                    status: end.status,
                    prompt_tokens: end.input,
                    generated_tokens: end.output,
                    length: end.length,
                })))
            }
        }
    }

    async fn handle_fail(&mut self, fail: Fail) -> Result<Option<ResponsePart>> {
        if fail.attempt != self.assembler.current_attempt() {
            return Ok(None);
        }
        let error = Error::new(fail.kind, fail.detail).with_executed(fail.executed);
        self.fail_attempt(error).await
    }

    async fn fail_with_gap(&mut self) -> Result<Option<ResponsePart>> {
        let error = Error::new(Kind::EndpointFailed, "a part of the answer is missing");
        self.fail_attempt(error).await
    }

    /// Cancels the failed attempt and prepares a retry if the request allows one.
    async fn fail_attempt(&mut self, error: Error) -> Result<Option<ResponsePart>> {
        self.may_have_run |= error.executed() != Executed::No;
        self.cancel_attempt(outcome::endpoint_ending(&error));
        self.retry_or_fail(error).await?;
        Ok(None)
    }

    /// Prepares the next attempt, or returns the error for the caller if no retry is allowed.
    async fn retry_or_fail(&mut self, error: Error) -> Result<()> {
        if self.can_retry(&error) && self.budget_allows_retry(&error).await {
            outcome::log_retry(&self.request, self.last_endpoint.as_ref(), &error);
            self.assembler.next_attempt();
            return Ok(());
        }
        Err(outcome::caller_error(
            error,
            self.may_have_run,
            self.request.id,
        ))
    }

    /// Whether another attempt is safe and may succeed.
    fn can_retry(&self, error: &Error) -> bool {
        let safe = match &self.request.work {
            Work::Generate(_) => true,
            Work::Invoke(invoke) if invoke.at_most_once => {
                error.executed() == Executed::No && !self.may_have_run
            }
            Work::Invoke(_) => self.assembler.received() == Bytes::ZERO,
        };
        outcome::other_endpoint_may_succeed(error) && safe && !self.time_left().is_zero()
    }

    /// Whether the retry budget allows another attempt. Only failures draw on the budget: a refused
    /// attempt causes no work, and each endpoint refuses a request at most once.
    async fn budget_allows_retry(&self, error: &Error) -> bool {
        let refused = error.executed() == Executed::No;
        refused
            || self
                .relay
                .ports
                .may_retry
                .send(routing::MayRetry)
                .await
                .unwrap_or(false)
    }

    /// Grants the agent credit for `length` bytes that the caller has read.
    fn grant_credit(&mut self, length: usize) {
        let attempt = self.assembler.current_attempt();
        let Stage::Running(_, running) = &mut self.stage else {
            return;
        };
        running.ungranted += Bytes::new(length as u64);
        if running.ungranted >= CREDIT_GRANT_MIN {
            let bytes = std::mem::take(&mut running.ungranted);
            let endpoint = running.choice.endpoint().clone();
            self.relay.ports.credit.do_send(link::Credit {
                endpoint,
                attempt,
                bytes,
            });
        }
    }

    /// Cancels the current attempt and excludes its endpoint from later ones.
    fn cancel_attempt(&mut self, ending: Ending) {
        let attempt = self.assembler.current_attempt();
        if let Some(endpoint) = self.release_endpoint(ending) {
            self.excluded.push(endpoint.clone());
            self.relay
                .ports
                .cancel
                .do_send(link::Cancel { endpoint, attempt });
        }
    }

    /// Reports the end of the attempt to the router and keeps the permit for the next attempt.
    fn release_endpoint(&mut self, ending: Ending) -> Option<Endpoint> {
        match std::mem::replace(&mut self.stage, Stage::Finished) {
            Stage::Running(permit, running) => {
                let endpoint = running.choice.endpoint().clone();
                running.choice.finish(ending);
                self.stage = Stage::Admitted(permit);
                Some(endpoint)
            }
            other => {
                self.stage = other;
                None
            }
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Stage::Running(..) = &self.stage {
            log::info!(request:% = self.request.id, caller:% = self.request.caller;
                "caller disconnected; canceling the attempt");
            self.cancel_attempt(Ending::Abandoned);
        }
    }
}
