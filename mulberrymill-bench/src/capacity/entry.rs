use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use actix::{Actor, Addr, Context, Handler};
use mulberrymill::{
    clock,
    config::{Document, EndpointKind, EndpointSpec},
    id::{Incarnation, Revision},
    link::{self, Adopt, Announce, Identity, Outbox, Peer, Pool, Sink, Stop},
    routing::Linked,
    wire::{self, Frame, Role},
};
use rand::Rng;
use tokio::{
    sync::{mpsc, watch},
    task::AbortHandle,
    time,
};

use super::{Result, text};

/// Pause between two heartbeats, as of a real entry.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// What the stand-ins offer, and the revision that they announce.
pub(super) type Offered = Option<Arc<wire::Document>>;

/// A stand-in for an entry: the real pool with one link, and no callers.
#[derive(Debug)]
pub(super) struct Entry {
    pool: Addr<Pool>,
    beats: AbortHandle,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.beats.abort();
        self.pool.do_send(Stop);
    }
}

impl Entry {
    /// Starts a stand-in that is linked to the agent of an endpoint. It tells `reported` the
    /// revision of each report.
    pub(super) fn open(
        index: usize,
        endpoint: &str,
        agent: SocketAddr,
        offered: watch::Receiver<Offered>,
        reported: mpsc::UnboundedSender<Revision>,
    ) -> Result<Self> {
        let (_sender, revision) = watch::channel(Revision::default());
        let pool = link::spawn(link::Config {
            identity: Identity {
                process: format!("entry-peer-{index:04}").parse()?,
                incarnation: Incarnation::random(&mut rand::rng()),
                zone: text::zone(index).parse()?,
                revision,
            },
            seeds: Vec::new(),
            clock: clock::System::shared(),
            router: Ignore.start().recipient(),
            sink: Rc::new(Inbox {
                offered: offered.clone(),
                reported,
            }),
        });
        pool.do_send(Adopt(Arc::new(document(endpoint, agent)?)));
        let beats = tokio::task::spawn_local(beat(pool.clone(), offered)).abort_handle();
        Ok(Self { pool, beats })
    }

    /// Announces a revision at once, as an entry does that has adopted an edit.
    pub(super) fn announce(&self, revision: Revision) {
        self.pool.do_send(Announce(revision));
    }
}

fn document(endpoint: &str, agent: SocketAddr) -> Result<Document> {
    let spec = EndpointSpec {
        kind: EndpointKind::Engine,
        group: "review".parse()?,
        host: "host".parse()?,
        zone: "zone-a".parse()?,
        agent,
        fenced: true,
        models: Vec::new(),
        role: Role::Mixed,
        service: None,
        slots: 1,
    };
    Ok(Document {
        endpoints: BTreeMap::from([(endpoint.parse()?, spec)]),
        ..Document::default()
    })
}

async fn beat(pool: Addr<Pool>, offered: watch::Receiver<Offered>) {
    // Real entries were started at different times.
    time::sleep(HEARTBEAT_PERIOD.mul_f64(rand::rng().random())).await;
    let mut ticks = time::interval(HEARTBEAT_PERIOD);
    loop {
        ticks.tick().await;
        let document = offered.borrow();
        let revision = document.as_ref().map(|document| document.revision);
        pool.do_send(Announce(revision.unwrap_or_default()));
    }
}

/// Stands for the router.
struct Ignore;

impl Actor for Ignore {
    type Context = Context<Self>;
}

impl Handler<Linked> for Ignore {
    type Result = ();

    fn handle(&mut self, _msg: Linked, _ctx: &mut Self::Context) {}
}

struct Inbox {
    offered: watch::Receiver<Offered>,
    reported: mpsc::UnboundedSender<Revision>,
}

impl Sink for Inbox {
    fn opened(&self, _peer: &Peer, _outbox: &Outbox) {}

    fn arrived(&self, _peer: &Peer, frame: Frame, outbox: &Outbox) {
        match frame {
            Frame::Report(report) => {
                // The measurement may have ended.
                let _over = self.reported.send(report.revision);
            }
            Frame::Fetch(fetch) => {
                let document = self.offered.borrow().clone();
                if let Some(document) = document.filter(|offer| offer.revision > fetch.have) {
                    outbox.send(Frame::Document(wire::Document::clone(&document)));
                }
            }
            _ => {}
        }
    }

    fn closed(&self, _peer: &Peer) {}
}
