use actix_http::{ResponseHead, Version};

use super::{
    Result,
    imp::{Error, Kind},
};
use crate::unit::Bytes;

const CONTENT_LENGTH: &str = "content-length";
const TRANSFER_ENCODING: &str = "transfer-encoding";

/// How the end of the body of a response is found (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body, whatever the headers say. A `Content-Length` is that of another response.
    Empty,
    /// The body has this length.
    Length(Bytes),
    /// The body is sent in chunks, of which the last is empty.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl Framing {
    /// Decides by the head of a response; `head_only` if the method of the request was `HEAD`.
    ///
    /// # Errors
    ///
    /// [`Kind::Malformed`] if the headers leave open where the body ends.
    pub(super) fn of(head: &ResponseHead, head_only: bool) -> Result<Self> {
        let headers = head.headers();
        if head_only || matches!(head.status.as_u16(), 100..=199 | 204 | 304) {
            return Ok(Self::Empty);
        }
        let length = headers.get(CONTENT_LENGTH).map(|value| {
            let text = value.to_str().unwrap_or_default();
            text.trim().parse().map(Bytes::new)
        });
        let length = length
            .transpose()
            .map_err(|_error| malformed("invalid content length"))?;
        let Some(coding) = headers.get(TRANSFER_ENCODING) else {
            return Ok(length.map_or(Self::UntilClose, Self::Length));
        };
        if head.version < Version::HTTP_11 {
            return Err(malformed("transfer coding before HTTP/1.1"));
        }
        let coding = coding.to_str().unwrap_or_default();
        if coding.trim().eq_ignore_ascii_case("chunked") {
            // Overrides a length.
            return Ok(Self::Chunked);
        }
        if length.is_some() {
            return Err(malformed("length of a body with another transfer coding"));
        }
        Ok(Self::UntilClose)
    }

    /// The length of the body, if it is known in advance.
    #[must_use]
    pub const fn length(self) -> Option<Bytes> {
        match self {
            Self::Empty => Some(Bytes::ZERO),
            Self::Length(length) => Some(length),
            Self::Chunked | Self::UntilClose => None,
        }
    }

    /// Whether the connection may serve another request. A sender that frames its body in two ways
    /// may have used the other one.
    pub(super) fn permits_reuse(self, head: &ResponseHead) -> bool {
        let headers = head.headers();
        match self {
            Self::Empty => !headers.contains_key(TRANSFER_ENCODING),
            Self::Length(_) => true,
            Self::Chunked => !headers.contains_key(CONTENT_LENGTH),
            Self::UntilClose => false,
        }
    }
}

fn malformed(detail: &str) -> Error {
    Error::new(Kind::Malformed, detail)
}
