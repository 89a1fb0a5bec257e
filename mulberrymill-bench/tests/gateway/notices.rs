//! What endpoints say of themselves in their answers, against raw endpoints that count what reaches
//! them. The store lists them as ready all the time.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use futures_util::future::join_all;
use mulberrymill_bench::platform::entry;
use serde_json::{Value, json};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task, time,
    time::Instant,
};

use super::{
    Harness, config,
    departure::read_head,
    faulty::{send, status},
};

/// Body of [`SUCCESS`], an event.
const EVENT: &str = "data: ok\n\n";
const REFUSAL: &str =
    "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\ncontent-length: 0\r\n";
const SUCCESS: &str = "HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-length: 10\r\n";

/// An endpoint that answers each request with what its script says for the time of its arrival.
struct Endpoint {
    entry: Value,
    arrivals: Rc<RefCell<Vec<Instant>>>,
    /// Head and body of its answers, without the id.
    answer: Rc<RefCell<(String, &'static str)>>,
    connections: Rc<Cell<usize>>,
}

impl Endpoint {
    async fn open(head: &str, body: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let endpoint = Self {
            entry: entry(address, "s1", 64, "ready"),
            arrivals: Rc::default(),
            answer: Rc::new(RefCell::new((head.to_owned(), body))),
            connections: Rc::default(),
        };
        let arrivals = Rc::clone(&endpoint.arrivals);
        let answer = Rc::clone(&endpoint.answer);
        let connections = Rc::clone(&endpoint.connections);
        task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (arrivals, answer) = (Rc::clone(&arrivals), Rc::clone(&answer));
                let connections = Rc::clone(&connections);
                connections.set(connections.get() + 1);
                task::spawn_local(async move {
                    serve(stream, &arrivals, &answer).await;
                    connections.set(connections.get() - 1);
                });
            }
        });
        endpoint
    }

    fn arrivals(&self) -> usize {
        self.arrivals.borrow().len()
    }
}

async fn serve(
    mut stream: TcpStream,
    arrivals: &RefCell<Vec<Instant>>,
    answer: &RefCell<(String, &'static str)>,
) {
    while let Some(head) = read_head(&mut stream).await {
        arrivals.borrow_mut().push(Instant::now());
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("request-id: "));
        let (head, body) = answer.borrow().clone();
        let echo = id.map(|id| format!("request-id: {id}\r\n"));
        let answer = format!("{head}{}\r\n{body}", echo.unwrap_or_default());
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn open_harness(endpoints: &[(&str, &Endpoint)]) -> Harness {
    let harness = Harness::open().await;
    harness.store.put("op/config", &config(3, "s1"));
    for (id, endpoint) in endpoints {
        list(&harness, id, endpoint, 1);
    }
    harness.wait_until_ready().await;
    harness
}

/// Lists an endpoint as ready, in a run that started at this time.
fn list(harness: &Harness, id: &str, endpoint: &Endpoint, started: u64) {
    let mut entry = endpoint.entry.clone();
    entry["born"] = json!(started);
    harness.store.put(&format!("servers/{id}"), &entry);
}

/// Sends requests one after the other, and returns their statuses without repetitions.
async fn statuses(harness: &Harness, target: &str, count: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..count {
        let id = format!("call-{number}");
        statuses.push(status(&send(harness.gateway.address(), target, &id).await));
    }
    statuses.dedup();
    statuses
}

/// Guards against requests to an endpoint that has said that it leaves while the store still lists it
/// as ready (DRAIN), and against keeping it closed after it has started again.
#[actix_web::test]
async fn leaving_endpoint_gets_no_requests_until_it_has_started_again() {
    for (target, head) in [
        ("/once/1", SUCCESS),
        (
            "/once/1",
            "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n",
        ),
        ("/stream/1", REFUSAL),
    ] {
        let leaving = Endpoint::open(
            &format!("{head}server-leaving: 1\r\n"),
            if head == SUCCESS { EVENT } else { "" },
        )
        .await;
        let other = Endpoint::open(SUCCESS, EVENT).await;
        let harness = open_harness(&[("e1", &leaving), ("e2", &other)]).await;
        while leaving.arrivals() == 0 {
            statuses(&harness, target, 1).await;
        }
        let before = leaving.arrivals();
        assert_eq!(statuses(&harness, target, 30).await, [200], "{head}");
        assert_eq!(leaving.arrivals(), before, "{head}");
        assert_eq!(
            leaving.connections.get(),
            0,
            "idle connections stay open: {head}"
        );
        // The same run is listed once more, after it was missing.
        harness.store.remove("servers/e1");
        list(&harness, "e1", &leaving, 1);
        harness.store.remove("servers/e2");
        let refused = loop {
            let answer = send(harness.gateway.address(), target, "call").await;
            if status(&answer) != 200 {
                break answer;
            }
        };
        assert_eq!(status(&refused), 503);
        assert!(refused.contains("leave"), "{refused}");
        assert_eq!(leaving.arrivals(), before, "{head}");
        *leaving.answer.borrow_mut() = (SUCCESS.to_owned(), EVENT);
        list(&harness, "e1", &leaving, 2);
        while statuses(&harness, target, 1).await != [200] {}
    }
}

/// Guards against requests to an endpoint that has said that it leaves in a copy of an earlier answer
/// (DRAIN), and against a pause that such a copy asks for, perhaps long after its time.
#[actix_web::test]
async fn leaving_is_noticed_in_a_copy_of_an_earlier_answer_too() {
    const EARLIER: &str = "request-id: earlier\r\n";
    for (notice, arrives_again) in [
        ("server-leaving: 1\r\n", false),
        ("retry-after: 60\r\n", true),
    ] {
        let copying = Endpoint::open(&format!("{REFUSAL}{EARLIER}{notice}"), "").await;
        let harness = open_harness(&[("e1", &copying)]).await;
        while copying.arrivals() == 0 {
            statuses(&harness, "/once/1", 1).await;
        }
        let before = copying.arrivals();
        statuses(&harness, "/once/1", 10).await;
        assert_eq!(copying.arrivals() > before, arrives_again, "{notice}");
    }
}

/// Guards against requests to an endpoint during the pause that it asked for (BUDGET), with many of
/// them on their way when it closes, and against an endpoint that stays closed.
#[actix_web::test]
async fn paused_endpoint_gets_no_requests_until_its_time() {
    const PAUSE: Duration = Duration::from_millis(1_200);
    let paused = Endpoint::open(&format!("{REFUSAL}retry-after: 1.2\r\n"), "").await;
    let other = Endpoint::open(SUCCESS, EVENT).await;
    let harness = open_harness(&[("e1", &paused), ("e2", &other)]).await;
    let address = harness.gateway.address();
    let burst = (0..300)
        .map(|number| async move { send(address, "/once/1", &format!("burst-{number}")).await });
    let mut burst = join_all(burst).await;
    let closed_at = paused.arrivals.borrow()[0];
    burst.retain(|answer| status(answer) != 200);
    // What the endpoint rejects before its pause is known is sent again within the retry budget, which
    // allows three and a tenth of the requests.
    let is_rejected = |answer: &String| answer.contains("not run: rejected: status 503");
    assert!(burst.iter().all(is_rejected), "{burst:?}");
    assert!(burst.is_empty() || paused.arrivals() - burst.len() >= 3);
    while closed_at.elapsed() < PAUSE {
        statuses(&harness, "/once/1", 10).await;
    }
    let late = paused.arrivals.borrow().clone();
    let late = late
        .iter()
        .filter(|at| (Duration::from_millis(500)..PAUSE).contains(&(**at - closed_at)));
    assert!(late.count() <= 2);
    *paused.answer.borrow_mut() = (SUCCESS.to_owned(), EVENT);
    let before = paused.arrivals();
    while paused.arrivals() == before {
        statuses(&harness, "/once/1", 1).await;
    }
}

/// Guards against a refusal where an endpoint opens in time, and against a wait where none does.
#[actix_web::test]
async fn request_waits_only_for_a_pause_that_ends_in_time() {
    let mut outcomes = Vec::new();
    for pause in ["0.5", "60"] {
        let paused = Endpoint::open(&format!("{REFUSAL}retry-after: {pause}\r\n"), "").await;
        let harness = open_harness(&[("e1", &paused)]).await;
        let first = send(harness.gateway.address(), "/once/1", "first").await;
        let answer = Rc::clone(&paused.answer);
        *answer.borrow_mut() = (SUCCESS.to_owned(), EVENT);
        let begin = Instant::now();
        let second = send(harness.gateway.address(), "/once/1", "second").await;
        let retry_after = second
            .lines()
            .find_map(|line| line.strip_prefix("retry-after: ")?.parse::<f64>().ok());
        outcomes.push((
            pause,
            status(&first),
            status(&second),
            begin.elapsed() >= Duration::from_millis(400),
            retry_after.map(|seconds| seconds > 59.0),
        ));
        time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(
        outcomes,
        [
            ("0.5", 503, 200, true, None),
            ("60", 503, 503, false, Some(true)),
        ]
    );
}
