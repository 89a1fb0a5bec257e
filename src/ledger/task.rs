use std::{collections::HashMap, rc::Rc};

use actix::{
    Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, ResponseFuture,
    WrapFuture,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::sync::{mpsc, oneshot};

use super::{
    BODY_MAX, Claim, Claimed, Digest, Lookup, Outcome, Record, Release, Result, Stop,
    batch::{Batcher, Job},
    claim::{Arbitration, Writer, in_progress, key_reused, unavailable},
    imp::{Entry, presence_path},
    presence::{Freshness, Presence},
};
use crate::{
    clock,
    error::{Error, Executed, Kind},
    id::{Attempt, Endpoint, Incarnation, Revision},
    invariant::{self, Point},
    store::{Path, Store},
    wire::Recorded,
};

/// Claims that are held at a time: about 1 KiB of memory each.
const ACTIVE_MAX: usize = 8192;
/// Bytes of outcomes that wait for the store, a quarter of the memory for control.
const WAITING_MAX: usize = 8 << 20;

/// Parts of a ledger.
#[derive(Clone, Debug)]
pub struct Config {
    /// The platform store.
    pub store: Rc<dyn Store>,
    /// Source of time.
    pub clock: clock::Shared,
    /// This run of the agent.
    pub incarnation: Incarnation,
    /// The endpoint of the agent.
    pub endpoint: Endpoint,
    /// Seed of the jitter of retries.
    pub seed: u64,
}

/// Starts a ledger. It accepts claims once its presence key is in the store.
///
/// # Errors
///
/// If the endpoint does not form a store key.
pub fn spawn(config: Config) -> Result<Addr<Ledger>> {
    let presence = presence_path(&config.endpoint)?;
    let (jobs, queue) = mpsc::unbounded_channel();
    let ledger = Ledger {
        rng: StdRng::seed_from_u64(config.seed),
        freshness: Freshness::default(),
        active: HashMap::new(),
        waiting_bytes: 0,
        jobs,
        config,
    };
    Ok(Ledger::create(|ctx| {
        let Config { store, clock, .. } = ledger.config.clone();
        let batcher = Batcher::new(Rc::clone(&store), clock::Shared::clone(&clock), queue);
        let keep = Presence {
            store,
            clock,
            path: presence,
            incarnation: ledger.config.incarnation,
            freshness: ledger.freshness.clone(),
        };
        ctx.spawn(batcher.run().into_actor(&ledger));
        ctx.spawn(keep.keep().into_actor(&ledger));
        ledger
    }))
}

/// Actor that holds the claims of one agent. Its futures belong to it, so that nothing is written
/// after it has ended.
#[derive(Debug)]
pub struct Ledger {
    config: Config,
    rng: StdRng,
    freshness: Freshness,
    /// Claims of this run, until they are recorded or released in the store.
    active: HashMap<Path, Active>,
    waiting_bytes: usize,
    jobs: mpsc::UnboundedSender<Job>,
}

#[derive(Debug)]
struct Active {
    attempt: Attempt,
    digest: Digest,
    phase: Phase,
}

#[derive(Debug)]
enum Phase {
    /// The store has not confirmed the claim.
    Claiming,
    /// The sender gave the claim back before it was confirmed.
    Withdrawn,
    /// The operation may run.
    Running(Revision),
    /// The operation ended; the store does not have the outcome yet.
    Recording(Outcome),
    /// The operation did not start; the claim is being removed.
    Releasing,
}

type Reply = oneshot::Sender<Result<Claimed>>;

impl Ledger {
    fn writer(&self, path: &Path, claim: &Claim, outcome: Option<Outcome>) -> Writer {
        Writer {
            store: Rc::clone(&self.config.store),
            jobs: self.jobs.clone(),
            path: path.clone(),
            entry: Entry {
                endpoint: self.config.endpoint.clone(),
                incarnation: self.config.incarnation,
                attempt: claim.attempt,
                digest: claim.digest,
                outcome,
            },
        }
    }

    fn fork_rng(&mut self) -> StdRng {
        StdRng::seed_from_u64(self.rng.random())
    }

    fn is_fresh(&self) -> bool {
        self.freshness.covers(self.config.clock.now())
    }

    /// Answers from memory. None if the store has to decide.
    fn local_answer(&self, path: &Path, claim: &Claim) -> Option<Result<Claimed>> {
        if let Some(active) = self.active.get(path) {
            if active.digest != claim.digest {
                return Some(Err(key_reused()));
            }
            return Some(match &active.phase {
                Phase::Recording(outcome) => Ok(outcome.clone().into()),
                _ => Err(in_progress()),
            });
        }
        let full = self.active.len() >= ACTIVE_MAX || self.waiting_bytes >= WAITING_MAX;
        (full || !self.is_fresh()).then(|| Err(unavailable()))
    }

    fn start_claim(&mut self, path: Path, claim: Claim, reply: Reply, ctx: &mut Context<Self>) {
        let active = Active {
            attempt: claim.attempt,
            digest: claim.digest,
            phase: Phase::Claiming,
        };
        self.active.insert(path.clone(), active);
        let writer = self.writer(&path, &claim, None);
        let arbitrate = async move { writer.claim().await };
        ctx.spawn(arbitrate.into_actor(self).map(move |result, ledger, ctx| {
            ledger.finish_claim(&path, &claim, result, reply, ctx);
        }));
    }

    fn finish_claim(
        &mut self,
        path: &Path,
        claim: &Claim,
        result: Arbitration,
        reply: Reply,
        ctx: &mut Context<Self>,
    ) {
        let answer = match result {
            Arbitration::Held(revision) => match self.grant(path, claim, revision) {
                Ok(()) => Ok(Claimed::Fresh),
                Err(error) => {
                    self.remove_claim(path, claim, Some(revision), ctx);
                    Err(error)
                }
            },
            Arbitration::Lost(error) => {
                self.remove_claim(path, claim, None, ctx);
                Err(error)
            }
            Arbitration::Ended(outcome) => {
                self.active.remove(path);
                Ok(outcome.into())
            }
            Arbitration::Refused(error) => {
                self.active.remove(path);
                Err(error)
            }
        };
        let started = matches!(answer, Ok(Claimed::Fresh));
        if reply.send(answer).is_err() && started {
            self.release(path, claim, ctx).unwrap_or_else(|error| {
                log::warn!(path:% = path; "claim of a sender that is gone: {error}");
            });
        }
    }

    /// Lets the operation start, if the sender still waits and this run is certainly not taken
    /// for dead: others report a claim of a dead run as unsettled.
    fn grant(&mut self, path: &Path, claim: &Claim, revision: Revision) -> Result<()> {
        let fresh = self.is_fresh();
        let active = self.active.get_mut(path);
        let pending = active.filter(|active| {
            active.attempt == claim.attempt
                && matches!(active.phase, Phase::Claiming | Phase::Withdrawn)
        });
        invariant::check(Point::AtMostOnce, pending.is_some(), || {
            format!("{} confirmed for {} without a claim", path, claim.attempt)
        });
        let Some(active) = pending else {
            return Err(in_progress());
        };
        if matches!(active.phase, Phase::Withdrawn) {
            let error = Error::new(Kind::Deadline, "the attempt was withdrawn");
            return Err(error.with_executed(Executed::No));
        }
        if !fresh {
            return Err(unavailable());
        }
        active.phase = Phase::Running(revision);
        Ok(())
    }

    fn remove_claim(
        &mut self,
        path: &Path,
        claim: &Claim,
        modified: Option<Revision>,
        ctx: &mut Context<Self>,
    ) {
        if let Some(active) = self.active.get_mut(path) {
            active.phase = Phase::Releasing;
        }
        let (writer, rng, path) = (
            self.writer(path, claim, None),
            self.fork_rng(),
            path.clone(),
        );
        let release = async move { writer.release(modified, rng).await };
        ctx.spawn(release.into_actor(self).map(move |(), ledger, _ctx| {
            ledger.active.remove(&path);
        }));
    }

    fn release(&mut self, path: &Path, claim: &Claim, ctx: &mut Context<Self>) -> Result<()> {
        let active = self.active.get_mut(path);
        let Some(active) = active.filter(|active| active.attempt == claim.attempt) else {
            return Err(Error::new(Kind::NotFound, "the attempt holds no claim"));
        };
        match active.phase {
            Phase::Claiming => active.phase = Phase::Withdrawn,
            Phase::Running(revision) => self.remove_claim(path, claim, Some(revision), ctx),
            Phase::Withdrawn | Phase::Releasing => {}
            Phase::Recording(_) => {
                invariant::check(Point::NotRun, false, || {
                    format!("{} released after its outcome", claim.attempt)
                });
                return Err(Error::new(Kind::Internal, "the operation has run")
                    .with_executed(Executed::Yes));
            }
        }
        Ok(())
    }

    fn record(&mut self, record: Record, ctx: &mut Context<Self>) -> Result<()> {
        let Record { claim, outcome } = record;
        let path = claim.lookup().path()?;
        let Some(active) = self.active.get_mut(&path) else {
            return Err(Error::new(Kind::NotFound, "the attempt holds no claim"));
        };
        let revision = match active.phase {
            Phase::Running(revision) if active.attempt == claim.attempt => revision,
            Phase::Recording(_) if active.attempt == claim.attempt => return Ok(()),
            _ => {
                invariant::check(Point::NotRun, false, || {
                    format!("{} has an outcome without a claim", claim.attempt)
                });
                return Err(Error::new(Kind::Internal, "the attempt holds no claim"));
            }
        };
        let room = WAITING_MAX.saturating_sub(self.waiting_bytes);
        let outcome = outcome.bounded(BODY_MAX.min(room));
        let size = outcome.body.len();
        active.phase = Phase::Recording(outcome.clone());
        self.waiting_bytes += size;
        let (writer, rng) = (self.writer(&path, &claim, Some(outcome)), self.fork_rng());
        let write = async move { writer.record(revision, rng).await };
        ctx.spawn(write.into_actor(self).map(move |(), ledger, _ctx| {
            ledger.active.remove(&path);
            ledger.waiting_bytes -= size;
        }));
        Ok(())
    }
}

impl Actor for Ledger {
    type Context = Context<Self>;
}

impl Handler<Claim> for Ledger {
    type Result = ResponseFuture<Result<Claimed>>;

    fn handle(&mut self, msg: Claim, ctx: &mut Self::Context) -> Self::Result {
        let path = match msg.lookup().path() {
            Ok(path) => path,
            Err(error) => return Box::pin(async move { Err(error) }),
        };
        if let Some(answer) = self.local_answer(&path, &msg) {
            return Box::pin(async move { answer });
        }
        let (reply, answer) = oneshot::channel();
        self.start_claim(path, msg, reply, ctx);
        Box::pin(async move {
            let ended = |_gone| Err(Error::new(Kind::Unsettled, "the agent has ended"));
            answer.await.unwrap_or_else(ended)
        })
    }
}

impl Handler<Record> for Ledger {
    type Result = Result<()>;

    fn handle(&mut self, msg: Record, ctx: &mut Self::Context) -> Self::Result {
        self.record(msg, ctx)
    }
}

impl Handler<Release> for Ledger {
    type Result = Result<()>;

    fn handle(&mut self, Release(claim): Release, ctx: &mut Self::Context) -> Self::Result {
        self.release(&claim.lookup().path()?, &claim, ctx)
    }
}

impl Handler<Lookup> for Ledger {
    type Result = ResponseFuture<Recorded>;

    fn handle(&mut self, msg: Lookup, _ctx: &mut Self::Context) -> Self::Result {
        let Ok(path) = msg.path() else {
            return Box::pin(async { Recorded::Absent });
        };
        let phase = self.active.get(&path).map(|active| &active.phase);
        if let Some(Phase::Recording(outcome)) = phase {
            let recorded = Recorded::from(outcome.clone());
            return Box::pin(async move { recorded });
        }
        let store = Rc::clone(&self.config.store);
        Box::pin(async move {
            let Ok(range) = store.get(path).await else {
                return Recorded::Unavailable;
            };
            let Some(item) = range.items.first() else {
                return Recorded::Absent;
            };
            let entry = Entry::decode(&item.value).ok();
            let outcome = entry.and_then(|entry| entry.outcome);
            outcome.map_or(Recorded::Started, Recorded::from)
        })
    }
}

impl Handler<Stop> for Ledger {
    type Result = ();

    fn handle(&mut self, Stop: Stop, ctx: &mut Self::Context) {
        ctx.terminate();
    }
}
