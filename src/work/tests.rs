mod clients;

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix::Addr;
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use proptest::prelude::*;
use tokio::sync::{mpsc, watch};

use super::*;
use crate::{
    clock::{Clock as _, System},
    id::{Attempt, Fence, Incarnation, Revision},
    link::{Outbox, Session, WriterItem},
    notice::{Closure, Notice},
    testing::with_paused_time,
    unit::{Bytes, Tokens},
    wire::{Change, Frame, Generate, Prompt, Report, Sampling, Submit, Work},
};

/// An endpoint whose responses the test sends through channels.
#[derive(Debug, Default)]
struct ScriptedEndpoint {
    responses: RefCell<Vec<mpsc::UnboundedReceiver<Result<ResponsePart>>>>,
    closure: watch::Sender<Closure>,
}

impl EndpointClient for ScriptedEndpoint {
    fn run(&self, _job: Job) -> ResponseStream {
        let parts = self
            .responses
            .borrow_mut()
            .pop()
            .expect("a response for each job");
        stream::unfold(parts, |mut parts| async {
            Some((parts.recv().await?, parts))
        })
        .boxed_local()
    }

    fn closure(&self) -> watch::Receiver<Closure> {
        self.closure.subscribe()
    }

    fn state(&self) -> LocalBoxFuture<'_, Result<EndpointState>> {
        async { Ok(EndpointState::default()) }.boxed_local()
    }

    fn change(&self, _change: Change, _fence: Fence) -> LocalBoxFuture<'_, Result<()>> {
        async { Ok(()) }.boxed_local()
    }
}

struct Rig {
    worker: Addr<Worker>,
    script: Rc<ScriptedEndpoint>,
    outbox: Outbox,
    frames: mpsc::UnboundedReceiver<WriterItem>,
    session: Session,
}

const INCARNATION: Incarnation = Incarnation::from_bytes([7; 8]);

fn rig() -> Rig {
    let script = Rc::new(ScriptedEndpoint::default());
    let (_sender, revision) = watch::channel(Revision::new(3));
    let worker = spawn(Config {
        name: "review-1".parse().expect("valid name"),
        incarnation: INCARNATION,
        clock: System::shared(),
        ledger: None,
        endpoint: Rc::clone(&script) as Rc<dyn EndpointClient>,
        revision,
        report: Box::new(|_report: Report| ()),
    });
    let (outbox, frames) = Outbox::channel();
    Rig {
        worker,
        script,
        outbox,
        frames,
        session: Session::next(),
    }
}

impl Rig {
    fn begin(&self, number: u16, credit: u64) -> mpsc::UnboundedSender<Result<ResponsePart>> {
        let (sender, parts) = mpsc::unbounded_channel();
        self.script.responses.borrow_mut().push(parts);
        self.submit(submit(number, credit));
        sender
    }

    fn submit(&self, submit: Submit) {
        let begin = StartAttempt {
            session: self.session,
            outbox: self.outbox.clone(),
            submit,
        };
        self.worker.do_send(begin);
    }

    async fn next(&mut self) -> String {
        match self.frames.recv().await {
            Some(WriterItem::Frame(Frame::Chunk(chunk))) => {
                let text = String::from_utf8_lossy(&chunk.data).into_owned();
                format!(
                    "{} chunk at {}: {text}",
                    chunk.attempt.number(),
                    chunk.offset
                )
            }
            Some(WriterItem::Frame(Frame::End(end))) => {
                format!(
                    "{} end at {} ({})",
                    end.attempt.number(),
                    end.length,
                    end.reason
                )
            }
            Some(WriterItem::Frame(Frame::Fail(fail))) => {
                let number = fail.attempt.number();
                format!("{number} fail {}, executed {}", fail.kind, fail.executed)
            }
            other => format!("{other:?}"),
        }
    }
}

fn attempt(number: u16) -> Attempt {
    Attempt::new(crate::id::Request::from_bytes([1; 16]), number)
}

fn submit(number: u16, credit: u64) -> Submit {
    Submit {
        attempt: attempt(number),
        incarnation: INCARNATION,
        caller: "kitchen".parse().expect("valid name"),
        class: "verdict".parse().expect("valid name"),
        priority: 1,
        time_left: Duration::from_secs(10),
        credit: Bytes::new(credit),
        work: Work::Generate(Generate {
            model: "allergen".parse().expect("valid name"),
            adapter: None,
            prompt: Prompt::Text("does it hold nuts".to_owned()),
            max_output: Tokens::new(8),
            resume: Bytes::new(5),
            sampling: Sampling::default(),
        }),
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the script takes results")]
fn data(text: &str) -> Result<ResponsePart> {
    Ok(ResponsePart::Data(text.as_bytes().to_vec()))
}

#[expect(clippy::unnecessary_wraps, reason = "the script takes results")]
fn end() -> Result<ResponsePart> {
    let reason = "stop".to_owned();
    Ok(ResponsePart::End {
        reason,
        status: 200,
        input: Tokens::new(4),
        output: Tokens::new(2),
    })
}

/// Guards against wrong chunk offsets after a resume, and against a response that is reported as
/// complete although the endpoint truncated it.
#[actix::test]
async fn responses_are_framed_and_terminated() {
    let mut rig = rig();
    let mut log = Vec::new();
    let complete = rig.begin(1, 1000);
    for part in [data("tra"), data("ces"), end()] {
        complete.send(part).expect("a running attempt");
    }
    for _ in 0..3 {
        log.push(rig.next().await);
    }
    let truncated = rig.begin(2, 1000);
    truncated.send(data("tra")).expect("a running attempt");
    drop(truncated);
    for _ in 0..2 {
        log.push(rig.next().await);
    }
    insta::assert_debug_snapshot!(log);
}

/// Guards against an agent that sends more than one chunk beyond its credit window, with which the
/// response to a slow caller would accumulate in the agent.
#[actix::test]
async fn credit_limits_sent_bytes() {
    let mut rig = rig();
    let slow = rig.begin(1, 4);
    for part in [data("aaa"), data("bbb"), data("ccc"), end()] {
        slow.send(part).expect("a running attempt");
    }
    let mut log = vec![rig.next().await, rig.next().await];
    // Another attempt completes meanwhile, and the first one sends nothing before it has credit.
    let other = rig.begin(2, 1000);
    other.send(end()).expect("a running attempt");
    log.push(rig.next().await);
    rig.worker.do_send(Credit {
        attempt: attempt(1),
        bytes: Bytes::new(100),
    });
    log.extend([rig.next().await, rig.next().await]);
    insta::assert_debug_snapshot!(log);
}

/// Guards against an attempt that starts on a draining endpoint or is addressed to another
/// incarnation of the agent, and against a drain that cuts off attempts in progress.
#[actix::test]
async fn drain_refuses_new_attempts_and_completes_running_ones() {
    let mut rig = rig();
    let running = rig.begin(1, 1000);
    running.send(data("tra")).expect("a running attempt");
    let mut log = vec![rig.next().await];
    rig.worker.do_send(Drain(true));
    rig.submit(submit(2, 1000));
    log.push(rig.next().await);
    rig.worker.do_send(Drain(false));
    rig.submit(Submit {
        incarnation: Incarnation::from_bytes([8; 8]),
        ..submit(3, 1000)
    });
    log.push(rig.next().await);
    running.send(end()).expect("a running attempt");
    log.push(rig.next().await);
    rig.worker
        .send(WaitUntilIdle)
        .await
        .expect("a running worker");
    insta::assert_debug_snapshot!(log);
}

/// Guards against an attempt that starts at an endpoint which pauses or leaves, and against entries that
/// do not learn of it.
#[actix::test]
async fn closed_endpoint_refuses_attempts() {
    let mut rig = rig();
    let mut log = Vec::new();
    for (leaving, pause) in [(false, "60"), (true, "60")] {
        let notice = Notice {
            leaving,
            pause: pause.parse().ok(),
        };
        let now = System.now();
        rig.script
            .closure
            .send_modify(|closure| closure.add(notice, now));
        rig.submit(submit(1, 1000));
        log.push(rig.next().await);
        let report = rig.worker.send(GetReport).await.expect("a running worker");
        let pauses = report.paused_for > Duration::from_secs(50);
        log.push(format!("leaving {}, pauses {pauses}", report.leaving));
    }
    insta::assert_debug_snapshot!(log);
}

/// Guards against a stopping agent that accepts attempts again because the holder of its group
/// finds no reason for the drain and resumes the endpoint.
#[actix::test]
async fn resume_does_not_undo_a_stop() {
    let mut rig = rig();
    rig.worker.do_send(Stop);
    rig.worker.do_send(Drain(false));
    rig.submit(submit(1, 1000));
    insta::assert_snapshot!(rig.next().await, @"1 fail leaving, executed no");
}

/// Guards against an engine that keeps generating after the entry has withdrawn the attempt or
/// disconnected.
#[actix::test]
async fn withdrawn_attempts_are_canceled() {
    let mut rig = rig();
    let first = rig.begin(1, 1000);
    first.send(data("tra")).expect("a running attempt");
    rig.next().await;
    rig.worker.do_send(CancelAttempt(attempt(1)));
    first.closed().await;
    let second = rig.begin(2, 1000);
    second.send(data("tra")).expect("a running attempt");
    rig.next().await;
    rig.worker.do_send(Disconnected(rig.session));
    second.closed().await;
    rig.worker
        .send(WaitUntilIdle)
        .await
        .expect("a running worker");
}

/// Guards against an attempt that occupies an engine after the deadline of its caller.
#[test]
fn attempts_end_at_their_deadline() {
    let log = with_paused_time(async {
        let mut rig = rig();
        let _silent = rig.begin(1, 1000);
        rig.next().await
    });
    insta::assert_snapshot!(log);
}

/// Guards against an edit that is delayed by up to a second, the report interval, at each agent
/// that it passes through.
#[test]
fn new_revision_is_reported_at_once() {
    let (revision, delay) = with_paused_time(async {
        let (revisions, revision) = watch::channel(Revision::new(3));
        let (sender, mut reports) = mpsc::unbounded_channel();
        let worker = spawn(Config {
            ledger: None,
            name: "review-1".parse().expect("valid name"),
            incarnation: INCARNATION,
            clock: System::shared(),
            endpoint: Rc::new(ScriptedEndpoint::default()),
            revision,
            report: Box::new(move |report: Report| {
                sender.send(report.revision).expect("a running test");
            }),
        });
        // The reply shows that the worker has started.
        worker.send(GetReport).await.expect("a running worker");
        let start = tokio::time::Instant::now();
        revisions.send_replace(Revision::new(4));
        (reports.recv().await, start.elapsed())
    });
    assert_eq!((revision, delay), (Some(Revision::new(4)), Duration::ZERO));
}

proptest! {
    /// Guards against a decoder whose result depends on how the stream is split into chunks.
    #[test]
    fn decoded_events_do_not_depend_on_chunk_boundaries(
        lines in proptest::collection::vec("(data: ?|: |id: )?[a-z\\[\\] \u{e9}]{0,12}", 0..12),
        cut in 0usize..200,
    ) {
        let text = lines.join("\n") + "\n\n";
        let bytes = text.as_bytes();
        let whole = Decoder::default().push(bytes).expect("valid lines");
        let (head, tail) = bytes.split_at(cut.min(bytes.len()));
        let mut decoder = Decoder::default();
        let mut parts = decoder.push(head).expect("valid lines");
        parts.extend(decoder.push(tail).expect("valid lines"));
        prop_assert_eq!(whole, parts);
    }

    /// Guards against a decoder that panics on bytes that are not an event stream.
    #[test]
    fn decoder_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _events = Decoder::default().push(&bytes);
    }
}

/// Guards against a line without end that fills the memory of the agent.
#[test]
fn overlong_line_is_rejected() {
    let mut decoder = Decoder::default();
    let error = (0..100).find_map(|_| decoder.push(&[b'x'; 1 << 10]).err());
    let message = error.map(|error| error.to_string());
    assert_eq!(
        message.as_deref(),
        Some("endpoint-failed: a line of the event stream is too long")
    );
}
