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

use super::fault::{Faults, Source, Spot};
use crate::unit::{self, period};

/// Largest text in bytes: the platform store holds values of up to 1 MB.
pub(crate) const TEXT_MAX: usize = 1_000_000;
/// Longest name, in characters, for which a similar one is looked up.
const SIMILAR_MAX: usize = 64;

/// Most known names that are compared with an unknown one, which bounds the time of a report.
const CANDIDATES_MAX: usize = 2_000;

/// A duration as text.
pub(crate) struct Period(pub(crate) Duration);

impl FromStr for Period {
    type Err = unit::Error;

    fn from_str(text: &str) -> Result<Self, unit::Error> {
        period::parse(text).map(Self)
    }
}

/// A socket address as text.
struct Address(SocketAddr);

impl FromStr for Address {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed = text.parse().map(Self);
        parsed.map_err(|_error| "expected an IP address with a port such as \"127.0.0.1:7000\"")
    }
}

/// The members of an object whose names were checked.
pub(crate) struct Fields<'v, 't> {
    pub(crate) range: Range,
    members: BTreeMap<&'v str, &'v Value<'t>>,
}

impl<'v, 't> Fields<'v, 't> {
    pub(crate) fn get(&self, name: &str) -> Option<&'v Value<'t>> {
        self.members.get(name).copied()
    }
}

/// Reads values out of syntax trees and collects every fault.
pub(crate) struct Reader {
    pub(crate) faults: Faults,
    pub(crate) source: Arc<Source>,
    seen: BTreeMap<(&'static str, String), usize>,
}

impl Reader {
    pub(crate) fn new(source: Arc<Source>) -> Self {
        Self {
            faults: Faults::default(),
            source,
            seen: BTreeMap::new(),
        }
    }

    pub(crate) fn spot(&self, range: Range) -> Spot {
        Spot {
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
        let spot = self.spot(at);
        self.faults.push(&spot, message.into(), help);
    }

    /// Parses JSON with comments and trailing commas. Other extensions of the parser are refused.
    pub(crate) fn syntax<'t>(&mut self, text: &'t str) -> Option<Value<'t>> {
        let start = Range { start: 0, end: 0 };
        if text.len() > TEXT_MAX {
            let message = format!("the text has {} bytes, more than {TEXT_MAX}", text.len());
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

    /// Reads an object with a fixed set of member names.
    pub(crate) fn object<'v, 't>(
        &mut self,
        value: &'v Value<'t>,
        known: &[&str],
    ) -> Option<Fields<'v, 't>> {
        let fields = self.map(value)?;
        for (name, range) in &fields.1 {
            if !known.contains(name) {
                let help = self.similar(name, known.iter().copied());
                self.fault_with_help(*range, format!("unknown field {name:?}"), help);
            }
        }
        Some(fields.0)
    }

    /// Reads an object with free member names; gives their places as well.
    pub(crate) fn map<'v, 't>(
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

    /// Reads an object from names to specifications.
    pub(crate) fn entries<K: FromStr<Err: Display> + Ord, T>(
        &mut self,
        value: &Value<'_>,
        mut read: impl FnMut(&mut Self, &Value<'_>) -> Option<T>,
    ) -> BTreeMap<K, T> {
        let mut entries = BTreeMap::new();
        let Some((fields, names)) = self.map(value) else {
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

    /// Reads a member that must be present.
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

    /// Reads a member that may be absent.
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

    /// Reads a list.
    pub(crate) fn list<T>(
        &mut self,
        value: &Value<'_>,
        mut read: impl FnMut(&mut Self, &Value<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let Value::Array(array) = value else {
            self.wrong_type(value, "a list");
            return None;
        };
        let items: Vec<Option<T>> = array.elements.iter().map(|item| read(self, item)).collect();
        items.into_iter().collect()
    }

    /// Reads a text in the form that the type prescribes.
    pub(crate) fn text<T: FromStr<Err: Display>>(&mut self, value: &Value<'_>) -> Option<T> {
        let Value::StringLit(text) = value else {
            // The error for an empty text says what the type expects.
            let expected = "".parse::<T>().err();
            let expected = expected.map_or_else(|| "expected text".to_owned(), |e| e.to_string());
            self.fault(
                value.range(),
                format!("{expected}, found {}", type_of(value)),
            );
            return None;
        };
        // The parser accepts raw line breaks in strings, which JSON forbids.
        if text.value.contains(char::is_control) {
            self.fault(value.range(), "the text has a control character");
            return None;
        }
        match text.value.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                let found: String = text.value.chars().take(SIMILAR_MAX).collect();
                self.fault(value.range(), format!("{error}, found {found:?}"));
                None
            }
        }
    }

    /// Reads a SHA-256 hash as 64 hexadecimal digits, and returns it in lower case so that the case
    /// of the digits neither hides a duplicate nor defeats the comparison.
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
        self.text(value).map(|Address(address)| address)
    }

    /// Reads a whole number between bounds.
    pub(crate) fn whole<T: TryFrom<u64>>(
        &mut self,
        value: &Value<'_>,
        least: u64,
        most: u64,
    ) -> Option<T> {
        let number = match value {
            Value::NumberLit(number) => number.value.parse::<u64>().ok(),
            _ => None,
        };
        let number = number.filter(|number| (least..=most).contains(number));
        let number = number.and_then(|number| T::try_from(number).ok());
        if number.is_none() {
            let message = format!("expected a whole number from {least} to {most}");
            self.fault(value.range(), message);
        }
        number
    }

    /// Reads `true` or `false`.
    pub(crate) fn boolean(&mut self, value: &Value<'_>) -> Option<bool> {
        if let Value::BooleanLit(literal) = value {
            return Some(literal.value);
        }
        self.wrong_type(value, "true or false");
        None
    }

    /// Reads one of several words.
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
            let help = self.similar(text, words.clone());
            let words: Vec<&str> = words.collect();
            let message = format!("expected one of {}", words.join(", "));
            self.fault_with_help(value.range(), message, help);
        }
        found.map(|(_, choice)| *choice)
    }

    /// Reports a second use of something that must be unique.
    pub(crate) fn unique(&mut self, what: &'static str, key: String, at: Range) {
        let line = self.source.line(at.start);
        match self.seen.entry((what, key)) {
            Entry::Vacant(entry) => {
                entry.insert(line);
            }
            Entry::Occupied(entry) => {
                let message = format!("the {what} is already used in line {}", entry.get());
                self.fault(at, message);
            }
        }
    }

    /// Advice with the known name that is most similar to an unknown one.
    pub(crate) fn similar<'n>(
        &self,
        name: &str,
        known: impl Iterator<Item = &'n str>,
    ) -> Option<String> {
        if self.faults.is_full() || name.len() > SIMILAR_MAX {
            return None;
        }
        let most = name.len() / 3 + 1;
        known
            .take(CANDIDATES_MAX)
            .filter(|other| other.len().abs_diff(name.len()) <= most)
            .map(|other| (distance(name, other), other))
            .filter(|(distance, other)| *distance <= most && *distance < other.len())
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
        Value::StringLit(_) => "text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

/// Levenshtein distance.
fn distance(left: &str, right: &str) -> usize {
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.bytes().enumerate() {
            let replaced = diagonal + usize::from(a != b);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[right.len()]
}
