use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, mem,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{
    Actor, ActorFutureExt, Addr, AsyncContext, Context, Handler, MessageResult, Recipient,
    WrapFuture,
};

use super::{
    Counts, History, PeerCounts, RequestBegun, Result, Spec, TakeCounts, Tally, TrueTime, entry,
    history::Content,
    peers::{LastDigest, Peers},
};
use crate::{
    clock::Shared,
    duty::{Answer, Call, GetTerm, Perform, Token},
    era,
    error::{Error, Kind},
    id::{Incarnation, Process, Window},
    peers::GatewaysChanged,
    store::{Path, Store},
    unit::as_f64,
    wire::UsageTime,
};

/// Interval at which windows are checked.
const TICK: Duration = Duration::from_millis(500);
/// Upper bound of the ticks from a failed call to the next one.
const BACKOFF_TICKS_MAX: u32 = 4;
/// Most by which the estimates of the time of two gateways differ.
const CLOCK_SKEW_MAX: Duration = Duration::from_secs(1);

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
    started_at: Instant,
    time: TrueTime,
    tally: Tally,
    peers: Peers,
    history: History,
    era: era::Tracker,
    /// The current term, if this process is the holder.
    term: Option<Term>,
    /// Windows whose counts this process has written to the store.
    written: BTreeSet<Window>,
    /// Contents of reports that the store may have lost.
    lost: BTreeMap<Window, Content>,
    busy: bool,
    /// Whether the next step is [`Step::AwaitPeers`].
    awaits_peers: bool,
    /// Calls in a row that did not succeed, and the ticks to pass before the next one.
    failures: u32,
    ticks_to_pass: u32,
}

/// A term of this process as the holder.
struct Term {
    token: Token,
    since: Instant,
    /// Contents of reports in the store, read once, and again while one is awaited.
    stored: Option<BTreeMap<Window, Content>>,
}

impl fmt::Debug for Reporter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reporter")
            .field("config", &self.config)
            .field("history", &self.history)
            .finish_non_exhaustive()
    }
}

/// Starts to count.
#[must_use]
pub fn spawn(config: Config) -> Addr<Reporter> {
    let now = config.clock.now();
    let usage = Reporter {
        started_at: now,
        time: TrueTime::new(config.clock.wall(), now),
        era: era::Tracker::new(config.store.era(), now),
        peers: Peers::new(config.process.clone()),
        config,
        tally: Tally::default(),
        history: History::default(),
        term: None,
        written: BTreeSet::new(),
        lost: BTreeMap::new(),
        busy: false,
        awaits_peers: false,
        failures: 0,
        ticks_to_pass: 0,
    };
    usage.start()
}

/// What is done next for the first window that is not settled.
enum Step {
    /// Nothing, until more is known.
    Wait,
    /// Look for its content in the store, and create it there if that is allowed.
    Prepare(Preparation),
    /// Send its content, which the store and all linked peers know of.
    Send(Window, Content),
    /// Nothing, until the peers know that its report may have been sent.
    AwaitPeers,
    /// Do not report it, for this reason.
    GiveUp(Window, &'static str),
}

/// The search for the content of a report.
struct Preparation {
    window: Window,
    /// Content that is created if the store has none.
    content: Proposal,
    /// Windows whose reports are removed.
    old: Vec<Window>,
}

/// Content of a report that the store lacks.
enum Proposal {
    /// None may be created now.
    None,
    /// The content that was fixed before.
    Known(Content),
    /// The counts of the window, as far as this process knows.
    Counted(Tally),
}

impl Reporter {
    fn now(&self) -> Duration {
        self.time.estimate(self.config.clock.now())
    }

    /// The last digest of a peer, if it is linked.
    fn linked(&self, process: &Process) -> Option<LastDigest> {
        self.peers.linked(process, self.config.clock.now())
    }

    fn own_run(&self) -> (Process, Incarnation) {
        (self.config.process.clone(), self.config.incarnation)
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        let oldest = self.config.spec.oldest(now);
        self.tally.prune(oldest);
        self.history.prune(oldest);
        self.written.retain(|window| *window >= oldest);
        let (time, spec) = (&self.time, self.config.spec);
        self.peers.prune(|at| was_open(spec, time, oldest, at));
        self.observe_era();
        self.restore_reports(oldest, ctx);
        self.ticks_to_pass = self.ticks_to_pass.saturating_sub(1);
        if self.busy || self.ticks_to_pass > 0 {
            return;
        }
        self.write_counts(now, ctx);
        self.advance(ctx);
    }

    /// Takes the next step as the holder, if this process is.
    fn advance(&mut self, ctx: &mut Context<Self>) {
        if self.busy {
            return;
        }
        self.busy = true;
        let term = self.config.get_term.send(GetTerm).into_actor(self);
        ctx.spawn(term.map(|term, usage, ctx| {
            usage.busy = false;
            match term {
                Ok(Some(term)) => usage.take_step(term.token, ctx),
                _ => usage.term = None,
            }
        }));
    }

    /// Notes whether the store was restored from a copy. It may have lost what it had acknowledged.
    fn observe_era(&mut self) {
        if !self.era.observe(self.config.clock.now()) {
            return;
        }
        self.term = None;
        self.lost = self.history.open_contents();
        if !self.lost.is_empty() {
            log::info!(era:% = self.era, reports = self.lost.len();
                "usage: the store was restored; reports are created again");
        }
    }

    /// Creates the reports again that a restore of the store may have removed. The holder finds them there.
    fn restore_reports(&mut self, oldest: Window, ctx: &mut Context<Self>) {
        let first = self.history.accepted().map_or(oldest, |accepted| {
            oldest.max(Window::new(accepted.get() + 1))
        });
        for (window, content) in mem::take(&mut self.lost).split_off(&first) {
            let (store, root) = (Rc::clone(&self.config.store), self.config.root.clone());
            let known = Arc::clone(&content);
            let created =
                async move { entry::create_report(&*store, &root, window, &known, &[]).await };
            ctx.spawn(created.into_actor(self).map(move |created, usage, _| {
                if let Err(error) = created {
                    log::info!(window:% = window, error:% = error;
                        "usage: report was not created again; retrying");
                    usage.lost.insert(window, content);
                }
            }));
        }
    }

    /// Writes the counts of the last window to the store, if some gateway is not linked with this one.
    fn write_counts(&mut self, now: Duration, ctx: &mut Context<Self>) {
        let Some(window) = self.config.spec.open_window(now).get().checked_sub(1) else {
            return;
        };
        let window = Window::new(window);
        let counts = self.tally.own_in(window);
        let all_linked = self
            .peers
            .names()
            .all(|process| self.linked(process).is_some());
        if counts.is_empty() || all_linked || !self.written.insert(window) {
            return;
        }
        let (store, root) = (Rc::clone(&self.config.store), self.config.root.clone());
        let own = self.own_run();
        let write = async move { entry::write_counts(&*store, &root, &own, window, &counts).await };
        ctx.spawn(write.into_actor(self).map(move |written, usage, _| {
            if let Err(error) = written {
                log::info!(window:% = window, error:% = error; "usage: counts were not written");
                usage.written.remove(&window);
            }
        }));
    }

    fn take_step(&mut self, token: Token, ctx: &mut Context<Self>) {
        if self.term.as_ref().is_none_or(|term| term.token != token) {
            self.term = Some(Term {
                token,
                since: self.config.clock.now(),
                stored: None,
            });
        }
        let step = self.next_step();
        self.awaits_peers = matches!(step, Step::AwaitPeers);
        match step {
            Step::Wait | Step::AwaitPeers => {}
            Step::Prepare(preparation) => self.prepare(token, preparation, ctx),
            Step::Send(window, content) => self.send(token, window, content, ctx),
            Step::GiveUp(window, why) => {
                log::warn!(window:% = window, why = why; "usage: window is not reported");
                metrics::counter!("usage_windows_given_up_total").increment(1);
                self.history.give_up(window);
            }
        }
    }

    fn next_step(&self) -> Step {
        let (spec, now) = (self.config.spec, self.now());
        let oldest = spec.oldest(now);
        let window = self.history.next(oldest);
        let Some(term) = &self.term else {
            return Step::Wait;
        };
        if window >= spec.open_window(now) {
            return Step::Wait;
        }
        let is_urgent = spec.is_urgent(window, now);
        let stored = term.stored.as_ref();
        let found = stored.and_then(|stored| stored.get(&window));
        let content = match (self.history.content(window), found) {
            (Some(known), Some(found)) if known != found => {
                return Step::GiveUp(window, "the store holds another content than was fixed");
            }
            (Some(known), Some(_)) if self.is_acknowledged(window, is_urgent) => {
                return Step::Send(window, Arc::clone(known));
            }
            (_, Some(_)) => return Step::AwaitPeers,
            (Some(known), None) => Proposal::Known(Arc::clone(known)),
            (None, None) if stored.is_none() => Proposal::None,
            (None, None) if self.history.may_have_been_sent(window) => {
                if is_urgent {
                    return Step::GiveUp(window, "it may have been reported with unknown counts");
                }
                Proposal::None
            }
            (None, None) if !self.is_certain(window, term.since) => {
                if is_urgent {
                    let why = "the store may have lost its report, and a gateway that may have sent it \
                               does not answer or has started since";
                    return Step::GiveUp(window, why);
                }
                return Step::Wait;
            }
            (None, None) => match self.count(window, is_urgent) {
                Some(tally) => Proposal::Counted(tally),
                None => return Step::Wait,
            },
        };
        let old = stored.into_iter().flat_map(|stored| stored.keys().copied());
        Step::Prepare(Preparation {
            window,
            content,
            old: old.filter(|window| *window < oldest).collect(),
        })
    }

    /// Whether the peers know that the report of a window may have been sent: those that are linked and say
    /// so, and before the report is urgent the others, too.
    fn is_acknowledged(&self, window: Window, is_urgent: bool) -> bool {
        let mut others = self.peers.names();
        others.all(|process| match self.linked(process) {
            Some(last) => last.sent.is_none_or(|sent| sent >= window),
            None => is_urgent,
        })
    }

    /// Whether no report of a window can have been fixed without a trace in the store. There is a trace if the
    /// store was not restored since the window was closed. Else all processes that may have fixed the report must
    /// have run since then, this one included, and have sent a digest in this term.
    fn is_certain(&self, window: Window, term_since: Instant) -> bool {
        let was_open = |at| was_open(self.config.spec, &self.time, window, at);
        was_open(self.era.known_since())
            || (was_open(self.started_at)
                && self.peers.all_sent_digests_since(term_since, was_open))
    }

    /// The counts of a window, if all gateways have reported theirs, or if the report is urgent.
    fn count(&self, window: Window, is_urgent: bool) -> Option<Tally> {
        let missing = self.peers.names();
        let missing: Vec<&Process> = missing
            .filter(|process| !self.tally.has_reported(process, window))
            .collect();
        if !missing.is_empty() {
            if !is_urgent {
                return None;
            }
            log::info!(window:% = window, missing:? = missing;
                "usage: some gateways have not reported; the report is sent without their last counts");
        }
        Some(self.tally.only(window))
    }

    fn prepare(&mut self, token: Token, preparation: Preparation, ctx: &mut Context<Self>) {
        self.busy = true;
        let (store, root) = (Rc::clone(&self.config.store), self.config.root.clone());
        let own = self.own_run();
        let stored = self.term.as_ref().and_then(|term| term.stored.clone());
        let era = self.era.record(self.now(), self.config.clock.now());
        let prepared = async move { prepare(preparation, stored, era, &*store, &root, &own).await };
        ctx.spawn(prepared.into_actor(self).map(move |prepared, usage, ctx| {
            usage.busy = false;
            match prepared {
                Ok((stored, record)) => {
                    usage.record_stored(token, stored, record);
                    usage.proceed(ctx);
                }
                Err(error) => {
                    log::info!(error:% = error; "usage: no report was sent; retrying");
                    usage.back_off();
                }
            }
        }));
    }

    /// Notes what the store holds, unless it was restored since, or the term has ended.
    fn record_stored(
        &mut self,
        token: Token,
        stored: BTreeMap<Window, Content>,
        record: Option<era::Record>,
    ) {
        self.observe_era();
        if let Some(record) = record {
            let (unix, now) = (self.now(), self.config.clock.now());
            self.era.observe_record(&record, unix, now);
        }
        let Some(term) = self.term.as_mut().filter(|term| term.token == token) else {
            return;
        };
        for (window, content) in &stored {
            self.history.record_content(*window, content);
        }
        term.stored = Some(stored);
    }

    /// Continues without waiting for the next tick, unless more has to be known first.
    fn proceed(&mut self, ctx: &mut Context<Self>) {
        if self.ticks_to_pass > 0 {
            return;
        }
        let step = self.next_step();
        self.awaits_peers = matches!(step, Step::AwaitPeers);
        match step {
            Step::Send(..) => self.advance(ctx),
            Step::Prepare(Preparation { content, .. }) if !matches!(content, Proposal::None) => {
                self.advance(ctx);
            }
            _ => {}
        }
    }

    fn send(&mut self, token: Token, window: Window, counts: Content, ctx: &mut Context<Self>) {
        self.busy = true;
        let call = Call::Usage { window, counts };
        let answer = self.config.perform.send(Perform { token, call });
        ctx.spawn(answer.into_actor(self).map(move |answer, usage, ctx| {
            usage.busy = false;
            let answer = answer.unwrap_or_else(|error| {
                Err(Error::new(Kind::Leaving, "the duties have stopped").with_source(error))
            });
            match answer {
                Ok(Answer::Accepted) => {
                    usage.record_accepted(window);
                    usage.advance(ctx);
                }
                Ok(_) => usage.back_off(),
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

    fn record_accepted(&mut self, window: Window) {
        self.failures = 0;
        log::info!(window:% = window; "usage: report accepted");
        metrics::counter!("usage_reports_total").increment(1);
        metrics::gauge!("usage_reported_window").set(as_f64(window.get()));
        self.history.record_accepted(window);
    }
}

/// Whether a window was certainly open at `at`: no gateway can have fixed its report by then.
fn was_open(spec: Spec, time: &TrueTime, window: Window, at: Instant) -> bool {
    window >= spec.open_window(time.estimate(at) + CLOCK_SKEW_MAX)
}

/// Reads the reports and the record of the era, unless they are known, and creates the proposed report if it is
/// missing. Returns what the store holds.
async fn prepare(
    preparation: Preparation,
    stored: Option<BTreeMap<Window, Content>>,
    known_era: Option<era::Record>,
    store: &dyn Store,
    root: &Path,
    own: &(Process, Incarnation),
) -> Result<(BTreeMap<Window, Content>, Option<era::Record>)> {
    let Preparation {
        window,
        content,
        old,
    } = preparation;
    let record = match stored {
        None => era::Record::read_or_create(store, root, known_era).await?,
        Some(_) => None,
    };
    let mut stored = match (stored, &content) {
        (Some(stored), Proposal::Known(_) | Proposal::Counted(_)) => stored,
        _ => entry::read_reports(store, root).await?,
    };
    let content = match content {
        Proposal::Known(content) => content,
        Proposal::Counted(mut tally) => {
            entry::merge_counts(store, root, own, window, &mut tally).await?;
            Arc::new(tally.report(window))
        }
        Proposal::None => return Ok((stored, record)),
    };
    if !stored.contains_key(&window) {
        let created = entry::create_report(store, root, window, &content, &old).await?;
        stored.retain(|window, _| !old.contains(window));
        stored.insert(window, created);
    }
    Ok((stored, record))
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
        let now = self.config.clock.now();
        let own = self.time.own(now);
        MessageResult(Counts {
            changes: self.tally.take_changes(),
            all: all.then(|| self.tally.own()),
            time: UsageTime {
                unix_ms: u64::try_from(own.as_millis()).unwrap_or(u64::MAX),
                open: self.config.spec.open_window(self.now()),
                reported: self.history.accepted(),
                sent: Some(self.history.sent().unwrap_or_default()),
                era: all.then(|| self.era.known(now)).flatten(),
            },
        })
    }
}

impl Handler<PeerCounts> for Reporter {
    type Result = ();

    fn handle(&mut self, msg: PeerCounts, ctx: &mut Context<Self>) {
        let now = self.config.clock.now();
        self.peers
            .observe(&msg.process, msg.incarnation, msg.time.sent, now);
        let time = Duration::from_millis(msg.time.unix_ms);
        self.time.observe(&msg.process, time, now);
        self.history.merge(msg.time.sent, msg.time.reported);
        if let Some(known) = msg.time.era {
            self.era.observe_peer(known, now);
        }
        let peer = (msg.process, msg.incarnation);
        self.tally.merge(peer, &msg.begun, msg.time.open);
        if self.awaits_peers {
            self.proceed(ctx);
        }
    }
}

impl Handler<GatewaysChanged> for Reporter {
    type Result = ();

    fn handle(&mut self, GatewaysChanged(update): GatewaysChanged, _: &mut Context<Self>) {
        self.peers.apply(update, self.config.clock.now());
    }
}
