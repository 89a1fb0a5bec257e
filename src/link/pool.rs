use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use actix::{
    Actor, ActorContext, Addr, AsyncContext, Context, Handler, Message, Recipient, ResponseFuture,
};
use tokio::{sync::oneshot, time};

use super::{
    BroadcastRevision, Cancel, ConnectionHandler, Credit, Identity, Lookup, Outbox, Result,
    SendFrame, Session, SetDocument, Submit,
    dialer::{Dialer, dial},
    route::{
        AttemptEvent, Closed, Connection, Forwarder, GoAwayReceived, LookupCompleted, Opened, Route,
    },
};
use crate::{
    clock,
    error::{Error, Executed, Kind},
    id::{Attempt, Endpoint},
    invariant::{self, Invariant},
    routing,
    wire::{self, Frame, Outcome},
};

/// Timeout of a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(3);
/// Capacity of the actor's mailbox, in messages. `send` waits while it is full; `do_send` does not.
const MAILBOX_CAPACITY: usize = 4096;

/// Parameters of a pool.
#[expect(
    missing_debug_implementations,
    reason = "the sink is a trait object without Debug"
)]
pub struct Config {
    /// Identity sent to each agent.
    pub identity: Identity,
    /// Agents to connect to until there is a document, because they may be able to send one.
    pub seeds: Vec<SocketAddr>,
    /// Clock that measures idle time and connection lifetime.
    pub clock: clock::Shared,
    /// Notified when the connection to an endpoint's agent opens or closes.
    pub router: Recipient<routing::LinkChanged>,
    /// Receives the frames that belong to no attempt or lookup.
    pub sink: Rc<dyn ConnectionHandler>,
}

/// The connections of an entry to the agents, and the attempts in progress on each.
#[expect(
    missing_debug_implementations,
    reason = "the sink is a trait object without Debug"
)]
pub struct Pool {
    config: Config,
    routes: BTreeMap<Endpoint, Route>,
    /// Connections to endpoints that were removed from the document, or moved, with attempts in
    /// progress. They get no new attempts and close after the last one, so that a planned change
    /// interrupts no request.
    retired: Vec<Route>,
    sessions: HashMap<Session, Endpoint>,
    seeds: Vec<Dialer>,
}

/// Error for a frame that was not sent because there is no connection.
fn agent_unreachable() -> Error {
    Error::new(Kind::EndpointLost, "the agent cannot be reached").with_executed(Executed::No)
}

/// Starts the actor. It connects to the seeds first, and to the endpoints of a document once it
/// has one.
#[must_use]
pub fn spawn(config: Config) -> Addr<Pool> {
    let pool = Pool {
        config,
        routes: BTreeMap::new(),
        retired: Vec::new(),
        sessions: HashMap::new(),
        seeds: Vec::new(),
    };
    pool.start()
}

impl Actor for Pool {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
        self.seeds = self
            .config
            .seeds
            .iter()
            .map(|seed| self.dial_seed(*seed))
            .collect();
    }

    fn stopped(&mut self, _ctx: &mut Self::Context) {
        self.routes.clear();
        self.retired.clear();
        self.seeds.clear();
    }
}

impl Pool {
    fn dial_agent(&self, endpoint: &Endpoint, address: SocketAddr, pool: Addr<Self>) -> Route {
        let sink = Rc::new(Forwarder {
            endpoint: endpoint.clone(),
            pool,
            sink: Rc::clone(&self.config.sink),
        });
        let identity = self.config.identity.clone();
        let dialer = dial(address, identity, Arc::clone(&self.config.clock), sink);
        Route::new(endpoint.clone(), dialer)
    }

    /// Connects to an agent whose endpoint is not yet known.
    fn dial_seed(&self, address: SocketAddr) -> Dialer {
        let identity = self.config.identity.clone();
        let clock = Arc::clone(&self.config.clock);
        dial(address, identity, clock, Rc::clone(&self.config.sink))
    }

    fn route_for_session(&mut self, session: Session) -> Option<&mut Route> {
        let endpoint = self.sessions.get(&session)?;
        let active = self.routes.get_mut(endpoint);
        let active = active.filter(|route| route.has_session(session));
        match active {
            Some(route) => Some(route),
            None => self
                .retired
                .iter_mut()
                .find(|route| route.has_session(session)),
        }
    }

    fn route_for_attempt(&mut self, endpoint: &Endpoint, attempt: Attempt) -> Option<&mut Route> {
        let active = self.routes.get_mut(endpoint);
        let active = active.filter(|route| route.has_attempt(attempt));
        match active {
            Some(route) => Some(route),
            None => self
                .retired
                .iter_mut()
                .find(|route| route.has_attempt(attempt)),
        }
    }

    fn outbox(&self, endpoint: &Endpoint) -> Option<&Outbox> {
        Some(&self.routes.get(endpoint)?.connection.as_ref()?.outbox)
    }

    fn notify_router(&self, endpoint: &Endpoint, up: bool) {
        self.config.router.do_send(routing::LinkChanged {
            endpoint: endpoint.clone(),
            up,
        });
    }

    fn retire(&mut self, endpoint: &Endpoint) {
        if let Some(route) = self.routes.remove(endpoint) {
            self.notify_router(endpoint, false);
            self.retired.push(route);
        }
    }

    fn close_idle_retired(&mut self) {
        self.retired.retain(|route| !route.is_idle());
    }
}

impl Handler<Opened> for Pool {
    type Result = ();

    fn handle(&mut self, Opened(endpoint, peer, outbox): Opened, _ctx: &mut Self::Context) {
        log::info!(endpoint:% = endpoint, peer:% = peer.hello.process; "connected to the agent");
        let session = peer.session;
        if let Some(route) = self.routes.get_mut(&endpoint) {
            route.disconnect();
            route.connection = Some(Connection { peer, outbox });
            self.sessions.insert(session, endpoint.clone());
            self.notify_router(&endpoint, true);
        }
    }
}

impl Handler<AttemptEvent> for Pool {
    type Result = ();

    fn handle(
        &mut self,
        AttemptEvent(session, attempt, event): AttemptEvent,
        _ctx: &mut Self::Context,
    ) {
        if let Some(route) = self.route_for_session(session) {
            route.deliver(attempt, event);
        }
        self.close_idle_retired();
    }
}

impl Handler<LookupCompleted> for Pool {
    type Result = ();

    fn handle(
        &mut self,
        LookupCompleted(session, outcome): LookupCompleted,
        _ctx: &mut Self::Context,
    ) {
        if let Some(route) = self.route_for_session(session) {
            route.complete_lookup(outcome);
        }
    }
}

impl Handler<Closed> for Pool {
    type Result = ();

    fn handle(&mut self, Closed(session): Closed, _ctx: &mut Self::Context) {
        if let Some(route) = self.route_for_session(session) {
            route.disconnect();
            let endpoint = route.endpoint.clone();
            // For a retired connection the router was notified when it was retired, and the
            // endpoint may have a new connection since.
            if self
                .routes
                .get(&endpoint)
                .is_some_and(|route| route.connection.is_none())
            {
                self.notify_router(&endpoint, false);
            }
        }
        self.sessions.remove(&session);
        self.close_idle_retired();
    }
}

impl Handler<GoAwayReceived> for Pool {
    type Result = ();

    fn handle(&mut self, GoAwayReceived(session): GoAwayReceived, _ctx: &mut Self::Context) {
        if let Some(route) = self.route_for_session(session) {
            route.leaving = true;
            if let Some(connection) = &route.connection {
                connection.outbox.send(Frame::GoAway);
            }
        }
    }
}

impl Handler<Submit> for Pool {
    type Result = Result<()>;

    fn handle(&mut self, mut msg: Submit, _ctx: &mut Self::Context) -> Result<()> {
        let route = self
            .routes
            .get_mut(&msg.endpoint)
            .ok_or_else(agent_unreachable)?;
        if route.leaving {
            return Err(Error::new(Kind::Leaving, "the agent is leaving"));
        }
        let connection = route.connection.as_ref().ok_or_else(agent_unreachable)?;
        msg.submit.incarnation = connection.peer.hello.incarnation;
        let attempt = msg.submit.attempt;
        if !connection.outbox.try_send(Frame::Submit(msg.submit)) {
            return Err(agent_unreachable());
        }
        route.add_attempt(attempt, msg.events);
        Ok(())
    }
}

impl Handler<Credit> for Pool {
    type Result = ();

    fn handle(&mut self, msg: Credit, _ctx: &mut Self::Context) {
        let Credit {
            endpoint,
            attempt,
            bytes,
        } = msg;
        let route = self.route_for_attempt(&endpoint, attempt);
        if let Some(connection) = route.and_then(|route| route.connection.as_ref()) {
            connection
                .outbox
                .send(Frame::Credit(wire::Credit { attempt, bytes }));
        }
    }
}

impl Handler<Cancel> for Pool {
    type Result = ();

    fn handle(&mut self, msg: Cancel, _ctx: &mut Self::Context) {
        if let Some(route) = self.route_for_attempt(&msg.endpoint, msg.attempt) {
            route.cancel(msg.attempt);
        }
        self.close_idle_retired();
    }
}

impl Handler<Lookup> for Pool {
    type Result = ResponseFuture<Result<Outcome>>;

    fn handle(&mut self, msg: Lookup, _ctx: &mut Self::Context) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        let request = msg.lookup.request;
        let frame = Frame::Lookup(msg.lookup);
        let sent = self
            .outbox(&msg.endpoint)
            .is_some_and(|outbox| outbox.try_send(frame));
        if let Some(route) = self.routes.get_mut(&msg.endpoint).filter(|_route| sent) {
            route.add_lookup(request, sender);
        }
        Box::pin(async move {
            let outcome = time::timeout(LOOKUP_TIMEOUT, receiver).await;
            outcome
                .map_err(|_elapsed| agent_unreachable())?
                .map_err(|_dropped| agent_unreachable())
        })
    }
}

impl Handler<SendFrame> for Pool {
    type Result = bool;

    fn handle(&mut self, msg: SendFrame, _ctx: &mut Self::Context) -> bool {
        self.outbox(&msg.endpoint)
            .is_some_and(|outbox| outbox.try_send(msg.frame))
    }
}

impl Handler<BroadcastRevision> for Pool {
    type Result = ();

    fn handle(&mut self, BroadcastRevision(revision): BroadcastRevision, _ctx: &mut Self::Context) {
        let routes = self.routes.values().chain(&self.retired);
        for connection in routes.filter_map(|route| route.connection.as_ref()) {
            connection.outbox.send(Frame::Heartbeat(revision));
        }
    }
}

impl Handler<SetDocument> for Pool {
    type Result = ();

    fn handle(&mut self, SetDocument(document): SetDocument, ctx: &mut Self::Context) {
        self.seeds.clear();
        let removed_or_moved = |name: &Endpoint, route: &Route| {
            document
                .endpoints
                .get(name)
                .is_none_or(|spec| spec.agent != route.address())
        };
        let stale = self
            .routes
            .iter()
            .filter(|(name, route)| removed_or_moved(name, route));
        let stale: Vec<Endpoint> = stale.map(|(name, _route)| name.clone()).collect();
        for endpoint in &stale {
            self.retire(endpoint);
        }
        self.close_idle_retired();
        for (name, spec) in &document.endpoints {
            if !self.routes.contains_key(name) {
                let route = self.dial_agent(name, spec.agent, ctx.address());
                self.routes.insert(name.clone(), route);
            }
        }
    }
}

/// Stops the pool and closes its connections. No attempts may be in progress.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;

impl Handler<Stop> for Pool {
    type Result = ();

    fn handle(&mut self, _stop: Stop, ctx: &mut Self::Context) {
        let mut routes = self.routes.values().chain(&self.retired);
        let idle = routes.all(Route::is_idle);
        invariant::check(Invariant::NoCut, idle, || {
            "the entry closes connections with attempts in progress".to_owned()
        });
        ctx.stop();
    }
}
