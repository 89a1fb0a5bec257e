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
    store::{Faults, Item, Memory},
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

/// Guards against a window that is counted by a wall clock that has jumped.
#[test]
fn time_is_the_median() {
    let clock = Manual::new();
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
    insta::assert_debug_snapshot!(seen);
}

/// Follows the paused time; its wall clock starts at a fixed time.
#[derive(Debug)]
struct Fixed(Instant);

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
    duties: FakeDuties,
    store: Memory,
}

impl Gateway {
    fn start(name: &str, store: &Memory) -> Self {
        let (duties, store) = (FakeDuties::default(), store.client());
        let address = duties.clone().start();
        let clock: crate::clock::Shared = Arc::new(Fixed(System.now()));
        let reporter = spawn(Config {
            process: process(name),
            incarnation: Incarnation::from_bytes([name.as_bytes()[1]; 8]),
            spec: SPEC,
            get_term: address.clone().recipient(),
            perform: address.recipient(),
            store: Rc::new(store.clone()),
            root: "/duties".parse().expect("a path"),
            monotonic: System::shared(),
            clock,
        });
        let items = ["g0", "g1", "g2"].map(|name| Item {
            path: format!("/gateways/{name}").parse().expect("a path"),
            value: b"127.0.0.1:7380".to_vec(),
            created: crate::id::Revision::new(1),
            modified: crate::id::Revision::new(1),
        });
        reporter.do_send(GatewaysChanged(Update::Snapshot(items.into())));
        Self {
            reporter,
            duties,
            store,
        }
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
            incarnation: Incarnation::from_bytes([own.as_bytes()[1]; 8]),
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
        let store = Memory::new(System::shared());
        let gateways = ["g0", "g1", "g2"].map(|name| Gateway::start(name, &store));
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
        run_links(&links[..2], 10).await;
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
        let store = Memory::new(System::shared());
        let gateways = ["g0", "g1"].map(|name| Gateway::start(name, &store));
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
