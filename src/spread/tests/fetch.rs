use std::time::Duration;

use actix::Addr;
use tokio::{sync::mpsc, time};

use super::super::*;
use crate::{
    config,
    id::Revision,
    link::{Outbox, WriterItem},
    testing::with_paused_time,
    wire::{self, Fetch, Frame},
};

const EXAMPLE: &str = include_str!("../../../examples/santiago.jsonc");

fn document(revision: u64) -> wire::Document {
    let sections = config::split_sections(EXAMPLE).expect("a valid document");
    let named = sections
        .into_iter()
        .map(|(section, text)| (section.to_string(), text));
    wire::Document {
        revision: Revision::new(revision),
        sections: named.collect(),
    }
}

struct Peer {
    outbox: Outbox,
    queue: mpsc::UnboundedReceiver<WriterItem>,
}

impl Peer {
    fn new() -> Self {
        let (outbox, queue) = Outbox::channel();
        Self { outbox, queue }
    }

    /// Reports a revision to the holder. If the holder fetches the document, returns the revision
    /// that it has.
    async fn announce(&mut self, holder: &Addr<DocumentHolder>, revision: u64) -> Option<u64> {
        let observe = PeerRevision {
            revision: Revision::new(revision),
            outbox: self.outbox.clone(),
        };
        holder.send(observe).await.expect("a running holder");
        match self.queue.try_recv() {
            Ok(WriterItem::Frame(Frame::Fetch(Fetch { have }))) => Some(have.get()),
            Ok(other) => panic!("unexpected {other:?}"),
            Err(_empty) => None,
        }
    }
}

/// Guards against a document fetched from each of hundreds of peers, which all announce an edit at
/// the same time, and against a process that keeps an old revision because the one peer that it
/// asked does not respond.
#[test]
fn only_one_fetch_is_pending_until_it_times_out() {
    let log = with_paused_time(async {
        let (holder, _view) = spawn();
        let (mut first, mut second) = (Peer::new(), Peer::new());
        let mut log = vec![
            ("first peer", first.announce(&holder, 5).await),
            ("second peer", second.announce(&holder, 5).await),
            ("newer revision", second.announce(&holder, 6).await),
        ];
        time::sleep(Duration::from_millis(600)).await;
        log.push(("after the timeout", first.announce(&holder, 6).await));
        holder
            .send(OfferDocument(document(6)))
            .await
            .expect("a holder");
        log.push(("document has arrived", second.announce(&holder, 6).await));
        log.push(("next edit", second.announce(&holder, 7).await));
        log
    });
    insta::assert_debug_snapshot!(log);
}

/// Guards against a fetch that counts as pending although its connection was closed.
#[test]
fn closed_connection_leaves_no_pending_fetch() {
    let fetched = with_paused_time(async {
        let (holder, _view) = spawn();
        let (outbox, queue) = Outbox::channel();
        drop(queue);
        let revision = Revision::new(5);
        let closed = PeerRevision { revision, outbox };
        holder.send(closed).await.expect("a running holder");
        Peer::new().announce(&holder, 5).await
    });
    assert_eq!(fetched, Some(0));
}
