use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng as _, rngs::StdRng};

use super::Mode;

/// Faults of a run; several of them overlap in most runs.
const FAULTS: std::ops::RangeInclusive<usize> = 3..=9;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connections to an endpoint misbehave.
    Endpoint(usize, Mode),
    /// The connections of a gateway to the store misbehave.
    Store(usize, Mode),
    /// A gateway is paused.
    Pause(usize),
    /// A gateway is killed and started again.
    Kill(usize),
    /// A gateway is asked to stop and started again.
    Stop(usize),
    /// A gateway is told that its settings have changed.
    Reload(usize),
    /// The store forgets its history.
    Compact,
    /// The store lets all leases lapse.
    Lapse,
    /// The operator writes the configuration several times.
    Storm,
    /// An endpoint says that it is leaving, and comes back.
    Drain(usize),
}

/// A fault at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// From the start of the requests.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// The fault.
    pub fault: Fault,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} for {:?}: {:?}", self.at, self.lasts, self.fault)
    }
}

/// The faults of a run, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Seed that the plan follows from.
    pub seed: u64,
    /// The faults.
    pub steps: Vec<Step>,
}

impl Plan {
    /// The plan of a seed for a run of a length.
    #[must_use]
    pub fn draw(seed: u64, length: Duration, gateways: usize, endpoints: usize) -> Self {
        let mut rng = rng(seed, 1);
        let count = rng.random_range(FAULTS);
        let mut steps: Vec<Step> = (0..count)
            .map(|_| {
                let at = length.mul_f64(rng.random_range(0.05..0.7));
                Step {
                    at,
                    lasts: length
                        .saturating_sub(at)
                        .mul_f64(rng.random_range(0.1..0.8)),
                    fault: fault(&mut rng, gateways, endpoints),
                }
            })
            .collect();
        steps.sort_by_key(|step| step.at);
        Self { seed, steps }
    }
}

fn fault(rng: &mut StdRng, gateways: usize, endpoints: usize) -> Fault {
    let gateway = rng.random_range(0..gateways);
    let endpoint = rng.random_range(0..endpoints);
    match rng.random_range(0..14) {
        0..=4 => Fault::Endpoint(endpoint, mode(rng)),
        5 | 6 => Fault::Store(gateway, mode(rng)),
        7 => Fault::Pause(gateway),
        8 => Fault::Kill(gateway),
        9 => Fault::Stop(gateway),
        10 => Fault::Reload(gateway),
        11 => Fault::Drain(endpoint),
        12 => Fault::Storm,
        _ if rng.random_bool(0.5) => Fault::Compact,
        _ => Fault::Lapse,
    }
}

fn mode(rng: &mut StdRng) -> Mode {
    match rng.random_range(0..6) {
        0 => Mode::Delay(Duration::from_millis(rng.random_range(20..400))),
        1 => Mode::Reset,
        2 => Mode::CutUp,
        3 => Mode::CutDown,
        4 => Mode::Refuse,
        _ => Mode::Silence,
    }
}

/// A generator that depends on a seed and a purpose, so that another use of random numbers in one
/// part does not change the others.
pub(super) fn rng(seed: u64, purpose: u64) -> StdRng {
    StdRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(purpose))
}
