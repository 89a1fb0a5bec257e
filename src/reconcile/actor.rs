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

use super::{Desired, Inputs, plan};
use crate::{
    authority::{GetHeldGroups, GetPermit, Holder},
    clock,
    config::Document,
    id::{self, Endpoint, Group},
    link,
    membership::{HostSource, HostState},
    store::Store,
    wire::{Change, Done, Frame, Order, Report},
};

/// Pause between two rounds, in each of which the store is read and orders are sent, and between
/// two reads of the host list. A drain has to take effect within 3 s, which includes a read of the
/// store and a report from the agent.
const POLL_PAUSE: Duration = Duration::from_millis(500);
/// Time after which an unanswered order is sent again, with the same id.
const RESEND_AFTER: Duration = Duration::from_secs(5);

/// Dependencies of a reconciler.
pub struct Config {
    /// Store of the intents of operators: which endpoints they want to drain.
    pub store: Rc<dyn Store>,
    /// Host list of the platform; without one, no host is considered to be leaving.
    pub hosts: Option<Rc<dyn HostSource>>,
    /// Actor that acquires authority over groups and issues the permits for orders to them.
    pub authority: Addr<Holder>,
    /// Receives the orders for delivery to the agents.
    pub link: Recipient<link::SendFrame>,
    /// Clock for the expiry of permits and for the resending of unanswered orders.
    pub clock: clock::Shared,
}

impl fmt::Debug for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Config")
    }
}

/// Actor that plans and sends orders.
#[derive(Debug)]
pub struct Reconciler {
    config: Config,
    desired: Desired,
    inputs: Inputs,
    held: BTreeSet<Group>,
    unanswered: BTreeMap<Endpoint, Unanswered>,
}

/// An order that has not been answered yet.
#[derive(Clone, Debug)]
struct Unanswered {
    id: id::Order,
    change: Change,
    /// Time of the last delivery attempt; `None` if it failed, so that the order is due again.
    sent_at: Option<Instant>,
}

/// Starts a reconciler, which begins its first round at once. To be called inside an actix system.
#[must_use]
pub fn spawn(config: Config) -> Addr<Reconciler> {
    let desired = Desired::new(Rc::clone(&config.store));
    let reconciler = Reconciler {
        config,
        desired,
        inputs: Inputs::default(),
        held: BTreeSet::new(),
        unanswered: BTreeMap::new(),
    };
    reconciler.start()
}

impl Actor for Reconciler {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.notify(Round);
        ctx.notify(ReadHosts);
    }
}

impl Reconciler {
    /// Reads the inputs of a round. A process that holds no group does not read the store, so that
    /// the number of store calls is limited by the number of groups, not of entry processes.
    async fn read(authority: Addr<Holder>, desired: Desired) -> RoundData {
        let held = authority.send(GetHeldGroups).await.unwrap_or_default();
        let held: BTreeSet<Group> = held.into_iter().map(|(group, _fence)| group).collect();
        if held.is_empty() {
            return RoundData::default();
        }
        let intents = desired.read().await.ok();
        RoundData { held, intents }
    }

    /// Updates the inputs. Intents that could not be read keep their last value. Without a held
    /// group, the intents and the leaving hosts are cleared, because they are no longer read.
    fn update_inputs(&mut self, read: RoundData) {
        self.held = read.held;
        if self.held.is_empty() {
            self.inputs.intents = None;
            self.inputs.leaving = None;
        }
        if read.intents.is_some() {
            self.inputs.intents = read.intents;
        }
    }

    /// Plans the changes and sends their orders: those not sent yet, those whose last delivery
    /// failed, and those without an answer for [`RESEND_AFTER`]. Drops unanswered orders whose
    /// change is no longer planned.
    fn send_due_orders(&mut self, ctx: &mut Context<Self>) {
        let now = self.config.clock.now();
        let changes = plan(&self.inputs, &self.held);
        self.unanswered
            .retain(|endpoint, unanswered| changes.get(endpoint) == Some(&unanswered.change));
        for (endpoint, change) in changes {
            let unanswered = match self.unanswered.get(&endpoint) {
                Some(Unanswered {
                    sent_at: Some(sent_at),
                    ..
                }) if now.saturating_duration_since(*sent_at) < RESEND_AFTER => {
                    continue;
                }
                Some(known) => Unanswered {
                    sent_at: Some(now),
                    ..known.clone()
                },
                None => Unanswered {
                    id: id::Order::random(&mut rand::rng()),
                    change,
                    sent_at: Some(now),
                },
            };
            self.unanswered.insert(endpoint.clone(), unanswered.clone());
            self.send(endpoint, unanswered, ctx);
        }
    }

    /// Sends an order if the group is still held at the time of sending. An order that could not be
    /// delivered is sent again by the next call of [`Self::send_due_orders`].
    fn send(&self, endpoint: Endpoint, unanswered: Unanswered, ctx: &mut Context<Self>) {
        let Some(spec) = self.inputs.document.endpoints.get(&endpoint) else {
            return;
        };
        let id = unanswered.id;
        let delivery = Delivery {
            group: spec.group.clone(),
            endpoint: endpoint.clone(),
            unanswered,
            authority: self.config.authority.clone(),
            clock: Arc::clone(&self.config.clock),
            link: self.config.link.clone(),
        };
        let sending = delivery.run().into_actor(self);
        let sending = sending.map(move |delivered, reconciler, _ctx| {
            let unanswered = reconciler.unanswered.get_mut(&endpoint);
            if let Some(unanswered) = unanswered.filter(|known| !delivered && known.id == id) {
                unanswered.sent_at = None;
            }
        });
        sending.spawn(ctx);
    }
}

/// Delivery of one order to the connection of its agent.
struct Delivery {
    group: Group,
    endpoint: Endpoint,
    unanswered: Unanswered,
    authority: Addr<Holder>,
    clock: clock::Shared,
    link: Recipient<link::SendFrame>,
}

impl Delivery {
    /// Returns whether a connection accepted the order.
    async fn run(self) -> bool {
        let Self {
            group,
            endpoint,
            unanswered: Unanswered { id, change, .. },
            ..
        } = self;
        let Ok(Some(permit)) = self.authority.send(GetPermit(group.clone())).await else {
            return false;
        };
        let Ok(fence) = permit.fence(self.clock.now()) else {
            return false;
        };
        let frame = Frame::Order(Order {
            order: id,
            group,
            fence,
            change: change.clone(),
        });
        let send = link::SendFrame {
            endpoint: endpoint.clone(),
            frame,
        };
        let delivered = self.link.send(send).await.unwrap_or(false);
        if delivered {
            log::info!(endpoint:% = endpoint, order:% = id, fence:% = fence,
                change:? = change; "order sent");
        }
        delivered
    }
}

/// Held groups and intents, as read at the start of a round.
#[derive(Debug, Default)]
struct RoundData {
    held: BTreeSet<Group>,
    /// `None` if they could not be read, or were not read because no group is held.
    intents: Option<BTreeMap<Endpoint, super::Intent>>,
}

/// Starts a round: reads the inputs and sends the orders that are due.
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
            .map(|read, reconciler, ctx| {
                reconciler.update_inputs(read);
                reconciler.send_due_orders(ctx);
                ctx.notify_later(Round, POLL_PAUSE);
            })
            .spawn(ctx);
    }
}

/// Reads the host list. This is not part of a round, so that a slow answer does not delay a drain
/// that an operator asked for.
#[derive(Message)]
#[rtype(result = "()")]
struct ReadHosts;

impl Handler<ReadHosts> for Reconciler {
    type Result = ();

    fn handle(&mut self, _msg: ReadHosts, ctx: &mut Self::Context) {
        let hosts = self.config.hosts.clone();
        let holds_groups = !self.held.is_empty();
        let reading = async move {
            match hosts {
                Some(hosts) if holds_groups => hosts.list().await.ok(),
                Some(_) => None,
                // Without a host list, no host is leaving.
                None => Some(Vec::new()),
            }
        };
        reading
            .into_actor(self)
            .map(|list, reconciler, ctx| {
                if let Some(list) = list {
                    let leaving = list
                        .into_iter()
                        .filter(|listed| listed.state == HostState::Leaving);
                    reconciler.inputs.leaving = Some(leaving.map(|listed| listed.host).collect());
                    reconciler.send_due_orders(ctx);
                }
                ctx.notify_later(ReadHosts, POLL_PAUSE);
            })
            .spawn(ctx);
    }
}

/// Puts a new configuration document into effect. Reports of endpoints that it no longer contains
/// are dropped.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetDocument(pub Arc<Document>);

impl Handler<SetDocument> for Reconciler {
    type Result = ();

    fn handle(&mut self, SetDocument(document): SetDocument, _ctx: &mut Self::Context) {
        self.inputs.document = Document::clone(&document);
        let endpoints = &self.inputs.document.endpoints;
        self.inputs
            .reports
            .retain(|endpoint, _report| endpoints.contains_key(endpoint));
    }
}

/// Delivers a report of an agent; it replaces the last one of the endpoint.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct ReportReceived(pub Report);

impl Handler<ReportReceived> for Reconciler {
    type Result = ();

    fn handle(&mut self, ReportReceived(report): ReportReceived, _ctx: &mut Self::Context) {
        self.inputs.reports.insert(report.endpoint.clone(), report);
    }
}

/// Delivers the answer of an agent to an order.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct OrderAnswered(pub Done);

impl Handler<OrderAnswered> for Reconciler {
    type Result = ();

    fn handle(&mut self, OrderAnswered(done): OrderAnswered, _ctx: &mut Self::Context) {
        log::info!(order:% = done.order, verdict:? = done.verdict; "order answered");
        let found = self
            .unanswered
            .iter()
            .find(|(_, unanswered)| unanswered.id == done.order);
        let Some((endpoint, unanswered)) = found else {
            return;
        };
        let endpoint = endpoint.clone();
        // If the change is still planned, the last report of the endpoint is older than the answer,
        // or the change was not applied. The report is removed, so that the next change is planned
        // from the report that follows with the next heartbeat of the agent, within 1 s. If that is
        // the same change, its order has a new id, because an agent repeats its answer to a known
        // id.
        if plan(&self.inputs, &self.held).get(&endpoint) == Some(&unanswered.change) {
            self.inputs.reports.remove(&endpoint);
        }
        self.unanswered.remove(&endpoint);
    }
}
