//! Connections to the store that go silent without an error, while new ones work.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use awc::Client;
use mulberrymill_bench::platform::Store;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task,
};

use super::{Harness, MAX_POLLS, POLL_INTERVAL, STOP_SETTINGS, config, open_gateway};

/// What the gateway does on a silent connection.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
    /// It sends a call.
    Call(String),
    /// It closes the connection.
    Close,
}

/// A forwarder in front of the store. The connections that are open at a moment can be silenced.
struct Forwarder {
    address: SocketAddr,
    silenced: watch::Sender<bool>,
    events: Rc<RefCell<Vec<Event>>>,
}

impl Forwarder {
    async fn bind(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let silenced = watch::Sender::new(false);
        let events = Rc::default();
        let (mode, recorded) = (silenced.subscribe(), Rc::clone(&events));
        task::spawn_local(async move {
            while let Ok((caller, _)) = listener.accept().await {
                // Connections that are opened after the silence are never silent.
                let mode = (!*mode.borrow()).then(|| mode.clone());
                task::spawn_local(forward(caller, store, mode, Rc::clone(&recorded)));
            }
        });
        Self {
            address,
            silenced,
            events,
        }
    }
}

async fn forward(
    mut caller: TcpStream,
    store: SocketAddr,
    silenced: Option<watch::Receiver<bool>>,
    events: Rc<RefCell<Vec<Event>>>,
) {
    let mut store = TcpStream::connect(store).await.expect("a running store");
    let silence = async {
        match silenced {
            Some(mut silenced) => drop(silenced.wait_for(|silenced| *silenced).await),
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut caller, &mut store) => return,
        () = silence => {}
    }
    let mut call = vec![0; 4 << 10];
    while let Ok(length @ 1..) = caller.read(&mut call).await {
        let text = String::from_utf8_lossy(&call[..length]);
        let line = text.lines().next().unwrap_or_default().to_owned();
        events.borrow_mut().push(Event::Call(line));
    }
    events.borrow_mut().push(Event::Close);
    // Nothing of what the store has answered meanwhile is passed on.
    let _ = store.shutdown().await;
}

/// Guards against reads that follow an unanswered call on connections that are as old, and are answered
/// neither: the gateway follows the store again later than it may (CONFIG, DRAIN).
#[actix_web::test]
async fn no_call_follows_an_unanswered_one_on_connections_as_old() {
    let store = Store::bind().expect("a free port");
    let forwarder = Forwarder::bind(store.address()).await;
    let gateway = open_gateway("gateway-1", forwarder.address, STOP_SETTINGS).await;
    let harness = Harness {
        client: Client::builder().timeout(Duration::from_secs(20)).finish(),
        store,
        gateway,
    };
    let _endpoints = harness.add_two_services().await;
    // The connection of this write is idle afterwards, beside those of the watches.
    for _ in 0..MAX_POLLS {
        if !harness.store.keys("gateways/").is_empty() {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    forwarder.silenced.send_replace(true);
    harness.store.put("op/config", &config(5, "s2"));
    harness.wait_until_answered_by("e2").await;
    let events = forwarder.events.borrow();
    let closed = events.iter().position(|event| *event == Event::Close);
    let after = &events[closed.expect("a call that was given up")..];
    let calls: Vec<_> = after
        .iter()
        .filter(|event| **event != Event::Close)
        .collect();
    assert!(calls.is_empty(), "calls on silent connections: {calls:?}");
}
