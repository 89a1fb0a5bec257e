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

use tokio::sync::watch;

use super::{
    Roster,
    plan::{PlanExchange, SharedPlan, Step},
};
use crate::{
    clock::Shared,
    directory::Update,
    dispatch::{Dispatcher, PeerCoverage, PeerDigest, PeerDisconnected, TakeDigest},
    id::{Endpoint, Process, Revision, Window},
    link::{self, Identity, Outbox, Peer, Session},
    route::{Plan, Version},
    unit::{Tokens, as_f64},
    usage::{Counts, PeerCounts, Reporter, TakeCounts},
    wire::{Digest, Document, FRAME_MAX, Fetch, Frame, Occupancy, PlanState, Usage},
};

/// Interval at which changes are sent. A prompt of a thousand tokens takes an engine about 12 ms,
/// so a longer interval hides most of the work; a shorter one costs a wake-up per peer each time.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);
/// The same while requests are placed by their latency target. A prompt of 12,000 tokens that peers do not
/// know of yet makes a short one late that they place behind it.
const TARGETED_DIGEST_INTERVAL: Duration = Duration::from_millis(30);
/// Time without changes after which an empty digest is sent. Links that are silent for three
/// seconds are closed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The same for gateways that exchange confirmations of the plan: one that arrives is older by up to twice
/// this interval, and is of use for a few seconds.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(500);
/// Name of the plan among the sections of a document.
const PLAN_SECTION: &str = "plan";
/// Largest plan that fits into a frame, with its version and name.
const PLAN_MAX: u64 = FRAME_MAX.get() - 1_024;

/// Actors that a mesh exchanges messages with.
#[derive(Clone, Debug)]
pub struct Recipients {
    /// Reports the work in progress of this process.
    pub take_digest: Recipient<TakeDigest>,
    /// Receives the digests of peers.
    pub digest: Recipient<PeerDigest>,
    /// Notified when a link is closed.
    pub disconnected: Recipient<PeerDisconnected>,
    /// Notified when the number of linked or registered peers may have changed.
    pub coverage: Recipient<PeerCoverage>,
    /// Counts requests by customer; `None` if this is not asked for.
    pub usage: Option<Addr<Reporter>>,
}

impl Recipients {
    /// Sets the actor that counts requests by customer.
    #[must_use]
    pub fn with_usage(mut self, usage: Option<Addr<Reporter>>) -> Self {
        self.usage = usage;
        self
    }
}

impl From<&Addr<Dispatcher>> for Recipients {
    fn from(dispatcher: &Addr<Dispatcher>) -> Self {
        Self {
            take_digest: dispatcher.clone().recipient(),
            digest: dispatcher.clone().recipient(),
            disconnected: dispatcher.clone().recipient(),
            coverage: dispatcher.clone().recipient(),
            usage: None,
        }
    }
}

/// Parameters of a mesh.
#[derive(Clone, Debug)]
pub struct Config {
    identity: Identity,
    clock: Shared,
    recipients: Recipients,
    active: watch::Receiver<Option<Arc<Plan>>>,
    plan: Option<Rc<dyn SharedPlan>>,
}

impl Config {
    /// Parameters of a mesh for the process that `identity` names. Digests are sent more often while the
    /// plan has customers, whose requests are placed by their latency target.
    #[must_use]
    pub const fn new(
        identity: Identity,
        clock: Shared,
        recipients: Recipients,
        active: watch::Receiver<Option<Arc<Plan>>>,
    ) -> Self {
        Self {
            identity,
            clock,
            recipients,
            active,
            plan: None,
        }
    }

    fn digest_interval(&self) -> Duration {
        let plan = self.active.borrow();
        if plan.as_ref().is_some_and(|plan| plan.customers().is_some()) {
            TARGETED_DIGEST_INTERVAL
        } else {
            DIGEST_INTERVAL
        }
    }

    /// Exchanges the plan and its confirmations with peers.
    #[must_use]
    pub fn with_plan(mut self, plan: Rc<dyn SharedPlan>) -> Self {
        self.plan = Some(plan);
        self
    }
}

/// Actor that owns the links to other gateways.
#[derive(Debug)]
pub struct Mesh {
    config: Config,
    roster: Roster,
    dialers: BTreeMap<Process, link::Dialer>,
    links: BTreeMap<Session, Link>,
    /// Usage in the last digest, for each endpoint with work in progress.
    last_sent: BTreeMap<Endpoint, Usage>,
    /// Memory in use in the last digest, for each engine with requests.
    last_tokens: BTreeMap<Endpoint, Occupancy>,
    last_sent_at: Option<Instant>,
    /// The last window whose usage report may have been sent, in the last digest.
    last_report: Option<Window>,
    plans: PlanExchange,
}

#[derive(Debug)]
struct Link {
    process: Process,
    outbox: Outbox,
    /// Whether the first digest, which contains all usages, was sent.
    has_snapshot: bool,
    /// Whether all counts of requests were sent.
    has_counts: bool,
}

/// Starts a mesh and accepts links on `port`. Dropping the listener closes the accepted links.
#[must_use]
pub fn spawn(config: Config, port: link::BoundListener) -> (Addr<Mesh>, link::Listener) {
    let (identity, clock) = (config.identity.clone(), Arc::clone(&config.clock));
    let recipients = config.recipients.clone();
    let mesh = Mesh {
        config,
        roster: Roster::new(),
        dialers: BTreeMap::new(),
        links: BTreeMap::new(),
        last_sent: BTreeMap::new(),
        last_tokens: BTreeMap::new(),
        last_sent_at: None,
        last_report: None,
        plans: PlanExchange::default(),
    }
    .start();
    let sink = Rc::new(FrameSink {
        mesh: mesh.clone(),
        recipients,
    });
    let listener = port.listen(identity, clock, sink);
    (mesh, listener)
}

impl Mesh {
    /// Dials the neighbors with a greater name, so that each pair has one link, and stops dialing
    /// gateways that have gone.
    fn update_dialers(&mut self, mesh: &Addr<Self>) {
        let own = &self.config.identity.process;
        let neighbors = self.roster.neighbors(own);
        for (process, address) in &neighbors {
            let known = self.dialers.get(process);
            if process <= own || known.is_some_and(|dialer| dialer.address() == *address) {
                continue;
            }
            log::info!(peer:% = process, address:% = address; "connecting to gateway");
            let sink = FrameSink {
                mesh: mesh.clone(),
                recipients: self.config.recipients.clone(),
            };
            let dialer = link::dial(
                *address,
                self.config.identity.clone(),
                Arc::clone(&self.config.clock),
                Rc::new(sink),
            );
            self.dialers.insert(process.clone(), dialer);
        }
        // An entry can also be missing after an outage of the store, so working links are kept.
        let links = &self.links;
        self.dialers.retain(|process, _| {
            let in_use = || links.values().any(|link| link.process == *process);
            let keep = neighbors.contains_key(process) || in_use();
            if !keep {
                log::info!(peer:% = process; "gateway is no longer a neighbor; stopped dialing it");
            }
            keep
        });
        self.report_links();
    }

    /// Reports the number of linked and of registered gateways.
    fn report_links(&self) {
        metrics::gauge!("gateways_linked").set(as_f64(self.links.len() as u64));
        self.config.recipients.coverage.do_send(PeerCoverage {
            linked: self.links.len(),
            known: self.roster.count_others(&self.config.identity.process),
        });
    }

    /// Sends the changes since the last digest, or all usages over a new link.
    fn send_digest(&mut self, digest: Digest, counts: Option<Counts>) {
        let now = self.config.clock.now();
        let Digest {
            usages,
            failed,
            tokens,
            parts,
            ..
        } = digest;
        let time = counts.as_ref().map(|counts| counts.time);
        // The holder sends a report once its peers know of it.
        let report = time.and_then(|time| time.sent);
        let (changed_counts, all_counts) = counts
            .map(|counts| (counts.changes, counts.all))
            .unwrap_or_default();
        let current = by_endpoint(usages, |usage| &usage.endpoint);
        let changes = changes(&self.last_sent, &current, |endpoint| Usage {
            endpoint,
            requests: 0,
            prompt_tokens_to_prefill: Vec::new(),
        });
        let heartbeat_interval = match self.config.plan {
            Some(_) => CONFIRMATION_INTERVAL,
            None => HEARTBEAT_INTERVAL,
        };
        let current_tokens = by_endpoint(tokens, |occupancy| &occupancy.endpoint);
        let token_changes =
            self::changes(&self.last_tokens, &current_tokens, |endpoint| Occupancy {
                endpoint,
                own: Tokens::ZERO,
                prefixes: Vec::new(),
            });
        let heartbeat_due = self
            .last_sent_at
            .is_none_or(|sent_at| now.saturating_duration_since(sent_at) >= heartbeat_interval);
        let due = heartbeat_due
            || !changes.is_empty()
            || !token_changes.is_empty()
            || !failed.is_empty()
            || !parts.is_empty()
            || !changed_counts.is_empty()
            || report != self.last_report;
        let confirmed = self.config.plan.as_ref().map(|plan| plan.confirmed());
        let since_boot = self.config.clock.since_boot();
        for (session, link) in &mut self.links {
            let first = !std::mem::replace(&mut link.has_snapshot, true);
            if !first && !due {
                continue;
            }
            let (usages, tokens) = if first {
                let tokens = current_tokens.values().cloned();
                (current.values().cloned().collect(), tokens.collect())
            } else {
                (changes.clone(), token_changes.clone())
            };
            // A link that was opened after the counts were asked for gets them with the next digest.
            let begun = match &all_counts {
                Some(all_counts) if !link.has_counts => {
                    link.has_counts = true;
                    all_counts.clone()
                }
                _ => changed_counts.clone(),
            };
            link.outbox.send(Frame::Digest(Digest {
                usages,
                failed: failed.clone(),
                tokens,
                parts: parts.clone(),
                begun,
                time,
                plan: confirmed.map(|confirmed| self.plans.state(*session, confirmed, since_boot)),
            }));
        }
        if due {
            self.last_sent_at = Some(now);
            self.last_report = report;
        }
        self.last_sent = current;
        self.last_tokens = current_tokens;
    }

    /// Uses what a peer knows of the plan.
    fn receive_plan_state(&mut self, session: Session, state: PlanState) {
        let Some(plan) = &self.config.plan else {
            return;
        };
        let now = self.config.clock.since_boot();
        match self.plans.receive(session, state, plan.version(), now) {
            Step::Ignore => {}
            Step::Confirm(version, as_of) => plan.confirm(version, as_of),
            Step::Fetch => {
                let have = plan.version().map_or(0, Version::get);
                if let Some(link) = self.links.get(&session) {
                    log::info!(peer:% = link.process, have = have; "requesting a newer plan from a peer");
                    let have = Revision::new(have);
                    link.outbox.send(Frame::Fetch(Fetch { have }));
                }
            }
        }
    }

    /// Sends the plan to a peer with an older one.
    fn send_plan(&self, session: Session, have: Revision) {
        let plan = self.config.plan.as_ref().and_then(|plan| plan.text());
        let (Some((version, text)), Some(link)) = (plan, self.links.get(&session)) else {
            return;
        };
        if version.get() <= have.get() {
            return;
        }
        if text.len() as u64 > PLAN_MAX {
            log::warn!(peer:% = link.process, bytes = text.len(); "plan is too large for a peer");
            return;
        }
        link.outbox.send(Frame::Document(Document {
            revision: Revision::new(version.get()),
            sections: BTreeMap::from([(PLAN_SECTION.to_owned(), text)]),
        }));
    }

    fn receive_plan(&self, session: Session, document: &Document) {
        let text = document.sections.get(PLAN_SECTION);
        if let (Some(plan), Some(text)) = (&self.config.plan, text) {
            metrics::counter!("plans_from_peers_total").increment(1);
            log::info!(session:% = session, version:% = document.revision; "plan received from a peer");
            plan.adopt(text);
        }
    }
}

fn by_endpoint<T>(items: Vec<T>, endpoint: impl Fn(&T) -> &Endpoint) -> BTreeMap<Endpoint, T> {
    let items = items.into_iter();
    items.map(|item| (endpoint(&item).clone(), item)).collect()
}

/// What differs from the last digest. `none` is the state of an endpoint that is not listed any more.
fn changes<T: Clone + PartialEq>(
    last: &BTreeMap<Endpoint, T>,
    current: &BTreeMap<Endpoint, T>,
    none: impl Fn(Endpoint) -> T,
) -> Vec<T> {
    let changed = current
        .iter()
        .filter(|(endpoint, item)| last.get(*endpoint) != Some(*item))
        .map(|(_, item)| item.clone());
    let ended = last
        .keys()
        .filter(|endpoint| !current.contains_key(*endpoint))
        .map(|endpoint| none(endpoint.clone()));
    changed.chain(ended).collect()
}

impl Mesh {
    /// Sends a digest after each interval.
    fn schedule_digest(&self, ctx: &mut Context<Self>) {
        ctx.run_later(self.config.digest_interval(), |mesh, ctx| {
            mesh.schedule_digest(ctx);
            if mesh.links.is_empty() {
                return;
            }
            let digest = mesh
                .config
                .recipients
                .take_digest
                .send(TakeDigest)
                .into_actor(mesh);
            let sent = digest.then(|digest, mesh: &mut Self, _| {
                let take = TakeCounts {
                    all: mesh.links.values().any(|link| !link.has_counts),
                };
                let usage = mesh.config.recipients.usage.clone();
                let counts = async move {
                    let counts = match usage {
                        Some(usage) => usage.send(take).await.ok(),
                        None => None,
                    };
                    (digest, counts)
                };
                counts.into_actor(mesh)
            });
            let sent = sent.map(|(digest, counts): (Result<_, MailboxError>, _), mesh, _| {
                match digest {
                    Ok(digest) => mesh.send_digest(digest, counts),
                    Err(error) => {
                        log::debug!(error:% = error; "dispatcher has stopped; no digest is sent");
                    }
                }
            });
            ctx.spawn(sent);
        });
    }
}

impl Actor for Mesh {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        self.schedule_digest(ctx);
    }
}

/// Snapshot or changes of the gateways' entries in the store.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct GatewaysChanged(pub Update);

impl Handler<GatewaysChanged> for Mesh {
    type Result = ();

    fn handle(&mut self, GatewaysChanged(update): GatewaysChanged, ctx: &mut Context<Self>) {
        self.roster.apply(update);
        self.update_dialers(&ctx.address());
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
        log::info!(peer:% = msg.process, session:% = msg.session; "gateway link opened");
        let link = Link {
            process: msg.process,
            outbox: msg.outbox,
            has_snapshot: false,
            has_counts: false,
        };
        self.links.insert(msg.session, link);
        self.report_links();
    }
}

#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Closed(Session);

impl Handler<Closed> for Mesh {
    type Result = ();

    fn handle(&mut self, Closed(session): Closed, ctx: &mut Context<Self>) {
        self.plans.close(session);
        if let Some(link) = self.links.remove(&session) {
            log::info!(peer:% = link.process, session:% = session;
                "gateway link closed; work reported by the gateway is discarded");
        }
        self.update_dialers(&ctx.address());
    }
}

/// A frame that concerns the plan.
#[derive(Debug)]
enum PlanFrame {
    State(PlanState),
    Fetch(Fetch),
    Document(Document),
}

#[derive(Debug, Message)]
#[rtype(result = "()")]
struct PlanReceived(Session, PlanFrame);

impl Handler<PlanReceived> for Mesh {
    type Result = ();

    fn handle(&mut self, PlanReceived(session, frame): PlanReceived, _: &mut Context<Self>) {
        match frame {
            PlanFrame::State(state) => self.receive_plan_state(session, state),
            PlanFrame::Fetch(fetch) => self.send_plan(session, fetch.have),
            PlanFrame::Document(document) => self.receive_plan(session, &document),
        }
    }
}

/// Passes events and frames of the links to the mesh and the dispatcher.
#[derive(Debug)]
struct FrameSink {
    mesh: Addr<Mesh>,
    recipients: Recipients,
}

impl link::ConnectionHandler for FrameSink {
    fn on_open(&self, peer: &Peer, outbox: &Outbox) {
        self.mesh.do_send(Opened {
            session: peer.session,
            process: peer.hello.process.clone(),
            outbox: outbox.clone(),
        });
    }

    fn on_frame(&self, peer: &Peer, frame: Frame, _outbox: &Outbox) {
        let session = peer.session;
        let plan = match frame {
            Frame::Digest(mut digest) => {
                let state = digest.plan.take().map(PlanFrame::State);
                let begun = std::mem::take(&mut digest.begun);
                if let (Some(usage), Some(time)) = (&self.recipients.usage, digest.time) {
                    usage.do_send(PeerCounts {
                        process: peer.hello.process.clone(),
                        incarnation: peer.hello.incarnation,
                        begun,
                        time,
                    });
                }
                self.recipients
                    .digest
                    .do_send(PeerDigest { session, digest });
                state
            }
            Frame::Fetch(fetch) => Some(PlanFrame::Fetch(fetch)),
            Frame::Document(document) => Some(PlanFrame::Document(document)),
            _ => {
                log::warn!(peer:% = peer.hello.process; "ignoring unexpected frame from gateway");
                None
            }
        };
        if let Some(frame) = plan {
            self.mesh.do_send(PlanReceived(session, frame));
        }
    }

    fn on_close(&self, peer: &Peer) {
        self.recipients
            .disconnected
            .do_send(PeerDisconnected(peer.session));
        self.mesh.do_send(Closed(peer.session));
    }
}
