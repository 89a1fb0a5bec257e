use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use mulberrymill::id::Revision;
use serde::Serialize;
use serde_json::Value;
use tokio::{sync::mpsc, time};

use super::{
    Result, operator,
    rig::{Counters, Rig, RigConfig},
};

/// Links of the entry and of the agent while edits are measured.
const LINKS: usize = 100;
/// Edits at each document size; the median is reported.
const EDITS_PER_SIZE: usize = 5;
/// Window in which the cost of an edit is counted, including follow-up traffic such as reports with
/// the new revision.
const EDIT_WINDOW: Duration = Duration::from_millis(2500);
/// Longest wait for an edit to arrive at every peer.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Window in which the idle cost is measured, which is subtracted from the cost of an edit.
const IDLE_WINDOW: Duration = Duration::from_secs(5);
/// Added to the current revision so that the document offered by the stand-ins is newer than any
/// edit.
const REVISION_LEAD: u64 = 1000;

/// Cost of an edit at one document size.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Edit {
    /// Links of the entry and of the agent.
    pub peers: usize,
    /// Size of the text of all sections in bytes.
    pub document: usize,
    /// Resident memory of the entry before the edits, in KiB.
    pub entry_rss_kib: u64,
    /// Resident memory of the agent before the edits, in KiB.
    pub agent_rss_kib: u64,
    /// Median over the edits: bytes on all links of the entry, without the idle traffic.
    pub entry_bytes: f64,
    /// Median: CPU time of the entry in ms, without its idle usage.
    pub entry_ms: f64,
    /// Median: CPU time of the agent in ms, without its idle usage.
    pub agent_ms: f64,
    /// Median: time from the operator's request to its response, in ms.
    pub accepted_ms: f64,
    /// Median: time until the last agent stand-in has received the document, in ms.
    pub arrived_ms: f64,
    /// Maximum over the edits of the time in `arrived_ms`.
    pub arrived_most_ms: f64,
    /// Median: time until the agent reports the revision, in ms.
    pub reported_ms: f64,
    /// Resident memory of the entry after the edits, in KiB.
    pub entry_rss_after_kib: u64,
    /// Cost at the agent when all its entries announce one edit at the same time.
    pub burst: Burst,
}

/// Cost at an agent when all its entries announce an edit at the same time.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Burst {
    /// Number of announcing entries.
    pub entries: usize,
    /// Bytes received by the agent, without the idle traffic.
    pub bytes: f64,
    /// Received bytes divided by the document size.
    pub copies: f64,
    /// CPU time of the agent in ms, without its idle usage.
    pub agent_ms: f64,
    /// Resident memory of the agent afterwards, in KiB.
    pub agent_rss_kib: u64,
    /// Time until the agent reports the revision, in ms.
    pub reported_ms: f64,
}

/// Measures edits of a document of about `size` bytes.
pub(super) async fn measure(size: usize) -> Result<Edit> {
    // Each endpoint takes about 170 bytes and the other sections 2 KB.
    let callers_bytes = size.saturating_sub(LINKS * 170 + 2_000);
    let mut rig = Rig::open(RigConfig {
        entries: 1,
        agent_peers: LINKS,
        entry_peers: LINKS,
        groups: 1,
        callers_bytes,
    })
    .await?;
    time::sleep(Duration::from_secs(3)).await;
    let before = rig.counters().await?;
    time::sleep(IDLE_WINDOW).await;
    let after = rig.counters().await?;
    let idle = IdleRates::between(&before, &after);
    let mut edits = Vec::new();
    for number in 0..EDITS_PER_SIZE {
        edits.push(measure_edit(&mut rig, number, &idle).await?);
    }
    let last = rig.counters().await?;
    let snapshot = operator::read(rig.fleet.entries[0].address()).await?;
    let usage = after.entries[0].since(&before.entries[0]);
    let median = |pick: fn(&EditCost) -> f64| median(edits.iter().map(pick).collect());
    Ok(Edit {
        peers: LINKS,
        document: document_bytes(&snapshot),
        entry_rss_kib: usage.rss_kib,
        agent_rss_kib: after.agent.since(&before.agent).rss_kib,
        entry_bytes: median(|edit| edit.bytes),
        entry_ms: median(|edit| edit.entry_ms),
        agent_ms: median(|edit| edit.agent_ms),
        accepted_ms: median(|edit| edit.accepted_ms),
        arrived_ms: median(|edit| edit.arrived_ms),
        arrived_most_ms: edits.iter().map(|edit| edit.arrived_ms).fold(0.0, f64::max),
        reported_ms: median(|edit| edit.reported_ms),
        entry_rss_after_kib: last.entries[0].since(&before.entries[0]).rss_kib,
        burst: burst(&mut rig, &snapshot, &idle).await?,
    })
}

/// CPU seconds and link bytes per second of the entry and the agent while nothing is edited.
#[derive(Clone, Copy, Debug)]
struct IdleRates {
    entry: f64,
    agent: f64,
    entry_bytes: f64,
    bytes_to_agent: f64,
}

impl IdleRates {
    fn between(before: &Counters, after: &Counters) -> Self {
        let seconds = after.agent.elapsed_since(&before.agent);
        Self {
            entry: after.entries[0].busy_since(&before.entries[0]) / seconds,
            agent: after.agent.busy_since(&before.agent) / seconds,
            entry_bytes: entry_bytes(before, after) / seconds,
            bytes_to_agent: bytes_to_agent(before, after) / seconds,
        }
    }
}

fn entry_bytes(before: &Counters, after: &Counters) -> f64 {
    let (before, after) = (before.entry_links, after.entry_links);
    to_f64(after.to_agent.bytes - before.to_agent.bytes)
        + to_f64(after.to_entry.bytes - before.to_entry.bytes)
}

fn bytes_to_agent(before: &Counters, after: &Counters) -> f64 {
    to_f64(after.agent_links.to_agent.bytes - before.agent_links.to_agent.bytes)
}

/// Converts a counter for arithmetic.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^53"
)]
pub(super) fn to_f64(value: u64) -> f64 {
    value as f64
}

fn millis(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e3
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

fn document_bytes(snapshot: &Value) -> usize {
    let sections = snapshot["sections"].as_object();
    let texts = sections.into_iter().flat_map(|all| all.values());
    texts
        .map(|part| part["text"].as_str().map_or(0, str::len))
        .sum()
}

struct EditCost {
    bytes: f64,
    entry_ms: f64,
    agent_ms: f64,
    accepted_ms: f64,
    arrived_ms: f64,
    reported_ms: f64,
}

async fn measure_edit(rig: &mut Rig, number: usize, idle: &IdleRates) -> Result<EditCost> {
    let entry = rig.fleet.entries[0].address();
    let snapshot = operator::read(entry).await?;
    let limits = &snapshot["sections"]["limits"];
    let base = operator::revision(&limits["revision"])?;
    let text = limits["text"]
        .as_str()
        .ok_or("the document has no limits section")?;
    // Editing only a comment leaves the configuration itself unchanged.
    let text = format!(
        "// Edit {number}.\n{}",
        text.trim_start_matches(|c| c != '{')
    );
    let before = rig.counters().await?;
    let started = Instant::now();
    let revision: Revision = operator::put(entry, "limits", text, base)
        .await?
        .to_string()
        .parse()?;
    let accepted_ms = millis(started);
    let arrived = wait_for_revision(&mut rig.adopted, revision, LINKS);
    let reported = wait_for_revision(&mut rig.reported, revision, 1);
    let both = async { tokio::join!(arrived, reported) };
    let (arrived, reported) = time::timeout(ARRIVAL_TIMEOUT, both).await?;
    time::sleep(EDIT_WINDOW.saturating_sub(started.elapsed())).await;
    let after = rig.counters().await?;
    let seconds = after.agent.elapsed_since(&before.agent);
    let extra = |busy: f64, idle: f64| (busy - idle * seconds) * 1e3;
    Ok(EditCost {
        bytes: entry_bytes(&before, &after) - idle.entry_bytes * seconds,
        entry_ms: extra(after.entries[0].busy_since(&before.entries[0]), idle.entry),
        agent_ms: extra(after.agent.busy_since(&before.agent), idle.agent),
        accepted_ms,
        arrived_ms: millis_between(started, arrived),
        reported_ms: millis_between(started, reported),
    })
}

fn millis_between(from: Instant, to: Instant) -> f64 {
    to.duration_since(from).as_secs_f64() * 1e3
}

/// Waits until `wanted` or a newer revision has been received `times` times; returns when.
async fn wait_for_revision(
    seen: &mut mpsc::UnboundedReceiver<Revision>,
    wanted: Revision,
    times: usize,
) -> Instant {
    let mut left = times;
    while left > 0 {
        match seen.recv().await {
            Some(revision) if revision >= wanted => left -= 1,
            Some(_older) => {}
            None => break,
        }
    }
    Instant::now()
}

async fn burst(rig: &mut Rig, snapshot: &Value, idle: &IdleRates) -> Result<Burst> {
    let mut document = operator::document(snapshot)?;
    let ahead = operator::revision(&snapshot["revision"])? + REVISION_LEAD;
    document.revision = ahead.to_string().parse()?;
    let revision = document.revision;
    let size = to_f64(document_bytes(snapshot) as u64);
    while rig.reported.try_recv().is_ok() {}
    let before = rig.counters().await?;
    let started = Instant::now();
    rig.document.send_replace(Some(Arc::new(document)));
    for entry in &rig.entries {
        entry.announce(revision);
    }
    let reported = time::timeout(
        ARRIVAL_TIMEOUT,
        wait_for_revision(&mut rig.reported, revision, 1),
    )
    .await?;
    time::sleep(EDIT_WINDOW.saturating_sub(started.elapsed())).await;
    let after = rig.counters().await?;
    let usage = after.agent.since(&before.agent);
    let bytes = bytes_to_agent(&before, &after) - idle.bytes_to_agent * usage.seconds;
    Ok(Burst {
        entries: rig.entries.len(),
        bytes,
        copies: bytes / size,
        agent_ms: (after.agent.busy_since(&before.agent) - idle.agent * usage.seconds) * 1e3,
        agent_rss_kib: usage.rss_kib,
        reported_ms: millis_between(started, reported),
    })
}
