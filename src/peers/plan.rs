use std::{collections::BTreeMap, fmt, time::Duration};

use crate::{
    link::Session,
    route::Version,
    wire::{PlanConfirmation, PlanState},
};

/// Time for which peers have a newer plan before it is requested from one of them. A process that reaches
/// the store has read it by then. Also the time between two requests.
const FETCH_DELAY: Duration = Duration::from_secs(1);
/// Smallest unit of times in digests.
const MILLISECOND: Duration = Duration::from_millis(1);

/// The active plan of this process, as it is exchanged with peers.
pub trait SharedPlan: fmt::Debug {
    /// Version of the active plan.
    fn version(&self) -> Option<Version>;

    /// The last confirmed version, and the time since boot as of which it was the newest.
    fn confirmed(&self) -> Option<(Version, Duration)>;

    /// The active plan as the store has it, if it is text.
    fn text(&self) -> Option<(Version, String)>;

    /// Records that a version was the newest at a time since boot.
    fn confirm(&self, version: Version, as_of: Duration);

    /// Applies a plan like one from the store.
    fn adopt(&self, text: &str);
}

/// What to do after a digest of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Ignore,
    /// The version was the newest at this time since boot.
    Confirm(Version, Duration),
    /// Request the plan from the peer.
    Fetch,
}

/// Dates the confirmations of peers, and decides when to request a plan.
///
/// Clocks of hosts are not comparable. Each side therefore sends its own time and returns the last time that
/// it received. The peer wrote its digest after it had received this time, so its confirmation is not older
/// than this time minus the age that it states, however long the digest was on its way.
#[derive(Debug, Default)]
pub struct PlanExchange {
    /// The last time that was received over each link.
    last_received: BTreeMap<Session, Duration>,
    /// The active version when a peer first had a newer one, and the time since boot of this or of the last
    /// request.
    behind: Option<(Option<Version>, Duration)>,
}

impl PlanExchange {
    /// What to send over a link now.
    #[must_use]
    pub fn state(
        &self,
        session: Session,
        confirmed: Option<(Version, Duration)>,
        now: Duration,
    ) -> PlanState {
        PlanState {
            sent: now,
            echo: self
                .last_received
                .get(&session)
                .copied()
                .unwrap_or_default(),
            confirmed: confirmed.map(|(version, as_of)| PlanConfirmation {
                version,
                // The encoding rounds down, and the age must not be understated.
                age: now.saturating_sub(as_of) + MILLISECOND,
            }),
        }
    }

    /// Records what a peer sent over a link.
    pub fn receive(
        &mut self,
        session: Session,
        state: PlanState,
        active: Option<Version>,
        now: Duration,
    ) -> Step {
        self.last_received.insert(session, state.sent);
        let Some(confirmed) = state.confirmed else {
            return Step::Ignore;
        };
        if active < Some(confirmed.version) {
            return self.request(active, now);
        }
        let as_of = state.echo.checked_sub(confirmed.age);
        match as_of.filter(|as_of| *as_of < now && !state.echo.is_zero()) {
            // A version before the active one may be that of an older copy of the store.
            Some(as_of) if active == Some(confirmed.version) => {
                Step::Confirm(confirmed.version, as_of)
            }
            _ => Step::Ignore,
        }
    }

    /// Forgets a link that was closed.
    pub fn close(&mut self, session: Session) {
        self.last_received.remove(&session);
    }

    fn request(&mut self, active: Option<Version>, now: Duration) -> Step {
        match self.behind {
            Some((version, since)) if version == active => {
                if now.saturating_sub(since) < FETCH_DELAY {
                    return Step::Ignore;
                }
                self.behind = Some((active, now));
                Step::Fetch
            }
            _ => {
                self.behind = Some((active, now));
                Step::Ignore
            }
        }
    }
}
