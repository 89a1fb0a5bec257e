use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    fmt::Write as _,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use actix_web::http::{
    Method,
    header::{CONTENT_TYPE, HeaderMap, HeaderValue},
};
use bytes::Bytes;
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture};
use proptest::prelude::*;
use tokio::time;

use super::{begin::Begin, *};
use crate::{
    clock::{Clock, Manual, System},
    customer::Customer,
    directory::{Instance, Stage},
    dispatch::{self, Dispatcher, Permit, Progress, SetInstances},
    error::Kind,
    notice::Notice,
    route::{self, Route, Target},
    shutdown,
    testing::with_paused_time,
    unit::{self, Tokens},
    upstream::{self, Body, Framing},
};

/// Behavior of a scripted endpoint for one request.
#[derive(Clone, Copy, Debug)]
enum Act {
    /// Responds with this status, this execution state and a complete body.
    Respond(u16, Execution),
    /// Sends a part of a stream, then closes the connection.
    Break(&'static [&'static str]),
    /// Sends a part of a stream, then nothing.
    Stall(&'static [&'static str]),
    /// Sends a complete stream.
    Stream(&'static [&'static str]),
    /// Sends a stream that ends with its connection.
    Unframed(&'static [&'static str]),
    /// Sends a part of a stream of this length, then closes the connection.
    BreakSized(u64, &'static [&'static str]),
    /// Sends a stream of this length.
    Sized(u64, &'static [&'static str]),
    /// Responds with this status, this media type and a complete body.
    Answer(u16, &'static str, &'static str),
    /// Refuses the connection.
    Refuse,
    /// Cannot be reached.
    Unreachable,
    /// Loses the connection before the response.
    Lose,
    /// Sends a part of a stream, then ends.
    Crash(&'static [&'static str]),
    /// Leaves before the first byte of the request is sent.
    Withhold,
    /// Leaves before the end of the request is sent.
    Interrupt,
    /// Accepts the request and never responds.
    Hang,
    /// Sends a body without end, as fast as it is read.
    Flood,
    /// Sends one of these parts of a stream every 400 ms, in turn.
    Dribble(&'static [&'static str]),
    /// Sends the head after this time, and each part of a complete stream after its delay.
    Delayed(Duration, &'static [(Duration, &'static str)]),
}

/// Endpoints that follow one common script, whichever of them is chosen. Records what they receive.
#[derive(Debug, Default)]
struct Script {
    acts: RefCell<VecDeque<Act>>,
    received: RefCell<Vec<String>>,
    /// Whether the endpoint that received the last request has ended.
    ended: Cell<bool>,
}

impl Upstream for Script {
    fn send(
        &self,
        attempt: Attempt,
    ) -> LocalBoxFuture<'_, std::result::Result<EndpointResponse, SendError>> {
        let step = match &attempt.step {
            Step::Whole => "whole".to_owned(),
            Step::Prefill => "prefill".to_owned(),
            Step::Decode(cache) => format!("decode of {}", cache.handle),
        };
        let resumed = attempt.resume_after.map(|id| format!(" after event {id}"));
        let line = format!("{step}{}", resumed.unwrap_or_default());
        self.received.borrow_mut().push(line);
        let act = self.acts.borrow_mut().pop_front().unwrap_or(Act::Hang);
        self.ended.set(matches!(act, Act::Crash(_)));
        async move {
            let (status, execution, body) = match act {
                Act::Respond(status, execution) => {
                    (status, execution, Body::scripted(&["body"], Some(Ok(()))))
                }
                Act::Break(chunks) | Act::BreakSized(_, chunks) | Act::Crash(chunks) => {
                    let lost = upstream::Error::new(upstream::Kind::Lost, "reset");
                    (
                        200,
                        Execution::MayHaveRun,
                        Body::scripted(chunks, Some(Err(lost))),
                    )
                }
                Act::Stall(chunks) => (200, Execution::MayHaveRun, Body::scripted(chunks, None)),
                Act::Answer(status, _, body) => (
                    status,
                    Execution::MayHaveRun,
                    Body::scripted(&[body], Some(Ok(()))),
                ),
                Act::Stream(chunks) | Act::Unframed(chunks) | Act::Sized(_, chunks) => (
                    200,
                    Execution::MayHaveRun,
                    Body::scripted(chunks, Some(Ok(()))),
                ),
                Act::Dribble(parts) => {
                    let interval = Duration::from_millis(400);
                    (200, Execution::MayHaveRun, Body::dribbling(parts, interval))
                }
                Act::Delayed(before_head, parts) => {
                    time::sleep(before_head).await;
                    (200, Execution::MayHaveRun, Body::delayed(parts))
                }
                Act::Flood => (200, Execution::MayHaveRun, Body::endless("label")),
                Act::Refuse => return Err(SendError::Refused("refused".to_owned())),
                Act::Unreachable => return Err(SendError::NotSent("no route".to_owned())),
                Act::Lose => return Err(SendError::Lost("reset".to_owned())),
                Act::Withhold => return Err(SendError::Withheld),
                Act::Interrupt => return Err(SendError::Interrupted("left".to_owned())),
                Act::Hang => std::future::pending().await,
            };
            let prefilled = attempt.step == Step::Prefill && status == 200;
            let media = match act {
                Act::Answer(_, media, _) => media,
                _ => "text/event-stream",
            };
            let mut headers = HeaderMap::new();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static(media));
            Ok(EndpointResponse {
                status,
                headers,
                framing: match act {
                    Act::BreakSized(length, _) | Act::Sized(length, _) => {
                        Framing::Length(unit::Bytes::new(length))
                    }
                    Act::Unframed(_) => Framing::UntilClose,
                    _ => Framing::Chunked,
                },
                execution,
                notice: Notice::default(),
                load: None,
                cache: prefilled.then(|| "h1".parse().expect("a valid handle")),
                body,
            })
        }
        .boxed_local()
    }

    fn release_cache(&self, cache: KvCache, _permit: Permit) {
        self.received
            .borrow_mut()
            .push(format!("release of {}", cache.handle));
    }

    fn refuses_connections(&self, _address: SocketAddr) -> LocalBoxFuture<'static, bool> {
        std::future::ready(self.ended.get()).boxed_local()
    }
}

const EVENTS: &[&str] = &["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\n"];
const EVENTS_AFTER_1: &[&str] = &["id: 2\ndata: b\n\n"];
const TRUNCATED_EVENTS: &[&str] = &["id: 1\ndata: a\n\nid: 2\nda"];

fn route(kind: route::Kind, attempts: u32) -> Arc<Route> {
    Arc::new(Route {
        name: "r1".parse().expect("a valid name"),
        host: "kitchen.example".to_owned(),
        prefix: "/".to_owned(),
        kind,
        targets: vec![Target::single("s1".parse().expect("a valid name"))],
        timeout: Duration::from_secs(4),
        latency_target: Duration::from_millis(200),
        rank: 0,
        attempts,
        event_gap: None,
        public: false,
    })
}

fn call(prompt: Option<u64>) -> Call {
    Call {
        id: Some("9c41".parse().expect("a valid id")),
        method: Method::POST,
        target: "/7".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        arrived: System.now(),
        timeout: Some(Duration::from_secs(3)),
        generation: prompt.map(|prompt| Generation {
            prompt: Tokens::new(prompt),
            max_output: Tokens::new(8),
            shared: Tokens::ZERO,
            affinity: None,
        }),
        shared_parts: Arc::default(),
        resume_after: None,
        customer: None,
    }
}

fn instances(stages: &[Option<Stage>]) -> Vec<Arc<Instance>> {
    let instance = |(index, stage): (usize, &Option<Stage>)| {
        Arc::new(Instance {
            id: format!("e{index}").parse().expect("a valid name"),
            service: "s1".parse().expect("a valid name"),
            address: "127.0.0.1:9001".parse().expect("an address"),
            zone: "a".parse().expect("a valid name"),
            slots: 4,
            draining: false,
            stage: *stage,
            started: None,
        })
    };
    stages.iter().enumerate().map(instance).collect()
}

/// A dispatcher of scripted endpoints, and the ports that use it.
struct Rig {
    dispatcher: actix::Addr<Dispatcher>,
    ports: Ports,
}

async fn ports(script: &Rc<Script>, stages: &[Option<Stage>]) -> Rig {
    let dispatcher = dispatch::spawn(dispatch::Config::new(
        System::shared(),
        "a".parse().expect("a valid name"),
    ));
    let instances = SetInstances(instances(stages));
    dispatcher.send(instances).await.expect("it runs");
    let ports = Ports {
        choose: dispatcher.clone().recipient(),
        may_retry: dispatcher.clone().recipient(),
        is_silent: dispatcher.clone().recipient(),
        upstream: Rc::clone(script) as Rc<dyn Upstream>,
        shutdown: shutdown::Watch::default(),
        clock: System::shared(),
        begun: None,
    };
    Rig { dispatcher, ports }
}

/// Runs one request, and describes what the caller and the endpoints received.
async fn outcome(acts: &[Act], stages: &[Option<Stage>], route: Arc<Route>, call: Call) -> String {
    let script = Rc::new(Script::default());
    script.acts.borrow_mut().extend(acts);
    let rig = ports(&script, stages).await;
    describe(start(call, route, rig.ports), &script).await
}

async fn describe(answer: impl Future<Output = Result<Response>>, script: &Script) -> String {
    let begin = System.now();
    let mut text = match answer.await {
        Ok(answer) => {
            let mut text = format!("{} ", answer.status);
            let mut body = answer.body;
            while let Some(part) = body.next().await {
                match part {
                    Ok(part) => write!(text, "{:?} ", String::from_utf8_lossy(&part)),
                    Err(error) => write!(text, "cut off: {} ", error.kind()),
                }
                .expect("text can be written");
            }
            text
        }
        Err(error) => format!(
            "{} executed={} ",
            error.kind().answer().status,
            error.executed()
        ),
    };
    let elapsed = (System.now() - begin).as_millis();
    write!(
        text,
        "in {elapsed} ms; sent: {}",
        script.received.borrow().join(", ")
    )
    .expect("text can be written");
    text
}

fn outcomes(
    cases: &[(&str, &[Act])],
    route: &Arc<Route>,
    stages: &[Option<Stage>],
    prompt: Option<u64>,
) -> Vec<String> {
    with_paused_time(async {
        let mut outcomes = Vec::new();
        for (name, acts) in cases {
            let outcome = outcome(acts, stages, Arc::clone(route), call(prompt)).await;
            outcomes.push(format!("{name}: {outcome}"));
        }
        outcomes
    })
}

const PLAIN: &[Option<Stage>] = &[None, None, None, None];
const STAGED: &[Option<Stage>] = &[
    Some(Stage::Prefill),
    Some(Stage::Prefill),
    Some(Stage::Decode),
    Some(Stage::Decode),
];

/// Guards against running a non-idempotent request twice, and against reporting a request as not
/// executed that may have run.
#[test]
fn non_idempotent_requests_are_retried_only_if_not_executed() {
    let cases: [(&str, &[Act]); 9] = [
        ("served", &[Act::Respond(200, Execution::MayHaveRun)]),
        (
            "refused connection",
            &[Act::Refuse, Act::Respond(200, Execution::MayHaveRun)],
        ),
        (
            "rejected",
            &[
                Act::Respond(503, Execution::Rejected),
                Act::Respond(200, Execution::MayHaveRun),
            ],
        ),
        (
            "rejected twice",
            &[Act::Respond(503, Execution::Rejected); 2],
        ),
        (
            "replaced",
            &[
                Act::Respond(421, Execution::Replaced),
                Act::Respond(200, Execution::MayHaveRun),
            ],
        ),
        ("lost", &[Act::Lose]),
        ("failed", &[Act::Respond(500, Execution::MayHaveRun)]),
        (
            "says 503 without saying that it has not run",
            &[Act::Respond(503, Execution::MayHaveRun)],
        ),
        ("silent", &[Act::Hang]),
    ];
    let route = route(route::Kind::NonIdempotent, 1);
    insta::assert_debug_snapshot!(outcomes(&cases, &route, PLAIN, None));
}

/// Guards against a request that its endpoint may run, since it received a part of it before it left: it must
/// not run at another endpoint too (TWICE), get a status that says that it has not run (REFUSED), or be sent
/// more often than its route and the retry budget allow (BUDGET).
#[test]
fn interrupted_requests_may_have_run() {
    let served = Act::Respond(200, Execution::MayHaveRun);
    let lines = |kind, attempts, stages, prompt, cases: &[(&str, &[Act])]| {
        outcomes(cases, &route(kind, attempts), stages, prompt)
    };
    let once = lines(
        route::Kind::NonIdempotent,
        1,
        PLAIN,
        None,
        &[
            ("interrupted", &[Act::Interrupt, served]),
            ("withheld", &[Act::Withhold, served]),
            (
                "rejected, interrupted",
                &[
                    Act::Respond(503, Execution::Rejected),
                    Act::Interrupt,
                    served,
                ],
            ),
        ],
    );
    let repeatable = lines(
        route::Kind::Idempotent,
        2,
        PLAIN,
        None,
        &[
            ("interrupted", &[Act::Interrupt, served]),
            (
                "interrupted twice",
                &[Act::Interrupt, Act::Interrupt, served],
            ),
            (
                "interrupted, rejected",
                &[
                    Act::Interrupt,
                    Act::Respond(503, Execution::Rejected),
                    served,
                ],
            ),
        ],
    );
    let staged = lines(
        route::Kind::Stream,
        1,
        STAGED,
        Some(900),
        &[
            (
                "prefill interrupted",
                &[Act::Interrupt, Act::Stream(EVENTS)],
            ),
            (
                "decode interrupted",
                &[served, Act::Interrupt, Act::Stream(EVENTS)],
            ),
        ],
    );
    insta::assert_debug_snapshot!((once, repeatable, staged));
}

/// Guards against a request in progress that is cut without an answer at the end of a stop, or that is
/// reported as not executed although it may have run (LOST, REFUSED).
#[test]
fn requests_in_progress_are_answered_at_the_end_of_a_stop() {
    const GRACE: Duration = Duration::from_millis(800);
    let cases = [
        ("sent", Act::Hang, PLAIN, None),
        ("prefill sent", Act::Hang, STAGED, Some(900)),
        ("stream begun", Act::Stall(EVENTS), PLAIN, None),
        ("stream complete", Act::Stream(EVENTS), PLAIN, None),
    ];
    let outcomes = with_paused_time(async {
        let mut outcomes = Vec::new();
        for (name, act, stages, prompt) in cases {
            let script = Rc::new(Script::default());
            script.acts.borrow_mut().push_back(act);
            let mut ports = ports(&script, stages).await.ports;
            let (trigger, watch) = shutdown::channel();
            ports.shutdown = watch;
            let schedule = shutdown::Schedule::new(System.now(), Duration::ZERO, GRACE);
            trigger.begin(schedule);
            let answer = start(call(prompt), route(route::Kind::Stream, 1), ports);
            outcomes.push(format!("{name}: {}", describe(answer, &script).await));
        }
        outcomes
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against idempotent requests that fail although another endpoint could serve them, and
/// against more sends than the route allows.
#[test]
fn idempotent_requests_are_retried_within_the_allowed_attempts() {
    let cases: [(&str, &[Act]); 5] = [
        (
            "lost",
            &[Act::Lose, Act::Respond(200, Execution::MayHaveRun)],
        ),
        ("lost twice", &[Act::Lose, Act::Lose]),
        (
            "failed twice",
            &[
                Act::Respond(500, Execution::MayHaveRun),
                Act::Respond(500, Execution::MayHaveRun),
            ],
        ),
        (
            "silent",
            &[Act::Hang, Act::Respond(200, Execution::MayHaveRun)],
        ),
        (
            "no connection",
            &[Act::Unreachable, Act::Unreachable, Act::Unreachable],
        ),
    ];
    let route = route(route::Kind::Idempotent, 2);
    insta::assert_debug_snapshot!(outcomes(&cases, &route, PLAIN, None));
}

/// Guards against refusing a request because several endpoints have ended at once, while another one
/// runs (LOST).
#[test]
fn request_is_served_while_one_endpoint_runs() {
    let cases: [(&str, &[Act]); 1] = [(
        "three of four have ended",
        &[Act::Refuse, Act::Refuse, Act::Refuse, Act::Stream(EVENTS)],
    )];
    let route = route(route::Kind::NonIdempotent, 1);
    insta::assert_debug_snapshot!(outcomes(&cases, &route, PLAIN, None));
}

/// Guards against missing, duplicate or truncated events when another endpoint resumes a stream.
#[test]
fn resumable_streams_continue_after_the_last_complete_event() {
    let cases: [(&str, &[Act]); 6] = [
        ("whole", &[Act::Stream(EVENTS)]),
        (
            "broken",
            &[Act::Break(TRUNCATED_EVENTS), Act::Stream(EVENTS_AFTER_1)],
        ),
        (
            "stalled",
            &[Act::Stall(TRUNCATED_EVENTS), Act::Stream(EVENTS_AFTER_1)],
        ),
        (
            "repeats an event",
            &[Act::Break(TRUNCATED_EVENTS), Act::Stream(EVENTS)],
        ),
        (
            "broken twice",
            &[Act::Break(TRUNCATED_EVENTS), Act::Break(&[])],
        ),
        (
            "ends within an event",
            &[Act::Stream(TRUNCATED_EVENTS), Act::Stream(EVENTS_AFTER_1)],
        ),
    ];
    let route = route(route::Kind::ResumableStream, 2);
    insta::assert_debug_snapshot!(outcomes(&cases, &route, PLAIN, Some(100)));
}

/// Guards against an error in the middle of a stream, or a stream that looks complete, after it has
/// broken off and the next endpoint answered with an error (ORDER, MIXED).
#[test]
fn broken_stream_is_not_continued_with_another_answer() {
    const BREAK: Act = Act::Break(TRUNCATED_EVENTS);
    const EVENT: &str = "id: 2\ndata: b\n\n";
    const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\n\r\noverloaded\n\n";
    let cases: [(&str, &[Act]); 7] = [
        (
            "its continuation",
            &[
                BREAK,
                Act::Answer(200, "text/event-stream; charset=utf-8", EVENT),
            ],
        ),
        ("an error", &[BREAK, Act::Answer(500, "text/plain", ERROR)]),
        (
            "no route",
            &[BREAK, Act::Answer(404, "text/event-stream", EVENT)],
        ),
        ("a text", &[BREAK, Act::Answer(200, "text/plain", ERROR)]),
        (
            "a document",
            &[BREAK, Act::Answer(200, "application/json", "{}\n\n")],
        ),
        (
            "no content",
            &[BREAK, Act::Answer(204, "text/event-stream", "")],
        ),
        ("no event before the close", &[BREAK, Act::Unframed(&[])]),
    ];
    let route = route(route::Kind::ResumableStream, 2);
    insta::assert_debug_snapshot!(outcomes(&cases, &route, PLAIN, Some(100)));
}

/// Guards against a stream that announces the length of the first endpoint's answer, and is resumed
/// with another number of bytes (ORDER).
#[test]
fn resumed_stream_has_no_length() {
    let received = with_paused_time(async {
        let script = Rc::new(Script::default());
        let acts = [
            Act::BreakSized(60, TRUNCATED_EVENTS),
            Act::Stream(EVENTS_AFTER_1),
        ];
        script.acts.borrow_mut().extend(acts);
        let ports = ports(&script, PLAIN).await.ports;
        let route = route(route::Kind::ResumableStream, 2);
        let answer = start(call(Some(100)), route, ports).await.expect("a head");
        let whole: Vec<_> = answer.body.map(|part| part.is_ok()).collect().await;
        (answer.framing.length(), whole)
    });
    assert_eq!(received, (None, vec![true, true]));
}

/// Guards against running a non-resumable stream twice, and against a truncated stream that looks
/// complete to the caller.
#[test]
fn non_resumable_streams_end_with_an_error_where_they_break() {
    let cases: [(&str, &[Act]); 3] = [
        ("broken", &[Act::Break(TRUNCATED_EVENTS)]),
        ("stalled", &[Act::Stall(TRUNCATED_EVENTS)]),
        ("ends within an event", &[Act::Stream(TRUNCATED_EVENTS)]),
    ];
    let route = route(route::Kind::Stream, 2);
    insta::assert_debug_snapshot!(outcomes(&cases, &route, PLAIN, Some(100)));
}

/// Guards against a request that fails because its prefill engine or its KV cache is lost.
#[test]
fn prefill_and_decode_run_on_separate_engines() {
    let cases: [(&str, &[Act]); 4] = [
        (
            "served",
            &[
                Act::Respond(200, Execution::MayHaveRun),
                Act::Stream(EVENTS),
            ],
        ),
        ("prefill lost", &[Act::Lose, Act::Stream(EVENTS)]),
        (
            "cache gone",
            &[
                Act::Respond(200, Execution::MayHaveRun),
                Act::Respond(503, Execution::Rejected),
                Act::Stream(EVENTS),
            ],
        ),
        (
            "prefill rejected",
            &[Act::Respond(503, Execution::Rejected), Act::Stream(EVENTS)],
        ),
    ];
    let route = route(route::Kind::Stream, 1);
    insta::assert_debug_snapshot!(outcomes(&cases, &route, STAGED, Some(4_000)));
}

/// Guards against a second prefill of a prompt that only waits in the queue of a busy engine, and
/// against waiting until the deadline for an engine that answers nobody.
#[test]
fn only_silent_engines_are_given_up() {
    let one_engine = [Some(Stage::Prefill), Some(Stage::Decode)];
    let route = route(route::Kind::ResumableStream, 2);
    let [silent, busy] = [false, true].map(|answers_others| {
        with_paused_time(async {
            let script = Rc::new(Script::default());
            let acts = [Act::Hang, Act::Stream(EVENTS)];
            script.acts.borrow_mut().extend(acts);
            let ports = ports(&script, &one_engine).await;
            if answers_others {
                let progress = Progress {
                    endpoint: "e0".parse().expect("a valid name"),
                    rank: 0,
                    prompt: Tokens::ZERO,
                    load: None,
                    prediction: None,
                };
                let dispatcher = ports.dispatcher.clone();
                actix_rt::spawn(async move {
                    time::sleep(Duration::from_millis(300)).await;
                    dispatcher.do_send(progress);
                });
            }
            describe(
                start(call(Some(4_000)), Arc::clone(&route), ports.ports),
                &script,
            )
            .await
        })
    });
    insta::assert_debug_snapshot!([("silent", silent), ("busy", busy)]);
}

/// Guards against a second run of a request whose silent prefill is answered after another engine has
/// been asked for the whole request (TWICE).
#[test]
fn late_prefill_leads_to_no_second_run() {
    const WHOLE: Act = Act::Delayed(
        SILENCE,
        &[(SILENCE, EVENTS[0]), (Duration::ZERO, EVENTS[1])],
    );
    let late_prefill = Act::Delayed(Duration::from_millis(700), &[(Duration::ZERO, "{}")]);
    let cases: [(&str, &[Act]); 2] = [
        ("the other engine is slow", &[late_prefill, WHOLE]),
        ("the other engine is lost", &[late_prefill, Act::Lose]),
    ];
    let route = route(route::Kind::Stream, 1);
    insta::assert_debug_snapshot!(outcomes(&cases, &route, STAGED, Some(4_000)));
}

/// A clock that advances by a millisecond whenever it is read, like real time while a process is
/// busy.
#[derive(Debug)]
struct Busy(Manual);

impl Clock for Busy {
    fn now(&self) -> Instant {
        self.0.advance(Duration::from_millis(1));
        self.0.now()
    }

    fn wall(&self) -> SystemTime {
        self.0.wall()
    }

    fn since_boot(&self) -> Duration {
        self.0.since_boot()
    }
}

/// Guards against a body without end that is relayed past the deadline, because its next part is
/// always ready and no timer is ever checked.
#[test]
fn endless_body_ends_at_the_deadline() {
    const PARTS_MAX: usize = 20_000;
    let kinds = [route::Kind::Idempotent, route::Kind::ResumableStream];
    let ends = kinds.map(|kind| {
        actix::System::new().block_on(async {
            let script = Rc::new(Script::default());
            script.acts.borrow_mut().push_back(Act::Flood);
            let mut ports = ports(&script, PLAIN).await.ports;
            let clock = Arc::new(Busy(Manual::new()));
            let mut call = call(None);
            call.arrived = clock.now();
            ports.clock = clock;
            let answer = start(call, route(kind, 1), ports).await.expect("a head");
            let last = answer
                .body
                .take(PARTS_MAX)
                .map(std::result::Result::err)
                .collect::<Vec<_>>();
            last.await.pop().flatten().map(|error| error.kind())
        })
    });
    assert_eq!(ends, [Some(Kind::Deadline); 2]);
}

/// Guards against a stalled stream that is kept because a byte arrives now and then, and against
/// giving up a slow stream whose events are complete.
#[test]
fn progress_of_streams_is_measured_in_events() {
    let cases: [(&str, &[Act]); 2] = [
        ("bytes only", &[Act::Dribble(&["x"]), Act::Stream(EVENTS)]),
        (
            "slow events",
            &[Act::Dribble(&[": slow\n\n"]), Act::Stream(EVENTS)],
        ),
    ];
    let route = route(route::Kind::ResumableStream, 2);
    insta::assert_debug_snapshot!(outcomes(&cases, &route, PLAIN, Some(100)));
}

/// Guards against taking an endpoint for a stalled one after its caller has not read for a while.
#[test]
fn slow_caller_does_not_stall_its_stream() {
    let received = with_paused_time(async {
        let script = Rc::new(Script::default());
        let acts = [Act::Dribble(&[": a", "b\n", "\n"]), Act::Stream(EVENTS)];
        script.acts.borrow_mut().extend(acts);
        let ports = ports(&script, PLAIN).await.ports;
        let route = route(route::Kind::ResumableStream, 2);
        let answer = start(call(Some(100)), route, ports).await.expect("a head");
        let mut body = answer.body;
        for _ in 0..2 {
            body.next().await.expect("an event").expect("it is whole");
            time::sleep(Duration::from_millis(1_100)).await;
        }
        script.received.borrow().join(", ")
    });
    assert_eq!(received, "whole");
}

/// Guards against an error that hides why the endpoints failed.
#[test]
fn error_names_the_failure_of_the_last_endpoint() {
    let error = with_paused_time(async {
        let script = Rc::new(Script::default());
        script.acts.borrow_mut().extend([Act::Lose, Act::Lose]);
        let ports = ports(&script, &[None]).await.ports;
        let answer = start(call(None), route(route::Kind::Idempotent, 3), ports).await;
        answer.expect_err("the only endpoint fails").to_string()
    });
    insta::assert_snapshot!(error);
}

/// Guards against a KV cache that stays in its engine because no engine is available for the decode
/// step.
#[test]
fn unused_cache_is_freed() {
    let only_prefill = [Some(Stage::Prefill)];
    let cases: [(&str, &[Act]); 1] = [(
        "no decode engine",
        &[Act::Respond(200, Execution::MayHaveRun)],
    )];
    let route = route(route::Kind::Stream, 1);
    insta::assert_debug_snapshot!(outcomes(&cases, &route, &only_prefill, Some(4_000)));
}

/// Guards against an event, or an event id, that is kept in memory without end.
#[test]
fn endless_events_are_errors() {
    let starts = ["data: ", "id: 1", "x", ""];
    let ends = starts.map(|start| {
        let mut splitter = EventSplitter::default();
        let first = splitter.push(start.as_bytes());
        first.expect("the event is short so far");
        let part = "x".repeat(64 << 10);
        let end = (0..64).find_map(|_| splitter.push(part.as_bytes()).err());
        end.map(|error| error.to_string())
    });
    insta::assert_debug_snapshot!(ends);
}

proptest! {
    /// Guards against bytes that are lost, changed or held back depending on how the stream is
    /// divided into reads.
    #[test]
    fn event_splitting_does_not_depend_on_read_sizes(
        cuts in prop::collection::vec(0_usize..60, 0..6)
    ) {
        let whole = b"id: 1\ndata: a\n\n: note\n\nid: 2\r\ndata: b\r\n\r\nid: 30\ndata: c\n\nid: 31";
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(whole.len())).collect();
        cuts.sort_unstable();
        cuts.push(whole.len());
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        let mut from = 0;
        for cut in cuts {
            passed.extend_from_slice(&splitter.push(&whole[from..cut]).expect("ids increase"));
            from = cut;
        }
        prop_assert_eq!(&*passed, &whole[..whole.len() - 6]);
        prop_assert_eq!(splitter.last_id(), Some(EventId::new(30)));
        prop_assert!(!splitter.is_between_events());
    }

    /// Guards against a panic on bytes that are not an event stream.
    #[test]
    fn any_bytes_can_be_split(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut splitter = EventSplitter::default();
        if let Ok(passed) = splitter.push(&bytes) {
            prop_assert!(bytes.starts_with(&passed));
        }
    }
}

/// Guards against requests with one part in their prompts that end engine after engine (BUDGET), and
/// against refusing those that share other parts with them.
#[test]
fn part_that_ends_engines_is_refused_and_its_companions_are_served() {
    let requests: [(&str, Act); 8] = [
        ("a,b,1", Act::Stream(EVENTS)),
        ("a,bad,2", Act::Crash(&[])),
        ("a,b,3", Act::Stream(EVENTS)),
        ("a,bad,4", Act::Crash(TRUNCATED_EVENTS)),
        ("a,c,5", Act::Crash(TRUNCATED_EVENTS)),
        ("a,bad,6", Act::Crash(&[])),
        ("a,bad,7", Act::Stream(EVENTS)),
        ("a,c,8", Act::Stream(EVENTS)),
    ];
    let outcomes = with_paused_time(async {
        let script = Rc::new(Script::default());
        let stages = vec![None; 12];
        let rig = ports(&script, &stages).await;
        let route = route(route::Kind::NonIdempotent, 1);
        let mut outcomes = Vec::new();
        for (parts, act) in requests {
            script.acts.borrow_mut().clear();
            script.acts.borrow_mut().push_back(act);
            script.received.borrow_mut().clear();
            let mut call = call(Some(1_000));
            call.shared_parts = parts
                .split(',')
                .map(|part| part.parse().expect("a valid part"))
                .collect();
            let response = start(call, Arc::clone(&route), rig.ports.clone());
            outcomes.push(format!("{parts}: {}", describe(response, &script).await));
            time::sleep(Duration::from_millis(300)).await;
        }
        outcomes
    });
    insta::assert_debug_snapshot!(outcomes);
}

const SILENCE: Duration = Duration::from_millis(1_600);
/// An engine that is silent before its second event, and then completes its answer.
const SILENT_MIDWAY: Act = Act::Delayed(
    Duration::ZERO,
    &[
        (Duration::ZERO, "id: 1\ndata: a\n\n"),
        (SILENCE, "id: 2\ndata: b\n\n"),
    ],
);
/// An engine that is silent before its answer, and then completes it.
const SILENT_AT_FIRST: Act = Act::Delayed(
    SILENCE,
    &[(Duration::ZERO, EVENTS[0]), (Duration::ZERO, EVENTS[1])],
);

/// An engine that is silent before it resumes a stream.
const SILENT_TO_RESUME: Act = Act::Delayed(SILENCE, &[(Duration::ZERO, EVENTS_AFTER_1[0])]);

/// Guards against an answer that is given up because its engine is silent for a while, although no
/// other engine takes the request over (LOST).
#[test]
fn silent_engine_completes_its_answer_unless_another_takes_over() {
    const REJECT: Act = Act::Respond(503, Execution::Rejected);
    let outcome = |name: &str, stages: &[Option<Stage>], attempts: u32, acts: &[Act]| {
        let route = route(route::Kind::ResumableStream, attempts);
        outcomes(&[(name, acts)], &route, stages, Some(100)).concat()
    };
    let one = &[None];
    let outcomes = [
        outcome("midway, only engine", one, 2, &[SILENT_MIDWAY]),
        outcome("midway, only attempt", PLAIN, 1, &[SILENT_MIDWAY]),
        outcome(
            "midway, others reject",
            PLAIN,
            2,
            &[SILENT_MIDWAY, REJECT, REJECT],
        ),
        outcome(
            "midway, others refuse",
            PLAIN,
            2,
            &[SILENT_MIDWAY, Act::Refuse, Act::Refuse, Act::Refuse],
        ),
        outcome(
            "midway, others are silent",
            PLAIN,
            2,
            &[SILENT_MIDWAY, SILENT_TO_RESUME],
        ),
        outcome(
            "midway, another takes over",
            PLAIN,
            2,
            &[SILENT_MIDWAY, Act::Stream(EVENTS_AFTER_1)],
        ),
        outcome("at first, only engine", one, 2, &[SILENT_AT_FIRST]),
        outcome("at first, only attempt", PLAIN, 1, &[SILENT_AT_FIRST]),
        outcome(
            "at first, another takes over",
            PLAIN,
            2,
            &[SILENT_AT_FIRST, Act::Stream(EVENTS)],
        ),
        outcome(
            "at first, others reject",
            PLAIN,
            2,
            &[SILENT_AT_FIRST, REJECT, REJECT],
        ),
        outcome(
            "at first, others are lost",
            PLAIN,
            3,
            &[SILENT_AT_FIRST, Act::Lose, Act::Lose],
        ),
        outcome(
            "midway, another begins and breaks off",
            PLAIN,
            2,
            &[SILENT_MIDWAY, Act::Break(&[])],
        ),
        outcome(
            "midway, another begins and is silent",
            PLAIN,
            2,
            &[SILENT_MIDWAY, Act::Stall(&[])],
        ),
        outcome(
            "midway, another repeats an event",
            PLAIN,
            2,
            &[SILENT_MIDWAY, Act::Stream(EVENTS)],
        ),
    ];
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against a whole stream of known length that is cut off because its last event arrives in two
/// parts, and against a truncated one that looks whole because it arrives in one (LOST, ORDER).
#[test]
fn end_of_a_sized_stream_is_judged_with_its_last_part() {
    let whole: usize = EVENTS.iter().map(|part| part.len()).sum();
    let truncated = "id: 1\ndata: a\n\nid: 2\nda";
    let whole = Act::Sized(whole as u64, EVENTS);
    let truncated = Act::Sized(truncated.len() as u64, &["id: 1\ndata: a\n\nid: 2\nda"]);
    let cases: [(&str, &[Act]); 3] = [
        ("whole", &[whole]),
        ("truncated", &[truncated]),
        (
            "truncated and resumed",
            &[truncated, Act::Stream(EVENTS_AFTER_1)],
        ),
    ];
    let outcomes = [route::Kind::Stream, route::Kind::ResumableStream]
        .map(|kind| outcomes(&cases, &route(kind, 2), &[None, None], Some(100)));
    insta::assert_debug_snapshot!(outcomes);
}

/// Records the requests that are counted.
#[derive(Default)]
struct Counter(Rc<RefCell<Vec<Instant>>>);

impl actix::Actor for Counter {
    type Context = actix::Context<Self>;
}

impl actix::Handler<crate::usage::RequestBegun> for Counter {
    type Result = ();

    fn handle(&mut self, msg: crate::usage::RequestBegun, _: &mut actix::Context<Self>) {
        self.0.borrow_mut().push(msg.at);
    }
}

/// Guards against a request that is counted twice, as of its answer instead of its send, not at all
/// because its caller left, or although it has not run.
#[test]
fn request_is_counted_once_when_it_begins() {
    with_paused_time(async {
        let seen = Rc::default();
        let counter = actix::Actor::start(Counter(Rc::clone(&seen)));
        let customer = Some("hule930".parse().expect("a valid name"));
        let begin = || Begin::for_customer(customer.clone(), Some(counter.clone().recipient()));
        let start = System.now();
        let at = |millis| start + Duration::from_millis(millis);
        let mut plain = begin();
        plain.sent(at(1));
        plain.began(at(50));
        plain.began(at(90));
        drop(plain);
        let mut generation = begin();
        generation.began(at(200));
        generation.began(at(201));
        let mut abandoned = begin();
        abandoned.sent(at(300));
        drop(abandoned);
        let mut rejected = begin();
        rejected.sent(at(400));
        rejected.not_run();
        drop(rejected);
        time::sleep(Duration::from_millis(1)).await;
        let seen: Vec<Duration> = seen.borrow().iter().map(|at| *at - start).collect();
        insta::assert_debug_snapshot!(seen);
    });
}

/// Guards against a request that is not counted although an earlier attempt may have run, since a later one
/// has not, and against counting one that has not run at all.
#[test]
fn request_stays_counted_after_an_attempt_that_may_have_run() {
    let rejected = Act::Respond(503, Execution::Rejected);
    let cases: [(&str, &[Act]); 6] = [
        (
            "lost, refused",
            &[Act::Lose, Act::Refuse, Act::Refuse, Act::Refuse],
        ),
        ("lost, rejected", &[Act::Lose, rejected]),
        (
            "interrupted, withheld, rejected",
            &[Act::Interrupt, Act::Withhold, rejected],
        ),
        (
            "interrupted, unreachable",
            &[
                Act::Interrupt,
                Act::Unreachable,
                Act::Unreachable,
                Act::Unreachable,
            ],
        ),
        ("refused, lost", &[Act::Refuse, Act::Lose, rejected]),
        (
            "refused, rejected twice",
            &[Act::Refuse, rejected, rejected],
        ),
    ];
    let counts = with_paused_time(async {
        let mut counts = Vec::new();
        for (name, acts) in cases {
            let script = Rc::new(Script::default());
            script.acts.borrow_mut().extend(acts);
            let seen: Rc<RefCell<Vec<Instant>>> = Rc::default();
            let counter = actix::Actor::start(Counter(Rc::clone(&seen)));
            let mut ports = ports(&script, PLAIN).await.ports;
            ports.begun = Some(counter.recipient());
            let mut call = call(None);
            call.customer = Some(Arc::new(Customer {
                name: "hule930".parse().expect("a valid name"),
                rank: None,
            }));
            let answer = start(call, route(route::Kind::Idempotent, 2), ports);
            let outcome = describe(answer, &script).await;
            time::sleep(Duration::from_millis(1)).await;
            counts.push(format!(
                "{name}: {outcome}; counted: {}",
                seen.borrow().len()
            ));
        }
        counts
    });
    insta::assert_debug_snapshot!(counts);
}
