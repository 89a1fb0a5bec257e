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
    rig::{Mark, Plan, Rig},
};

/// Links of the entry, and of the agent, while edits are measured.
const PEERS: usize = 100;
/// Edits of one size; the median is given.
const EDITS: usize = 5;
/// Time for an edit and for what follows it, such as reports with the new revision.
const AFTER: Duration = Duration::from_millis(2500);
/// Longest time until an edit has arrived everywhere.
const LIMIT: Duration = Duration::from_secs(10);
/// Window in which the idle share is measured, to subtract it.
const IDLE: Duration = Duration::from_secs(5);
/// Added to a revision so that the offer of the stand-ins is newer than any edit.
const AHEAD: u64 = 1000;

/// Cost of an edit at one size of the document.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Edit {
    /// Links of the entry, and of the agent.
    pub peers: usize,
    /// Text of all sections in bytes.
    pub document: usize,
    /// Resident memory of the entry before the edits, in KiB.
    pub entry_rss_kib: u64,
    /// Resident memory of the agent before the edits, in KiB.
    pub agent_rss_kib: u64,
    /// Median over the edits: bytes on all links of the entry.
    pub entry_bytes: f64,
    /// Median: processor time of the entry in ms, without its idle share.
    pub entry_ms: f64,
    /// Median: processor time of the agent in ms, without its idle share.
    pub agent_ms: f64,
    /// Median: time from the request of the operator to the answer, in ms.
    pub accepted_ms: f64,
    /// Median: time until the document has arrived at the last stand-in, in ms.
    pub arrived_ms: f64,
    /// Slowest edit: the same.
    pub arrived_most_ms: f64,
    /// Median: time until the agent reports the revision, in ms.
    pub reported_ms: f64,
    /// Resident memory of the entry after the edits, in KiB.
    pub entry_rss_after_kib: u64,
    /// All entries of an agent announce one edit at the same time.
    pub burst: Burst,
}

/// Cost at an agent whose entries all announce an edit at the same time.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Burst {
    /// Entries.
    pub entries: usize,
    /// Bytes that arrive at the agent.
    pub bytes: f64,
    /// Copies of the document that this makes.
    pub copies: f64,
    /// Processor time of the agent in ms, without its idle share.
    pub agent_ms: f64,
    /// Resident memory of the agent after it, in KiB.
    pub agent_rss_kib: u64,
    /// Time until the agent reports the revision, in ms.
    pub reported_ms: f64,
}

/// Measures edits of a document of about `size` bytes.
pub(super) async fn measure(size: usize) -> Result<Edit> {
    // Each endpoint takes about 170 bytes and the other sections 2 KB.
    let padding = size.saturating_sub(PEERS * 170 + 2_000);
    let mut rig = Rig::open(Plan {
        entries: 1,
        agents: PEERS,
        callers: PEERS,
        groups: 1,
        padding,
    })
    .await?;
    time::sleep(Duration::from_secs(3)).await;
    let before = rig.mark().await?;
    time::sleep(IDLE).await;
    let after = rig.mark().await?;
    let idle = Idle::between(&before, &after);
    let mut edits = Vec::new();
    for number in 0..EDITS {
        edits.push(once(&mut rig, number, &idle).await?);
    }
    let last = rig.mark().await?;
    let snapshot = operator::read(rig.fleet.entries[0].address()).await?;
    let usage = after.entries[0].since(&before.entries[0]);
    let median = |pick: fn(&Once) -> f64| median(edits.iter().map(pick).collect());
    Ok(Edit {
        peers: PEERS,
        document: length(&snapshot),
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

/// What goes on without edits, per second.
#[derive(Clone, Copy, Debug)]
struct Idle {
    entry: f64,
    agent: f64,
    below: f64,
    to_agent: f64,
}

impl Idle {
    fn between(before: &Mark, after: &Mark) -> Self {
        let seconds = after.agent.elapsed_since(&before.agent);
        Self {
            entry: after.entries[0].busy_since(&before.entries[0]) / seconds,
            agent: after.agent.busy_since(&before.agent) / seconds,
            below: below(before, after) / seconds,
            to_agent: to_agent(before, after) / seconds,
        }
    }
}

fn below(before: &Mark, after: &Mark) -> f64 {
    let (before, after) = (before.below, after.below);
    count(after.to_agent.bytes - before.to_agent.bytes)
        + count(after.to_entry.bytes - before.to_entry.bytes)
}

fn to_agent(before: &Mark, after: &Mark) -> f64 {
    count(after.above.to_agent.bytes - before.above.to_agent.bytes)
}

/// A count as a number to calculate with.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^53"
)]
pub(super) fn count(value: u64) -> f64 {
    value as f64
}

fn millis(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e3
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

fn length(snapshot: &Value) -> usize {
    let sections = snapshot["sections"].as_object();
    let texts = sections.into_iter().flat_map(|all| all.values());
    texts
        .map(|part| part["text"].as_str().map_or(0, str::len))
        .sum()
}

struct Once {
    bytes: f64,
    entry_ms: f64,
    agent_ms: f64,
    accepted_ms: f64,
    arrived_ms: f64,
    reported_ms: f64,
}

async fn once(rig: &mut Rig, number: usize, idle: &Idle) -> Result<Once> {
    let entry = rig.fleet.entries[0].address();
    let snapshot = operator::read(entry).await?;
    let limits = &snapshot["sections"]["limits"];
    let base = operator::number(&limits["revision"])?;
    let text = limits["text"].as_str().ok_or("no limits")?;
    // A comment is an edit that changes nothing else.
    let text = format!(
        "// Edit {number}.\n{}",
        text.trim_start_matches(|c| c != '{')
    );
    let before = rig.mark().await?;
    let started = Instant::now();
    let revision: Revision = operator::put(entry, "limits", text, base)
        .await?
        .to_string()
        .parse()?;
    let accepted_ms = millis(started);
    let arrived = arrive(&mut rig.adopted, revision, PEERS);
    let reported = arrive(&mut rig.reported, revision, 1);
    let both = async { tokio::join!(arrived, reported) };
    let (arrived, reported) = time::timeout(LIMIT, both).await?;
    time::sleep(AFTER.saturating_sub(started.elapsed())).await;
    let after = rig.mark().await?;
    let seconds = after.agent.elapsed_since(&before.agent);
    let extra = |busy: f64, idle: f64| (busy - idle * seconds) * 1e3;
    Ok(Once {
        bytes: below(&before, &after) - idle.below * seconds,
        entry_ms: extra(after.entries[0].busy_since(&before.entries[0]), idle.entry),
        agent_ms: extra(after.agent.busy_since(&before.agent), idle.agent),
        accepted_ms,
        arrived_ms: span(started, arrived),
        reported_ms: span(started, reported),
    })
}

fn span(from: Instant, to: Instant) -> f64 {
    to.duration_since(from).as_secs_f64() * 1e3
}

/// Waits until a revision was seen a number of times.
async fn arrive(
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

async fn burst(rig: &mut Rig, snapshot: &Value, idle: &Idle) -> Result<Burst> {
    let mut document = operator::document(snapshot)?;
    let ahead = operator::number(&snapshot["revision"])? + AHEAD;
    document.revision = ahead.to_string().parse()?;
    let revision = document.revision;
    let size = count(length(snapshot) as u64);
    while rig.reported.try_recv().is_ok() {}
    let before = rig.mark().await?;
    let started = Instant::now();
    rig.offer.send_replace(Some(Arc::new(document)));
    for entry in &rig.entries {
        entry.announce(revision);
    }
    let reported = time::timeout(LIMIT, arrive(&mut rig.reported, revision, 1)).await?;
    time::sleep(AFTER.saturating_sub(started.elapsed())).await;
    let after = rig.mark().await?;
    let usage = after.agent.since(&before.agent);
    let bytes = to_agent(&before, &after) - idle.to_agent * usage.seconds;
    Ok(Burst {
        entries: rig.entries.len(),
        bytes,
        copies: bytes / size,
        agent_ms: (after.agent.busy_since(&before.agent) - idle.agent * usage.seconds) * 1e3,
        agent_rss_kib: usage.rss_kib,
        reported_ms: span(started, reported),
    })
}
