use std::{fmt, str::FromStr};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use super::{Claimed, Lookup, Result};
use crate::{
    error::{Error, Kind},
    id::{Attempt, Endpoint, Incarnation},
    store::Path,
    wire::Recorded,
};

/// Largest response body that is stored, in bytes. A larger one is replaced by its digest and
/// length.
pub const STORED_BODY_MAX_BYTES: usize = 64 * 1024;
/// Media type of the JSON object that replaces a body too large to store.
const DIGEST_MEDIA_TYPE: &str = "application/vnd.mulberrymill.digest+json";

/// SHA-256 digest of a body, formatted as 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of a body.
    #[must_use]
    pub fn of(body: &[u8]) -> Self {
        Self(sha2::Sha256::digest(body).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::new(Kind::BadRequest, "invalid digest");
        let mut bytes = [0; 32];
        if text.len() != 64 || !text.is_ascii() {
            return Err(invalid());
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_error| invalid())?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

/// Response of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status of the response.
    pub status: u16,
    /// Media type of `body`.
    pub content_type: String,
    /// Body of the response; base64 text in the store.
    #[serde(with = "base64_text")]
    pub body: Vec<u8>,
}

impl Outcome {
    /// Replaces a body longer than `limit` bytes by its digest and length.
    pub(super) fn limit_body(self, limit: usize) -> Self {
        if self.body.len() <= limit {
            return self;
        }
        let (digest, length) = (Digest::of(&self.body), self.body.len());
        Self {
            status: self.status,
            content_type: DIGEST_MEDIA_TYPE.to_owned(),
            body: format!(r#"{{"sha256":"{digest}","length":{length}}}"#).into_bytes(),
        }
    }
}

impl From<Outcome> for Claimed {
    fn from(outcome: Outcome) -> Self {
        Self::Ended {
            status: outcome.status,
            content_type: outcome.content_type,
            body: outcome.body,
        }
    }
}

impl From<Outcome> for Recorded {
    fn from(outcome: Outcome) -> Self {
        Self::Ended {
            status: outcome.status,
            content_type: outcome.content_type,
            body: outcome.body,
        }
    }
}

/// Value of a claim key, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct StoredClaim {
    pub(super) endpoint: Endpoint,
    pub(super) incarnation: Incarnation,
    pub(super) attempt: Attempt,
    pub(super) digest: Digest,
    /// `None` until the operation has ended.
    pub(super) outcome: Option<Outcome>,
}

impl StoredClaim {
    pub(super) fn encode(&self) -> Result<Vec<u8>> {
        serde_json::to_vec(self).map_err(|error| {
            Error::new(Kind::Internal, "claim is not encodable").with_source(error)
        })
    }

    pub(super) fn decode(value: &[u8]) -> Result<Self> {
        serde_json::from_slice(value).map_err(|error| {
            Error::new(Kind::Unsettled, "the claim is not readable").with_source(error)
        })
    }
}

impl Lookup {
    /// Store key of the claim.
    pub(super) fn path(&self) -> Result<Path> {
        let Self {
            caller,
            service,
            operation,
            key,
        } = self;
        format!("/mulberrymill/ledger/{caller}/{service}/{operation}/{key}").parse()
    }
}

/// Store key that exists while an agent runs. Its value is the incarnation of the agent.
pub(super) fn presence_path(endpoint: &Endpoint) -> Result<Path> {
    format!("/mulberrymill/agent/{endpoint}").parse()
}

/// Serializes bytes as base64 text, a third of the size of a JSON array of numbers.
mod base64_text {
    use serde::{Deserialize, Deserializer, Serializer, de};

    use super::{Engine, STANDARD};

    pub(super) fn serialize<S: Serializer>(
        bytes: &[u8],
        out: S,
    ) -> std::result::Result<S::Ok, S::Error> {
        out.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        input: D,
    ) -> std::result::Result<Vec<u8>, D::Error> {
        let text = String::deserialize(input)?;
        STANDARD.decode(text).map_err(de::Error::custom)
    }
}
