use std::time::Duration;

use super::*;
use crate::{
    clock::{Clock, Manual},
    route::Kind,
};

/// Guards against requests that are taken although their answer may be lost at the end of the stop, or
/// that get more time than is left, and against refusals of what can be answered.
#[test]
fn requests_are_taken_while_their_answer_can_be_sent() {
    let clock = Manual::new();
    let begun = clock.now();
    let schedule = Schedule::new(begun, Duration::from_millis(2_500), Duration::from_secs(8));
    let kinds = [
        Kind::Idempotent,
        Kind::NonIdempotent,
        Kind::Stream,
        Kind::ResumableStream,
    ];
    let mut lines = Vec::new();
    for at_ms in [0, 2_400, 2_500, 5_000, 7_000, 7_500, 9_000] {
        clock.advance((begun + Duration::from_millis(at_ms)) - clock.now());
        for time_ms in [600, 2_500, 8_000, 10_000, 20_000] {
            let deadline = clock.now() + Duration::from_millis(time_ms);
            let taken = kinds.map(|kind| {
                let granted = schedule.admit(clock.now(), deadline, kind);
                granted.map_or("refused".to_owned(), |deadline| {
                    format!("{} ms", (deadline - clock.now()).as_millis())
                })
            });
            lines.push(format!("at {at_ms}, {time_ms} ms: {}", taken.join(", ")));
        }
    }
    insta::assert_debug_snapshot!(lines);
}

/// Guards against a stop that lasts longer than the grace period.
#[test]
fn stop_ends_within_the_grace_period() {
    let now = Manual::new().now();
    let grace = Duration::from_secs(2);
    for delay in [Duration::ZERO, Duration::from_secs(1), 2 * grace] {
        let schedule = Schedule::new(now, delay, grace);
        assert!(schedule.accept_until() < schedule.cut_at());
        assert!(schedule.cut_at() < schedule.exit_at());
        assert!(schedule.exit_at() < now + grace);
    }
}
