use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;
use tokio::time;

use super::{
    Line, Result,
    edit::{self, Edit, count},
    meter::{Flow, Total},
    operator,
    rig::{Mark, Plan, Rig},
    sample::Usage,
};

/// Numbers of peers of an entry and of an agent.
const PEERS: [usize; 3] = [10, 100, 300];
/// Numbers of groups that one entry holds.
const GROUPS: [usize; 3] = [1, 10, 35];
/// Agents of the entry that holds the groups.
const GROUP_PEERS: usize = 100;
/// Sizes of the document in bytes, with 100 endpoints in it.
const SIZES: [usize; 3] = [20_000, 100_000, 400_000];
/// Time between the last link and the window.
const SETTLE: Duration = Duration::from_secs(4);
/// Window of a measurement.
const WINDOW: Duration = Duration::from_secs(20);
/// IPv4 and TCP headers of a segment, with the timestamp option.
const SEGMENT_HEADERS: f64 = 52.0;

/// All results.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Results {
    /// An entry linked to agents, and an agent linked to entries.
    pub peers: Vec<Peers>,
    /// An entry that holds groups.
    pub groups: Vec<Groups>,
    /// Edits of the document.
    pub edits: Vec<Edit>,
    /// Lines through the points above, by name.
    pub lines: BTreeMap<String, Line>,
}

/// Idle processes at one number of peers.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Peers {
    /// Links of each entry, and of the agent.
    pub links: usize,
    /// The entry that holds the only group.
    pub holder: Usage,
    /// The other entry.
    pub entry: Usage,
    /// Traffic of one entry on its links.
    pub entry_links: Traffic,
    /// The agent.
    pub agent: Usage,
    /// Traffic of the agent on its links.
    pub agent_links: Traffic,
    /// Calls to the store by both entries and the agent.
    pub store: Calls,
}

/// An entry that holds groups.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Groups {
    /// Groups that it holds.
    pub held: usize,
    /// Agents that it is linked to.
    pub links: usize,
    /// The entry.
    pub holder: Usage,
    /// Its calls to the store.
    pub store: Calls,
    /// Size of the host list in bytes.
    pub host_list: usize,
}

/// Bytes per second on the links of a process.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Traffic {
    /// From entries to agents, with the WebSocket headers.
    pub to_agent: f64,
    /// From agents to entries, with the WebSocket headers.
    pub to_entry: f64,
    /// Reads per second in both directions, about one per segment.
    pub segments: f64,
    /// Estimate of the headers of TCP and IP: 52 bytes per segment, and as much for a separate
    /// acknowledgement of each.
    pub headers: f64,
}

/// Calls to the store per second.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Calls {
    /// Reads.
    pub reads: f64,
    /// Transactions and lease calls.
    pub writes: f64,
    /// Watches that are pending.
    pub watches: u64,
}

/// Runs all measurements, which takes about five minutes. `note` is told of each step.
///
/// # Errors
///
/// Fails if a process does not start or does not get into the expected state.
pub async fn measure(note: impl Fn(&str)) -> Result<Results> {
    let mut results = Results::default();
    for links in PEERS {
        note(&format!("entries and agent with {links} links"));
        results.peers.push(peers(links).await?);
    }
    for groups in GROUPS {
        note(&format!("entry that holds {groups} groups"));
        results.groups.push(self::groups(groups).await?);
    }
    for size in SIZES {
        note(&format!("edits of a document of about {size} bytes"));
        results.edits.push(edit::measure(size).await?);
    }
    results.lines = lines(&results);
    Ok(results)
}

async fn window(rig: &Rig) -> Result<(Mark, Mark)> {
    time::sleep(SETTLE).await;
    let before = rig.mark().await?;
    time::sleep(WINDOW).await;
    Ok((before, rig.mark().await?))
}

async fn peers(links: usize) -> Result<Peers> {
    // The real agent is one of the links of an entry, but only the stand-ins are counted.
    let rig = Rig::open(Plan {
        entries: 2,
        agents: links,
        callers: links,
        groups: 1,
        padding: 0,
    })
    .await?;
    let holder = usize::from(rig.held(0).await? == 0);
    let (before, after) = window(&rig).await?;
    let usage = |index: usize| after.entries[index].since(&before.entries[index]);
    let agent = after.agent.since(&before.agent);
    Ok(Peers {
        links,
        holder: usage(holder),
        entry: usage(1 - holder),
        // Two entries share the stand-ins of agents.
        entry_links: traffic(&before.below, &after.below, agent.seconds * 2.0),
        agent,
        agent_links: traffic(&before.above, &after.above, agent.seconds),
        store: calls(&before, &after),
    })
}

async fn groups(groups: usize) -> Result<Groups> {
    let rig = Rig::open(Plan {
        entries: 1,
        agents: GROUP_PEERS,
        callers: 0,
        groups,
        padding: 0,
    })
    .await?;
    let (before, after) = window(&rig).await?;
    Ok(Groups {
        held: groups,
        links: GROUP_PEERS,
        holder: after.entries[0].since(&before.entries[0]),
        store: calls(&before, &after),
        host_list: operator::host_list(rig.fleet.hosts.address()).await?,
    })
}

fn traffic(before: &Total, after: &Total, seconds: f64) -> Traffic {
    let rate = |pick: fn(&Flow) -> u64, before: &Flow, after: &Flow| {
        count(pick(after) - pick(before)) / seconds
    };
    let segments = rate(|flow| flow.reads, &before.to_agent, &after.to_agent)
        + rate(|flow| flow.reads, &before.to_entry, &after.to_entry);
    Traffic {
        to_agent: rate(|flow| flow.bytes, &before.to_agent, &after.to_agent),
        to_entry: rate(|flow| flow.bytes, &before.to_entry, &after.to_entry),
        segments,
        headers: segments * SEGMENT_HEADERS * 2.0,
    }
}

fn calls(before: &Mark, after: &Mark) -> Calls {
    let seconds = after.agent.elapsed_since(&before.agent);
    Calls {
        reads: count(after.store.reads - before.store.reads) / seconds,
        writes: count(after.store.writes - before.store.writes) / seconds,
        watches: after.store.watches,
    }
}

fn lines(results: &Results) -> BTreeMap<String, Line> {
    let mut lines = BTreeMap::new();
    let mut peer = |name: &str, value: fn(&Peers) -> f64| {
        let point = |peers: &Peers| (count(peers.links as u64), value(peers));
        let points: Vec<_> = results.peers.iter().map(point).collect();
        lines.insert(format!("per_link.{name}"), Line::through(&points));
    };
    peer("entry.core", |p| p.entry.core);
    peer("entry.rss_kib", |p| count(p.entry.rss_kib));
    peer("entry.anonymous_kib", |p| count(p.entry.anonymous_kib));
    peer("entry.to_agent_bytes", |p| p.entry_links.to_agent);
    peer("entry.to_entry_bytes", |p| p.entry_links.to_entry);
    peer("entry.header_bytes", |p| p.entry_links.headers);
    peer("holder.core", |p| p.holder.core);
    peer("holder.rss_kib", |p| count(p.holder.rss_kib));
    peer("agent.core", |p| p.agent.core);
    peer("agent.rss_kib", |p| count(p.agent.rss_kib));
    peer("agent.anonymous_kib", |p| count(p.agent.anonymous_kib));
    peer("agent.to_agent_bytes", |p| p.agent_links.to_agent);
    peer("agent.to_entry_bytes", |p| p.agent_links.to_entry);
    peer("agent.header_bytes", |p| p.agent_links.headers);
    let mut group = |name: &str, value: fn(&Groups) -> f64| {
        let point = |groups: &Groups| (count(groups.held as u64), value(groups));
        let points: Vec<_> = results.groups.iter().map(point).collect();
        lines.insert(format!("per_group.{name}"), Line::through(&points));
    };
    group("core", |g| g.holder.core);
    group("rss_kib", |g| count(g.holder.rss_kib));
    group("reads", |g| g.store.reads);
    group("writes", |g| g.store.writes);
    let mut size = |name: &str, value: fn(&Edit) -> f64| {
        let point = |edit: &Edit| (count(edit.document as u64) / 1e3, value(edit));
        let points: Vec<_> = results.edits.iter().map(point).collect();
        lines.insert(format!("per_document_kb.{name}"), Line::through(&points));
    };
    size("entry_bytes_per_link", |e| {
        e.entry_bytes / count(e.peers as u64)
    });
    size("entry_ms", |e| e.entry_ms);
    size("agent_ms", |e| e.agent_ms);
    size("entry_rss_kib", |e| count(e.entry_rss_kib));
    size("agent_rss_kib", |e| count(e.agent_rss_kib));
    lines
}
