use std::time::{Duration, Instant};

use super::*;
use crate::id::Endpoint;

fn pool(size: usize) -> Vec<Endpoint> {
    (0..size)
        .map(|index| format!("e{index}").parse().expect("valid name"))
        .collect()
}

/// Guards against retry storms, and against an idle process that can never retry.
#[test]
fn retries_are_limited_by_recent_requests() {
    let start = Instant::now();
    let mut budget = WindowBudget::new();
    let mut allowed = Vec::new();
    for (second, requests) in [(0, 0), (1, 100), (30, 0)] {
        let now = start + Duration::from_secs(second);
        (0..requests).for_each(|_| budget.record(now));
        allowed.push((0..50).filter(|_| budget.may_retry(now)).count());
    }
    assert_eq!(allowed, [3, 10, 3]);
}

/// Guards against ejections that do not get longer, and against full traffic right after an
/// ejection.
#[test]
fn ejections_double_and_traffic_ramps_up() {
    let pools = [pool(4)];
    let endpoint = &pools[0][0];
    let mut now = Instant::now();
    let mut ejector = Ejector::new();
    let mut lengths = Vec::new();
    for _ in 0..7 {
        while !ejector.record_failure(endpoint, &pools, now) {}
        let start = now;
        while ejector.is_ejected(endpoint, now) {
            now += Duration::from_millis(500);
        }
        lengths.push((now - start).as_secs());
    }
    assert_eq!(lengths, [1, 2, 4, 8, 16, 30, 30]);
    let shares: Vec<String> = (0..=5)
        .map(|second| ejector.traffic_share(endpoint, now + Duration::from_secs(second)))
        .map(|share| format!("{:.0}%", share.get() * 100.0))
        .collect();
    assert_eq!(shares, ["10%", "28%", "46%", "64%", "82%", "100%"]);
    now += Duration::from_secs(5);
    ejector.record_success(endpoint, now);
    let failures = (1..9).find(|_| ejector.record_failure(endpoint, &pools, now));
    assert_eq!(failures, Some(3));
    assert!(!ejector.is_ejected(endpoint, now + Duration::from_secs(1)));
}

/// Guards against the ejection of more than half of a pool, also after the pool has shrunk.
#[test]
fn at_most_half_of_a_pool_is_ejected() {
    let now = Instant::now();
    for size in 1..7 {
        let mut members = pool(size);
        let mut ejector = Ejector::new();
        for endpoint in members.iter().cycle().take(size * 5) {
            ejector.record_failure(endpoint, std::slice::from_ref(&members), now);
        }
        let ejected = |ejector: &Ejector, members: &[Endpoint]| {
            let ejected = members.iter().filter(|e| ejector.is_ejected(e, now));
            ejected.count()
        };
        assert_eq!(ejected(&ejector, &members), size / 2);
        members.truncate(size.div_ceil(2));
        ejector.limit_ejections(&members, now);
        assert!(ejected(&ejector, &members) * 2 <= members.len());
    }
}
