use std::time::Duration;

use actix::Addr;
use mulberrymill::{id::Revision, store::Counts};
use serde_json::Value;
use tokio::{
    sync::{mpsc, watch},
    time,
};

use super::{
    Result,
    agent::Agent,
    entry::{Entry, OfferedDocument},
    meter::{GetTotal, Meter, Total},
    operator,
    relay::Relay,
    sample::Sample,
    sections,
};
use crate::fleet::{self, Fleet};

/// Attempts of [`Fleet::wait_for`] per condition, because some conditions take longer to hold than
/// one attempt waits.
const STATUS_WAITS: u32 = 3;

/// Size of a rig.
#[derive(Clone, Copy, Debug)]
pub(super) struct RigConfig {
    /// Entry processes, each linked to all agent stand-ins.
    pub(super) entries: usize,
    /// Agent stand-ins.
    pub(super) agent_peers: usize,
    /// Entry stand-ins linked to the agent process.
    pub(super) entry_peers: usize,
    /// Endpoint groups in the document.
    pub(super) groups: usize,
    /// Approximate size of the `callers` section in bytes.
    pub(super) callers_bytes: usize,
}

/// Entry processes, one agent process, and the stand-ins they are linked to.
#[derive(Debug)]
pub(super) struct Rig {
    pub(super) fleet: Fleet,
    pub(super) entries: Vec<Entry>,
    /// Document that the entry stand-ins offer to the agent process.
    pub(super) document: watch::Sender<OfferedDocument>,
    /// Revisions received by agent stand-ins.
    pub(super) adopted: mpsc::UnboundedReceiver<Revision>,
    /// Revisions reported by the agent process.
    pub(super) reported: mpsc::UnboundedReceiver<Revision>,
    /// Traffic between the entry processes and the agent stand-ins.
    pub(super) entry_links: Addr<Meter>,
    /// Traffic between the entry stand-ins and the agent process.
    pub(super) agent_links: Addr<Meter>,
    agents: Vec<Agent>,
    _relay: Relay,
}

/// Counters of all processes, links and the store at one moment.
#[derive(Clone, Debug)]
pub(super) struct Counters {
    pub(super) entries: Vec<Sample>,
    pub(super) agent: Sample,
    pub(super) entry_links: Total,
    pub(super) agent_links: Total,
    pub(super) store: Counts,
}

impl Rig {
    pub(super) async fn open(config: RigConfig) -> Result<Self> {
        let fleet = fleet::spawn(fleet::Config {
            entries: config.entries,
            engines: 1,
            services: 0,
            speed: 0.0,
            host_lag: Duration::ZERO,
            ..fleet::Config::default()
        })
        .await?;
        let (entry_links, agent_links) = (Meter::spawn(), Meter::spawn());
        let (adoptions, adopted) = mpsc::unbounded_channel();
        let mut agents = Vec::new();
        for index in 0..config.agent_peers {
            agents.push(Agent::open(index, entry_links.clone(), adoptions.clone()).await?);
        }
        let agent = fleet.agents[0].address();
        let relay = Relay::open(agent, agent_links.clone()).await?;
        let (document, offered) = watch::channel(None);
        let (reports, reported) = mpsc::unbounded_channel();
        let endpoint = fleet.endpoint(0);
        let entry = |index| {
            let (offered, reports) = (offered.clone(), reports.clone());
            Entry::open(index, &endpoint, relay.address(), offered, reports)
        };
        let entries: Vec<Entry> = (0..config.entry_peers).map(entry).collect::<Result<_>>()?;
        let rig = Self {
            fleet,
            entries,
            document,
            adopted,
            reported,
            entry_links,
            agent_links,
            agents,
            _relay: relay,
        };
        rig.publish_peers(config).await?;
        rig.wait_ready(config).await?;
        Ok(rig)
    }

    /// Adds the agent stand-ins to the document and to the host list.
    async fn publish_peers(&self, config: RigConfig) -> Result<()> {
        let entry = self.fleet.entries[0].address();
        let hosts = self.fleet.hosts.address();
        let peers: Vec<_> = self.agents.iter().map(Agent::name_and_address).collect();
        for (index, (name, _address)) in peers.iter().enumerate() {
            operator::add_host(hosts, &format!("host-{name}"), &sections::zone(index)).await?;
        }
        let real = [(self.fleet.endpoint(0), self.fleet.agents[0].address())];
        let endpoints = sections::endpoints(&real, &peers, config.groups);
        operator::replace(entry, "endpoints", endpoints).await?;
        operator::replace(entry, "callers", sections::callers(config.callers_bytes)).await?;
        Ok(())
    }

    /// Waits until all links are up, all groups are held and the document is in force.
    async fn wait_ready(&self, config: RigConfig) -> Result<()> {
        for index in 0..config.entries {
            let linked = |status: &Value| {
                let endpoints = status["endpoints"].as_array();
                endpoints.is_some_and(|all| {
                    all.len() == config.agent_peers + 1
                        && all.iter().all(|endpoint| {
                            endpoint["up"] == true && endpoint["revision"] == status["revision"]
                        })
                })
            };
            self.wait_for_status(index, linked).await?;
        }
        let mut held = 0;
        for _ in 0..STATUS_WAITS * 400 {
            held = 0;
            for index in 0..config.entries {
                held += self.held(index).await?;
            }
            if held == config.groups {
                return Ok(());
            }
            time::sleep(Duration::from_millis(50)).await;
        }
        Err(format!("{held} of {} groups are held by an entry", config.groups).into())
    }

    async fn wait_for_status(&self, entry: usize, holds: impl Fn(&Value) -> bool) -> Result<()> {
        let mut result = Err("no attempt was made".into());
        for _ in 0..STATUS_WAITS {
            result = self.fleet.wait_for(entry, &holds).await.map(|_status| ());
            if result.is_ok() {
                break;
            }
        }
        result
    }

    /// Number of groups that an entry holds.
    pub(super) async fn held(&self, entry: usize) -> Result<usize> {
        let status = self.fleet.status(entry).await?;
        let tenures = status["authority"].as_object();
        let own = |tenure: &&Value| tenure["process"] == status["process"];
        Ok(tenures.map_or(0, |all| all.values().filter(own).count()))
    }

    pub(super) async fn counters(&self) -> Result<Counters> {
        let pid = |process: &fleet::Process| process.pid().ok_or("the process has ended");
        let mut entries = Vec::new();
        for process in &self.fleet.entries {
            entries.push(Sample::take(pid(process)?)?);
        }
        Ok(Counters {
            entries,
            agent: Sample::take(pid(&self.fleet.agents[0])?)?,
            entry_links: self.entry_links.send(GetTotal).await?,
            agent_links: self.agent_links.send(GetTotal).await?,
            store: operator::store_counts(self.fleet.store.address()).await?,
        })
    }
}
