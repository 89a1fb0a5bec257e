use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng as _, rngs::StdRng};

use super::Mode;

/// Number of faults in a plan, high enough that some overlap in most plans.
const FAULT_COUNT: std::ops::RangeInclusive<usize> = 3..=9;

/// Number of faults by which endpoints say something of themselves.
const NOTICE_COUNT: std::ops::RangeInclusive<usize> = 0..=2;

/// Number of times at which endpoints fall silent, each with another fault beside it.
const SILENCE_COUNT: std::ops::RangeInclusive<usize> = 2..=3;

/// Duration of a silence in milliseconds. An endpoint that goes on after it is sound.
const SILENCE_MS: std::ops::RangeInclusive<u64> = 900..=1_600;

/// Number of times at which answers of endpoints are repeated or lost, half of them beside a second
/// entry for the address of the endpoint.
const ANSWER_FAULT_COUNT: std::ops::RangeInclusive<usize> = 0..=3;

/// Delay of a repeated answer in milliseconds, up to which the next request may have been sent.
const REPEAT_DELAY_MS: std::ops::RangeInclusive<u64> = 0..=40;

/// Pause that an endpoint at fault asks for.
const ABSURD_PAUSE: Duration = Duration::from_hours(24);

/// A fault to inject. Numbers are indexes of endpoints or gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The proxy of an endpoint changes its mode.
    Endpoint(usize, Mode),
    /// The proxy between a gateway and the store changes its mode.
    Store(usize, Mode),
    /// A gateway is suspended and resumed.
    Pause(usize),
    /// A gateway is killed and restarted.
    Kill(usize),
    /// A gateway is stopped gracefully and restarted.
    Stop(usize),
    /// A gateway is told to read its settings again.
    Reload(usize),
    /// The store compacts its history.
    Compact,
    /// The store expires all leases.
    Lapse,
    /// The operator writes several configuration versions in quick succession.
    Storm,
    /// An endpoint announces that it is draining, and later that it is ready.
    Drain(usize),
    /// An endpoint says in its answers that it is leaving, while its entry stays as it was, and starts
    /// again later.
    Leave(usize),
    /// An endpoint says so for a while, and goes on in the same run.
    LeaveFalsely(usize),
    /// An endpoint refuses requests, each time with a pause that it asks for.
    Shed(usize, Duration),
    /// An endpoint, or all of them, falls silent with its connections open, and then goes on.
    Silent(Option<usize>),
    /// The answers of an endpoint have neither length nor chunks, and end with their connections.
    Unframed(usize),
    /// The operator writes one configuration version.
    Change,
    /// A second entry names the address of an endpoint, as after a start under another id.
    Alias(usize),
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Offset from the start of the requests.
    pub at: Duration,
    /// Duration of the fault.
    pub lasts: Duration,
    /// The fault to inject.
    pub fault: Fault,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} for {:?}: {:?}", self.at, self.lasts, self.fault)
    }
}

/// The scheduled faults of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Seed that the plan was generated from.
    pub seed: u64,
    /// Faults in the order of their offsets.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Generates the plan of a seed for a run of `length`. The same arguments give the same plan.
    #[must_use]
    pub fn generate(seed: u64, length: Duration, gateways: usize, endpoints: usize) -> Self {
        let mut rng = rng(seed, 1);
        let count = rng.random_range(FAULT_COUNT);
        let mut steps: Vec<Step> = (0..count)
            .map(|_| step(&mut rng, length, |rng| fault(rng, gateways, endpoints)))
            .collect();
        // Drawn apart, so that recorded seeds keep their other faults.
        let mut rng = self::rng(seed, 2);
        let count = rng.random_range(NOTICE_COUNT);
        steps.extend((0..count).map(|_| step(&mut rng, length, |rng| notice(rng, endpoints))));
        let mut rng = self::rng(seed, 3);
        for _ in 0..rng.random_range(SILENCE_COUNT) {
            steps.extend(silence(&mut rng, length, gateways, endpoints));
        }
        let mut rng = self::rng(seed, 4);
        for _ in 0..rng.random_range(ANSWER_FAULT_COUNT) {
            steps.extend(answer_fault(&mut rng, length, endpoints));
        }
        steps.sort_by_key(|step| step.at);
        Self { seed, steps }
    }
}

fn step(rng: &mut StdRng, length: Duration, fault: impl FnOnce(&mut StdRng) -> Fault) -> Step {
    let at = length.mul_f64(rng.random_range(0.05..0.7));
    Step {
        at,
        lasts: length
            .saturating_sub(at)
            .mul_f64(rng.random_range(0.1..0.8)),
        fault: fault(rng),
    }
}

fn notice(rng: &mut StdRng, endpoints: usize) -> Fault {
    let endpoint = rng.random_range(0..endpoints);
    match rng.random_range(0..6) {
        0 | 1 => Fault::Leave(endpoint),
        2 => Fault::LeaveFalsely(endpoint),
        3 => Fault::Shed(endpoint, ABSURD_PAUSE),
        _ => {
            let pause = Duration::from_millis(rng.random_range(600..2_500));
            Fault::Shed(endpoint, pause)
        }
    }
}

/// A silence, and a fault or planned work that begins from half a second before it until its end.
fn silence(rng: &mut StdRng, length: Duration, gateways: usize, endpoints: usize) -> [Step; 2] {
    let at = length.mul_f64(rng.random_range(0.05..0.7));
    let lasts = Duration::from_millis(rng.random_range(SILENCE_MS));
    let endpoint = rng.random_range(0..endpoints);
    let gateway = rng.random_range(0..gateways);
    let silent = (!rng.random_bool(0.4)).then_some(endpoint);
    let beside = match rng.random_range(0..7) {
        0 | 1 => Fault::Change,
        2 => Fault::Storm,
        3 | 4 => Fault::Stop(gateway),
        5 => Fault::Reload(gateway),
        _ => Fault::Unframed(endpoint),
    };
    let offset = Duration::from_millis(rng.random_range(0..1_500));
    [
        Step {
            at,
            lasts,
            fault: Fault::Silent(silent),
        },
        Step {
            at: (at + offset).saturating_sub(Duration::from_millis(500)),
            lasts: 2 * lasts,
            fault: beside,
        },
    ]
}

/// Answers that are repeated or lost, and at times a second entry for the same address.
fn answer_fault(rng: &mut StdRng, length: Duration, endpoints: usize) -> Vec<Step> {
    let endpoint = rng.random_range(0..endpoints);
    let mode = if rng.random_bool(0.7) {
        Mode::Repeat(Duration::from_millis(rng.random_range(REPEAT_DELAY_MS)))
    } else {
        Mode::Lose
    };
    let first = step(rng, length, |_| Fault::Endpoint(endpoint, mode));
    let alias = Step {
        fault: Fault::Alias(endpoint),
        ..first
    };
    if rng.random_bool(0.5) {
        vec![first, alias]
    } else {
        vec![first]
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

/// Random number generator for a seed and a purpose. Purposes have independent sequences, so that a
/// change in how one part draws numbers does not affect the others.
pub(super) fn rng(seed: u64, purpose: u64) -> StdRng {
    StdRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(purpose))
}
