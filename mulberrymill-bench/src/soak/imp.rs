use std::{
    cell::{Cell, RefCell},
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant},
};

use mulberrymill::upstream::Client;
use serde_json::{Value, json};
use tokio::{task, time};

use super::{
    Breach, Fault, Mode, Plan, Proxy, Result, Step,
    backend::{Arrivals, Backend, Notice, Run, Runs, SLOTS, lock},
    check::{self, EndpointWindow, GatewayWindow, ROUTE_TIMEOUT},
    client::{self, KIND_COUNT, ROUTES, Route, Sent, Shared},
};
use crate::{
    fleet::Process,
    platform::{self, Store},
};

/// Time after the end of all faults in which gateways must serve again. The platform allows 8 s or
/// more; requests are served much sooner.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause between two probe requests while gateways recover.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a draining endpoint must receive no more requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of configuration versions that [`Fault::Storm`] writes, and the pause after each.
const STORM: (u64, Duration) = (6, Duration::from_millis(60));
/// Time for which a stopping gateway still accepts requests.
const STOP_DELAY: &str = "300ms";

/// Time after the signal to stop at which the platform kills a gateway.
const GRACE: Duration = Duration::from_secs(8);
/// Change of the routes' timeouts from one configuration version to the next.
const TIMEOUT_CHANGE: Duration = Duration::from_millis(500);
/// Time in which gateways learn that an endpoint has started again.
const START_TIME: Duration = Duration::from_millis(500);
/// Time around a request in which steps of the plan are shown with it.
const NEARBY: Duration = Duration::from_millis(1_500);

/// Size of a soak test.
#[derive(Clone, Debug)]
pub struct Config {
    /// Seed of the plan and of the clients, 0 by default.
    pub seed: u64,
    /// Time for which requests are sent, 6 s by default.
    pub length: Duration,
    /// Number of gateways, 3 by default.
    pub gateways: usize,
    /// Number of endpoints of each of the two services, 3 by default.
    pub endpoints: usize,
    /// Number of clients, 8 by default. Each sends one request at a time.
    pub clients: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            seed: 0,
            length: Duration::from_secs(6),
            gateways: 3,
            endpoints: 3,
            clients: 8,
        }
    }
}

struct Gateway {
    process: Option<Process>,
    settings: PathBuf,
    log: PathBuf,
    store: Proxy,
}

/// Starts the process of a gateway.
async fn start(gateway: &RefCell<Gateway>) -> Result<Process> {
    let (settings, log) = {
        let gateway = gateway.borrow();
        (gateway.settings.clone(), gateway.log.clone())
    };
    Process::start(&settings.display().to_string(), "gateway", &settings, &log).await
}

struct Soak {
    store: Store,
    version: Cell<u64>,
    backends: Vec<(Backend, Proxy)>,
    gateways: Vec<RefCell<Gateway>>,
    shared: Shared,
    drains: RefCell<Vec<EndpointWindow>>,
    pauses: RefCell<Vec<GatewayWindow>>,
    /// Times in which a gateway was paused, killed or stopped, until it ran again.
    outages: RefCell<Vec<GatewayWindow>>,
    /// Times in which the proxy of an endpoint harmed its connections.
    cuts: RefCell<Vec<EndpointWindow>>,
    /// Times in which endpoints started again, which ends their former runs.
    starts: RefCell<Vec<EndpointWindow>>,
    /// Times in which a gateway was paused, killed, or at the end of its grace period.
    interruptions: RefCell<Vec<GatewayWindow>>,
    /// Times in which faults may keep gateways from learning of changes in the store.
    disturbances: RefCell<Vec<(Instant, Instant)>>,
}

/// Runs the plan of a seed, with settings and logs in `folder`, and returns the violated rules.
/// Must be called inside an actix system.
///
/// # Errors
///
/// Fails if a stand-in or a process cannot be started or controlled, or if the gateways do not
/// serve requests before the first fault.
pub async fn play(config: &Config, folder: &Path) -> Result<Vec<Breach>> {
    std::fs::create_dir_all(folder)?;
    let plan = Plan::generate(
        config.seed,
        config.length,
        config.gateways,
        config.endpoints * 2,
    );
    let runs = Runs::default();
    let arrivals = Arrivals::default();
    let soak = Rc::new(open(config, folder, &runs, &arrivals).await?);
    wait_until_served(&soak)
        .await
        .map_err(|breach| breach.to_string())?;

    let clients: Vec<_> = (0..config.clients)
        .map(|number| task::spawn_local(client::run(soak.shared.clone(), config.seed, number)))
        .collect();
    let start = time::Instant::now();
    let faults = plan.steps.iter().map(|step| {
        let (soak, step) = (Rc::clone(&soak), *step);
        task::spawn_local(async move {
            time::sleep_until(start + step.at).await;
            inject(&soak, step)
                .await
                .map_err(|error| format!("{step}: {error}"))
        })
    });
    let faults: Vec<_> = faults.collect();
    time::sleep_until(start + config.length).await;
    for fault in faults {
        fault.await??;
    }
    let recovered = wait_until_served(&soak).await;
    soak.shared.stopped.set(true);
    for client in clients {
        client.await?;
    }
    let mut breaches = check::check(
        &soak.shared.sent.borrow(),
        &lock(&runs),
        &soak.drains.borrow(),
        &soak.pauses.borrow(),
    );
    breaches.extend(check::check_notices(
        &soak.shared.sent.borrow(),
        &lock(&arrivals),
        &soak.outages.borrow(),
        &soak.cuts.borrow(),
    ));
    breaches.extend(check::check_losses(
        &soak.shared.sent.borrow(),
        &lock(&runs),
        &[soak.cuts.take(), soak.starts.take()].concat(),
        &soak.interruptions.borrow(),
        |sent, runs| describe(&plan, start.into_std(), sent, runs),
    ));
    breaches.extend(recovered.err());
    breaches.extend(failures_in_logs(&soak)?);
    Ok(breaches)
}

/// Describes the moments of a request, and the steps of the plan nearby.
fn describe(plan: &Plan, start: Instant, sent: &Sent, runs: &[&Run]) -> String {
    let offset = |at: Instant| at.saturating_duration_since(start);
    let runs: Vec<_> = runs
        .iter()
        .map(|run| format!("{} at {:?}", run.endpoint, offset(run.at)))
        .collect();
    let (from, until) = (offset(sent.at), offset(sent.ended));
    let nearby = plan
        .steps
        .iter()
        .filter(|step| step.at < until + NEARBY && from < step.at + step.lasts + NEARBY);
    let nearby: Vec<_> = nearby.map(ToString::to_string).collect();
    format!(
        "{} at gateway-{} with {:?}, from {from:?} until {until:?}: {:?}, {:?}, runs {runs:?}, \
         nearby {nearby:?}",
        sent.target, sent.gateway, sent.deadline, sent.end, sent.answer,
    )
}

async fn open(config: &Config, folder: &Path, runs: &Runs, arrivals: &Arrivals) -> Result<Soak> {
    let store = Store::bind()?;
    let mut backends = Vec::new();
    for service in ["free", "once"] {
        for number in 0..config.endpoints {
            let backend = Backend::bind(format!("{service}-{number}"), runs, arrivals)?;
            let proxy = Proxy::bind(backend.address()).await?;
            backends.push((backend, proxy));
        }
    }
    let mut gateways = Vec::new();
    for number in 0..config.gateways {
        let proxy = Proxy::bind(store.address()).await?;
        let settings = folder.join(format!("gateway-{number}.jsonc"));
        let text = json!({
            "process": format!("gateway-{number}"), "zone": "a", "listen": "127.0.0.1:0",
            "readiness": "127.0.0.1:0", "peers": "127.0.0.1:0",
            "store": proxy.address().to_string(), "stop_delay": STOP_DELAY,
            "grace": format!("{}s", GRACE.as_secs()),
        });
        std::fs::write(&settings, text.to_string())?;
        gateways.push(RefCell::new(Gateway {
            process: None,
            log: folder.join(format!("gateway-{number}.log")),
            settings,
            store: proxy,
        }));
    }
    let soak = Soak {
        store,
        version: Cell::new(0),
        backends,
        gateways,
        shared: Shared {
            gateways: Rc::default(),
            sent: Rc::default(),
            stopped: Rc::default(),
        },
        drains: RefCell::default(),
        pauses: RefCell::default(),
        outages: RefCell::default(),
        cuts: RefCell::default(),
        starts: RefCell::default(),
        interruptions: RefCell::default(),
        disturbances: RefCell::default(),
    };
    write_plan(&soak);
    for number in 0..soak.backends.len() {
        announce(&soak, number, "ready");
    }
    for gateway in &soak.gateways {
        let process = start(gateway).await?;
        soak.shared.gateways.borrow_mut().push(process.address());
        gateway.borrow_mut().process = Some(process);
    }
    Ok(soak)
}

fn write_plan(soak: &Soak) {
    soak.version.set(soak.version.get() + 1);
    let version = soak.version.get();
    let timeout = ROUTE_TIMEOUT + TIMEOUT_CHANGE * u32::from(version.is_multiple_of(2));
    let route = |route: &Route| -> Value {
        json!({
            "name": route.name, "host": "soak.example", "prefix": format!("/{}/", route.name),
            "routeKind": route.kind, "timeoutMs": timeout.as_millis(), "targetLatencyMs": 200,
            "priority": 0, "service": route.service, "maxAttempts": route.attempts,
            "resumable": route.resumable,
        })
    };
    // A route of its own in each version.
    let mut routes: Vec<Value> = ROUTES.iter().map(route).collect();
    let added = format!("added-{version}");
    routes.push(json!({
        "name": added, "host": "soak.example", "prefix": format!("/{added}/"),
        "routeKind": "idempotent", "timeoutMs": timeout.as_millis(), "targetLatencyMs": 200,
        "priority": 0, "service": "free", "maxAttempts": 2, "resumable": false,
    }));
    let plan = json!({ "version": version, "routes": routes });
    soak.store.put("op/config", &plan);
}

fn announce(soak: &Soak, number: usize, state: &str) {
    let (backend, proxy) = &soak.backends[number];
    let service = backend.id().split('-').next().unwrap_or_default();
    let mut entry = platform::entry(proxy.address(), service, SLOTS, state);
    entry["born"] = json!(backend.started());
    soak.store.put(&format!("servers/{}", backend.id()), &entry);
}

/// Injects a fault and ends it after its duration.
async fn inject(soak: &Soak, step: Step) -> Result<()> {
    let begin = Instant::now();
    let disturbs = !matches!(
        step.fault,
        Fault::Endpoint(..)
            | Fault::Drain(_)
            | Fault::Reload(_)
            | Fault::Leave(_)
            | Fault::LeaveFalsely(_)
            | Fault::Shed(..)
            | Fault::Silent(_)
            | Fault::Unframed(_)
            | Fault::Change
            | Fault::Alias(_)
    );
    if disturbs {
        // A gateway that has restarted or reconnected to the store reads everything again.
        let end = begin + step.lasts + DRAIN_TIMEOUT;
        soak.disturbances.borrow_mut().push((begin, end));
    }
    match step.fault {
        Fault::Leave(number) | Fault::LeaveFalsely(number) | Fault::Shed(number, _) => {
            play_notice(soak, number, step).await;
        }
        Fault::Endpoint(number, mode) => {
            let proxy = &soak.backends[number].1;
            proxy.set(mode);
            time::sleep(step.lasts).await;
            proxy.set(Mode::Open);
        }
        Fault::Store(number, mode) => {
            soak.gateways[number].borrow().store.set(mode);
            time::sleep(step.lasts).await;
            soak.gateways[number].borrow().store.set(Mode::Open);
        }
        Fault::Pause(number) => {
            signal(soak, number, Process::freeze)?;
            time::sleep(step.lasts).await;
            signal(soak, number, Process::thaw)?;
            soak.pauses.borrow_mut().push(GatewayWindow {
                gateway: number,
                from: begin,
                until: Instant::now(),
            });
        }
        Fault::Reload(number) => signal(soak, number, Process::reload)?,
        Fault::Kill(number) => restart(soak, number, true).await?,
        Fault::Stop(number) => restart(soak, number, false).await?,
        Fault::Silent(number) => {
            for (index, (backend, _)) in soak.backends.iter().enumerate() {
                if number.is_none_or(|number| number == index) {
                    backend.fall_silent(step.lasts);
                }
            }
            time::sleep(step.lasts).await;
        }
        Fault::Unframed(number) => {
            soak.backends[number].0.set_unframed(true);
            time::sleep(step.lasts).await;
            soak.backends[number].0.set_unframed(false);
        }
        Fault::Change => write_plan(soak),
        Fault::Alias(number) => {
            let (backend, proxy) = &soak.backends[number];
            let service = backend.id().split('-').next().unwrap_or_default();
            let key = format!("servers/{}-alias", backend.id());
            let entry = platform::entry(proxy.address(), service, SLOTS, "ready");
            soak.store.put(&key, &entry);
            time::sleep(step.lasts).await;
            soak.store.remove(&key);
        }
        Fault::Compact => soak.store.compact(),
        Fault::Lapse => soak.store.lapse_leases(),
        Fault::Storm => {
            for _ in 0..STORM.0 {
                write_plan(soak);
                time::sleep(STORM.1).await;
            }
        }
        Fault::Drain(number) => {
            announce(soak, number, "draining");
            time::sleep(step.lasts).await;
            announce(soak, number, "ready");
            let (from, until) = (begin + DRAIN_TIMEOUT, Instant::now());
            let undisturbed = |(start, end): &(Instant, Instant)| *end < begin || *start > until;
            if from < until && soak.disturbances.borrow().iter().all(undisturbed) {
                let endpoint = soak.backends[number].0.id().to_owned();
                soak.drains.borrow_mut().push(EndpointWindow {
                    endpoint,
                    from,
                    until,
                });
            }
        }
    }
    record_harm(soak, step.fault, begin);
    Ok(())
}

/// Records the time since `begin` as that in which a fault harmed an endpoint or a gateway.
fn record_harm(soak: &Soak, fault: Fault, begin: Instant) {
    if let Fault::Endpoint(number, _) = fault {
        soak.cuts.borrow_mut().push(EndpointWindow {
            endpoint: soak.backends[number].0.id().to_owned(),
            from: begin,
            until: Instant::now(),
        });
    }
    if let Fault::Pause(gateway) | Fault::Kill(gateway) | Fault::Stop(gateway) = fault {
        soak.outages.borrow_mut().push(GatewayWindow {
            gateway,
            from: begin,
            until: Instant::now(),
        });
        let is_planned = matches!(fault, Fault::Stop(_));
        soak.interruptions.borrow_mut().push(GatewayWindow {
            gateway,
            from: begin
                + if is_planned {
                    GRACE * 5 / 6
                } else {
                    Duration::ZERO
                },
            until: Instant::now(),
        });
    }
}

/// Lets an endpoint say something of itself for the duration of a fault.
async fn play_notice(soak: &Soak, number: usize, step: Step) {
    let backend = &soak.backends[number].0;
    let pause = match step.fault {
        Fault::Shed(_, pause) => Some(pause),
        _ => None,
    };
    backend.set_notice(Notice {
        leaving: pause.is_none(),
        pause,
    });
    time::sleep(step.lasts).await;
    if step.fault == Fault::Leave(number) {
        let from = Instant::now();
        backend.start_again();
        announce(soak, number, "ready");
        soak.starts.borrow_mut().push(EndpointWindow {
            endpoint: backend.id().to_owned(),
            from,
            until: from + START_TIME,
        });
    } else {
        backend.set_notice(Notice::default());
    }
}

/// Signals a gateway, unless another fault is restarting its process.
fn signal(
    soak: &Soak,
    number: usize,
    signal: fn(&Process) -> crate::fleet::Result<()>,
) -> Result<()> {
    match &soak.gateways[number].borrow().process {
        Some(process) => signal(process),
        None => Ok(()),
    }
}

async fn restart(soak: &Soak, number: usize, kill: bool) -> Result<()> {
    let Some(process) = soak.gateways[number].borrow_mut().process.take() else {
        return Ok(());
    };
    // A paused process handles signals only once it is resumed.
    process.thaw()?;
    if kill {
        process.kill().await?;
    } else {
        let status = process.stop().await?;
        if !status.success() {
            return Err(format!("gateway {number} stopped with {status}").into());
        }
    }
    let process = start(&soak.gateways[number]).await?;
    soak.shared.gateways.borrow_mut()[number] = process.address();
    soak.gateways[number].borrow_mut().process = Some(process);
    Ok(())
}

/// Waits until every gateway serves every kind of request.
async fn wait_until_served(soak: &Soak) -> std::result::Result<(), Breach> {
    let client = Client::new();
    let end = time::Instant::now() + RECOVERY_TIMEOUT;
    for number in 0..soak.gateways.len() {
        for route in &ROUTES[..KIND_COUNT] {
            loop {
                let sent = client::probe(&soak.shared, &client, number, route).await;
                let served = sent
                    .answer
                    .as_ref()
                    .is_some_and(|answer| answer.status == 200);
                soak.shared.sent.borrow_mut().push(sent.clone());
                if served {
                    break;
                }
                if time::Instant::now() > end {
                    let detail = format!("gateway {number} does not serve: {sent:?}");
                    return Err(Breach {
                        rule: "recover",
                        detail,
                    });
                }
                time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
    Ok(())
}

/// Log lines of gateways about violated invariants and panics.
fn failures_in_logs(soak: &Soak) -> Result<Vec<Breach>> {
    let mut breaches = Vec::new();
    for gateway in &soak.gateways {
        let log = std::fs::read_to_string(&gateway.borrow().log)?;
        let faults = log
            .lines()
            .filter(|line| line.contains("invariant") || line.contains("panicked"));
        breaches.extend(faults.map(|line| Breach {
            rule: "log",
            detail: line.to_owned(),
        }));
    }
    Ok(breaches)
}
