use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::{FutureExt as _, StreamExt as _, stream};
use proptest::prelude::*;
use tokio::time;

use super::*;
use crate::{
    clock::{Clock as _, System},
    error::{Error, Kind, Result},
    id::Revision,
    route::Plan,
    store::{
        Change, Era, Event, Events, Faults, Future, Item, Memory, Path, Position, Range, Reader,
        Store, Txn, Write,
    },
    testing::with_paused_time,
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const DRAIN_NOTICE: Duration = Duration::from_secs(2);

/// Decodes entries of the form `SERVICE STATE [STARTED SEQUENCE]`.
#[derive(Debug)]
struct TextCodec;

impl Codec for TextCodec {
    fn instance(&self, path: &Path, value: &[u8]) -> Result<Instance> {
        let invalid = || Error::new(Kind::BadRequest, "invalid entry");
        let text = std::str::from_utf8(value).map_err(|_error| invalid())?;
        let fields: Vec<&str> = text.split(' ').collect();
        let &[service, state, ..] = fields.as_slice() else {
            return Err(invalid());
        };
        let id = path.as_str().rsplit('/').next().unwrap_or_default();
        Ok(Instance {
            id: id.parse().map_err(|_error| invalid())?,
            service: service.parse().map_err(|_error| invalid())?,
            address: "127.0.0.1:9001".parse().expect("an address"),
            zone: "a".parse().expect("a valid name"),
            slots: 4,
            draining: state == "draining",
            stage: None,
            started: fields.get(2).and_then(|field| field.parse().ok()),
        })
    }

    fn sequence(&self, value: &[u8]) -> Option<Sequence> {
        let text = std::str::from_utf8(value).ok()?;
        text.split(' ').nth(3)?.parse().ok()
    }

    fn plan(&self, _value: &[u8]) -> Result<Plan> {
        Ok(Plan::default())
    }
}

fn path(id: &str) -> Path {
    format!("/endpoints/{id}").parse().expect("a valid path")
}

fn put(id: &str, value: &str, revision: u64) -> Event {
    Event {
        path: path(id),
        change: Change::Put(value.as_bytes().to_vec()),
        revision: Revision::new(revision),
    }
}

fn delete(id: &str, revision: u64) -> Event {
    Event {
        path: path(id),
        change: Change::Delete,
        revision: Revision::new(revision),
    }
}

fn item(id: &str, value: &str, revision: u64) -> Item {
    Item {
        path: path(id),
        value: value.as_bytes().to_vec(),
        created: Revision::new(1),
        modified: Revision::new(revision),
    }
}

/// A directory whose usable endpoints are recorded after each step.
struct Trace {
    directory: Directory,
    start: Instant,
    lines: Vec<String>,
}

impl Trace {
    fn new() -> Self {
        Self {
            directory: Directory::new(Arc::new(TextCodec), HEARTBEAT, Budget::new(DRAIN_NOTICE)),
            start: Instant::now(),
            lines: Vec::new(),
        }
    }

    fn step(&mut self, at_ms: u64, what: &str, update: Option<Update>) {
        let now = self.start + Duration::from_millis(at_ms);
        if let Some(update) = update {
            self.directory.apply(update, now);
        }
        self.directory.expire(now);
        let known: Vec<String> = self
            .directory
            .instances()
            .map(|instance| {
                let mark = if instance.draining { " (draining)" } else { "" };
                format!("{} of {}{mark}", instance.id, instance.service)
            })
            .collect();
        let line = format!("{at_ms} ms {what}: {}", known.join(", "));
        self.lines.push(line);
    }
}

fn three_entries() -> Update {
    Update::Snapshot(vec![
        item("e1", "lm ready", 1),
        item("e2", "lm ready", 2),
        item("e3", "lm draining", 3),
    ])
}

/// Guards against endpoints that are removed because their entries expired while the store was
/// unavailable, and against endpoints that are kept although they did not register again.
#[test]
fn expired_entries_have_a_grace_period_after_an_outage() {
    let mut trace = Trace::new();
    trace.step(0, "read", Some(three_entries()));
    trace.step(
        1_000,
        "lost",
        Some(Update::Availability(Availability::Unavailable)),
    );
    let recovered = Update::Snapshot(vec![item("e1", "lm ready", 9)]);
    trace.step(6_000, "all but e1 are missing", Some(recovered));
    trace.step(
        7_000,
        "e2 is removed from the store again",
        Some(Update::Changes(vec![delete("e2", 10)])),
    );
    trace.step(7_900, "before the end of the grace period", None);
    trace.step(8_000, "at the end of the grace period", None);
    insta::assert_debug_snapshot!(trace.lines);
}

/// Guards against a grace period that counts from when a late process saw the store return: an endpoint
/// that had left before the outage, as the store had acknowledged, got requests for longer (DRAIN).
#[test]
fn grace_period_counts_from_the_return_of_the_store() {
    let ends = [200, 1_000, 2_400, 4_000].map(|seen_after_ms| {
        let mut trace = Trace::new();
        trace.step(0, "read", Some(three_entries()));
        let lost = Update::Availability(Availability::Unavailable);
        trace.step(1_000, "lost", Some(lost));
        let failed_call = trace.start + Duration::from_secs(6);
        let returned = Update::Availability(Availability::Available(failed_call));
        let seen_at_ms = 6_000 + seen_after_ms;
        trace.step(seen_at_ms, "a call succeeds", Some(returned));
        let missing = Update::Snapshot(vec![item("e1", "lm ready", 9)]);
        trace.step(seen_at_ms, "e2 is missing", Some(missing));
        let is_usable = |at_ms: &u64| {
            trace.step(*at_ms, "wait", None);
            trace
                .directory
                .instances()
                .any(|instance| instance.id.as_str() == "e2")
        };
        let usable = (seen_at_ms..12_000).step_by(100).take_while(is_usable);
        format!(
            "seen {seen_after_ms} ms after the last failed call: usable for {} ms",
            usable.count() * 100
        )
    });
    insta::assert_debug_snapshot!(ends);
}

/// Guards against a grace period without an outage: an endpoint that leaves must get no request two
/// seconds later.
#[test]
fn removed_entries_have_no_grace_period_without_an_outage() {
    let mut trace = Trace::new();
    trace.step(0, "read", Some(three_entries()));
    trace.step(
        500,
        "e1 is removed",
        Some(Update::Changes(vec![delete("e1", 4)])),
    );
    trace.step(
        600,
        "watch ends",
        Some(Update::Availability(Availability::Unavailable)),
    );
    let recovered = Update::Snapshot(vec![item("e3", "lm draining", 3)]);
    trace.step(900, "e2 was removed meanwhile", Some(recovered));
    insta::assert_debug_snapshot!(trace.lines);
}

/// Guards against invalid entries of another writer that hide an endpoint, and against entries with
/// a lower revision that replace newer ones.
#[test]
fn invalid_and_stale_entries_are_skipped() {
    let mut trace = Trace::new();
    trace.step(0, "read", Some(three_entries()));
    let other_writer = vec![put("e4", "nonsense", 4), put("e5", "two words ready", 5)];
    trace.step(
        100,
        "entries of another writer",
        Some(Update::Changes(other_writer)),
    );
    let stale = vec![put("e1", "lm draining", 8), put("e1", "lm ready", 7)];
    trace.step(200, "stale entry", Some(Update::Changes(stale)));
    let invalid = vec![put("e2", "nonsense", 9)];
    trace.step(300, "invalid entry", Some(Update::Changes(invalid)));
    insta::assert_debug_snapshot!(trace.lines);
}

async fn write(store: &Memory, id: &str) {
    let txn = Txn {
        compares: Vec::new(),
        writes: vec![Write::Put(path(id), b"lm ready".to_vec(), None)],
    };
    store.commit(txn).await.expect("the store is up");
}

/// Guards against a follower that misses changes made while the store was unavailable, and against
/// one that makes a call for each change.
#[test]
fn follower_reads_all_keys_again_after_an_outage() {
    let lines = with_paused_time(async {
        let store = Memory::new(System::shared());
        write(&store, "e1").await;
        let client = store.client();
        let seen = Rc::new(RefCell::new(Vec::new()));
        let sink = Rc::clone(&seen);
        let task = follow(
            Rc::new(client.clone()),
            "/endpoints/".parse().expect("a valid path"),
            Duration::from_millis(500),
            System::shared(),
            Box::new(move |update, _sent| {
                sink.borrow_mut().push(match update {
                    Update::Snapshot(items) => format!("read {} entries", items.len()),
                    Update::Changes(events) => format!("{} changes", events.len()),
                    Update::Restored => "store restored".to_owned(),
                    Update::Availability(availability) => format!("store {availability}"),
                });
            }),
        );
        time::sleep(Duration::from_secs(1)).await;
        write(&store, "e2").await;
        time::sleep(Duration::from_millis(100)).await;
        for id in ["e3", "e4", "e5"] {
            write(&store, id).await;
        }
        time::sleep(Duration::from_secs(1)).await;
        let down = Faults {
            down: true,
            ..Faults::default()
        };
        client.set_faults(down);
        time::sleep(Duration::from_secs(5)).await;
        client.set_faults(Faults::default());
        write(&store, "e6").await;
        time::sleep(Duration::from_secs(2)).await;
        task.abort();
        seen.take()
    });
    insta::assert_debug_snapshot!(lines);
}

/// Counts the batches that a follower receives in ten seconds while an endpoint writes a heartbeat
/// every 100 ms, and returns the longest time from a write until it was received.
fn batches_of_heartbeats(batch_delay: Duration) -> (usize, Duration) {
    with_paused_time(async {
        let store = Memory::new(System::shared());
        let written = Rc::new(RefCell::new(System.now()));
        let received = Rc::new(RefCell::new(Vec::new()));
        let (sink, last_write) = (Rc::clone(&received), Rc::clone(&written));
        let task = follow(
            Rc::new(store.client()),
            "/endpoints/".parse().expect("a valid path"),
            batch_delay,
            System::shared(),
            Box::new(move |update, _sent| {
                if let Update::Changes(events) = update {
                    // All but the last event were written 100 ms apart before it.
                    let oldest = Duration::from_millis(100 * (events.len().max(1) as u64 - 1));
                    sink.borrow_mut()
                        .push(System.now() - *last_write.borrow() + oldest);
                }
            }),
        );
        for _ in 0..100 {
            *written.borrow_mut() = System.now();
            write(&store, "e1").await;
            time::sleep(Duration::from_millis(100)).await;
        }
        task.abort();
        let ages = received.take();
        (ages.len(), ages.into_iter().max().unwrap_or_default())
    })
}

/// Guards against calls to the store that grow with the number of heartbeats, and against changes
/// that are received later than the drain notice allows.
#[test]
fn heartbeats_are_received_in_batches() {
    let delays = [500, 1_000].map(Duration::from_millis);
    let results = delays.map(|delay| (delay, batches_of_heartbeats(delay)));
    assert!(results.iter().all(|(delay, (_, age))| age <= delay));
    insta::assert_debug_snapshot!(results);
}

fn restore(items: &[(&str, &str, u64)]) -> [Update; 2] {
    let items = items
        .iter()
        .map(|(id, value, revision)| item(id, value, *revision));
    [Update::Restored, Update::Snapshot(items.collect())]
}

impl Trace {
    /// Applies the updates that follow a restore.
    fn restore(&mut self, at_ms: u64, what: &str, items: &[(&str, &str, u64)]) {
        let [restored, snapshot] = restore(items);
        self.step(at_ms, "store is restored", Some(restored));
        self.step(at_ms, what, Some(snapshot));
    }

    fn change(&mut self, at_ms: u64, what: &str, event: Event) {
        self.step(at_ms, what, Some(Update::Changes(vec![event])));
    }
}

/// Guards against removing sound endpoints at once that registered after the copy was taken from which
/// the store was restored, and against keeping them, or a draining one, for longer than two seconds.
#[test]
fn endpoints_missing_in_a_restored_copy_have_a_grace_period() {
    let mut trace = Trace::new();
    trace.step(0, "read", Some(three_entries()));
    trace.restore(300, "all but e1 are missing", &[("e1", "lm ready", 1)]);
    trace.change(1_000, "e2 registers again", put("e2", "lm ready", 2));
    trace.change(1_100, "e4 registers", put("e4", "lm ready", 3));
    trace.restore(1_500, "all are missing", &[]);
    trace.change(2_000, "e4 registers again", put("e4", "lm ready", 2));
    trace.step(3_400, "before the end of the grace period", None);
    trace.step(3_500, "at the end of the grace period", None);
    insta::assert_debug_snapshot!(trace.lines);
}

/// Guards against a copy of the store that ends a drain (DRAIN), and against a drain or a new run that
/// is ignored because its revision is lower than one of before the restore.
#[test]
fn writes_are_ordered_by_run_and_sequence_across_a_restore() {
    let mut trace = Trace::new();
    trace.step(
        0,
        "read",
        Some(Update::Snapshot(vec![
            item("marked", "lm draining 100 6", 9),
            item("plain", "lm draining", 10),
            item("ready", "lm ready 100 6", 11),
            item("restarted", "lm ready 200 1", 12),
        ])),
    );
    let copy = [
        ("marked", "lm ready 100 3", 2),
        ("plain", "lm ready", 3),
        ("ready", "lm ready 100 3", 4),
        ("restarted", "lm draining 100 7", 5),
    ];
    trace.restore(100, "copy", &copy);
    trace.change(200, "written again", put("marked", "lm draining 100 7", 6));
    trace.change(
        300,
        "ready is draining",
        put("ready", "lm draining 100 7", 7),
    );
    trace.change(400, "delayed write", put("ready", "lm ready 100 5", 8));
    trace.change(500, "plain is written", put("plain", "lm ready", 9));
    trace.change(
        600,
        "marked starts again",
        put("marked", "lm ready 300 1", 10),
    );
    trace.change(700, "plain is removed", delete("plain", 11));
    trace.change(800, "plain registers", put("plain", "lm ready", 12));
    insta::assert_debug_snapshot!(trace.lines);
}

/// Guards against an unreadable or a delayed write that lets an older one undo a drain, and against
/// dropping a sound endpoint at once because the copy of its entry cannot be read.
#[test]
fn unreadable_and_delayed_writes_undo_no_drain() {
    let mut trace = Trace::new();
    let items = vec![
        item("drains", "lm draining 100 9", 1),
        item("leaves", "lm draining 100 6", 2),
        item("sound", "lm ready 100 6", 3),
    ];
    trace.step(0, "read", Some(Update::Snapshot(items)));
    trace.change(100, "unreadable", put("drains", "nonsense", 4));
    trace.change(200, "removed", delete("leaves", 5));
    trace.change(300, "delayed write", put("leaves", "lm ready 100 5", 6));
    let copy = [("drains", "lm ready 100 5", 1), ("sound", "nonsense", 2)];
    trace.restore(400, "copy", &copy);
    trace.change(500, "written again", put("sound", "lm ready 100 7", 3));
    trace.step(2_500, "after the grace period", None);
    insta::assert_debug_snapshot!(trace.lines);
}

/// Guards against a delayed write of a former run that makes an endpoint ready again that is draining or
/// gone (DRAIN), and against ignoring for good an endpoint whose clock was set back between two runs.
#[test]
fn delayed_writes_of_a_former_run_undo_no_drain() {
    let mut trace = Trace::new();
    let items = vec![
        item("drains", "lm draining 200 3", 1),
        item("leaves", "lm draining 200 3", 2),
        item("sound", "lm ready 200 3", 3),
        item("stepped", "lm ready 200 3", 4),
    ];
    trace.step(0, "read", Some(Update::Snapshot(items)));
    trace.change(100, "delayed", put("drains", "lm ready 100 8", 5));
    trace.change(200, "delayed again", put("drains", "lm ready 100 9", 6));
    trace.change(300, "removed", delete("leaves", 7));
    trace.change(400, "delayed", put("leaves", "lm ready 100 8", 8));
    trace.change(500, "delayed", put("sound", "lm draining 100 8", 9));
    let items = vec![
        item("drains", "lm ready 100 9", 6),
        item("leaves", "lm ready 100 8", 8),
        item("sound", "lm draining 100 8", 9),
        item("stepped", "lm ready 200 3", 4),
    ];
    trace.step(600, "read again", Some(Update::Snapshot(items)));
    trace.change(
        90_000,
        "clock was set back",
        put("stepped", "lm draining 150 1", 10),
    );
    insta::assert_debug_snapshot!(trace.lines);
}

/// Guards against requests to an endpoint that has left, because a copy of the store lists it again, and
/// against ignoring one that registers again.
#[test]
fn endpoints_that_have_left_are_not_listed_again_by_a_copy() {
    let mut trace = Trace::new();
    let listed = [
        ("left", "lm ready 100 3", 2),
        ("plain", "lm ready", 3),
        ("restarted", "lm ready 100 3", 4),
        ("unheard", "lm ready 100 3", 5),
    ];
    let items = listed.map(|(id, value, revision)| item(id, value, revision));
    trace.step(0, "read", Some(Update::Snapshot(items.to_vec())));
    trace.change(100, "heartbeat", put("left", "lm ready 100 4", 6));
    for (id, revision) in [("left", 7), ("plain", 8), ("restarted", 9)] {
        trace.change(200, "removed", delete(id, revision));
    }
    trace.change(
        300,
        "registers in the same era",
        put("plain", "lm ready", 10),
    );
    trace.change(400, "removed again", delete("plain", 11));
    trace.restore(500, "copy", &listed);
    trace.step(600, "read again", Some(Update::Snapshot(items.to_vec())));
    trace.change(700, "delayed write", put("left", "lm ready 100 4", 6));
    trace.change(800, "newer write", put("left", "lm ready 100 5", 7));
    trace.change(900, "written in this era", put("plain", "lm ready", 8));
    trace.change(1_000, "new run", put("restarted", "lm ready 200 1", 9));
    trace.change(1_100, "removed", delete("left", 10));
    trace.step(2_600, "after the grace period", None);
    trace.restore(
        70_000,
        "copy, a minute later",
        &[("left", "lm ready 100 5", 7)],
    );
    insta::assert_debug_snapshot!(trace.lines);
}

/// One endpoint and its entry in a store that keeps copies of its state.
#[derive(Clone, Debug, Default)]
struct Simulated {
    revision: u64,
    entry: Option<(Written, u64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Written {
    started: u64,
    sequence: u64,
    draining: bool,
}

impl Simulated {
    fn write(&mut self, written: Written) -> Update {
        self.revision += 1;
        self.entry = Some((written, self.revision));
        Update::Changes(vec![put("e1", &written.text(), self.revision)])
    }

    fn remove(&mut self) -> Update {
        self.revision += 1;
        self.entry = None;
        Update::Changes(vec![delete("e1", self.revision)])
    }
}

impl Written {
    fn text(&self) -> String {
        let state = if self.draining { "draining" } else { "ready" };
        format!("lm {state} {} {}", self.started, self.sequence)
    }
}

proptest! {
    /// Guards against an endpoint that is usable after its drain was seen, and against one that is
    /// never usable again, whatever its entry went through.
    #[test]
    fn drains_bind_and_no_endpoint_is_lost(steps in prop::collection::vec((0_u8..12, 0_usize..4), 1..80)) {
        let start = Instant::now();
        let mut directory = Directory::new(Arc::new(TextCodec), HEARTBEAT, Budget::new(DRAIN_NOTICE));
        let mut store = Simulated::default();
        let mut copies = vec![store.clone()];
        let mut run = Written { started: 1, sequence: 0, draining: false };
        let mut drained = std::collections::BTreeSet::new();
        let mut now = start;
        for (step, age) in steps {
            let updates = match step {
                0 => vec![store.remove()],
                1 => {
                    run = Written { started: run.started + 1, sequence: 0, draining: false };
                    vec![store.write(run)]
                }
                2 => {
                    run.draining = true;
                    run.sequence += 1;
                    drained.insert(run.started);
                    vec![store.write(run)]
                }
                3 | 4 => {
                    store = copies[copies.len().saturating_sub(1 + age)].clone();
                    let items = store.entry.map(|(written, revision)| {
                        item("e1", &written.text(), revision)
                    });
                    vec![Update::Restored, Update::Snapshot(items.into_iter().collect())]
                }
                5 => {
                    copies.push(store.clone());
                    Vec::new()
                }
                _ => {
                    run.sequence += 1;
                    vec![store.write(run)]
                }
            };
            for update in updates {
                directory.apply(update, now);
            }
            now += Duration::from_millis(250);
            directory.expire(now);
            for instance in directory.instances() {
                let started: u64 = instance.started.expect("a start").to_string().parse().expect("a number");
                prop_assert!(instance.draining || !drained.contains(&started));
            }
        }
        run.sequence += 1;
        directory.apply(store.write(run), now);
        let listed: Vec<_> = directory.instances().map(|instance| {
            (instance.started.expect("a start").to_string(), instance.draining)
        }).collect();
        prop_assert_eq!(listed, [(run.started.to_string(), run.draining)]);
    }
}

/// Guards against changes that are missed for good because a follower continues from a revision of
/// before the restore, which new writes have reached again between two of its calls.
#[test]
fn follower_misses_no_change_across_a_restore() {
    let lines = with_paused_time(async {
        let store = Memory::new(System::shared());
        write(&store, "e1").await;
        let seen = Rc::new(RefCell::new(Vec::new()));
        let sink = Rc::clone(&seen);
        let task = follow(
            Rc::new(store.client()),
            "/endpoints/".parse().expect("a valid path"),
            Duration::from_millis(500),
            System::shared(),
            Box::new(move |update, _sent| sink.borrow_mut().push(describe(&update))),
        );
        time::sleep(Duration::from_secs(1)).await;
        let backup = store.back_up();
        write(&store, "e2").await;
        write(&store, "e3").await;
        time::sleep(Duration::from_millis(100)).await;
        store.restore(backup);
        write(&store, "e4").await;
        write(&store, "e5").await;
        time::sleep(Duration::from_secs(1)).await;
        write(&store, "e6").await;
        time::sleep(Duration::from_secs(1)).await;
        task.abort();
        seen.take()
    });
    insta::assert_debug_snapshot!(lines);
}

fn describe(update: &Update) -> String {
    let names = |paths: Vec<&Path>| {
        let names = paths
            .iter()
            .filter_map(|path| path.as_str().rsplit('/').next());
        names.collect::<Vec<_>>().join(", ")
    };
    match update {
        Update::Snapshot(items) => {
            format!(
                "read {}",
                names(items.iter().map(|item| &item.path).collect())
            )
        }
        Update::Changes(events) => {
            format!(
                "changes of {}",
                names(events.iter().map(|event| &event.path).collect())
            )
        }
        Update::Restored => "store restored".to_owned(),
        Update::Availability(availability) => format!("store {availability}"),
    }
}

/// A store whose answers alternate between two eras, as those of two servers behind one address.
#[derive(Debug, Default)]
struct Alternating {
    reads: std::cell::Cell<u64>,
}

impl Reader for Alternating {
    fn get(&self, path: Path) -> Future<'_, Range> {
        self.range(path)
    }

    fn range(&self, _prefix: Path) -> Future<'_, Range> {
        self.reads.set(self.reads.get() + 1);
        let era = Era::new(self.reads.get() % 2);
        async move {
            Ok(Range {
                era,
                ..Range::default()
            })
        }
        .boxed_local()
    }

    fn watch(&self, _prefix: Path, _from: Position) -> Future<'_, Events> {
        let error = Error::new(Kind::StoreRestored, "the store was restored");
        async move { Ok(stream::iter([Err(error)]).boxed_local()) }.boxed_local()
    }
}

/// Guards against reads without a pause if each answer states another era.
#[test]
fn alternating_eras_are_read_with_a_pause() {
    let reads = with_paused_time(async {
        let store = Rc::new(Alternating::default());
        let task = follow(
            Rc::clone(&store) as Rc<dyn Reader>,
            "/endpoints/".parse().expect("a valid path"),
            Duration::from_millis(500),
            System::shared(),
            Box::new(|_update, _sent| ()),
        );
        time::sleep(Duration::from_secs(10)).await;
        task.abort();
        store.reads.get()
    });
    assert!((10..60).contains(&reads), "{reads} reads in ten seconds");
}
