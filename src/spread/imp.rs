use std::{collections::BTreeMap, fmt, sync::Arc, time::Duration};

use actix::{Actor, Addr, AsyncContext, Context, Handler, MessageResult, SpawnHandle};
use tokio::sync::watch;

use super::{Observe, Offer, Provide, Subscribe, Subscriber};
use crate::{
    config::{self, Section},
    id::Revision,
    invariant::{self, Point},
    wire::{self, Fetch, Frame},
};

/// Time in which a peer that was asked for a document may answer before another peer is asked. A
/// document takes milliseconds, so a longer silence means a lost peer; and the next heartbeat of
/// any other peer comes within a second.
const FETCH_LIMIT: Duration = Duration::from_millis(500);

/// What other tasks read without asking the holder.
#[derive(Clone, Debug)]
pub struct View {
    /// Revision in force; 0 before the first document.
    pub revision: watch::Receiver<Revision>,
    /// Document in force, also before the first one, when it is empty.
    pub document: watch::Receiver<Arc<config::Document>>,
}

/// The document in force.
pub struct Holder {
    subscribers: Vec<Subscriber>,
    source: wire::Document,
    /// Highest revision that failed the checks. Peers that have it offer it with every heartbeat,
    /// and fetching a document of up to 1 MiB each time would be of no use.
    rejected: Revision,
    revision: watch::Sender<Revision>,
    document: watch::Sender<Arc<config::Document>>,
    fetching: Option<Fetching>,
}

/// A document that was asked for. All peers announce an edit at nearly the same time, and without
/// this each of them would be asked for its copy.
struct Fetching {
    revision: Revision,
    limit: SpawnHandle,
}

impl fmt::Debug for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Holder")
            .field("revision", &self.source.revision)
            .finish_non_exhaustive()
    }
}

/// Starts the actor, with no document.
#[must_use]
pub fn spawn() -> (Addr<Holder>, View) {
    let (revision, revision_view) = watch::channel(Revision::default());
    let (document, document_view) = watch::channel(Arc::default());
    let source = wire::Document {
        revision: Revision::default(),
        sections: BTreeMap::new(),
    };
    let holder = Holder {
        subscribers: Vec::new(),
        source,
        rejected: Revision::default(),
        revision,
        document,
        fetching: None,
    };
    (
        holder.start(),
        View {
            revision: revision_view,
            document: document_view,
        },
    )
}

impl Actor for Holder {
    type Context = Context<Self>;
}

impl Holder {
    /// Notes that a revision was asked for, until it arrives or the time for it is over.
    fn expect(&mut self, revision: Revision, ctx: &mut Context<Self>) {
        let limit = ctx.run_later(FETCH_LIMIT, |holder, _ctx| holder.fetching = None);
        if let Some(before) = self.fetching.replace(Fetching { revision, limit }) {
            ctx.cancel_future(before.limit);
        }
    }

    fn in_force(&self) -> Revision {
        self.source.revision
    }

    /// Puts a document into force if it is newer and passes the checks.
    ///
    /// A document that fails them was written by a newer version of the system, since every edit
    /// is checked before it is accepted. The process then stays on what it has and says so.
    fn adopt(&mut self, offered: wire::Document) {
        let revision = offered.revision;
        if revision <= self.in_force() {
            return;
        }
        let document = match parse(&offered) {
            Ok(document) => Arc::new(document),
            Err(reason) => {
                log::error!(revision:% = revision, reason:% = reason; "document was not adopted");
                metrics::counter!("documents_rejected_total").increment(1);
                self.rejected = self.rejected.max(revision);
                return;
            }
        };
        let before = self.revision.send_replace(revision);
        invariant::check(Point::NoRevert, before < revision, || {
            format!("{revision} after {before}")
        });
        log::info!(revision:% = revision; "document is in force");
        metrics::gauge!("document_revision").set(precise(revision));
        self.source = offered;
        self.document.send_replace(Arc::clone(&document));
        for subscriber in &self.subscribers {
            subscriber(&document);
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a gauge is a float; 2^53 revisions are enough"
)]
fn precise(revision: Revision) -> f64 {
    revision.get() as f64
}

fn parse(source: &wire::Document) -> Result<config::Document, String> {
    let mut sections = BTreeMap::new();
    for (name, text) in &source.sections {
        let section: Section = name
            .parse()
            .map_err(|_error| format!("unknown section {name}"))?;
        sections.insert(section, text.clone());
    }
    config::assemble(source.revision, &sections).map_err(|faults| faults.to_string())
}

impl Handler<Subscribe> for Holder {
    type Result = ();

    fn handle(&mut self, Subscribe(subscriber): Subscribe, _ctx: &mut Self::Context) {
        if self.in_force() > Revision::default() {
            subscriber(&self.document.borrow());
        }
        self.subscribers.push(subscriber);
    }
}

impl Handler<Observe> for Holder {
    type Result = ();

    fn handle(&mut self, msg: Observe, ctx: &mut Self::Context) {
        let expected = self.fetching.as_ref().map(|fetching| fetching.revision);
        let have = self.in_force();
        if msg.revision <= expected.unwrap_or_default().max(have).max(self.rejected) {
            return;
        }
        if msg.outbox.try_send(Frame::Fetch(Fetch { have })) {
            self.expect(msg.revision, ctx);
        }
    }
}

impl Handler<Offer> for Holder {
    type Result = MessageResult<Offer>;

    fn handle(&mut self, Offer(document): Offer, _ctx: &mut Self::Context) -> Self::Result {
        self.adopt(document);
        MessageResult(self.in_force())
    }
}

impl Handler<Provide> for Holder {
    type Result = ();

    fn handle(&mut self, msg: Provide, _ctx: &mut Self::Context) {
        if self.in_force() > msg.have {
            msg.outbox.send(Frame::Document(self.source.clone()));
        }
    }
}
