use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;
use tokio::time;

use super::{
    Line, Result,
    edit::{self, Edit, to_f64},
    meter::{Flow, Total},
    operator,
    rig::{Counters, Rig, RigConfig},
    sample::Usage,
};

/// Links of each entry and of the agent, one measurement per value.
const LINK_COUNTS: [usize; 3] = [10, 100, 300];
/// Groups held by one entry, one measurement per value.
const GROUP_COUNTS: [usize; 3] = [1, 10, 35];
/// Links of the entry while groups are measured.
const GROUP_LINKS: usize = 100;
/// Approximate document sizes, each with 100 endpoints.
const DOCUMENT_SIZES_BYTES: [usize; 3] = [20_000, 100_000, 400_000];
/// Time between the last link coming up and the start of the measurement window.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Length of the measurement window.
const WINDOW: Duration = Duration::from_secs(20);
/// IPv4 and TCP headers of a segment, with the timestamp option.
const SEGMENT_HEADER_BYTES: f64 = 52.0;

/// Results of all measurements, serialized as the JSON report.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Results {
    /// Idle entries and an idle agent, one item per number of links.
    pub peers: Vec<Peers>,
    /// An idle entry, one item per number of groups held.
    pub groups: Vec<Groups>,
    /// Document edits, one item per document size.
    pub edits: Vec<Edit>,
    /// Linear fits of the results above, by quantity.
    pub lines: BTreeMap<String, Line>,
}

/// Usage of idle processes at one number of links.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Peers {
    /// Links of each entry and of the agent.
    pub links: usize,
    /// Usage of the entry that holds the only group.
    pub holder: Usage,
    /// Usage of the other entry.
    pub entry: Usage,
    /// Average traffic of one entry on its links.
    pub entry_links: Traffic,
    /// Usage of the agent.
    pub agent: Usage,
    /// Traffic of the agent on its links.
    pub agent_links: Traffic,
    /// Store calls of both entries and the agent together.
    pub store: Calls,
}

/// Usage of an idle entry at one number of groups.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Groups {
    /// Groups held by the entry.
    pub held: usize,
    /// Links of the entry to agent stand-ins.
    pub links: usize,
    /// Usage of the entry.
    pub holder: Usage,
    /// Store calls of the entry and the agent together.
    pub store: Calls,
    /// Size of the host list response in bytes.
    pub host_list: usize,
}

/// Bytes per second on the links of a process.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Traffic {
    /// Bytes per second from entries to agents, including WebSocket headers.
    pub to_agent: f64,
    /// Bytes per second from agents to entries, including WebSocket headers.
    pub to_entry: f64,
    /// Relay reads per second in both directions, which approximates TCP segments.
    pub segments: f64,
    /// Estimated TCP and IPv4 header bytes per second: 52 bytes per segment and 52 bytes for its
    /// separate acknowledgement.
    pub headers: f64,
}

/// Rates of store calls.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Calls {
    /// Reads per second.
    pub reads: f64,
    /// Transactions and lease calls per second.
    pub writes: f64,
    /// Open watches at the end of the window.
    pub watches: u64,
}

/// Runs all measurements, which takes about five minutes. Calls `on_step` with a description
/// before each one.
///
/// # Errors
///
/// Fails if a process does not start or does not reach the expected state.
pub async fn measure(on_step: impl Fn(&str)) -> Result<Results> {
    let mut results = Results::default();
    for links in LINK_COUNTS {
        on_step(&format!("entries and agent with {links} links"));
        results.peers.push(peers(links).await?);
    }
    for groups in GROUP_COUNTS {
        on_step(&format!("entry that holds {groups} groups"));
        results.groups.push(self::groups(groups).await?);
    }
    for size in DOCUMENT_SIZES_BYTES {
        on_step(&format!("edits of a document of about {size} bytes"));
        results.edits.push(edit::measure(size).await?);
    }
    results.lines = fit_lines(&results);
    Ok(results)
}

async fn measure_window(rig: &Rig) -> Result<(Counters, Counters)> {
    time::sleep(SETTLE_TIME).await;
    let before = rig.counters().await?;
    time::sleep(WINDOW).await;
    Ok((before, rig.counters().await?))
}

async fn peers(links: usize) -> Result<Peers> {
    // Each entry is also linked to the real agent; `links` counts only the stand-ins.
    let rig = Rig::open(RigConfig {
        entries: 2,
        agent_peers: links,
        entry_peers: links,
        groups: 1,
        callers_bytes: 0,
    })
    .await?;
    let holder = usize::from(rig.held(0).await? == 0);
    let (before, after) = measure_window(&rig).await?;
    let usage = |index: usize| after.entries[index].since(&before.entries[index]);
    let agent = after.agent.since(&before.agent);
    Ok(Peers {
        links,
        holder: usage(holder),
        entry: usage(1 - holder),
        // The relays carry the links of two entries, so the rate is halved.
        entry_links: traffic(&before.entry_links, &after.entry_links, agent.seconds * 2.0),
        agent,
        agent_links: traffic(&before.agent_links, &after.agent_links, agent.seconds),
        store: calls(&before, &after),
    })
}

async fn groups(groups: usize) -> Result<Groups> {
    let rig = Rig::open(RigConfig {
        entries: 1,
        agent_peers: GROUP_LINKS,
        entry_peers: 0,
        groups,
        callers_bytes: 0,
    })
    .await?;
    let (before, after) = measure_window(&rig).await?;
    Ok(Groups {
        held: groups,
        links: GROUP_LINKS,
        holder: after.entries[0].since(&before.entries[0]),
        store: calls(&before, &after),
        host_list: operator::host_list_bytes(rig.fleet.hosts.address()).await?,
    })
}

fn traffic(before: &Total, after: &Total, seconds: f64) -> Traffic {
    let rate = |pick: fn(&Flow) -> u64, before: &Flow, after: &Flow| {
        to_f64(pick(after) - pick(before)) / seconds
    };
    let segments = rate(|flow| flow.reads, &before.to_agent, &after.to_agent)
        + rate(|flow| flow.reads, &before.to_entry, &after.to_entry);
    Traffic {
        to_agent: rate(|flow| flow.bytes, &before.to_agent, &after.to_agent),
        to_entry: rate(|flow| flow.bytes, &before.to_entry, &after.to_entry),
        segments,
        headers: segments * SEGMENT_HEADER_BYTES * 2.0,
    }
}

fn calls(before: &Counters, after: &Counters) -> Calls {
    let seconds = after.agent.elapsed_since(&before.agent);
    Calls {
        reads: to_f64(after.store.reads - before.store.reads) / seconds,
        writes: to_f64(after.store.writes - before.store.writes) / seconds,
        watches: after.store.watches,
    }
}

fn fit_lines(results: &Results) -> BTreeMap<String, Line> {
    let mut lines = BTreeMap::new();
    let mut peer = |name: &str, value: fn(&Peers) -> f64| {
        let point = |peers: &Peers| (to_f64(peers.links as u64), value(peers));
        let points: Vec<_> = results.peers.iter().map(point).collect();
        lines.insert(format!("per_link.{name}"), Line::fit(&points));
    };
    peer("entry.core", |p| p.entry.core);
    peer("entry.rss_kib", |p| to_f64(p.entry.rss_kib));
    peer("entry.anonymous_kib", |p| to_f64(p.entry.anonymous_kib));
    peer("entry.to_agent_bytes", |p| p.entry_links.to_agent);
    peer("entry.to_entry_bytes", |p| p.entry_links.to_entry);
    peer("entry.header_bytes", |p| p.entry_links.headers);
    peer("holder.core", |p| p.holder.core);
    peer("holder.rss_kib", |p| to_f64(p.holder.rss_kib));
    peer("agent.core", |p| p.agent.core);
    peer("agent.rss_kib", |p| to_f64(p.agent.rss_kib));
    peer("agent.anonymous_kib", |p| to_f64(p.agent.anonymous_kib));
    peer("agent.to_agent_bytes", |p| p.agent_links.to_agent);
    peer("agent.to_entry_bytes", |p| p.agent_links.to_entry);
    peer("agent.header_bytes", |p| p.agent_links.headers);
    let mut group = |name: &str, value: fn(&Groups) -> f64| {
        let point = |groups: &Groups| (to_f64(groups.held as u64), value(groups));
        let points: Vec<_> = results.groups.iter().map(point).collect();
        lines.insert(format!("per_group.{name}"), Line::fit(&points));
    };
    group("core", |g| g.holder.core);
    group("rss_kib", |g| to_f64(g.holder.rss_kib));
    group("reads", |g| g.store.reads);
    group("writes", |g| g.store.writes);
    let mut size = |name: &str, value: fn(&Edit) -> f64| {
        let point = |edit: &Edit| (to_f64(edit.document as u64) / 1e3, value(edit));
        let points: Vec<_> = results.edits.iter().map(point).collect();
        lines.insert(format!("per_document_kb.{name}"), Line::fit(&points));
    };
    size("entry_bytes_per_link", |e| {
        e.entry_bytes / to_f64(e.peers as u64)
    });
    size("entry_ms", |e| e.entry_ms);
    size("agent_ms", |e| e.agent_ms);
    size("entry_rss_kib", |e| to_f64(e.entry_rss_kib));
    size("agent_rss_kib", |e| to_f64(e.agent_rss_kib));
    lines
}
