use std::time::Duration;

use tokio::{sync::mpsc, time};

use super::{
    Assembly, Part, Relay, Request, Result, Step, Summary,
    guard::{Leave, Withdraw},
    meter::Meter,
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

/// Bytes of an answer that may be on their way to the caller.
const WINDOW: Bytes = Bytes::new(64 << 10);
/// Credit is granted again once this much was read, so that not every chunk costs a message.
const GRANT: Bytes = Bytes::new(16 << 10);

/// A request on its way.
#[derive(Debug)]
pub struct Exchange {
    relay: Relay,
    request: Request,
    stage: Stage,
    assembly: Assembly,
    avoid: Vec<Endpoint>,
    /// Endpoint of the last attempt, for logs.
    last: Option<Endpoint>,
    /// Whether an attempt may have run, so that a later failure is not reported as `executed: no`.
    maybe_run: bool,
    in_time: bool,
    meter: Meter,
}

#[derive(Debug)]
enum Stage {
    /// Not admitted yet.
    Waiting,
    /// Admitted; the next attempt has to be started.
    Admitted(Permit),
    /// An attempt is in progress.
    Running(Permit, Running),
    /// Ended or failed.
    Over,
}

#[derive(Debug)]
struct Running {
    choice: Choice,
    events: mpsc::UnboundedReceiver<Event>,
    ungranted: Bytes,
}

impl Exchange {
    pub(super) fn new(relay: Relay, request: Request) -> Self {
        let meter = Meter::new(
            relay.clock.now(),
            &request.caller,
            &request.class,
            request.target,
        );
        let assembly = Assembly::new(Attempt::first(request.id));
        Self {
            relay,
            request,
            stage: Stage::Waiting,
            assembly,
            avoid: Vec::new(),
            last: None,
            maybe_run: false,
            in_time: false,
            meter,
        }
    }

    /// The id of the request.
    #[must_use]
    pub const fn id(&self) -> id::Request {
        self.request.id
    }

    /// The next part of the answer. `None` after the end and after an error.
    ///
    /// # Errors
    ///
    /// Fails once, if the request is refused or its answer cannot be completed. The answer is
    /// whole only after [`Part::End`].
    ///
    /// A call that is dropped before it is ready may end the exchange without an error, so that it is
    /// for callers that drop the exchange then, too.
    pub async fn next(&mut self) -> Option<Result<Part>> {
        if matches!(self.stage, Stage::Over) {
            return None;
        }
        let part = self.advance().await;
        if !matches!(part, Ok(Part::Data(_))) {
            let attempts = self.assembly.current().number();
            outcome::log_end(&self.request, self.last.as_ref(), attempts, &part);
            let verdict = outcome::verdict(&part, self.in_time);
            let class = self.request.class.clone();
            self.relay.ports.tally.do_send(Tally { class, verdict });
            self.stage = Stage::Over;
        }
        Some(part)
    }

    async fn advance(&mut self) -> Result<Part> {
        loop {
            match std::mem::replace(&mut self.stage, Stage::Over) {
                Stage::Waiting => {
                    let permit = self.admit().await?;
                    self.stage = Stage::Admitted(permit);
                }
                Stage::Admitted(permit) => {
                    let started = self.start().await;
                    self.stage = match started {
                        Ok(running) => Stage::Running(permit, running),
                        Err(error) => {
                            self.settle(error).await?;
                            Stage::Admitted(permit)
                        }
                    };
                }
                Stage::Running(permit, running) => {
                    self.stage = Stage::Running(permit, running);
                    if let Some(part) = self.listen().await? {
                        return Ok(part);
                    }
                }
                Stage::Over => {
                    return Err(Error::new(Kind::Internal, "the request is over"));
                }
            }
        }
    }

    async fn admit(&self) -> Result<Permit> {
        let leave = Leave::new(&self.relay, self.request.id);
        let offer = admission::Offer {
            request: self.request.id,
            caller: self.request.caller.clone(),
            class: self.request.class.clone(),
            pool: self.request.pool.clone(),
            cost: self.request.cost,
            deadline: self.request.start_by,
        };
        let answer = self.relay.ports.offer.send(offer).await;
        leave.disarm();
        let permit = answer.map_err(outcome::stopping)??;
        self.meter.admitted(self.relay.clock.now());
        Ok(permit)
    }

    /// Chooses an endpoint and sends it the attempt.
    async fn start(&mut self) -> Result<Running> {
        let demand = Demand {
            pool: self.request.pool.clone(),
            class: self.request.class.clone(),
            cost: self.request.cost,
            prefix: self.request.prefix.clone(),
            avoid: self.avoid.clone(),
        };
        let choose = self.relay.ports.choose.send(routing::Choose(demand)).await;
        let choice = choose.map_err(outcome::stopping)??;
        self.last = Some(choice.endpoint().clone());
        let (sender, events) = mpsc::unbounded_channel();
        let endpoint = choice.endpoint().clone();
        let withdraw = Withdraw::new(&self.relay, &endpoint, self.assembly.current());
        let submit = link::Submit {
            endpoint,
            submit: self.submit(),
            events: sender,
        };
        let sent = self
            .relay
            .ports
            .submit
            .send(submit)
            .await
            .map_err(outcome::stopping);
        withdraw.disarm();
        match sent.and_then(std::convert::identity) {
            Ok(()) => Ok(Running {
                choice,
                events,
                ungranted: Bytes::ZERO,
            }),
            Err(error) => {
                self.avoid.push(choice.endpoint().clone());
                choice.finish(Ending::Refused);
                Err(error)
            }
        }
    }

    fn submit(&self) -> wire::Submit {
        let mut work = self.request.work.clone();
        if let Work::Generate(generate) = &mut work {
            generate.resume = self.assembly.taken();
        }
        wire::Submit {
            attempt: self.assembly.current(),
            // Replaced by the pool, which knows the run of the agent that it is linked to.
            incarnation: id::Incarnation::from_bytes([0; 8]),
            caller: self.request.caller.clone(),
            class: self.request.class.clone(),
            priority: self.request.priority,
            time_left: self.time_left(),
            credit: WINDOW,
            work,
        }
    }

    /// Time until the answer has to be complete.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.request
            .end_by
            .saturating_duration_since(self.relay.clock.now())
    }

    /// Waits for the next event of the attempt. `None` if there is nothing for the caller in it.
    async fn listen(&mut self) -> Result<Option<Part>> {
        let time_left = self.time_left();
        let Stage::Running(_, running) = &mut self.stage else {
            return Ok(None);
        };
        let event = time::timeout(time_left, running.events.recv()).await;
        match event {
            Err(_elapsed) => {
                self.maybe_run = true;
                self.abandon(Ending::Failed);
                Err(Error::new(
                    Kind::Deadline,
                    "the answer was not complete in time",
                ))
            }
            Ok(None | Some(Event::Lost)) => {
                let error = Error::new(Kind::EndpointLost, "the connection to the agent was lost");
                self.fail_attempt(error).await
            }
            Ok(Some(Event::Chunk(chunk))) => self.take_chunk(chunk).await,
            Ok(Some(Event::End(end))) => self.take_end(end).await,
            Ok(Some(Event::Fail(fail))) => self.take_fail(fail).await,
        }
    }

    async fn take_chunk(&mut self, chunk: Chunk) -> Result<Option<Part>> {
        // What has answered has run, whatever a later failure of the attempt says.
        self.maybe_run |= chunk.attempt == self.assembly.current();
        match self.assembly.chunk(&chunk) {
            Step::Drop => Ok(None),
            Step::Gap => self.fail_gap().await,
            Step::Take => {
                self.meter.part(self.relay.clock.now());
                self.grant(chunk.data.len());
                Ok(Some(Part::Data(chunk.data)))
            }
        }
    }

    async fn take_end(&mut self, end: End) -> Result<Option<Part>> {
        match self.assembly.end(&end) {
            Step::Drop => Ok(None),
            Step::Gap => self.fail_gap().await,
            Step::Take => {
                self.assembly.check_whole(self.request.id, end.length);
                self.in_time = self.meter.ended(self.relay.clock.now());
                self.leave_endpoint(Ending::Served);
                Ok(Some(Part::End(Summary {
                    reason: end.reason,
                    status: end.status,
                    input: end.input,
                    output: end.output,
                    length: end.length,
                })))
            }
        }
    }

    async fn take_fail(&mut self, fail: Fail) -> Result<Option<Part>> {
        if fail.attempt != self.assembly.current() {
            return Ok(None);
        }
        let error = Error::new(fail.kind, fail.detail).with_executed(fail.executed);
        self.fail_attempt(error).await
    }

    async fn fail_gap(&mut self) -> Result<Option<Part>> {
        let error = Error::new(Kind::EndpointFailed, "a part of the answer is missing");
        self.fail_attempt(error).await
    }

    /// Ends the attempt, and prepares the next one if the request may be tried again.
    async fn fail_attempt(&mut self, error: Error) -> Result<Option<Part>> {
        self.maybe_run |= error.executed() != Executed::No;
        self.abandon(outcome::ending(&error));
        self.settle(error).await?;
        Ok(None)
    }

    /// Passes the error on unless the request may be tried again.
    async fn settle(&mut self, error: Error) -> Result<()> {
        if self.may_repeat(&error) && self.has_budget(&error).await {
            outcome::log_retry(&self.request, self.last.as_ref(), &error);
            self.assembly.retry();
            return Ok(());
        }
        Err(outcome::final_error(error, self.maybe_run, self.request.id))
    }

    /// Whether a further attempt can do no harm and may help.
    fn may_repeat(&self, error: &Error) -> bool {
        let harmless = match &self.request.work {
            Work::Generate(_) => true,
            Work::Invoke(invoke) if invoke.once => {
                error.executed() == Executed::No && !self.maybe_run
            }
            Work::Invoke(_) => self.assembly.taken() == Bytes::ZERO,
        };
        outcome::other_endpoint_may_help(error) && harmless && !self.time_left().is_zero()
    }

    /// A refusal costs the endpoints nothing, and each endpoint refuses a request at most once, so
    /// that only failures draw on the budget.
    async fn has_budget(&self, error: &Error) -> bool {
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

    /// Grants credit for what the caller has read.
    fn grant(&mut self, length: usize) {
        let attempt = self.assembly.current();
        let Stage::Running(_, running) = &mut self.stage else {
            return;
        };
        running.ungranted += Bytes::new(length as u64);
        if running.ungranted >= GRANT {
            let bytes = std::mem::take(&mut running.ungranted);
            let endpoint = running.choice.endpoint().clone();
            self.relay.ports.credit.do_send(link::Credit {
                endpoint,
                attempt,
                bytes,
            });
        }
    }

    /// Leaves the endpoint and withdraws the attempt from it.
    fn abandon(&mut self, ending: Ending) {
        let attempt = self.assembly.current();
        if let Some(endpoint) = self.leave_endpoint(ending) {
            self.avoid.push(endpoint.clone());
            self.relay
                .ports
                .cancel
                .do_send(link::Cancel { endpoint, attempt });
        }
    }

    fn leave_endpoint(&mut self, ending: Ending) -> Option<Endpoint> {
        match std::mem::replace(&mut self.stage, Stage::Over) {
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
            log::info!(request:% = self.request.id, caller:% = self.request.caller; "caller left");
            self.abandon(Ending::Abandoned);
        }
    }
}
