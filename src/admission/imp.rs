use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    Capacity, ClassLoad, Offer, Policy, caller::CallerLimiter, concurrency::ConcurrencyLimit,
};
use crate::{
    config::{ClassSpec, Document},
    error::{Error, Kind, Result},
    id::{Caller, Class, Request},
    routing::Pool,
};

/// Weight of the newest observation in the exponential moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Fraction of the first-token target that a request may spend in the queue. The rest is left for
/// the engine, because a request that starts at its target always misses it.
const QUEUE_FRACTION: f64 = 0.4;
/// Fraction of the first-token target that a request may spend in an engine.
const ENGINE_FIRST_TOKEN_FRACTION: f64 = 0.8;
/// Fraction of the target between tokens that a request may spend in an engine.
const ENGINE_BETWEEN_TOKENS_FRACTION: f64 = 0.6;
/// Lower and upper bound of the `retry_after` of a request that is refused as overloaded.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Result of one [`Offer`] that was queued.
#[derive(Debug)]
pub struct Decision {
    /// Request of the offer.
    pub request: Request,
    /// `Ok` if the request holds a slot from now on; `Kind::Overloaded` if it expired in the queue.
    pub outcome: Result<()>,
}

/// Queues and slots of all pools. Does no I/O and reads no clock.
#[derive(Debug)]
pub struct Scheduler {
    policy: Box<dyn Policy>,
    queueing: f64,
    document: Option<Arc<Document>>,
    limiters: HashMap<Caller, CallerLimiter>,
    pools: BTreeMap<Pool, PoolQueues>,
    entries: HashMap<Request, RequestState>,
    /// Start deadlines of the queued requests, in order, so that a poll visits only expired ones.
    expiries: BTreeSet<(Instant, Request)>,
}

#[derive(Debug, Default)]
struct PoolQueues {
    limit: u32,
    classes: BTreeMap<Class, ClassQueue>,
}

#[derive(Debug, Default)]
struct ClassQueue {
    waiting: VecDeque<Request>,
    running: u32,
    service: Duration,
    concurrency: ConcurrencyLimit,
}

#[derive(Debug)]
struct RequestState {
    caller: Caller,
    class: Class,
    pool: Pool,
    arrived: Instant,
    start_by: Instant,
    /// Time for which the request may hold its slot without missing the targets of its class.
    budget: Duration,
    started: Option<Instant>,
}

impl PoolQueues {
    /// Decreases the concurrency limit of the class with the highest use relative to its share.
    fn decrease_limit(&mut self, document: &Document, min_interval: Duration, now: Instant) {
        let limit = f64::from(self.limit);
        let guaranteed = |class: &Class| {
            let spec = document.classes.get(class);
            spec.map_or(0.0, |spec| spec.share.get() * limit)
        };
        let relative_use = |(class, queue): &(&Class, &mut ClassQueue)| {
            f64::from(queue.running) / guaranteed(class).max(f64::MIN_POSITIVE)
        };
        let queues = self.classes.iter_mut();
        let most = queues.max_by(|a, b| relative_use(a).total_cmp(&relative_use(b)));
        if let Some((class, queue)) = most {
            let guaranteed = guaranteed(class);
            queue
                .concurrency
                .decrease(queue.running, guaranteed, min_interval, now);
        }
    }
}

impl Scheduler {
    /// A scheduler without capacity. The limit of a pool is its number of slots times `queueing`:
    /// engines batch, so a request queued in an engine starts sooner than one queued here. A factor
    /// below 1 leaves slots to other entries; a pool with slots has a limit of at least 1.
    #[must_use]
    pub fn new(policy: Box<dyn Policy>, queueing: f64) -> Self {
        Self {
            policy,
            queueing,
            document: None,
            limiters: HashMap::new(),
            pools: BTreeMap::new(),
            entries: HashMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Puts a configuration document into effect. Requests that are queued in a class that it no
    /// longer contains expire at their start deadline.
    pub fn set_document(&mut self, document: Arc<Document>) {
        self.limiters.retain(|caller, limiter| {
            limiter.in_progress > 0 || document.callers.contains_key(caller)
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
        let limiter = self
            .limiters
            .entry(offer.caller.clone())
            .or_insert_with(|| CallerLimiter::new(caller.rate, now));
        if limiter.in_progress >= caller.in_progress {
            return Err(Error::new(
                Kind::RateLimited,
                "too many requests in progress",
            ));
        }
        limiter.take_token(caller.rate, now).map_err(|wait| {
            Error::new(Kind::RateLimited, "too many requests per second").with_retry_after(wait)
        })?;
        let max_wait = self.max_queue_time(class, offer);
        let start_by = offer.deadline.min(now + max_wait);
        self.check_wait(offer, start_by, now)?;
        if let Some(limiter) = self.limiters.get_mut(&offer.caller) {
            limiter.in_progress += 1;
        }
        let pool = self.pools.entry(offer.pool.clone()).or_default();
        let queue = pool.classes.entry(offer.class.clone()).or_default();
        queue.waiting.push_back(offer.request);
        self.expiries.insert((start_by, offer.request));
        self.entries.insert(
            offer.request,
            RequestState {
                caller: offer.caller.clone(),
                class: offer.class.clone(),
                pool: offer.pool.clone(),
                arrived: now,
                start_by,
                budget: slot_budget(class, offer),
                started: None,
            },
        );
        Ok(())
    }

    /// Longest time in the queue after which an engine can still send the first token in time, or a
    /// service the whole answer.
    fn max_queue_time(&self, class: &ClassSpec, offer: &Offer) -> Duration {
        if matches!(offer.pool, Pool::Model(_)) {
            let fraction = if self.policy.adapts_concurrency() {
                QUEUE_FRACTION
            } else {
                1.0
            };
            return class.first_token.mul_f64(fraction);
        }
        let queues = self.pools.get(&offer.pool);
        let queue = queues.and_then(|queues| queues.classes.get(&offer.class));
        let service = queue.map_or(Duration::ZERO, |queue| queue.service);
        // A service slower than its target still gets requests while it is idle; without them its
        // average service time could never fall again.
        class.whole.saturating_sub(service).max(class.whole / 10)
    }

    fn check_wait(&self, offer: &Offer, start_by: Instant, now: Instant) -> Result<()> {
        let loads = self.loads(&offer.pool);
        let limit = self.pools.get(&offer.pool).map_or(0, |pool| pool.limit);
        let index = loads.iter().position(|(class, _)| *class == offer.class);
        let loads: Vec<ClassLoad> = loads.into_iter().map(|(_, load)| load).collect();
        let wait = match index {
            Some(index) if limit > 0 => {
                let load = &loads[index];
                let queues = self.pools.get(&offer.pool);
                let queue = queues.and_then(|queues| queues.classes.get(&offer.class));
                let limit_wait = queue.map_or(Duration::ZERO, |queue| {
                    let concurrency = &queue.concurrency;
                    concurrency.expected_wait(load.queued, load.running, load.service)
                });
                self.policy
                    .expected_wait(&loads, index, limit)
                    .max(limit_wait)
            }
            _ => Duration::MAX,
        };
        let left = start_by.saturating_duration_since(now);
        // Equality is refused too: a request that reaches its start deadline in the queue expires.
        if wait >= left {
            return Err(overloaded(wait.saturating_sub(left)));
        }
        Ok(())
    }

    fn loads(&self, pool: &Pool) -> Vec<(Class, ClassLoad)> {
        let Some(document) = &self.document else {
            return Vec::new();
        };
        let queues = self.pools.get(pool);
        let class_load = |(class, spec): (&Class, &ClassSpec)| {
            let queue = queues.and_then(|queues| queues.classes.get(class));
            let first = queue.and_then(|queue| queue.waiting.front());
            let load = ClassLoad {
                rank: spec.rank,
                share: spec.share,
                worth: spec.worth,
                running: queue.map_or(0, |queue| queue.running),
                queued: queue.map_or(0, |queue| count(queue.waiting.len())),
                oldest: first.map(|request| self.entries[request].arrived),
                service: queue.map_or(Duration::ZERO, |queue| queue.service),
            };
            (class.clone(), load)
        };
        document.classes.iter().map(class_load).collect()
    }

    /// Removes a running or queued request. Unknown requests are ignored.
    pub fn finish(&mut self, request: Request, now: Instant) {
        let Some(entry) = self.entries.remove(&request) else {
            return;
        };
        if let Some(limiter) = self.limiters.get_mut(&entry.caller) {
            limiter.in_progress = limiter.in_progress.saturating_sub(1);
        }
        let pool = self.pools.entry(entry.pool).or_default();
        let queue = pool.classes.entry(entry.class).or_default();
        let Some(started) = entry.started else {
            self.expiries.remove(&(entry.start_by, request));
            queue.waiting.retain(|other| *other != request);
            return;
        };
        queue.running = queue.running.saturating_sub(1);
        let held = now.saturating_duration_since(started);
        queue.service = if queue.service.is_zero() {
            held
        } else {
            queue.service.mul_f64(1.0 - SERVICE_TIME_WEIGHT) + held.mul_f64(SERVICE_TIME_WEIGHT)
        };
        if !self.policy.adapts_concurrency() {
            return;
        }
        if queue.service <= entry.budget {
            queue.concurrency.increase(queue.running);
        } else if let Some(document) = &self.document {
            pool.decrease_limit(document, entry.budget, now);
        }
    }

    /// Refuses the queued requests whose start deadline has passed, then starts the requests that
    /// get a free slot.
    pub fn poll(&mut self, now: Instant) -> Vec<Decision> {
        let mut decisions = self.expire(now);
        let pools: Vec<Pool> = self.pools.keys().cloned().collect();
        for pool in pools {
            while let Some(request) = self.start_next(&pool, now) {
                let outcome = Ok(());
                decisions.push(Decision { request, outcome });
            }
        }
        decisions
    }

    fn expire(&mut self, now: Instant) -> Vec<Decision> {
        let queued = self.expiries.iter();
        let expired: Vec<(Instant, Request)> =
            queued.take_while(|(at, _)| *at <= now).copied().collect();
        let refuse = |(_, request)| {
            self.finish(request, now);
            let outcome = Err(overloaded(Duration::ZERO));
            Decision { request, outcome }
        };
        expired.into_iter().map(refuse).collect()
    }

    fn start_next(&mut self, pool: &Pool, now: Instant) -> Option<Request> {
        let loads = self.loads(pool);
        let queues = self.pools.get_mut(pool)?;
        let running: u32 = queues.classes.values().map(|queue| queue.running).sum();
        if running >= queues.limit {
            return None;
        }
        let (classes, mut loads): (Vec<Class>, Vec<ClassLoad>) = loads.into_iter().unzip();
        for (class, load) in classes.iter().zip(&mut loads) {
            let queue = queues.classes.get(class);
            if queue.is_some_and(|queue| !queue.concurrency.has_room(load.running)) {
                load.queued = 0;
            }
        }
        let index = self.policy.next_class(&loads, queues.limit)?;
        let queue = queues.classes.get_mut(classes.get(index)?)?;
        let request = queue.waiting.pop_front()?;
        queue.running += 1;
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.started = Some(now);
            self.expiries.remove(&(entry.start_by, request));
        }
        Some(request)
    }

    /// Earliest start deadline of the queued requests; the next time at which a poll is due.
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

fn slot_budget(class: &ClassSpec, offer: &Offer) -> Duration {
    if matches!(offer.pool, Pool::Service(_)) {
        return class.whole;
    }
    let gaps = offer.cost.output.get().saturating_sub(1);
    let gaps = u32::try_from(gaps).unwrap_or(u32::MAX);
    let tokens = class
        .between_tokens
        .mul_f64(ENGINE_BETWEEN_TOKENS_FRACTION)
        .saturating_mul(gaps);
    class
        .first_token
        .mul_f64(ENGINE_FIRST_TOKEN_FRACTION)
        .saturating_add(tokens)
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
    let (shortest, longest) = RETRY_AFTER_RANGE;
    Error::new(Kind::Overloaded, "the expected wait is over the target")
        .with_retry_after(excess.clamp(shortest, longest))
}
