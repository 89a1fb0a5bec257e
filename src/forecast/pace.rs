use std::time::{Duration, Instant};

/// Relative pause that is assumed for a stream that its deadline cut off: its tokens came too slowly,
/// even if no single pause was too long.
const CUT_OFF_PAUSE: f64 = 1.5;
/// Time before its deadline at which a stream that ends early counts as cut off. Callers give up a
/// little before their deadline.
const CUT_OFF_SLACK: Duration = Duration::from_millis(100);

/// The pauses between the events of one stream, relative to the longest pause that its caller
/// accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    target: Duration,
    deadline: Instant,
    first: Option<Instant>,
    last: Option<Instant>,
    pauses: u32,
    /// Whether a pause was longer than the target.
    late: bool,
    /// Sum of the squares of each pause over the target, so that a few long pauses count more than
    /// many short ones.
    squares: f64,
}

impl Pace {
    /// Starts a stream without events. `target` is the longest pause that the caller accepts, and
    /// the stream has to be complete at `deadline`.
    #[must_use]
    pub const fn new(target: Duration, deadline: Instant) -> Self {
        Self {
            target,
            deadline,
            first: None,
            last: None,
            pauses: 0,
            late: false,
            squares: 0.0,
        }
    }

    /// Records the arrival of an event. The time to the first event is no pause.
    pub fn record(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            let pause = now.saturating_duration_since(last).as_secs_f64();
            let target = self.target.as_secs_f64();
            if target > 0.0 {
                self.pauses += 1;
                self.late |= pause > target;
                self.squares += (pause / target).powi(2);
            }
        }
    }

    /// Ends a stream that is not complete at `now`. If its deadline has passed, all of its pauses
    /// count as too long.
    pub fn break_off(&mut self, now: Instant) {
        if now + CUT_OFF_SLACK >= self.deadline {
            self.late |= self.pauses > 0;
            let cut_off = f64::from(self.pauses) * CUT_OFF_PAUSE.powi(2);
            self.squares = self.squares.max(cut_off);
        }
    }

    /// When the first event arrived.
    #[must_use]
    pub const fn started_at(&self) -> Option<Instant> {
        self.first
    }

    /// Longest pause that the caller accepts.
    pub(super) const fn target(&self) -> Duration {
        self.target
    }

    /// Whether the stream was late: by a pause, or since its deadline cut it off.
    pub(super) const fn is_late(&self) -> bool {
        self.late
    }

    /// Number of recorded pauses.
    pub(super) const fn pauses(&self) -> u32 {
        self.pauses
    }

    /// Sum of the squared relative pauses.
    pub(super) const fn squares(&self) -> f64 {
        self.squares
    }
}
