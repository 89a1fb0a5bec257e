use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::spawn_local,
};

use super::*;
use crate::testing::with_paused_time;

/// Serves one request with a fixed response. Without one, keeps the connection open and sends
/// nothing.
async fn serve(response: Option<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    spawn_local(async move {
        let (mut stream, _peer) = listener.accept().await.expect("a connection");
        let mut head = [0; 1024];
        let _read = stream.read(&mut head).await;
        match response {
            // The client may close the connection before it has read a list that is too large.
            Some(response) => drop(stream.write_all(response.as_bytes()).await),
            None => drop(stream.read(&mut head).await),
        }
    });
    address
}

fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

async fn read(address: SocketAddr) -> Result<Vec<HostEntry>> {
    HostListClient::open(address).list().await
}

const LIST: &str = r#"[
    {"host":"host-1","zone":"zone-a","state":"live"},
    {"host":"host-2","zone":"zone-b","state":"leaving"}
]"#;

/// Guards against an invalid response that is accepted as a list: a host that is missing from the
/// list counts as in service, so its endpoints would get work while the host is removed.
#[actix::test]
async fn only_valid_lists_are_read() {
    let large = format!("[{}]", " ".repeat(2 << 20));
    let cases = [
        ("valid", response("200 OK", LIST)),
        ("empty", response("200 OK", "[]")),
        ("incomplete JSON", response("200 OK", &LIST[..60])),
        (
            "unknown state",
            response("200 OK", &LIST.replace("live", "gone")),
        ),
        (
            "invalid name",
            response("200 OK", &LIST.replace("host-1", "host 1")),
        ),
        ("too large", response("200 OK", &large)),
        ("truncated body", response("200 OK", LIST).replace(']', "")),
        ("error status", response("503 Service Unavailable", "[]")),
        ("not HTTP", "mill\r\n\r\n".to_owned()),
    ];
    let mut log = Vec::new();
    for (name, response) in cases {
        let list = read(serve(Some(response)).await).await;
        log.push((name, list.map_err(|error| error.to_string())));
    }
    insta::assert_debug_snapshot!(log);
}

/// Guards against a read without a timeout when the server sends no response.
#[test]
fn unresponsive_server_times_out() {
    let list = with_paused_time(async { read(serve(None).await).await });
    let error = list.expect_err("no list");
    assert_eq!(
        error.to_string(),
        "endpoint-failed: the host list cannot be read"
    );
}

/// Guards against another error kind or message when the server refuses the connection.
#[actix::test]
async fn refused_connection_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    drop(listener);
    let error = read(address).await.expect_err("no list");
    assert_eq!(
        error.to_string(),
        "endpoint-failed: the host list cannot be read"
    );
}
