use std::{collections::HashMap, rc::Rc};

use actix::{
    Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, ResponseFuture,
    WrapFuture,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::sync::{mpsc, oneshot};

use super::{
    Claim, Claimed, Digest, Lookup, Outcome, Record, Release, Result, STORED_BODY_MAX_BYTES, Stop,
    batch::{Batcher, CasRequest},
    claim::{ClaimResult, ClaimWriter, in_progress, key_reused, unavailable},
    imp::{StoredClaim, presence_path},
    presence::{LeaseValidity, Presence},
};
use crate::{
    clock,
    error::{Error, Executed, Kind},
    id::{Attempt, Endpoint, Incarnation, Revision},
    invariant::{self, Invariant},
    store::{Path, Store},
    wire::Recorded,
};

/// Claims held at a time, each of about 1 KiB of memory.
const ACTIVE_CLAIMS_MAX: usize = 8192;
/// Bytes of outcomes not yet in the store, a quarter of the memory for control.
const PENDING_BYTES_MAX: usize = 8 << 20;

/// Configuration and dependencies of a [`Ledger`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Platform store that holds the claims.
    pub store: Rc<dyn Store>,
    /// Source of time.
    pub clock: clock::Shared,
    /// Incarnation of this agent.
    pub incarnation: Incarnation,
    /// Endpoint of the agent, which names its presence key.
    pub endpoint: Endpoint,
    /// Seed of the retry jitter.
    pub seed: u64,
}

/// Starts a ledger. It refuses claims with `StoreUnavailable` until its presence key is in the
/// store.
///
/// # Errors
///
/// Fails if the name of the endpoint does not form a valid store key.
pub fn spawn(config: Config) -> Result<Addr<Ledger>> {
    let presence_key = presence_path(&config.endpoint)?;
    let (requests, queue) = mpsc::unbounded_channel();
    let ledger = Ledger {
        rng: StdRng::seed_from_u64(config.seed),
        validity: LeaseValidity::default(),
        active: HashMap::new(),
        pending_bytes: 0,
        requests,
        config,
    };
    Ok(Ledger::create(|ctx| {
        let Config { store, clock, .. } = ledger.config.clone();
        let batcher = Batcher::new(Rc::clone(&store), clock::Shared::clone(&clock), queue);
        let presence = Presence {
            store,
            clock,
            path: presence_key,
            incarnation: ledger.config.incarnation,
            validity: ledger.validity.clone(),
        };
        ctx.spawn(batcher.run().into_actor(&ledger));
        ctx.spawn(presence.run().into_actor(&ledger));
        ledger
    }))
}

/// Actor that holds the claims of one agent. All its futures are spawned in its context, so that
/// nothing is written after it has stopped.
#[derive(Debug)]
pub struct Ledger {
    config: Config,
    rng: StdRng,
    validity: LeaseValidity,
    /// Claims of this incarnation, until the store has their outcome or they are removed from it.
    active: HashMap<Path, ActiveClaim>,
    /// Body bytes of the outcomes that are not yet in the store.
    pending_bytes: usize,
    requests: mpsc::UnboundedSender<CasRequest>,
}

#[derive(Debug)]
struct ActiveClaim {
    attempt: Attempt,
    digest: Digest,
    phase: Phase,
}

#[derive(Debug)]
enum Phase {
    /// The store has not confirmed the claim.
    Claiming,
    /// The sender released the claim before it was confirmed.
    Withdrawn,
    /// The operation may run. The claim has this revision.
    Running(Revision),
    /// The operation has ended. Its outcome is not yet in the store.
    Recording(Outcome),
    /// The operation did not start. The claim is being removed from the store.
    Releasing,
}

type Reply = oneshot::Sender<Result<Claimed>>;

impl Ledger {
    fn writer(&self, path: &Path, claim: &Claim, outcome: Option<Outcome>) -> ClaimWriter {
        ClaimWriter {
            store: Rc::clone(&self.config.store),
            requests: self.requests.clone(),
            path: path.clone(),
            entry: StoredClaim {
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

    /// Whether the presence key certainly exists, so that other agents see this one as running.
    fn presence_is_valid(&self) -> bool {
        self.validity.is_valid_at(self.config.clock.now())
    }

    /// Answers a claim from memory. Returns `None` if the store has to decide.
    fn answer_from_memory(&self, path: &Path, claim: &Claim) -> Option<Result<Claimed>> {
        if let Some(active) = self.active.get(path) {
            if active.digest != claim.digest {
                return Some(Err(key_reused()));
            }
            return Some(match &active.phase {
                Phase::Recording(outcome) => Ok(outcome.clone().into()),
                _ => Err(in_progress()),
            });
        }
        let full =
            self.active.len() >= ACTIVE_CLAIMS_MAX || self.pending_bytes >= PENDING_BYTES_MAX;
        (full || !self.presence_is_valid()).then(|| Err(unavailable()))
    }

    fn start_claim(&mut self, path: Path, claim: Claim, reply: Reply, ctx: &mut Context<Self>) {
        let active = ActiveClaim {
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
        result: ClaimResult,
        reply: Reply,
        ctx: &mut Context<Self>,
    ) {
        let answer = match result {
            ClaimResult::Held(revision) => match self.grant(path, claim, revision) {
                Ok(()) => Ok(Claimed::Fresh),
                Err(error) => {
                    self.remove_claim(path, claim, Some(revision), ctx);
                    Err(error)
                }
            },
            ClaimResult::Unconfirmed(error) => {
                self.remove_claim(path, claim, None, ctx);
                Err(error)
            }
            ClaimResult::Ended(outcome) => {
                self.active.remove(path);
                Ok(outcome.into())
            }
            ClaimResult::Refused(error) => {
                self.active.remove(path);
                Err(error)
            }
        };
        let started = matches!(answer, Ok(Claimed::Fresh));
        if reply.send(answer).is_err() && started {
            self.release(path, claim, ctx).unwrap_or_else(|error| {
                log::warn!(path:% = path; "failed to release an abandoned claim: {error}");
            });
        }
    }

    /// Allows the operation to start if the sender still waits and the presence key is certainly
    /// valid. Without the key, other agents report the claim as unsettled.
    fn grant(&mut self, path: &Path, claim: &Claim, revision: Revision) -> Result<()> {
        let valid = self.presence_is_valid();
        let active = self.active.get_mut(path);
        let pending = active.filter(|active| {
            active.attempt == claim.attempt
                && matches!(active.phase, Phase::Claiming | Phase::Withdrawn)
        });
        invariant::check(Invariant::AtMostOnce, pending.is_some(), || {
            format!(
                "{} confirmed for {} without a pending claim",
                path, claim.attempt
            )
        });
        let Some(active) = pending else {
            return Err(in_progress());
        };
        if matches!(active.phase, Phase::Withdrawn) {
            let error = Error::new(Kind::Deadline, "the attempt was withdrawn");
            return Err(error.with_executed(Executed::No));
        }
        if !valid {
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
                invariant::check(Invariant::NotRun, false, || {
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
                invariant::check(Invariant::NotRun, false, || {
                    format!("{} has an outcome without a claim", claim.attempt)
                });
                return Err(Error::new(Kind::Internal, "the attempt holds no claim"));
            }
        };
        let available = PENDING_BYTES_MAX.saturating_sub(self.pending_bytes);
        let outcome = outcome.limit_body(STORED_BODY_MAX_BYTES.min(available));
        let size = outcome.body.len();
        active.phase = Phase::Recording(outcome.clone());
        self.pending_bytes += size;
        let (writer, rng) = (self.writer(&path, &claim, Some(outcome)), self.fork_rng());
        let write = async move { writer.record(revision, rng).await };
        ctx.spawn(write.into_actor(self).map(move |(), ledger, _ctx| {
            ledger.active.remove(&path);
            ledger.pending_bytes -= size;
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
        if let Some(answer) = self.answer_from_memory(&path, &msg) {
            return Box::pin(async move { answer });
        }
        let (reply, answer) = oneshot::channel();
        self.start_claim(path, msg, reply, ctx);
        Box::pin(async move {
            let ended = |_closed| Err(Error::new(Kind::Unsettled, "the agent has ended"));
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
            let entry = StoredClaim::decode(&item.value).ok();
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
