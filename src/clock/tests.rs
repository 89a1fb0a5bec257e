use std::time::Duration;

use super::*;

/// Guards against a system clock that ignores the paused time of tokio, which tests of long periods
/// depend on.
#[tokio::test(start_paused = true)]
async fn system_clock_follows_paused_time() {
    let start = System.now();
    tokio::time::advance(Duration::from_hours(1)).await;
    assert_eq!(System.now() - start, Duration::from_hours(1));
}

/// Guards against a clock for terms that stands still or goes back.
#[test]
fn boot_clock_advances() {
    let clock = Boot::shared();
    let start = clock.now();
    let mut last = start;
    while last == start {
        let now = clock.now();
        assert!(now >= last);
        last = now;
    }
}
