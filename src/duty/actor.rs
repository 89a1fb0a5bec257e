use std::{
    fmt,
    pin::Pin,
    task::{Context as TaskContext, Poll},
    time::{Duration, Instant},
};

use actix::{
    Actor, ActorFutureExt, Addr, Context, Handler, MailboxError, ResponseActFuture, WrapFuture,
};
use futures_util::{FutureExt, future::LocalBoxFuture};
use tokio::{sync::watch, time};

use super::{Answer, Api, Call, GetTerm, Perform, Release, Result, Schedule, Term, Token};
use crate::{
    authority::{self, Changed, GetPermit, Permit, ReleaseAll, SetGroups, Subscribe},
    clock::Shared,
    error::{Error, Kind},
    id::{Group, Process},
    peers::{GatewaysChanged, Roster},
    store::Era,
    subset,
};

/// Gateways that compete for the lease. Each polls the store, so they are few; with four, the loss of
/// a zone leaves some.
const CANDIDATES: usize = 4;
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Identity and dependencies of the duties of a process.
#[derive(Debug)]
pub struct Config {
    /// Name of the process.
    pub process: Process,
    /// Competes for the lease.
    pub authority: Addr<authority::Holder>,
    /// Name of the lease.
    pub group: Group,
    /// The platform's API.
    pub api: Box<dyn Api>,
    /// Clock that counts suspension.
    pub clock: Shared,
    /// Time to live of the lease.
    pub lease: Duration,
    /// Whether the API refuses tokens lower than one that it has seen.
    pub tokens_checked: bool,
    /// Shortest interval between calls.
    pub call_interval: Duration,
    /// Era that the store states.
    pub era: watch::Receiver<Option<Era>>,
}

/// Actor that makes the calls of the holder.
pub struct Duties {
    config: Config,
    schedule: Schedule,
    roster: Roster,
    held: bool,
    wanted: bool,
    next_call: Instant,
}

impl fmt::Debug for Duties {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Duties")
            .field("config", &self.config)
            .field("schedule", &self.schedule)
            .finish_non_exhaustive()
    }
}

/// Starts the duties of a process.
#[must_use]
pub fn spawn(config: Config) -> Addr<Duties> {
    let now = config.clock.now();
    let duties = Duties {
        schedule: Schedule::new(config.lease, config.tokens_checked, now),
        config,
        roster: Roster::new(),
        held: false,
        wanted: false,
        next_call: now,
    };
    duties.start()
}

impl Duties {
    /// Competes if the process is among the candidates. A holder keeps the lease as long as it can,
    /// so that a new gateway does not cause a change of the holder.
    fn update_candidacy(&mut self) {
        let own = &self.config.process;
        let candidates =
            subset::rendezvous(&self.config.group, self.roster.processes(), CANDIDATES);
        let wanted = self.held || candidates.contains(own);
        if std::mem::replace(&mut self.wanted, wanted) != wanted {
            log::info!(competes = wanted; "duties: candidacy has changed");
            let groups = wanted.then(|| self.config.group.clone());
            self.config
                .authority
                .do_send(SetGroups(groups.into_iter().collect()));
        }
    }

    fn get_permit(&self) -> LocalBoxFuture<'static, Option<Permit>> {
        let permit = self
            .config
            .authority
            .send(GetPermit(self.config.group.clone()));
        async move { permit.await.ok().flatten() }.boxed_local()
    }

    /// The token of a permit, if the process may act with it now.
    fn check(&mut self, permit: &Permit) -> Result<Token> {
        let now = self.config.clock.now();
        let era = *self.config.era.borrow();
        self.schedule.observe_era(era, now);
        let token = Token::new(permit.era(), permit.fence(now)?)?;
        if era.is_some_and(|era| era != permit.era()) || !self.schedule.may_act(token, now) {
            return Err(Error::new(Kind::StaleFence, "the holder may not act now"));
        }
        Ok(token)
    }

    fn start_call(
        &mut self,
        permit: Option<Permit>,
        prepared: Token,
        call: &Call,
    ) -> Result<Sending> {
        let permit = permit.ok_or_else(|| Error::new(Kind::StaleFence, "the lease is not held"))?;
        if self.check(&permit)? != prepared {
            return Err(Error::new(Kind::StaleFence, "the term has ended"));
        }
        let now = self.config.clock.now();
        if now < self.next_call {
            return Err(Error::new(Kind::Overloaded, "too many calls to the API"));
        }
        self.next_call = now + self.config.call_interval;
        self.schedule.record_call(prepared, now);
        Ok(Sending {
            call: self.config.api.send(prepared, call),
            permit,
            clock: std::sync::Arc::clone(&self.config.clock),
        })
    }

    fn finish_call(&mut self, token: Token, outcome: &Result<Answer>) {
        // It may have been sent at any time until now.
        self.schedule.record_call(token, self.config.clock.now());
        let result = match outcome {
            Ok(Answer::Accepted) => "accepted",
            Ok(Answer::Superseded) => {
                log::warn!(token:% = token; "duties: a higher token was seen; no more calls in this term");
                self.schedule.record_superseded(token);
                "superseded"
            }
            Ok(Answer::Refused(why)) => {
                log::info!(token:% = token, why = why; "duties: call refused");
                "refused"
            }
            Ok(Answer::Unknown(why)) => {
                log::info!(token:% = token, why = why; "duties: call without an answer");
                "unknown"
            }
            Err(error) => {
                log::info!(token:% = token, error:% = error; "duties: call dropped");
                "dropped"
            }
        };
        metrics::counter!("duty_calls_total", "result" => result).increment(1);
    }
}

/// A call that ends with its term. The term is checked each time before more of the call is sent, since
/// the process may have been suspended in between.
struct Sending {
    call: LocalBoxFuture<'static, Answer>,
    permit: Permit,
    clock: Shared,
}

impl Future for Sending {
    type Output = Result<Answer>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<Self::Output> {
        if let Err(error) = self.permit.fence(self.clock.now()) {
            return Poll::Ready(Err(error));
        }
        self.call.poll_unpin(cx).map(Ok)
    }
}

impl Actor for Duties {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        let subscriber = actix::AsyncContext::address(ctx).recipient();
        self.config.authority.do_send(Subscribe(subscriber));
    }
}

impl Handler<GatewaysChanged> for Duties {
    type Result = ();

    fn handle(&mut self, GatewaysChanged(update): GatewaysChanged, _: &mut Context<Self>) {
        self.roster.apply(update);
        self.update_candidacy();
    }
}

impl Handler<Changed> for Duties {
    type Result = ();

    fn handle(&mut self, msg: Changed, _: &mut Context<Self>) {
        self.held = !msg.gained.is_empty();
        metrics::gauge!("duty_holder").set(if self.held { 1.0 } else { 0.0 });
        log::info!(held = self.held, gained:? = msg.gained; "duties: the holder has changed");
        self.update_candidacy();
    }
}

impl Handler<GetTerm> for Duties {
    type Result = ResponseActFuture<Self, Option<Term>>;

    fn handle(&mut self, _: GetTerm, _: &mut Context<Self>) -> Self::Result {
        // The era is observed also while the lease is not held, since it has to be known for a while.
        let era = *self.config.era.borrow();
        self.schedule.observe_era(era, self.config.clock.now());
        if !self.held {
            return Box::pin(actix::fut::ready(None));
        }
        let permit = self.get_permit().into_actor(self);
        Box::pin(permit.map(|permit, duties, _| {
            let token = duties.check(&permit?).ok()?;
            Some(Term { token })
        }))
    }
}

impl Handler<Perform> for Duties {
    type Result = ResponseActFuture<Self, Result<Answer>>;

    fn handle(&mut self, Perform { token, call }: Perform, _: &mut Context<Self>) -> Self::Result {
        let sent = self.get_permit().into_actor(self);
        let sent = sent.map(move |permit, duties, _| duties.start_call(permit, token, &call));
        Box::pin(sent.then(move |sending, duties, _| {
            let started = sending.is_ok();
            let outcome = async move {
                let unanswered = || Answer::Unknown("no answer in time".to_owned());
                let outcome = time::timeout(CALL_TIMEOUT, sending?).await;
                outcome.unwrap_or_else(|_elapsed| Ok(unanswered()))
            };
            outcome.into_actor(duties).map(move |outcome, duties, _| {
                if started {
                    duties.finish_call(token, &outcome);
                }
                outcome
            })
        }))
    }
}

impl Handler<Release> for Duties {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: Release, _: &mut Context<Self>) -> Self::Result {
        self.held = false;
        self.roster = Roster::new();
        let released = self.config.authority.send(ReleaseAll).into_actor(self);
        Box::pin(released.map(|_: std::result::Result<(), MailboxError>, _, _| ()))
    }
}
