use std::{
    io::{self, ErrorKind},
    pin::Pin,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::clock::Shared;

/// Time from the departure of a caller to the end of its connection above which a line is logged.
const LATE_DEPARTURE_MIN: Duration = Duration::from_millis(250);

/// Connection of a caller. Once the caller has closed its side, writes fail: the HTTP server would
/// otherwise keep the request in progress until its output is flushed, which a caller that does not
/// read prevents. Also records how long the request was kept.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    clock: Shared,
    /// When the end of the caller's input was read.
    left_at: Option<Instant>,
}

impl Connection {
    pub(super) const fn new(stream: TcpStream, clock: Shared) -> Self {
        Self {
            stream,
            clock,
            left_at: None,
        }
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
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() == before && buf.remaining() > 0 {
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
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check_caller()?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
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
