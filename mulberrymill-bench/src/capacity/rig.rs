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
    entry::{Entry, Offered},
    meter::{Meter, Read, Total},
    operator,
    sample::Sample,
    text,
};
use crate::fleet::{self, Fleet};

/// Tries to find a state that takes longer than one wait of the fleet.
const WAITS: u32 = 3;

/// What a rig consists of.
#[derive(Clone, Copy, Debug)]
pub(super) struct Plan {
    /// Real entries that are linked to the stand-ins of agents.
    pub(super) entries: usize,
    /// Stand-ins of agents.
    pub(super) agents: usize,
    /// Stand-ins of entries at the real agent.
    pub(super) callers: usize,
    /// Endpoint groups.
    pub(super) groups: usize,
    /// Bytes of the callers section.
    pub(super) padding: usize,
}

/// Real entries, one real agent, and the stand-ins around them.
#[derive(Debug)]
pub(super) struct Rig {
    pub(super) fleet: Fleet,
    pub(super) entries: Vec<Entry>,
    /// Offers a document to the real agent through the stand-ins of entries.
    pub(super) offer: watch::Sender<Offered>,
    /// Revisions that arrive at stand-ins of agents.
    pub(super) adopted: mpsc::UnboundedReceiver<Revision>,
    /// Revisions that the real agent reports.
    pub(super) reported: mpsc::UnboundedReceiver<Revision>,
    /// Links of the real entries to the stand-ins of agents.
    pub(super) below: Addr<Meter>,
    /// Links of the stand-ins of entries to the real agent.
    pub(super) above: Addr<Meter>,
    agents: Vec<Agent>,
    _relay: super::relay::Relay,
}

/// The state of all counters at one moment.
#[derive(Clone, Debug)]
pub(super) struct Mark {
    pub(super) entries: Vec<Sample>,
    pub(super) agent: Sample,
    pub(super) below: Total,
    pub(super) above: Total,
    pub(super) store: Counts,
}

impl Rig {
    pub(super) async fn open(plan: Plan) -> Result<Self> {
        let fleet = fleet::spawn(fleet::Config {
            entries: plan.entries,
            engines: 1,
            services: 0,
            speed: 0.0,
            host_lag: Duration::ZERO,
            ..fleet::Config::default()
        })
        .await?;
        let (below, above) = (Meter::spawn(), Meter::spawn());
        let (adoptions, adopted) = mpsc::unbounded_channel();
        let mut agents = Vec::new();
        for index in 0..plan.agents {
            agents.push(Agent::open(index, below.clone(), adoptions.clone()).await?);
        }
        let agent = fleet.agents[0].address();
        let relay = super::relay::Relay::open(agent, above.clone()).await?;
        let (offer, offered) = watch::channel(None);
        let (reports, reported) = mpsc::unbounded_channel();
        let endpoint = fleet.endpoint(0);
        let entry = |index| {
            let (offered, reports) = (offered.clone(), reports.clone());
            Entry::open(index, &endpoint, relay.address(), offered, reports)
        };
        let entries: Vec<Entry> = (0..plan.callers).map(entry).collect::<Result<_>>()?;
        let rig = Self {
            fleet,
            entries,
            offer,
            adopted,
            reported,
            below,
            above,
            agents,
            _relay: relay,
        };
        rig.fill(plan).await?;
        rig.wait(plan).await?;
        Ok(rig)
    }

    /// Puts the stand-ins into the document and into the host list.
    async fn fill(&self, plan: Plan) -> Result<()> {
        let entry = self.fleet.entries[0].address();
        let hosts = self.fleet.hosts.address();
        let peers: Vec<_> = self.agents.iter().map(Agent::place).collect();
        for (index, (name, _address)) in peers.iter().enumerate() {
            operator::add_host(hosts, &format!("host-{name}"), &text::zone(index)).await?;
        }
        let real = [(self.fleet.endpoint(0), self.fleet.agents[0].address())];
        let endpoints = text::endpoints(&real, &peers, plan.groups);
        operator::replace(entry, "endpoints", endpoints).await?;
        operator::replace(entry, "callers", text::callers(plan.padding)).await?;
        Ok(())
    }

    /// Waits until all links are up, all groups are held and the document is in force.
    async fn wait(&self, plan: Plan) -> Result<()> {
        for index in 0..plan.entries {
            let linked = |status: &Value| {
                let endpoints = status["endpoints"].as_array();
                endpoints.is_some_and(|all| {
                    all.len() == plan.agents + 1
                        && all.iter().all(|endpoint| {
                            endpoint["up"] == true && endpoint["revision"] == status["revision"]
                        })
                })
            };
            self.find(index, linked).await?;
        }
        let mut held = 0;
        for _ in 0..WAITS * 400 {
            held = 0;
            for index in 0..plan.entries {
                held += self.held(index).await?;
            }
            if held == plan.groups {
                return Ok(());
            }
            time::sleep(Duration::from_millis(50)).await;
        }
        Err(format!("{held} of {} groups are held", plan.groups).into())
    }

    async fn find(&self, entry: usize, holds: impl Fn(&Value) -> bool) -> Result<()> {
        let mut result = Err("not tried".into());
        for _ in 0..WAITS {
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
        let held = &status["authority"];
        let list = held.as_array().map(Vec::len);
        Ok(list
            .or(held.as_object().map(serde_json::Map::len))
            .unwrap_or_default())
    }

    pub(super) async fn mark(&self) -> Result<Mark> {
        let pid = |process: &fleet::Process| process.pid().ok_or("the process has ended");
        let mut entries = Vec::new();
        for process in &self.fleet.entries {
            entries.push(Sample::take(pid(process)?)?);
        }
        Ok(Mark {
            entries,
            agent: Sample::take(pid(&self.fleet.agents[0])?)?,
            below: self.below.send(Read).await?,
            above: self.above.send(Read).await?,
            store: operator::counts(self.fleet.store.address()).await?,
        })
    }
}
