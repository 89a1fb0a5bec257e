mod fetch;

use std::{
    cell::RefCell,
    collections::BTreeSet,
    rc::Rc,
    sync::{Arc, Mutex},
};

use actix::Addr;
use proptest::prelude::*;
use tokio::sync::mpsc;

use super::*;
use crate::{
    config,
    id::Revision,
    link::{Outbox, WriterItem},
    wire::{self, Frame},
};

/// A document with the given revision. If not `valid`, its durations have an unknown unit.
fn document(revision: u64, valid: bool) -> wire::Document {
    let text = include_str!("../../examples/santiago.jsonc");
    let sections = config::split_sections(text).unwrap_or_else(|faults| panic!("{faults}"));
    let sections = sections.into_iter().map(|(section, text)| {
        let text = if valid {
            text
        } else {
            text.replace("ms\"", "parsecs\"")
        };
        (section.to_string(), text)
    });
    wire::Document {
        revision: Revision::new(revision),
        sections: sections.collect(),
    }
}

/// Revisions that a subscriber was called with.
type Revisions = Arc<Mutex<Vec<u64>>>;

/// A holder with a subscriber.
fn holder() -> (Addr<DocumentHolder>, View, Revisions) {
    let (holder, view) = spawn();
    let revisions = Revisions::default();
    subscribe(&holder, &revisions);
    (holder, view, revisions)
}

fn subscribe(holder: &Addr<DocumentHolder>, revisions: &Revisions) {
    let revisions = Arc::clone(revisions);
    holder.do_send(Subscribe(Box::new(move |document| {
        revisions
            .lock()
            .expect("no panic while it is held")
            .push(document.revision.get());
    })));
}

fn received(revisions: &Revisions) -> Vec<u64> {
    revisions.lock().expect("no panic while it is held").clone()
}

async fn offer(holder: &Addr<DocumentHolder>, document: wire::Document) -> u64 {
    let revision = holder.send(OfferDocument(document)).await;
    revision.expect("a running holder").get()
}

async fn observe(holder: &Addr<DocumentHolder>, revision: u64) -> Vec<String> {
    let (outbox, frames) = Outbox::channel();
    let observe = PeerRevision {
        revision: Revision::new(revision),
        outbox,
    };
    holder.send(observe).await.expect("a running holder");
    describe(frames)
}

async fn provide(holder: &Addr<DocumentHolder>, have: u64) -> Vec<String> {
    let (outbox, frames) = Outbox::channel();
    let provide = SendDocument {
        have: Revision::new(have),
        outbox,
    };
    holder.send(provide).await.expect("a running holder");
    describe(frames)
}

fn describe(mut frames: mpsc::UnboundedReceiver<WriterItem>) -> Vec<String> {
    let mut log = Vec::new();
    while let Ok(item) = frames.try_recv() {
        log.push(match item {
            WriterItem::Frame(Frame::Document(document)) => {
                format!("document {}", document.revision)
            }
            WriterItem::Frame(Frame::Fetch(fetch)) => format!("fetch above {}", fetch.have),
            other => format!("{other:?}"),
        });
    }
    log
}

fn run<F: Future>(future: F) -> F::Output {
    actix::System::new().block_on(future)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against a process that returns to a lower revision, and against subscribers that are
    /// called twice for a revision, out of order, or for an invalid document.
    #[test]
    fn revisions_are_strictly_increasing(
        offers in proptest::collection::vec((1u64..9, any::<bool>()), 0..12),
    ) {
        run(async {
            let (holder, view, early) = holder();
            let late = Revisions::default();
            let mut expected = Vec::new();
            for (index, (revision, valid)) in offers.iter().copied().enumerate() {
                if index == 3 {
                    subscribe(&holder, &late);
                }
                let last = expected.last().copied().unwrap_or(0);
                if valid && revision > last {
                    expected.push(revision);
                }
                let in_force = offer(&holder, document(revision, valid)).await;
                assert_eq!(in_force, expected.last().copied().unwrap_or(0));
                assert_eq!(view.revision.borrow().get(), in_force);
                assert_eq!(view.document.borrow().revision.get(), in_force);
            }
            assert_eq!(received(&early), expected);
            let late = received(&late);
            assert!(expected.ends_with(&late), "{late:?} of {expected:?}");
        });
    }
}

/// Guards against a process that does not fetch a newer document, and against documents sent to a
/// peer that already has them.
#[actix::test]
async fn only_newer_documents_are_fetched_and_provided() {
    let (holder, _view, _revisions) = holder();
    let mut log = vec![observe(&holder, 0).await, provide(&holder, 0).await];
    log.push(observe(&holder, 5).await);
    offer(&holder, document(5, true)).await;
    for revision in [4, 5, 6] {
        log.push(observe(&holder, revision).await);
        log.push(provide(&holder, revision).await);
    }
    insta::assert_debug_snapshot!(log);
}

/// Guards against a document of up to 1 MiB that is fetched again with every heartbeat of every
/// peer after it has failed validation.
#[actix::test]
async fn rejected_document_is_not_fetched_again() {
    let (holder, _view, revisions) = holder();
    offer(&holder, document(5, true)).await;
    let mut log = vec![observe(&holder, 6).await];
    offer(&holder, document(6, false)).await;
    log.push(observe(&holder, 6).await);
    log.push(observe(&holder, 7).await);
    // A valid document with the same revision is still accepted.
    offer(&holder, document(6, true)).await;
    log.push(observe(&holder, 8).await);
    insta::assert_debug_snapshot!(log);
    assert_eq!(received(&revisions), [5, 6]);
}

/// Holders, with the connections that the test adds between them.
struct Chain {
    holders: Vec<Addr<DocumentHolder>>,
    revisions: Vec<View>,
    links: BTreeSet<(usize, usize)>,
    transfers: Rc<RefCell<usize>>,
}

impl Chain {
    fn new(length: usize) -> Self {
        let (holders, revisions) = (0..length).map(|_| spawn()).unzip();
        Self {
            holders,
            revisions,
            links: BTreeSet::new(),
            transfers: Rc::default(),
        }
    }

    fn link(&mut self, one: usize, other: usize) {
        self.links.insert((one, other));
        self.links.insert((other, one));
    }

    /// Delivers one heartbeat on each link, and the documents fetched because of it.
    async fn heartbeat(&self) {
        for &(from, to) in &self.links {
            let revision = *self.revisions[from].revision.borrow();
            let (outbox, mut requests) = Outbox::channel();
            let observed = self.holders[to]
                .send(PeerRevision { revision, outbox })
                .await;
            observed.expect("a running holder");
            while let Ok(WriterItem::Frame(Frame::Fetch(fetch))) = requests.try_recv() {
                let (outbox, mut responses) = Outbox::channel();
                let have = fetch.have;
                let provided = self.holders[from].send(SendDocument { have, outbox }).await;
                provided.expect("a running holder");
                while let Ok(WriterItem::Frame(Frame::Document(document))) = responses.try_recv() {
                    *self.transfers.borrow_mut() += 1;
                    offer(&self.holders[to], document).await;
                }
            }
        }
    }

    fn in_force(&self) -> Vec<u64> {
        let revisions = self.revisions.iter();
        revisions.map(|view| view.revision.borrow().get()).collect()
    }
}

/// Guards against an edit that does not reach a process connected only through others, or connected
/// after the edit, and against documents sent more than once to a process.
#[actix::test]
async fn edit_propagates_through_a_chain() {
    const LENGTH: usize = 10;
    let mut chain = Chain::new(LENGTH);
    for at in (1..LENGTH).filter(|at| *at != 5) {
        chain.link(at - 1, at);
    }
    offer(&chain.holders[2], document(3, true)).await;
    offer(&chain.holders[8], document(2, true)).await;
    for _ in 0..LENGTH {
        chain.heartbeat().await;
    }
    assert_eq!(chain.in_force(), [3, 3, 3, 3, 3, 2, 2, 2, 2, 2]);
    chain.link(4, 5);
    for _ in 0..LENGTH {
        chain.heartbeat().await;
    }
    assert_eq!(chain.in_force(), [3; LENGTH]);
    offer(&chain.holders[9], document(4, true)).await;
    for _ in 0..LENGTH {
        chain.heartbeat().await;
    }
    assert_eq!(chain.in_force(), [4; LENGTH]);
    assert_eq!(
        *chain.transfers.borrow(),
        4 + 4 + 5 + 9,
        "one transfer to each process for each revision"
    );
}
