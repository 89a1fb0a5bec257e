use std::{
    collections::{BTreeMap, btree_map::Entry},
    fmt::Display,
    net::SocketAddr,
    str::FromStr,
    sync::Arc,
    time::Duration,
};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::Value,
    common::{Range, Ranged},
    errors::ParseErrorKind,
    parse_to_ast,
};

use super::fault::{Faults, Source, SourceSpan};
use crate::unit::{self, period};

/// Maximum length of a text. The platform store holds values of up to 1 MB.
pub(crate) const TEXT_BYTES_MAX: usize = 1_000_000;
/// Maximum length of an unknown name for which a similar one is suggested.
const SUGGESTION_BYTES_MAX: usize = 64;

/// Number of characters of an invalid value that a fault quotes.
const QUOTED_CHARS_MAX: usize = 64;

/// Maximum number of known names that are compared with an unknown one. It bounds the time for
/// reporting one fault.
const SUGGESTION_CANDIDATES_MAX: usize = 2_000;

/// A duration parsed from a string such as `"250ms"`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ParsedDuration(pub(crate) Duration);

impl FromStr for ParsedDuration {
    type Err = unit::Error;

    fn from_str(text: &str) -> Result<Self, unit::Error> {
        period::parse(text).map(Self)
    }
}

/// A socket address parsed from a string, with an error that shows the expected format.
struct ParsedAddress(SocketAddr);

impl FromStr for ParsedAddress {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed = text.parse().map(Self);
        parsed.map_err(|_error| "expected an IP address with a port such as \"127.0.0.1:7000\"")
    }
}

/// The members of a JSON object by name, without duplicates.
pub(crate) struct Fields<'v, 't> {
    pub(crate) range: Range,
    members: BTreeMap<&'v str, &'v Value<'t>>,
}

impl<'v, 't> Fields<'v, 't> {
    pub(crate) fn get(&self, name: &str) -> Option<&'v Value<'t>> {
        self.members.get(name).copied()
    }
}

/// Converts syntax trees to typed values and collects all faults instead of stopping at the first.
///
/// The conversions return `None` after they have recorded a fault.
pub(crate) struct Reader {
    pub(crate) faults: Faults,
    pub(crate) source: Arc<Source>,
    /// Line of the first use of each unique value, by the kind of value and the value.
    first_uses: BTreeMap<(&'static str, String), usize>,
}

impl Reader {
    pub(crate) fn new(source: Arc<Source>) -> Self {
        Self {
            faults: Faults::default(),
            source,
            first_uses: BTreeMap::new(),
        }
    }

    pub(crate) fn span(&self, range: Range) -> SourceSpan {
        SourceSpan {
            source: Arc::clone(&self.source),
            range,
        }
    }

    pub(crate) fn fault(&mut self, at: Range, message: impl Into<String>) {
        self.fault_with_help(at, message, None);
    }

    pub(crate) fn fault_with_help(
        &mut self,
        at: Range,
        message: impl Into<String>,
        help: Option<String>,
    ) {
        let span = self.span(at);
        self.faults.push(&span, message.into(), help);
    }

    /// Parses JSON with comments and trailing commas; all other extensions of the parser are
    /// disabled.
    pub(crate) fn parse<'t>(&mut self, text: &'t str) -> Option<Value<'t>> {
        let start = Range { start: 0, end: 0 };
        if text.len() > TEXT_BYTES_MAX {
            let message = format!(
                "the text has {} bytes; the limit is {TEXT_BYTES_MAX}",
                text.len()
            );
            self.fault(start, message);
            return None;
        }
        let options = ParseOptions {
            allow_comments: true,
            allow_trailing_commas: true,
            allow_loose_object_property_names: false,
            allow_missing_commas: false,
            allow_single_quoted_strings: false,
            allow_hexadecimal_numbers: false,
            allow_unary_plus_numbers: false,
            allow_bare_decimal_point_numbers: false,
            allow_non_finite_numbers: false,
            allow_extended_string_escapes: false,
        };
        match parse_to_ast(text, &CollectOptions::default(), &options) {
            Ok(parsed) => {
                if parsed.value.is_none() {
                    self.fault(start, "the text is empty");
                }
                parsed.value
            }
            Err(error) => {
                let message = match error.kind() {
                    ParseErrorKind::NestingDepthExceeded => "the nesting is too deep".to_owned(),
                    kind => format!("syntax error: {kind}"),
                };
                self.fault(error.range(), message);
                None
            }
        }
    }

    /// Reads an object and reports members whose names are not in `known`.
    pub(crate) fn object<'v, 't>(
        &mut self,
        value: &'v Value<'t>,
        known: &[&str],
    ) -> Option<Fields<'v, 't>> {
        let fields = self.members(value)?;
        for (name, range) in &fields.1 {
            if !known.contains(name) {
                let help = self.suggestion(name, known.iter().copied());
                self.fault_with_help(*range, format!("unknown field {name:?}"), help);
            }
        }
        Some(fields.0)
    }

    /// Reads an object with arbitrary member names. Also returns the names in source order with their
    /// positions.
    pub(crate) fn members<'v, 't>(
        &mut self,
        value: &'v Value<'t>,
    ) -> Option<(Fields<'v, 't>, Vec<(&'v str, Range)>)> {
        let Value::Object(object) = value else {
            self.wrong_type(value, "an object");
            return None;
        };
        let mut members = BTreeMap::new();
        let mut names = Vec::new();
        for member in &object.properties {
            let (name, range) = (member.name.as_str(), member.name.range());
            if members.contains_key(name) {
                self.fault(range, format!("duplicate key {name:?}"));
            } else {
                members.insert(name, &member.value);
                names.push((name, range));
            }
        }
        let range = object.range;
        Some((Fields { range, members }, names))
    }

    /// Reads an object as a map; `read` converts the value of each member.
    pub(crate) fn entries<K: FromStr<Err: Display> + Ord, T>(
        &mut self,
        value: &Value<'_>,
        mut read: impl FnMut(&mut Self, &Value<'_>) -> Option<T>,
    ) -> BTreeMap<K, T> {
        let mut entries = BTreeMap::new();
        let Some((fields, names)) = self.members(value) else {
            return entries;
        };
        for (name, range) in names {
            let key = name.parse::<K>();
            if let Err(error) = &key {
                self.fault(range, error.to_string());
            }
            let spec = fields.get(name).and_then(|value| read(self, value));
            if let (Ok(key), Some(spec)) = (key, spec) {
                entries.insert(key, spec);
            }
        }
        entries
    }

    /// Reads a required member.
    pub(crate) fn field<T>(
        &mut self,
        fields: &Fields<'_, '_>,
        name: &str,
        read: impl FnOnce(&mut Self, &Value<'_>) -> Option<T>,
    ) -> Option<T> {
        if let Some(value) = fields.get(name) {
            read(self, value)
        } else {
            self.fault(fields.range, format!("missing field {name:?}"));
            None
        }
    }

    /// Reads an optional member; returns `default` if it is absent.
    pub(crate) fn optional<T>(
        &mut self,
        fields: &Fields<'_, '_>,
        name: &str,
        default: T,
        read: impl FnOnce(&mut Self, &Value<'_>) -> Option<T>,
    ) -> Option<T> {
        fields
            .get(name)
            .map_or(Some(default), |value| read(self, value))
    }

    /// Reads an array; all elements are read even if one of them has a fault.
    pub(crate) fn list<T>(
        &mut self,
        value: &Value<'_>,
        mut read: impl FnMut(&mut Self, &Value<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let Value::Array(array) = value else {
            self.wrong_type(value, "an array");
            return None;
        };
        let items: Vec<Option<T>> = array.elements.iter().map(|item| read(self, item)).collect();
        items.into_iter().collect()
    }

    /// Parses a string with the `FromStr` implementation of the type.
    pub(crate) fn text<T: FromStr<Err: Display>>(&mut self, value: &Value<'_>) -> Option<T> {
        let Value::StringLit(text) = value else {
            // The error for an empty string names the format that the type expects.
            let expected = "".parse::<T>().err();
            let expected =
                expected.map_or_else(|| "expected a string".to_owned(), |e| e.to_string());
            self.fault(
                value.range(),
                format!("{expected}, found {}", type_of(value)),
            );
            return None;
        };
        // The parser accepts unescaped line breaks in strings, which JSON forbids.
        if text.value.contains(char::is_control) {
            self.fault(value.range(), "the string contains a control character");
            return None;
        }
        match text.value.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                let found: String = text.value.chars().take(QUOTED_CHARS_MAX).collect();
                self.fault(value.range(), format!("{error}, found {found:?}"));
                None
            }
        }
    }

    /// Reads a SHA-256 hash of 64 hexadecimal digits. The digits are converted to lower case, so that
    /// hashes that differ only in case compare as equal.
    pub(crate) fn key_hash(&mut self, value: &Value<'_>) -> Option<String> {
        let hash: String = self.text(value)?;
        if hash.len() != 64 || !hash.bytes().all(|b| b.is_ascii_hexdigit()) {
            self.fault(value.range(), "expected 64 hexadecimal digits");
            return None;
        }
        Some(hash.to_ascii_lowercase())
    }

    /// Reads an IP address with a port.
    pub(crate) fn address(&mut self, value: &Value<'_>) -> Option<SocketAddr> {
        self.text(value).map(|ParsedAddress(address)| address)
    }

    /// Reads an integer from `min` to `max`.
    pub(crate) fn integer<T: TryFrom<u64>>(
        &mut self,
        value: &Value<'_>,
        min: u64,
        max: u64,
    ) -> Option<T> {
        let number = match value {
            Value::NumberLit(number) => number.value.parse::<u64>().ok(),
            _ => None,
        };
        let number = number.filter(|number| (min..=max).contains(number));
        let number = number.and_then(|number| T::try_from(number).ok());
        if number.is_none() {
            let message = format!("expected an integer from {min} to {max}");
            self.fault(value.range(), message);
        }
        number
    }

    pub(crate) fn boolean(&mut self, value: &Value<'_>) -> Option<bool> {
        if let Value::BooleanLit(literal) = value {
            return Some(literal.value);
        }
        self.wrong_type(value, "a boolean");
        None
    }

    /// Reads a string that must be one of the words in `choices`, and returns the value of that word.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        value: &Value<'_>,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let words = choices.iter().map(|(word, _)| *word);
        let text = match value {
            Value::StringLit(text) => text.value.as_ref(),
            _ => "",
        };
        let found = choices.iter().find(|(word, _)| *word == text);
        if found.is_none() {
            let help = self.suggestion(text, words.clone());
            let words: Vec<&str> = words.collect();
            let message = format!("expected one of {}", words.join(", "));
            self.fault_with_help(value.range(), message, help);
        }
        found.map(|(_, choice)| *choice)
    }

    /// Reports a fault if `value` was already used for the same kind of value.
    pub(crate) fn check_unique(&mut self, kind: &'static str, value: String, at: Range) {
        let line = self.source.line(at.start);
        match self.first_uses.entry((kind, value)) {
            Entry::Vacant(entry) => {
                entry.insert(line);
            }
            Entry::Occupied(entry) => {
                let message = format!("the {kind} is already used in line {}", entry.get());
                self.fault(at, message);
            }
        }
    }

    /// Suggests the known name with the smallest edit distance to an unknown one, if any is similar.
    pub(crate) fn suggestion<'n>(
        &self,
        name: &str,
        known: impl Iterator<Item = &'n str>,
    ) -> Option<String> {
        if self.faults.is_full() || name.len() > SUGGESTION_BYTES_MAX {
            return None;
        }
        let distance_max = name.len() / 3 + 1;
        known
            .take(SUGGESTION_CANDIDATES_MAX)
            .filter(|other| other.len().abs_diff(name.len()) <= distance_max)
            .map(|other| (edit_distance(name, other), other))
            .filter(|(distance, other)| *distance <= distance_max && *distance < other.len())
            .min()
            .map(|(_, other)| format!("did you mean {other:?}?"))
    }

    fn wrong_type(&mut self, value: &Value<'_>, expected: &str) {
        let message = format!("expected {expected}, found {}", type_of(value));
        self.fault(value.range(), message);
    }
}

fn type_of(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a string",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "a boolean",
        Value::Object(_) => "an object",
        Value::Array(_) => "an array",
        Value::NullKeyword(_) => "null",
    }
}

/// Levenshtein distance in bytes.
fn edit_distance(left: &str, right: &str) -> usize {
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.bytes().enumerate() {
            let substitution = diagonal + usize::from(a != b);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[right.len()]
}
