use std::time::{Duration, Instant};

/// Pause between two adjustments: agents report every second.
const PERIOD: Duration = Duration::from_secs(1);
/// Part of the slots of a pool by which an entry raises its limit.
const RAISE: f64 = 0.05;
/// Part of the slots that an entry may always use beyond twice what it uses now.
const FREE: f64 = 0.1;

/// Slots of a pool that one of several entries uses.
///
/// Entries do not know each other. Each compares the attempts that the agents report with the slots
/// of the pool: it raises its limit by a constant while there is room, and lowers it by a factor
/// when there is none, so that the limits of all entries become equal.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Portion {
    limit: f64,
    adjusted: Option<Instant>,
}

impl Portion {
    /// The limit for a pool with `slots` slots, `all` attempts in progress and `own` of them from
    /// this entry.
    pub(super) fn limit(&mut self, slots: u32, own: u32, all: u32, now: Instant) -> u32 {
        let most = f64::from(slots);
        let (own, all) = (f64::from(own), f64::from(all));
        if all <= own {
            self.limit = most;
            self.adjusted = Some(now);
            return slots;
        }
        let elapsed = self
            .adjusted
            .is_none_or(|at| now.saturating_duration_since(at) >= PERIOD);
        if elapsed {
            self.adjusted = Some(now);
            if all > most {
                self.limit *= most / all;
            } else {
                self.limit += most * RAISE;
            }
            // An entry that is not limited now must not fill the pool at once later.
            self.limit = self.limit.min(own * 2.0 + most * FREE);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the limit lies between 0 and the slots"
        )]
        let limit = self.limit.clamp(0.0, most) as u32;
        limit.max(slots.min(1))
    }
}
