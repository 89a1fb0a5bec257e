use std::{cell::RefCell, rc::Rc, time::Duration};

use actix::Addr;
use futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream};
use proptest::prelude::*;
use tokio::sync::{mpsc, watch};

use super::*;
use crate::{
    id::{Attempt, Fence, Incarnation, Revision},
    link::{Item, Outbox, Session},
    testing::on_virtual_time,
    unit::{Bytes, Tokens},
    wire::{Change, Frame, Generate, Prompt, Report, Sampling, Submit, Work},
};

/// An endpoint that answers what the test sends it.
#[derive(Debug, Default)]
struct Script {
    answers: RefCell<Vec<mpsc::UnboundedReceiver<Result<Piece>>>>,
}

impl Endpoint for Script {
    fn run(&self, _job: Job) -> Answer {
        let pieces = self
            .answers
            .borrow_mut()
            .pop()
            .expect("an answer for each job");
        stream::unfold(pieces, |mut pieces| async {
            Some((pieces.recv().await?, pieces))
        })
        .boxed_local()
    }

    fn state(&self) -> LocalBoxFuture<'_, Result<State>> {
        async { Ok(State::default()) }.boxed_local()
    }

    fn change(&self, _change: Change, _fence: Fence) -> LocalBoxFuture<'_, Result<()>> {
        async { Ok(()) }.boxed_local()
    }
}

struct Rig {
    worker: Addr<Worker>,
    script: Rc<Script>,
    outbox: Outbox,
    frames: mpsc::UnboundedReceiver<Item>,
    session: Session,
}

const RUN: Incarnation = Incarnation::from_bytes([7; 8]);

fn rig() -> Rig {
    let script = Rc::new(Script::default());
    let (_sender, revision) = watch::channel(Revision::new(3));
    let worker = spawn(Config {
        name: "review-1".parse().expect("valid name"),
        incarnation: RUN,
        ledger: None,
        endpoint: Rc::clone(&script) as Rc<dyn Endpoint>,
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
    fn begin(&self, number: u16, credit: u64) -> mpsc::UnboundedSender<Result<Piece>> {
        let (sender, pieces) = mpsc::unbounded_channel();
        self.script.answers.borrow_mut().push(pieces);
        self.submit(submit(number, credit));
        sender
    }

    fn submit(&self, submit: Submit) {
        let begin = Begin {
            session: self.session,
            outbox: self.outbox.clone(),
            submit,
        };
        self.worker.do_send(begin);
    }

    async fn next(&mut self) -> String {
        match self.frames.recv().await {
            Some(Item::Frame(Frame::Chunk(chunk))) => {
                let text = String::from_utf8_lossy(&chunk.data).into_owned();
                format!(
                    "{} chunk at {}: {text}",
                    chunk.attempt.number(),
                    chunk.offset
                )
            }
            Some(Item::Frame(Frame::End(end))) => {
                format!(
                    "{} end at {} ({})",
                    end.attempt.number(),
                    end.length,
                    end.reason
                )
            }
            Some(Item::Frame(Frame::Fail(fail))) => {
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
        incarnation: RUN,
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
fn data(text: &str) -> Result<Piece> {
    Ok(Piece::Data(text.as_bytes().to_vec()))
}

#[expect(clippy::unnecessary_wraps, reason = "the script takes results")]
fn end() -> Result<Piece> {
    let reason = "stop".to_owned();
    Ok(Piece::End {
        reason,
        status: 200,
        input: Tokens::new(4),
        output: Tokens::new(2),
    })
}

/// Guards against an answer with wrong offsets after a resume, and against one that is declared
/// whole although the endpoint broke off.
#[actix::test]
async fn answers_are_framed_and_ended() {
    let mut rig = rig();
    let mut log = Vec::new();
    let whole = rig.begin(1, 1000);
    for piece in [data("tra"), data("ces"), end()] {
        whole.send(piece).expect("a running attempt");
    }
    for _ in 0..3 {
        log.push(rig.next().await);
    }
    let broken = rig.begin(2, 1000);
    broken.send(data("tra")).expect("a running attempt");
    drop(broken);
    for _ in 0..2 {
        log.push(rig.next().await);
    }
    insta::assert_debug_snapshot!(log);
}

/// Guards against a slow caller whose answer piles up in the agent: without credit nothing more
/// is sent than one piece beyond the window.
#[actix::test]
async fn credit_bounds_what_is_sent() {
    let mut rig = rig();
    let slow = rig.begin(1, 4);
    for piece in [data("aaa"), data("bbb"), data("ccc"), end()] {
        slow.send(piece).expect("a running attempt");
    }
    let mut log = vec![rig.next().await, rig.next().await];
    // Another attempt runs to its end meanwhile, and nothing of the first one comes between.
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

/// Guards against work that is started on a leaving endpoint or for an earlier run of the agent,
/// and against a drain that cuts off what is in progress.
#[actix::test]
async fn leaving_refuses_new_work_and_completes_the_rest() {
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
    rig.worker.send(Idle).await.expect("a running worker");
    insta::assert_debug_snapshot!(log);
}

/// Guards against a stopping agent that takes work again because the holder of its group finds no
/// reason for the drain and resumes it.
#[actix::test]
async fn resume_does_not_undo_a_stop() {
    let mut rig = rig();
    rig.worker.do_send(Stop);
    rig.worker.do_send(Drain(false));
    rig.submit(submit(1, 1000));
    insta::assert_snapshot!(rig.next().await, @"1 fail leaving, executed no");
}

/// Guards against an engine that generates on after its entry has withdrawn the attempt or died.
#[actix::test]
async fn withdrawn_attempts_are_dropped() {
    let mut rig = rig();
    let first = rig.begin(1, 1000);
    first.send(data("tra")).expect("a running attempt");
    rig.next().await;
    rig.worker.do_send(Withdraw(attempt(1)));
    first.closed().await;
    let second = rig.begin(2, 1000);
    second.send(data("tra")).expect("a running attempt");
    rig.next().await;
    rig.worker.do_send(Disconnected(rig.session));
    second.closed().await;
    rig.worker.send(Idle).await.expect("a running worker");
}

/// Guards against an attempt that holds an engine for longer than its caller waits.
#[test]
fn attempts_end_at_their_deadline() {
    let log = on_virtual_time(async {
        let mut rig = rig();
        let _silent = rig.begin(1, 1000);
        rig.next().await
    });
    insta::assert_snapshot!(log);
}

/// Guards against an edit that waits up to a second for the next report at each agent on its way.
#[test]
fn new_revision_is_reported_at_once() {
    let (revision, waited) = on_virtual_time(async {
        let (revisions, revision) = watch::channel(Revision::new(3));
        let (sender, mut reports) = mpsc::unbounded_channel();
        let worker = spawn(Config {
            ledger: None,
            name: "review-1".parse().expect("valid name"),
            incarnation: RUN,
            endpoint: Rc::new(Script::default()),
            revision,
            report: Box::new(move |report: Report| {
                sender.send(report.revision).expect("a running test");
            }),
        });
        // An answer shows that the worker has started.
        worker.send(Status).await.expect("a running worker");
        let start = tokio::time::Instant::now();
        revisions.send_replace(Revision::new(4));
        (reports.recv().await, start.elapsed())
    });
    assert_eq!((revision, waited), (Some(Revision::new(4)), Duration::ZERO));
}

proptest! {
    /// Guards against a decoder that panics on what an engine sends, or that depends on how the
    /// bytes are cut into packets.
    #[test]
    fn events_do_not_depend_on_packets(
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

    /// Guards against a panic on bytes that are no event stream.
    #[test]
    fn decoder_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _events = Decoder::default().push(&bytes);
    }
}

/// Guards against an endless line that fills the memory of the agent.
#[test]
fn endless_line_is_refused() {
    let mut decoder = Decoder::default();
    let refused = (0..100).find_map(|_| decoder.push(&[b'x'; 1 << 10]).err());
    let refused = refused.map(|error| error.to_string());
    assert_eq!(
        refused.as_deref(),
        Some("endpoint-failed: a line of the event stream is too long")
    );
}
