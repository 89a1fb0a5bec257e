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
    authority::{Ask, Held, Holder},
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
    at: Instant,
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
    }
}

impl Reconciler {
    /// Reads what a round needs. Without a held group nothing is read, so that the calls to the
    /// store grow with the groups and not with the entries.
    async fn read(authority: Addr<Holder>, desired: Desired, hosts: Option<Rc<dyn Hosts>>) -> Seen {
        let held = authority.send(Held).await.unwrap_or_default();
        let held: BTreeSet<Group> = held.into_iter().map(|(group, _fence)| group).collect();
        if held.is_empty() {
            return Seen::default();
        }
        // What cannot be read stays as it was last read.
        let wishes = desired.read().await.ok();
        let leaving = match hosts {
            Some(hosts) => hosts.list().await.ok().map(|list| {
                let leaving = list
                    .into_iter()
                    .filter(|entry| entry.standing == Standing::Leaving);
                leaving.map(|entry| entry.host).collect()
            }),
            None => None,
        };
        Seen {
            held,
            wishes,
            leaving,
        }
    }

    fn learn(&mut self, seen: Seen) {
        self.held = seen.held;
        self.known.wishes = seen
            .wishes
            .unwrap_or_else(|| std::mem::take(&mut self.known.wishes));
        self.known.leaving = seen
            .leaving
            .unwrap_or_else(|| std::mem::take(&mut self.known.leaving));
    }

    /// Sends the orders that are due.
    fn act(&mut self, ctx: &mut Context<Self>) {
        let now = self.config.clock.now();
        let changes = plan(&self.known, &self.held);
        self.sent
            .retain(|endpoint, sent| changes.get(endpoint) == Some(&sent.change));
        for (endpoint, change) in changes {
            let sent = match self.sent.get(&endpoint) {
                Some(sent) if now.saturating_duration_since(sent.at) < RESEND => continue,
                Some(sent) => Sent {
                    at: now,
                    ..sent.clone()
                },
                None => Sent {
                    order: id::Order::random(&mut rand::rng()),
                    change,
                    at: now,
                },
            };
            self.sent.insert(endpoint.clone(), sent.clone());
            self.send(endpoint, sent, ctx);
        }
    }

    /// Sends an order if the group is still held at the moment of sending.
    fn send(&self, endpoint: Endpoint, sent: Sent, ctx: &mut Context<Self>) {
        let Some(spec) = self.known.document.endpoints.get(&endpoint) else {
            return;
        };
        let group = spec.group.clone();
        let authority = self.config.authority.clone();
        let clock = Arc::clone(&self.config.clock);
        let link = self.config.link.clone();
        let sending = async move {
            let Ok(Some(permit)) = authority.send(Ask(group.clone())).await else {
                return;
            };
            let Ok(fence) = permit.fence(clock.now()) else {
                return;
            };
            let Sent { order, change, .. } = sent;
            log::info!(endpoint:% = endpoint, order:% = order, fence:% = fence,
                change:? = change; "order is sent");
            let frame = Frame::Order(Order {
                order,
                group,
                fence,
                change,
            });
            link.do_send(link::Send { endpoint, frame });
        };
        sending.into_actor(self).spawn(ctx);
    }
}

/// What a round has read.
#[derive(Debug, Default)]
struct Seen {
    held: BTreeSet<Group>,
    wishes: Option<BTreeMap<Endpoint, super::Wish>>,
    leaving: Option<BTreeSet<id::Host>>,
}

#[derive(Message)]
#[rtype(result = "()")]
struct Round;

impl Handler<Round> for Reconciler {
    type Result = ();

    fn handle(&mut self, _msg: Round, ctx: &mut Self::Context) {
        let authority = self.config.authority.clone();
        let reading = Self::read(authority, self.desired.clone(), self.config.hosts.clone());
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
        // The next round plans from the next report. A refused order needs a new id, because the
        // agent answers the old one as before.
        self.sent.retain(|_endpoint, sent| sent.order != done.order);
    }
}
