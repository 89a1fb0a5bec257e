use std::{
    fmt,
    sync::atomic::{AtomicBool, Ordering},
};

/// Process-wide, because a violation can occur in any task and each one must fail the test.
static FATAL: AtomicBool = AtomicBool::new(cfg!(test));

/// An invariant of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Invariant {
    /// An engine never receives conflicting orders.
    OneOrder,
    /// A planned change or shutdown aborts no request.
    NoCut,
    /// Orders from a process that has lost the authority lease have no effect.
    Authority,
    /// Each caller receives the complete answer to its own request.
    WholeAnswer,
    /// A request that is reported as not executed was not executed.
    NotRun,
    /// A non-repeatable operation runs at most once.
    AtMostOnce,
    /// An endpoint that is draining or shutting down receives no new work.
    Leaving,
    /// The active configuration never reverts to a lower revision.
    NoRevert,
}

impl fmt::Display for Invariant {
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

/// Sets whether a violation panics, as in tests and `mulberrymill-bench`, or is only counted and
/// logged, as in production. The default is true in the unit tests of this crate, otherwise false.
pub fn set_fatal(fatal: bool) {
    FATAL.store(fatal, Ordering::Relaxed);
}

/// Records a violation of `invariant` unless `holds`. `context` is called only on a violation.
///
/// # Panics
///
/// Panics on a violation if [`set_fatal`] is true.
pub fn check(invariant: Invariant, holds: bool, context: impl FnOnce() -> String) {
    if holds {
        return;
    }
    let context = context();
    metrics::counter!("invariant_breaches_total", "point" => invariant.to_string()).increment(1);
    log::error!(point:% = invariant, context:% = context; "invariant does not hold");
    assert!(
        !FATAL.load(Ordering::Relaxed),
        "invariant {invariant} does not hold: {context}"
    );
}
