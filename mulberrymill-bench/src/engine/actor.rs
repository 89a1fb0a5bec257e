use std::{collections::HashMap, net::SocketAddr, time::Duration};

use actix::prelude::*;
use mulberrymill::{
    clock,
    error::{Error, Kind},
    id::{self, Fence},
    unit::Tokens,
    wire,
};
use tokio::sync::{mpsc, oneshot, watch};

use super::{Block, Config, Event, Fault, Generate, Job, Model, Output, Report, Result, Tally};
use crate::port::Port;

/// Handle of a running engine stand-in, which stops once all handles are dropped and all
/// connections are closed.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(super) engine: Addr<Engine>,
    pub(super) port: Port,
    pub(super) fault_port: Port,
}

impl Handle {
    /// Address of the engine API.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Address that serves `POST /fault` and `GET /control/tally` even while the engine is down.
    #[must_use]
    pub const fn fault_address(&self) -> SocketAddr {
        self.fault_port.address()
    }

    /// Injects a fault and waits until it is in effect.
    ///
    /// # Errors
    ///
    /// Fails if the port of a restarting engine is taken or the engine has stopped.
    pub async fn fault(&self, fault: Fault) -> Result<()> {
        let sent = self.engine.send(InjectFault(fault)).await;
        sent.map_err(|_error| stopped_error())?
    }

    /// Counters since the creation of the engine.
    ///
    /// # Errors
    ///
    /// Fails if the engine has stopped.
    pub async fn tally(&self) -> Result<Tally> {
        self.engine
            .send(GetTally)
            .await
            .map_err(|_error| stopped_error())
    }

    /// Number of requests accepted since the creation of the engine, including resumed ones.
    ///
    /// # Errors
    ///
    /// Fails if the engine has stopped.
    pub async fn accepted(&self) -> Result<u64> {
        self.engine
            .send(GetAccepted)
            .await
            .map_err(|_error| stopped_error())
    }
}

pub(super) fn stopped_error() -> Error {
    Error::new(Kind::Internal, "the engine stand-in has stopped")
}

/// Part of an answer. A channel that closes without [`AnswerPart::End`] means a broken answer.
#[derive(Debug)]
pub(super) enum AnswerPart {
    Text(String),
    /// End of the answer, with the numbers of prompt and answer tokens.
    End(Tokens, Tokens),
}

/// Receiver of an answer; cancels the request when dropped.
#[derive(Debug)]
pub(super) struct Subscription {
    job: Job,
    engine: Addr<Engine>,
    pub parts: mpsc::UnboundedReceiver<AnswerPart>,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.engine.do_send(Cancel(self.job));
    }
}

/// Queues a request.
#[derive(Message)]
#[rtype(result = "Result<Subscription>")]
pub(super) struct Submit(pub Generate);

#[derive(Message)]
#[rtype(result = "()")]
struct Cancel(Job);

/// Starts a configuration change; the reply is sent when it is in effect.
#[derive(Message)]
#[rtype(result = "Result<()>")]
pub(super) struct Order(pub wire::Change, pub Option<Fence>);

/// Returns the latest load report and its age.
#[derive(Message)]
#[rtype(result = "(Report, Duration)")]
pub(super) struct Load;

/// Returns the cache events with sequence numbers above the given one.
#[derive(Message)]
#[rtype(result = "Vec<Event>")]
pub(super) struct Events(pub u64);

/// Returns the cached leading blocks of a prompt.
#[derive(Message)]
#[rtype(result = "Vec<Block>")]
pub(super) struct Export(pub id::Model, pub String);

/// Stores blocks of another engine; returns how many leading ones are cached.
#[derive(Message)]
#[rtype(result = "usize")]
pub(super) struct Import(pub Vec<Block>);

#[derive(Message)]
#[rtype(result = "Result<()>")]
pub(super) struct InjectFault(pub Fault);

#[derive(Message)]
#[rtype(result = "Tally")]
pub(super) struct GetTally;

#[derive(Message)]
#[rtype(result = "u64")]
struct GetAccepted;

/// Sets the port that a crash closes and a restart reopens.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct AttachPort(pub Port);

/// Actor that owns the model and the senders of its answers, and polls the model when it is due.
#[derive(Debug)]
pub(super) struct Engine {
    model: Model,
    streams: HashMap<Job, mpsc::UnboundedSender<AnswerPart>>,
    order_reply: Option<oneshot::Sender<Result<()>>>,
    port: Option<Port>,
    /// Whether all answers say that the engine is leaving.
    says_leaving: watch::Sender<bool>,
    timer: Option<SpawnHandle>,
    last_job: u64,
}

impl Engine {
    pub(super) fn new(config: Config) -> Self {
        Self {
            model: Model::new(config, clock::System::shared()),
            streams: HashMap::new(),
            order_reply: None,
            port: None,
            says_leaving: watch::Sender::default(),
            timer: None,
            last_job: 0,
        }
    }

    /// Follows whether all answers say that the engine is leaving.
    pub(super) fn says_leaving(&self) -> watch::Receiver<bool> {
        self.says_leaving.subscribe()
    }

    /// Forwards the outputs of the model and sets the timer for its next event.
    fn poll_model(&mut self, ctx: &mut Context<Self>) {
        for output in self.model.poll() {
            self.forward_output(output, ctx);
        }
        if let Some(timer) = self.timer.take() {
            ctx.cancel_future(timer);
        }
        if let Some(due) = self.model.due() {
            let delay = due.saturating_duration_since(clock::Clock::now(&clock::System));
            self.timer = Some(ctx.run_later(delay, |engine, ctx| {
                engine.timer = None;
                engine.poll_model(ctx);
            }));
        }
    }

    fn forward_output(&mut self, output: Output, ctx: &mut Context<Self>) {
        match output {
            Output::Text(job, text) => {
                if let Some(stream) = self.streams.get(&job) {
                    let _closed_receiver = stream.send(AnswerPart::Text(text));
                }
            }
            Output::End(job, prompt, tokens) => {
                if let Some(stream) = self.streams.remove(&job) {
                    let _closed_receiver = stream.send(AnswerPart::End(prompt, tokens));
                }
            }
            Output::Broken(job) => drop(self.streams.remove(&job)),
            Output::Applied => {
                if let Some(reply) = self.order_reply.take() {
                    let _closed_receiver = reply.send(Ok(()));
                }
            }
            Output::Crashed => {
                self.streams.clear();
                self.order_reply = None;
                if let Some(port) = self.port.clone() {
                    ctx.spawn(async move { port.down().await }.into_actor(self));
                }
            }
        }
    }
}

impl Actor for Engine {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(4_096);
    }
}

impl Handler<Submit> for Engine {
    type Result = Result<Subscription>;

    fn handle(&mut self, Submit(work): Submit, ctx: &mut Self::Context) -> Self::Result {
        self.last_job += 1;
        let job = Job::new(self.last_job);
        self.model.submit(job, &work)?;
        let (sender, parts) = mpsc::unbounded_channel();
        self.streams.insert(job, sender);
        self.poll_model(ctx);
        Ok(Subscription {
            job,
            engine: ctx.address(),
            parts,
        })
    }
}

impl Handler<Cancel> for Engine {
    type Result = ();

    fn handle(&mut self, Cancel(job): Cancel, ctx: &mut Self::Context) {
        if self.streams.remove(&job).is_some() {
            self.model.cancel(job);
            self.poll_model(ctx);
        }
    }
}

impl Handler<Order> for Engine {
    type Result = ResponseFuture<Result<()>>;

    fn handle(&mut self, msg: Order, ctx: &mut Self::Context) -> Self::Result {
        // Outputs of an earlier order are forwarded before its sender is replaced.
        self.poll_model(ctx);
        if let Err(error) = self.model.order(msg.0, msg.1) {
            return Box::pin(async { Err(error) });
        }
        let (sender, done) = oneshot::channel();
        self.order_reply = Some(sender);
        self.poll_model(ctx);
        Box::pin(async {
            let lost = Error::new(Kind::EndpointLost, "the engine crashed during the order");
            done.await.unwrap_or(Err(lost))
        })
    }
}

impl Handler<Load> for Engine {
    type Result = MessageResult<Load>;

    fn handle(&mut self, _: Load, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.model.load())
    }
}

impl Handler<Events> for Engine {
    type Result = MessageResult<Events>;

    fn handle(&mut self, Events(after): Events, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.model.events(after))
    }
}

impl Handler<Export> for Engine {
    type Result = MessageResult<Export>;

    fn handle(&mut self, Export(model, prompt): Export, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.model.export(&model, &prompt))
    }
}

impl Handler<Import> for Engine {
    type Result = usize;

    fn handle(&mut self, Import(blocks): Import, _: &mut Self::Context) -> usize {
        self.model.import(&blocks)
    }
}

impl Handler<InjectFault> for Engine {
    type Result = ResponseFuture<Result<()>>;

    fn handle(&mut self, InjectFault(fault): InjectFault, ctx: &mut Self::Context) -> Self::Result {
        self.model.fault(fault);
        self.says_leaving.send_replace(self.model.says_leaving());
        self.poll_model(ctx);
        let port = self.port.clone();
        Box::pin(async move {
            match (fault, port) {
                (Fault::Crash, Some(port)) => port.down().await,
                (Fault::Restart, Some(port)) => port.up().await.map_err(|error| {
                    Error::new(Kind::Internal, "the port is taken").with_source(error)
                })?,
                _ => {}
            }
            Ok(())
        })
    }
}

impl Handler<GetTally> for Engine {
    type Result = MessageResult<GetTally>;

    fn handle(&mut self, _: GetTally, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.model.tally())
    }
}

impl Handler<GetAccepted> for Engine {
    type Result = u64;

    fn handle(&mut self, _: GetAccepted, _: &mut Self::Context) -> u64 {
        self.model.accepted()
    }
}

impl Handler<AttachPort> for Engine {
    type Result = ();

    fn handle(&mut self, AttachPort(port): AttachPort, _: &mut Self::Context) {
        self.port = Some(port);
    }
}
