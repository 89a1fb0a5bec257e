use std::{
    collections::{HashMap, HashSet},
    fmt,
    rc::Rc,
};

use actix::{
    Actor, ActorStreamExt, Addr, AsyncContext, Context, Handler, Message, MessageResult,
    ResponseFuture, fut::wrap_stream,
};
use futures_util::stream;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::AbortHandle,
};

use super::{
    Begin, Connected, Credit, Disconnected, Drain, Endpoint, Idle, Ports, State, Status, Stop,
    Withdraw,
    attempt::{PROBE_PERIOD, Task, last_frame},
};
use crate::{
    error::{Error, Executed, Kind},
    id::{self, Attempt, Incarnation, Revision},
    invariant::{self, Point},
    link::Session,
    unit::Bytes,
    wire::{Frame, Load, Report, Submit, Work},
};

/// What a worker needs.
pub struct Config {
    /// Name of the endpoint.
    pub name: id::Endpoint,
    /// This run of the agent. Attempts meant for another run are refused.
    pub incarnation: Incarnation,
    /// The endpoint.
    pub endpoint: Rc<dyn Endpoint>,
    /// Decides on operations that must not run twice. Missing at an engine.
    pub ledger: Option<Ports>,
    /// Revision of the document in force, for reports.
    pub revision: watch::Receiver<Revision>,
    /// Called with each report that is due: every second, and at once on a change that entries
    /// have to know.
    pub report: Box<dyn Fn(Report)>,
}

impl fmt::Debug for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Config")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// The attempts in progress on the endpoint.
#[derive(Debug)]
pub struct Worker {
    config: Config,
    attempts: HashMap<Attempt, Running>,
    /// Connections of entries.
    sessions: HashSet<Session>,
    leaving: bool,
    /// Kept apart from `leaving`, because the holder of the group resumes an endpoint for whose
    /// drain it finds no reason.
    stopping: bool,
    state: State,
    idle: Vec<oneshot::Sender<()>>,
}

#[derive(Debug)]
struct Running {
    session: Session,
    /// An operation that runs at most once is completed even if nobody waits for its answer.
    once: bool,
    credit: mpsc::UnboundedSender<Bytes>,
    task: AbortHandle,
}

/// Starts the actor.
#[must_use]
pub fn spawn(config: Config) -> Addr<Worker> {
    let worker = Worker {
        config,
        attempts: HashMap::new(),
        sessions: HashSet::new(),
        leaving: false,
        stopping: false,
        state: State::default(),
        idle: Vec::new(),
    };
    worker.start()
}

impl Actor for Worker {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        probe(ctx.address(), Rc::clone(&self.config.endpoint));
        ctx.run_interval(PROBE_PERIOD, |worker, ctx| {
            worker.send_report();
            probe(ctx.address(), Rc::clone(&worker.config.endpoint));
        });
        // An entry that lacks the document learns of it from the report, so that an edit spreads
        // without waiting for the next report at each agent on its way.
        let changes = stream::unfold(self.config.revision.clone(), |mut revision| async move {
            revision.changed().await.ok()?;
            Some(((), revision))
        });
        let reports = wrap_stream(changes).map(|(), worker: &mut Self, _ctx| worker.send_report());
        ctx.spawn(reports.finish());
    }

    fn stopped(&mut self, _ctx: &mut Self::Context) {
        for (_attempt, running) in self.attempts.drain() {
            running.task.abort();
        }
    }
}

/// Asks the endpoint for its state without holding up the worker.
fn probe(worker: Addr<Worker>, endpoint: Rc<dyn Endpoint>) {
    tokio::task::spawn_local(async move {
        match endpoint.state().await {
            Ok(state) => worker.do_send(Probed(state)),
            Err(error) => log::warn!(kind:% = error.kind(); "endpoint reported no load"),
        }
    });
}

impl Worker {
    fn report(&self) -> Report {
        let in_progress = u32::try_from(self.attempts.len()).unwrap_or(u32::MAX);
        Report {
            endpoint: self.config.name.clone(),
            revision: *self.config.revision.borrow(),
            leaving: self.is_leaving(),
            drained: self.leaving,
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

    const fn is_leaving(&self) -> bool {
        self.leaving || self.stopping || self.state.draining
    }

    /// Why an attempt cannot be started, if it cannot. Nothing was sent to the endpoint.
    fn refusal(&self, submit: &Submit) -> Option<Error> {
        let error = if submit.incarnation != self.config.incarnation {
            Error::new(Kind::WrongIncarnation, "the agent was restarted")
        } else if self.is_leaving() {
            Error::new(Kind::Leaving, "the endpoint is leaving")
        } else if self.attempts.contains_key(&submit.attempt) {
            Error::new(Kind::BadRequest, "the attempt is in progress")
        } else if submit.time_left.is_zero() {
            Error::new(Kind::Deadline, "the attempt arrived too late")
        } else {
            return None;
        };
        Some(error.with_executed(Executed::No))
    }

    fn start_attempt(&mut self, begin: Begin, worker: Addr<Self>) {
        invariant::check(Point::Leaving, !self.is_leaving(), || {
            format!("attempt {} started while leaving", begin.submit.attempt)
        });
        let attempt = begin.submit.attempt;
        let once = matches!(&begin.submit.work, Work::Invoke(invoke) if invoke.once);
        let (credit, receiver) = mpsc::unbounded_channel();
        let task = Task {
            endpoint: Rc::clone(&self.config.endpoint),
            submit: begin.submit,
            outbox: begin.outbox,
            credit: receiver,
            ledger: self.config.ledger.clone(),
        };
        let running = async move {
            task.run().await;
            worker.do_send(Ended(attempt));
        };
        let task = tokio::task::spawn_local(running).abort_handle();
        let running = Running {
            session: begin.session,
            once,
            credit,
            task,
        };
        self.attempts.insert(attempt, running);
    }

    fn cancel(&mut self, attempt: Attempt) {
        if self
            .attempts
            .get(&attempt)
            .is_some_and(|running| !running.once)
            && let Some(running) = self.attempts.remove(&attempt)
        {
            running.task.abort();
            self.notice_idle();
        }
    }

    fn notice_idle(&mut self) {
        if self.attempts.is_empty() {
            for waiting in self.idle.drain(..) {
                // The one who asked may have gone away.
                let _closed = waiting.send(());
            }
        }
    }
}

impl Handler<Begin> for Worker {
    type Result = ();

    fn handle(&mut self, msg: Begin, ctx: &mut Self::Context) {
        match self.refusal(&msg.submit) {
            Some(error) => {
                log::info!(request:% = msg.submit.attempt.request(), caller:% = msg.submit.caller,
                    class:% = msg.submit.class, endpoint:% = self.config.name,
                    kind:% = error.kind(); "attempt refused");
                msg.outbox.send(last_frame(msg.submit.attempt, Err(error)));
            }
            None => self.start_attempt(msg, ctx.address()),
        }
    }
}

impl Handler<Credit> for Worker {
    type Result = ();

    fn handle(&mut self, msg: Credit, _ctx: &mut Self::Context) {
        if let Some(running) = self.attempts.get(&msg.attempt) {
            // The task may have ended; its `Ended` is then on the way.
            let _ended = running.credit.send(msg.bytes);
        }
    }
}

impl Handler<Withdraw> for Worker {
    type Result = ();

    fn handle(&mut self, Withdraw(attempt): Withdraw, _ctx: &mut Self::Context) {
        self.cancel(attempt);
    }
}

impl Handler<Disconnected> for Worker {
    type Result = ();

    fn handle(&mut self, Disconnected(session): Disconnected, _ctx: &mut Self::Context) {
        self.sessions.remove(&session);
        let of_session = self
            .attempts
            .iter()
            .filter(|(_, running)| running.session == session);
        let attempts: Vec<Attempt> = of_session.map(|(attempt, _)| *attempt).collect();
        for attempt in attempts {
            self.cancel(attempt);
        }
    }
}

impl Handler<Drain> for Worker {
    type Result = ();

    fn handle(&mut self, Drain(leaving): Drain, _ctx: &mut Self::Context) {
        if self.leaving != leaving {
            log::info!(endpoint:% = self.config.name, leaving = leaving; "drain state changed");
            self.leaving = leaving;
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

impl Handler<Status> for Worker {
    type Result = MessageResult<Status>;

    fn handle(&mut self, _status: Status, _ctx: &mut Self::Context) -> Self::Result {
        MessageResult(self.report())
    }
}

impl Handler<Idle> for Worker {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _idle: Idle, _ctx: &mut Self::Context) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        self.idle.push(sender);
        self.notice_idle();
        Box::pin(async move {
            // A worker that stopped has nothing in progress either.
            let _stopped = receiver.await;
        })
    }
}

/// An attempt ended and its last frame is queued.
#[derive(Message)]
#[rtype(result = "()")]
struct Ended(Attempt);

impl Handler<Ended> for Worker {
    type Result = ();

    fn handle(&mut self, Ended(attempt): Ended, _ctx: &mut Self::Context) {
        self.attempts.remove(&attempt);
        self.notice_idle();
    }
}

/// The endpoint told its state.
#[derive(Message)]
#[rtype(result = "()")]
struct Probed(State);

impl Handler<Probed> for Worker {
    type Result = ();

    fn handle(&mut self, Probed(state): Probed, _ctx: &mut Self::Context) {
        let urgent = state.role != self.state.role
            || state.models != self.state.models
            || state.draining != self.state.draining;
        self.state = state;
        if urgent {
            self.send_report();
        }
    }
}
