//! Helpers shared by the tests of several modules: seeds of randomized tests, and paused time.

use std::ops::Range;

/// Environment variable with seeds for longer runs, as `FROM..TO`, instead of the recorded ones.
const SEEDS_VARIABLE: &str = "MULBERRYMILL_SEEDS";

/// Returns the seeds to run: `recorded`, unless the environment variable is set.
///
/// # Panics
///
/// Panics if the environment variable does not have the form `FROM..TO`.
pub(crate) fn seeds(recorded: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else {
        return recorded;
    };
    let bounds = text.split_once("..");
    let parsed = bounds.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    parsed.unwrap_or_else(|| panic!("{SEEDS_VARIABLE} must have the form FROM..TO"))
}

/// Runs a test in an actix system with paused tokio time, which advances to the next timer when all
/// tasks are idle.
pub(crate) fn with_paused_time<F: Future>(test: F) -> F::Output {
    let runtime = || {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime")
    };
    actix::System::with_tokio_rt(runtime).block_on(test)
}
