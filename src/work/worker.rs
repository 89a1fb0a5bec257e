use std::{
    collections::{HashMap, HashSet},
    fmt,
    rc::Rc,
    time::Duration,
};

use actix::{
    Actor, ActorStreamExt, Addr, AsyncContext, Context, Handler, Message, MessageResult,
    ResponseFuture, fut::wrap_stream,
};
use futures_util::{Stream, stream};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::AbortHandle,
};

use super::{
    CancelAttempt, Connected, Credit, Disconnected, Drain, EndpointClient, EndpointState,
    GetReport, Ports, StartAttempt, Stop, WaitUntilIdle,
    attempt::{AttemptTask, PROBE_PERIOD, final_frame},
};
use crate::{
    clock::Shared,
    error::{Error, Executed, Kind},
    id::{self, Attempt, Incarnation, Revision},
    invariant::{self, Invariant},
    link::Session,
    notice::{Closure, Standing},
    unit::Bytes,
    wire::{Frame, Load, Report, Submit, Work},
};

/// Configuration and dependencies of a [`Worker`].
pub struct Config {
    /// Name of the endpoint, as in the configuration.
    pub name: id::Endpoint,
    /// Incarnation of this agent. Attempts addressed to another incarnation are refused.
    pub incarnation: Incarnation,
    /// Time source for the pauses of the endpoint.
    pub clock: Shared,
    /// Client of the endpoint.
    pub endpoint: Rc<dyn EndpointClient>,
    /// Arbitrates operations that run at most once. `None` at an engine.
    pub ledger: Option<Ports>,
    /// Revision of the configuration document in force, included in reports.
    pub revision: watch::Receiver<Revision>,
    /// Receives each report: every second, and at once after a change that entries need to know.
    pub report: Box<dyn Fn(Report)>,
}

impl fmt::Debug for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Config")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// Actor that runs attempts on the endpoint and reports its state.
#[derive(Debug)]
pub struct Worker {
    config: Config,
    /// What the endpoint has said of itself in its answers.
    closure: watch::Receiver<Closure>,
    /// What followed from it at the last report.
    reported: Standing,
    attempts: HashMap<Attempt, RunningAttempt>,
    /// Connections of entries.
    sessions: HashSet<Session>,
    /// Whether a [`Drain`] is in effect.
    draining: bool,
    /// Set by [`Stop`]. Separate from `draining`, because the holder of the group resumes an
    /// endpoint that it finds no reason to drain.
    stopping: bool,
    state: EndpointState,
    /// Senders of [`WaitUntilIdle`] that are still waiting.
    idle_waiters: Vec<oneshot::Sender<()>>,
}

#[derive(Debug)]
struct RunningAttempt {
    session: Session,
    /// Whether the operation runs at most once. It is then completed even if nobody waits for the
    /// response.
    at_most_once: bool,
    credit: mpsc::UnboundedSender<Bytes>,
    task: AbortHandle,
}

/// Starts a worker on the current thread.
#[must_use]
pub fn spawn(config: Config) -> Addr<Worker> {
    let worker = Worker {
        closure: config.endpoint.closure(),
        config,
        reported: Standing::Open,
        attempts: HashMap::new(),
        sessions: HashSet::new(),
        draining: false,
        stopping: false,
        state: EndpointState::default(),
        idle_waiters: Vec::new(),
    };
    worker.start()
}

impl Actor for Worker {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        probe(ctx.address(), Rc::clone(&self.config.endpoint));
        ctx.run_interval(PROBE_PERIOD, |worker, ctx| {
            worker.send_report();
            worker.log_reopening();
            probe(ctx.address(), Rc::clone(&worker.config.endpoint));
        });
        // Reports a new document revision at once. Entries that lack the document learn of it from
        // reports, and the periodic ones would delay an edit at each agent that it passes through.
        let revisions = changes(self.config.revision.clone());
        // Entries stop sending to an endpoint that has closed as soon as they know.
        let changes = stream::select(revisions, changes(self.closure.clone()));
        let reports = wrap_stream(changes).map(|(), worker: &mut Self, _ctx| {
            worker.send_report();
            worker.log_reopening();
        });
        ctx.spawn(reports.finish());
    }

    fn stopped(&mut self, _ctx: &mut Self::Context) {
        for (_attempt, running) in self.attempts.drain() {
            running.task.abort();
        }
    }
}

/// The changes of a watched value.
fn changes<T: 'static>(receiver: watch::Receiver<T>) -> impl Stream<Item = ()> + 'static {
    Box::pin(stream::unfold(receiver, |mut receiver| async move {
        receiver.changed().await.ok()?;
        Some(((), receiver))
    }))
}

/// Fetches the state of the endpoint in a separate task, so that the worker is not blocked.
fn probe(worker: Addr<Worker>, endpoint: Rc<dyn EndpointClient>) {
    tokio::task::spawn_local(async move {
        match endpoint.state().await {
            Ok(state) => worker.do_send(StateFetched(state)),
            Err(error) => {
                log::warn!(kind:% = error.kind(); "failed to fetch the endpoint load report");
            }
        }
    });
}

impl Worker {
    fn report(&self) -> Report {
        let in_progress = u32::try_from(self.attempts.len()).unwrap_or(u32::MAX);
        Report {
            endpoint: self.config.name.clone(),
            revision: *self.config.revision.borrow(),
            leaving: self.is_leaving() || self.standing() == Standing::Leaving,
            paused_for: self.opens_in().unwrap_or_default(),
            drained: self.draining,
            role: self.state.role,
            models: self.state.models.clone(),
            entries: u32::try_from(self.sessions.len()).unwrap_or(u32::MAX),
            load: Load {
                in_progress,
                ..self.state.load
            },
        }
    }

    fn send_report(&self) {
        (self.config.report)(self.report());
    }

    /// Logs once that the endpoint takes requests again after it had asked for none.
    fn log_reopening(&mut self) {
        let standing = self.standing();
        let former = std::mem::replace(&mut self.reported, standing);
        if standing == Standing::Open && former != Standing::Open {
            log::info!(endpoint:% = self.config.name, former:% = former;
                "endpoint takes requests again");
        }
    }

    const fn is_leaving(&self) -> bool {
        self.draining || self.stopping || self.state.draining
    }

    fn standing(&self) -> Standing {
        self.closure.borrow().standing(self.config.clock.now())
    }

    fn opens_in(&self) -> Option<Duration> {
        self.closure.borrow().opens_in(self.config.clock.now())
    }

    /// Returns an error if the attempt must not start. Nothing has been sent to the endpoint then.
    fn refusal(&self, submit: &Submit) -> Option<Error> {
        let error = if submit.incarnation != self.config.incarnation {
            Error::new(Kind::WrongIncarnation, "the agent was restarted")
        } else if self.is_leaving() {
            Error::new(Kind::Leaving, "the endpoint is leaving")
        } else if self.standing() == Standing::Leaving {
            Error::new(Kind::Leaving, "the endpoint says that it is leaving")
        } else if let Some(opens_in) = self.opens_in() {
            Error::new(Kind::Paused, "the endpoint has asked for a pause")
                .with_retry_after(opens_in)
        } else if self.attempts.contains_key(&submit.attempt) {
            Error::new(Kind::BadRequest, "the attempt is in progress")
        } else if submit.time_left.is_zero() {
            Error::new(Kind::Deadline, "the attempt arrived too late")
        } else {
            return None;
        };
        Some(error.with_executed(Executed::No))
    }

    fn start_attempt(&mut self, begin: StartAttempt, worker: Addr<Self>) {
        invariant::check(Invariant::Leaving, !self.is_leaving(), || {
            format!("attempt {} started while leaving", begin.submit.attempt)
        });
        let attempt = begin.submit.attempt;
        let at_most_once =
            matches!(&begin.submit.work, Work::Invoke(invoke) if invoke.at_most_once);
        let (credit, receiver) = mpsc::unbounded_channel();
        let task = AttemptTask {
            endpoint: Rc::clone(&self.config.endpoint),
            submit: begin.submit,
            outbox: begin.outbox,
            credit: receiver,
            ledger: self.config.ledger.clone(),
        };
        let running = async move {
            task.run().await;
            worker.do_send(AttemptEnded(attempt));
        };
        let task = tokio::task::spawn_local(running).abort_handle();
        let running = RunningAttempt {
            session: begin.session,
            at_most_once,
            credit,
            task,
        };
        self.attempts.insert(attempt, running);
    }

    fn cancel_attempt(&mut self, attempt: Attempt) {
        if self
            .attempts
            .get(&attempt)
            .is_some_and(|running| !running.at_most_once)
            && let Some(running) = self.attempts.remove(&attempt)
        {
            running.task.abort();
            self.notify_if_idle();
        }
    }

    fn notify_if_idle(&mut self) {
        if self.attempts.is_empty() {
            for waiter in self.idle_waiters.drain(..) {
                // The sender of `WaitUntilIdle` may have stopped waiting.
                let _closed = waiter.send(());
            }
        }
    }
}

impl Handler<StartAttempt> for Worker {
    type Result = ();

    fn handle(&mut self, msg: StartAttempt, ctx: &mut Self::Context) {
        match self.refusal(&msg.submit) {
            Some(error) => {
                log::info!(request:% = msg.submit.attempt.request(), caller:% = msg.submit.caller,
                    class:% = msg.submit.class, endpoint:% = self.config.name,
                    kind:% = error.kind(); "attempt refused");
                msg.outbox.send(final_frame(msg.submit.attempt, Err(error)));
            }
            None => self.start_attempt(msg, ctx.address()),
        }
    }
}

impl Handler<Credit> for Worker {
    type Result = ();

    fn handle(&mut self, msg: Credit, _ctx: &mut Self::Context) {
        if let Some(running) = self.attempts.get(&msg.attempt) {
            // The task may have ended while its `AttemptEnded` is still in the mailbox.
            let _ended = running.credit.send(msg.bytes);
        }
    }
}

impl Handler<CancelAttempt> for Worker {
    type Result = ();

    fn handle(&mut self, CancelAttempt(attempt): CancelAttempt, _ctx: &mut Self::Context) {
        self.cancel_attempt(attempt);
    }
}

impl Handler<Disconnected> for Worker {
    type Result = ();

    fn handle(&mut self, Disconnected(session): Disconnected, _ctx: &mut Self::Context) {
        self.sessions.remove(&session);
        let in_session = self
            .attempts
            .iter()
            .filter(|(_, running)| running.session == session);
        let attempts: Vec<Attempt> = in_session.map(|(attempt, _)| *attempt).collect();
        for attempt in attempts {
            self.cancel_attempt(attempt);
        }
    }
}

impl Handler<Drain> for Worker {
    type Result = ();

    fn handle(&mut self, Drain(leaving): Drain, _ctx: &mut Self::Context) {
        if self.draining != leaving {
            log::info!(endpoint:% = self.config.name, leaving = leaving; "drain state changed");
            self.draining = leaving;
            self.send_report();
        }
    }
}

impl Handler<Stop> for Worker {
    type Result = ();

    fn handle(&mut self, _msg: Stop, _ctx: &mut Self::Context) {
        self.stopping = true;
        self.send_report();
    }
}

impl Handler<Connected> for Worker {
    type Result = ();

    fn handle(&mut self, Connected(session, outbox): Connected, _ctx: &mut Self::Context) {
        self.sessions.insert(session);
        outbox.send(Frame::Report(self.report()));
    }
}

impl Handler<GetReport> for Worker {
    type Result = MessageResult<GetReport>;

    fn handle(&mut self, _status: GetReport, _ctx: &mut Self::Context) -> Self::Result {
        MessageResult(self.report())
    }
}

impl Handler<WaitUntilIdle> for Worker {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _idle: WaitUntilIdle, _ctx: &mut Self::Context) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        self.idle_waiters.push(sender);
        self.notify_if_idle();
        Box::pin(async move {
            // The sender is dropped if the worker stops, and no attempt is in progress then either.
            let _stopped = receiver.await;
        })
    }
}

/// An attempt has ended and its final frame is queued for sending.
#[derive(Message)]
#[rtype(result = "()")]
struct AttemptEnded(Attempt);

impl Handler<AttemptEnded> for Worker {
    type Result = ();

    fn handle(&mut self, AttemptEnded(attempt): AttemptEnded, _ctx: &mut Self::Context) {
        self.attempts.remove(&attempt);
        self.notify_if_idle();
    }
}

/// The endpoint has reported its state.
#[derive(Message)]
#[rtype(result = "()")]
struct StateFetched(EndpointState);

impl Handler<StateFetched> for Worker {
    type Result = ();

    fn handle(&mut self, StateFetched(state): StateFetched, _ctx: &mut Self::Context) {
        let report_now = state.role != self.state.role
            || state.models != self.state.models
            || state.draining != self.state.draining;
        self.state = state;
        if report_now {
            self.send_report();
        }
    }
}
