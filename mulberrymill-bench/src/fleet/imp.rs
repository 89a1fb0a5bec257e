use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use awc::Client;
use mulberrymill::front::hash_key;
use serde_json::{Value, json};

use super::{
    MODEL, OPERATOR_KEY, Process, Result,
    document::{document, zone},
};
use crate::{engine, hosts, service, store};

/// Status requests of one [`Fleet::wait_for`] before it fails.
const STATUS_ATTEMPTS: u32 = 400;
/// Pause between two status requests.
const STATUS_INTERVAL: Duration = Duration::from_millis(50);

/// Size and timing of a fleet.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of entries, at least 1; 2 by default.
    pub entries: usize,
    /// Number of engines, each with an agent; 2 by default.
    pub engines: usize,
    /// Number of service endpoints, each with an agent; 2 by default.
    pub services: usize,
    /// Speed factor of the engines, 1 by default; 0 answers without delay.
    pub speed: f64,
    /// Duration of a service operation, 20 ms by default.
    pub service_delay: Duration,
    /// Delay until a change is visible in the host list, 5 s by default.
    pub host_lag: Duration,
    /// Time for which a stopping entry still accepts requests, 1 s by default.
    pub stop_delay: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            entries: 2,
            engines: 2,
            services: 2,
            speed: 1.0,
            service_delay: Duration::from_millis(20),
            host_lag: Duration::from_secs(5),
            stop_delay: Duration::from_secs(1),
        }
    }
}

/// A running fleet. Dropping it kills the processes.
pub struct Fleet {
    /// Store stand-in.
    pub store: store::Handle,
    /// Host list stand-in.
    pub hosts: hosts::Handle,
    /// Engine stand-ins, in the order of their endpoints.
    pub engines: Vec<engine::Handle>,
    /// Service stand-ins, in the order of their endpoints.
    pub services: Vec<service::Handle>,
    /// Entry processes.
    pub entries: Vec<Process>,
    /// Agent processes, first of the engines and then of the services.
    pub agents: Vec<Process>,
    folder: PathBuf,
    config: Config,
}

impl std::fmt::Debug for Fleet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Fleet")
            .field("config", &self.config)
            .finish_non_exhaustive()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Settings and logs that remain in the temporary folder are harmless.
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

/// Starts a fleet: stand-ins, agents and entries. Returns once the first document is in force at
/// every entry and every entry is linked to every agent.
///
/// # Errors
///
/// Fails if a stand-in or a process does not start, or if the fleet does not become ready.
pub async fn spawn(config: Config) -> Result<Fleet> {
    let folder = create_folder()?;
    let mut fleet = Fleet {
        store: store::bind(store::Config::default())?,
        hosts: hosts::bind(hosts::Config {
            hosts: host_list(&config)?,
            lag: config.host_lag,
        })?,
        engines: Vec::new(),
        services: Vec::new(),
        entries: Vec::new(),
        agents: Vec::new(),
        folder,
        config: config.clone(),
    };
    for _ in 0..config.engines {
        let models = vec![MODEL.parse()?];
        let stand_in = engine::Config {
            models,
            speed: config.speed,
            ..engine::Config::default()
        };
        fleet.engines.push(engine::bind(stand_in)?);
    }
    for _ in 0..config.services {
        fleet.services.push(service::bind(service::Config {
            delay: config.service_delay,
        })?);
    }
    for index in 0..config.engines + config.services {
        let agent = fleet.start_agent(index, free_loopback_address()).await?;
        fleet.agents.push(agent);
    }
    for index in 0..config.entries {
        let entry = fleet.start_entry(index).await?;
        fleet.entries.push(entry);
    }
    fleet.create_document().await?;
    fleet.wait_ready().await?;
    Ok(fleet)
}

fn free_loopback_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn create_folder() -> Result<PathBuf> {
    let name = format!(
        "mulberrymill-{}-{:016x}",
        std::process::id(),
        rand::random::<u64>()
    );
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

fn host_list(config: &Config) -> Result<Vec<hosts::HostRecord>> {
    let names = (0..config.engines + config.services).map(|index| endpoint(config, index));
    let entry = |(index, name): (usize, String)| {
        Ok(hosts::HostRecord {
            host: format!("host-{name}").parse()?,
            zone: zone(index).parse()?,
            state: hosts::State::Live,
        })
    };
    names.enumerate().map(entry).collect()
}

/// Name of the endpoint with an index; engines come first.
fn endpoint(config: &Config, index: usize) -> String {
    match index.checked_sub(config.engines) {
        None => format!("review-{}", index + 1),
        Some(service) => format!("labels-{}", service + 1),
    }
}

impl Fleet {
    /// Name of the endpoint with an index; engines come first.
    #[must_use]
    pub fn endpoint(&self, index: usize) -> String {
        endpoint(&self.config, index)
    }

    /// Starts the agent of the endpoint with an index, listening on `listen`.
    ///
    /// # Errors
    ///
    /// Fails if the process ends or times out before it listens.
    pub async fn start_agent(&self, index: usize, listen: SocketAddr) -> Result<Process> {
        let name = self.endpoint(index);
        let (kind, address) = match index.checked_sub(self.config.engines) {
            None => ("engine", self.engines[index].address()),
            Some(service) => ("service", self.services[service].address()),
        };
        let process = format!("agent-{name}");
        let settings = json!({
            "process": process,
            "zone": zone(index),
            "endpoint": name,
            "kind": kind,
            "listen": listen,
            "address": address,
            "store": [self.store.address()],
            // The address is read from a log line at this level.
            "log": "info",
        });
        self.start(&process, "agent", &settings).await
    }

    /// Starts the entry with an index, on a free port.
    ///
    /// # Errors
    ///
    /// Fails if the process ends or times out before it listens.
    pub async fn start_entry(&self, index: usize) -> Result<Process> {
        let process = format!("entry-{}", index + 1);
        let seeds: Vec<SocketAddr> = self.agents.iter().map(Process::address).collect();
        let settings = json!({
            "process": process,
            "zone": zone(index),
            "listen": free_loopback_address(),
            "store": [self.store.address()],
            "hosts": self.hosts.address(),
            "seeds": seeds,
            "stop_delay": format!("{}ms", self.config.stop_delay.as_millis()),
            // The address is read from a log line at this level.
            "log": "info",
            "operator_key_sha256": hash_key(OPERATOR_KEY),
        });
        self.start(&process, "entry", &settings).await
    }

    async fn start(&self, name: &str, role: &str, settings: &Value) -> Result<Process> {
        let file = self.folder.join(format!("{name}.jsonc"));
        fs::write(&file, settings.to_string())?;
        Process::start(name, role, &file, &self.folder.join(format!("{name}.log"))).await
    }

    /// Folder with the settings and logs of the processes, removed with the fleet.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    async fn create_document(&self) -> Result<()> {
        let named_address =
            |(index, agent): (usize, &Process)| (self.endpoint(index), agent.address());
        let mut engines: Vec<_> = self.agents.iter().enumerate().map(named_address).collect();
        let services = engines.split_off(self.config.engines);
        let text = document(&engines, &services);
        let url = format!(
            "http://{}/operator/v1/config?editor=fleet",
            self.entries
                .first()
                .ok_or("a fleet needs at least one entry")?
                .address()
        );
        let request = Client::default().put(url).bearer_auth(OPERATOR_KEY);
        let mut response = request
            .send_body(text)
            .await
            .map_err(|error| error.to_string())?;
        if response.status().is_success() {
            return Ok(());
        }
        let body = response.body().await?;
        Err(format!(
            "the entry rejected the document: {}",
            String::from_utf8_lossy(&body)
        )
        .into())
    }

    /// Status that an entry reports for itself and the endpoints.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be reached.
    pub async fn status(&self, entry: usize) -> Result<Value> {
        let url = format!(
            "http://{}/operator/v1/status",
            self.entries[entry].address()
        );
        let request = Client::default().get(url).bearer_auth(OPERATOR_KEY);
        let mut response = request.send().await.map_err(|error| error.to_string())?;
        Ok(response.json().await?)
    }

    /// Waits about 20 s for a condition on the status of an entry to hold.
    ///
    /// # Errors
    ///
    /// Fails with the last status if the condition does not hold in time.
    pub async fn wait_for(&self, entry: usize, holds: impl Fn(&Value) -> bool) -> Result<Value> {
        let mut last = Value::Null;
        for _ in 0..STATUS_ATTEMPTS {
            if let Ok(status) = self.status(entry).await {
                if holds(&status) {
                    return Ok(status);
                }
                last = status;
            }
            tokio::time::sleep(STATUS_INTERVAL).await;
        }
        Err(format!("entry {entry} did not reach the expected state; last status: {last}").into())
    }

    /// Waits until every entry is linked to every agent and each agent reports the revision of the
    /// entry.
    async fn wait_ready(&self) -> Result<()> {
        let wanted = self.agents.len();
        for entry in 0..self.entries.len() {
            let all_up = |status: &Value| {
                let endpoints = status["endpoints"].as_array();
                endpoints.is_some_and(|all| {
                    all.len() == wanted
                        && all.iter().all(|endpoint| {
                            endpoint["up"] == true && endpoint["revision"] == status["revision"]
                        })
                })
            };
            self.wait_for(entry, all_up).await?;
        }
        Ok(())
    }
}
