use std::{collections::HashMap, net::SocketAddr, time::Duration};

use actix::prelude::*;
use mulberrymill::{
    clock,
    error::{Error, Kind},
    id::{self, Fence},
    unit::Tokens,
    wire,
};
use tokio::sync::{mpsc, oneshot};

use super::{Block, Config, Event, Fault, Generate, Job, Model, Output, Report, Result, Tally};
use crate::port::Port;

/// A running engine stand-in. It stops when the handle and its connections are gone.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(super) engine: Addr<Engine>,
    pub(super) port: Port,
    pub(super) faults: Port,
}

impl Handle {
    /// Where the engine listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Where `POST /fault` is accepted even while the engine is down.
    #[must_use]
    pub const fn fault_address(&self) -> SocketAddr {
        self.faults.address()
    }

    /// Injects a fault and waits until it is in effect.
    ///
    /// # Errors
    ///
    /// Fails if the port of a restarting engine is taken.
    pub async fn fault(&self, fault: Fault) -> Result<()> {
        let sent = self.engine.send(Inject(fault)).await;
        sent.map_err(|_error| stopped())?
    }

    /// What the engine counted.
    ///
    /// # Errors
    ///
    /// Fails if the engine has stopped.
    pub async fn tally(&self) -> Result<Tally> {
        self.engine.send(Counts).await.map_err(|_error| stopped())
    }

    /// Requests that the engine has accepted since it was made, those that are resumed included.
    ///
    /// # Errors
    ///
    /// Fails if the engine has stopped.
    pub async fn accepted(&self) -> Result<u64> {
        self.engine.send(Accepted).await.map_err(|_error| stopped())
    }
}

pub(super) fn stopped() -> Error {
    Error::new(Kind::Internal, "the engine stand-in has stopped")
}

/// A part of an answer. A stream that closes without [`Piece::End`] is broken.
#[derive(Debug)]
pub(super) enum Piece {
    Text(String),
    End(Tokens, Tokens),
}

/// Withdraws its job when dropped.
#[derive(Debug)]
pub(super) struct Subscription {
    job: Job,
    engine: Addr<Engine>,
    pub pieces: mpsc::UnboundedReceiver<Piece>,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.engine.do_send(Cancel(self.job));
    }
}

#[derive(Message)]
#[rtype(result = "Result<Subscription>")]
pub(super) struct Submit(pub Generate);

#[derive(Message)]
#[rtype(result = "()")]
struct Cancel(Job);

#[derive(Message)]
#[rtype(result = "Result<()>")]
pub(super) struct Order(pub wire::Change, pub Option<Fence>);

#[derive(Message)]
#[rtype(result = "(Report, Duration)")]
pub(super) struct Load;

#[derive(Message)]
#[rtype(result = "Vec<Event>")]
pub(super) struct Events(pub u64);

#[derive(Message)]
#[rtype(result = "Vec<Block>")]
pub(super) struct Export(pub id::Model, pub String);

#[derive(Message)]
#[rtype(result = "usize")]
pub(super) struct Import(pub Vec<Block>);

#[derive(Message)]
#[rtype(result = "Result<()>")]
pub(super) struct Inject(pub Fault);

#[derive(Message)]
#[rtype(result = "Tally")]
pub(super) struct Counts;

#[derive(Message)]
#[rtype(result = "u64")]
struct Accepted;

#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Attach(pub Port);

/// Owns the model and the senders of its streams, and wakes when the model is due.
#[derive(Debug)]
pub(super) struct Engine {
    model: Model,
    streams: HashMap<Job, mpsc::UnboundedSender<Piece>>,
    order: Option<oneshot::Sender<Result<()>>>,
    port: Option<Port>,
    wake: Option<SpawnHandle>,
    jobs: u64,
}

impl Engine {
    pub(super) fn new(config: Config) -> Self {
        Self {
            model: Model::new(config, clock::System::shared()),
            streams: HashMap::new(),
            order: None,
            port: None,
            wake: None,
            jobs: 0,
        }
    }

    /// Passes on what the model did and sets the timer for its next event.
    fn drive(&mut self, ctx: &mut Context<Self>) {
        for output in self.model.poll() {
            self.pass(output, ctx);
        }
        if let Some(wake) = self.wake.take() {
            ctx.cancel_future(wake);
        }
        if let Some(due) = self.model.due() {
            let wait = due.saturating_duration_since(clock::Clock::now(&clock::System));
            self.wake = Some(ctx.run_later(wait, |engine, ctx| {
                engine.wake = None;
                engine.drive(ctx);
            }));
        }
    }

    fn pass(&mut self, output: Output, ctx: &mut Context<Self>) {
        match output {
            Output::Text(job, text) => {
                if let Some(stream) = self.streams.get(&job) {
                    let _reader = stream.send(Piece::Text(text));
                }
            }
            Output::End(job, prompt, tokens) => {
                if let Some(stream) = self.streams.remove(&job) {
                    let _reader = stream.send(Piece::End(prompt, tokens));
                }
            }
            Output::Broken(job) => drop(self.streams.remove(&job)),
            Output::Applied => {
                if let Some(order) = self.order.take() {
                    let _asker = order.send(Ok(()));
                }
            }
            Output::Crashed => {
                self.streams.clear();
                self.order = None;
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
        self.jobs += 1;
        let job = Job::new(self.jobs);
        self.model.submit(job, &work)?;
        let (sender, pieces) = mpsc::unbounded_channel();
        self.streams.insert(job, sender);
        self.drive(ctx);
        Ok(Subscription {
            job,
            engine: ctx.address(),
            pieces,
        })
    }
}

impl Handler<Cancel> for Engine {
    type Result = ();

    fn handle(&mut self, Cancel(job): Cancel, ctx: &mut Self::Context) {
        if self.streams.remove(&job).is_some() {
            self.model.cancel(job);
            self.drive(ctx);
        }
    }
}

impl Handler<Order> for Engine {
    type Result = ResponseFuture<Result<()>>;

    fn handle(&mut self, msg: Order, ctx: &mut Self::Context) -> Self::Result {
        // Outputs of an earlier order are passed on before its sender is replaced.
        self.drive(ctx);
        if let Err(error) = self.model.order(msg.0, msg.1) {
            return Box::pin(async { Err(error) });
        }
        let (sender, done) = oneshot::channel();
        self.order = Some(sender);
        self.drive(ctx);
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

    fn handle(&mut self, Import(hashes): Import, _: &mut Self::Context) -> usize {
        self.model.import(&hashes)
    }
}

impl Handler<Inject> for Engine {
    type Result = ResponseFuture<Result<()>>;

    fn handle(&mut self, Inject(fault): Inject, ctx: &mut Self::Context) -> Self::Result {
        self.model.fault(fault);
        self.drive(ctx);
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

impl Handler<Counts> for Engine {
    type Result = MessageResult<Counts>;

    fn handle(&mut self, _: Counts, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.model.tally())
    }
}

impl Handler<Accepted> for Engine {
    type Result = u64;

    fn handle(&mut self, _: Accepted, _: &mut Self::Context) -> u64 {
        self.model.accepted()
    }
}

impl Handler<Attach> for Engine {
    type Result = ();

    fn handle(&mut self, Attach(port): Attach, _: &mut Self::Context) {
        self.port = Some(port);
    }
}
