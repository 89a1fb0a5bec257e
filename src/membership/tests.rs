use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::spawn_local,
};

use super::*;
use crate::testing::on_virtual_time;

/// Answers one request with fixed bytes, or with nothing and an open connection.
async fn serve(answer: Option<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    spawn_local(async move {
        let (mut stream, _peer) = listener.accept().await.expect("a connection");
        let mut head = [0; 1024];
        let _read = stream.read(&mut head).await;
        match answer {
            // The client may close before it has read a list that is too large.
            Some(answer) => drop(stream.write_all(answer.as_bytes()).await),
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

async fn read(address: SocketAddr) -> Result<Vec<Entry>> {
    List::open(address).list().await
}

const LIST: &str = r#"[
    {"host":"host-1","zone":"zone-a","state":"live"},
    {"host":"host-2","zone":"zone-b","state":"leaving"}
]"#;

/// Guards against a damaged answer that is taken for a list: hosts that are missing from a list
/// count as staying, so that an endpoint would take work on a host that is taken away.
#[actix::test]
async fn only_whole_lists_are_read() {
    let large = format!("[{}]", " ".repeat(2 << 20));
    let cases = [
        ("valid", response("200 OK", LIST)),
        ("empty", response("200 OK", "[]")),
        ("broken", response("200 OK", &LIST[..60])),
        (
            "unknown state",
            response("200 OK", &LIST.replace("live", "gone")),
        ),
        (
            "invalid name",
            response("200 OK", &LIST.replace("host-1", "host 1")),
        ),
        ("too large", response("200 OK", &large)),
        ("cut", response("200 OK", LIST).replace(']', "")),
        ("error", response("503 Service Unavailable", "[]")),
        ("no HTTP", "mill\r\n\r\n".to_owned()),
    ];
    let mut log = Vec::new();
    for (name, answer) in cases {
        let list = read(serve(Some(answer)).await).await;
        log.push((name, list.map_err(|error| error.to_string())));
    }
    insta::assert_debug_snapshot!(log);
}

/// Guards against a reader that waits forever for a list that does not come.
#[test]
fn silent_list_is_given_up() {
    let list = on_virtual_time(async { read(serve(None).await).await });
    let error = list.expect_err("no list");
    assert_eq!(
        error.to_string(),
        "endpoint-failed: the host list cannot be read"
    );
}

/// Guards against a reader that fails in another way while the list is down.
#[actix::test]
async fn list_that_is_down_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    drop(listener);
    let error = read(address).await.expect_err("no list");
    assert_eq!(
        error.to_string(),
        "endpoint-failed: the host list cannot be read"
    );
}
