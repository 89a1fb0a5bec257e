use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{
    Outlook, Policy, Reason, Request, Verdict,
    decay::{Decaying, Tally},
    kind::{Kind, Size, WORK_HALF_LIFE},
    share::Shares,
};
use crate::{
    id::{Caller, Route, Service},
    unit::{Tokens, as_f64},
};

/// Ranks at the engines.
const ENGINE_RANKS: u8 = 10;
/// Time after which a kind of request or a customer without requests is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Share of all requests that are admitted, of which a kind or a customer gets at least this part. It
/// has to be a quarter; the rest is for errors of the count.
const FLOOR: f64 = 0.4;
/// The same for the large requests of a kind, relative to all of the kind. It has to be a half.
const SIZE_FLOOR: f64 = 0.7;
/// Share by which a less urgent kind may be admitted more often. It has to be 0.05.
const INVERSION_MAX: f64 = 0.02;
/// Largest share of the capacity that is assumed to go to more urgent requests. In the model of the
/// tests, 0.95 gave about the same results, and 0.8 left large requests below their floor.
const MORE_URGENT_MAX: f64 = 0.9;
/// Range of the mean work of a request divided by its own work, by which the work that its customer may
/// be ahead is multiplied: a customer above its share loses its larger requests first.
const SIZE_FACTORS: (f64, f64) = (0.5, 3.0);
/// Shortest time after which a client is asked to return: about two updates of the forecasts.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Delays or rejects the requests that cost clients least.
///
/// Each configured rank has a range of ranks at the engines. In it, the requests that are expected to be
/// in time come first, by kind, and the last rank is for those that can only be late or whose customer
/// has used more than a fair share. A request is only rejected if it is not expected to be answered
/// before its deadline at its rank, or if it can only be late while the queue is standing and more work
/// is offered than processed; then the requests with the least value for their work go first. Groups
/// that would fall below their floor keep their place among those that are in time.
#[derive(Debug, Default)]
pub struct ByCost {
    services: BTreeMap<Service, Load>,
}

impl Policy for ByCost {
    fn record(&mut self, request: &Request<'_>, now: Instant) {
        if request.prompt == Tokens::ZERO {
            return;
        }
        let load = self.services.entry(request.service.clone());
        load.or_insert_with(|| Load::new(now)).record(request, now);
    }

    fn record_prefill(&mut self, service: &Service, tokens: Tokens, now: Instant) {
        if let Some(load) = self.services.get_mut(service) {
            load.record_prefill(as_f64(tokens.get()), now);
        }
    }

    fn record_ending(&mut self, request: &Request<'_>, served: bool, now: Instant) {
        if let Some(load) = self.services.get_mut(request.service) {
            load.record_ending(request, served, now);
        }
    }

    fn rank(&self, request: &Request<'_>, now: Instant) -> u8 {
        let load = self.services.get(request.service);
        load.map_or(request.rank.min(ENGINE_RANKS - 1), |load| {
            load.rank(request, now)
        })
    }

    fn decide(&mut self, request: &Request<'_>, outlook: Outlook, now: Instant) -> Verdict {
        match self.services.get_mut(request.service) {
            Some(load) if request.is_first && request.prompt > Tokens::ZERO => {
                let verdict = load.decide(request, &outlook, now);
                if matches!(verdict, Verdict::Reject(_)) {
                    load.record_ending(request, false, now);
                }
                verdict
            }
            _ => Verdict::Run,
        }
    }
}

/// The recent load of a service.
#[derive(Debug)]
struct Load {
    /// Largest configured rank so far.
    largest_rank: u8,
    kinds: BTreeMap<(u8, Option<Route>), Kind>,
    customers: BTreeMap<Caller, (Tally, Instant)>,
    all: Tally,
    /// Tokens to prefill of new requests, the same with their output tokens, the number of these
    /// requests, and processed tokens.
    offered: Decaying,
    offered_work: Decaying,
    offered_requests: Decaying,
    processed: Decaying,
    /// Tokens to prefill that were placed, by rank at the engines.
    placed: [Decaying; ENGINE_RANKS as usize],
    shares: Shares,
}

impl Load {
    fn new(now: Instant) -> Self {
        let work = Decaying::new(WORK_HALF_LIFE, now);
        Self {
            largest_rank: 0,
            kinds: BTreeMap::new(),
            customers: BTreeMap::new(),
            all: Tally::new(now),
            offered: work,
            offered_work: work,
            offered_requests: work,
            processed: work,
            placed: [work; ENGINE_RANKS as usize],
            shares: Shares::default(),
        }
    }

    fn record(&mut self, request: &Request<'_>, now: Instant) {
        self.largest_rank = self.largest_rank.max(request.rank);
        self.offered.add(request.prefill(), now);
        self.offered_work.add(request.work(), now);
        self.offered_requests.add(1.0, now);
        let key = (request.rank, request.route.cloned());
        if !self.kinds.contains_key(&key) {
            self.kinds
                .retain(|_, kind| now.saturating_duration_since(kind.seen) < FORGET_AFTER);
        }
        let kind = self.kinds.entry(key);
        kind.or_insert_with(|| Kind::new(request.latency_target, now))
            .record(request, now);
        if let Some(customer) = request.customer {
            if !self.customers.contains_key(customer) {
                self.customers
                    .retain(|_, (_, seen)| now.saturating_duration_since(*seen) < FORGET_AFTER);
            }
            let entry = self.customers.entry(customer.clone());
            let (_, seen) = entry.or_insert_with(|| (Tally::new(now), now));
            *seen = now;
        }
    }

    fn record_prefill(&mut self, tokens: f64, now: Instant) {
        self.processed.add(tokens, now);
        self.shares.advance(tokens * self.work_per_prefill(now));
    }

    fn decide(&mut self, request: &Request<'_>, outlook: &Outlook, now: Instant) -> Verdict {
        let (first, last) = self.range(request.rank);
        let gave_way = outlook.rank >= last;
        let key = (request.rank, request.route.cloned());
        let forecast = self.expect(outlook, now);
        let is_late = forecast > request.time_to_target();
        if let Some(kind) = self.kinds.get_mut(&key) {
            // A second outlook, at the last rank, says nothing about the requests that are in time.
            if !gave_way || first == last {
                kind.record_outlook(outlook, now);
                if is_late {
                    kind.late_work.add(request.prefill(), now);
                }
            }
        }
        let is_standing = self
            .kinds
            .get(&key)
            .is_some_and(|kind| kind.has_standing_queue(now));
        let is_ahead = self.has_standing_queue(now) && self.is_ahead(request, now);
        let is_protected = is_late && !is_ahead && self.is_below_floor(request, now);
        if !gave_way && !is_protected && (is_late || is_ahead) {
            return Verdict::GiveWay(last);
        }
        let too_late_by = forecast.saturating_sub(request.remaining);
        if !too_late_by.is_zero() {
            return request.reject(Reason::Deadline, too_late_by.max(RETRY_AFTER_MIN));
        }
        if is_late && !is_protected {
            let target = request.time_to_target();
            let late_by = forecast.saturating_sub(target).max(RETRY_AFTER_MIN);
            if is_ahead {
                return request.reject(Reason::Share, late_by);
            }
            if is_standing && self.displaces(&key, now) {
                return request.reject(Reason::Displaced, late_by);
            }
        }
        if let Some(placed) = self.placed.get_mut(usize::from(outlook.rank)) {
            placed.add(request.prefill(), now);
        }
        if let Some(customer) = request.customer {
            let allowance = self.allowance(now);
            self.shares.admit(customer, request.work(), allowance);
        }
        Verdict::Run
    }

    /// The forecast with the more urgent requests that will overtake in a standing queue. Without it,
    /// requests of the last ranks would wait in the engines until their deadline.
    fn expect(&self, outlook: &Outlook, now: Instant) -> Duration {
        if !self.has_standing_queue(now) {
            return outlook.forecast;
        }
        let more_urgent = self.placed.iter().take(usize::from(outlook.rank));
        let more_urgent: f64 = more_urgent.map(|placed| placed.rate(now)).sum();
        let share = more_urgent / self.processed.rate(now).max(1.0);
        outlook.forecast.div_f64(1.0 - share.min(MORE_URGENT_MAX))
    }

    /// Tokens of requests in relation to those to prefill.
    fn work_per_prefill(&self, now: Instant) -> f64 {
        (self.offered_work.rate(now) / self.offered.rate(now).max(1.0)).max(1.0)
    }

    fn record_ending(&mut self, request: &Request<'_>, served: bool, now: Instant) {
        self.all.add(served, now);
        if let Some(kind) = self.kinds.get_mut(&(request.rank, request.route.cloned())) {
            kind.record_ending(request, served, now);
        }
        let customer = request
            .customer
            .and_then(|name| self.customers.get_mut(name));
        if let Some((tally, _)) = customer {
            tally.add(served, now);
        }
    }

    fn has_standing_queue(&self, now: Instant) -> bool {
        self.kinds.values().any(|kind| kind.has_standing_queue(now))
    }

    /// Work by which a customer may be ahead of its share.
    fn allowance(&self, now: Instant) -> f64 {
        let kinds = self.kinds.values().map(Kind::mean_work);
        let mean_work = kinds.fold(0.0, f64::max);
        let rate = self.processed.rate(now) * self.work_per_prefill(now);
        self.shares.allowance(rate, mean_work)
    }

    fn is_ahead(&self, request: &Request<'_>, now: Instant) -> bool {
        request.customer.is_some_and(|customer| {
            let mean = self.offered_work.get(now) / self.offered_requests.get(now).max(1.0);
            let factor = (mean / request.work()).clamp(SIZE_FACTORS.0, SIZE_FACTORS.1);
            self.shares.is_ahead(customer, self.allowance(now) * factor)
                && !self.is_customer_below_floor(customer, now)
        })
    }

    fn is_customer_below_floor(&self, customer: &Caller, now: Instant) -> bool {
        let tally = self.customers.get(customer);
        tally.is_some_and(|(tally, _)| tally.ratio(now) < self.all.ratio(now) * FLOOR)
    }

    fn is_kind_below_floor(&self, request: &Request<'_>, now: Instant) -> bool {
        let kind = self.kinds.get(&(request.rank, request.route.cloned()));
        kind.is_some_and(|kind| kind.tally.ratio(now) < self.all.ratio(now) * FLOOR)
    }

    /// Whether requests of the same kind, size or customer are admitted too seldom, or less often than
    /// those of a less urgent kind.
    fn is_below_floor(&self, request: &Request<'_>, now: Instant) -> bool {
        let customer = request.customer;
        if customer.is_some_and(|customer| self.is_customer_below_floor(customer, now)) {
            return true;
        }
        let Some(kind) = self.kinds.get(&(request.rank, request.route.cloned())) else {
            return false;
        };
        let ratio = kind.tally.ratio(now);
        let size = kind.size(request);
        let is_inverted = || {
            let mut less_urgent = self
                .kinds
                .iter()
                .filter(|((rank, _), _)| *rank > request.rank);
            less_urgent.any(|(_, other)| other.tally.ratio(now) > ratio + INVERSION_MAX)
        };
        self.is_kind_below_floor(request, now)
            || (size != Size::Other && kind.sizes[size as usize].ratio(now) < ratio * SIZE_FLOOR)
            || is_inverted()
    }

    /// Whether a late request of a kind takes the place of more valuable ones. The work that is offered
    /// beyond what is processed is taken from the late requests with the least value for their work;
    /// within a kind the rejections are spread evenly.
    fn displaces(&mut self, key: &(u8, Option<Route>), now: Instant) -> bool {
        let excess = self.offered.rate(now) - self.processed.rate(now);
        let density = |rank: u8, kind: &Kind| {
            // The value falls with the rank; how fast is not configured.
            1.0 / f64::from(rank + 1) / kind.mean_prefill().max(1.0)
        };
        let Some(kind) = self.kinds.get(key) else {
            return false;
        };
        let own = density(key.0, kind);
        let cheaper = self
            .kinds
            .iter()
            .filter(|((rank, _), other)| density(*rank, other) < own);
        let taken: f64 = cheaper.map(|(_, other)| other.late_work.rate(now)).sum();
        let late = kind.late_work.rate(now).max(f64::MIN_POSITIVE);
        let share = ((excess - taken) / late).clamp(0.0, 1.0);
        let Some(kind) = self.kinds.get_mut(key) else {
            return false;
        };
        kind.due += share;
        let is_due = kind.due >= 1.0;
        if is_due {
            kind.due -= 1.0;
        }
        is_due
    }

    /// First and last rank at the engines of a configured rank.
    fn range(&self, rank: u8) -> (u8, u8) {
        let ranks = self.largest_rank.max(rank).saturating_add(1);
        let levels = (ENGINE_RANKS / ranks).max(1);
        let first = rank.min(ENGINE_RANKS - 1).saturating_mul(levels);
        let first = first.min(ENGINE_RANKS - levels);
        (first, first + levels - 1)
    }

    /// The rank at the engines of a request that is expected to be in time. Groups below their floor
    /// precede all others of their configured rank, and kinds below it those of all ranks: more urgent
    /// ones may take all of the capacity. If there are enough ranks,
    /// the large requests of a kind precede the others: they wait for longer in a queue, and would
    /// hardly be served if the kind is only partly served.
    fn rank(&self, request: &Request<'_>, now: Instant) -> u8 {
        let (first, last) = self.range(request.rank);
        if self.is_kind_below_floor(request, now) {
            return 0;
        }
        if self.is_below_floor(request, now) {
            return first;
        }
        let levels = usize::from(last - first);
        let mut kinds: Vec<_> = self
            .kinds
            .iter()
            .filter(|((rank, _), _)| *rank == request.rank)
            .map(|((_, route), kind)| (kind.order(), route, kind))
            .collect();
        kinds.sort_by_key(|(order, route, _)| (*order, *route));
        let route = request.route;
        let Some(position) = kinds.iter().position(|(_, of, _)| of.as_ref() == route) else {
            return last.saturating_sub(1).max(first);
        };
        let count = kinds.len();
        if levels < count {
            let offset = position * levels / count;
            return first + u8::try_from(offset).unwrap_or(0);
        }
        // The kinds with the longest slack are split by size first: they wait for the longest.
        let split = (levels - count).min(count);
        let unsplit = count - split;
        let before = position + position.saturating_sub(unsplit);
        let is_large = kinds[position].2.size(request) != Size::Other;
        let offset = before + usize::from(position >= unsplit && !is_large);
        first + u8::try_from(offset).unwrap_or(0)
    }
}
