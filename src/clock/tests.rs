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
