//! The body of a request, seen by its connection: what was received beyond it is bounded.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::{BoxedPayloadStream, HttpMessage as _, Payload, Request, error::PayloadError};
use bytes::Bytes;
use futures_util::Stream;

use super::monitor::Activity;

/// Bytes of a line of the head beside its name and value, or its method and target.
const LINE_OVERHEAD: usize = 4;

/// About the number of bytes of the head of a request.
pub(super) fn head_size(request: &Request) -> usize {
    let line = request.method().as_str().len() + request.uri().to_string().len() + LINE_OVERHEAD;
    let fields = request.headers().iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD);
    line + fields.sum::<usize>()
}

/// Reports to the connection when the body of the request is waited for, and what of it is taken.
pub(super) fn watch(mut request: Request, activity: Activity) -> Request {
    let payload = request.take_payload();
    if matches!(payload, Payload::None) {
        return request;
    }
    activity.begin_upload();
    let watched: BoxedPayloadStream = Box::pin(Watched { payload, activity });
    request
        .replace_payload(Payload::Stream { payload: watched })
        .0
}

struct Watched {
    payload: Payload,
    activity: Activity,
}

impl Stream for Watched {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let part = Pin::new(&mut self.payload).poll_next(cx);
        self.activity.await_payload(part.is_pending());
        match &part {
            Poll::Ready(Some(Ok(part))) => self.activity.on_payload(part.len()),
            Poll::Ready(_) => self.activity.end_upload(),
            Poll::Pending => {}
        }
        part
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.activity.await_payload(false);
        self.activity.end_upload();
    }
}
