//! Splits a JSON list into the texts of its elements, so that each can be decoded on its own.
//!
//! Elements are skipped without recursion, however deeply they are nested, and without a look at the
//! size of their numbers.

use serde::de::{DeserializeOwned, Error as _, IgnoredAny};
use serde_json::{Error, Result};

/// Returns the elements of the list in a field of an object.
///
/// # Errors
///
/// Fails if `text` is not an object, or has no such list.
pub(super) fn elements<'a>(text: &'a str, field: &str) -> Result<Vec<&'a str>> {
    let mut rest = expect(text, '{')?;
    loop {
        let (name, _, after) = value::<String>(rest)?;
        rest = expect(after, ':')?;
        if name == field {
            return split(expect(rest, '[')?);
        }
        let (_, _, after) = value::<IgnoredAny>(rest)?;
        rest = expect(after, ',')?;
    }
}

/// Splits the text after the opening bracket of a list.
fn split(text: &str) -> Result<Vec<&str>> {
    let mut elements = Vec::new();
    if expect(text, ']').is_ok() {
        return Ok(elements);
    }
    let mut rest = text;
    loop {
        let (_, element, after) = value::<IgnoredAny>(rest)?;
        elements.push(element);
        if expect(after, ']').is_ok() {
            return Ok(elements);
        }
        rest = expect(after, ',')?;
    }
}

/// Reads one value. Returns it with its text and the text after it.
fn value<T: DeserializeOwned>(text: &str) -> Result<(T, &str, &str)> {
    let mut values = serde_json::Deserializer::from_str(text).into_iter::<T>();
    let value = values.next().ok_or_else(malformed)??;
    let (element, after) = text.split_at(values.byte_offset());
    Ok((value, element, after))
}

/// The text after a delimiter and the white space before it.
fn expect(text: &str, delimiter: char) -> Result<&str> {
    let rest = text.trim_start().strip_prefix(delimiter);
    rest.ok_or_else(malformed)
}

fn malformed() -> Error {
    Error::custom("malformed list")
}
