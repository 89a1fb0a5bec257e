use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{
    Actor, ActorFutureExt, Addr, AsyncContext, Context, ContextFutureSpawner, Handler, Message,
    Recipient, WrapFuture,
};

use super::{Desired, Known, plan};
use crate::{
    authority::{GetPermit, Held, Holder},
    clock,
    config::Document,
    id::{self, Endpoint, Group},
    link,
    membership::{Hosts, Standing},
    store::Store,
    wire::{Change, Done, Frame, Order, Report},
};

/// Pause between two rounds. A drain has to take effect within 3 s, and a round needs the store
/// and a report from the agent.
const ROUND: Duration = Duration::from_millis(500);
/// Time after which an unanswered order is sent again, with the same id.
const RESEND: Duration = Duration::from_secs(5);

/// What a reconciler needs.
pub struct Config {
    /// The platform store.
    pub store: Rc<dyn Store>,
    /// The platform's host list, if there is one.
    pub hosts: Option<Rc<dyn Hosts>>,
    /// Knows the groups that are held.
    pub authority: Addr<Holder>,
    /// Sends orders.
    pub link: Recipient<link::Send>,
    /// The clock.
    pub clock: clock::Shared,
}

impl fmt::Debug for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Config")
    }
}

/// The actor that sends orders.
#[derive(Debug)]
pub struct Reconciler {
    config: Config,
    desired: Desired,
    known: Known,
    held: BTreeSet<Group>,
    sent: BTreeMap<Endpoint, Sent>,
}

/// An order that was not answered yet.
#[derive(Clone, Debug)]
struct Sent {
    order: id::Order,
    change: Change,
    /// Time at which it was last sent; `None` if there was no connection.
    at: Option<Instant>,
}

/// Starts the actor.
#[must_use]
pub fn spawn(config: Config) -> Addr<Reconciler> {
    let desired = Desired::new(Rc::clone(&config.store));
    let reconciler = Reconciler {
        config,
        desired,
        known: Known::default(),
        held: BTreeSet::new(),
        sent: BTreeMap::new(),
    };
    reconciler.start()
}

impl Actor for Reconciler {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.notify(Round);
        ctx.notify(Look);
    }
}

impl Reconciler {
    /// Reads what a round needs. Without a held group nothing is read, so that the calls to the
    /// store grow with the groups and not with the entries.
    async fn read(authority: Addr<Holder>, desired: Desired) -> Seen {
        let held = authority.send(Held).await.unwrap_or_default();
        let held: BTreeSet<Group> = held.into_iter().map(|(group, _fence)| group).collect();
        if held.is_empty() {
            return Seen::default();
        }
        let intents = desired.read().await.ok();
        Seen { held, intents }
    }

    /// What cannot be read stays as it was last read, as long as a group is held.
    fn learn(&mut self, seen: Seen) {
        self.held = seen.held;
        if self.held.is_empty() {
            self.known.intents = None;
            self.known.leaving = None;
        }
        if seen.intents.is_some() {
            self.known.intents = seen.intents;
        }
    }

    /// Sends the orders that are due.
    fn act(&mut self, ctx: &mut Context<Self>) {
        let now = self.config.clock.now();
        let changes = plan(&self.known, &self.held);
        self.sent
            .retain(|endpoint, sent| changes.get(endpoint) == Some(&sent.change));
        for (endpoint, change) in changes {
            let sent = match self.sent.get(&endpoint) {
                Some(Sent { at: Some(at), .. }) if now.saturating_duration_since(*at) < RESEND => {
                    continue;
                }
                Some(sent) => Sent {
                    at: Some(now),
                    ..sent.clone()
                },
                None => Sent {
                    order: id::Order::random(&mut rand::rng()),
                    change,
                    at: Some(now),
                },
            };
            self.sent.insert(endpoint.clone(), sent.clone());
            self.send(endpoint, sent, ctx);
        }
    }

    /// Sends an order if the group is still held at the moment of sending. An order that could not
    /// be sent is due again in the next round.
    fn send(&self, endpoint: Endpoint, sent: Sent, ctx: &mut Context<Self>) {
        let Some(spec) = self.known.document.endpoints.get(&endpoint) else {
            return;
        };
        let order = sent.order;
        let delivery = Delivery {
            group: spec.group.clone(),
            endpoint: endpoint.clone(),
            sent,
            authority: self.config.authority.clone(),
            clock: Arc::clone(&self.config.clock),
            link: self.config.link.clone(),
        };
        let sending = delivery.run().into_actor(self);
        let sending = sending.map(move |delivered, reconciler, _ctx| {
            let sent = reconciler.sent.get_mut(&endpoint);
            if let Some(sent) = sent.filter(|sent| !delivered && sent.order == order) {
                sent.at = None;
            }
        });
        sending.spawn(ctx);
    }
}

/// An order on its way to the connection.
struct Delivery {
    group: Group,
    endpoint: Endpoint,
    sent: Sent,
    authority: Addr<Holder>,
    clock: clock::Shared,
    link: Recipient<link::Send>,
}

impl Delivery {
    /// Returns whether the order was handed to a connection.
    async fn run(self) -> bool {
        let Self {
            group,
            endpoint,
            sent: Sent { order, change, .. },
            ..
        } = self;
        let Ok(Some(permit)) = self.authority.send(GetPermit(group.clone())).await else {
            return false;
        };
        let Ok(fence) = permit.fence(self.clock.now()) else {
            return false;
        };
        let frame = Frame::Order(Order {
            order,
            group,
            fence,
            change: change.clone(),
        });
        let send = link::Send {
            endpoint: endpoint.clone(),
            frame,
        };
        let delivered = self.link.send(send).await.unwrap_or(false);
        if delivered {
            log::info!(endpoint:% = endpoint, order:% = order, fence:% = fence,
                change:? = change; "order is sent");
        }
        delivered
    }
}

/// What a round has read.
#[derive(Debug, Default)]
struct Seen {
    held: BTreeSet<Group>,
    intents: Option<BTreeMap<Endpoint, super::Intent>>,
}

#[derive(Message)]
#[rtype(result = "()")]
struct Round;

impl Handler<Round> for Reconciler {
    type Result = ();

    fn handle(&mut self, _msg: Round, ctx: &mut Self::Context) {
        let authority = self.config.authority.clone();
        let reading = Self::read(authority, self.desired.clone());
        reading
            .into_actor(self)
            .map(|seen, reconciler, ctx| {
                reconciler.learn(seen);
                reconciler.act(ctx);
                ctx.notify_later(Round, ROUND);
            })
            .spawn(ctx);
    }
}

/// Reads the host list. It is no part of a round, so that a list that answers slowly delays no
/// drain that an operator asked for.
#[derive(Message)]
#[rtype(result = "()")]
struct Look;

impl Handler<Look> for Reconciler {
    type Result = ();

    fn handle(&mut self, _msg: Look, ctx: &mut Self::Context) {
        let hosts = self.config.hosts.clone();
        let held = !self.held.is_empty();
        let reading = async move {
            match hosts {
                Some(hosts) if held => hosts.list().await.ok(),
                Some(_) => None,
                // Without a host list no host leaves.
                None => Some(Vec::new()),
            }
        };
        reading
            .into_actor(self)
            .map(|list, reconciler, ctx| {
                if let Some(list) = list {
                    let leaving = list
                        .into_iter()
                        .filter(|entry| entry.standing == Standing::Leaving);
                    reconciler.known.leaving = Some(leaving.map(|entry| entry.host).collect());
                    reconciler.act(ctx);
                }
                ctx.notify_later(Look, ROUND);
            })
            .spawn(ctx);
    }
}

/// A new document is in force.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Adopt(pub Arc<Document>);

impl Handler<Adopt> for Reconciler {
    type Result = ();

    fn handle(&mut self, Adopt(document): Adopt, _ctx: &mut Self::Context) {
        self.known.document = Document::clone(&document);
        let endpoints = &self.known.document.endpoints;
        self.known
            .reports
            .retain(|endpoint, _report| endpoints.contains_key(endpoint));
    }
}

/// An agent reported.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Noticed(pub Report);

impl Handler<Noticed> for Reconciler {
    type Result = ();

    fn handle(&mut self, Noticed(report): Noticed, _ctx: &mut Self::Context) {
        self.known.reports.insert(report.endpoint.clone(), report);
    }
}

/// An agent answered an order.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Finished(pub Done);

impl Handler<Finished> for Reconciler {
    type Result = ();

    fn handle(&mut self, Finished(done): Finished, _ctx: &mut Self::Context) {
        log::info!(order:% = done.order, verdict:? = done.verdict; "order is answered");
        let sent = self.sent.iter().find(|(_, sent)| sent.order == done.order);
        let Some((endpoint, sent)) = sent.map(|(endpoint, sent)| (endpoint.clone(), sent)) else {
            return;
        };
        // A report that still asks for the change is older than the answer, or the order was
        // refused. The next plan waits for the next report, which comes within a second. A refused
        // order then gets a new id, because the agent answers the old one as before.
        if plan(&self.known, &self.held).get(&endpoint) == Some(&sent.change) {
            self.known.reports.remove(&endpoint);
        }
        self.sent.remove(&endpoint);
    }
}
