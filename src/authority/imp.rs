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
    Changed, Result, Term, Timing,
    key::{self, Creation},
};
use crate::{
    clock,
    id::{Fence, Group, Incarnation, Process},
    invariant::{self, Invariant},
    store::{Era, Item, Lease, Store},
};

/// Upper bound of the random delay before a process acquires a group, times the number of groups
/// that it then holds. A process with fewer groups tends to acquire a free one first.
const ACQUIRE_DELAY_PER_GROUP: Duration = Duration::from_millis(100);
/// Upper bound of that delay for any number of groups, so that a process that runs alone acquires
/// 50 groups within half a minute.
const ACQUIRE_DELAY_MAX: Duration = Duration::from_secs(1);

/// Identity and dependencies of a holder.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the process, stored in the group keys for operators.
    pub process: Process,
    /// Id of this run of the process; also the seed of its random delays.
    pub incarnation: Incarnation,
    /// Store of the leases and the group keys.
    pub store: Rc<dyn Store>,
    /// Clock by which permits and terms expire.
    pub clock: clock::Shared,
    /// Times of the lease, of its renewals and of the polls.
    pub timing: Timing,
}

/// A running holder.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Address of the actor.
    pub address: Addr<Holder>,
}

/// Actor that competes for groups and renews their lease.
pub struct Holder {
    pub(super) config: Config,
    rng: StdRng,
    pub(super) wanted: Vec<Group>,
    pub(super) term: Option<Term>,
    /// Expiry of the last permit for each group. The key of a group is not deleted before.
    pub(super) permit_expiry: BTreeMap<Group, Instant>,
    /// Highest fencing number with which this process has held or deleted the key of each group, and
    /// its era. After a restore, the store hands out revisions again.
    highest: BTreeMap<Group, (Era, Fence)>,
    pub(super) subscribers: Vec<Recipient<Changed>>,
    acquiring: bool,
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
    /// Starts a holder that competes for no group yet. To be called inside an actix system.
    #[must_use]
    pub fn spawn(config: Config) -> Handle {
        let seed = u64::from_be_bytes(config.incarnation.to_bytes());
        let holder = Self {
            config,
            rng: StdRng::seed_from_u64(seed),
            wanted: Vec::new(),
            term: None,
            permit_expiry: BTreeMap::new(),
            highest: BTreeMap::new(),
            subscribers: Vec::new(),
            acquiring: false,
            renewing: false,
        };
        Handle {
            address: holder.start(),
        }
    }

    fn notify_subscribers(&self, changed: &Changed) {
        if changed.gained.is_empty() && changed.lost.is_empty() {
            return;
        }
        for subscriber in &self.subscribers {
            subscriber.do_send(changed.clone());
        }
    }

    /// Ends a term that has expired, so that no message is handled with it.
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
        self.notify_subscribers(&Changed { gained, lost });
        Some(term.lease())
    }

    fn schedule_expiry(&self, ctx: &mut Context<Self>) {
        if let Some(term) = &self.term {
            let left = term.expires_at() - self.config.clock.now();
            ctx.run_later(left, |holder, _ctx| holder.expire());
        }
    }

    fn schedule_renewal(delay: Duration, ctx: &mut Context<Self>) {
        ctx.run_later(delay, Self::renew);
    }

    fn renew(&mut self, ctx: &mut Context<Self>) {
        self.expire();
        let Some(term) = &self.term else {
            self.renewing = false;
            return;
        };
        if term.groups().is_empty() && !self.acquiring {
            // An unused lease expires in the store without a call.
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
                    // The answer may have arrived after the renewed term expired.
                    holder.expire();
                    holder.schedule_expiry(ctx);
                    Self::schedule_renewal(holder.config.timing.renewal_interval(), ctx);
                }
                (Some(_), Ok(false)) => {
                    holder.end_term();
                    holder.renewing = false;
                }
                (_, Err(_)) => {
                    Self::schedule_renewal(holder.config.timing.renewal_retry_delay(), ctx);
                }
                (None, Ok(_)) => Self::schedule_renewal(Duration::ZERO, ctx),
            }
        }));
    }

    fn poll(&mut self, ctx: &mut Context<Self>) {
        let interval = self
            .config
            .timing
            .poll_interval()
            .mul_f64(self.rng.random_range(0.8..1.2));
        ctx.run_later(interval, Self::poll);
        self.acquire_missing(ctx);
    }

    fn missing(&self) -> Vec<Group> {
        let held = |group: &Group| {
            let term = self.term.as_ref();
            term.is_some_and(|term| term.groups().contains_key(group))
        };
        let missing = self.wanted.iter().filter(|group| !held(group));
        missing.cloned().collect()
    }

    /// Reads the group keys and acquires the missing groups that have no key, one after another.
    pub(super) fn acquire_missing(&mut self, ctx: &mut Context<Self>) {
        self.expire();
        if self.acquiring || (self.missing().is_empty() && self.term.is_none()) {
            return;
        }
        self.acquiring = true;
        let store = Rc::clone(&self.config.store);
        let call = async move { store.range(key::root()?).await }.into_actor(self);
        ctx.spawn(call.map(|result, holder, ctx| match result {
            Ok(range) => {
                let mut free = holder.missing();
                for item in &range.items {
                    if let Some(group) = key::group_of(&item.path) {
                        holder.resolve_own_key(&group, item, ctx);
                        free.retain(|other| *other != group);
                    }
                }
                free.shuffle(&mut holder.rng);
                holder.acquire_next(free, ctx);
            }
            Err(_) => holder.acquiring = false,
        }));
    }

    /// Gains or deletes a key that is attached to the lease of this process although its group is
    /// not held, because the answer to the transaction that created it, or to the one that deletes
    /// it, was lost or is pending.
    fn resolve_own_key(&mut self, group: &Group, item: &Item, ctx: &mut Context<Self>) {
        let Some(term) = &self.term else { return };
        let fence = Fence::new(item.created.get());
        let numbered = (term.lease().era(), fence);
        if term.groups().contains_key(group) || !key::is_own(&self.config, term.lease(), item) {
            return;
        }
        // A transaction in flight may still delete a key that this process has released.
        let fresh = self.highest.get(group).is_none_or(|old| *old < numbered);
        if fresh && self.wanted.contains(group) {
            self.gain(group, fence);
        } else {
            self.delete(group, numbered, ctx);
        }
    }

    fn gain(&mut self, group: &Group, fence: Fence) {
        self.expire();
        let Some(term) = &mut self.term else { return };
        term.add_group(group.clone(), fence);
        let numbered = (term.lease().era(), fence);
        let highest = self.highest.insert(group.clone(), numbered);
        invariant::check(
            Invariant::Authority,
            highest.is_none_or(|old| old < numbered),
            || format!("fencing number {fence} of group {group} is not above {highest:?}"),
        );
        let gained = vec![(group.clone(), fence)];
        let lost = Vec::new();
        self.notify_subscribers(&Changed { gained, lost });
    }

    fn acquire_next(&mut self, mut free: Vec<Group>, ctx: &mut Context<Self>) {
        let Some(group) = free.pop() else {
            self.acquiring = false;
            return;
        };
        let held = self.term.as_ref().map_or(0, |term| term.groups().len());
        let held = u32::try_from(held).unwrap_or(u32::MAX);
        let delay_max = ACQUIRE_DELAY_PER_GROUP.saturating_mul(held.saturating_add(1));
        let delay = delay_max.min(ACQUIRE_DELAY_MAX).mul_f64(self.rng.random());
        ctx.run_later(delay, |holder, ctx| holder.acquire(group, free, ctx));
    }

    fn acquire(&mut self, group: Group, free: Vec<Group>, ctx: &mut Context<Self>) {
        self.expire();
        if !self.missing().contains(&group) {
            self.acquire_next(free, ctx);
            return;
        }
        let sent = self.config.clock.now();
        let config = self.config.clone();
        let lease = self.term.as_ref().map(Term::lease);
        let name = group.clone();
        let call = async move {
            let (lease, granted) = match lease {
                Some(lease) => (lease, false),
                None => (config.store.grant(config.timing.lease_ttl()).await?, true),
            };
            Ok((lease, granted, key::create(&config, &name, lease).await))
        };
        ctx.spawn(call.into_actor(self).map(
            move |result: Result<(Lease, bool, Result<Creation>)>, holder, ctx| {
                let Ok((lease, granted, creation)) = result else {
                    holder.acquiring = false;
                    return;
                };
                if granted {
                    holder.begin_term(lease, sent, ctx);
                }
                holder.expire();
                let current = holder.term.as_ref().map(Term::lease) == Some(lease);
                match creation {
                    Ok(Creation::Created(fence))
                        if current && holder.missing().contains(&group) =>
                    {
                        holder.gain(&group, fence);
                    }
                    Ok(Creation::Created(fence)) => {
                        holder.delete(&group, (lease.era(), fence), ctx);
                    }
                    Ok(Creation::Exists(item)) => holder.resolve_own_key(&group, &item, ctx),
                    // If the transaction took effect, the next poll finds the key.
                    Err(_) => {
                        holder.acquiring = false;
                        return;
                    }
                }
                holder.acquire_next(free, ctx);
            },
        ));
    }

    fn begin_term(&mut self, lease: Lease, sent: Instant, ctx: &mut Context<Self>) {
        let term = Term::new(lease, sent).with_timing(self.config.timing);
        if self.term.is_some() || !term.is_valid(self.config.clock.now()) {
            return;
        }
        self.term = Some(term);
        self.schedule_expiry(ctx);
        if !self.renewing {
            self.renewing = true;
            Self::schedule_renewal(self.config.timing.renewal_interval(), ctx);
        }
    }

    pub(super) fn release(&mut self, group: &Group, ctx: &mut Context<Self>) {
        let removed = self.term.as_mut().and_then(|term| {
            let fence = term.remove_group(group)?;
            Some((term.lease().era(), fence))
        });
        if let Some(numbered) = removed {
            let (gained, lost) = (Vec::new(), vec![group.clone()]);
            self.notify_subscribers(&Changed { gained, lost });
            self.delete(group, numbered, ctx);
        }
    }

    /// Deletes the key of a group that is not held, after its last permit has expired. If this
    /// fails, a later poll finds the key again, or the key expires with the lease.
    fn delete(&mut self, group: &Group, numbered: (Era, Fence), ctx: &mut Context<Self>) {
        let highest = self.highest.entry(group.clone()).or_default();
        *highest = numbered.max(*highest);
        let (era, fence) = numbered;
        let store = Rc::clone(&self.config.store);
        let group = group.clone();
        let expiry = self.permit_expiry.get(&group).copied();
        let delay = expiry.map(|expires_at| expires_at - self.config.clock.now());
        let call = async move {
            time::sleep(delay.unwrap_or_default()).await;
            // In another era, the key of another process may have been created at this revision.
            if store.era().borrow().is_some_and(|current| current != era) {
                return Ok(());
            }
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
