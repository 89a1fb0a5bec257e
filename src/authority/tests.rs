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
    testing::on_virtual_time,
};

/// Longest time until a free group has a holder: lease, look and wait, with some to spare.
const TAKEOVER: Duration = Duration::from_secs(15);

/// Stops an actor from doing anything for a time, like a paused process.
#[derive(Message)]
#[rtype(result = "()")]
struct Freeze(Duration);

impl Handler<Freeze> for Holder {
    type Result = ();

    fn handle(&mut self, msg: Freeze, ctx: &mut Context<Self>) {
        ctx.wait(time::sleep(msg.0).into_actor(self));
    }
}

/// Remembers what a subscriber hears.
#[derive(Default)]
struct Ear(Vec<Changed>);

impl Actor for Ear {
    type Context = Context<Self>;
}

impl Handler<Changed> for Ear {
    type Result = ();

    fn handle(&mut self, msg: Changed, _ctx: &mut Context<Self>) {
        self.0.push(msg);
    }
}

#[derive(Message)]
#[rtype(result = "Vec<Changed>")]
struct Heard;

impl Handler<Heard> for Ear {
    type Result = Vec<Changed>;

    fn handle(&mut self, _msg: Heard, _ctx: &mut Context<Self>) -> Vec<Changed> {
        self.0.clone()
    }
}

fn groups(number: u64) -> Groups {
    let name = |index| format!("g{index}").parse().expect("valid name");
    Groups((0..number).map(name).collect())
}

fn holder(store: &Memory, seed: u64) -> Handle {
    Holder::spawn(Config {
        process: format!("entry-{seed}").parse().expect("valid name"),
        incarnation: Incarnation::random(&mut StdRng::seed_from_u64(seed)),
        store: Rc::new(store.clone()),
        clock: System::shared(),
    })
}

/// Groups that a holder has now; none while it is frozen.
async fn held(handle: &Handle) -> Vec<(Group, Fence)> {
    let answer = time::timeout(Duration::from_millis(1), handle.address.send(Held));
    answer
        .await
        .map_or_else(|_| Vec::new(), |held| held.expect("a running holder"))
}

/// Checks that no group has two holders and that fencing numbers only grow.
#[derive(Default)]
struct Judge(BTreeMap<Group, (Fence, usize)>);

impl Judge {
    async fn look(&mut self, holders: &[Handle], context: &str) -> usize {
        let mut owners = BTreeMap::new();
        for (index, holder) in holders.iter().enumerate() {
            for (group, fence) in held(holder).await {
                let other = owners.insert(group.clone(), index);
                assert!(other.is_none(), "{context}: two holders of {group}");
                let (last, owner) = self.0.get(&group).copied().unwrap_or_default();
                let grows = fence > last || (fence == last && owner == index);
                assert!(grows, "{context}: {fence} after {last} for {group}");
                self.0.insert(group, (fence, index));
            }
        }
        owners.len()
    }

    async fn watch(&mut self, holders: &[Handle], period: Duration, context: &str) -> usize {
        let end = time::Instant::now() + period;
        let mut held = 0;
        while time::Instant::now() < end {
            held = self.look(holders, context).await;
            time::sleep(Duration::from_millis(100)).await;
        }
        held
    }
}

fn down(store: &Memory, down: bool) {
    store.set_faults(Faults {
        down,
        ..Faults::default()
    });
}

fn slow(millis: u64) -> Faults {
    let delay = Duration::from_millis(millis);
    Faults {
        delay,
        ..Faults::default()
    }
}

/// Guards against a permit that outlives the holder's own limit, by the last answered renewal.
#[test]
fn permits_end_by_the_clock() {
    let clock = Manual::new();
    let mut term = Term::new(Lease::new(1), clock.now());
    let group: Group = "g0".parse().expect("valid name");
    term.gain(group.clone(), Fence::new(7));
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

/// Guards against two holders of a group, and against one that takes all groups.
#[test]
fn two_holders_share_the_groups() {
    on_virtual_time(async {
        let store = Memory::new(System::shared());
        let holders = [holder(&store.client(), 1), holder(&store.client(), 2)];
        for holder in &holders {
            holder.address.do_send(groups(12));
        }
        let all = Judge::default().watch(&holders, TAKEOVER, "sharing").await;
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
        insta::assert_debug_snapshot!(all);
    });
}

/// Guards against a holder that goes on after a pause that was longer than its lease.
#[test]
fn frozen_holder_stops_when_it_thaws() {
    on_virtual_time(async {
        let store = Memory::new(System::shared());
        let mut judge = Judge::default();
        let ear = Ear::default().start();
        let first = holder(&store.client(), 1);
        first.address.do_send(Subscribe(ear.clone().recipient()));
        first.address.do_send(groups(1));
        judge
            .watch(std::slice::from_ref(&first), TAKEOVER, "start")
            .await;
        let group = groups(1).0.remove(0);
        let permit = first
            .address
            .send(Ask(group.clone()))
            .await
            .expect("running");
        let permit = permit.expect("a permit");
        let second = holder(&store.client(), 2);
        second.address.do_send(groups(1));
        first.address.do_send(Freeze(Duration::from_secs(30)));
        let holders = [first, second];
        judge
            .watch(&holders, Duration::from_secs(40), "freeze")
            .await;
        let old = permit
            .fence(System.now())
            .map_err(|error| error.to_string());
        let thawed = holders[0].address.send(Ask(group)).await.expect("running");
        let heard = ear.send(Heard).await.expect("running");
        insta::assert_debug_snapshot!((old, thawed, heard, held(&holders[1]).await));
    });
}

/// Guards against authority without the store for longer than the holder's limit, and against a
/// fencing number that does not grow over an outage.
#[test]
fn outage_ends_authority() {
    on_virtual_time(async {
        let store = Memory::new(System::shared());
        let holders = [holder(&store, 1)];
        holders[0].address.do_send(groups(2));
        let mut judge = Judge::default();
        let mut seen = vec![judge.watch(&holders, TAKEOVER, "start").await];
        down(&store, true);
        seen.push(
            judge
                .watch(&holders, Duration::from_secs(2), "short outage")
                .await,
        );
        seen.push(
            judge
                .watch(&holders, Duration::from_secs(10), "long outage")
                .await,
        );
        down(&store, false);
        seen.push(judge.watch(&holders, TAKEOVER, "after").await);
        holders[0].address.send(Release).await.expect("running");
        seen.push(judge.watch(&holders, TAKEOVER, "released").await);
        let keys = crate::store::Reader::range(&store, "/".parse().expect("a key")).await;
        insta::assert_debug_snapshot!((seen, keys.map(|range| range.items.len()).ok()));
    });
}

/// Guards against a group that is blocked by a holder that does not know of its own key, wanted
/// or not.
#[test]
fn lost_answers_are_recognized() {
    on_virtual_time(async {
        let store = Memory::new(System::shared());
        let holders = [holder(&store, 1)];
        let mut judge = Judge::default();
        holders[0].address.do_send(groups(1));
        judge.watch(&holders, TAKEOVER, "start").await;
        store.set_faults(Faults {
            lose_answers: 1,
            ..Faults::default()
        });
        holders[0].address.do_send(groups(2));
        let taken = judge.watch(&holders, TAKEOVER, "take").await;
        store.set_faults(Faults {
            lose_answers: 1,
            ..Faults::default()
        });
        holders[0].address.do_send(groups(1));
        judge.watch(&holders, TAKEOVER, "release").await;
        let other = holder(&store.client(), 2);
        other.address.do_send(groups(2));
        let both = [holders[0].clone(), other];
        let shared = judge.watch(&both, TAKEOVER, "other").await;
        insta::assert_debug_snapshot!((taken, shared, held(&both[0]).await, held(&both[1]).await));
    });
}

/// Guards against a key that is adopted again while the transaction that deletes it is in flight.
#[test]
fn released_key_is_not_adopted_again() {
    on_virtual_time(async {
        let store = Memory::new(System::shared());
        let first = holder(&store, 1);
        let mut judge = Judge::default();
        first.address.do_send(groups(1));
        judge
            .watch(std::slice::from_ref(&first), TAKEOVER, "start")
            .await;
        store.set_faults(slow(1_900));
        first.address.send(groups(0)).await.expect("running");
        time::sleep(Duration::from_millis(100)).await;
        store.set_faults(Faults::default());
        let second = holder(&store.client(), 2);
        first.address.do_send(groups(1));
        second.address.do_send(groups(1));
        let held = judge
            .watch(&[first, second], TAKEOVER, "deleted late")
            .await;
        assert_eq!(held, 1);
    });
}

/// Guards against a group that goes to another holder while a permit of the first is in use.
#[test]
fn released_groups_wait_for_permits() {
    for whole in [false, true] {
        on_virtual_time(async move {
            let store = Memory::new(System::shared());
            let first = holder(&store, 1);
            let second = holder(&store.client(), 2);
            let group = groups(1).0.remove(0);
            first.address.do_send(groups(1));
            time::sleep(Duration::from_secs(1)).await;
            let permit = first.address.send(Ask(group)).await.expect("running");
            let permit = permit.expect("a permit");
            second.address.do_send(groups(1));
            if whole {
                first.address.do_send(Release);
            } else {
                first.address.do_send(groups(0));
            }
            let end = time::Instant::now() + TAKEOVER;
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

/// Guards against a transaction that counts as a renewal: a key that is created shortly before the
/// end of a term says nothing about the time that its lease has left.
#[test]
fn taking_a_key_does_not_renew_the_lease() {
    on_virtual_time(async {
        let store = Memory::new(System::shared());
        let first = holder(&store, 1);
        let second = holder(&store.client(), 2);
        let mut judge = Judge::default();
        let mut all = groups(2).0;
        first.address.do_send(groups(1));
        time::sleep(Duration::from_secs(1)).await;
        let permit = first
            .address
            .send(Ask(all.remove(0)))
            .await
            .expect("running");
        let until = time::Instant::from_std(permit.expect("a permit").until());
        down(&store, true);
        time::sleep_until(until - Duration::from_millis(250)).await;
        down(&store, false);
        first.address.send(groups(2)).await.expect("running");
        time::sleep(Duration::from_millis(1)).await;
        store.set_faults(slow(1_900));
        time::sleep_until(until + Duration::from_secs(2)).await;
        let taken = store.counts().writes;
        second.address.do_send(groups(2));
        let holders = [first, second];
        judge.watch(&holders, TAKEOVER, "key taken late").await;
        insta::assert_debug_snapshot!(taken);
    });
}
