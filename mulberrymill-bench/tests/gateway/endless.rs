//! Answers and bodies of which many bytes have to be held at once, and that do not end.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use mulberrymill_bench::platform::entry;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task, time,
};

use super::{
    Harness, MAX_POLLS, POLL_INTERVAL, config,
    departure::read_head,
    faulty::{self, status},
};

/// Requests that the endpoint has at a time.
const REQUESTS: usize = 300;
/// Half of the memory of the smallest gateway.
const GROWTH_MAX: usize = 80 << 20;
const STATUS_LINE: &[u8] = b"HTTP/1.1 200 OK\r\n";
const EVENTS_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nserver-stamp: s\r\n\
    content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// Runs an ignored test of this module in a process of its own, whose memory only this test uses.
fn run_alone(name: &str) {
    let program = std::env::current_exe().expect("the path of this program");
    let output = std::process::Command::new(program)
        .args(["--exact", name, "--ignored", "--nocapture"])
        .output()
        .expect("this program starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}{errors}");
    assert!(text.contains("1 passed"), "{name} was not run: {text}");
}

/// Memory of this process, in bytes.
fn resident_memory() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").expect("the memory of the process");
    let resident = pages
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    resident.expect("a number of pages") * 4_096
}

/// Answers each request with these bytes, which do not end the answer, and then stalls. Returns its address,
/// and the number of answers that it has written as far as the gateway took them.
async fn endpoint(start: &'static [u8], filler: Rc<[u8]>) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let written = Rc::new(Cell::new(0));
    let count = Rc::clone(&written);
    task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (filler, count) = (Rc::clone(&filler), Rc::clone(&count));
            task::spawn_local(async move {
                if read_head(&mut stream).await.is_none() {
                    return;
                }
                let mut sent = stream.write_all(start).await;
                if sent.is_ok() {
                    sent = stream.write_all(&filler).await;
                }
                count.set(count.get() + 1);
                if sent.is_ok() {
                    // Returns once the gateway closes the connection.
                    let _ = read_head(&mut stream).await;
                }
            });
        }
    });
    (address, written)
}

/// Guards against answers that are bounded one by one while their sum is not: hundreds of them used up the
/// memory of a gateway, and with it ended the requests of all (processes that end by themselves, LOST).
#[test]
fn endless_answers_of_one_endpoint_end_neither_the_process_nor_other_requests() {
    run_alone("endless::answers_are_bounded");
}

#[actix_web::test]
#[ignore = "measures the memory of its process; started by the test above"]
async fn answers_are_bounded() {
    let mut event = b"200000\r\ndata: ".to_vec();
    event.resize(1_000_000, b'x');
    let mut header = b"x-filler: ".to_vec();
    header.resize(60_000, b'x');
    for (target, settings, start, filler) in [
        ("/stream/1", r#""memory": "160MiB""#, EVENTS_HEAD, event),
        ("/once/1", r#""memory": "32MiB""#, STATUS_LINE, header),
    ] {
        let (address, written) = endpoint(start, filler.into()).await;
        let harness = Harness::with_settings(settings).await;
        harness.store.put("op/config", &config(3, "s1"));
        let faulty = entry(address, "s1", 400, "ready");
        harness.store.put("servers/e1", &faulty);
        harness.wait_until_ready().await;
        let gateway = harness.gateway.address();
        let before = resident_memory();
        let answers: Rc<RefCell<Vec<String>>> = Rc::default();
        let callers: Vec<_> = (0..REQUESTS)
            .map(|number| {
                let answers = Rc::clone(&answers);
                task::spawn_local(async move {
                    let id = format!("call-{number}");
                    let answer = faulty::send_within(gateway, target, &id, 20_000).await;
                    answers.borrow_mut().push(answer);
                })
            })
            .collect();
        let mut peak = before;
        for _ in 0..MAX_POLLS {
            peak = peak.max(resident_memory());
            if written.get() >= REQUESTS && !answers.borrow().is_empty() {
                break;
            }
            time::sleep(POLL_INTERVAL).await;
        }
        let ended = answers.borrow().len();
        assert!(ended < REQUESTS, "{target}: none is in progress any more");

        let sound = super::Endpoint::bind("e2").expect("a free port");
        harness.store.remove("servers/e1");
        harness.store.put("servers/e2", &sound.entry("s1", "ready"));
        harness.wait_until_answered_by("e2").await;
        for number in 0..20 {
            let answer = faulty::send(gateway, "/once/2", &format!("sound-{number}")).await;
            assert_eq!(status(&answer), 200, "{target}");
            peak = peak.max(resident_memory());
        }
        for caller in callers {
            caller.abort();
        }
        let growth = peak - before;
        println!("{target}: the process grew by {growth} bytes, {ended} answers were ended");
        assert!(growth < GROWTH_MAX, "{target}: grew by {growth} bytes");
        assert!(ended > 0, "{target}: no answer was ended");
        let whole = |answer: &String| answer.ends_with("0\r\n\r\n") && status(answer) == 200;
        assert!(!answers.borrow().iter().any(whole), "{target}");
    }
}

/// Guards against bodies of callers that are bounded one by one while their sum is not.
#[test]
fn unfinished_bodies_of_callers_do_not_end_the_process() {
    run_alone("endless::bodies_are_bounded");
}

#[actix_web::test]
#[ignore = "measures the memory of its process; started by the test above"]
async fn bodies_are_bounded() {
    let harness = Harness::with_settings(r#""memory": "32MiB""#).await;
    let mut config = config(3, "s1");
    config["limits"]["maxBodyBytes"] = 2_000_000.into();
    harness.store.put("op/config", &config);
    let sound = super::Endpoint::bind("e1").expect("a free port");
    harness.store.put("servers/e1", &sound.entry("s1", "ready"));
    harness.wait_until_answered_by("e1").await;
    let gateway = harness.gateway.address();
    let before = resident_memory();
    let refusals: Rc<RefCell<Vec<u16>>> = Rc::default();
    let sent = Rc::new(Cell::new(0));
    let part: Rc<[u8]> = vec![b'x'; 900_000].into();
    let callers: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let (refusals, sent) = (Rc::clone(&refusals), Rc::clone(&sent));
            let part = Rc::clone(&part);
            task::spawn_local(async move {
                let mut caller = TcpStream::connect(gateway).await.expect("a connection");
                let head = "POST /once/1 HTTP/1.1\r\nhost: kitchen.example\r\n\
                    request-id: call\r\ncontent-length: 1000000\r\n\r\n";
                let written = async {
                    caller.write_all(head.as_bytes()).await?;
                    caller.write_all(&part).await
                };
                // The gateway may refuse the request before its body has arrived.
                let _ = written.await;
                sent.set(sent.get() + 1);
                if let Some(answer) = read_head(&mut caller).await {
                    refusals.borrow_mut().push(status(&answer));
                }
            })
        })
        .collect();
    let mut peak = before;
    for _ in 0..MAX_POLLS {
        peak = peak.max(resident_memory());
        if sent.get() >= REQUESTS && !refusals.borrow().is_empty() {
            break;
        }
        time::sleep(POLL_INTERVAL).await;
    }
    for number in 0..20 {
        let answer = faulty::send(gateway, "/once/2", &format!("sound-{number}")).await;
        assert_eq!(status(&answer), 200);
        peak = peak.max(resident_memory());
    }
    for caller in callers {
        caller.abort();
    }
    let (growth, mut refusals) = (peak - before, refusals.take());
    println!(
        "the process grew by {growth} bytes, {} were refused",
        refusals.len()
    );
    refusals.dedup();
    assert_eq!(refusals, [503]);
    assert!(growth < GROWTH_MAX, "grew by {growth} bytes");
}
