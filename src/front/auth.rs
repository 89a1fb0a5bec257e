use actix_web::http::header::{self, HeaderMap};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::Result;
use crate::{
    config::{CallerSpec, Document},
    error::{Error, Kind},
    id::Caller,
};

/// SHA-256 of a bearer key as 64 hexadecimal digits, the form that the document stores.
#[must_use]
pub fn hash_key(key: &str) -> String {
    Sha256::digest(key)
        .iter()
        .fold(String::new(), |text, byte| format!("{text}{byte:02x}"))
}

/// The bearer key of a request.
///
/// # Errors
///
/// Fails with `Kind::Unauthenticated` if there is none.
pub(super) fn bearer(headers: &HeaderMap) -> Result<&str> {
    headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split_once(' '))
        // Names of schemes are not case-sensitive (RFC 9110, section 11.1).
        .filter(|(scheme, _key)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_scheme, key)| key)
        .ok_or_else(|| Error::new(Kind::Unauthenticated, "send a bearer key"))
}

/// Whether a key has a hash, in a time that does not depend on where they differ.
pub(super) fn matches(key_hash: &str, expected: &str) -> bool {
    key_hash
        .as_bytes()
        .ct_eq(expected.to_ascii_lowercase().as_bytes())
        .into()
}

/// Finds the caller to whom a key belongs.
///
/// All hashes are compared, so that the time does not tell which caller was close.
///
/// # Errors
///
/// Fails with `Kind::Unauthenticated` on an unknown key.
pub fn authenticate<'a>(document: &'a Document, key: &str) -> Result<(&'a Caller, &'a CallerSpec)> {
    let hash = hash_key(key);
    let mut found = None;
    for (caller, spec) in &document.callers {
        if matches(&hash, &spec.key_sha256) {
            found = Some((caller, spec));
        }
    }
    found.ok_or_else(|| Error::new(Kind::Unauthenticated, "the bearer key is unknown"))
}
