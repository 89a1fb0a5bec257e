//! The entries of reports and counts in the store.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{Result, Tally, history::Content};
use crate::{
    error::{Error, Kind},
    id::{Caller, Incarnation, Process, Window},
    store::{Compare, Path, Store, Txn, Write},
    wire::Begun,
};

/// Time to live of the counts that a gateway writes to the store.
const COUNTS_TTL: Duration = Duration::from_mins(1);

/// Reads the contents of all reports.
pub(super) async fn read_reports(
    store: &dyn Store,
    root: &Path,
) -> Result<BTreeMap<Window, Content>> {
    let range = store.range(reports_path(root)).await?;
    let reports = range.items.into_iter().filter_map(|item| {
        let window = item.path.as_str().rsplit('/').next()?.parse().ok()?;
        Some((window, Arc::new(decode(&item.value)?)))
    });
    Ok(reports.collect())
}

/// Creates the entry of a report, and removes those of the windows in `old`. Returns the content of the
/// entry, which is another one if it was there before.
pub(super) async fn create_report(
    store: &dyn Store,
    root: &Path,
    window: Window,
    content: &Content,
    old: &[Window],
) -> Result<Content> {
    let path = reports_path(root).join(&window);
    let removals = old
        .iter()
        .map(|window| Write::Delete(reports_path(root).join(window)));
    let mut writes = vec![Write::Put(path.clone(), encode(content)?, None)];
    writes.extend(removals);
    let txn = Txn {
        compares: vec![Compare::Absent(path)],
        writes,
    };
    let commit = store.commit(txn).await?;
    if commit.succeeded {
        return Ok(Arc::clone(content));
    }
    let found = commit.found.first().and_then(|item| decode(&item.value));
    found
        .map(Arc::new)
        .ok_or_else(|| Error::new(Kind::StoreUnavailable, "the report cannot be read"))
}

/// Merges the counts that gateways have written to the store. Gateways that are not linked with all others
/// do so, and the holder may have received a part of them.
pub(super) async fn merge_counts(
    store: &dyn Store,
    root: &Path,
    own: &(Process, Incarnation),
    window: Window,
    tally: &mut Tally,
) -> Result<()> {
    let range = store.range(counts_path(root, window)).await?;
    for item in range.items {
        let name = item.path.as_str().rsplit('/').next().unwrap_or_default();
        let run = name
            .rsplit_once('.')
            .and_then(|(process, run)| Some((process.parse().ok()?, run.parse().ok()?)));
        let Some(run) = run.filter(|run| run != own) else {
            continue;
        };
        let counts = decode(&item.value).into_iter().flatten();
        let begun = counts.map(|(customer, count)| Begun {
            window,
            customer,
            count,
        });
        let begun: Vec<Begun> = begun.collect();
        tally.merge(run, &begun, Window::default());
    }
    Ok(())
}

/// Writes the counts of a run of a process in a window.
pub(super) async fn write_counts(
    store: &dyn Store,
    root: &Path,
    own: &(Process, Incarnation),
    window: Window,
    counts: &BTreeMap<Caller, u64>,
) -> Result<()> {
    let path = counts_path(root, window).join(&format!("{}.{}", own.0, own.1));
    let value = encode(counts)?;
    let lease = store.grant(COUNTS_TTL).await?;
    let txn = Txn {
        compares: Vec::new(),
        writes: vec![Write::Put(path, value, Some(lease))],
    };
    store.commit(txn).await.map(drop)
}

fn reports_path(root: &Path) -> Path {
    root.join(&"reports")
}

fn counts_path(root: &Path, window: Window) -> Path {
    root.join(&"counts").join(&window)
}

fn encode(counts: &BTreeMap<Caller, u64>) -> Result<Vec<u8>> {
    serde_json::to_vec(counts)
        .map_err(|error| Error::new(Kind::Internal, "cannot encode counts").with_source(error))
}

fn decode(value: &[u8]) -> Option<BTreeMap<Caller, u64>> {
    serde_json::from_slice(value)
        .inspect_err(|error| log::warn!(error:% = error; "usage: skipping unreadable counts"))
        .ok()
}
