use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use super::{Capacity, Lane, Offer, Policy, caller::Account, ceiling::Ceiling};
use crate::{
    config::{ClassSpec, Document},
    error::{Error, Kind, Result},
    id::{Caller, Class, Request},
    routing::Pool,
};

/// Weight of the newest observation in the mean service time.
const NEWEST: f64 = 0.1;
/// Part of the target of the first token that a request may wait here. The rest is for the engine:
/// a request that starts at its target is late with certainty.
const WAIT: f64 = 0.4;
/// Parts of the targets of the first token and between tokens that a request may take in an
/// engine.
const ENGINE: (f64, f64) = (0.8, 0.6);
/// Shortest and longest wait that a refused caller is told.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// The answer to one offer.
#[derive(Debug)]
pub struct Decision {
    /// The request.
    pub request: Request,
    /// Admitted, or why not.
    pub outcome: Result<()>,
}

/// Queues and slots of all pools, as plain code.
#[derive(Debug)]
pub struct Scheduler {
    policy: Box<dyn Policy>,
    queueing: f64,
    document: Option<Arc<Document>>,
    accounts: HashMap<Caller, Account>,
    pools: BTreeMap<Pool, Queues>,
    entries: HashMap<Request, Entry>,
    /// Latest starts of the requests that wait, so that a poll need not look at all of them.
    expiries: BTreeSet<(Instant, Request)>,
}

#[derive(Debug, Default)]
struct Queues {
    limit: u32,
    classes: BTreeMap<Class, Queue>,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: VecDeque<Request>,
    running: u32,
    service: Duration,
    ceiling: Ceiling,
}

#[derive(Debug)]
struct Entry {
    caller: Caller,
    class: Class,
    pool: Pool,
    arrived: Instant,
    latest: Instant,
    /// Time in which the request must give its slot back, if its targets are to be met.
    budget: Duration,
    started: Option<Instant>,
}

impl Queues {
    /// Lowers the ceiling of the class that uses most of its guaranteed share.
    fn lower(&mut self, document: &Document, pause: Duration, now: Instant) {
        let limit = f64::from(self.limit);
        let guaranteed = |class: &Class| {
            let spec = document.classes.get(class);
            spec.map_or(0.0, |spec| spec.share.get() * limit)
        };
        let use_of = |(class, queue): &(&Class, &mut Queue)| {
            f64::from(queue.running) / guaranteed(class).max(f64::MIN_POSITIVE)
        };
        let queues = self.classes.iter_mut();
        let most = queues.max_by(|a, b| use_of(a).total_cmp(&use_of(b)));
        if let Some((class, queue)) = most {
            let guaranteed = guaranteed(class);
            queue.ceiling.lower(queue.running, guaranteed, pause, now);
        }
    }
}

impl Scheduler {
    /// A scheduler without capacity. `queueing` multiplies the slots of a pool: engines batch, so
    /// a request that waits inside an engine starts sooner than one that waits here. A factor below
    /// 1 leaves slots to other entries; a pool with slots always keeps a limit of at least 1.
    #[must_use]
    pub fn new(policy: Box<dyn Policy>, queueing: f64) -> Self {
        Self {
            policy,
            queueing,
            document: None,
            accounts: HashMap::new(),
            pools: BTreeMap::new(),
            entries: HashMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Puts a document in force. Requests that wait in a class that is gone expire at their latest
    /// start.
    pub fn adopt(&mut self, document: Arc<Document>) {
        self.accounts.retain(|caller, account| {
            account.in_progress > 0 || document.callers.contains_key(caller)
        });
        self.document = Some(document);
    }

    /// Sets the slots of a pool.
    pub fn set_capacity(&mut self, capacity: &Capacity) {
        let pool = self.pools.entry(capacity.pool.clone()).or_default();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a float cast saturates at 0 and at the largest number"
        )]
        let limit = (f64::from(capacity.slots) * self.queueing) as u32;
        pool.limit = limit.max(capacity.slots.min(1));
    }

    /// Queues a request; [`Scheduler::poll`] decides when it starts.
    ///
    /// # Errors
    ///
    /// Refuses a request whose caller is over its limit or whose target cannot be met.
    pub fn offer(&mut self, offer: &Offer, now: Instant) -> Result<()> {
        let document = self
            .document
            .as_ref()
            .map(Arc::clone)
            .ok_or_else(not_ready)?;
        let class = document.classes.get(&offer.class).ok_or_else(forbidden)?;
        let caller = document.callers.get(&offer.caller).ok_or_else(forbidden)?;
        if self.entries.contains_key(&offer.request) {
            return Err(Error::new(Kind::BadRequest, "the request id is in use"));
        }
        let account = self
            .accounts
            .entry(offer.caller.clone())
            .or_insert_with(|| Account::new(caller.rate, now));
        if account.in_progress >= caller.in_progress {
            return Err(Error::new(
                Kind::RateLimited,
                "too many requests in progress",
            ));
        }
        account.take(caller.rate, now).map_err(|wait| {
            Error::new(Kind::RateLimited, "too many requests per second").with_retry_after(wait)
        })?;
        let target = self.start_target(class, offer);
        let latest = offer.deadline.min(now + target);
        self.check_wait(offer, latest, now)?;
        if let Some(account) = self.accounts.get_mut(&offer.caller) {
            account.in_progress += 1;
        }
        let pool = self.pools.entry(offer.pool.clone()).or_default();
        let queue = pool.classes.entry(offer.class.clone()).or_default();
        queue.waiting.push_back(offer.request);
        self.expiries.insert((latest, offer.request));
        self.entries.insert(
            offer.request,
            Entry {
                caller: offer.caller.clone(),
                class: offer.class.clone(),
                pool: offer.pool.clone(),
                arrived: now,
                latest,
                budget: budget(class, offer),
                started: None,
            },
        );
        Ok(())
    }

    /// Longest wait: an engine must send the first token in time, a service the whole answer.
    fn start_target(&self, class: &ClassSpec, offer: &Offer) -> Duration {
        if matches!(offer.pool, Pool::Model(_)) {
            let part = if self.policy.adapts() { WAIT } else { 1.0 };
            return class.first_token.mul_f64(part);
        }
        let queues = self.pools.get(&offer.pool);
        let queue = queues.and_then(|queues| queues.classes.get(&offer.class));
        let service = queue.map_or(Duration::ZERO, |queue| queue.service);
        // An idle service that is slower than its target still gets requests, or its mean service
        // time could never fall again.
        class.whole.saturating_sub(service).max(class.whole / 10)
    }

    fn check_wait(&self, offer: &Offer, latest: Instant, now: Instant) -> Result<()> {
        let lanes = self.lanes(&offer.pool);
        let limit = self.pools.get(&offer.pool).map_or(0, |pool| pool.limit);
        let index = lanes.iter().position(|(class, _)| *class == offer.class);
        let lanes: Vec<Lane> = lanes.into_iter().map(|(_, lane)| lane).collect();
        let wait = match index {
            Some(index) if limit > 0 => {
                let lane = &lanes[index];
                let queues = self.pools.get(&offer.pool);
                let queue = queues.and_then(|queues| queues.classes.get(&offer.class));
                let under = queue.map_or(Duration::ZERO, |queue| {
                    let ceiling = &queue.ceiling;
                    ceiling.wait(lane.queued, lane.running, lane.service)
                });
                self.policy.wait(&lanes, index, limit).max(under)
            }
            _ => Duration::MAX,
        };
        let left = latest.saturating_duration_since(now);
        // A request whose start is expected at its latest start would expire at that moment.
        if wait >= left {
            return Err(overloaded(wait.saturating_sub(left)));
        }
        Ok(())
    }

    fn lanes(&self, pool: &Pool) -> Vec<(Class, Lane)> {
        let Some(document) = &self.document else {
            return Vec::new();
        };
        let queues = self.pools.get(pool);
        let lane = |(class, spec): (&Class, &ClassSpec)| {
            let queue = queues.and_then(|queues| queues.classes.get(class));
            let first = queue.and_then(|queue| queue.waiting.front());
            let lane = Lane {
                rank: spec.rank,
                share: spec.share,
                worth: spec.worth,
                running: queue.map_or(0, |queue| queue.running),
                queued: queue.map_or(0, |queue| count(queue.waiting.len())),
                oldest: first.map(|request| self.entries[request].arrived),
                service: queue.map_or(Duration::ZERO, |queue| queue.service),
            };
            (class.clone(), lane)
        };
        document.classes.iter().map(lane).collect()
    }

    /// Ends a request that runs or waits. Unknown requests are ignored.
    pub fn finish(&mut self, request: Request, now: Instant) {
        let Some(entry) = self.entries.remove(&request) else {
            return;
        };
        if let Some(account) = self.accounts.get_mut(&entry.caller) {
            account.in_progress = account.in_progress.saturating_sub(1);
        }
        let pool = self.pools.entry(entry.pool).or_default();
        let queue = pool.classes.entry(entry.class).or_default();
        let Some(started) = entry.started else {
            self.expiries.remove(&(entry.latest, request));
            queue.waiting.retain(|other| *other != request);
            return;
        };
        queue.running = queue.running.saturating_sub(1);
        let period = now.saturating_duration_since(started);
        queue.service = if queue.service.is_zero() {
            period
        } else {
            queue.service.mul_f64(1.0 - NEWEST) + period.mul_f64(NEWEST)
        };
        if !self.policy.adapts() {
            return;
        }
        if queue.service <= entry.budget {
            queue.ceiling.raise(queue.running);
        } else if let Some(document) = &self.document {
            pool.lower(document, entry.budget, now);
        }
    }

    /// Refuses what has expired and starts what may start.
    pub fn poll(&mut self, now: Instant) -> Vec<Decision> {
        let mut decisions = self.expire(now);
        let pools: Vec<Pool> = self.pools.keys().cloned().collect();
        for pool in pools {
            while let Some(request) = self.start(&pool, now) {
                let outcome = Ok(());
                decisions.push(Decision { request, outcome });
            }
        }
        decisions
    }

    fn expire(&mut self, now: Instant) -> Vec<Decision> {
        let waiting = self.expiries.iter();
        let expired: Vec<(Instant, Request)> =
            waiting.take_while(|(at, _)| *at <= now).copied().collect();
        let refuse = |(_, request)| {
            self.finish(request, now);
            let outcome = Err(overloaded(Duration::ZERO));
            Decision { request, outcome }
        };
        expired.into_iter().map(refuse).collect()
    }

    fn start(&mut self, pool: &Pool, now: Instant) -> Option<Request> {
        let lanes = self.lanes(pool);
        let queues = self.pools.get_mut(pool)?;
        let running: u32 = queues.classes.values().map(|queue| queue.running).sum();
        if running >= queues.limit {
            return None;
        }
        let (classes, mut lanes): (Vec<Class>, Vec<Lane>) = lanes.into_iter().unzip();
        for (class, lane) in classes.iter().zip(&mut lanes) {
            let queue = queues.classes.get(class);
            if queue.is_some_and(|queue| !queue.ceiling.has_room(lane.running)) {
                lane.queued = 0;
            }
        }
        let index = self.policy.next(&lanes, queues.limit)?;
        let queue = queues.classes.get_mut(classes.get(index)?)?;
        let request = queue.waiting.pop_front()?;
        queue.running += 1;
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.started = Some(now);
            self.expiries.remove(&(entry.latest, request));
        }
        Some(request)
    }

    /// When the next request that waits expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.first().map(|(at, _)| *at)
    }

    /// Requests that hold a slot of a pool, per class.
    #[must_use]
    pub fn running(&self, pool: &Pool) -> BTreeMap<Class, u32> {
        let queues = self.pools.get(pool).into_iter();
        let classes = queues.flat_map(|queues| &queues.classes);
        classes
            .map(|(class, queue)| (class.clone(), queue.running))
            .collect()
    }
}

fn budget(class: &ClassSpec, offer: &Offer) -> Duration {
    if matches!(offer.pool, Pool::Service(_)) {
        return class.whole;
    }
    let (first, between) = ENGINE;
    let gaps = offer.cost.output.get().saturating_sub(1);
    let gaps = u32::try_from(gaps).unwrap_or(u32::MAX);
    let tokens = class.between_tokens.mul_f64(between).saturating_mul(gaps);
    class.first_token.mul_f64(first).saturating_add(tokens)
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn not_ready() -> Error {
    Error::new(Kind::NotReady, "admission has no document")
}

fn forbidden() -> Error {
    Error::new(Kind::Forbidden, "the caller or class is not configured")
}

fn overloaded(excess: Duration) -> Error {
    let (shortest, longest) = RETRY_AFTER;
    Error::new(Kind::Overloaded, "the expected wait is over the target")
        .with_retry_after(excess.clamp(shortest, longest))
}
