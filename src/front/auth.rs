use actix_web::http::header::{self, HeaderMap};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::Result;
use crate::{
    config::{CallerSpec, Document},
    error::{Error, Kind},
    id::Caller,
};

/// Returns the SHA-256 of a bearer key as 64 lowercase hexadecimal digits, as stored in the
/// configuration document.
#[must_use]
pub fn hash_key(key: &str) -> String {
    Sha256::digest(key)
        .iter()
        .fold(String::new(), |text, byte| format!("{text}{byte:02x}"))
}

/// Extracts the bearer key from the `Authorization` header.
///
/// # Errors
///
/// Fails with `Kind::Unauthenticated` if the header is missing or uses another scheme.
pub(super) fn bearer_key(headers: &HeaderMap) -> Result<&str> {
    headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split_once(' '))
        // Authentication schemes are case-insensitive (RFC 9110, section 11.1).
        .filter(|(scheme, _key)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_scheme, key)| key)
        .ok_or_else(|| Error::new(Kind::Unauthenticated, "send a bearer key"))
}

/// Compares two hexadecimal hashes in constant time.
pub(super) fn hashes_match(key_hash: &str, expected: &str) -> bool {
    key_hash
        .as_bytes()
        .ct_eq(expected.to_ascii_lowercase().as_bytes())
        .into()
}

/// Finds the caller that a bearer key belongs to.
///
/// Compares the hashes of all callers, so that the response time does not depend on which of them
/// matches.
///
/// # Errors
///
/// Fails with `Kind::Unauthenticated` if no caller has the key.
pub fn authenticate<'a>(document: &'a Document, key: &str) -> Result<(&'a Caller, &'a CallerSpec)> {
    let hash = hash_key(key);
    let mut found = None;
    for (caller, spec) in &document.callers {
        if hashes_match(&hash, &spec.key_sha256) {
            found = Some((caller, spec));
        }
    }
    found.ok_or_else(|| Error::new(Kind::Unauthenticated, "the bearer key is unknown"))
}
