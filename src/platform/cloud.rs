use std::{fmt, net::SocketAddr, time::Duration};

use actix_web::http::StatusCode;
use awc::Client;
use futures_util::{FutureExt, future::LocalBoxFuture};
use serde_json::json;

use super::names;
use crate::{
    duty::{self, Answer, Call, Token},
    id::Process,
};

/// Limit of the time for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Client of the platform's API for duties.
pub struct Cloud {
    address: SocketAddr,
    holder: Process,
}

impl fmt::Debug for Cloud {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Cloud")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Cloud {
    /// Creates a client of the API at an address, for the process `holder`.
    #[must_use]
    pub const fn new(address: SocketAddr, holder: Process) -> Self {
        Self { address, holder }
    }
}

impl duty::Api for Cloud {
    fn send(&self, token: Token, call: &Call) -> LocalBoxFuture<'static, Answer> {
        let (path, body) = match call {
            Call::Usage { window, counts } => {
                let body = json!({ "windowId": window.get(), "counts": **counts });
                (names::DUTY_USAGE, body)
            }
        };
        // Each call has a connection of its own: one that is kept may have gone silent since.
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        let request = client
            .post(format!("http://{}{path}", self.address))
            .insert_header((names::DUTY_HOLDER, self.holder.to_string()))
            .insert_header((names::FENCING_TOKEN, token.to_string()))
            .force_close();
        async move {
            match request.send_json(&body).await {
                Ok(response) => match response.status() {
                    StatusCode::CONFLICT => Answer::Superseded,
                    status if status.is_success() => Answer::Accepted,
                    status => Answer::Refused(format!("status {status}")),
                },
                Err(error) => Answer::Unknown(error.to_string()),
            }
        }
        .boxed_local()
    }
}
