use std::{sync::Arc, time::Duration};

use futures_util::StreamExt;

use super::*;
use crate::{
    clock::{Manual, System},
    error::Executed,
    id::Revision,
};

const PERIOD: Duration = Duration::from_secs(9);

fn path(text: &str) -> Path {
    text.parse().expect("valid path")
}

fn put(text: &str, value: &str, lease: Option<Lease>) -> Txn {
    Txn {
        compares: Vec::new(),
        writes: vec![Write::Put(path(text), value.into(), lease)],
    }
}

/// Guards against a key that outlives its lease, which would leave a group without a holder.
#[tokio::test]
async fn keys_are_deleted_when_their_lease_expires() -> Result<()> {
    let clock = Manual::new();
    let store = Memory::new(Arc::new(clock.clone()));
    let lease = store.grant(PERIOD).await?;
    store.commit(put("/a", "1", Some(lease))).await?;
    clock.advance(PERIOD / 2);
    let renewed = store.renew(lease).await?;
    clock.advance(Duration::from_millis(8_999));
    let before = store.get(path("/a")).await?.items.len();
    clock.advance(Duration::from_millis(1));
    let after = store.get(path("/a")).await?;
    let late = store.renew(lease).await?;
    insta::assert_debug_snapshot!((renewed, before, after, late));
    Ok(())
}

/// Guards against a watch that does not report the expiry of a lease until the next call to the
/// store.
#[tokio::test(start_paused = true)]
async fn watch_reports_keys_of_an_expired_lease() -> Result<()> {
    let store = Memory::new(System::shared());
    let lease = store.grant(PERIOD).await?;
    let mut events = store.watch(path("/"), Revision::new(1).into()).await?;
    store.commit(put("/a", "1", Some(lease))).await?;
    let first = events.next().await;
    let second = events.next().await;
    insta::assert_debug_snapshot!((first, second));
    Ok(())
}

/// Guards against an injected fault whose error has the wrong execution state.
#[tokio::test(start_paused = true)]
async fn faults_report_the_execution_state() -> Result<()> {
    let store = Memory::new(System::shared());
    let mut results = Vec::new();
    let cases = [
        Faults {
            down: true,
            ..Faults::default()
        },
        Faults {
            lose_answers: 1,
            ..Faults::default()
        },
        Faults {
            delay: Duration::from_secs(3),
            ..Faults::default()
        },
        Faults {
            delay: Duration::from_secs(5),
            ..Faults::default()
        },
        Faults {
            delay: Duration::from_secs(1),
            ..Faults::default()
        },
    ];
    for (index, faults) in cases.into_iter().enumerate() {
        store.set_faults(faults);
        let result = store.commit(put("/a", &index.to_string(), None)).await;
        let executed = result.map_or_else(|error| error.executed(), |_commit| Executed::Yes);
        store.set_faults(Faults::default());
        let value = store
            .get(path("/a"))
            .await?
            .items
            .pop()
            .map(|item| item.value);
        results.push((
            executed,
            value.map(|value| String::from_utf8_lossy(&value).into_owned()),
        ));
    }
    insta::assert_debug_snapshot!((results, store.counts()));
    Ok(())
}

/// Guards against a watch that stays open during an outage instead of ending with an error.
#[tokio::test(start_paused = true)]
async fn outage_ends_watches() -> Result<()> {
    let store = Memory::new(System::shared());
    let mut events = store
        .client()
        .watch(path("/"), Revision::default().into())
        .await?;
    let mut broken = store.watch(path("/"), Revision::default().into()).await?;
    store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let ends = (
        broken.next().await.is_some_and(|end| end.is_err()),
        broken.next().await.is_none(),
    );
    store.client().commit(put("/a", "1", None)).await?;
    insta::assert_debug_snapshot!((ends, events.next().await, store.counts()));
    Ok(())
}

/// Guards against a watch that continues over a restore of the store, and against a lease of an earlier
/// era that renews or revokes the lease of another process with the same number.
#[tokio::test(start_paused = true)]
async fn positions_and_leases_end_with_a_restore() -> Result<()> {
    let store = Memory::new(System::shared());
    store.commit(put("/a", "1", None)).await?;
    let read = store.range(path("/")).await?;
    let backup = store.back_up();
    let own = store.grant(PERIOD).await?;
    let mut events = store.watch(path("/"), read.next()).await?;
    store.commit(put("/b", "2", Some(own))).await?;
    let first = events.next().await;
    store.restore(backup);
    let other = store.grant(PERIOD).await?;
    store.commit(put("/c", "3", Some(other))).await?;
    let second = events.next().await;
    let renewed = store.renew(own).await?;
    store.revoke(own).await?;
    let kept = store.range(path("/")).await?;
    assert_eq!(own.get(), other.get());
    insta::assert_debug_snapshot!((first, second, renewed, kept));
    Ok(())
}
