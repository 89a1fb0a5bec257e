//! A short soak of gateways with recorded seeds. `mulberrymill-bench soak` plays more of them.

use std::{path::PathBuf, time::Duration};

use futures_util::future;
use mulberrymill_bench::soak::{self, Config};

/// Seeds and the seconds for which they send requests. Seed 3 finds a gateway that repeats requests
/// which must run once.
const SEEDS: [(u64, u64); 3] = [(1, 4), (2, 4), (3, 8)];

/// Guards against requests that run twice, are refused although they ran, are mixed up, or are not
/// served after faults that overlap.
#[test]
fn rules_hold_under_overlapping_faults() {
    actix::System::new().block_on(async {
        let plays = SEEDS.map(|(seed, seconds)| async move {
            let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
            let config = Config {
                seed,
                length: Duration::from_secs(seconds),
                ..Config::default()
            };
            let breaches = soak::play(&config, &folder)
                .await
                .expect("it can be played");
            let breaches = breaches
                .iter()
                .map(|breach| format!("seed {seed}: {breach}"));
            breaches.collect::<Vec<_>>()
        });
        let breaches = future::join_all(plays).await.concat();
        assert!(breaches.is_empty(), "{breaches:#?}");
    });
}
