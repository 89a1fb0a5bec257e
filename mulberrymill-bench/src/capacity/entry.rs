use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use actix::{Actor, Addr, Context, Handler};
use mulberrymill::{
    clock,
    config::{Document, EndpointKind, EndpointSpec},
    id::{Incarnation, Revision},
    link::{
        self, BroadcastRevision, ConnectionHandler, Identity, Outbox, Peer, Pool, SetDocument, Stop,
    },
    routing::LinkChanged,
    wire::{self, Frame, Role},
};
use rand::Rng;
use tokio::{
    sync::{mpsc, watch},
    task::AbortHandle,
    time,
};

use super::{Result, sections};

/// Interval between heartbeats, as in a real entry.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Document that the stand-ins offer and whose revision they announce.
pub(super) type OfferedDocument = Option<Arc<wire::Document>>;

/// Entry stand-in: a real link pool with one link, without callers.
#[derive(Debug)]
pub(super) struct Entry {
    pool: Addr<Pool>,
    heartbeats: AbortHandle,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.heartbeats.abort();
        self.pool.do_send(Stop);
    }
}

impl Entry {
    /// Starts a stand-in linked to the agent of `endpoint`. It sends the revision of each report to
    /// `reported`.
    pub(super) fn open(
        index: usize,
        endpoint: &str,
        agent: SocketAddr,
        offered: watch::Receiver<OfferedDocument>,
        reported: mpsc::UnboundedSender<Revision>,
    ) -> Result<Self> {
        let (_sender, revision) = watch::channel(Revision::default());
        let pool = link::spawn(link::Config {
            identity: Identity {
                process: format!("entry-peer-{index:04}").parse()?,
                incarnation: Incarnation::random(&mut rand::rng()),
                zone: sections::zone(index).parse()?,
                revision,
            },
            seeds: Vec::new(),
            clock: clock::System::shared(),
            router: NullRouter.start().recipient(),
            sink: Rc::new(Inbox {
                offered: offered.clone(),
                reported,
            }),
        });
        pool.do_send(SetDocument(Arc::new(document(endpoint, agent)?)));
        let heartbeats =
            tokio::task::spawn_local(send_heartbeats(pool.clone(), offered)).abort_handle();
        Ok(Self { pool, heartbeats })
    }

    /// Announces a revision immediately, as an entry does after adopting an edit.
    pub(super) fn announce(&self, revision: Revision) {
        self.pool.do_send(BroadcastRevision(revision));
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

async fn send_heartbeats(pool: Addr<Pool>, offered: watch::Receiver<OfferedDocument>) {
    // Real entries start at different times, so their heartbeats are out of phase.
    time::sleep(HEARTBEAT_PERIOD.mul_f64(rand::rng().random())).await;
    let mut ticks = time::interval(HEARTBEAT_PERIOD);
    loop {
        ticks.tick().await;
        let document = offered.borrow();
        let revision = document.as_ref().map(|document| document.revision);
        pool.do_send(BroadcastRevision(revision.unwrap_or_default()));
    }
}

/// Stands in for the router and discards its updates.
struct NullRouter;

impl Actor for NullRouter {
    type Context = Context<Self>;
}

impl Handler<LinkChanged> for NullRouter {
    type Result = ();

    fn handle(&mut self, _msg: LinkChanged, _ctx: &mut Self::Context) {}
}

struct Inbox {
    offered: watch::Receiver<OfferedDocument>,
    reported: mpsc::UnboundedSender<Revision>,
}

impl ConnectionHandler for Inbox {
    fn on_open(&self, _peer: &Peer, _outbox: &Outbox) {}

    fn on_frame(&self, _peer: &Peer, frame: Frame, outbox: &Outbox) {
        match frame {
            Frame::Report(report) => {
                // The receiver is gone once the measurement has ended.
                let _ended = self.reported.send(report.revision);
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

    fn on_close(&self, _peer: &Peer) {}
}
