use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{MailboxError, Recipient};
use tokio::time;

use super::{
    Answer, Cache, Call, EventId, Failure, Job, Reply, Result, Step, Upstream, Verdict,
    record::Record, stream,
};
use crate::{
    clock::Shared,
    directory::Stage,
    dispatch::{Choose, Demand, Ending, MayRepeat, Need, Ticket},
    error::{Error, Executed, Kind},
    id::{Endpoint, Service, Zone},
    invariant::{self, Point},
    route::Route,
    unit::Tokens,
};

/// Endpoints that may refuse a connection before a request is given up.
const CONNECTS_MAX: u32 = 3;
/// Sends that a request always has if endpoints reject it without running it.
const REJECTIONS_MAX: u32 = 2;
/// Least time for which another endpoint is tried.
const USEFUL_TIME: Duration = Duration::from_millis(30);
/// An answer that may be repeated is awaited for this many times its aim.
const PATIENCE_AIMS: u32 = 4;
/// Least time for which such an answer is awaited. Shorter waits repeat work in every burst.
const PATIENCE_MIN: Duration = Duration::from_millis(600);
/// Part of the time that is left after which such an answer is awaited no longer.
const PATIENCE_PART: f64 = 0.6;
/// Time after the deadline at which an answer is given up; the endpoint may still answer in it.
const DEADLINE_GRACE: Duration = Duration::from_millis(60);
/// Part of the time left after which a caller may come back.
const RETRY_PART: f64 = 0.1;
/// Longest time after which a caller may come back.
const RETRY_MAX: Duration = Duration::from_millis(500);

/// Statuses by which callers take it that a request has not run. An endpoint that answers one of
/// them without saying so may have run the request.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What an exchange talks to.
#[derive(Clone, Debug)]
pub struct Ports {
    /// Chooses endpoints.
    pub choose: Recipient<Choose>,
    /// Holds the retry budget.
    pub may_repeat: Recipient<MayRepeat>,
    /// Sends requests.
    pub upstream: Rc<dyn Upstream>,
    /// The clock.
    pub clock: Shared,
}

/// Serves a request under the terms of its route.
///
/// # Errors
///
/// `Kind::NoEndpoint` and `Kind::Overloaded` if it has not run; `Kind::EndpointLost`,
/// `Kind::EndpointFailed` and `Kind::Deadline` if it may have.
pub async fn start(call: Call, route: Arc<Route>, ports: Ports) -> Result<Answer> {
    let Some(service) = route.draw(&mut rand::rng()).cloned() else {
        return Err(Error::new(Kind::NoEndpoint, "the route has no service"));
    };
    let patience = call.patience.unwrap_or(route.timeout).min(route.timeout);
    let record = Record::new(
        call.id.clone(),
        route.name.clone(),
        call.arrived,
        Arc::clone(&ports.clock),
    );
    let mut exchange = Exchange {
        deadline: call.arrived + patience,
        call: Rc::new(call),
        route,
        service,
        ports,
        record,
        avoid: Vec::new(),
        sends: 0,
        refused_connections: 0,
        may_have_run: false,
    };
    let resume_after = exchange.call.resume_after;
    match exchange.open(resume_after).await {
        Ok(opened) => Ok(stream::answer(exchange, opened)),
        Err(error) => {
            exchange.record.answered(error.kind().answer().status);
            exchange.record.ended(error.to_string());
            Err(error)
        }
    }
}

/// An endpoint that answers.
pub(super) struct Opened {
    pub(super) reply: Reply,
    pub(super) ticket: Ticket,
}

/// What follows from a failed attempt.
enum Next {
    /// Try again.
    Again,
    /// Give up.
    Stop(Error),
}

/// State of a request.
pub(super) struct Exchange {
    pub(super) call: Rc<Call>,
    pub(super) route: Arc<Route>,
    pub(super) deadline: Instant,
    pub(super) ports: Ports,
    pub(super) record: Record,
    service: Service,
    avoid: Vec<Endpoint>,
    sends: u32,
    refused_connections: u32,
    may_have_run: bool,
}

impl Exchange {
    pub(super) fn left(&self) -> Duration {
        self.deadline
            .saturating_duration_since(self.ports.clock.now())
    }

    /// Finds an endpoint that answers.
    pub(super) async fn open(&mut self, resume_after: Option<EventId>) -> Result<Opened> {
        let mut need = Need::Start;
        loop {
            if self.left().is_zero() {
                return Err(self.gave_up("the deadline has passed"));
            }
            let ticket = self.choose(need, None).await?;
            let prefills = ticket.choice().instance.stage == Some(Stage::Prefill);
            let (ticket, step) = if prefills {
                need = Need::Whole;
                match self.prefill(ticket, resume_after).await? {
                    Some(prepared) => prepared,
                    None => continue,
                }
            } else {
                (ticket, Step::Whole)
            };
            match self.attempt(ticket, step, resume_after).await? {
                Some(opened) => return Ok(opened),
                None => need = Need::Whole,
            }
        }
    }

    /// Lets an engine read the prompt, and chooses the engine that runs the request. Nothing if
    /// the first engine failed, which leaves the request not run.
    async fn prefill(
        &mut self,
        ticket: Ticket,
        resume_after: Option<EventId>,
    ) -> Result<Option<(Ticket, Step)>> {
        let instance = Arc::clone(&ticket.choice().instance);
        let job = self.job(&ticket, Step::Prefill, resume_after);
        let outcome = time::timeout(self.left(), self.ports.upstream.send(job)).await;
        let outcome = outcome.unwrap_or_else(|_elapsed| Err(Failure::Lost("too late".to_owned())));
        let handle = match outcome {
            Ok(Reply {
                cache: Some(handle),
                load,
                ..
            }) => {
                let mut ticket = ticket;
                ticket.began(load);
                ticket.end(Ending::Served);
                handle
            }
            Ok(reply) => {
                let ending = ending(&reply, true);
                self.record
                    .retried(&format!("prefill: status {}", reply.status));
                ticket.end(ending);
                self.avoid.push(instance.id.clone());
                return self.may_prefill_again().await.map(|()| None);
            }
            Err(failure) => {
                self.record.retried(&format!("prefill: {failure}"));
                ticket.end(Ending::Lost);
                self.avoid.push(instance.id.clone());
                return self.may_prefill_again().await.map(|()| None);
            }
        };
        let cache = Cache {
            source: instance.address,
            handle,
        };
        let guard = Unused {
            cache: Some(cache),
            upstream: Rc::clone(&self.ports.upstream),
        };
        let near = Some(instance.zone.clone());
        let ticket = self.choose(Need::Decode, near).await?;
        Ok(guard.take().map(|cache| (ticket, Step::Decode(cache))))
    }

    async fn may_prefill_again(&mut self) -> Result<()> {
        if self.ask_budget().await? {
            return Ok(());
        }
        Err(self.gave_up("the retry budget is used up"))
    }

    /// Sends the request to run. Nothing if another endpoint should be tried.
    async fn attempt(
        &mut self,
        mut ticket: Ticket,
        step: Step,
        resume_after: Option<EventId>,
    ) -> Result<Option<Opened>> {
        let what = match &step {
            Step::Decode(_) => "decode",
            _ => "whole",
        };
        self.record.sent(ticket.choice(), what);
        self.sends += 1;
        let job = self.job(&ticket, step, resume_after);
        let sent = time::timeout(self.patience(), self.ports.upstream.send(job)).await;
        let id = ticket.choice().instance.id.clone();
        let next = match sent {
            Ok(Ok(reply)) => {
                ticket.began(reply.load);
                match self.judge(&reply).await? {
                    None => return Ok(Some(Opened { reply, ticket })),
                    Some(next) => {
                        ticket.end(ending(&reply, false));
                        next
                    }
                }
            }
            Ok(Err(Failure::NotSent(detail))) => {
                ticket.end(Ending::Lost);
                self.sends -= 1;
                self.refused_connections += 1;
                self.after_refused_connection(&detail)
            }
            Ok(Err(Failure::Lost(detail))) => {
                ticket.end(Ending::Lost);
                self.may_have_run = true;
                self.after_loss(&detail).await?
            }
            Err(_elapsed) => {
                ticket.end(Ending::Failed);
                self.may_have_run = true;
                self.after_loss("no answer in time").await?
            }
        };
        self.avoid.push(id);
        match next {
            Next::Again => Ok(None),
            Next::Stop(error) => Err(error),
        }
    }

    /// Whether an answer is passed on (nothing), or what else is done.
    async fn judge(&mut self, reply: &Reply) -> Result<Option<Next>> {
        match reply.verdict {
            Verdict::Rejected | Verdict::Replaced => {
                let why = format!("rejected: status {}", reply.status);
                return self.after_rejection(&why).await.map(Some);
            }
            Verdict::Ran => self.may_have_run = true,
        }
        if reply.status < 500 && !PROMISES.contains(&reply.status) {
            return Ok(None);
        }
        match self.after_loss(&format!("status {}", reply.status)).await? {
            // The endpoint's own error is better than one that hides it.
            Next::Stop(_) if !PROMISES.contains(&reply.status) => Ok(None),
            next => Ok(Some(next)),
        }
    }

    /// The time for which an answer is awaited.
    fn patience(&self) -> Duration {
        let left = self.left() + DEADLINE_GRACE;
        if !self.route.kind.repeatable() || self.sends >= self.route.attempts {
            return left;
        }
        let usual = (self.route.aim * PATIENCE_AIMS).max(PATIENCE_MIN);
        usual.min(left.mul_f64(PATIENCE_PART))
    }

    async fn after_loss(&mut self, why: &str) -> Result<Next> {
        let allowed = self.route.kind.repeatable() && self.sends < self.route.attempts;
        if allowed && self.left() > USEFUL_TIME && self.ask_budget().await? {
            self.record.retried(why);
            return Ok(Next::Again);
        }
        Ok(Next::Stop(self.gave_up(why)))
    }

    async fn after_rejection(&mut self, why: &str) -> Result<Next> {
        let allowed = self.sends < self.route.attempts.max(REJECTIONS_MAX);
        if allowed && self.left() > USEFUL_TIME && self.ask_budget().await? {
            self.record.retried(why);
            return Ok(Next::Again);
        }
        Ok(Next::Stop(self.gave_up(why)))
    }

    fn after_refused_connection(&mut self, why: &str) -> Next {
        if self.refused_connections < CONNECTS_MAX && self.left() > USEFUL_TIME {
            self.record.retried(why);
            return Next::Again;
        }
        Next::Stop(self.gave_up(why))
    }

    /// Whether a stream that broke may be continued elsewhere.
    pub(super) async fn may_continue(&mut self, endpoint: &Endpoint) -> bool {
        let allowed = self.route.kind.repeatable() && self.sends < self.route.attempts;
        self.avoid.push(endpoint.clone());
        if !allowed || self.left() <= USEFUL_TIME {
            return false;
        }
        self.ask_budget().await.unwrap_or_else(|error| {
            log::info!(error:% = error; "stream is not continued");
            false
        })
    }

    /// The error for a request that is given up now. Only one that has not run is refused with a
    /// status that promises so.
    fn gave_up(&self, why: &str) -> Error {
        if !self.may_have_run {
            let period = self.left().mul_f64(RETRY_PART).min(RETRY_MAX);
            return Error::new(Kind::Overloaded, format!("not run: {why}"))
                .with_retry_after(period);
        }
        let kind = if self.left().is_zero() {
            Kind::Deadline
        } else {
            Kind::EndpointLost
        };
        let error = Error::new(kind, why);
        invariant::check(Point::NotRun, error.executed() != Executed::No, || {
            format!("{error} says that a request has not run that may have")
        });
        error
    }

    async fn choose(&self, need: Need, near: Option<Zone>) -> Result<Ticket> {
        let generation = self.call.generation;
        let demand = Demand {
            service: self.service.clone(),
            need,
            rank: self.route.rank,
            prompt: generation.map_or(Tokens::ZERO, |generation| generation.prompt),
            shared: generation.map_or(Tokens::ZERO, |generation| generation.shared),
            affinity: generation.and_then(|generation| generation.affinity),
            avoid: self.avoid.clone(),
            near,
        };
        let ticket = self.ports.choose.send(Choose(demand)).await;
        ticket
            .unwrap_or_else(|error| Err(stopped(error)))
            .map_err(|error| {
                // The table says that nothing was run, which an earlier attempt may contradict.
                if self.may_have_run {
                    Error::new(Kind::EndpointLost, error.detail())
                } else {
                    error.with_retry_after(self.left().mul_f64(RETRY_PART).min(RETRY_MAX))
                }
            })
    }

    fn job(&self, ticket: &Ticket, step: Step, resume_after: Option<EventId>) -> Job {
        Job {
            call: Rc::clone(&self.call),
            instance: Arc::clone(&ticket.choice().instance),
            left: self.left(),
            rank: self.route.rank,
            step,
            resume_after,
        }
    }

    async fn ask_budget(&self) -> Result<bool> {
        let question = MayRepeat(self.service.clone());
        let answer = self
            .ports
            .may_repeat
            .send(question)
            .await
            .map_err(stopped)?;
        if !answer {
            metrics::counter!("repeats_denied_total", "service" => self.service.to_string())
                .increment(1);
        }
        Ok(answer)
    }
}

/// Frees a KV cache that no engine has taken over.
struct Unused {
    cache: Option<Cache>,
    upstream: Rc<dyn Upstream>,
}

impl Unused {
    fn take(mut self) -> Option<Cache> {
        self.cache.take()
    }
}

impl Drop for Unused {
    fn drop(&mut self) {
        if let Some(cache) = self.cache.take() {
            self.upstream.release(cache);
        }
    }
}

/// How an answer ends the work of its endpoint, as far as its head tells.
fn ending(reply: &Reply, prefill: bool) -> Ending {
    match reply.verdict {
        Verdict::Rejected => Ending::Rejected,
        Verdict::Replaced => Ending::Replaced,
        Verdict::Ran if reply.status >= 500 || prefill => Ending::Failed,
        Verdict::Ran => Ending::Served,
    }
}

fn stopped(error: MailboxError) -> Error {
    Error::new(Kind::Leaving, "the process is shutting down").with_source(error)
}
