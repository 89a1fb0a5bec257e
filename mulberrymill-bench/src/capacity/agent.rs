use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix::{Actor, Addr, Context, Handler, Message};
use mulberrymill::{
    clock,
    id::{Endpoint, Incarnation, Revision},
    link::{
        self, Broadcast, ConnectionClosed, ConnectionHandler, ConnectionOpened, ConnectionRegistry,
        Identity, Listener, Outbox, Peer,
    },
    wire::{self, Fetch, Frame, Load, Report, Role},
};
use rand::Rng;
use tokio::{
    sync::{mpsc, watch},
    task::AbortHandle,
    time,
};

use super::{Result, meter::Meter, relay::Relay, sections};
use crate::fleet::MODEL;

/// Interval between reports, as in a real agent.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Agent stand-in: a real link listener that sends reports, without an engine.
#[derive(Debug)]
pub(super) struct Agent {
    name: String,
    relay: Relay,
    _listener: Listener,
    reports: AbortHandle,
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.reports.abort();
    }
}

impl Agent {
    /// Starts a stand-in. It sends the revision of each document it adopts to `adopted`.
    pub(super) async fn open(
        index: usize,
        meter: Addr<Meter>,
        adopted: mpsc::UnboundedSender<Revision>,
    ) -> Result<Self> {
        let name = format!("peer-{index:04}");
        let (revision, view) = watch::channel(Revision::default());
        let registry = ConnectionRegistry::spawn();
        let inbox = Inbox {
            registry: registry.clone(),
            follower: Follower::spawn(revision, adopted),
            report: report(&name, view.clone())?,
        };
        let identity = Identity {
            process: format!("agent-{name}").parse()?,
            incarnation: Incarnation::random(&mut rand::rng()),
            zone: sections::zone(index).parse()?,
            revision: view.clone(),
        };
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let clock = clock::System::shared();
        let port = link::BoundListener::bind(loopback).await?;
        let listener = port.listen(identity, clock, Rc::new(inbox));
        let relay = Relay::open(listener.address(), meter).await?;
        let reports =
            tokio::task::spawn_local(send_reports(registry, report(&name, view)?)).abort_handle();
        Ok(Self {
            name,
            relay,
            _listener: listener,
            reports,
        })
    }

    /// Name of the endpoint, and the relay address that entries connect to.
    pub(super) fn name_and_address(&self) -> (String, SocketAddr) {
        (self.name.clone(), self.relay.address())
    }
}

/// Returns a function that builds reports like those of an engine under moderate load.
fn report(name: &str, revision: watch::Receiver<Revision>) -> Result<impl Fn() -> Report + use<>> {
    let endpoint: Endpoint = name.parse()?;
    let models = vec![MODEL.parse()?];
    Ok(move || Report {
        entries: 1,
        endpoint: endpoint.clone(),
        revision: *revision.borrow(),
        leaving: false,
        drained: false,
        paused_for: Duration::ZERO,
        role: Role::Mixed,
        models: models.clone(),
        load: Load {
            in_progress: 100,
            waiting: 3,
            decoding: 30,
            ..Load::default()
        },
    })
}

async fn send_reports(registry: Addr<ConnectionRegistry>, report: impl Fn() -> Report) {
    // Real agents start at different times, so their reports are out of phase.
    time::sleep(REPORT_PERIOD.mul_f64(rand::rng().random())).await;
    let mut ticks = time::interval(REPORT_PERIOD);
    loop {
        ticks.tick().await;
        registry.do_send(Broadcast(Frame::Report(report())));
    }
}

struct Inbox<F> {
    registry: Addr<ConnectionRegistry>,
    follower: Addr<Follower>,
    report: F,
}

impl<F: Fn() -> Report> ConnectionHandler for Inbox<F> {
    fn on_open(&self, peer: &Peer, outbox: &Outbox) {
        self.registry
            .do_send(ConnectionOpened(peer.session, outbox.clone()));
        outbox.send(Frame::Report((self.report)()));
        self.follower.do_send(FrameReceived(
            Frame::Heartbeat(peer.hello.revision),
            outbox.clone(),
        ));
    }

    fn on_frame(&self, _peer: &Peer, frame: Frame, outbox: &Outbox) {
        self.follower.do_send(FrameReceived(frame, outbox.clone()));
    }

    fn on_close(&self, peer: &Peer) {
        self.registry.do_send(ConnectionClosed(peer.session));
    }
}

/// Follows the document as an agent does, but skips validation: hundreds of validations in this
/// one process would run one after another, while real agents validate on their own hosts.
struct Follower {
    document: Option<wire::Document>,
    revision: watch::Sender<Revision>,
    adopted: mpsc::UnboundedSender<Revision>,
}

impl Follower {
    fn spawn(
        revision: watch::Sender<Revision>,
        adopted: mpsc::UnboundedSender<Revision>,
    ) -> Addr<Self> {
        let follower = Self {
            document: None,
            revision,
            adopted,
        };
        follower.start()
    }

    fn have(&self) -> Revision {
        *self.revision.borrow()
    }
}

impl Actor for Follower {
    type Context = Context<Self>;
}

#[derive(Message)]
#[rtype(result = "()")]
struct FrameReceived(Frame, Outbox);

impl Handler<FrameReceived> for Follower {
    type Result = ();

    fn handle(&mut self, FrameReceived(frame, outbox): FrameReceived, _ctx: &mut Self::Context) {
        match frame {
            Frame::Heartbeat(revision) if revision > self.have() => {
                outbox.send(Frame::Fetch(Fetch { have: self.have() }));
            }
            Frame::Document(document) if document.revision > self.have() => {
                self.revision.send_replace(document.revision);
                // The receiver is gone once the measurement has ended.
                let _ended = self.adopted.send(document.revision);
                self.document = Some(document);
            }
            Frame::Fetch(fetch) => {
                if let Some(document) = &self.document
                    && document.revision > fetch.have
                {
                    outbox.send(Frame::Document(document.clone()));
                }
            }
            _ => {}
        }
    }
}
