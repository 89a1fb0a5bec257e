use std::{
    collections::BTreeMap,
    fmt,
    rc::Rc,
    time::{Duration, Instant},
};

use actix::{Actor, ActorFutureExt, Addr, AsyncContext, Context, Recipient, WrapFuture};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use tokio::time;

use super::{
    Changed, Result, Term,
    key::{self, Taken},
    term::{LEASE, RENEWAL},
};
use crate::{
    clock,
    id::{Fence, Group, Incarnation, Process},
    invariant::{self, Point},
    store::{Item, Lease, Store},
};

/// Time between looks for free groups. One read each, instead of a pending watch per process.
const POLL: Duration = Duration::from_secs(3);
/// Time until a renewal that failed is tried again.
const RENEWAL_RETRY: Duration = Duration::from_millis(500);
/// A process waits up to this time per group that it holds before it takes another, so that one
/// with fewer groups comes first.
const WAIT_PER_GROUP: Duration = Duration::from_millis(100);
/// Longest such wait, so that a process that is alone takes 50 groups within half a minute.
const WAIT_MAX: Duration = Duration::from_secs(1);

/// What a holder needs.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the process, for people who read the store.
    pub process: Process,
    /// Run of the process; also the seed of its waits.
    pub incarnation: Incarnation,
    /// The store.
    pub store: Rc<dyn Store>,
    /// The clock by which the holder stops.
    pub clock: clock::Shared,
}

/// A running holder.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Where to send messages.
    pub address: Addr<Holder>,
}

/// The actor that competes for groups.
pub struct Holder {
    pub(super) config: Config,
    rng: StdRng,
    pub(super) wanted: Vec<Group>,
    pub(super) term: Option<Term>,
    /// End of the last permit for each group. A group is not given up before.
    pub(super) permitted: BTreeMap<Group, Instant>,
    /// Highest fencing number of each group that this process has held.
    highest: BTreeMap<Group, Fence>,
    pub(super) subscribers: Vec<Recipient<Changed>>,
    competing: bool,
    renewing: bool,
}

impl fmt::Debug for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Holder")
            .field("config", &self.config)
            .field("term", &self.term)
            .finish_non_exhaustive()
    }
}

impl Holder {
    /// Starts a holder that wants no group yet. Call it inside an actix system.
    #[must_use]
    pub fn spawn(config: Config) -> Handle {
        let seed = u64::from_be_bytes(config.incarnation.to_bytes());
        let holder = Self {
            config,
            rng: StdRng::seed_from_u64(seed),
            wanted: Vec::new(),
            term: None,
            permitted: BTreeMap::new(),
            highest: BTreeMap::new(),
            subscribers: Vec::new(),
            competing: false,
            renewing: false,
        };
        Handle {
            address: holder.start(),
        }
    }

    fn announce(&self, changed: &Changed) {
        if changed.gained.is_empty() && changed.lost.is_empty() {
            return;
        }
        for subscriber in &self.subscribers {
            subscriber.do_send(changed.clone());
        }
    }

    /// Drops a term that has ended by the clock, so that no message is handled with it.
    pub(super) fn expire(&mut self) {
        let now = self.config.clock.now();
        if self.term.as_ref().is_some_and(|term| !term.is_valid(now)) {
            self.end_term();
        }
    }

    pub(super) fn end_term(&mut self) -> Option<Lease> {
        let term = self.term.take()?;
        let lost = term.groups().keys().cloned().collect();
        let gained = Vec::new();
        self.announce(&Changed { gained, lost });
        Some(term.lease())
    }

    fn watch_expiry(&self, ctx: &mut Context<Self>) {
        if let Some(term) = &self.term {
            let left = term.until() - self.config.clock.now();
            ctx.run_later(left, |holder, _ctx| holder.expire());
        }
    }

    fn schedule_renewal(period: Duration, ctx: &mut Context<Self>) {
        ctx.run_later(period, Self::renew);
    }

    fn renew(&mut self, ctx: &mut Context<Self>) {
        self.expire();
        let Some(term) = &self.term else {
            self.renewing = false;
            return;
        };
        if term.groups().is_empty() && !self.competing {
            // An unused lease lapses without further calls.
            self.term = None;
            self.renewing = false;
            return;
        }
        let lease = term.lease();
        let sent = self.config.clock.now();
        let store = Rc::clone(&self.config.store);
        let call = async move { store.renew(lease).await }.into_actor(self);
        ctx.spawn(call.map(move |result, holder, ctx| {
            let current = holder.term.as_mut().filter(|term| term.lease() == lease);
            match (current, result) {
                (Some(term), Ok(true)) => {
                    term.renew(sent);
                    // The answer may have come after the end of the term.
                    holder.expire();
                    holder.watch_expiry(ctx);
                    Self::schedule_renewal(RENEWAL, ctx);
                }
                (Some(_), Ok(false)) => {
                    holder.end_term();
                    holder.renewing = false;
                }
                (_, Err(_)) => Self::schedule_renewal(RENEWAL_RETRY, ctx),
                (None, Ok(_)) => Self::schedule_renewal(Duration::ZERO, ctx),
            }
        }));
    }

    fn poll(&mut self, ctx: &mut Context<Self>) {
        let period = POLL.mul_f64(self.rng.random_range(0.8..1.2));
        ctx.run_later(period, Self::poll);
        self.compete(ctx);
    }

    fn missing(&self) -> Vec<Group> {
        let held = |group: &Group| {
            let term = self.term.as_ref();
            term.is_some_and(|term| term.groups().contains_key(group))
        };
        let missing = self.wanted.iter().filter(|group| !held(group));
        missing.cloned().collect()
    }

    /// Looks which of the missing groups are free and takes them one by one.
    pub(super) fn compete(&mut self, ctx: &mut Context<Self>) {
        self.expire();
        if self.competing || (self.missing().is_empty() && self.term.is_none()) {
            return;
        }
        self.competing = true;
        let store = Rc::clone(&self.config.store);
        let call = async move { store.range(key::root()?).await }.into_actor(self);
        ctx.spawn(call.map(|result, holder, ctx| match result {
            Ok(range) => {
                let mut free = holder.missing();
                for item in &range.items {
                    if let Some(group) = key::group(&item.path) {
                        holder.reconcile(&group, item, ctx);
                        free.retain(|other| *other != group);
                    }
                }
                free.shuffle(&mut holder.rng);
                holder.take_next(free, ctx);
            }
            Err(_) => holder.competing = false,
        }));
    }

    /// Handles a key that is on the lease of this process although its group is not held: the
    /// answer of the transaction that created it was lost, or that of the one that deleted it.
    fn reconcile(&mut self, group: &Group, item: &Item, ctx: &mut Context<Self>) {
        let Some(term) = &self.term else { return };
        let fence = Fence::new(item.created.get());
        if term.groups().contains_key(group) || !key::is_own(&self.config, term.lease(), item) {
            return;
        }
        // A key that was given up once may still be deleted by a transaction in flight.
        let fresh = self.highest.get(group).is_none_or(|old| *old < fence);
        if fresh && self.wanted.contains(group) {
            self.gain(group, fence);
        } else {
            self.delete(group, fence, ctx);
        }
    }

    fn gain(&mut self, group: &Group, fence: Fence) {
        self.expire();
        let Some(term) = &mut self.term else { return };
        term.gain(group.clone(), fence);
        let highest = self.highest.insert(group.clone(), fence);
        invariant::check(
            Point::Authority,
            highest.is_none_or(|old| old < fence),
            || format!("fencing number {fence} of group {group} is not above {highest:?}"),
        );
        let gained = vec![(group.clone(), fence)];
        let lost = Vec::new();
        self.announce(&Changed { gained, lost });
    }

    fn take_next(&mut self, mut free: Vec<Group>, ctx: &mut Context<Self>) {
        let Some(group) = free.pop() else {
            self.competing = false;
            return;
        };
        let held = self.term.as_ref().map_or(0, |term| term.groups().len());
        let held = u32::try_from(held).unwrap_or(u32::MAX);
        let most = WAIT_PER_GROUP.saturating_mul(held.saturating_add(1));
        let wait = most.min(WAIT_MAX).mul_f64(self.rng.random());
        ctx.run_later(wait, |holder, ctx| holder.take(group, free, ctx));
    }

    fn take(&mut self, group: Group, free: Vec<Group>, ctx: &mut Context<Self>) {
        self.expire();
        if !self.missing().contains(&group) {
            self.take_next(free, ctx);
            return;
        }
        let sent = self.config.clock.now();
        let config = self.config.clone();
        let lease = self.term.as_ref().map(Term::lease);
        let name = group.clone();
        let call = async move {
            let (lease, granted) = match lease {
                Some(lease) => (lease, false),
                None => (config.store.grant(LEASE).await?, true),
            };
            Ok((lease, granted, key::take(&config, &name, lease).await))
        };
        ctx.spawn(call.into_actor(self).map(
            move |result: Result<(Lease, bool, Result<Taken>)>, holder, ctx| {
                let Ok((lease, granted, taken)) = result else {
                    holder.competing = false;
                    return;
                };
                if granted {
                    holder.begin_term(lease, sent, ctx);
                }
                holder.expire();
                let current = holder.term.as_ref().map(Term::lease) == Some(lease);
                match taken {
                    Ok(Taken::New(fence)) if current && holder.missing().contains(&group) => {
                        holder.gain(&group, fence);
                    }
                    Ok(Taken::New(fence)) => holder.delete(&group, fence, ctx),
                    Ok(Taken::Found(item)) => holder.reconcile(&group, &item, ctx),
                    // The next look finds the key if the transaction took effect.
                    Err(_) => {
                        holder.competing = false;
                        return;
                    }
                }
                holder.take_next(free, ctx);
            },
        ));
    }

    fn begin_term(&mut self, lease: Lease, sent: Instant, ctx: &mut Context<Self>) {
        let term = Term::new(lease, sent);
        if self.term.is_some() || !term.is_valid(self.config.clock.now()) {
            return;
        }
        self.term = Some(term);
        self.watch_expiry(ctx);
        if !self.renewing {
            self.renewing = true;
            Self::schedule_renewal(RENEWAL, ctx);
        }
    }

    pub(super) fn release(&mut self, group: &Group, ctx: &mut Context<Self>) {
        let fence = self.term.as_mut().and_then(|term| term.lose(group));
        if let Some(fence) = fence {
            let (gained, lost) = (Vec::new(), vec![group.clone()]);
            self.announce(&Changed { gained, lost });
            self.delete(group, fence, ctx);
        }
    }

    /// Deletes the key of a group that is not held, once no permit for it is left. If this fails,
    /// the next look finds the key again, or it ends with the lease.
    fn delete(&mut self, group: &Group, fence: Fence, ctx: &mut Context<Self>) {
        let highest = self.highest.entry(group.clone()).or_default();
        *highest = fence.max(*highest);
        let store = Rc::clone(&self.config.store);
        let group = group.clone();
        let permitted = self.permitted.get(&group).copied();
        let wait = permitted.map(|until| until - self.config.clock.now());
        let call = async move {
            time::sleep(wait.unwrap_or_default()).await;
            key::delete(&*store, &group, fence).await
        };
        ctx.spawn(call.into_actor(self).map(|_result, _holder, _ctx| ()));
    }
}

impl Actor for Holder {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.poll(ctx);
    }
}
