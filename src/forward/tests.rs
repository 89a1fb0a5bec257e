use std::{
    cell::RefCell, collections::VecDeque, fmt::Write as _, rc::Rc, sync::Arc, time::Duration,
};

use actix_web::http::{Method, header::HeaderMap};
use bytes::Bytes;
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture};
use proptest::prelude::*;

use super::*;
use crate::{
    clock::{Clock, System},
    directory::{Instance, Stage},
    dispatch::{self, Members},
    route::{self, Route, Target},
    testing::on_virtual_time,
    unit::Tokens,
    upstream::{self, Body},
};

/// What a scripted endpoint does with one request.
#[derive(Clone, Copy, Debug)]
enum Act {
    /// Answers with this status and verdict, and a whole body.
    Answer(u16, Verdict),
    /// Begins a stream and breaks it off.
    Break(&'static [&'static str]),
    /// Begins a stream and falls silent.
    Stall(&'static [&'static str]),
    /// Sends a whole stream.
    Stream(&'static [&'static str]),
    /// Cannot be connected.
    Refuse,
    /// Is lost before it answers.
    Lose,
    /// Never answers.
    Hang,
}

/// Endpoints that act by a script, whichever of them is chosen. Notes what arrives.
#[derive(Debug, Default)]
struct Script {
    acts: RefCell<VecDeque<Act>>,
    seen: RefCell<Vec<String>>,
}

impl Upstream for Script {
    fn send(&self, job: Job) -> LocalBoxFuture<'_, std::result::Result<Reply, Failure>> {
        let step = match &job.step {
            Step::Whole => "whole".to_owned(),
            Step::Prefill => "prefill".to_owned(),
            Step::Decode(cache) => format!("decode of {}", cache.handle),
        };
        let resumed = job.resume_after.map(|id| format!(" after event {id}"));
        let line = format!("{step}{}", resumed.unwrap_or_default());
        self.seen.borrow_mut().push(line);
        let act = self.acts.borrow_mut().pop_front().unwrap_or(Act::Hang);
        async move {
            let (status, verdict, body) = match act {
                Act::Answer(status, verdict) => {
                    (status, verdict, Body::scripted(&["body"], Some(Ok(()))))
                }
                Act::Break(chunks) => {
                    let lost = upstream::Error::new(upstream::Kind::Lost, "reset");
                    (200, Verdict::Ran, Body::scripted(chunks, Some(Err(lost))))
                }
                Act::Stall(chunks) => (200, Verdict::Ran, Body::scripted(chunks, None)),
                Act::Stream(chunks) => (200, Verdict::Ran, Body::scripted(chunks, Some(Ok(())))),
                Act::Refuse => return Err(Failure::NotSent("refused".to_owned())),
                Act::Lose => return Err(Failure::Lost("reset".to_owned())),
                Act::Hang => std::future::pending().await,
            };
            let prefilled = job.step == Step::Prefill && status == 200;
            Ok(Reply {
                status,
                headers: HeaderMap::new(),
                length: None,
                verdict,
                load: None,
                cache: prefilled.then(|| "h1".parse().expect("a valid handle")),
                body,
            })
        }
        .boxed_local()
    }

    fn release(&self, cache: Cache) {
        self.seen
            .borrow_mut()
            .push(format!("release of {}", cache.handle));
    }
}

const EVENTS: &[&str] = &["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\n"];
const REST: &[&str] = &["id: 2\ndata: b\n\n"];
const HALF: &[&str] = &["id: 1\ndata: a\n\nid: 2\nda"];

fn route(kind: route::Kind, attempts: u32) -> Arc<Route> {
    Arc::new(Route {
        name: "r1".parse().expect("a valid name"),
        host: "kitchen.example".to_owned(),
        prefix: "/".to_owned(),
        kind,
        targets: vec![Target::whole("s1".parse().expect("a valid name"))],
        timeout: Duration::from_secs(4),
        aim: Duration::from_millis(200),
        rank: 0,
        attempts,
        event_gap: None,
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
        patience: Some(Duration::from_secs(3)),
        generation: prompt.map(|prompt| Generation {
            prompt: Tokens::new(prompt),
            output: Tokens::new(8),
            shared: Tokens::ZERO,
            affinity: None,
        }),
        resume_after: None,
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
        })
    };
    stages.iter().enumerate().map(instance).collect()
}

/// Runs one request, and tells what the endpoints saw and what the caller got.
async fn outcome(acts: &[Act], stages: &[Option<Stage>], route: Arc<Route>, call: Call) -> String {
    let script = Rc::new(Script::default());
    script.acts.borrow_mut().extend(acts);
    let dispatcher = dispatch::spawn(dispatch::Config::new(
        System::shared(),
        "a".parse().expect("a valid name"),
    ));
    let members = Members(instances(stages));
    dispatcher.send(members).await.expect("it runs");
    let ports = Ports {
        choose: dispatcher.clone().recipient(),
        may_repeat: dispatcher.recipient(),
        upstream: Rc::clone(&script) as Rc<dyn Upstream>,
        clock: System::shared(),
    };
    let begin = System.now();
    let mut text = match start(call, route, ports).await {
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
        script.seen.borrow().join(", ")
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
    on_virtual_time(async {
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

/// Guards against a request that runs twice though it may run once at most, and against a refusal
/// that says "not run" of one that may have.
#[test]
fn non_idempotent_requests_are_sent_on_only_if_they_have_not_run() {
    let cases: [(&str, &[Act]); 9] = [
        ("served", &[Act::Answer(200, Verdict::Ran)]),
        (
            "refused connection",
            &[Act::Refuse, Act::Answer(200, Verdict::Ran)],
        ),
        (
            "rejected",
            &[
                Act::Answer(503, Verdict::Rejected),
                Act::Answer(200, Verdict::Ran),
            ],
        ),
        ("rejected twice", &[Act::Answer(503, Verdict::Rejected); 2]),
        (
            "replaced",
            &[
                Act::Answer(421, Verdict::Replaced),
                Act::Answer(200, Verdict::Ran),
            ],
        ),
        ("lost", &[Act::Lose]),
        ("failed", &[Act::Answer(500, Verdict::Ran)]),
        (
            "says 503 without saying that it has not run",
            &[Act::Answer(503, Verdict::Ran)],
        ),
        ("silent", &[Act::Hang]),
    ];
    let route = route(route::Kind::NonIdempotent, 1);
    insta::assert_debug_snapshot!(outcomes(&cases, &route, PLAIN, None));
}

/// Guards against idempotent requests that fail though another endpoint could serve them, and
/// against more sends than the route allows.
#[test]
fn idempotent_requests_are_repeated_within_their_attempts() {
    let cases: [(&str, &[Act]); 5] = [
        ("lost", &[Act::Lose, Act::Answer(200, Verdict::Ran)]),
        ("lost twice", &[Act::Lose, Act::Lose]),
        (
            "failed twice",
            &[
                Act::Answer(500, Verdict::Ran),
                Act::Answer(500, Verdict::Ran),
            ],
        ),
        ("silent", &[Act::Hang, Act::Answer(200, Verdict::Ran)]),
        ("no connection", &[Act::Refuse, Act::Refuse, Act::Refuse]),
    ];
    let route = route(route::Kind::Idempotent, 2);
    insta::assert_debug_snapshot!(outcomes(&cases, &route, PLAIN, None));
}

/// Guards against a stream with an event that is missing, doubled or cut, when another endpoint
/// continues it.
#[test]
fn resumable_streams_continue_after_the_last_whole_event() {
    let cases: [(&str, &[Act]); 6] = [
        ("whole", &[Act::Stream(EVENTS)]),
        ("broken", &[Act::Break(HALF), Act::Stream(REST)]),
        ("stalled", &[Act::Stall(HALF), Act::Stream(REST)]),
        ("repeats an event", &[Act::Break(HALF), Act::Stream(EVENTS)]),
        ("broken twice", &[Act::Break(HALF), Act::Break(&[])]),
        ("ends within an event", &[Act::Stream(HALF)]),
    ];
    let route = route(route::Kind::ResumableStream, 2);
    insta::assert_debug_snapshot!(outcomes(&cases, &route, PLAIN, Some(100)));
}

/// Guards against a stream that runs twice though it may run once at most, and against one that is
/// cut off and looks complete.
#[test]
fn other_streams_are_cut_off_where_they_break() {
    let cases: [(&str, &[Act]); 3] = [
        ("broken", &[Act::Break(HALF)]),
        ("stalled", &[Act::Stall(HALF)]),
        ("ends within an event", &[Act::Stream(HALF)]),
    ];
    let route = route(route::Kind::Stream, 2);
    insta::assert_debug_snapshot!(outcomes(&cases, &route, PLAIN, Some(100)));
}

/// Guards against a request that is lost because the engine that read its prompt fails, and against
/// a KV cache that nobody frees.
#[test]
fn prompts_are_read_apart() {
    let cases: [(&str, &[Act]); 4] = [
        (
            "served",
            &[Act::Answer(200, Verdict::Ran), Act::Stream(EVENTS)],
        ),
        ("prefill lost", &[Act::Lose, Act::Stream(EVENTS)]),
        (
            "cache gone",
            &[
                Act::Answer(200, Verdict::Ran),
                Act::Answer(503, Verdict::Rejected),
                Act::Stream(EVENTS),
            ],
        ),
        (
            "prefill rejected",
            &[Act::Answer(503, Verdict::Rejected), Act::Stream(EVENTS)],
        ),
    ];
    let route = route(route::Kind::Stream, 1);
    insta::assert_debug_snapshot!(outcomes(&cases, &route, STAGED, Some(4_000)));
}

/// Guards against a KV cache that stays in an engine because no engine can continue from it.
#[test]
fn unused_cache_is_freed() {
    let only_prefill = [Some(Stage::Prefill)];
    let cases: [(&str, &[Act]); 1] = [("no decode engine", &[Act::Answer(200, Verdict::Ran)])];
    let route = route(route::Kind::Stream, 1);
    insta::assert_debug_snapshot!(outcomes(&cases, &route, &only_prefill, Some(4_000)));
}

proptest! {
    /// Guards against bytes that are lost, changed or held back when events arrive in other pieces.
    #[test]
    fn events_are_cut_the_same_way_however_they_arrive(
        cuts in prop::collection::vec(0_usize..60, 0..6)
    ) {
        let whole = b"id: 1\ndata: a\n\n: note\n\nid: 2\r\ndata: b\r\n\r\nid: 30\ndata: c\n\nid: 31";
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(whole.len())).collect();
        cuts.sort_unstable();
        cuts.push(whole.len());
        let mut splitter = Splitter::default();
        let mut passed = Vec::new();
        let mut from = 0;
        for cut in cuts {
            passed.extend_from_slice(&splitter.push(&whole[from..cut]).expect("ids increase"));
            from = cut;
        }
        prop_assert_eq!(&*passed, &whole[..whole.len() - 6]);
        prop_assert_eq!(splitter.last(), Some(EventId::new(30)));
        prop_assert!(!splitter.is_between_events());
    }

    /// Guards against a panic or unbounded memory on bytes that are no event stream.
    #[test]
    fn any_bytes_can_be_split(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut splitter = Splitter::default();
        if let Ok(passed) = splitter.push(&bytes) {
            prop_assert!(bytes.starts_with(&passed));
        }
    }
}
