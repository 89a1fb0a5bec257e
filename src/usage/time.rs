use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::id::Process;

/// Estimate of the Unix time. Wall clocks of some hosts are off by seconds for a while, so each process
/// advances the wall-clock time of its start by a clock that counts suspension, and takes the median of
/// its own and its peers' results.
#[derive(Clone, Debug)]
pub struct TrueTime {
    wall: Duration,
    start: Instant,
    /// What the peers' times are ahead of the own one, in milliseconds.
    offsets: BTreeMap<Process, i64>,
}

impl TrueTime {
    /// Starts at `start` by a clock that counts suspension, when the wall clock shows `wall`.
    #[must_use]
    pub fn new(wall: SystemTime, start: Instant) -> Self {
        Self {
            wall: wall.duration_since(UNIX_EPOCH).unwrap_or_default(),
            start,
            offsets: BTreeMap::new(),
        }
    }

    /// Unix time by the wall clock at the start of this process. `now` may lie before the start.
    #[must_use]
    pub fn own(&self, now: Instant) -> Duration {
        let (after, before) = (
            now.saturating_duration_since(self.start),
            self.start.saturating_duration_since(now),
        );
        (self.wall + after).saturating_sub(before)
    }

    /// Notes what a peer's own time was when `now` was reached here.
    pub fn observe(&mut self, peer: &Process, time: Duration, now: Instant) {
        let offset = millis(time) - millis(self.own(now));
        self.offsets.insert(peer.clone(), offset);
    }

    /// Median of the own time and that of the peers.
    #[must_use]
    pub fn estimate(&self, now: Instant) -> Duration {
        let mut offsets: Vec<i64> = self.offsets.values().copied().collect();
        offsets.push(0);
        offsets.sort_unstable();
        let median = offsets[(offsets.len() - 1) / 2];
        let own = self.own(now);
        let shift = Duration::from_millis(median.unsigned_abs());
        if median < 0 {
            own.saturating_sub(shift)
        } else {
            own + shift
        }
    }
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
