//! A short soak test of gateways with fixed seeds. `mulberrymill-bench soak` runs more seeds.

use std::{path::PathBuf, time::Duration};

use futures_util::{FutureExt, StreamExt, stream};
use mulberrymill_bench::soak::{self, Config};

/// Seeds, and the duration in seconds for which each sends requests. Seed 3 detects a gateway that
/// retries requests that must be executed at most once; seeds 205, 208, 215 and 216 detect one that
/// breaks off a resumable stream after a second of silence of its endpoint; seeds 92000 and 92013 detect
/// one that takes a copy of a rejection for the answer to the next attempt.
const SEEDS: [(u64, u64); 9] = [
    (1, 4),
    (2, 4),
    (3, 8),
    (205, 4),
    (208, 4),
    (215, 4),
    (216, 4),
    (92_000, 8),
    (92_013, 8),
];

/// Number of seeds that run concurrently.
const JOBS: usize = 4;

/// Guards against requests that are executed twice, are reported as not executed although they
/// were, get the response of another request or neither a whole response nor a refusal, or fail after
/// overlapping faults have ended.
#[test]
fn invariants_hold_under_overlapping_faults() {
    actix::System::new().block_on(async {
        let runs = SEEDS.map(|(seed, seconds)| async move {
            let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
            let config = Config {
                seed,
                length: Duration::from_secs(seconds),
                ..Config::default()
            };
            let breaches = soak::play(&config, &folder).await.expect("the soak runs");
            let breaches = breaches
                .iter()
                .map(|breach| format!("seed {seed}: {breach}"));
            breaches.collect::<Vec<_>>()
        });
        let runs = stream::iter(runs).buffer_unordered(JOBS);
        let breaches = runs.collect::<Vec<_>>().boxed_local().await.concat();
        assert!(breaches.is_empty(), "{breaches:#?}");
    });
}
