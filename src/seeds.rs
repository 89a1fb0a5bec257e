//! Seeds of the randomized tests.

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
