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

/// Maximum duration of one test, which ends a test that hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(90);
/// Maximum wait for a condition, unless a test sets a shorter one.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(25);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of an operator request to an entry.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of lines at the end of each process log that a failed test prints.
const LOG_TAIL_LINES: usize = 40;

/// Maximum number of fleets that run at a time. More would affect each other's timing, and running
/// them one after another would take minutes, since a test mostly waits.
const MAX_CONCURRENT_FLEETS: usize = 3;

/// Number of fleets that are running.
static RUNNING_FLEETS: Mutex<usize> = Mutex::new(0);
/// Notified when a fleet has ended.
static FLEET_ENDED: Condvar = Condvar::new();

/// Permit to run a fleet, one of [`MAX_CONCURRENT_FLEETS`].
struct FleetPermit;

impl FleetPermit {
    fn acquire() -> Self {
        let running = RUNNING_FLEETS
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let available =
            FLEET_ENDED.wait_while(running, |running| *running >= MAX_CONCURRENT_FLEETS);
        *available.unwrap_or_else(PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *RUNNING_FLEETS
            .lock()
            .unwrap_or_else(PoisonError::into_inner) -= 1;
        FLEET_ENDED.notify_one();
    }
}

/// Runs a test in an actix system of its own, once fewer than [`MAX_CONCURRENT_FLEETS`] fleets run.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let _permit = FleetPermit::acquire();
    actix_rt::System::new().block_on(async {
        let ended = tokio::time::timeout(TEST_TIMEOUT, test).await;
        assert!(ended.is_ok(), "the test timed out after {TEST_TIMEOUT:?}");
    });
}

/// Polls a condition until it holds. Panics with its description after [`CONDITION_TIMEOUT`].
pub(crate) async fn wait_until(description: &str, holds: impl AsyncFn() -> bool) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(CONDITION_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "timed out waiting for: {description}");
}

/// Finds an endpoint by name in the status of an entry, or returns `null`.
pub(crate) fn endpoint<'a>(status: &'a Value, name: &str) -> &'a Value {
    let all = status["endpoints"].as_array().expect("a list of endpoints");
    let mut named = all.iter().filter(|one| one["endpoint"] == name);
    named.next().unwrap_or(&Value::Null)
}

/// Response of an entry to an operator request.
#[derive(Debug)]
pub(crate) struct OperatorResponse {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

/// Log texts that report a violated invariant or a panic.
const VIOLATION_TEXTS: [&str; 2] = ["invariant does not hold", "panicked at"];

/// A running fleet. When a test fails, the last lines of the process logs are printed. A test also
/// fails if a process logged a violated invariant, which only increments a metric in production.
pub(crate) struct Harness {
    pub(crate) fleet: Fleet,
}

impl Drop for Harness {
    fn drop(&mut self) {
        let logs = self.logs();
        if std::thread::panicking() {
            for (name, text) in logs {
                let lines: Vec<&str> = text.lines().collect();
                let last = lines.len().saturating_sub(LOG_TAIL_LINES);
                eprintln!("--- {name}\n{}", lines[last..].join("\n"));
            }
            return;
        }
        for (name, text) in logs {
            let is_violation = |line: &&str| VIOLATION_TEXTS.iter().any(|text| line.contains(text));
            let violations: Vec<&str> = text.lines().filter(is_violation).collect();
            assert!(violations.is_empty(), "{name}: {violations:#?}");
        }
    }
}

impl Harness {
    /// Starts a fleet.
    pub(crate) async fn spawn(config: fleet::Config) -> Self {
        let fleet = fleet::spawn(config).await.expect("the fleet starts");
        Self { fleet }
    }

    /// Reads the log of each process, with the path of the file.
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

    /// Waits until a process has logged a line with all of these texts.
    pub(crate) async fn wait_until_logged(&self, texts: &[&str]) {
        wait_until("a process logs the line", async || {
            let logs = self.logs();
            let mut lines = logs.iter().flat_map(|(_, text)| text.lines());
            lines.any(|line| texts.iter().all(|text| line.contains(text)))
        })
        .await;
    }

    /// Number of requests that an engine has accepted.
    pub(crate) async fn accepted(&self, engine: usize) -> u64 {
        let accepted = self.fleet.engines[engine].accepted().await;
        accepted.expect("the stand-in responds")
    }

    /// Number of requests that all engines together have accepted.
    pub(crate) async fn total_accepted(&self) -> u64 {
        let mut sum = 0;
        for engine in 0..self.fleet.engines.len() {
            sum += self.accepted(engine).await;
        }
        sum
    }

    /// Number of operations that a service has executed.
    pub(crate) async fn executed(&self, service: usize) -> u64 {
        let executions = self.fleet.services[service].executions().await;
        executions.expect("the stand-in responds").values().sum()
    }

    /// Waits until a service has executed at least `count` operations.
    pub(crate) async fn wait_until_executed(&self, service: usize, count: u64) {
        wait_until("the service executes operations", async || {
            self.executed(service).await >= count
        })
        .await;
    }

    /// Waits until the engines have accepted `streams` requests in total, and each at least one.
    pub(crate) async fn wait_until_spread(&self, streams: u64) {
        wait_until("every engine accepts a stream", async || {
            let mut all_busy = true;
            for engine in 0..self.fleet.engines.len() {
                all_busy &= self.accepted(engine).await > 0;
            }
            all_busy && self.total_accepted().await >= streams
        })
        .await;
    }

    /// Waits until an engine reports that it is decoding.
    pub(crate) async fn wait_until_decoding(&self, engine: usize) {
        let url = format!(
            "http://{}/control/load",
            self.fleet.engines[engine].address()
        );
        wait_until("the engine is decoding", async || {
            let load = get(&url).await;
            load.is_some_and(|load| load["decoding"].as_u64().unwrap_or(0) > 0)
        })
        .await;
    }

    /// Waits until a condition on the status of every running entry holds.
    pub(crate) async fn wait_until_status(
        &self,
        description: &str,
        holds: impl Fn(&Value) -> bool,
    ) {
        wait_until(description, async || {
            let mut all = true;
            for entry in 0..self.fleet.entries.len() {
                let status = self.fleet.status(entry).await;
                all &= status.is_ok_and(|status| holds(&status));
            }
            all
        })
        .await;
    }

    /// Waits until every running entry reports the endpoint as up and not leaving.
    pub(crate) async fn wait_until_serving(&self, name: &str) {
        self.wait_until_status("the endpoint is up and not leaving", |status| {
            let endpoint = endpoint(status, name);
            endpoint["up"] == true && endpoint["leaving"] == false
        })
        .await;
    }

    /// Waits until a configuration revision is in force at every running entry and agent.
    pub(crate) async fn wait_until_in_force(&self, revision: &Value) {
        self.wait_until_status("the revision is in force everywhere", |status| {
            let endpoints = status["endpoints"].as_array();
            status["revision"] == *revision
                && endpoints.is_some_and(|all| {
                    all.len() == self.fleet.agents.len()
                        && all.iter().all(|one| one["revision"] == *revision)
                })
        })
        .await;
    }

    /// Sends an operator request to an entry.
    pub(crate) async fn operator_request(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: String,
    ) -> OperatorResponse {
        let address = self.fleet.entries[entry].address();
        let client = Client::builder().timeout(OPERATOR_TIMEOUT).finish();
        let request = client.request(method, format!("http://{address}/operator/v1/{path}"));
        let sent = request.bearer_auth(OPERATOR_KEY).send_body(body).await;
        let mut response = sent.expect("a response to the operator request");
        let body = response.body().await.expect("a complete response body");
        OperatorResponse {
            status: response.status().as_u16(),
            body: serde_json::from_slice(&body).unwrap_or_default(),
        }
    }

    /// Drains an endpoint through an entry, or ends its drain if `resume` is set.
    pub(crate) async fn drain(&self, entry: usize, name: &str, resume: bool) {
        let path = format!("drain/{name}?resume={resume}");
        let answer = self
            .operator_request(entry, Method::POST, &path, String::new())
            .await;
        assert_eq!(answer.status, 202, "{answer:?}");
    }

    /// Sets the state of a host in the host list, and waits until the list returns it.
    pub(crate) async fn set_host_state(&self, host: &str, state: &str) {
        let url = format!("http://{}/hosts", self.fleet.hosts.address());
        let body = serde_json::json!({ "state": state });
        let sent = Client::default()
            .post(format!("{url}/{host}"))
            .send_json(&body)
            .await;
        assert!(sent.expect("the stand-in responds").status().is_success());
        wait_until("the host list returns the new state", async || {
            let list = get(&url).await.unwrap_or_default();
            let hosts = list.as_array().map(Vec::as_slice).unwrap_or_default();
            hosts
                .iter()
                .any(|one| one["host"] == host && one["state"] == state)
        })
        .await;
    }

    /// Fencing token of an entry for a group, or `None` if the entry does not hold the group.
    pub(crate) async fn fencing_token(&self, entry: usize, group: &str) -> Option<u64> {
        let status = self.fleet.status(entry).await.ok()?;
        let authority = &status["authority"][group];
        let is_holder = authority["process"] == self.fleet.entries[entry].name();
        authority["fence"].as_u64().filter(|_| is_holder)
    }

    /// Replaces the fault settings of the store stand-in.
    pub(crate) async fn set_store_fault(&self, fault: store::Fault) {
        let url = format!("http://{}/fault", self.fleet.store.address());
        let sent = Client::default().post(url).send_json(&fault).await;
        assert!(sent.expect("the stand-in responds").status().is_success());
    }

    /// Injects a fault into an engine stand-in.
    pub(crate) async fn inject_engine_fault(&self, engine: usize, fault: engine::Fault) {
        let injected = self.fleet.engines[engine].fault(fault).await;
        injected.expect("the fault is injected");
    }

    /// Status code of `readyz` of an entry, or 0 if the request fails.
    pub(crate) async fn readiness_status(&self, entry: SocketAddr) -> u16 {
        let sent = Client::default().get(format!("http://{entry}/readyz"));
        let sent = sent.send().await;
        sent.map_or(0, |response| response.status().as_u16())
    }
}

/// Reads a JSON document, or returns `None` if the request or the parsing fails.
async fn get(url: &str) -> Option<Value> {
    let mut response = Client::default().get(url).send().await.ok()?;
    response.json().await.ok()
}
