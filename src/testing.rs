//! What the tests of several slices share: seeds of randomized runs, and virtual time.

use std::ops::Range;

/// Environment variable that replaces the recorded seeds, as `FROM..TO`, for longer runs.
const VARIABLE: &str = "MULBERRYMILL_SEEDS";

/// The seeds to run: the recorded ones, unless the environment names others.
///
/// # Panics
///
/// If the environment variable is not of the form `FROM..TO`.
pub(crate) fn seeds(recorded: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var(VARIABLE) else {
        return recorded;
    };
    let bounds = text.split_once("..");
    let parsed = bounds.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    parsed.unwrap_or_else(|| panic!("{VARIABLE} has to be FROM..TO"))
}

/// Runs a test inside an actix system on virtual time, which moves on when nothing else can.
pub(crate) fn on_virtual_time<F: Future>(test: F) -> F::Output {
    let runtime = || {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime")
    };
    actix::System::with_tokio_rt(runtime).block_on(test)
}
