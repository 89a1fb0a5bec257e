use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use actix::{Actor, Addr, Context, Handler, MessageResult};
use tokio::time as timer;

use super::*;
use crate::{
    clock::{Clock, Manual, System},
    directory::Update,
    duty::{Answer, Call, GetTerm, Perform, Term, Token},
    id::{Caller, Incarnation, Process, Window},
    peers::GatewaysChanged,
    store::{Faults, Item, Memory, Reader, Store, Txn, Write},
    testing::with_paused_time,
    wire::Begun,
};

const SPEC: Spec = Spec {
    window: Duration::from_secs(5),
    lateness: Duration::from_secs(10),
};

fn process(name: &str) -> Process {
    name.parse().expect("a valid name")
}

fn customer(name: &str) -> Caller {
    name.parse().expect("a valid name")
}

fn begun(window: u64, name: &str, count: u64) -> Begun {
    Begun {
        window: Window::new(window),
        customer: customer(name),
        count,
    }
}

/// Guards against counts that are added twice when they are told again, and against those of a run of a
/// process that are lost when it starts anew.
#[test]
fn counts_are_merged_by_run() {
    let runs = [1, 2].map(|number| Incarnation::from_bytes(u64::to_be_bytes(number)));
    let mut tally = Tally::default();
    for _ in 0..3 {
        tally.count(Window::new(7), &customer("fida11"));
    }
    let changes = (tally.take_changes(), tally.take_changes());
    let peer = |run: usize| (process("g1"), runs[run]);
    tally.merge(peer(0), &[begun(7, "hule930", 5)], Window::new(7));
    tally.merge(peer(0), &[begun(7, "hule930", 4)], Window::new(7));
    tally.merge(
        peer(1),
        &[begun(7, "hule930", 2), begun(8, "fida11", 1)],
        Window::new(7),
    );
    let open = tally.has_reported(&process("g1"), Window::new(7));
    tally.merge(peer(1), &[], Window::new(8));
    let closed = tally.has_reported(&process("g1"), Window::new(7));
    let report = tally.report(Window::new(7));
    tally.prune(Window::new(8));
    insta::assert_debug_snapshot!((changes, report, open, closed, tally.report(Window::new(7))));
}

/// Guards against a window that is counted by a wall clock that has jumped, and against a time before the start
/// of the process that is taken for its start.
#[test]
fn time_is_the_median() {
    let clock = Manual::new();
    let before = clock.now();
    clock.advance(Duration::from_secs(2));
    let mut time = TrueTime::new(UNIX_EPOCH + Duration::from_millis(102_400), clock.now());
    let mut seen = vec![time.estimate(clock.now())];
    clock.advance(Duration::from_secs(1));
    for (peer, millis) in [
        ("g1", 101_000),
        ("g2", 101_003),
        ("g3", 103_400),
        ("g4", 101_001),
    ] {
        time.observe(&process(peer), Duration::from_millis(millis), clock.now());
        seen.push(time.estimate(clock.now()));
    }
    clock.advance(Duration::from_mins(1));
    seen.push(time.estimate(clock.now()));
    seen.push(time.estimate(before));
    insta::assert_debug_snapshot!(seen);
}

/// Follows the paused time; its wall clock starts at a fixed time.
#[derive(Debug)]
struct Fixed(Instant);

impl Fixed {
    fn shared() -> crate::clock::Shared {
        Arc::new(Self(System.now()))
    }
}

impl Clock for Fixed {
    fn now(&self) -> Instant {
        System.now()
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + Duration::from_secs(1_000) + (self.now() - self.0)
    }

    fn since_boot(&self) -> Duration {
        System.since_boot()
    }
}

/// A store that has been in use, and in its first era, since long before the gateways start.
async fn used_store() -> Memory {
    store_with_era(0, br#"{"since_ms":0}"#).await
}

/// A store in its first era with the record of an era.
async fn store_with_era(number: u64, value: &[u8]) -> Memory {
    let store = Memory::new(System::shared());
    let path = format!("/duties/eras/{number}");
    let record = Write::Put(path.parse().expect("a path"), value.to_vec(), None);
    let txn = Txn {
        compares: Vec::new(),
        writes: vec![record],
    };
    store.commit(txn).await.expect("it is reachable");
    store
}

/// Duties that hold a term while the token is set, and record the reports.
#[derive(Clone, Default)]
struct FakeDuties {
    token: Rc<RefCell<Option<Token>>>,
    answers: Rc<RefCell<Vec<Answer>>>,
    reports: Rc<RefCell<Vec<String>>>,
}

impl Actor for FakeDuties {
    type Context = Context<Self>;
}

impl Handler<GetTerm> for FakeDuties {
    type Result = Option<Term>;

    fn handle(&mut self, _: GetTerm, _: &mut Context<Self>) -> Option<Term> {
        self.token.borrow().map(|token| Term { token })
    }
}

impl Handler<Perform> for FakeDuties {
    type Result = MessageResult<Perform>;

    fn handle(&mut self, msg: Perform, _: &mut Context<Self>) -> MessageResult<Perform> {
        let Call::Usage { window, counts } = msg.call;
        let counts: Vec<String> = counts
            .iter()
            .map(|(name, n)| format!("{name}={n}"))
            .collect();
        let answer = self.answers.borrow_mut().pop().unwrap_or(Answer::Accepted);
        let report = format!("{window} {} {answer:?}", counts.join(","));
        self.reports.borrow_mut().push(report);
        MessageResult(Ok(answer))
    }
}

struct Gateway {
    reporter: Addr<Reporter>,
    incarnation: Incarnation,
    duties: FakeDuties,
    store: Memory,
}

impl Gateway {
    fn start(name: &str, store: &Memory, clock: &crate::clock::Shared) -> Self {
        let gateway = Self::start_run(name, 0, store, clock);
        gateway.register(&["g0", "g1", "g2"]);
        gateway
    }

    /// Starts a run of a gateway that knows of no registered one.
    fn start_run(name: &str, run: u8, store: &Memory, clock: &crate::clock::Shared) -> Self {
        let incarnation = Incarnation::from_bytes([name.as_bytes()[1] + 10 * run; 8]);
        let (duties, store) = (FakeDuties::default(), store.client());
        let address = duties.clone().start();
        let reporter = spawn(Config {
            process: process(name),
            incarnation,
            spec: SPEC,
            get_term: address.clone().recipient(),
            perform: address.recipient(),
            store: Rc::new(store.clone()),
            root: "/duties".parse().expect("a path"),
            monotonic: System::shared(),
            clock: Arc::clone(clock),
        });
        Self {
            reporter,
            incarnation,
            duties,
            store,
        }
    }

    /// Replaces the list of registered gateways.
    fn register(&self, names: &[&str]) {
        let items = names.iter().map(|name| Item {
            path: format!("/gateways/{name}").parse().expect("a path"),
            value: b"127.0.0.1:7380".to_vec(),
            created: crate::id::Revision::new(1),
            modified: crate::id::Revision::new(1),
        });
        let update = Update::Snapshot(items.collect());
        self.reporter.do_send(GatewaysChanged(update));
    }

    fn hold(&self, token: Option<u64>) {
        let token = token.map(|number| number.to_string().parse().expect("a token"));
        self.duties.token.replace(token);
    }

    fn count(&self, name: &str, requests: usize) {
        for _ in 0..requests {
            self.reporter.do_send(RequestBegun {
                customer: customer(name),
                at: System.now(),
            });
        }
    }

    async fn tell(&self, own: &str, other: &Self) {
        let counts = self
            .reporter
            .send(TakeCounts { all: true })
            .await
            .expect("it runs");
        other.reporter.do_send(PeerCounts {
            process: process(own),
            incarnation: self.incarnation,
            begun: counts.all.expect("asked for"),
            time: counts.time,
        });
    }

    fn reports(&self) -> BTreeMap<usize, String> {
        self.duties
            .reports
            .borrow()
            .iter()
            .cloned()
            .enumerate()
            .collect()
    }
}

/// Lets gateways tell each other their counts for a time.
async fn run_links(gateways: &[(&str, &Gateway)], seconds: u64) {
    for _ in 0..seconds * 2 {
        for (own, from) in gateways {
            for (other, to) in gateways {
                if own != other {
                    from.tell(own, to).await;
                }
            }
        }
        timer::sleep(Duration::from_millis(500)).await;
    }
}

/// Guards against a report without the counts of a gateway that has ended, against one that is missing
/// or late because that gateway is silent, and against two contents for one window when the holder
/// changes after a call without an answer.
#[test]
fn next_holder_sends_the_same_report() {
    with_paused_time(async {
        let (store, clock) = (used_store().await, Fixed::shared());
        let gateways = ["g0", "g1", "g2"].map(|name| Gateway::start(name, &store, &clock));
        let [first, second, killed] = &gateways;
        let links = [("g0", first), ("g1", second), ("g2", killed)];
        killed.count("hule930", 3);
        first.count("hule930", 1);
        first.count("fida11", 2);
        first.hold(Some(4));
        run_links(&links, 4).await;
        // The killed gateway tells nothing from here on.
        first
            .duties
            .answers
            .replace(vec![Answer::Unknown("lost".to_owned()); 100]);
        second.count("fida11", 1);
        run_links(&links[..2], 11).await;
        first.hold(None);
        second.hold(Some(9));
        run_links(&links[..2], 10).await;
        insta::assert_debug_snapshot!((first.reports(), second.reports()));
    });
}

/// Guards against lost counts of a gateway that reaches the store but not the holder, and against a
/// report that is sent without being fixed in the store.
#[test]
fn unlinked_gateway_reports_over_the_store() {
    with_paused_time(async {
        let (store, clock) = (Memory::new(System::shared()), Fixed::shared());
        let gateways = ["g0", "g1"].map(|name| Gateway::start(name, &store, &clock));
        let [holder, unlinked] = &gateways;
        holder.count("fida11", 2);
        unlinked.count("fida11", 7);
        timer::sleep(Duration::from_secs(8)).await;
        holder.hold(Some(4));
        let down = Faults {
            down: true,
            ..Faults::default()
        };
        holder.store.set_faults(down);
        timer::sleep(Duration::from_secs(4)).await;
        assert!(holder.reports().is_empty());
        holder.store.set_faults(Faults::default());
        timer::sleep(Duration::from_secs(6)).await;
        insta::assert_debug_snapshot!(holder.reports());
    });
}

/// What becomes of the first holder after its call for a window, while the store is restored from a copy that was
/// taken before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Former {
    /// It becomes the holder again.
    HoldsAgain,
    /// Another gateway, with which it is linked, becomes the holder.
    Lives,
    /// The same, and it can't reach the store any more.
    LosesStore,
    /// Another gateway, with which it is not linked any more, becomes the holder.
    LosesLinks,
    /// It is killed, and a gateway with which it was linked becomes the holder.
    IsKilled,
    /// It is killed, and a gateway becomes the holder that has started since.
    IsReplaced,
}

/// Reports a window, takes the answer of the API away, restores the store, counts further requests of the window,
/// and holds a second term. Returns the reports of each gateway, and whether the window was reported with
/// different counts.
async fn report_across_a_restore(former: Former, first_answer: Option<Answer>) -> String {
    const NAMES: [&str; 3] = ["g0", "g1", "g2"];
    let (store, clock) = (used_store().await, Fixed::shared());
    let mut gateways = NAMES.map(|name| Gateway::start(name, &store, &clock));
    gateways[0].count("hule930", 3);
    gateways[1].count("fida11", 2);
    gateways[0].hold(Some(4));
    let late = System.now();
    let link = async |gateways: &[Gateway; 3], linked: &[usize], seconds| {
        let linked = linked
            .iter()
            .map(|index| (NAMES[*index], &gateways[*index]));
        run_links(&linked.collect::<Vec<_>>(), seconds).await;
    };
    link(&gateways, &[0, 1, 2], 5).await;
    let copy = store.back_up();
    let answers = first_answer.into_iter().cycle().take(100);
    gateways[0].duties.answers.replace(answers.collect());
    link(&gateways, &[0, 1, 2], 4).await;
    gateways[0].hold(None);
    gateways[0].duties.answers.take();
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    if !matches!(former, Former::HoldsAgain | Former::Lives) {
        gateways[0].store.set_faults(down);
    }
    if former == Former::IsReplaced {
        gateways[2].store.set_faults(down);
        gateways[2] = Gateway::start("g2", &store, &clock);
    }
    store.restore(copy);
    let begun = RequestBegun {
        customer: customer("fida11"),
        at: late,
    };
    gateways[1].reporter.do_send(begun);
    let (holder, linked): (usize, &[usize]) = match former {
        Former::HoldsAgain => (0, &[0, 1, 2]),
        Former::Lives | Former::LosesStore => (1, &[0, 1, 2]),
        Former::LosesLinks | Former::IsKilled => (1, &[1, 2]),
        Former::IsReplaced => (2, &[1, 2]),
    };
    link(&gateways, linked, 3).await;
    gateways[holder].hold(Some(9));
    link(&gateways, linked, 16).await;
    let reports: Vec<String> = gateways
        .iter()
        .flat_map(|gateway| gateway.duties.reports.borrow().clone())
        .filter(|report| report.starts_with("200 "))
        .collect();
    let counts: std::collections::BTreeSet<&str> = reports
        .iter()
        .filter_map(|report| report.split(' ').nth(1))
        .collect();
    let goes_on = gateways[holder]
        .duties
        .reports
        .borrow()
        .iter()
        .any(|report| report.as_str() > "201");
    format!(
        "{former:?}: {} reports with the counts {counts:?}; a later window is reported: {goes_on}",
        reports.len()
    )
}

/// Guards against two reports of one window with different counts, because a restore of the store has removed
/// the content that was fixed, and requests were counted since (ONE).
#[test]
fn window_is_reported_with_one_content_across_a_restore() {
    let unanswered = Answer::Unknown("lost".to_owned());
    let outcomes = with_paused_time(async {
        let mut outcomes = Vec::new();
        for former in [
            Former::HoldsAgain,
            Former::Lives,
            Former::LosesStore,
            Former::LosesLinks,
            Former::IsKilled,
            Former::IsReplaced,
        ] {
            outcomes.push(report_across_a_restore(former, Some(unanswered.clone())).await);
        }
        let answered = report_across_a_restore(Former::Lives, Some(Answer::Accepted)).await;
        outcomes.push(format!("answered, {answered}"));
        outcomes
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against a report that is sent before the linked gateways know of it: if its sender is killed and the
/// store restored, one of them would send another one (ONE).
#[test]
fn report_is_sent_once_linked_gateways_know_of_it() {
    with_paused_time(async {
        let (store, clock) = (Memory::new(System::shared()), Fixed::shared());
        let gateways = ["g0", "g1"].map(|name| Gateway::start(name, &store, &clock));
        let [holder, peer] = &gateways;
        holder.count("fida11", 2);
        holder.hold(Some(4));
        // Digests pass from the peer to the holder only.
        for _ in 0..28 {
            peer.tell("g1", holder).await;
            timer::sleep(Duration::from_millis(500)).await;
        }
        let before = holder.reports();
        run_links(&[("g0", holder), ("g1", peer)], 2).await;
        insta::assert_debug_snapshot!((before, holder.reports()));
    });
}

/// When a gateway that has just started receives answers of the store and digests of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Started {
    /// From the store at once, and never from the peer.
    Unlinked,
    /// From both at once.
    Linked,
    /// From the peer first.
    LinkedFirst,
    /// From both at once, and the store states no era.
    LinkedWithoutEra,
}

/// Guards against missing reports when a gateway that has just started becomes the holder, although a peer knows
/// that the store was not restored since the windows were closed.
#[test]
fn new_holder_relies_on_peers_that_know_the_era() {
    let outcomes = with_paused_time(async {
        let mut outcomes = Vec::new();
        for started in [
            Started::Unlinked,
            Started::Linked,
            Started::LinkedFirst,
            Started::LinkedWithoutEra,
        ] {
            let (store, clock) = (Memory::new(System::shared()), Fixed::shared());
            let peer = Gateway::start("g1", &store, &clock);
            if started != Started::LinkedWithoutEra {
                store.restore(store.back_up());
            }
            timer::sleep(Duration::from_secs(11)).await;
            peer.count("fida11", 2);
            timer::sleep(Duration::from_secs(5)).await;
            // Gateway g0 is registered and does not run. The store of the holder states no era before a restore.
            let store = match started {
                Started::LinkedFirst => Memory::new(System::shared()),
                _ => store,
            };
            let holder = Gateway::start("g2", &store, &clock);
            let links = [("g1", &peer), ("g2", &holder)];
            let linked = match started {
                Started::Unlinked => &links[1..],
                _ => &links,
            };
            run_links(linked, 1).await;
            if started == Started::LinkedFirst {
                store.restore(store.back_up());
            }
            holder.hold(Some(4));
            run_links(linked, 9).await;
            outcomes.push((started, holder.reports()));
        }
        outcomes
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// What happens between the report of a window and the next term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disruption {
    /// All gateways are killed and start again; the store keeps what it has acknowledged.
    Kill,
    /// The store is restored from a copy without the report, and its first term follows.
    Restore,
    /// All gateways are killed, the store is restored, and all start again.
    KillThenRestore,
    /// The store is restored, all gateways are killed, and all start again.
    RestoreThenKill,
    /// As before, but each gateway sees itself alone as registered.
    RestoreThenKillUnlisted,
    /// The store is restored, and the next holder starts again. It sees itself alone as registered, and is not
    /// linked yet with the gateway that knows of the report.
    RestoreThenRestart,
    /// The next holder is not linked with the gateway that sends the report, and does not see it as registered
    /// after the store was restored.
    RestoreBesideUnlinked,
    /// The only gateway is killed, the store is restored, and it starts again.
    SingleKillThenRestore,
    /// The only gateway is killed and starts again.
    SingleKill,
    /// The store is restored beside the only gateway.
    SingleRestore,
}

/// Reports two windows, disrupts the gateways and the store while the next one is open, and lets another gateway
/// report for a while.
async fn report_across_a_disruption(disruption: Disruption) -> String {
    use Disruption::*;
    const NAMES: [&str; 2] = ["g0", "g1"];
    let is_single = matches!(
        disruption,
        SingleKillThenRestore | SingleKill | SingleRestore
    );
    let names = if is_single { &NAMES[..1] } else { &NAMES[..] };
    let (store, clock) = (Memory::new(System::shared()), Fixed::shared());
    let start_all = |run| -> Vec<Gateway> {
        let start = |name: &&str| Gateway::start_run(name, run, &store, &clock);
        let gateways: Vec<Gateway> = names.iter().map(start).collect();
        for gateway in &gateways {
            gateway.register(names);
        }
        gateways
    };
    let run = async |gateways: &[Gateway], seconds| {
        let links: Vec<_> = names.iter().copied().zip(gateways).collect();
        run_links(&links, seconds).await;
    };
    let mut gateways = start_all(0);
    gateways[0].hold(Some(4));
    run(&gateways, 11).await;
    let copy = store.back_up();
    gateways[0].count("hule930", 3);
    if disruption == RestoreBesideUnlinked {
        timer::sleep(Duration::from_secs(13)).await;
    } else {
        run(&gateways, 8).await;
    }
    let mut reports: Vec<String> = gateways[0].reports().into_values().collect();
    gateways[0].hold(None);
    let restores = !matches!(disruption, Kill | SingleKill);
    if restores {
        store.restore(copy);
    }
    if matches!(
        disruption,
        Restore | RestoreThenRestart | RestoreThenKill | RestoreThenKillUnlisted
    ) {
        run(&gateways, 1).await;
    }
    if !restores {
        // A window is closed and not reported.
        run(&gateways, 3).await;
    }
    match disruption {
        Restore | SingleRestore => {}
        RestoreBesideUnlinked => gateways[1].register(&["g1"]),
        RestoreThenRestart => {
            gateways[1] = Gateway::start_run("g1", 1, &store, &clock);
            gateways[1].register(&["g1"]);
        }
        _ => {
            drop(gateways);
            gateways = start_all(1);
        }
    }
    if disruption == RestoreThenKillUnlisted {
        for (name, gateway) in names.iter().zip(&gateways) {
            gateway.register(&[name]);
        }
    }
    let holder = gateways.len() - 1;
    gateways[holder].hold(Some(9));
    if matches!(disruption, RestoreThenRestart | RestoreBesideUnlinked) {
        timer::sleep(Duration::from_secs(12)).await;
    } else {
        run(&gateways, 12).await;
    }
    reports.extend(gateways[holder].reports().into_values());
    let mut counts: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for report in &reports {
        let mut fields = report.split(' ');
        let (window, count) = (fields.next(), fields.next());
        let contents = counts.entry(window.unwrap_or_default()).or_default();
        let count = count.unwrap_or_default();
        if !contents.contains(&count) {
            contents.push(count);
        }
    }
    format!("{disruption:?}: {counts:?}")
}

/// Guards against a window that is reported again without its counts, because the store was restored and no process
/// that runs knows of the first report (ONE), and against windows that are missing without need.
#[test]
fn window_is_reported_once_if_nobody_knows_of_the_report() {
    use Disruption::*;
    let outcomes = with_paused_time(async {
        let mut outcomes = Vec::new();
        for disruption in [
            Kill,
            Restore,
            KillThenRestore,
            RestoreThenKill,
            RestoreThenKillUnlisted,
            RestoreThenRestart,
            RestoreBesideUnlinked,
            SingleKillThenRestore,
            SingleKill,
            SingleRestore,
        ] {
            outcomes.push(report_across_a_disruption(disruption).await);
        }
        outcomes
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against a record of an era that vouches for windows from before it, because of the clock of the process
/// that wrote it or because it belongs to another era.
#[test]
fn record_of_an_era_vouches_for_later_windows() {
    let outcomes = with_paused_time(async {
        let mut outcomes = Vec::new();
        for (era, value) in [
            (0, r#"{"since_ms":990000}"#),
            (0, r#"{"since_ms":1000000}"#),
            (0, r#"{"since_ms":1008000}"#),
            (0, "unreadable"),
            (3, r#"{"since_ms":990000}"#),
        ] {
            let (store, clock) = (store_with_era(era, value.as_bytes()).await, Fixed::shared());
            timer::sleep(Duration::from_secs(16)).await;
            let holder = Gateway::start_run("g0", 0, &store, &clock);
            holder.register(&["g0"]);
            holder.hold(Some(4));
            timer::sleep(Duration::from_secs(12)).await;
            let eras = "/duties/eras".parse().expect("a path");
            let eras = store.range(eras).await.expect("it is reachable").items;
            let eras = eras.into_iter().map(|item| {
                let value = String::from_utf8_lossy(&item.value).into_owned();
                (item.path.to_string(), value)
            });
            let reports = holder.reports().into_values();
            outcomes.push((
                era,
                value,
                reports.collect::<Vec<_>>(),
                eras.collect::<Vec<_>>(),
            ));
        }
        outcomes
    });
    insta::assert_debug_snapshot!(outcomes);
}
