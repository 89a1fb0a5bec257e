use std::time::Duration;

use actix::Addr;
use tokio::{sync::mpsc, time};

use super::super::*;
use crate::{
    config,
    id::Revision,
    link::{Item, Outbox},
    testing::on_virtual_time,
    wire::{self, Fetch, Frame},
};

const EXAMPLE: &str = include_str!("../../../examples/santiago.jsonc");

fn document(revision: u64) -> wire::Document {
    let sections = config::split(EXAMPLE).expect("a valid document");
    let named = sections
        .into_iter()
        .map(|(section, text)| (section.to_string(), text));
    wire::Document {
        revision: Revision::new(revision),
        sections: named.collect(),
    }
}

struct Neighbour {
    outbox: Outbox,
    queue: mpsc::UnboundedReceiver<Item>,
}

impl Neighbour {
    fn new() -> Self {
        let (outbox, queue) = Outbox::channel();
        Self { outbox, queue }
    }

    /// Tells the holder a revision, and returns which revision the holder then says it has if it
    /// asks for the document.
    async fn tells(&mut self, holder: &Addr<Holder>, revision: u64) -> Option<u64> {
        let observe = Observe {
            revision: Revision::new(revision),
            outbox: self.outbox.clone(),
        };
        holder.send(observe).await.expect("a running holder");
        match self.queue.try_recv() {
            Ok(Item::Frame(Frame::Fetch(Fetch { have }))) => Some(have.get()),
            Ok(other) => panic!("unexpected {other:?}"),
            Err(_empty) => None,
        }
    }
}

/// Guards against one copy of the document from each of hundreds of peers, which all announce an
/// edit at the same time, and against a process that stays behind because the one peer that it
/// asked does not answer.
#[test]
fn one_peer_is_asked_until_its_time_is_over() {
    let log = on_virtual_time(async {
        let (holder, _view) = spawn();
        let (mut first, mut second) = (Neighbour::new(), Neighbour::new());
        let mut log = vec![
            ("first peer", first.tells(&holder, 5).await),
            ("second peer", second.tells(&holder, 5).await),
            ("newer revision", second.tells(&holder, 6).await),
        ];
        time::sleep(Duration::from_millis(600)).await;
        log.push(("without an answer", first.tells(&holder, 6).await));
        holder.send(Offer(document(6))).await.expect("a holder");
        log.push(("document has arrived", second.tells(&holder, 6).await));
        log.push(("next edit", second.tells(&holder, 7).await));
        log
    });
    insta::assert_debug_snapshot!(log);
}

/// Guards against a closed connection that counts as the peer that was asked.
#[test]
fn closed_connections_are_not_waited_for() {
    let asked = on_virtual_time(async {
        let (holder, _view) = spawn();
        let (outbox, queue) = Outbox::channel();
        drop(queue);
        let revision = Revision::new(5);
        let gone = Observe { revision, outbox };
        holder.send(gone).await.expect("a running holder");
        Neighbour::new().tells(&holder, 5).await
    });
    assert_eq!(asked, Some(0));
}
