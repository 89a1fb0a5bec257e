mod random;

use std::{cell::Cell, rc::Rc, time::Duration};

use actix::Addr;
use futures_util::{FutureExt, future::join_all};
use tokio::time;

use super::*;
use crate::{
    clock::System,
    error::{Error, Executed, Kind},
    id::{Attempt, Incarnation, Request},
    store::{
        self, Commit, Events, Faults, Lease, Memory, Path, Position, Range, Reader, Store, Txn,
    },
    wire::Recorded,
};

const DOWN: Faults = Faults {
    down: true,
    lose_answers: 0,
    delay: Duration::ZERO,
};

fn losing(lose_answers: u32) -> Faults {
    Faults {
        lose_answers,
        ..Faults::default()
    }
}

fn slow(delay: Duration) -> Faults {
    Faults {
        delay,
        ..Faults::default()
    }
}

/// Connection of an agent to the store. While it is frozen, no call starts and no response arrives,
/// as in a paused process.
#[derive(Clone, Debug)]
struct StoreLink {
    memory: Memory,
    frozen: Rc<Cell<bool>>,
    /// If not zero, transactions take effect after this delay and their responses are lost at once.
    write_delay: Rc<Cell<Duration>>,
}

impl StoreLink {
    fn call<'a, T: 'a>(&'a self, call: store::Future<'a, T>) -> store::Future<'a, T> {
        async {
            self.wait_while_frozen().await;
            let result = call.await;
            self.wait_while_frozen().await;
            result
        }
        .boxed_local()
    }

    async fn wait_while_frozen(&self) {
        while self.frozen.get() {
            time::sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Reader for StoreLink {
    fn get(&self, path: Path) -> store::Future<'_, Range> {
        self.call(self.memory.get(path))
    }

    fn range(&self, prefix: Path) -> store::Future<'_, Range> {
        self.call(self.memory.range(prefix))
    }

    fn watch(&self, prefix: Path, from: Position) -> store::Future<'_, Events> {
        self.call(self.memory.watch(prefix, from))
    }
}

impl Store for StoreLink {
    fn commit(&self, txn: Txn) -> store::Future<'_, Commit> {
        let write_delay = self.write_delay.get();
        if write_delay.is_zero() {
            return self.call(self.memory.commit(txn));
        }
        let memory = self.memory.clone();
        actix::spawn(async move {
            time::sleep(write_delay).await;
            drop(memory.commit(txn).await);
        });
        let error = Error::new(Kind::StoreUnavailable, "the answer was lost");
        async { Err(error.with_executed(Executed::Unknown)) }.boxed_local()
    }

    fn grant(&self, period: Duration) -> store::Future<'_, Lease> {
        self.call(self.memory.grant(period))
    }

    fn renew(&self, lease: Lease) -> store::Future<'_, bool> {
        self.call(self.memory.renew(lease))
    }

    fn revoke(&self, lease: Lease) -> store::Future<'_, ()> {
        self.call(self.memory.revoke(lease))
    }
}

/// An incarnation of an agent.
#[derive(Clone)]
struct Agent {
    ledger: Addr<Ledger>,
    link: StoreLink,
}

impl Agent {
    fn start(store: &Memory, endpoint: usize, run: u64) -> Self {
        let link = StoreLink {
            memory: store.client(),
            frozen: Rc::default(),
            write_delay: Rc::default(),
        };
        let ledger = spawn(Config {
            store: Rc::new(link.clone()),
            clock: System::shared(),
            incarnation: Incarnation::from_bytes(run.to_be_bytes()),
            endpoint: format!("transfer-{endpoint}").parse().expect("valid name"),
            seed: run,
        })
        .expect("valid names");
        Self { ledger, link }
    }

    async fn claim(&self, key: u32, attempt: u32) -> String {
        show(&self.ledger.send(claim(key, attempt)).await.expect("runs"))
    }

    async fn record(&self, key: u32, attempt: u32, body: &[u8]) {
        let record = Record {
            claim: claim(key, attempt),
            outcome: outcome(body),
        };
        let sent = self.ledger.send(record).await;
        sent.expect("runs").expect("holds the claim");
    }

    async fn lookup(&self, key: u32) -> Recorded {
        let lookup = claim(key, 0).lookup();
        self.ledger.send(lookup).await.expect("runs")
    }
}

fn outcome(body: &[u8]) -> Outcome {
    Outcome {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: body.to_owned(),
    }
}

fn claim(key: u32, attempt: u32) -> Claim {
    let request = Request::from_bytes(u128::from(attempt).to_be_bytes());
    Claim {
        caller: "javanica".parse().expect("valid name"),
        service: "wages".parse().expect("valid name"),
        operation: "transfer".parse().expect("valid name"),
        key: format!("key-{key}").parse().expect("valid key"),
        attempt: Attempt::first(request),
        digest: Digest::of(b"pay"),
    }
}

fn show(result: &Result<Claimed>) -> String {
    match result {
        Ok(Claimed::Fresh) => "fresh".to_owned(),
        Ok(Claimed::Ended { status, body, .. }) => {
            format!("ended {status} {}", String::from_utf8_lossy(body))
        }
        Err(error) => format!("{} executed={}", error.kind(), error.executed()),
    }
}

async fn pause(millis: u64) {
    time::sleep(Duration::from_millis(millis)).await;
}

async fn agents() -> (Memory, Agent, Agent) {
    time::pause();
    let store = Memory::new(System::shared());
    let (one, two) = (Agent::start(&store, 1, 1), Agent::start(&store, 2, 2));
    pause(10).await;
    (store, one, two)
}

/// Guards against a second execution of a key: at the same agent, at two agents at once, with
/// another body, after the outcome is known, and after the owner is gone.
#[actix::test]
async fn keys_run_at_most_once() {
    let (store, one, two) = agents().await;
    let (first, second) = tokio::join!(one.claim(1, 1), two.claim(1, 2));
    let mut seen = vec![first, second, one.claim(1, 3).await];
    let mut other = claim(1, 4);
    other.digest = Digest::of(b"pay twice");
    seen.push(show(&two.ledger.send(other).await.expect("runs")));
    one.record(1, 1, b"paid").await;
    seen.push(one.claim(1, 5).await);
    pause(100).await;
    seen.push(two.claim(1, 6).await);
    seen.push(one.claim(2, 7).await);
    one.ledger.do_send(Stop);
    seen.push(two.claim(2, 8).await);
    pause(9_000).await;
    seen.push(two.claim(2, 9).await);
    let successor = Agent::start(&store, 1, 3);
    pause(10).await;
    seen.push(successor.claim(2, 10).await);
    insta::assert_debug_snapshot!(seen, @r#"
    [
        "fresh",
        "in-progress executed=unknown",
        "in-progress executed=unknown",
        "key-reused executed=no",
        "ended 200 paid",
        "ended 200 paid",
        "fresh",
        "in-progress executed=unknown",
        "unsettled executed=unknown",
        "unsettled executed=unknown",
    ]
    "#);
}

/// Guards against an unconfirmed claim that is treated as confirmed, or that blocks its key for
/// good, after the store was down or slow or lost one or two responses.
#[actix::test]
async fn store_faults_leave_no_unconfirmed_claim() {
    let (_store, one, two) = agents().await;
    let mut seen = Vec::new();
    for (key, faults) in [
        (1, DOWN),
        (2, losing(1)),
        (3, losing(2)),
        (4, slow(Duration::from_millis(300))),
        (5, slow(Duration::from_secs(3))),
    ] {
        // Obtains the lease of the keys first, so that the faults affect the claim itself.
        one.claim(50 + key, 50 + key).await;
        one.link.memory.set_faults(faults);
        let first = one.claim(key, key).await;
        one.link.memory.set_faults(Faults::default());
        pause(5_000).await;
        seen.push(format!("{first}, then {}", two.claim(key, 10 + key).await));
    }
    insta::assert_debug_snapshot!(seen, @r#"
    [
        "store-unavailable executed=no, then fresh",
        "fresh, then in-progress executed=unknown",
        "fresh, then in-progress executed=unknown",
        "fresh, then in-progress executed=unknown",
        "store-unavailable executed=no, then fresh",
    ]
    "#);
}

/// Guards against outcomes that are lost in a store outage, are stored beyond the size limit, or
/// block new claims after the outage.
#[actix::test]
async fn outcomes_survive_an_outage() {
    let (_store, one, two) = agents().await;
    let mut seen = vec![one.claim(1, 1).await, one.claim(2, 2).await];
    one.link.memory.set_faults(DOWN);
    one.record(1, 1, b"paid").await;
    one.record(2, 2, &vec![b'x'; STORED_BODY_MAX_BYTES + 1])
        .await;
    seen.push(one.claim(1, 3).await);
    seen.push(one.claim(3, 4).await);
    pause(20_000).await;
    one.link.memory.set_faults(losing(1));
    pause(20_000).await;
    seen.push(two.claim(1, 5).await);
    seen.push(two.claim(2, 6).await);
    seen.push(one.claim(3, 7).await);
    insta::assert_debug_snapshot!(seen, @r#"
    [
        "fresh",
        "fresh",
        "ended 200 paid",
        "store-unavailable executed=no",
        "ended 200 paid",
        "ended 200 {\"sha256\":\"1abe08ebecf1c18cab71f6fe28aaddf20268f85bad78bb9a72f88ca47c874662\",\"length\":65537}",
        "fresh",
    ]
    "#);
}

/// Guards against a released claim that blocks its key, and against an operation that starts after
/// its agent was frozen for longer than the TTL of its presence lease.
#[actix::test]
async fn released_and_frozen_claims_do_not_run() {
    let (_store, one, two) = agents().await;
    let mut seen = vec![one.claim(1, 1).await];
    let released = one.ledger.send(Release(claim(1, 1))).await;
    released.expect("runs").expect("holds the claim");
    pause(50).await;
    seen.push(two.claim(1, 2).await);
    // The claim takes effect 25 ms after it is sent, and its response is due 20 ms later.
    let delay = Duration::from_millis(40);
    one.link.memory.set_faults(slow(delay));
    let frozen = async {
        pause(35).await;
        one.link.frozen.set(true);
        pause(10_000).await;
        let during = two.claim(2, 4).await;
        one.link.frozen.set(false);
        during
    };
    let (after, during) = tokio::join!(one.claim(2, 3), frozen);
    seen.extend([during, after]);
    insta::assert_debug_snapshot!(seen, @r#"
    [
        "fresh",
        "fresh",
        "unsettled executed=unknown",
        "store-unavailable executed=no",
    ]
    "#);
}

/// Guards against a claim that takes effect in the store after it was read back as absent and
/// reported as not executed, and then blocks its key.
#[actix::test]
async fn late_claim_is_removed() {
    let (_store, one, two) = agents().await;
    let mut seen = vec![one.claim(1, 1).await];
    one.link.write_delay.set(Duration::from_secs(3));
    seen.push(one.claim(2, 2).await);
    one.link.write_delay.set(Duration::ZERO);
    pause(4_000).await;
    seen.push(two.claim(2, 3).await);
    pause(4_000).await;
    seen.push(two.claim(2, 4).await);
    insta::assert_debug_snapshot!(seen, @r#"
    [
        "fresh",
        "store-unavailable executed=no",
        "in-progress executed=unknown",
        "fresh",
    ]
    "#);
}

/// Guards against one transaction per claim. 600 concurrent claims need only a few transactions,
/// and a key that exists already does not fail the other claims of its batch.
#[actix::test]
async fn claims_share_transactions() {
    let (store, one, two) = agents().await;
    two.claim(7, 1_000).await;
    let before = store.counts().writes;
    let start = time::Instant::now();
    let claims = (0..600).map(|key| one.claim(key, key));
    let fresh = join_all(claims)
        .await
        .iter()
        .filter(|seen| *seen == "fresh")
        .count();
    let writes = store.counts().writes - before;
    let spent = u64::try_from(start.elapsed().as_millis()).expect("short");
    insta::assert_compact_debug_snapshot!((fresh, writes, writes <= spent / 5 + 1), @"(599, 12, true)");
}
