mod random;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use actix::{Actor, AsyncContext, Context, Handler, Message, WrapFuture};
use rand::{SeedableRng, rngs::StdRng};
use tokio::time;

use super::*;
use crate::{
    clock::{Clock, Manual, System},
    id::{Fence, Group, Incarnation},
    store::{Faults, Lease, Memory},
    testing::with_paused_time,
};

/// Upper bound of the time until a free group has a holder: time to live of the lease, poll
/// interval and random delay, with a margin.
const TAKEOVER_MAX: Duration = Duration::from_secs(15);

/// Pauses an actor for a time, like a stopped process.
#[derive(Message)]
#[rtype(result = "()")]
struct Pause(Duration);

impl Handler<Pause> for Holder {
    type Result = ();

    fn handle(&mut self, msg: Pause, ctx: &mut Context<Self>) {
        ctx.wait(time::sleep(msg.0).into_actor(self));
    }
}

/// Subscriber that records the changes it is sent.
#[derive(Default)]
struct ChangeRecorder(Vec<Changed>);

impl Actor for ChangeRecorder {
    type Context = Context<Self>;
}

impl Handler<Changed> for ChangeRecorder {
    type Result = ();

    fn handle(&mut self, msg: Changed, _ctx: &mut Context<Self>) {
        self.0.push(msg);
    }
}

#[derive(Message)]
#[rtype(result = "Vec<Changed>")]
struct Recorded;

impl Handler<Recorded> for ChangeRecorder {
    type Result = Vec<Changed>;

    fn handle(&mut self, _msg: Recorded, _ctx: &mut Context<Self>) -> Vec<Changed> {
        self.0.clone()
    }
}

fn groups(number: u64) -> SetGroups {
    let name = |index| format!("g{index}").parse().expect("valid name");
    SetGroups((0..number).map(name).collect())
}

fn holder(store: &Memory, seed: u64) -> Handle {
    Holder::spawn(Config {
        process: format!("entry-{seed}").parse().expect("valid name"),
        incarnation: Incarnation::random(&mut StdRng::seed_from_u64(seed)),
        store: Rc::new(store.clone()),
        clock: System::shared(),
        timing: Timing::default(),
    })
}

/// Groups that a holder has now; none while it is paused.
async fn held(handle: &Handle) -> Vec<(Group, Fence)> {
    let answer = time::timeout(Duration::from_millis(1), handle.address.send(GetHeldGroups));
    answer
        .await
        .map_or_else(|_| Vec::new(), |held| held.expect("a running holder"))
}

/// Checks that no group has two holders and that fencing numbers only increase.
#[derive(Default)]
struct HolderChecker(BTreeMap<Group, (Fence, usize)>);

impl HolderChecker {
    async fn check(&mut self, holders: &[Handle], context: &str) -> usize {
        let mut owners = BTreeMap::new();
        for (index, holder) in holders.iter().enumerate() {
            for (group, fence) in held(holder).await {
                let other = owners.insert(group.clone(), index);
                assert!(other.is_none(), "{context}: two holders of {group}");
                let (last, owner) = self.0.get(&group).copied().unwrap_or_default();
                let valid = fence > last || (fence == last && owner == index);
                assert!(valid, "{context}: {fence} after {last} for {group}");
                self.0.insert(group, (fence, index));
            }
        }
        owners.len()
    }

    async fn check_for(&mut self, holders: &[Handle], period: Duration, context: &str) -> usize {
        let end = time::Instant::now() + period;
        let mut held = 0;
        while time::Instant::now() < end {
            held = self.check(holders, context).await;
            time::sleep(Duration::from_millis(100)).await;
        }
        held
    }
}

fn set_down(store: &Memory, down: bool) {
    store.set_faults(Faults {
        down,
        ..Faults::default()
    });
}

fn delayed(millis: u64) -> Faults {
    let delay = Duration::from_millis(millis);
    Faults {
        delay,
        ..Faults::default()
    }
}

/// Guards against a permit that stays valid for more than 6 s after the renewal on which it is
/// based was sent, also if the lease is renewed later.
#[test]
fn permits_end_by_the_clock() {
    let clock = Manual::new();
    let mut term = Term::new(Lease::new(1), clock.now());
    let group: Group = "g0".parse().expect("valid name");
    term.add_group(group.clone(), Fence::new(7));
    let mut seen = Vec::new();
    let permit = term.permit(&group, clock.now()).expect("a permit");
    for millis in [0, 5_999, 1, 60_000] {
        clock.advance(Duration::from_millis(millis));
        let fence = permit.fence(clock.now()).map_err(|error| error.to_string());
        seen.push((
            clock.elapsed(),
            fence,
            term.permit(&group, clock.now()).is_some(),
        ));
        term.renew(
            clock
                .now()
                .checked_sub(Duration::from_secs(4))
                .expect("a time"),
        );
    }
    insta::assert_debug_snapshot!(seen);
}

/// Guards against two holders of a group, against a holder that acquires all groups while another
/// competes, and against too many store calls in the steady state.
#[test]
fn two_holders_share_the_groups() {
    with_paused_time(async {
        let store = Memory::new(System::shared());
        let holders = [holder(&store.client(), 1), holder(&store.client(), 2)];
        for holder in &holders {
            holder.address.do_send(groups(12));
        }
        let total = HolderChecker::default()
            .check_for(&holders, TAKEOVER_MAX, "sharing")
            .await;
        let shares = (held(&holders[0]).await.len(), held(&holders[1]).await.len());
        assert!(shares.0.min(shares.1) >= 3, "{shares:?}");
        let before = store.counts();
        time::sleep(Duration::from_mins(1)).await;
        let calls = (
            store.counts().reads - before.reads,
            store.counts().writes - before.writes,
        );
        assert!(
            calls.0 <= 60 && calls.1 <= 42,
            "too many calls in a minute: {calls:?}"
        );
        insta::assert_debug_snapshot!(total);
    });
}

/// Guards against a process that still uses its authority after it was paused for longer than its
/// lease.
#[test]
fn paused_holder_stops_when_it_resumes() {
    with_paused_time(async {
        let store = Memory::new(System::shared());
        let mut checker = HolderChecker::default();
        let recorder = ChangeRecorder::default().start();
        let first = holder(&store.client(), 1);
        first
            .address
            .do_send(Subscribe(recorder.clone().recipient()));
        first.address.do_send(groups(1));
        checker
            .check_for(std::slice::from_ref(&first), TAKEOVER_MAX, "start")
            .await;
        let group = groups(1).0.remove(0);
        let permit = first
            .address
            .send(GetPermit(group.clone()))
            .await
            .expect("running");
        let permit = permit.expect("a permit");
        let second = holder(&store.client(), 2);
        second.address.do_send(groups(1));
        first.address.do_send(Pause(Duration::from_secs(30)));
        let holders = [first, second];
        checker
            .check_for(&holders, Duration::from_secs(40), "pause")
            .await;
        let old = permit
            .fence(System.now())
            .map_err(|error| error.to_string());
        let resumed = holders[0]
            .address
            .send(GetPermit(group))
            .await
            .expect("running");
        let changes = recorder.send(Recorded).await.expect("running");
        insta::assert_debug_snapshot!((old, resumed, changes, held(&holders[1]).await));
    });
}

/// Guards against a holder that keeps its authority after 6 s without the store, and against a
/// fencing number that does not increase over an outage.
#[test]
fn outage_ends_authority() {
    with_paused_time(async {
        let store = Memory::new(System::shared());
        let holders = [holder(&store, 1)];
        holders[0].address.do_send(groups(2));
        let mut checker = HolderChecker::default();
        let mut seen = vec![checker.check_for(&holders, TAKEOVER_MAX, "start").await];
        set_down(&store, true);
        seen.push(
            checker
                .check_for(&holders, Duration::from_secs(2), "short outage")
                .await,
        );
        seen.push(
            checker
                .check_for(&holders, Duration::from_secs(10), "long outage")
                .await,
        );
        set_down(&store, false);
        seen.push(checker.check_for(&holders, TAKEOVER_MAX, "after").await);
        holders[0].address.send(ReleaseAll).await.expect("running");
        seen.push(checker.check_for(&holders, TAKEOVER_MAX, "released").await);
        let keys = crate::store::Reader::range(&store, "/".parse().expect("a key")).await;
        insta::assert_debug_snapshot!((seen, keys.map(|range| range.items.len()).ok()));
    });
}

/// Guards against a group that stays blocked because the store's answer to the creation or the
/// deletion of its key was lost, whether the holder still wants the group or not.
#[test]
fn lost_answers_are_recognized() {
    with_paused_time(async {
        let store = Memory::new(System::shared());
        let holders = [holder(&store, 1)];
        let mut checker = HolderChecker::default();
        holders[0].address.do_send(groups(1));
        checker.check_for(&holders, TAKEOVER_MAX, "start").await;
        store.set_faults(Faults {
            lose_answers: 1,
            ..Faults::default()
        });
        holders[0].address.do_send(groups(2));
        let taken = checker.check_for(&holders, TAKEOVER_MAX, "take").await;
        store.set_faults(Faults {
            lose_answers: 1,
            ..Faults::default()
        });
        holders[0].address.do_send(groups(1));
        checker.check_for(&holders, TAKEOVER_MAX, "release").await;
        let other = holder(&store.client(), 2);
        other.address.do_send(groups(2));
        let both = [holders[0].clone(), other];
        let shared = checker.check_for(&both, TAKEOVER_MAX, "other").await;
        insta::assert_debug_snapshot!((taken, shared, held(&both[0]).await, held(&both[1]).await));
    });
}

/// Guards against a holder that gains a group again by its old key while the transaction that
/// deletes this key is in flight.
#[test]
fn released_key_is_not_adopted_again() {
    with_paused_time(async {
        let store = Memory::new(System::shared());
        let first = holder(&store, 1);
        let mut checker = HolderChecker::default();
        first.address.do_send(groups(1));
        checker
            .check_for(std::slice::from_ref(&first), TAKEOVER_MAX, "start")
            .await;
        store.set_faults(delayed(1_900));
        first.address.send(groups(0)).await.expect("running");
        time::sleep(Duration::from_millis(100)).await;
        store.set_faults(Faults::default());
        let second = holder(&store.client(), 2);
        first.address.do_send(groups(1));
        second.address.do_send(groups(1));
        let held = checker
            .check_for(&[first, second], TAKEOVER_MAX, "deleted late")
            .await;
        assert_eq!(held, 1);
    });
}

/// Guards against a group that passes to another holder while a permit of the first is still valid.
#[test]
fn released_groups_wait_for_permits() {
    for release_all in [false, true] {
        with_paused_time(async move {
            let store = Memory::new(System::shared());
            let first = holder(&store, 1);
            let second = holder(&store.client(), 2);
            let group = groups(1).0.remove(0);
            first.address.do_send(groups(1));
            time::sleep(Duration::from_secs(1)).await;
            let permit = first.address.send(GetPermit(group)).await.expect("running");
            let permit = permit.expect("a permit");
            second.address.do_send(groups(1));
            if release_all {
                first.address.do_send(ReleaseAll);
            } else {
                first.address.do_send(groups(0));
            }
            let end = time::Instant::now() + TAKEOVER_MAX;
            while held(&second).await.is_empty() && time::Instant::now() < end {
                assert!(held(&first).await.is_empty());
                time::sleep(Duration::from_millis(10)).await;
            }
            assert_eq!(held(&second).await.len(), 1);
            let late = permit.fence(System.now()).map_err(|error| error.kind());
            assert_eq!(late, Err(crate::error::Kind::StaleFence));
        });
    }
}

/// Guards against a transaction that counts as a renewal: a key that is created shortly before a
/// term expires does not extend the lease in the store.
#[test]
fn creating_a_key_does_not_renew_the_lease() {
    with_paused_time(async {
        let store = Memory::new(System::shared());
        let first = holder(&store, 1);
        let second = holder(&store.client(), 2);
        let mut checker = HolderChecker::default();
        let mut all = groups(2).0;
        first.address.do_send(groups(1));
        time::sleep(Duration::from_secs(1)).await;
        let permit = first
            .address
            .send(GetPermit(all.remove(0)))
            .await
            .expect("running");
        let expires_at = time::Instant::from_std(permit.expect("a permit").expires_at());
        set_down(&store, true);
        time::sleep_until(expires_at - Duration::from_millis(250)).await;
        set_down(&store, false);
        first.address.send(groups(2)).await.expect("running");
        time::sleep(Duration::from_millis(1)).await;
        store.set_faults(delayed(1_900));
        time::sleep_until(expires_at + Duration::from_secs(2)).await;
        let writes = store.counts().writes;
        second.address.do_send(groups(2));
        let holders = [first, second];
        checker
            .check_for(&holders, TAKEOVER_MAX, "key created late")
            .await;
        insta::assert_debug_snapshot!(writes);
    });
}

/// Guards against a holder that competes no more after a restore of the store, in which the
/// revisions that its fencing numbers come from are handed out again, and against times that do not
/// follow from the lease.
#[test]
fn authority_returns_after_a_restore() {
    with_paused_time(async {
        let store = Memory::new(System::shared());
        let backup = store.back_up();
        let timing = Timing::new(Duration::from_secs(3));
        let holders = [Holder::spawn(Config {
            process: "entry-1".parse().expect("valid name"),
            incarnation: Incarnation::random(&mut StdRng::seed_from_u64(1)),
            store: Rc::new(store.client()),
            clock: System::shared(),
            timing,
        })];
        holders[0].address.do_send(groups(1));
        time::sleep(Duration::from_secs(2)).await;
        let mut seen = vec![held(&holders[0]).await];
        store.restore(backup);
        time::sleep(Duration::from_secs(5)).await;
        seen.push(held(&holders[0]).await);
        let permit = holders[0].address.send(GetPermit(groups(1).0.remove(0)));
        let era = permit.await.expect("running").map(|permit| permit.era());
        insta::assert_debug_snapshot!((seen, era, timing.hold_timeout()));
    });
}
