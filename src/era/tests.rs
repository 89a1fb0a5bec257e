use std::time::Duration;

use super::Record;
use crate::{
    clock::System,
    store::{Memory, Path, Reader},
    testing::with_paused_time,
};

fn prefix() -> Path {
    "/duties".parse().expect("a path")
}

fn record(era: u64, since_s: u64) -> Record {
    Record {
        era: crate::store::Era::new(era),
        since: Duration::from_secs(since_s),
    }
}

/// Guards against a record that is replaced by a later one, that is written for another era than that of the store, and
/// that vouches for the store after a restore.
#[test]
fn record_belongs_to_the_era_of_the_store() {
    let seen = with_paused_time(async {
        let store = Memory::new(System::shared());
        let mut seen = Vec::new();
        let mut read = async |name, known| {
            let found = Record::read_or_create(&store, &prefix(), known).await;
            let found = found.expect("it is reachable");
            let range = store.range(prefix()).await.expect("it is reachable");
            let stored = range.items.iter().map(|item| item.path.to_string());
            let found = found.map(|record| (record.era.get(), record.since.as_secs()));
            seen.push(format!(
                "{name}: {found:?}, stored {:?}",
                stored.collect::<Vec<_>>()
            ));
        };
        read("nothing is known", None).await;
        read("another era is known", Some(record(1, 100))).await;
        read("the era is known", Some(record(0, 100))).await;
        read("known later", Some(record(0, 150))).await;
        read("not known", None).await;
        store.restore(store.back_up());
        read("restored, not known", None).await;
        read("restored, the former era is known", Some(record(0, 100))).await;
        read("restored, the era is known", Some(record(1, 200))).await;
        seen
    });
    insta::assert_debug_snapshot!(seen);
}

/// Guards against a record that counts as older than it is, since the clock of its writer was behind.
#[test]
fn age_allows_for_clock_errors() {
    let ages = [90, 100, 105, 110, 200].map(|now| record(0, 100).age(Duration::from_secs(now)));
    insta::assert_debug_snapshot!(ages.map(|age| age.as_secs()));
}
