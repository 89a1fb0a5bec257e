use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{
    Actor, ActorFutureExt, Addr, AsyncContext, Context, Handler, MailboxError, Message, Recipient,
    WrapFuture,
};

use super::Roster;
use crate::{
    clock::Shared,
    directory::Feed,
    dispatch::{Audience, Dispatcher, PeerDigest, PeerLost, Survey},
    id::{Endpoint, Process},
    link::{self, Identity, Outbox, Peer, Session},
    unit::as_f64,
    wire::{Digest, Frame, Usage},
};

/// Interval at which changes are told. A prompt of a thousand tokens takes an engine about 12 ms,
/// so a longer interval hides most of the work; a shorter one costs a wake-up per peer each time.
const PERIOD: Duration = Duration::from_millis(100);
/// Longest silence on a link. Links that are silent for three seconds are closed.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Whom a mesh asks and tells.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Tells the own work in progress.
    pub survey: Recipient<Survey>,
    /// Receives what peers tell.
    pub digest: Recipient<PeerDigest>,
    /// Hears of links that are gone.
    pub lost: Recipient<PeerLost>,
    /// Hears how many peers are linked.
    pub audience: Recipient<Audience>,
}

impl From<&Addr<Dispatcher>> for Terms {
    fn from(dispatcher: &Addr<Dispatcher>) -> Self {
        Self {
            survey: dispatcher.clone().recipient(),
            digest: dispatcher.clone().recipient(),
            lost: dispatcher.clone().recipient(),
            audience: dispatcher.clone().recipient(),
        }
    }
}

/// What a mesh needs.
#[derive(Clone, Debug)]
pub struct Config {
    identity: Identity,
    clock: Shared,
    terms: Terms,
}

impl Config {
    /// A mesh of the process that `identity` names.
    #[must_use]
    pub const fn new(identity: Identity, clock: Shared, terms: Terms) -> Self {
        Self {
            identity,
            clock,
            terms,
        }
    }
}

/// The links to other gateways.
#[derive(Debug)]
pub struct Mesh {
    config: Config,
    roster: Roster,
    dialers: BTreeMap<Process, link::Dialer>,
    links: BTreeMap<Session, Link>,
    /// What was told last, for each endpoint with work.
    told: BTreeMap<Endpoint, Usage>,
    told_at: Option<Instant>,
}

#[derive(Debug)]
struct Link {
    process: Process,
    outbox: Outbox,
    /// Whether anything was told over it; the first message tells everything.
    told: bool,
}

/// Starts a mesh and accepts links on `port`.
#[must_use]
pub fn spawn(config: Config, port: link::Port) -> (Addr<Mesh>, link::Listener) {
    let (identity, clock) = (config.identity.clone(), Arc::clone(&config.clock));
    let terms = config.terms.clone();
    let mesh = Mesh {
        config,
        roster: Roster::new(),
        dialers: BTreeMap::new(),
        links: BTreeMap::new(),
        told: BTreeMap::new(),
        told_at: None,
    }
    .start();
    let sink = Rc::new(Line {
        mesh: mesh.clone(),
        terms,
    });
    let listener = port.listen(identity, clock, sink);
    (mesh, listener)
}

impl Mesh {
    fn follow_roster(&mut self, mesh: &Addr<Self>) {
        let own = &self.config.identity.process;
        let linked = self.roster.linked(own);
        for (process, address) in &linked {
            let known = self.dialers.get(process);
            if process <= own || known.is_some_and(|dialer| dialer.address() == *address) {
                continue;
            }
            log::info!(peer:% = process, address:% = address; "links to a gateway");
            let sink = Line {
                mesh: mesh.clone(),
                terms: self.config.terms.clone(),
            };
            let dialer = link::dial(
                *address,
                self.config.identity.clone(),
                Arc::clone(&self.config.clock),
                Rc::new(sink),
            );
            self.dialers.insert(process.clone(), dialer);
        }
        // An entry can also be missing because the store was away. A link that works is kept.
        let links = &self.links;
        self.dialers.retain(|process, _| {
            let in_use = || links.values().any(|link| link.process == *process);
            let keep = linked.contains_key(process) || in_use();
            if !keep {
                log::info!(peer:% = process; "gateway is gone; its link is given up");
            }
            keep
        });
        self.tell_audience();
    }

    fn tell_audience(&self) {
        metrics::gauge!("gateways_linked").set(as_f64(self.links.len() as u64));
        self.config.terms.audience.do_send(Audience {
            linked: self.links.len(),
            known: self.roster.others(&self.config.identity.process),
        });
    }

    /// Tells what has changed, and everything over new links.
    fn tell(&mut self, digest: Digest) {
        let now = self.config.clock.now();
        let failed = digest.failed;
        let current: BTreeMap<Endpoint, Usage> = digest
            .usages
            .into_iter()
            .map(|usage| (usage.endpoint.clone(), usage))
            .collect();
        let mut changes: Vec<Usage> = current
            .values()
            .filter(|usage| self.told.get(&usage.endpoint) != Some(*usage))
            .cloned()
            .collect();
        let ended = self
            .told
            .keys()
            .filter(|endpoint| !current.contains_key(*endpoint));
        changes.extend(ended.map(|endpoint| Usage {
            endpoint: endpoint.clone(),
            requests: 0,
            unread: Vec::new(),
        }));
        let silent = self
            .told_at
            .is_none_or(|told_at| now.saturating_duration_since(told_at) >= HEARTBEAT);
        let due = silent || !changes.is_empty() || !failed.is_empty();
        for link in self.links.values_mut() {
            let first = !std::mem::replace(&mut link.told, true);
            if !first && !due {
                continue;
            }
            let usages = if first {
                current.values().cloned().collect()
            } else {
                changes.clone()
            };
            link.outbox.send(Frame::Digest(Digest {
                usages,
                failed: failed.clone(),
            }));
        }
        if due {
            self.told_at = Some(now);
        }
        self.told = current;
    }
}

impl Actor for Mesh {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(PERIOD, |mesh, ctx| {
            if mesh.links.is_empty() {
                return;
            }
            let survey = mesh.config.terms.survey.send(Survey).into_actor(mesh);
            let told = survey.map(|digest: Result<_, MailboxError>, mesh, _| match digest {
                Ok(digest) => mesh.tell(digest),
                Err(error) => log::debug!(error:% = error; "the dispatcher has stopped"),
            });
            ctx.spawn(told);
        });
    }
}

/// What the store says of the gateways.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Listed(pub Feed);

impl Handler<Listed> for Mesh {
    type Result = ();

    fn handle(&mut self, Listed(feed): Listed, ctx: &mut Context<Self>) {
        self.roster.apply(feed);
        self.follow_roster(&ctx.address());
    }
}

#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Opened {
    session: Session,
    process: Process,
    outbox: Outbox,
}

impl Handler<Opened> for Mesh {
    type Result = ();

    fn handle(&mut self, msg: Opened, _: &mut Context<Self>) {
        log::info!(peer:% = msg.process, session:% = msg.session; "gateway is linked");
        let link = Link {
            process: msg.process,
            outbox: msg.outbox,
            told: false,
        };
        self.links.insert(msg.session, link);
        self.tell_audience();
    }
}

#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Closed(Session);

impl Handler<Closed> for Mesh {
    type Result = ();

    fn handle(&mut self, Closed(session): Closed, ctx: &mut Context<Self>) {
        if let Some(link) = self.links.remove(&session) {
            log::info!(peer:% = link.process, session:% = session;
                "link to a gateway has ended; its work is forgotten");
        }
        self.follow_roster(&ctx.address());
    }
}

/// Receives what arrives over the links.
#[derive(Debug)]
struct Line {
    mesh: Addr<Mesh>,
    terms: Terms,
}

impl link::Sink for Line {
    fn opened(&self, peer: &Peer, outbox: &Outbox) {
        self.mesh.do_send(Opened {
            session: peer.session,
            process: peer.hello.process.clone(),
            outbox: outbox.clone(),
        });
    }

    fn arrived(&self, peer: &Peer, frame: Frame, _outbox: &Outbox) {
        if let Frame::Digest(digest) = frame {
            self.terms.digest.do_send(PeerDigest {
                session: peer.session,
                digest,
            });
        } else {
            log::warn!(peer:% = peer.hello.process; "gateway sent an unexpected frame");
        }
    }

    fn closed(&self, peer: &Peer) {
        self.terms.lost.do_send(PeerLost(peer.session));
        self.mesh.do_send(Closed(peer.session));
    }
}
