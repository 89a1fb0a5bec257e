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
    Adopt, Announce, Cancel, Credit, Identity, Lookup, Outbox, Result, Send, Session, Sink, Submit,
    dialer::{Dialer, dial},
    route::{Arrived, Closed, Forwarder, Found, Leaving, Opened, Route, Up},
};
use crate::{
    clock,
    error::{Error, Executed, Kind},
    id::{Attempt, Endpoint},
    invariant::{self, Point},
    routing,
    wire::{self, Frame, Outcome},
};

/// Longest time that an agent may take to answer a lookup.
const LOOKUP_LIMIT: Duration = Duration::from_secs(3);
/// Messages that may wait for the pool before senders that wait for room are held back.
const MAILBOX: usize = 4096;

/// What a pool needs.
#[expect(
    missing_debug_implementations,
    reason = "the sink is a trait object without Debug"
)]
pub struct Config {
    /// Who this process is.
    pub identity: Identity,
    /// Agents to connect to until there is a document, from which they may have one.
    pub seeds: Vec<SocketAddr>,
    /// The clock.
    pub clock: clock::Shared,
    /// Is told when a connection comes up or goes down.
    pub router: Recipient<routing::Linked>,
    /// Receives the frames that belong to no attempt.
    pub sink: Rc<dyn Sink>,
}

/// The connections of an entry to the agents, and the attempts that wait on each.
#[expect(
    missing_debug_implementations,
    reason = "the sink is a trait object without Debug"
)]
pub struct Pool {
    config: Config,
    routes: BTreeMap<Endpoint, Route>,
    /// Connections to endpoints that left the document while they still served attempts. They
    /// take no new attempts, and close with their last one: a planned change cuts off no request.
    retired: Vec<Route>,
    sessions: HashMap<Session, Endpoint>,
    seeds: Vec<Dialer>,
}

/// No connection, so that nothing was sent.
fn unreachable() -> Error {
    Error::new(Kind::EndpointLost, "the agent cannot be reached").with_executed(Executed::No)
}

/// Starts the actor. It connects to agents once it has a document.
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
        ctx.set_mailbox_capacity(MAILBOX);
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
    fn dial(&self, endpoint: &Endpoint, address: SocketAddr, pool: Addr<Self>) -> Route {
        let sink = Rc::new(Forwarder {
            endpoint: endpoint.clone(),
            pool,
            sink: Rc::clone(&self.config.sink),
        });
        let identity = self.config.identity.clone();
        let dialer = dial(address, identity, Arc::clone(&self.config.clock), sink);
        Route::new(endpoint.clone(), dialer)
    }

    /// Connects to an agent whose endpoint is not known yet.
    fn dial_seed(&self, address: SocketAddr) -> Dialer {
        let identity = self.config.identity.clone();
        let clock = Arc::clone(&self.config.clock);
        dial(address, identity, clock, Rc::clone(&self.config.sink))
    }

    fn route_of(&mut self, session: Session) -> Option<&mut Route> {
        let endpoint = self.sessions.get(&session)?;
        let present = self.routes.get_mut(endpoint);
        let present = present.filter(|route| route.has_session(session));
        match present {
            Some(route) => Some(route),
            None => self
                .retired
                .iter_mut()
                .find(|route| route.has_session(session)),
        }
    }

    fn route_with(&mut self, endpoint: &Endpoint, attempt: Attempt) -> Option<&mut Route> {
        let present = self.routes.get_mut(endpoint);
        let present = present.filter(|route| route.waits_for(attempt));
        match present {
            Some(route) => Some(route),
            None => self
                .retired
                .iter_mut()
                .find(|route| route.waits_for(attempt)),
        }
    }

    fn outbox(&self, endpoint: &Endpoint) -> Option<&Outbox> {
        Some(&self.routes.get(endpoint)?.up.as_ref()?.outbox)
    }

    fn tell_router(&self, endpoint: &Endpoint, up: bool) {
        self.config.router.do_send(routing::Linked {
            endpoint: endpoint.clone(),
            up,
        });
    }

    fn retire(&mut self, endpoint: &Endpoint) {
        if let Some(route) = self.routes.remove(endpoint) {
            self.tell_router(endpoint, false);
            self.retired.push(route);
        }
    }

    fn close_idle(&mut self) {
        self.retired.retain(|route| !route.is_idle());
    }
}

impl Handler<Opened> for Pool {
    type Result = ();

    fn handle(&mut self, Opened(endpoint, peer, outbox): Opened, _ctx: &mut Self::Context) {
        log::info!(endpoint:% = endpoint, peer:% = peer.hello.process; "connected to the agent");
        let session = peer.session;
        if let Some(route) = self.routes.get_mut(&endpoint) {
            route.lose();
            route.up = Some(Up { peer, outbox });
            self.sessions.insert(session, endpoint.clone());
            self.tell_router(&endpoint, true);
        }
    }
}

impl Handler<Arrived> for Pool {
    type Result = ();

    fn handle(&mut self, Arrived(session, attempt, event): Arrived, _ctx: &mut Self::Context) {
        if let Some(route) = self.route_of(session) {
            route.pass(attempt, event);
        }
        self.close_idle();
    }
}

impl Handler<Found> for Pool {
    type Result = ();

    fn handle(&mut self, Found(session, outcome): Found, _ctx: &mut Self::Context) {
        if let Some(route) = self.route_of(session) {
            route.answer(outcome);
        }
    }
}

impl Handler<Closed> for Pool {
    type Result = ();

    fn handle(&mut self, Closed(session): Closed, _ctx: &mut Self::Context) {
        if let Some(route) = self.route_of(session) {
            route.lose();
            let endpoint = route.endpoint.clone();
            // The router has forgotten a retired endpoint, or knows it at its new address.
            if self
                .routes
                .get(&endpoint)
                .is_some_and(|route| route.up.is_none())
            {
                self.tell_router(&endpoint, false);
            }
        }
        self.sessions.remove(&session);
        self.close_idle();
    }
}

impl Handler<Leaving> for Pool {
    type Result = ();

    fn handle(&mut self, Leaving(session): Leaving, _ctx: &mut Self::Context) {
        if let Some(route) = self.route_of(session) {
            route.leaving = true;
            if let Some(up) = &route.up {
                up.outbox.send(Frame::GoAway);
            }
        }
    }
}

impl Handler<Submit> for Pool {
    type Result = Result<()>;

    fn handle(&mut self, mut msg: Submit, _ctx: &mut Self::Context) -> Result<()> {
        let route = self.routes.get_mut(&msg.endpoint).ok_or_else(unreachable)?;
        if route.leaving {
            return Err(Error::new(Kind::Leaving, "the agent is leaving"));
        }
        let up = route.up.as_ref().ok_or_else(unreachable)?;
        msg.submit.incarnation = up.peer.hello.incarnation;
        let attempt = msg.submit.attempt;
        if !up.outbox.try_send(Frame::Submit(msg.submit)) {
            return Err(unreachable());
        }
        route.add(attempt, msg.events);
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
        let route = self.route_with(&endpoint, attempt);
        if let Some(up) = route.and_then(|route| route.up.as_ref()) {
            up.outbox
                .send(Frame::Credit(wire::Credit { attempt, bytes }));
        }
    }
}

impl Handler<Cancel> for Pool {
    type Result = ();

    fn handle(&mut self, msg: Cancel, _ctx: &mut Self::Context) {
        if let Some(route) = self.route_with(&msg.endpoint, msg.attempt) {
            route.withdraw(msg.attempt);
        }
        self.close_idle();
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
            route.ask(request, sender);
        }
        Box::pin(async move {
            let answer = time::timeout(LOOKUP_LIMIT, receiver).await;
            answer
                .map_err(|_elapsed| unreachable())?
                .map_err(|_dropped| unreachable())
        })
    }
}

impl Handler<Send> for Pool {
    type Result = bool;

    fn handle(&mut self, msg: Send, _ctx: &mut Self::Context) -> bool {
        self.outbox(&msg.endpoint)
            .is_some_and(|outbox| outbox.try_send(msg.frame))
    }
}

impl Handler<Announce> for Pool {
    type Result = ();

    fn handle(&mut self, Announce(revision): Announce, _ctx: &mut Self::Context) {
        let routes = self.routes.values().chain(&self.retired);
        for up in routes.filter_map(|route| route.up.as_ref()) {
            up.outbox.send(Frame::Heartbeat(revision));
        }
    }
}

impl Handler<Adopt> for Pool {
    type Result = ();

    fn handle(&mut self, Adopt(document): Adopt, ctx: &mut Self::Context) {
        self.seeds.clear();
        let moved = |name: &Endpoint, route: &Route| {
            document
                .endpoints
                .get(name)
                .is_none_or(|spec| spec.agent != route.address())
        };
        let gone = self
            .routes
            .iter()
            .filter(|(name, route)| moved(name, route));
        let gone: Vec<Endpoint> = gone.map(|(name, _route)| name.clone()).collect();
        for endpoint in &gone {
            self.retire(endpoint);
        }
        self.close_idle();
        for (name, spec) in &document.endpoints {
            if !self.routes.contains_key(name) {
                let route = self.dial(name, spec.agent, ctx.address());
                self.routes.insert(name.clone(), route);
            }
        }
    }
}

/// Stops the pool and closes its connections.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;

impl Handler<Stop> for Pool {
    type Result = ();

    fn handle(&mut self, _stop: Stop, ctx: &mut Self::Context) {
        let mut routes = self.routes.values().chain(&self.retired);
        let idle = routes.all(Route::is_idle);
        invariant::check(Point::NoCut, idle, || {
            "the entry closes connections on which attempts wait".to_owned()
        });
        ctx.stop();
    }
}
