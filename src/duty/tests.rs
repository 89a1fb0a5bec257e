use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use actix::{Addr, AsyncContext, Context, Handler, Message, WrapFuture};
use futures_util::{FutureExt, future::LocalBoxFuture};
use rand::{SeedableRng, rngs::StdRng};
use tokio::time;

use super::*;
use crate::{
    authority::{self, Timing},
    clock::{Clock, Manual, System},
    directory::Update,
    error::Kind,
    id::{Fence, Incarnation, Process, Window},
    peers::GatewaysChanged,
    store::{Era, Faults, Item, Memory},
    testing::with_paused_time,
};

const LEASE: Duration = Duration::from_secs(3);

/// Guards against a token that does not increase over a restore of the store, or that is no exact JSON
/// number.
#[test]
fn tokens_increase_over_eras() {
    let numbers = [(0, 7), (0, 9_000), (1, 3), (2, (1 << 40) - 1), (8_191, 1)];
    let tokens = numbers.map(|(era, fence)| Token::new(Era::new(era), Fence::new(fence)));
    let tokens = tokens.map(|token| token.expect("in range").get());
    assert!(tokens.is_sorted(), "{tokens:?}");
    let beyond = [(8_192, 1), (0, 1 << 40)]
        .map(|(era, fence)| Token::new(Era::new(era), Fence::new(fence)).map_err(|e| e.kind()));
    insta::assert_debug_snapshot!((tokens, beyond));
}

/// Guards against a process that acts while an earlier holder may, right after its start, after a
/// restore of the store or after a term of its own, and against one that acts again after a refusal of
/// its token.
#[test]
fn holder_waits_until_no_other_can_act() {
    let clock = Manual::new();
    let (old, new) = (token(5), token(9));
    let mut seen = Vec::new();
    let mut schedule = Schedule::new(LEASE, false, clock.now());
    let mut note = |what: &str, schedule: &Schedule, token: Token| {
        let acts = schedule.may_act(token, clock.now());
        seen.push(format!("{:?} {what}: {acts}", clock.elapsed()));
    };
    note("start", &schedule, old);
    clock.advance(LEASE);
    note("a lease later", &schedule, old);
    schedule.record_call(old, clock.now());
    note("same term after a call", &schedule, old);
    clock.advance(Duration::from_secs(2));
    note("next term after 2 s", &schedule, new);
    clock.advance(Duration::from_secs(1));
    note("next term after 3 s", &schedule, new);
    schedule.observe_era(Some(Era::new(1)), clock.now());
    note("restored", &schedule, new);
    clock.advance(LEASE);
    note("a lease after the restore", &schedule, new);
    schedule.record_superseded(new);
    note("superseded", &schedule, new);
    note("higher token", &schedule, token(10));
    let checked = Schedule::new(LEASE, true, clock.now());
    note("tokens are checked", &checked, new);
    insta::assert_debug_snapshot!(seen);
}

fn token(fence: u64) -> Token {
    Token::new(Era::default(), Fence::new(fence)).expect("in range")
}

type Calls = Rc<RefCell<Vec<(time::Instant, usize, Token)>>>;

/// An API that records when calls were sent, with a delay before that.
#[derive(Debug)]
struct Recorder {
    holder: usize,
    delay: Duration,
    calls: Calls,
}

impl Api for Recorder {
    fn send(&self, token: Token, _: &Call) -> LocalBoxFuture<'static, Answer> {
        let (holder, delay, calls) = (self.holder, self.delay, Rc::clone(&self.calls));
        async move {
            time::sleep(delay).await;
            calls
                .borrow_mut()
                .push((time::Instant::now(), holder, token));
            Answer::Accepted
        }
        .boxed_local()
    }
}

/// Pauses an actor for a time, like a stopped process.
#[derive(Message)]
#[rtype(result = "()")]
struct Pause(Duration);

impl Handler<Pause> for Duties {
    type Result = ();

    fn handle(&mut self, msg: Pause, ctx: &mut Context<Self>) {
        ctx.wait(time::sleep(msg.0).into_actor(self));
    }
}

struct Rig {
    store: Memory,
    calls: Calls,
    duties: Vec<Addr<Duties>>,
    clients: Vec<Memory>,
}

impl Rig {
    /// Starts processes whose calls take `delay` until they are sent.
    fn start(count: usize, delay: Duration) -> Self {
        let store = Memory::new(System::shared());
        let calls = Calls::default();
        let clients: Vec<Memory> = (0..count).map(|_| store.client()).collect();
        let duties = clients.iter().enumerate().map(|(holder, client)| {
            let process: Process = format!("g{holder}").parse().expect("a valid name");
            let shared = Rc::new(client.clone());
            let authority = authority::Holder::spawn(authority::Config {
                process: process.clone(),
                incarnation: Incarnation::random(&mut StdRng::seed_from_u64(holder as u64)),
                store: Rc::clone(&shared) as Rc<dyn crate::store::Store>,
                clock: System::shared(),
                timing: Timing::new(LEASE).with_poll_interval(LEASE),
            });
            let api = Recorder {
                holder,
                delay,
                calls: Rc::clone(&calls),
            };
            let duties = spawn(Config {
                process,
                authority: authority.address,
                group: "duties".parse().expect("a valid name"),
                api: Box::new(api),
                clock: System::shared(),
                lease: LEASE,
                tokens_checked: false,
                call_interval: Duration::from_millis(20),
                era: crate::store::Store::era(&*shared),
            });
            let items = (0..count).map(|number| Item {
                path: format!("/gateways/g{number}").parse().expect("a path"),
                value: b"127.0.0.1:7380".to_vec(),
                created: crate::id::Revision::new(1),
                modified: crate::id::Revision::new(1),
            });
            duties.do_send(GatewaysChanged(Update::Snapshot(items.collect())));
            duties
        });
        let duties = duties.collect();
        Self {
            store,
            calls,
            duties,
            clients,
        }
    }

    /// Lets all processes call as often as they may, each in a task of its own.
    fn call_steadily(&self) {
        for duties in &self.duties {
            let duties = duties.clone();
            tokio::task::spawn_local(async move {
                loop {
                    if let Ok(Some(Term { token })) = duties.send(GetTerm).await {
                        let call = Call::Usage {
                            window: Window::new(1),
                            counts: Arc::new(BTreeMap::new()),
                        };
                        let _ = duties.send(Perform { token, call }).await;
                    }
                    time::sleep(Duration::from_millis(100)).await;
                }
            });
        }
    }

    fn last_holder(&self) -> Option<usize> {
        self.calls.borrow().last().map(|(_, holder, _)| *holder)
    }

    /// Checks that tokens only increase, and that no holder acts before and after another within the
    /// time to live of a lease. Returns the holders in order.
    fn check(&self) -> Vec<usize> {
        let calls = self.calls.borrow();
        let mut last: BTreeMap<usize, (time::Instant, Token)> = BTreeMap::new();
        let mut holders = Vec::new();
        let mut highest = None;
        for (at, holder, token) in calls.iter() {
            assert!(highest <= Some(*token), "{token} after {highest:?}");
            highest = Some(*token);
            if let Some((before, old)) = last.insert(*holder, (*at, *token))
                && old != *token
            {
                assert!(*at >= before + LEASE, "{holder} acted in turn with another");
            }
            if holders.last() != Some(holder) {
                holders.push(*holder);
            }
        }
        holders
    }
}

/// Guards against two holders at a time and against a lower token after a higher one, if the holder is
/// suspended, if it loses the store, and if the store is restored from an older copy.
#[test]
fn one_holder_acts_at_a_time() {
    with_paused_time(async {
        let rig = Rig::start(6, Duration::ZERO);
        let backup = rig.store.back_up();
        rig.call_steadily();
        time::sleep(Duration::from_secs(15)).await;
        let mut seen = Vec::new();
        let first = rig.last_holder().expect("a holder");
        rig.duties[first].do_send(Pause(Duration::from_secs(9)));
        rig.clients[first].set_faults(down());
        time::sleep(Duration::from_secs(15)).await;
        rig.clients[first].set_faults(Faults::default());
        let second = rig.last_holder().expect("a holder");
        seen.push(("suspended", first != second));
        rig.clients[second].set_faults(down());
        time::sleep(Duration::from_secs(15)).await;
        let third = rig.last_holder().expect("a holder");
        seen.push(("without the store", second != third));
        rig.clients[second].set_faults(Faults::default());
        let before = rig.calls.borrow().len();
        rig.store.restore(backup);
        time::sleep(Duration::from_secs(15)).await;
        seen.push(("restored", rig.calls.borrow().len() > before + 10));
        let changes = rig.check().len();
        assert!((3..=5).contains(&changes), "{changes} holders in turn");
        // Candidates poll once per lease, and the holder renews its lease three times in it.
        let start = rig.store.counts();
        time::sleep(Duration::from_mins(1)).await;
        let end = rig.store.counts();
        let calls = (end.reads - start.reads, end.writes - start.writes);
        assert!(
            calls.0 <= 110 && calls.1 <= 70,
            "too many calls in a minute: {calls:?}"
        );
        insta::assert_debug_snapshot!(seen);
    });
}

/// Guards against a call that is sent after its term has ended, because it waited for a connection.
#[test]
fn waiting_call_ends_with_its_term() {
    with_paused_time(async {
        let rig = Rig::start(1, Duration::from_millis(1_900));
        let mut found = None;
        while found.is_none() {
            time::sleep(Duration::from_millis(50)).await;
            found = rig.duties[0].send(GetTerm).await.expect("it runs");
        }
        let Term { token } = found.expect("a term");
        rig.clients[0].set_faults(down());
        time::sleep(Duration::from_millis(900)).await;
        let call = Call::Usage {
            window: Window::new(1),
            counts: Arc::new(BTreeMap::new()),
        };
        let result = rig.duties[0].send(Perform { token, call }).await;
        let result = result.expect("it runs").map_err(|error| error.kind());
        assert_eq!(result, Err(Kind::StaleFence));
        assert!(rig.calls.borrow().is_empty());
    });
}

fn down() -> Faults {
    Faults {
        down: true,
        ..Faults::default()
    }
}
