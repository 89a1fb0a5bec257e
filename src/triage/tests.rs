use std::{
    collections::BTreeMap,
    fmt::Write as _,
    time::{Duration, Instant},
};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

use super::*;
use crate::unit::{Tokens, as_f64, round};

/// Prompt tokens that the modelled engine prefills per second.
const ENGINE_RATE: f64 = 60_000.0;
/// How long requests arrive.
const DURATION: Duration = Duration::from_secs(30);

/// Requests of one kind and customer that arrive at random.
#[derive(Clone, Copy)]
struct Flow {
    route: &'static str,
    customer: &'static str,
    rank: u8,
    per_second: f64,
    /// Mean of the prompt tokens to prefill.
    prompt: f64,
    target: u64,
    deadline: u64,
    /// When requests arrive, in seconds.
    from: u64,
    to: u64,
}

impl Flow {
    const fn times(self, factor: f64) -> Self {
        let per_second = self.per_second * factor;
        Self { per_second, ..self }
    }

    const fn of(self, customer: &'static str) -> Self {
        Self { customer, ..self }
    }

    const fn between(self, from: u64, to: u64) -> Self {
        Self { from, to, ..self }
    }
}

const fn flow(route: &'static str, rate: f64, prompt: f64, target: u64, deadline: u64) -> Flow {
    Flow {
        route,
        customer: "any",
        rank: 1,
        per_second: rate,
        prompt,
        target,
        deadline,
        from: 0,
        to: DURATION.as_secs(),
    }
}

/// Kinds of requests that together need 63,000 prompt tokens per second.
const CHAT: Flow = flow("chat", 40.0, 628.0, 250, 8_000);
const CHECK: Flow = flow("check", 10.0, 1_800.0, 400, 2_500);
const REVIEW: Flow = flow("review", 3.0, 6_610.0, 1_500, 8_000);

/// A request at the modelled engine.
struct Job {
    flow: Flow,
    prompt: f64,
    left: f64,
    is_large: bool,
    arrived: Instant,
}

/// The owned parts of a request.
struct Ids {
    service: crate::id::Service,
    route: crate::id::Route,
    customer: crate::id::Caller,
    flow: Flow,
    prompt: Tokens,
}

impl Ids {
    fn new(job: &Job) -> Self {
        Self {
            service: "lm".parse().expect("a valid name"),
            route: job.flow.route.parse().expect("a valid name"),
            customer: job.flow.customer.parse().expect("a valid name"),
            flow: job.flow,
            prompt: Tokens::new(round(job.prompt)),
        }
    }

    fn request(&self) -> Request<'_> {
        Request {
            service: &self.service,
            route: Some(&self.route),
            customer: (self.flow.customer != "any").then_some(&self.customer),
            rank: self.flow.rank,
            latency_target: Duration::from_millis(self.flow.target),
            waited: Duration::ZERO,
            remaining: Duration::from_millis(self.flow.deadline),
            prompt: self.prompt,
            own_prompt: self.prompt,
            max_output: Tokens::ZERO,
            is_first: true,
        }
    }
}

#[derive(Clone, Copy, Default)]
struct Count {
    offered: u32,
    in_time: u32,
    late: u32,
    rejected: u32,
    failed: u32,
}

impl Count {
    fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.offered.max(1))
    }
}

/// An engine that prefills one request after the other, the most urgent first, and drops requests at
/// their deadline.
struct Engine {
    queue: BTreeMap<(u8, u64), Job>,
    now: Instant,
    service: crate::id::Service,
    counts: BTreeMap<String, Count>,
}

impl Engine {
    fn advance(&mut self, to: Instant, policy: &mut dyn Policy) {
        while self.now < to {
            let Some(mut first) = self.queue.first_entry() else {
                break;
            };
            let job = first.get_mut();
            let deadline = job.arrived + Duration::from_millis(job.flow.deadline);
            let done = self.now + Duration::from_secs_f64(job.left / ENGINE_RATE);
            if deadline.min(done) > to {
                let elapsed = to.saturating_duration_since(self.now);
                job.left -= elapsed.as_secs_f64() * ENGINE_RATE;
                break;
            }
            let job = first.remove();
            if deadline < done {
                self.now = self.now.max(deadline);
                self.count(&job, |count| count.failed += 1);
                policy.record_ending(&Ids::new(&job).request(), false, deadline);
                continue;
            }
            self.now = done;
            let in_time = done - job.arrived <= Duration::from_millis(job.flow.target);
            self.count(&job, |count| {
                *(if in_time {
                    &mut count.in_time
                } else {
                    &mut count.late
                }) += 1;
            });
            let prompt = Tokens::new(round(job.prompt));
            policy.record_prefill(&self.service, prompt, done);
            policy.record_ending(&Ids::new(&job).request(), true, done);
        }
        self.now = self.now.max(to);
    }

    fn outlook(&self, rank: u8, own: f64) -> Outlook {
        let ahead = self.queue.range(..(rank + 1, 0)).map(|(_, job)| job.left);
        let queueing = ahead.sum::<f64>() / ENGINE_RATE;
        Outlook {
            rank,
            forecast: Duration::from_secs_f64(queueing + own / ENGINE_RATE),
            queueing: Duration::from_secs_f64(queueing),
        }
    }

    fn count(&mut self, job: &Job, add: impl Fn(&mut Count)) {
        let flow = job.flow;
        let mut groups = vec![
            format!("rank {} {}", flow.rank, flow.route),
            "all".to_owned(),
        ];
        if job.is_large {
            groups.push(format!("rank {} {}, large", flow.rank, flow.route));
        }
        if flow.customer != "any" {
            groups.push(format!("customer {}", flow.customer));
        }
        for group in groups {
            add(self.counts.entry(group).or_default());
        }
    }
}

/// Plays a load to one engine, and returns what became of the requests of each group.
fn play(mode: Mode, flows: &[Flow]) -> BTreeMap<String, Count> {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut arrivals = Vec::new();
    for flow in flows {
        let mut at = as_f64(flow.from);
        while at < as_f64(flow.to) {
            arrivals.push((
                start + Duration::from_secs_f64(at),
                *flow,
                rng.random_range(0.4..1.6),
            ));
            at += -rng.random_range(0.001_f64..1.0).ln() / flow.per_second;
        }
    }
    arrivals.sort_by_key(|(at, ..)| *at);
    let mut policy = new(mode);
    let mut engine = Engine {
        queue: BTreeMap::new(),
        now: start,
        service: "lm".parse().expect("a valid name"),
        counts: BTreeMap::new(),
    };
    for (number, (at, flow, size)) in (0..).zip(arrivals) {
        engine.advance(at, &mut *policy);
        let prompt = flow.prompt * size;
        let job = Job {
            flow,
            prompt,
            left: prompt,
            // The largest fifth.
            is_large: size > 1.36,
            arrived: at,
        };
        engine.count(&job, |count| count.offered += 1);
        let ids = Ids::new(&job);
        let request = ids.request();
        policy.record(&request, at);
        let mut rank = policy.rank(&request, at);
        let runs = loop {
            match policy.decide(&request, engine.outlook(rank, prompt), at) {
                Verdict::Run => break true,
                Verdict::GiveWay(less_urgent) => {
                    assert!(
                        less_urgent > rank,
                        "a request that gives way is less urgent"
                    );
                    rank = less_urgent;
                }
                Verdict::Reject(rejection) => {
                    let longest = request.remaining.mul_f64(0.3);
                    assert!(rejection.retry_after <= longest, "{rejection:?}");
                    break false;
                }
            }
        };
        assert!(rank <= 9, "engines have ten ranks");
        if runs {
            engine.queue.insert((rank, number), job);
        } else {
            engine.count(&job, |count| count.rejected += 1);
        }
    }
    let end = start + DURATION + Duration::from_mins(1);
    engine.advance(end, &mut *policy);
    engine.counts
}

/// What became of the requests of each group under both policies, in percent.
fn compare(flows: &[Flow]) -> String {
    let mut text = String::new();
    // `Auto` is one of these two.
    for mode in [Mode::Reject, Mode::ByCost] {
        writeln!(text, "{mode}:").expect("writes to a string");
        for (group, count) in play(mode, flows) {
            let percent = |part: u32| 100.0 * f64::from(part) / f64::from(count.offered.max(1));
            writeln!(
                text,
                "  {group:<24} {:>5} in time {:>3.0} late {:>3.0} rejected {:>3.0} failed {:>3.0}",
                count.offered,
                percent(count.in_time),
                percent(count.late),
                percent(count.rejected),
                percent(count.failed)
            )
            .expect("writes to a string");
        }
    }
    text
}

/// Checks the floors of kinds, large requests and customers, and that no kind is served more often than
/// a more urgent one.
fn assert_floors(flows: &[Flow]) {
    let counts = play(Mode::ByCost, flows);
    let all = counts["all"].served();
    for (group, count) in &counts {
        let served = count.served();
        assert!(
            served >= all * 0.25,
            "{group} is served {served:.2} of {all:.2}"
        );
        if let Some(kind) = group.strip_suffix(", large") {
            let kind = counts[kind].served();
            assert!(
                served >= kind * 0.5,
                "{group} is served {served:.2} of {kind:.2}"
            );
        }
    }
    let is_kind = |group: &str| group.starts_with("rank") && !group.ends_with("large");
    let kinds: Vec<_> = counts.iter().filter(|(group, _)| is_kind(group)).collect();
    for (more, less) in kinds.iter().zip(kinds.iter().skip(1)) {
        let is_less_urgent = more.0[..6] != less.0[..6];
        assert!(
            !is_less_urgent || less.1.served() <= more.1.served() + 0.05,
            "{} is served more often than {}",
            less.0,
            more.0
        );
    }
}

/// Guards against a policy that changes anything while there is room.
#[test]
fn idle_service_serves_all_in_time() {
    let flows = [CHAT.times(0.3), CHECK.times(0.3), REVIEW.times(0.3)];
    insta::assert_snapshot!(compare(&flows));
}

/// Guards against long prompts that make all short urgent requests late.
#[test]
fn flood_of_long_prompts_leaves_short_ones_in_time() {
    let flows = [CHAT.times(0.5), CHECK.times(0.5), REVIEW.times(4.0)];
    assert_floors(&flows);
    insta::assert_snapshot!(compare(&flows));
}

/// Guards against a burst of the most urgent kind that starves the others.
#[test]
fn burst_of_the_most_urgent_kind() {
    let urgent = |flow: Flow, rank| Flow { rank, ..flow };
    let flows = [
        urgent(CHAT.times(0.5), 0),
        urgent(CHAT.times(3.0), 0).between(10, 16),
        urgent(CHECK, 1),
        urgent(REVIEW, 2),
    ];
    assert_floors(&flows);
    insta::assert_snapshot!(compare(&flows));
}

/// Guards against a large customer that takes the capacity of the small ones.
#[test]
fn large_customer_leaves_the_small_ones_their_share() {
    let small = ["s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"];
    let mut flows = vec![
        CHAT.times(1.2).of("large"),
        CHECK.times(1.2).of("large"),
        REVIEW.times(1.2).of("large"),
    ];
    for customer in small {
        let kinds = [CHAT, CHECK, REVIEW];
        flows.extend(kinds.map(|flow| flow.times(0.06).of(customer)));
    }
    assert_floors(&flows);
    insta::assert_snapshot!(compare(&flows));
}

/// Guards against a share that is withheld although nobody else needs it.
#[test]
fn unused_shares_go_to_others() {
    let flows = [REVIEW.times(2.5).of("large"), CHAT.times(0.05).of("small")];
    assert_floors(&flows);
    insta::assert_snapshot!(compare(&flows));
}

/// Shows who is served while the load exceeds the capacity by a third for long, with one rank for all
/// kinds and with one for each.
#[test]
fn steady_overload() {
    let flows = [CHAT.times(1.3), CHECK.times(1.3), REVIEW.times(1.3)];
    assert_floors(&flows);
    insta::assert_snapshot!("steady_overload_one_rank", compare(&flows));
    let ranks = [0, 1, 2];
    let mut ranked = flows;
    for (flow, rank) in ranked.iter_mut().zip(ranks) {
        flow.rank = rank;
    }
    assert_floors(&ranked);
    insta::assert_snapshot!("steady_overload_three_ranks", compare(&ranked));
}
