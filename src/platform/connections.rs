use std::{fmt, rc::Rc};

use awc::Client;
use tokio::sync::watch;

/// The connections to the store. Once a call on one of them got no answer, all are given up: others may
/// have gone silent with it, and nothing but another unanswered call would show that.
#[derive(Clone)]
pub(super) struct Connections {
    client: Rc<watch::Sender<Client>>,
}

impl fmt::Debug for Connections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connections").finish_non_exhaustive()
    }
}

impl Connections {
    /// Starts without connections; they are opened on demand.
    pub(super) fn new() -> Self {
        Self {
            client: Rc::new(watch::Sender::new(new_client())),
        }
    }

    /// The client for the next call.
    pub(super) fn client(&self) -> Client {
        self.client.borrow().clone()
    }

    /// Lets all further calls open new connections. Calls in progress keep theirs.
    pub(super) fn replace(&self) {
        self.client.send_replace(new_client());
        metrics::counter!("store_connections_replaced_total").increment(1);
    }

    /// Notified when the connections are replaced after this call.
    pub(super) fn subscribe(&self) -> watch::Receiver<Client> {
        self.client.subscribe()
    }
}

fn new_client() -> Client {
    // Each call has its own timeout.
    Client::builder()
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}
