use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    pin::{Pin, pin},
    time::Duration,
};

use actix_http::{
    Method, RequestHeadType, ResponseHead,
    body::BodySize,
    h1::{ClientCodec, Message, MessageType},
};
use bytes::{Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{mpsc, oneshot},
    task, time,
};
use tokio_util::codec::{Decoder, Encoder};

use super::{
    Result,
    imp::{Body, Error, Idle, Job, Kind, Part, Response, forget, offer},
};

/// Longest time to open a connection. A lost first packet is sent again after a second, when
/// another endpoint is the better choice.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed, below the idle timeout of usual endpoints.
const IDLE_LIMIT: Duration = Duration::from_secs(3);
/// Time without an acknowledgement after which sent bytes count as lost.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(2);
/// Silence after which the peer is probed, and pause between two probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection counts as lost.
const PROBES: u32 = 2;
/// Parts of a body that wait for a slow reader before the endpoint is slowed down.
const PARTS_MAX: usize = 8;
/// Bytes that are read at once.
const READ_SIZE: usize = 8 << 10;
/// Longest head of an answer.
const HEAD_MAX: usize = 64 << 10;

/// Starts a task that connects, serves `job`, and then what the pool hands it.
pub(super) fn spawn(address: SocketAddr, job: Job, idle: Idle) {
    task::spawn_local(async move {
        let Some((job, stream)) = connect(address, job).await else {
            return;
        };
        let connection = Connection {
            stream,
            codec: ClientCodec::default(),
            buffer: BytesMut::with_capacity(READ_SIZE),
        };
        connection.run(address, job, &idle).await;
        forget(&idle, address);
    });
}

async fn connect(address: SocketAddr, mut job: Job) -> Option<(Job, TcpStream)> {
    let opened = tokio::select! {
        opened = time::timeout(CONNECT_LIMIT, TcpStream::connect(address)) => opened,
        () = job.reply.closed() => return None,
    };
    let opened = opened.unwrap_or_else(|_elapsed| Err(ErrorKind::TimedOut.into()));
    metrics::counter!("upstream_connections_total").increment(1);
    match opened.and_then(|stream| prepare(&stream).map(|()| stream)) {
        Ok(stream) => Some((job, stream)),
        Err(error) => {
            let error = Error::new(Kind::NotSent, format!("cannot connect: {error}"));
            fail(job.reply, error);
            None
        }
    }
}

fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// The caller may have given up meanwhile, and then needs no error.
fn fail(reply: oneshot::Sender<Result<Response>>, error: Error) {
    if let Err(Err(error)) = reply.send(Err(error)) {
        log::debug!(error:% = error; "request failed after its caller had left");
    }
}

struct Connection {
    stream: TcpStream,
    codec: ClientCodec,
    buffer: BytesMut,
}

impl Connection {
    async fn run(mut self, address: SocketAddr, first: Job, idle: &Idle) {
        let mut next = Some(first);
        while let Some(job) = next.take() {
            if !self.serve(job).await {
                return;
            }
            let (sender, mut receiver) = oneshot::channel();
            offer(idle, address, sender);
            tokio::select! {
                biased;
                job = &mut receiver => next = job.ok(),
                // The endpoint closes, or sends bytes that belong to no request.
                _ = self.stream.readable() => {}
                () = time::sleep(IDLE_LIMIT) => {}
            }
            if next.is_none() {
                receiver.close();
                // A job that arrived in the last moment goes back with a certain answer.
                if let Ok(job) = receiver.try_recv() {
                    fail(
                        job.reply,
                        Error::new(Kind::NotSent, "the connection was closed"),
                    );
                }
            }
        }
    }

    /// Serves one request. Returns whether the connection can be used again.
    async fn serve(&mut self, mut job: Job) -> bool {
        if let Err(error) = self.check() {
            fail(job.reply, error);
            return false;
        }
        let head_only = job.head.method == Method::HEAD;
        let request = match self.encode(&mut job) {
            Ok(request) => request,
            Err(error) => {
                fail(job.reply, error);
                return false;
            }
        };
        let (mut reader, mut writer) = self.stream.split();
        let mut write = pin!(async move { writer.write_all(&request).await });
        let mut written = false;
        let mut reply = job.reply;
        let head = loop {
            let read = tokio::select! {
                result = write.as_mut(), if !written => {
                    written = true;
                    result.map(|()| None)
                }
                read = reader.read_buf(&mut self.buffer) => read.map(Some),
                () = reply.closed() => return false,
            };
            let head = match read {
                Ok(None) => continue,
                Ok(Some(0)) => Err(Error::new(Kind::Lost, "closed before the answer")),
                Ok(Some(_)) => decode_head(&mut self.codec, &mut self.buffer),
                Err(error) => Err(Error::new(Kind::Lost, error.to_string())),
            };
            match head {
                Ok(Some(head)) => break head,
                Ok(None) => {}
                Err(error) => {
                    fail(reply, error);
                    return false;
                }
            }
        };
        let unsized_body = is_unsized(&head, head_only);
        let (sender, parts) = mpsc::channel(PARTS_MAX);
        let body = Body::new(parts);
        if reply.send(Ok(Response { head, body })).is_err() {
            return false;
        }
        if unsized_body {
            relay_to_end(&mut self.buffer, &mut reader, &sender).await;
            return false;
        }
        if self.codec.message_type() == MessageType::None {
            let end = sender.send(Part::End).await;
            let reusable = end.is_ok() && written && self.codec.keep_alive();
            return reusable && self.buffer.is_empty();
        }
        let mut codec = std::mem::take(&mut self.codec).into_payload_codec();
        let outcome = relay(
            &mut codec,
            &mut self.buffer,
            &mut reader,
            (write, &mut written),
            &sender,
        )
        .await;
        let reusable = match outcome {
            Ok(complete) => complete && written && codec.keep_alive(),
            Err(error) => {
                // The reader may have left in the same moment.
                if sender.send(Part::Broken(error)).await.is_err() {
                    log::debug!("body was cut off after its reader had left");
                }
                false
            }
        };
        self.codec = codec.into_message_codec();
        reusable && self.buffer.is_empty()
    }

    /// Whether the endpoint has closed an idle connection, or has sent bytes on it.
    fn check(&self) -> Result<()> {
        let mut byte = [0; 1];
        match self.stream.try_read(&mut byte) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
            Ok(0) => Err(Error::new(Kind::NotSent, "the connection was closed")),
            Ok(_) => Err(Error::new(Kind::NotSent, "bytes beyond the last answer")),
            Err(error) => Err(Error::new(Kind::NotSent, error.to_string())),
        }
    }

    fn encode(&mut self, job: &mut Job) -> Result<BytesMut> {
        let mut request = BytesMut::with_capacity(READ_SIZE);
        let head = RequestHeadType::Owned(std::mem::take(&mut job.head));
        let size = match job.body.len() {
            0 => BodySize::None,
            length => BodySize::Sized(length as u64),
        };
        self.codec
            .encode(Message::Item((head, size)), &mut request)
            .map_err(|error| Error::new(Kind::NotSent, error.to_string()))?;
        request.extend_from_slice(&job.body);
        Ok(request)
    }
}

fn decode_head(codec: &mut ClientCodec, buffer: &mut BytesMut) -> Result<Option<ResponseHead>> {
    let head = codec
        .decode(buffer)
        .map_err(|error| Error::new(Kind::Malformed, error.to_string()))?;
    if head.is_none() && buffer.len() > HEAD_MAX {
        return Err(Error::new(Kind::Malformed, "the head is too long"));
    }
    Ok(head)
}

/// Whether the body has no length and so ends with the connection. The codec takes such an answer
/// for one without a body.
fn is_unsized(head: &ResponseHead, head_only: bool) -> bool {
    let headers = head.headers();
    let has_body = !head_only && !matches!(head.status.as_u16(), 100..=199 | 204 | 304);
    has_body
        && !headers.contains_key("content-length")
        && !headers.contains_key("transfer-encoding")
}

/// Passes on a body that ends with the connection. One that is reset is not complete.
async fn relay_to_end(
    buffer: &mut BytesMut,
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    sender: &mpsc::Sender<Part>,
) {
    loop {
        let chunk = buffer.split().freeze();
        if !chunk.is_empty() && sender.send(Part::Chunk(chunk)).await.is_err() {
            return;
        }
        let read = tokio::select! {
            read = reader.read_buf(buffer) => read,
            () = sender.closed() => return,
        };
        let part = match read {
            Ok(0) => Part::End,
            Ok(_) => continue,
            Err(error) => Part::Broken(Error::new(Kind::Lost, error.to_string())),
        };
        if sender.send(part).await.is_err() {
            log::debug!("body has ended after its reader had left");
        }
        return;
    }
}

/// Passes a body on. Returns whether it is complete; if not, its reader has left.
async fn relay<W: Future<Output = io::Result<()>>>(
    codec: &mut actix_http::h1::ClientPayloadCodec,
    buffer: &mut BytesMut,
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    (mut write, written): (Pin<&mut W>, &mut bool),
    sender: &mpsc::Sender<Part>,
) -> Result<bool> {
    loop {
        let (chunk, ended) = decode_chunks(codec, buffer)?;
        if !chunk.is_empty() && sender.send(Part::Chunk(chunk)).await.is_err() {
            return Ok(false);
        }
        if ended {
            return Ok(sender.send(Part::End).await.is_ok());
        }
        let read = tokio::select! {
            result = write.as_mut(), if !*written => {
                *written = true;
                result.map(|()| None)
            }
            read = reader.read_buf(buffer) => read.map(Some),
            () = sender.closed() => return Ok(false),
        };
        match read {
            Ok(Some(0)) => return Err(Error::new(Kind::Lost, "closed within the body")),
            Ok(_) => {}
            Err(error) => return Err(Error::new(Kind::Lost, error.to_string())),
        }
    }
}

/// Decodes what the buffer holds. Chunks that arrived together are passed on together.
fn decode_chunks(
    codec: &mut actix_http::h1::ClientPayloadCodec,
    buffer: &mut BytesMut,
) -> Result<(Bytes, bool)> {
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
