use std::{
    cell::Cell,
    io::{self, ErrorKind},
    mem::MaybeUninit,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};

use actix_http::{
    Method, RequestHeadType, ResponseHead, ServiceConfig, StatusCode,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
};
use bytes::{Buf, Bytes, BytesMut};
use futures_util::{FutureExt, future::LocalBoxFuture};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, tcp::WriteHalf},
    sync::{mpsc, oneshot},
    task, time,
};
use tokio_util::codec::{Decoder, Encoder};

use super::{
    Framing, Result,
    imp::{
        Body, BodyPart, Error, Gate, IdleConnections, Kind, PendingRequest, Response, add_idle,
        exceeded, remove_closed,
    },
};
use crate::memory::Reservation;

/// Timeout of opening a connection. TCP retransmits a lost SYN only after one second, by which time
/// another endpoint is the better choice.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which an idle connection is closed, below the idle timeout of common servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Value of `TCP_USER_TIMEOUT`: the connection is closed if sent bytes are not acknowledged for
/// this long.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Body parts buffered for a slow reader before reads from the endpoint stop.
const BODY_CHANNEL_CAPACITY: usize = 8;
/// Size of the kernel's receive buffer of a connection. It would otherwise grow to several MiB while a caller
/// does not read the answer.
const RECEIVE_BUFFER_SIZE: usize = 128 << 10;
/// Size of the kernel's send buffer of a connection. It would otherwise grow to several MiB for a long body,
/// which arrives also after the request was given up, or after its endpoint must get no more.
const SEND_BUFFER_SIZE: usize = 128 << 10;
/// Initial capacity of the read and write buffers, in bytes.
const READ_BUFFER_SIZE: usize = 8 << 10;
/// Longest response head, in bytes.
const RESPONSE_HEAD_MAX: usize = 64 << 10;

/// Interim responses (status 100 to 199) that are skipped before the final one. Servers send one or
/// two.
const INTERIM_RESPONSES_MAX: u32 = 8;
/// Longest framing between two parts of a chunked body, in bytes: the size line of a chunk with its
/// extensions, or the trailers.
const CHUNK_FRAMING_MAX: usize = 16 << 10;

/// Starts a task that opens a connection, sends `pending`, and then serves further requests from
/// the pool, if there is one.
pub(super) fn spawn(
    address: SocketAddr,
    pending: PendingRequest,
    idle: Option<IdleConnections>,
    held: Reservation,
) {
    task::spawn_local(async move {
        let Some((pending, stream)) = connect(address, pending).await else {
            return;
        };
        let config = ServiceConfig::default();
        let mut connection = Connection {
            stream,
            codec: ClientCodec::new(config.clone()),
            config,
            buffer: BytesMut::with_capacity(READ_BUFFER_SIZE),
            reused: false,
            held,
        };
        if let Some(idle) = idle {
            connection.run(address, pending, &idle).await;
            remove_closed(&idle, address);
        } else {
            connection.serve(pending).await;
        }
    });
}

async fn connect(
    address: SocketAddr,
    mut pending: PendingRequest,
) -> Option<(PendingRequest, TcpStream)> {
    let opened = tokio::select! {
        opened = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)) => opened,
        () = pending.responder.closed() => {
            record_cancellation(Phase::Connecting);
            return None;
        }
    };
    let opened = opened.unwrap_or_else(|_elapsed| Err(ErrorKind::TimedOut.into()));
    metrics::counter!("upstream_connections_total").increment(1);
    match opened.and_then(|stream| set_socket_options(&stream).map(|()| stream)) {
        Ok(stream) => Some((pending, stream)),
        Err(error) => {
            let kind = match error.kind() {
                ErrorKind::ConnectionRefused => Kind::Refused,
                _ => Kind::NotSent,
            };
            let error = Error::new(kind, format!("cannot connect: {error}"));
            send_error(pending.responder, error);
            None
        }
    }
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_recv_buffer_size(RECEIVE_BUFFER_SIZE)?;
    socket.set_send_buffer_size(SEND_BUFFER_SIZE)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// How far a request had got when it was canceled.
#[derive(Clone, Copy, Debug)]
enum Phase {
    Connecting,
    Sending,
    Waiting,
    Answering,
}

impl Phase {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Connecting => "connecting",
            Self::Sending => "sending",
            Self::Waiting => "waiting",
            Self::Answering => "answering",
        }
    }
}

fn record_cancellation(phase: Phase) {
    metrics::counter!("upstream_cancellations_total", "phase" => phase.as_str()).increment(1);
}

/// How far the upload of a request has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Upload {
    Writing,
    Written,
    /// Given up, since the gate was revoked after the answer had begun.
    Stopped,
}

/// Makes the close of the connection discard what the endpoint has not received yet. Otherwise a
/// request that was canceled would still arrive, once the endpoint reads or its link recovers.
fn discard_unsent(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!(error:% = error; "connection was lost before its request was canceled");
    }
}

/// Reports an error to the caller of [`Client::send`](super::Client::send), unless it has gone.
fn send_error(responder: oneshot::Sender<Result<Response>>, error: Error) {
    if let Err(Err(error)) = responder.send(Err(error)) {
        log::debug!(error:% = error; "request failed after it was canceled");
    }
}

fn withheld() -> Error {
    Error::new(Kind::Withheld, "the endpoint takes no requests now")
}

fn interrupted() -> Error {
    metrics::counter!("upstream_interruptions_total").increment(1);
    Error::new(
        Kind::Interrupted,
        "the endpoint left before the end of the request",
    )
}

/// Writes a request. `begun` is set once a part of it has been passed to the kernel.
async fn write_request(
    writer: &mut WriteHalf<'_>,
    mut request: impl Buf,
    begun: &Cell<bool>,
) -> io::Result<()> {
    while request.has_remaining() {
        if writer.write_buf(&mut request).await? == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        begun.set(true);
    }
    Ok(())
}

struct Connection {
    stream: TcpStream,
    /// Decodes the head of the next response.
    codec: ClientCodec,
    config: ServiceConfig,
    buffer: BytesMut,
    /// Whether it has served a request before.
    reused: bool,
    /// The bytes in `buffer`, beyond those that each connection may hold.
    held: Reservation,
}

impl Connection {
    async fn run(mut self, address: SocketAddr, first: PendingRequest, idle: &IdleConnections) {
        let mut next = Some(first);
        while let Some(pending) = next.take() {
            if !self.serve(pending).await {
                return;
            }
            self.reused = true;
            let (sender, mut receiver) = oneshot::channel();
            add_idle(idle, address, sender);
            tokio::select! {
                biased;
                taken = &mut receiver => next = taken.ok(),
                // The endpoint closed the connection, or sent bytes that belong to no request.
                _ = self.stream.readable() => {}
                () = time::sleep(IDLE_TIMEOUT) => {}
            }
            if next.is_none() {
                receiver.close();
                // Nothing of a request that arrives during the close has been sent.
                if let Ok(pending) = receiver.try_recv() {
                    send_error(
                        pending.responder,
                        Error::new(Kind::NotSent, "the connection was closed"),
                    );
                }
            }
        }
    }

    /// Sends one request, if its gate permits it, and relays its response. Returns whether the connection can be reused.
    async fn serve(&mut self, mut pending: PendingRequest) -> bool {
        if let Err(error) = self.check_idle() {
            send_error(pending.responder, error);
            return false;
        }
        let gate = pending.gate.take();
        if gate.as_ref().is_some_and(|gate| !gate.may_send()) {
            send_error(pending.responder, withheld());
            return true;
        }
        let head_only = pending.head.method == Method::HEAD;
        let head = match self.encode_head(&mut pending) {
            Ok(head) => head,
            Err(error) => {
                send_error(pending.responder, error);
                return false;
            }
        };
        // The body is shared by all attempts, so it is not copied.
        let request = head.chain(pending.body);
        self.exchange(request, pending.responder, gate, head_only)
            .await
    }

    /// Writes a request and relays its response. Returns whether the connection can be reused.
    async fn exchange(
        &mut self,
        request: impl Buf,
        mut responder: oneshot::Sender<Result<Response>>,
        gate: Option<Rc<dyn Gate>>,
        head_only: bool,
    ) -> bool {
        let (mut reader, mut writer) = self.stream.split();
        let begun = Cell::new(false);
        let mut write = pin!(write_request(&mut writer, request, &begun));
        let mut upload = Upload::Writing;
        let mut interim_responses = 0;
        let mut revoked = match &gate {
            Some(gate) => gate.revoked(),
            None => std::future::pending().boxed_local(),
        };
        let head = loop {
            let read = tokio::select! {
                result = write.as_mut(), if upload == Upload::Writing => {
                    upload = Upload::Written;
                    result.map(|()| None)
                }
                () = &mut revoked, if upload == Upload::Writing => {
                    discard_unsent(reader.as_ref());
                    let error = if begun.get() { interrupted() } else { withheld() };
                    send_error(responder, error);
                    return false;
                }
                read = reader.read_buf(&mut self.buffer) => read.map(Some),
                () = responder.closed() => {
                    record_cancellation(match upload {
                        Upload::Writing => Phase::Sending,
                        _ => Phase::Waiting,
                    });
                    discard_unsent(reader.as_ref());
                    return false;
                }
            };
            let head = match read {
                Ok(None) => continue,
                Ok(Some(0)) => Err(Error::new(Kind::Lost, "closed before the answer")),
                Ok(Some(_)) => {
                    decode_final_head(&mut self.codec, &mut self.buffer, &mut interim_responses)
                        .and_then(|head| hold(&mut self.held, &self.buffer).map(|()| head))
                }
                Err(error) => Err(Error::new(Kind::Lost, error.to_string())),
            };
            if let Some(head) = head.transpose() {
                break head;
            }
        };
        let answer = head.and_then(|head| Ok((Framing::of(&head, head_only)?, head)));
        let (framing, head) = match answer {
            Ok(answer) => answer,
            Err(error) => {
                discard_unsent(reader.as_ref());
                send_error(responder, error);
                return false;
            }
        };
        let may_reuse = gate.is_none_or(|gate| gate.on_head(&head, self.reused))
            && framing.permits_reuse(&head)
            && self.codec.keep_alive();
        let codec = ClientCodec::new(self.config.clone());
        let codec = std::mem::replace(&mut self.codec, codec);
        let (sender, parts) = mpsc::channel(BODY_CHANNEL_CAPACITY);
        let response = Response {
            head,
            framing,
            body: Body::new(parts, self.held.sibling()),
            reused: self.reused,
        };
        if responder.send(Ok(response)).is_err() {
            record_cancellation(Phase::Waiting);
            discard_unsent(reader.as_ref());
            return false;
        }
        let outcome = relay(
            BodyDecoder::new(framing, codec),
            (&mut self.buffer, &mut self.held),
            &mut reader,
            (write, &mut revoked, &mut upload),
            &sender,
        )
        .await;
        let delivered = match outcome {
            Ok(true) => true,
            Ok(false) => {
                record_cancellation(Phase::Answering);
                false
            }
            Err(error) => {
                // The reader may have dropped the body at the same time.
                if sender.send(BodyPart::Failed(error)).await.is_err() {
                    log::debug!("body was truncated after its reader had dropped it");
                }
                false
            }
        };
        if upload != Upload::Written {
            // Nobody needs the rest of the request any more.
            discard_unsent(reader.as_ref());
        }
        delivered && may_reuse && upload == Upload::Written && self.buffer.is_empty()
    }

    /// Fails if the endpoint has closed an idle connection, or has sent bytes on it. Asks the kernel, since
    /// the runtime may not have polled the socket since they arrived.
    fn check_idle(&self) -> Result<()> {
        let mut byte = [MaybeUninit::uninit(); 1];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
            Ok(0) => Err(Error::new(Kind::NotSent, "the connection was closed")),
            Ok(_) => Err(Error::new(Kind::NotSent, "bytes beyond the last answer")),
            Err(error) => Err(Error::new(Kind::NotSent, error.to_string())),
        }
    }

    fn encode_head(&mut self, pending: &mut PendingRequest) -> Result<BytesMut> {
        let mut encoded = BytesMut::with_capacity(READ_BUFFER_SIZE);
        let head = RequestHeadType::Owned(std::mem::take(&mut pending.head));
        let size = match pending.body.len() {
            0 => BodySize::None,
            length => BodySize::Sized(length as u64),
        };
        self.codec
            .encode(Message::Item((head, size)), &mut encoded)
            .map_err(|error| Error::new(Kind::NotSent, error.to_string()))?;
        Ok(encoded)
    }
}

fn decode_head(codec: &mut ClientCodec, buffer: &mut BytesMut) -> Result<Option<ResponseHead>> {
    let head = codec
        .decode(buffer)
        .map_err(|error| Error::new(Kind::Malformed, error.to_string()))?;
    if head.is_none() && buffer.len() > RESPONSE_HEAD_MAX {
        return Err(Error::new(Kind::Malformed, "the head is too long"));
    }
    Ok(head)
}

/// Decodes the head of the final response, and skips the interim responses before it.
fn decode_final_head(
    codec: &mut ClientCodec,
    buffer: &mut BytesMut,
    interim_responses: &mut u32,
) -> Result<Option<ResponseHead>> {
    while let Some(head) = decode_head(codec, buffer)? {
        if !head.status.is_informational() {
            return Ok(Some(head));
        }
        *interim_responses += 1;
        let detail = if head.status == StatusCode::SWITCHING_PROTOCOLS {
            "switched the protocol without being asked to"
        } else if codec.message_type() != MessageType::None {
            "an interim response has a body"
        } else if *interim_responses > INTERIM_RESPONSES_MAX {
            "too many interim responses"
        } else {
            continue;
        };
        return Err(Error::new(Kind::Malformed, detail));
    }
    Ok(None)
}

/// Finds the end of a body in the received bytes.
enum BodyDecoder {
    /// This many bytes of the body are missing.
    Length(u64),
    Chunked(Box<ClientPayloadCodec>),
    UntilClose,
}

impl BodyDecoder {
    /// `codec` has decoded the head of the response.
    fn new(framing: Framing, codec: ClientCodec) -> Self {
        match framing {
            Framing::Empty => Self::Length(0),
            Framing::Length(length) => Self::Length(length.get()),
            Framing::Chunked => Self::Chunked(Box::new(codec.into_payload_codec())),
            Framing::UntilClose => Self::UntilClose,
        }
    }

    /// Takes the bytes of the body out of the buffer. Also returns whether the body has ended.
    fn decode(&mut self, buffer: &mut BytesMut) -> Result<(Bytes, bool)> {
        match self {
            Self::Length(missing) => {
                let received = usize::try_from(*missing).unwrap_or(usize::MAX);
                let chunk = buffer.split_to(received.min(buffer.len())).freeze();
                *missing -= chunk.len() as u64;
                Ok((chunk, *missing == 0))
            }
            Self::Chunked(codec) => decode_chunks(codec, buffer),
            Self::UntilClose => Ok((buffer.split().freeze(), false)),
        }
    }

    /// Whether the body is complete when the endpoint closes the connection regularly.
    const fn ends_with_connection(&self) -> bool {
        matches!(self, Self::UntilClose)
    }
}

/// Relays a body. Returns whether it was delivered completely; if not, its reader has dropped it.
async fn relay<W: Future<Output = io::Result<()>>>(
    mut decoder: BodyDecoder,
    (buffer, held): (&mut BytesMut, &mut Reservation),
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    (mut write, revoked, upload): (Pin<&mut W>, &mut LocalBoxFuture<'static, ()>, &mut Upload),
    sender: &mpsc::Sender<BodyPart>,
) -> Result<bool> {
    let mut framing = 0;
    loop {
        let received = buffer.len();
        let (chunk, ended) = decoder.decode(buffer)?;
        // Bytes that are decoded without a part of the body are framing.
        framing = if chunk.is_empty() {
            framing + received - buffer.len()
        } else {
            0
        };
        if !ended && framing + buffer.len() > CHUNK_FRAMING_MAX {
            return Err(Error::new(
                Kind::Malformed,
                "the framing of a chunk is too long",
            ));
        }
        hold(held, buffer)?;
        if !chunk.is_empty() && !pass_on(chunk, held, sender).await {
            return Ok(false);
        }
        if ended {
            return Ok(sender.send(BodyPart::End).await.is_ok());
        }
        let read = tokio::select! {
            result = write.as_mut(), if *upload == Upload::Writing => {
                *upload = Upload::Written;
                result.map(|()| None)
            }
            // The endpoint may complete its answer without the rest of the request.
            () = &mut *revoked, if *upload == Upload::Writing => {
                *upload = Upload::Stopped;
                Ok(None)
            }
            read = reader.read_buf(buffer) => read.map(Some),
            () = sender.closed() => return Ok(false),
        };
        match read {
            Ok(Some(0)) if decoder.ends_with_connection() => {
                return Ok(sender.send(BodyPart::End).await.is_ok());
            }
            Ok(Some(0)) => return Err(Error::new(Kind::Lost, "closed within the body")),
            Ok(_) => {}
            Err(error) => return Err(Error::new(Kind::Lost, error.to_string())),
        }
    }
}

/// Counts the bytes in a buffer, beyond those that each connection may hold.
fn hold(held: &mut Reservation, buffer: &BytesMut) -> Result<()> {
    let counted = buffer.len().saturating_sub(READ_BUFFER_SIZE);
    held.resize(counted).map_err(|error| exceeded(&error))
}

/// Passes a part of a body to its reader. If the reader is slow and no more bytes are held for the
/// endpoint, waits until it has taken the earlier parts. Returns whether there still is a reader.
async fn pass_on(chunk: Bytes, held: &Reservation, sender: &mpsc::Sender<BodyPart>) -> bool {
    let mut reservation = held.sibling();
    let others_wait = sender.capacity() < sender.max_capacity();
    if others_wait
        && reservation.resize(chunk.len()).is_err()
        && sender.reserve_many(sender.max_capacity()).await.is_err()
    {
        return false;
    }
    sender
        .send(BodyPart::Chunk(chunk, reservation))
        .await
        .is_ok()
}

/// Decodes all chunks in the buffer and joins them. Also returns whether the body has ended.
fn decode_chunks(codec: &mut ClientPayloadCodec, buffer: &mut BytesMut) -> Result<(Bytes, bool)> {
    let mut whole = BytesMut::new();
    let mut first = Bytes::new();
    loop {
        let chunk = codec
            .decode(buffer)
            .map_err(|error| Error::new(Kind::Malformed, error.to_string()))?;
        let ended = matches!(chunk, Some(None));
        match chunk.flatten() {
            Some(chunk) if first.is_empty() => first = chunk,
            Some(chunk) => {
                if whole.is_empty() {
                    whole.extend_from_slice(&first);
                }
                whole.extend_from_slice(&chunk);
            }
            None => {
                let chunk = if whole.is_empty() {
                    first
                } else {
                    whole.freeze()
                };
                return Ok((chunk, ended));
            }
        }
    }
}
