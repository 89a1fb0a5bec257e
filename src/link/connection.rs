use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use tokio::{net::TcpStream, sync::mpsc, task::JoinSet, time};
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{self, Message, protocol::WebSocketConfig},
};

use super::{ConnectionHandler, Identity, Outbox, Peer, Session, imp::WriterItem};
use crate::{
    clock,
    error::{Error, Kind, Result},
    wire::{self, FRAME_MAX, Frame, Hello, PROTOCOL},
};

/// Idle timeout after which either end closes a connection. Peers report every second, so three
/// reports may be missing or late before a live peer is treated as failed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of frames written between two flushes, so that one busy attempt does not delay
/// the buffered frames of others.
const FLUSH_BATCH_FRAMES: usize = 64;

/// Size of the read buffer, which is allocated for the lifetime of a connection. The library's
/// default of 128 KiB is too much for hundreds of connections. 8 KiB holds about 50 reports or
/// chunks, so that a busy connection still needs few reads.
const READ_BUFFER_BYTES: usize = 8 << 10;

type Socket = WebSocketStream<TcpStream>;

/// WebSocket configuration, with which larger messages are rejected before they are read.
pub(super) fn limits() -> WebSocketConfig {
    let largest = usize::try_from(FRAME_MAX.get()).unwrap_or(usize::MAX);
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(largest))
        .max_frame_size(Some(largest))
}

/// Runs a connection until it is closed. Returns the reason.
pub(super) async fn run(
    socket: Socket,
    identity: &Identity,
    clock: &clock::Shared,
    sink: &Rc<dyn ConnectionHandler>,
) -> Error {
    let (outbox, queue) = Outbox::channel();
    outbox.send(identity.hello());
    let (writer, mut reader) = socket.split();
    // The set also aborts the writer if this task is aborted; a detached writer would keep its half
    // of the socket open.
    let mut writers = JoinSet::new();
    writers.spawn_local(write(writer, queue));
    read(&mut reader, clock, sink, &outbox).await
}

async fn read(
    reader: &mut SplitStream<Socket>,
    clock: &clock::Shared,
    sink: &Rc<dyn ConnectionHandler>,
    outbox: &Outbox,
) -> Error {
    let hello = match read_hello(reader).await {
        Ok(hello) => hello,
        Err(error) => return error,
    };
    let peer = Peer {
        session: Session::next(),
        hello,
    };
    sink.on_open(&peer, outbox);
    let guard = CloseGuard { sink, peer };
    read_frames(reader, clock, sink, outbox, &guard.peer).await
}

/// Calls [`ConnectionHandler::on_close`] when the connection ends, also if its task is aborted.
struct CloseGuard<'a> {
    sink: &'a Rc<dyn ConnectionHandler>,
    peer: Peer,
}

impl Drop for CloseGuard<'_> {
    fn drop(&mut self) {
        self.sink.on_close(&self.peer);
    }
}

async fn read_hello(reader: &mut SplitStream<Socket>) -> Result<Hello> {
    match next_frame(reader).await? {
        Frame::Hello(hello) if hello.protocol == PROTOCOL => Ok(hello),
        Frame::Hello(hello) => {
            let detail = format!(
                "peer uses protocol version {}, expected {PROTOCOL}",
                hello.protocol
            );
            Err(Error::new(Kind::BadRequest, detail))
        }
        _ => Err(Error::new(
            Kind::BadRequest,
            "peer did not introduce itself",
        )),
    }
}

async fn read_frames(
    reader: &mut SplitStream<Socket>,
    clock: &clock::Shared,
    sink: &Rc<dyn ConnectionHandler>,
    outbox: &Outbox,
    peer: &Peer,
) -> Error {
    let mut last_received = clock.now();
    loop {
        let frame = match next_frame(reader).await {
            Ok(frame) => frame,
            Err(error) => return error,
        };
        // A process that was suspended finds old frames in its socket. The peer has closed this
        // connection by then, so handling them would run attempts already retried elsewhere.
        let now = clock.now();
        if now.duration_since(last_received) > IDLE_TIMEOUT {
            return Error::new(Kind::EndpointLost, "connection was silent for too long");
        }
        last_received = now;
        sink.on_frame(peer, frame, outbox);
    }
}

async fn next_frame(reader: &mut SplitStream<Socket>) -> Result<Frame> {
    loop {
        let message = time::timeout(IDLE_TIMEOUT, reader.next())
            .await
            .map_err(|_elapsed| Error::new(Kind::EndpointLost, "connection is silent"))?;
        match message {
            Some(Ok(Message::Binary(bytes))) => {
                return wire::decode(&bytes).map_err(|error| {
                    Error::new(Kind::BadRequest, "peer sent an invalid frame").with_source(error)
                });
            }
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(_)) | None => {
                return Err(Error::new(Kind::EndpointLost, "peer closed the connection"));
            }
            Some(Err(error)) => {
                return Err(Error::new(Kind::EndpointLost, "connection failed").with_source(error));
            }
        }
    }
}

async fn write(
    mut writer: SplitSink<Socket, Message>,
    mut queue: mpsc::UnboundedReceiver<WriterItem>,
) -> std::result::Result<(), tungstenite::Error> {
    let mut batch = Vec::with_capacity(FLUSH_BATCH_FRAMES);
    while queue.recv_many(&mut batch, FLUSH_BATCH_FRAMES).await > 0 {
        for item in batch.drain(..) {
            match item {
                WriterItem::Frame(frame) => write_frame(&mut writer, &frame).await?,
                WriterItem::Close => return writer.close().await,
            }
        }
        writer.flush().await?;
    }
    Ok(())
}

async fn write_frame(
    writer: &mut SplitSink<Socket, Message>,
    frame: &Frame,
) -> std::result::Result<(), tungstenite::Error> {
    match wire::encode(frame) {
        Ok(bytes) => {
            metrics::counter!("link_sent_bytes_total", "frame" => traffic_class(frame))
                .increment(bytes.len() as u64);
            writer.feed(Message::Binary(Bytes::from(bytes))).await
        }
        Err(error) => {
            log::error!(error:% = error; "frame encoding failed; closing the connection");
            Err(tungstenite::Error::ConnectionClosed)
        }
    }
}

/// Value of the `frame` label of `link_sent_bytes_total`: `work` for frames that belong to a
/// request, `control` for all others.
const fn traffic_class(frame: &Frame) -> &'static str {
    match frame {
        Frame::Submit(_)
        | Frame::Credit(_)
        | Frame::Cancel(_)
        | Frame::Chunk(_)
        | Frame::End(_)
        | Frame::Fail(_)
        | Frame::Lookup(_)
        | Frame::Outcome(_) => "work",
        Frame::Hello(_)
        | Frame::Report(_)
        | Frame::Heartbeat(_)
        | Frame::GoAway
        | Frame::Order(_)
        | Frame::Done(_)
        | Frame::Fetch(_)
        | Frame::Document(_)
        | Frame::Digest(_) => "control",
    }
}
