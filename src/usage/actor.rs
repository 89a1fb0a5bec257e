use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{
    Actor, ActorFutureExt, Addr, AsyncContext, Context, Handler, MessageResult, Recipient,
    WrapFuture,
};

use super::{Counts, PeerCounts, RequestBegun, Result, Spec, TakeCounts, Tally, TrueTime};
use crate::{
    clock::Shared,
    duty::{Answer, Call, GetTerm, Perform, Token},
    error::{Error, Kind},
    id::{Caller, Incarnation, Process, Window},
    peers::{GatewaysChanged, Roster},
    store::{Compare, Path, Store, Txn, Write},
    unit::as_f64,
    wire::{Begun, UsageTime},
};

/// Interval at which windows are checked.
const TICK: Duration = Duration::from_millis(500);
/// Upper bound of the ticks from a failed call to the next one.
const BACKOFF_TICKS_MAX: u32 = 4;
/// Time after which a peer that was not heard counts as not linked. Linked peers send a digest each
/// second.
const SILENT_AFTER: Duration = Duration::from_secs(3);
/// Time to live of the counts that a gateway writes to the store.
const COUNTS_TTL: Duration = Duration::from_mins(1);

/// Identity and dependencies.
#[derive(Debug)]
pub struct Config {
    /// Name of this process.
    pub process: Process,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Lengths that the platform sets.
    pub spec: Spec,
    /// Gives the term of the holder.
    pub get_term: Recipient<GetTerm>,
    /// Sends reports.
    pub perform: Recipient<Perform>,
    /// Store of the reports.
    pub store: Rc<dyn Store>,
    /// Prefix of the reports and the counts in the store.
    pub root: Path,
    /// Monotonic clock, by which requests are timed.
    pub monotonic: Shared,
    /// Clock that counts suspension.
    pub clock: Shared,
}

/// Actor that counts requests, and reports them while this process is the holder.
pub struct Reporter {
    config: Config,
    time: TrueTime,
    tally: Tally,
    roster: Roster,
    heard: BTreeMap<Process, Instant>,
    /// The last window whose report was accepted, as far as this process or a peer knows.
    reported: Option<Window>,
    /// Contents of reports in the store, read once in each term.
    stored: Option<(Token, BTreeMap<Window, Content>)>,
    /// Windows whose counts this process has written to the store.
    written: BTreeSet<Window>,
    busy: bool,
    /// Calls in a row that did not succeed, and the ticks to pass before the next one.
    failures: u32,
    ticks_to_pass: u32,
}

/// Requests by customer, as reported.
type Content = Arc<BTreeMap<Caller, u64>>;

impl fmt::Debug for Reporter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reporter")
            .field("config", &self.config)
            .field("reported", &self.reported)
            .finish_non_exhaustive()
    }
}

/// Starts to count.
#[must_use]
pub fn spawn(config: Config) -> Addr<Reporter> {
    let usage = Reporter {
        time: TrueTime::new(config.clock.wall(), config.clock.now()),
        config,
        tally: Tally::default(),
        roster: Roster::new(),
        heard: BTreeMap::new(),
        reported: None,
        stored: None,
        written: BTreeSet::new(),
        busy: false,
        failures: 0,
        ticks_to_pass: 0,
    };
    usage.start()
}

/// What the next report needs.
struct Task {
    token: Token,
    window: Window,
    own: (Process, Incarnation),
    /// Counts of the window, as far as this process knows.
    tally: Tally,
    stored: Option<BTreeMap<Window, Content>>,
    /// Whether the content may be fixed now.
    is_ready: bool,
    oldest: Window,
}

/// Result of a task.
struct Done {
    token: Token,
    window: Window,
    stored: BTreeMap<Window, Content>,
    /// `None` if no call was due.
    answer: Option<Answer>,
}

impl Reporter {
    fn now(&self) -> Duration {
        self.time.estimate(self.config.clock.now())
    }

    fn others(&self) -> impl Iterator<Item = &Process> {
        self.roster
            .processes()
            .filter(|process| **process != self.config.process)
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        let oldest = self.config.spec.oldest(now);
        self.tally.prune(oldest);
        self.written.retain(|window| *window >= oldest);
        self.ticks_to_pass = self.ticks_to_pass.saturating_sub(1);
        if self.busy || self.ticks_to_pass > 0 {
            return;
        }
        self.busy = true;
        self.write_counts(now, ctx);
        let term = self.config.get_term.send(GetTerm).into_actor(self);
        ctx.spawn(term.map(|term, usage, ctx| match term {
            Ok(Some(term)) => usage.report_next(term.token, ctx),
            Ok(None) | Err(_) => {
                usage.stored = None;
                usage.busy = false;
            }
        }));
    }

    /// Writes the counts of the last window to the store, if some gateway does not hear this one.
    fn write_counts(&mut self, now: Duration, ctx: &mut Context<Self>) {
        let Some(window) = self.config.spec.open_window(now).get().checked_sub(1) else {
            return;
        };
        let window = Window::new(window);
        let clock_now = self.config.clock.now();
        let is_linked = |process: &Process| {
            let heard = self.heard.get(process);
            heard.is_some_and(|at| clock_now.saturating_duration_since(*at) < SILENT_AFTER)
        };
        let counts = self.tally.own_in(window);
        if counts.is_empty() || self.others().all(is_linked) || !self.written.insert(window) {
            return;
        }
        let name = format!("{}.{}", self.config.process, self.config.incarnation);
        let path = counts_path(&self.config.root, window).join(&name);
        let store = Rc::clone(&self.config.store);
        let write = async move { write_counts(&*store, path, &counts).await };
        ctx.spawn(write.into_actor(self).map(move |written, usage, _| {
            if let Err(error) = written {
                log::info!(window:% = window, error:% = error; "usage: counts were not written");
                usage.written.remove(&window);
            }
        }));
    }

    fn next_task(&self, token: Token) -> Option<Task> {
        let (spec, now) = (self.config.spec, self.now());
        let oldest = spec.oldest(now);
        let after = self.reported.map(|window| Window::new(window.get() + 1));
        let window = after.unwrap_or(oldest).max(oldest);
        let is_open = window >= spec.open_window(now);
        if is_open {
            return None;
        }
        let missing = self.others();
        let missing: Vec<Process> = missing
            .filter(|process| !self.tally.has_reported(process, window))
            .cloned()
            .collect();
        if spec.is_urgent(window, now) && !missing.is_empty() {
            log::info!(window:% = window, missing:? = missing;
                "usage: some gateways have not reported; the report is sent without their last counts");
        }
        let stored = self.stored.as_ref().filter(|(term, _)| *term == token);
        Some(Task {
            token,
            window,
            own: (self.config.process.clone(), self.config.incarnation),
            tally: self.tally.only(window),
            is_ready: missing.is_empty() || spec.is_urgent(window, now),
            stored: stored.map(|(_, stored)| stored.clone()),
            oldest,
        })
    }

    fn report_next(&mut self, token: Token, ctx: &mut Context<Self>) {
        let Some(task) = self.next_task(token) else {
            self.busy = false;
            return;
        };
        let (store, root) = (Rc::clone(&self.config.store), self.config.root.clone());
        let perform = self.config.perform.clone();
        let done = async move { run(task, &*store, &root, &perform).await };
        ctx.spawn(done.into_actor(self).map(|done, usage, _| {
            usage.busy = false;
            match done {
                Ok(done) => usage.finish(done),
                Err(error) => {
                    log::info!(error:% = error; "usage: no report was sent; retrying");
                    usage.back_off();
                }
            }
        }));
    }

    /// Waits longer after each failure.
    fn back_off(&mut self) {
        self.failures = self.failures.saturating_add(1);
        self.ticks_to_pass = self.failures.min(BACKOFF_TICKS_MAX);
    }

    fn finish(&mut self, done: Done) {
        self.stored = Some((done.token, done.stored));
        if done
            .answer
            .as_ref()
            .is_some_and(|answer| *answer != Answer::Accepted)
        {
            self.back_off();
        }
        if done.answer == Some(Answer::Accepted) {
            self.failures = 0;
            log::info!(window:% = done.window; "usage: report accepted");
            metrics::counter!("usage_reports_total").increment(1);
            metrics::gauge!("usage_reported_window").set(as_f64(done.window.get()));
            self.reported = self.reported.max(Some(done.window));
        }
    }
}

/// Fixes the content of a report in the store, unless it is fixed already, and sends it.
async fn run(
    task: Task,
    store: &dyn Store,
    root: &Path,
    perform: &Recipient<Perform>,
) -> Result<Done> {
    let Task {
        token,
        window,
        own,
        mut tally,
        stored,
        is_ready,
        oldest,
    } = task;
    let mut stored = match stored {
        Some(stored) => stored,
        None => read_reports(store, root).await?,
    };
    let mut answered = None;
    let mut content = stored.get(&window).cloned();
    if content.is_none() && is_ready {
        merge_written(store, counts_path(root, window), &own, window, &mut tally).await?;
        let counts = tally.report(window);
        let fixed = fix(store, root, window, counts, &mut stored, oldest).await?;
        content = Some(fixed);
    }
    if let Some(counts) = content {
        let call = Call::Usage { window, counts };
        let answer = perform.send(Perform { token, call }).await;
        let answer = answer.map_err(|error| {
            Error::new(Kind::Leaving, "the duties have stopped").with_source(error)
        })??;
        answered = Some(answer);
    }
    Ok(Done {
        token,
        window,
        stored,
        answer: answered,
    })
}

async fn read_reports(store: &dyn Store, root: &Path) -> Result<BTreeMap<Window, Content>> {
    let range = store.range(reports_path(root)).await?;
    let reports = range.items.into_iter().filter_map(|item| {
        let window = item.path.as_str().rsplit('/').next()?.parse().ok()?;
        Some((window, Arc::new(decode(&item.value)?)))
    });
    Ok(reports.collect())
}

/// Creates the entry of a report and removes those of old windows. Returns the content of the entry,
/// which is another one if an earlier holder has created it.
async fn fix(
    store: &dyn Store,
    root: &Path,
    window: Window,
    counts: BTreeMap<Caller, u64>,
    stored: &mut BTreeMap<Window, Content>,
    oldest: Window,
) -> Result<Content> {
    let path = reports_path(root).join(&window);
    let old: Vec<Window> = stored.range(..oldest).map(|(window, _)| *window).collect();
    let removals = old
        .iter()
        .map(|window| Write::Delete(reports_path(root).join(window)));
    let mut writes = vec![Write::Put(path.clone(), encode(&counts)?, None)];
    writes.extend(removals);
    let txn = Txn {
        compares: vec![Compare::Absent(path)],
        writes,
    };
    let commit = store.commit(txn).await?;
    let content = if commit.succeeded {
        stored.retain(|window, _| *window >= oldest);
        counts
    } else {
        let found = commit.found.first().and_then(|item| decode(&item.value));
        found.ok_or_else(|| Error::new(Kind::StoreUnavailable, "the report cannot be read"))?
    };
    let content = Arc::new(content);
    stored.insert(window, Arc::clone(&content));
    Ok(content)
}

/// Merges the counts that gateways have written to the store. Gateways that are not linked with all others
/// do so, and the holder may have heard a part of them.
async fn merge_written(
    store: &dyn Store,
    prefix: Path,
    own: &(Process, Incarnation),
    window: Window,
    tally: &mut Tally,
) -> Result<()> {
    let range = store.range(prefix).await?;
    for item in range.items {
        let name = item.path.as_str().rsplit('/').next().unwrap_or_default();
        let run = name
            .rsplit_once('.')
            .and_then(|(process, run)| Some((process.parse().ok()?, run.parse().ok()?)));
        let Some(run) = run.filter(|run| run != own) else {
            continue;
        };
        let counts = decode(&item.value).into_iter().flatten();
        let begun = counts.map(|(customer, count)| Begun {
            window,
            customer,
            count,
        });
        let begun: Vec<Begun> = begun.collect();
        tally.merge(run, &begun, Window::default());
    }
    Ok(())
}

async fn write_counts(store: &dyn Store, path: Path, counts: &BTreeMap<Caller, u64>) -> Result<()> {
    let value = encode(counts)?;
    let lease = store.grant(COUNTS_TTL).await?;
    let txn = Txn {
        compares: Vec::new(),
        writes: vec![Write::Put(path, value, Some(lease))],
    };
    store.commit(txn).await.map(drop)
}

fn reports_path(root: &Path) -> Path {
    root.join(&"reports")
}

fn counts_path(root: &Path, window: Window) -> Path {
    root.join(&"counts").join(&window)
}

fn encode(counts: &BTreeMap<Caller, u64>) -> Result<Vec<u8>> {
    serde_json::to_vec(counts)
        .map_err(|error| Error::new(Kind::Internal, "cannot encode counts").with_source(error))
}

fn decode(value: &[u8]) -> Option<BTreeMap<Caller, u64>> {
    serde_json::from_slice(value)
        .inspect_err(|error| log::warn!(error:% = error; "usage: skipping unreadable counts"))
        .ok()
}

impl Actor for Reporter {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(TICK, Self::tick);
    }
}

impl Handler<RequestBegun> for Reporter {
    type Result = ();

    fn handle(&mut self, RequestBegun { customer, at }: RequestBegun, _: &mut Context<Self>) {
        let age = self.config.monotonic.now().saturating_duration_since(at);
        let began = self.now().saturating_sub(age);
        self.tally
            .count(self.config.spec.window_at(began), &customer);
        metrics::counter!("usage_requests_total").increment(1);
    }
}

impl Handler<TakeCounts> for Reporter {
    type Result = MessageResult<TakeCounts>;

    fn handle(&mut self, TakeCounts { all }: TakeCounts, _: &mut Context<Self>) -> Self::Result {
        let own = self.time.own(self.config.clock.now());
        MessageResult(Counts {
            changes: self.tally.take_changes(),
            all: all.then(|| self.tally.own()),
            time: UsageTime {
                unix_ms: u64::try_from(own.as_millis()).unwrap_or(u64::MAX),
                open: self.config.spec.open_window(self.now()),
                reported: self.reported,
            },
        })
    }
}

impl Handler<PeerCounts> for Reporter {
    type Result = ();

    fn handle(&mut self, msg: PeerCounts, _: &mut Context<Self>) {
        let now = self.config.clock.now();
        self.heard.insert(msg.process.clone(), now);
        let time = Duration::from_millis(msg.time.unix_ms);
        self.time.observe(&msg.process, time, now);
        self.reported = self.reported.max(msg.time.reported);
        let peer = (msg.process, msg.incarnation);
        self.tally.merge(peer, &msg.begun, msg.time.open);
    }
}

impl Handler<GatewaysChanged> for Reporter {
    type Result = ();

    fn handle(&mut self, GatewaysChanged(update): GatewaysChanged, _: &mut Context<Self>) {
        self.roster.apply(update);
    }
}
