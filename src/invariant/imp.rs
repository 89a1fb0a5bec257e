use std::{
    fmt,
    sync::atomic::{AtomicBool, Ordering},
};

/// Process-wide because a breach can arise in any task, and a test must stop on each of them.
static FATAL: AtomicBool = AtomicBool::new(cfg!(test));

/// The points that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Point {
    /// An engine never receives conflicting orders.
    OneOrder,
    /// No request is cut off by a planned change or stop.
    NoCut,
    /// Orders from a process that has lost its authority have no effect.
    Authority,
    /// Each caller receives the whole answer to its own request.
    WholeAnswer,
    /// What a caller is told was not run was not run.
    NotRun,
    /// A non-repeatable operation runs at most once.
    AtMostOnce,
    /// A leaving endpoint receives no new work.
    Leaving,
    /// The configuration in force never reverts.
    NoRevert,
}

impl fmt::Display for Point {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OneOrder => "one-order",
            Self::NoCut => "no-cut",
            Self::Authority => "authority",
            Self::WholeAnswer => "whole-answer",
            Self::NotRun => "not-run",
            Self::AtMostOnce => "at-most-once",
            Self::Leaving => "leaving",
            Self::NoRevert => "no-revert",
        })
    }
}

/// Makes breaches panic (tests, bench) or only count (production).
pub fn set_fatal(fatal: bool) {
    FATAL.store(fatal, Ordering::Relaxed);
}

/// Records a breach of `point` unless `holds`. `context` is called only on a breach.
///
/// # Panics
///
/// On a breach, if breaches are fatal.
pub fn check(point: Point, holds: bool, context: impl FnOnce() -> String) {
    if holds {
        return;
    }
    let context = context();
    metrics::counter!("invariant_breaches_total", "point" => point.to_string()).increment(1);
    log::error!(point:% = point, context:% = context; "invariant does not hold");
    assert!(
        !FATAL.load(Ordering::Relaxed),
        "invariant {point} does not hold: {context}"
    );
}
