use std::{
    io::{self, ErrorKind},
    mem::MaybeUninit,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::mpsc,
};

use super::{
    idle::{Eviction, Phase},
    monitor::{Activity, Monitor},
    unread::Unread,
};
use crate::clock::Shared;

/// Time from the departure of a caller to the end of its connection above which a line is logged.
const LATE_DEPARTURE_MIN: Duration = Duration::from_millis(250);

/// Connection of a caller. Once the caller has closed its side, writes fail: the HTTP server would
/// otherwise keep the request in progress until its output is flushed, which a caller that does not
/// read prevents. Also records how long the request was kept. An idle connection ends on order.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    clock: Shared,
    /// When the end of the caller's input was read.
    left_at: Option<Instant>,
    activity: Activity,
    evictions: mpsc::Receiver<Eviction>,
    unread: Unread,
    /// Whether it ends by an order to close it.
    evicted: bool,
}

impl Connection {
    pub(super) fn new(
        stream: TcpStream,
        clock: Shared,
        monitor: &Monitor,
        sender: SocketAddr,
    ) -> Self {
        let (activity, evictions) = monitor.add(sender);
        Self {
            stream,
            clock,
            left_at: None,
            activity,
            evictions,
            unread: Unread::new(monitor.reserve(sender)),
            evicted: false,
        }
    }

    /// What the connection is used for; its requests report to it.
    pub(super) fn activity(&self) -> Activity {
        self.activity.clone()
    }

    fn check_caller(&self) -> io::Result<()> {
        match self.left_at {
            Some(_) => Err(io::Error::new(
                ErrorKind::ConnectionAborted,
                "the caller has left",
            )),
            None => Ok(()),
        }
    }

    /// Handles an order to close the connection. An order to close an idle one doesn't count if a request
    /// has arrived since, which the runtime may not have polled yet.
    fn poll_evicted(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while let Some(eviction) = ready!(self.evictions.poll_recv(cx)) {
            let may_close = eviction.phase != Phase::Idle || !self.has_unread();
            if may_close && self.activity.is_unchanged(&eviction) {
                let reason = eviction.reason.as_str();
                metrics::counter!("caller_connections_closed_total", "reason" => reason)
                    .increment(1);
                log::debug!(connection:% = eviction.id, reason; "connection without a complete request is closed");
                self.evicted = true;
                return Poll::Ready(());
            }
        }
        Poll::Pending
    }

    /// Waits for a caller that does not read, and discards its answer once that is given up.
    fn poll_unread(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let error = ready!(self.unread.poll(cx));
        metrics::counter!("caller_connections_closed_total", "reason" => "unread").increment(1);
        let caller = self.stream.peer_addr().ok();
        log::info!(caller:? = caller.map(|address| address.to_string()), error:% = error;
            "unread answer is given up");
        self.activity.discard();
        Poll::Ready(error)
    }

    /// Makes the close of the connection discard what the caller has not received.
    fn discard_unsent(&self) {
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            log::debug!(error:% = error; "connection was lost before it was reset");
        }
    }

    fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit(); 1];
        SockRef::from(&self.stream).peek(&mut byte).is_ok()
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.evicted {
            return Poll::Ready(Ok(()));
        }
        if !self.activity.may_read(cx) {
            return self.poll_evicted(cx).map(Ok);
        }
        let before = buf.filled().len();
        if Pin::new(&mut self.stream).poll_read(cx, buf)?.is_pending() {
            return self.poll_evicted(cx).map(Ok);
        }
        if buf.filled().len() > before {
            self.activity.on_read(buf.filled().len() - before);
        } else if buf.remaining() > 0 {
            let now = self.clock.now();
            self.left_at.get_or_insert(now);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_caller()?;
        if self.evicted {
            let detail = "the caller does not read its answer";
            return Poll::Ready(Err(io::Error::new(ErrorKind::TimedOut, detail)));
        }
        let Poll::Ready(written) = Pin::new(&mut self.stream).poll_write(cx, buf) else {
            return self.poll_unread(cx).map(Err);
        };
        self.unread.progress();
        self.activity.on_write();
        Poll::Ready(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check_caller()?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.activity.is_discarded() {
            // A regular end would make an answer without a length look complete.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.activity.is_discarded() {
            self.discard_unsent();
        }
        self.activity.end();
        let Some(left_at) = self.left_at else {
            return;
        };
        let late = self.clock.now().saturating_duration_since(left_at);
        metrics::histogram!("caller_departure_seconds").record(late.as_secs_f64());
        if late >= LATE_DEPARTURE_MIN {
            let caller = self.stream.peer_addr().ok();
            log::warn!(caller:? = caller.map(|address| address.to_string()),
                late_ms = late.as_millis();
                "connection was kept open after its caller had left");
        }
    }
}
