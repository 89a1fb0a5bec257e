//! A short soak test of gateways with fixed seeds. `mulberrymill-bench soak` runs more seeds.

use std::{path::PathBuf, time::Duration};

use futures_util::future;
use mulberrymill_bench::soak::{self, Config};

/// Seeds, and the duration in seconds for which each sends requests. Seed 3 detects a gateway that
/// retries requests that must be executed at most once.
const SEEDS: [(u64, u64); 3] = [(1, 4), (2, 4), (3, 8)];

/// Guards against requests that are executed twice, are reported as not executed although they
/// were, get the response of another request, or fail after overlapping faults have ended.
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
        let breaches = future::join_all(runs).await.concat();
        assert!(breaches.is_empty(), "{breaches:#?}");
    });
}
