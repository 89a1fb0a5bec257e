use std::{
    net::SocketAddr,
    sync::{Condvar, Mutex, PoisonError},
    time::Duration,
};

use awc::{Client, http::Method};
use mulberrymill_bench::{
    engine,
    fleet::{self, Fleet, OPERATOR_KEY},
    store,
};
use serde_json::Value;

/// Longest time for one test. It only ends a test that hangs.
const TEST_LIMIT: Duration = Duration::from_secs(90);
/// Longest time for a condition to come to hold, unless a test names its own.
const CONDITION_LIMIT: Duration = Duration::from_secs(25);
/// Pause between two looks at a condition.
const PAUSE: Duration = Duration::from_millis(10);
/// Longest time for one answer of an entry to an operator.
const OPERATOR_LIMIT: Duration = Duration::from_secs(15);
/// Lines of each process log that a failed test prints.
const LOG_LINES: usize = 40;

/// Fleets that run at a time. More would disturb each other, and one after another would take
/// minutes, since most of a test is waiting.
const FLEETS: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// A place among the fleets that run at a time.
struct Place;

impl Place {
    fn take() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let free = ENDED.wait_while(running, |running| *running >= FLEETS);
        *free.unwrap_or_else(PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

/// Runs a test inside an actix system of its own.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let _place = Place::take();
    actix_rt::System::new().block_on(async {
        let ended = tokio::time::timeout(TEST_LIMIT, test).await;
        assert!(ended.is_ok(), "the test did not end in time");
    });
}

/// Waits until a condition holds.
pub(crate) async fn until(what: &str, holds: impl AsyncFn() -> bool) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(PAUSE).await;
        }
    };
    let met = tokio::time::timeout(CONDITION_LIMIT, wait).await;
    assert!(met.is_ok(), "did not come to hold: {what}");
}

/// The endpoint with a name in the status of an entry.
pub(crate) fn endpoint<'a>(status: &'a Value, name: &str) -> &'a Value {
    let all = status["endpoints"].as_array().expect("a list of endpoints");
    let mut named = all.iter().filter(|one| one["endpoint"] == name);
    named.next().unwrap_or(&Value::Null)
}

/// Answer of an entry to an operator.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

/// What a process logs when it finds a breach of an invariant, or panics.
const BREACHES: [&str; 2] = ["invariant does not hold", "panicked at"];

/// A running fleet. If the test fails, the ends of the process logs are printed. A test also fails
/// if a process has found a breach of an invariant, which production only counts.
pub(crate) struct Rig {
    pub(crate) fleet: Fleet,
}

impl Drop for Rig {
    fn drop(&mut self) {
        let logs = self.logs();
        if std::thread::panicking() {
            for (name, text) in logs {
                let lines: Vec<&str> = text.lines().collect();
                let last = lines.len().saturating_sub(LOG_LINES);
                eprintln!("--- {name}\n{}", lines[last..].join("\n"));
            }
            return;
        }
        for (name, text) in logs {
            let is_breach = |line: &&str| BREACHES.iter().any(|breach| line.contains(breach));
            let breaches: Vec<&str> = text.lines().filter(is_breach).collect();
            assert!(breaches.is_empty(), "{name}: {breaches:#?}");
        }
    }
}

impl Rig {
    pub(crate) async fn spawn(config: fleet::Config) -> Self {
        let fleet = fleet::spawn(config).await.expect("the fleet starts");
        Self { fleet }
    }

    /// The log of each process by its name.
    fn logs(&self) -> Vec<(String, String)> {
        let files = std::fs::read_dir(self.fleet.folder()).into_iter().flatten();
        let paths = files.flatten().map(|file| file.path());
        let logs = paths.filter(|path| path.extension().is_some_and(|name| name == "log"));
        let read = |path: std::path::PathBuf| {
            let text = std::fs::read_to_string(&path).unwrap_or_default();
            (path.display().to_string(), text)
        };
        logs.map(read).collect()
    }

    /// Requests that an engine has accepted.
    pub(crate) async fn accepted(&self, engine: usize) -> u64 {
        let accepted = self.fleet.engines[engine].accepted().await;
        accepted.expect("the stand-in runs")
    }

    /// Requests that all engines have accepted.
    pub(crate) async fn accepted_by_all(&self) -> u64 {
        let mut sum = 0;
        for engine in 0..self.fleet.engines.len() {
            sum += self.accepted(engine).await;
        }
        sum
    }

    /// Operations that a service has executed.
    pub(crate) async fn executed(&self, service: usize) -> u64 {
        let executions = self.fleet.services[service].executions().await;
        executions.expect("the stand-in runs").values().sum()
    }

    /// Waits until a service has executed some operations.
    pub(crate) async fn until_executed(&self, service: usize, count: u64) {
        until("the service runs operations", async || {
            self.executed(service).await >= count
        })
        .await;
    }

    /// Waits until every engine serves one of `streams` requests at least, and all have arrived.
    pub(crate) async fn until_spread(&self, streams: u64) {
        until("all engines serve streams", async || {
            let mut all_busy = true;
            for engine in 0..self.fleet.engines.len() {
                all_busy &= self.accepted(engine).await > 0;
            }
            all_busy && self.accepted_by_all().await >= streams
        })
        .await;
    }

    /// Waits until an engine reports that it generates.
    pub(crate) async fn until_decoding(&self, engine: usize) {
        let url = format!(
            "http://{}/control/load",
            self.fleet.engines[engine].address()
        );
        until("the engine generates", async || {
            let load = get(&url).await;
            load.is_some_and(|load| load["decoding"].as_u64().unwrap_or(0) > 0)
        })
        .await;
    }

    /// Waits until a condition on the status of every running entry holds.
    pub(crate) async fn until_status(&self, what: &str, holds: impl Fn(&Value) -> bool) {
        until(what, async || {
            let mut all = true;
            for entry in 0..self.fleet.entries.len() {
                let status = self.fleet.status(entry).await;
                all &= status.is_ok_and(|status| holds(&status));
            }
            all
        })
        .await;
    }

    /// Waits until every running entry reaches the endpoint and may send it work.
    pub(crate) async fn until_serving(&self, name: &str) {
        self.until_status("the endpoint serves again", |status| {
            let endpoint = endpoint(status, name);
            endpoint["up"] == true && endpoint["leaving"] == false
        })
        .await;
    }

    /// Waits until every running entry and every agent has a revision in force.
    pub(crate) async fn until_in_force(&self, revision: &Value) {
        self.until_status("the revision is in force everywhere", |status| {
            let endpoints = status["endpoints"].as_array();
            status["revision"] == *revision
                && endpoints.is_some_and(|all| {
                    all.len() == self.fleet.agents.len()
                        && all.iter().all(|one| one["revision"] == *revision)
                })
        })
        .await;
    }

    /// Sends a request of an operator to an entry.
    pub(crate) async fn operate(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: String,
    ) -> Answer {
        let address = self.fleet.entries[entry].address();
        let client = Client::builder().timeout(OPERATOR_LIMIT).finish();
        let request = client.request(method, format!("http://{address}/operator/v1/{path}"));
        let sent = request.bearer_auth(OPERATOR_KEY).send_body(body).await;
        let mut response = sent.expect("an answer to the operator");
        let body = response.body().await.expect("a whole answer");
        Answer {
            status: response.status().as_u16(),
            body: serde_json::from_slice(&body).unwrap_or_default(),
        }
    }

    /// Drains an endpoint through an entry, or lets it take work again.
    pub(crate) async fn drain(&self, entry: usize, name: &str, resume: bool) {
        let path = format!("drain/{name}?resume={resume}");
        let answer = self
            .operate(entry, Method::POST, &path, String::new())
            .await;
        assert_eq!(answer.status, 202, "{answer:?}");
    }

    /// Tells the host list about a host, and waits until the list shows it.
    pub(crate) async fn list_host(&self, host: &str, state: &str) {
        let url = format!("http://{}/hosts", self.fleet.hosts.address());
        let body = serde_json::json!({ "state": state });
        let sent = Client::default()
            .post(format!("{url}/{host}"))
            .send_json(&body)
            .await;
        assert!(sent.expect("the stand-in runs").status().is_success());
        until("the list shows the change", async || {
            let list = get(&url).await.unwrap_or_default();
            let hosts = list.as_array().map(Vec::as_slice).unwrap_or_default();
            hosts
                .iter()
                .any(|one| one["host"] == host && one["state"] == state)
        })
        .await;
    }

    /// Fencing number with which an entry holds a group.
    pub(crate) async fn fence(&self, entry: usize, group: &str) -> Option<u64> {
        let status = self.fleet.status(entry).await.ok()?;
        let tenure = &status["authority"][group];
        let own = tenure["process"] == self.fleet.entries[entry].name();
        tenure["fence"].as_u64().filter(|_| own)
    }

    /// Replaces the faults of the store.
    pub(crate) async fn store_fault(&self, fault: store::Fault) {
        let url = format!("http://{}/fault", self.fleet.store.address());
        let sent = Client::default().post(url).send_json(&fault).await;
        assert!(sent.expect("the stand-in runs").status().is_success());
    }

    pub(crate) async fn engine_fault(&self, engine: usize, fault: engine::Fault) {
        let injected = self.fleet.engines[engine].fault(fault).await;
        injected.expect("the fault is injected");
    }

    /// What `readyz` of an entry answers.
    pub(crate) async fn readiness(&self, entry: SocketAddr) -> u16 {
        let sent = Client::default().get(format!("http://{entry}/readyz"));
        let sent = sent.send().await;
        sent.map_or(0, |response| response.status().as_u16())
    }
}

async fn get(url: &str) -> Option<Value> {
    let mut response = Client::default().get(url).send().await.ok()?;
    response.json().await.ok()
}
