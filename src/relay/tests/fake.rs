//! Fake actors behind the ports of a relay.

use std::{sync::Arc, time::Duration};

use actix::{Actor, Addr, Context, Handler, Message, ResponseFuture};
use tokio::{sync::mpsc, time};

use super::super::{LatencyTargets, Ports, Relay, Request};
use crate::{
    admission, clock,
    config::{self, Document},
    error::{Error, Executed, Kind, Result},
    id::{self, Endpoint, Revision},
    link,
    operator::Tally,
    routing::{self, Choice, Cost, Pool, Prefix},
    unit::{Bytes, Tokens},
    wire::{Generate, Invoke, Prompt, Sampling, Work},
};

/// Endpoints, in the order in which the fake router selects them.
const ENDPOINTS: [&str; 3] = ["e1", "e2", "e3"];

/// The example configuration document that the tests use.
pub(crate) fn document() -> Arc<Document> {
    let text = include_str!("../../../examples/santiago.jsonc");
    let sections = config::split_sections(text).unwrap_or_else(|faults| panic!("{faults}"));
    let document = config::from_sections(Revision::new(7), &sections);
    Arc::new(document.unwrap_or_else(|faults| panic!("{faults}")))
}

/// Settings of the fake actors.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeSettings {
    /// Number of retries in the retry budget.
    pub(crate) budget: u32,
    /// Endpoints whose agent is not connected.
    pub(crate) unlinked: Vec<&'static str>,
    /// Delay of endpoint selection.
    pub(crate) choosing: Duration,
    /// Delay of sending an attempt.
    pub(crate) sending: Duration,
}

/// Fake router, connection pool and outcome tally. Forwards offers to a real admission controller
/// and notes the messages it receives.
pub(crate) struct FakeActors {
    settings: FakeSettings,
    controller: Addr<admission::Controller>,
    notes: Vec<String>,
    offers: u32,
    submits: mpsc::UnboundedSender<link::Submit>,
}

/// A relay connected to fake actors.
pub(crate) struct Harness {
    pub(crate) relay: Relay,
    pub(crate) controller: Addr<admission::Controller>,
    pub(crate) submits: mpsc::UnboundedReceiver<link::Submit>,
    fakes: Addr<FakeActors>,
}

/// Starts a relay with fake actors; each pool runs up to `slots` requests at a time.
pub(crate) fn start_relay(settings: FakeSettings, slots: u32) -> Harness {
    let clock = clock::System::shared();
    let controller = admission::spawn(admission::Config::new(Arc::clone(&clock)));
    controller.do_send(admission::SetDocument(document()));
    for pool in [model(), service()] {
        controller.do_send(admission::Capacity { pool, slots });
    }
    let (submits, receiver) = mpsc::unbounded_channel();
    let fakes = FakeActors {
        settings,
        controller: controller.clone(),
        notes: Vec::new(),
        offers: 0,
        submits,
    }
    .start();
    let ports = Ports {
        offer: fakes.clone().recipient(),
        withdraw_offer: fakes.clone().recipient(),
        choose: fakes.clone().recipient(),
        may_retry: fakes.clone().recipient(),
        submit: fakes.clone().recipient(),
        credit: fakes.clone().recipient(),
        cancel: fakes.clone().recipient(),
        tally: fakes.clone().recipient(),
    };
    Harness {
        relay: Relay::new(ports, clock),
        controller,
        submits: receiver,
        fakes,
    }
}

fn model() -> Pool {
    Pool::Model("allergen".parse().expect("valid name"))
}

fn service() -> Pool {
    Pool::Service("labels".parse().expect("valid name"))
}

impl Harness {
    /// Takes the notes that the fakes made since the last call.
    pub(crate) async fn notes(&self) -> Vec<String> {
        self.fakes.send(Notes).await.expect("a running fake")
    }

    /// Number of offers received for admission.
    pub(crate) async fn offers(&self) -> u32 {
        self.fakes.send(Offers).await.expect("a running fake")
    }

    /// Whether the model's pool has a free slot.
    pub(crate) async fn has_slot(&self) -> bool {
        let offer = admission::Offer {
            request: id::Request::random(&mut rand::rng()),
            caller: "kitchen".parse().expect("valid name"),
            class: "verdict".parse().expect("valid name"),
            pool: model(),
            cost: Cost::default(),
            deadline: clock::Clock::now(&clock::System) + Duration::from_millis(1),
        };
        self.controller
            .send(offer)
            .await
            .expect("a running controller")
            .is_ok()
    }
}

/// A generation request.
pub(crate) fn generation() -> Request {
    request(
        model(),
        Work::Generate(Generate {
            model: "allergen".parse().expect("valid name"),
            adapter: None,
            prompt: Prompt::Text("does it hold nuts".to_owned()),
            max_output: Tokens::new(8),
            resume: Bytes::ZERO,
            sampling: Sampling::default(),
        }),
    )
}

/// A service call, at most once if `once`, otherwise repeatable.
pub(crate) fn call(once: bool) -> Request {
    request(
        service(),
        Work::Invoke(Invoke {
            service: "labels".parse().expect("valid name"),
            operation: "print".parse().expect("valid name"),
            key: once.then(|| "tray-7".parse().expect("valid key")),
            at_most_once: once,
            content_type: "text/plain".to_owned(),
            body: b"tray 7".to_vec(),
        }),
    )
}

fn request(pool: Pool, work: Work) -> Request {
    let now = clock::Clock::now(&clock::System);
    Request {
        id: id::Request::random(&mut rand::rng()),
        caller: "kitchen".parse().expect("valid name"),
        class: "verdict".parse().expect("valid name"),
        priority: 1,
        pool,
        cost: Cost::default(),
        prefix: Prefix::default(),
        work,
        admission_deadline: now + Duration::from_secs(2),
        response_deadline: now + Duration::from_secs(10),
        target: LatencyTargets {
            first_part: Duration::from_secs(1),
            whole_response: Duration::from_secs(2),
        },
    }
}

impl Actor for FakeActors {
    type Context = Context<Self>;
}

impl FakeActors {
    fn note(&mut self, text: String) {
        self.notes.push(text);
    }
}

#[derive(Message)]
#[rtype(result = "Vec<String>")]
struct Notes;

impl Handler<Notes> for FakeActors {
    type Result = Vec<String>;

    fn handle(&mut self, _msg: Notes, _ctx: &mut Self::Context) -> Self::Result {
        std::mem::take(&mut self.notes)
    }
}

#[derive(Message)]
#[rtype(result = "u32")]
struct Offers;

impl Handler<Offers> for FakeActors {
    type Result = u32;

    fn handle(&mut self, _msg: Offers, _ctx: &mut Self::Context) -> Self::Result {
        self.offers
    }
}

impl Handler<admission::Offer> for FakeActors {
    type Result = ResponseFuture<Result<admission::Permit>>;

    fn handle(&mut self, msg: admission::Offer, _ctx: &mut Self::Context) -> Self::Result {
        self.offers += 1;
        let answer = self.controller.send(msg);
        Box::pin(async { answer.await.expect("a running controller") })
    }
}

impl Handler<admission::ReleaseSlot> for FakeActors {
    type Result = ();

    fn handle(&mut self, msg: admission::ReleaseSlot, _ctx: &mut Self::Context) {
        self.note("left the queue".to_owned());
        self.controller.do_send(msg);
    }
}

impl Handler<routing::Choose> for FakeActors {
    type Result = ResponseFuture<Result<Choice>>;

    fn handle(
        &mut self,
        routing::Choose(demand): routing::Choose,
        ctx: &mut Self::Context,
    ) -> Self::Result {
        let router = actix::AsyncContext::address(ctx).recipient();
        let delay = self.settings.choosing;
        Box::pin(async move {
            if !delay.is_zero() {
                time::sleep(delay).await;
            }
            let mut endpoints = ENDPOINTS.map(|name| name.parse::<Endpoint>().expect("valid name"));
            endpoints.sort();
            let free = endpoints
                .into_iter()
                .find(|endpoint| !demand.excluded.contains(endpoint));
            let none = || Error::new(Kind::NoEndpoint, "no endpoint can take the request");
            Ok(Choice::new(free.ok_or_else(none)?, demand.cost, router))
        })
    }
}

impl Handler<routing::Finish> for FakeActors {
    type Result = ();

    fn handle(&mut self, msg: routing::Finish, _ctx: &mut Self::Context) {
        self.note(format!("{} {:?}", msg.endpoint, msg.ending));
    }
}

impl Handler<routing::MayRetry> for FakeActors {
    type Result = bool;

    fn handle(&mut self, _msg: routing::MayRetry, _ctx: &mut Self::Context) -> bool {
        let allowed = self.settings.budget > 0;
        self.settings.budget = self.settings.budget.saturating_sub(1);
        self.note(format!("retry allowed: {allowed}"));
        allowed
    }
}

impl Handler<link::Submit> for FakeActors {
    type Result = ResponseFuture<Result<()>>;

    fn handle(&mut self, msg: link::Submit, _ctx: &mut Self::Context) -> Self::Result {
        let name = msg.endpoint.to_string();
        if self.settings.unlinked.contains(&name.as_str()) {
            let error = Error::new(Kind::Leaving, "the agent cannot be reached");
            return Box::pin(async { Err(error.with_executed(Executed::No)) });
        }
        // The test may have ended and dropped the receiver.
        let _closed = self.submits.send(msg);
        let delay = self.settings.sending;
        Box::pin(async move {
            if !delay.is_zero() {
                time::sleep(delay).await;
            }
            Ok(())
        })
    }
}

impl Handler<link::Credit> for FakeActors {
    type Result = ();

    fn handle(&mut self, msg: link::Credit, _ctx: &mut Self::Context) {
        self.note(format!("credit {} {}", msg.attempt.number(), msg.bytes));
    }
}

impl Handler<link::Cancel> for FakeActors {
    type Result = ();

    fn handle(&mut self, msg: link::Cancel, _ctx: &mut Self::Context) {
        self.note(format!("cancel {} {}", msg.endpoint, msg.attempt.number()));
    }
}

impl Handler<Tally> for FakeActors {
    type Result = ();

    fn handle(&mut self, msg: Tally, _ctx: &mut Self::Context) {
        self.note(format!("{:?}", msg.verdict));
    }
}
