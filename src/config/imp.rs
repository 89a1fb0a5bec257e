use std::{collections::BTreeMap, sync::Arc};

use jsonc_parser::{
    ast::Value,
    common::{Range, Ranged},
};

use super::{
    Document, Section,
    check::Checker,
    fault::{Faults, Source},
    reader::Reader,
};
use crate::id::Revision;

/// Result of parsing or validating a document.
pub type Result<T> = std::result::Result<T, Faults>;

/// Parses and validates a whole document. The faults give `name` as their file.
///
/// # Errors
///
/// Returns all faults of the text, or only the first syntax error.
pub fn parse(name: &str, text: &str) -> Result<Document> {
    let source = Source::new(name, text);
    let mut reader = Reader::new(Arc::clone(&source));
    let root = reader.parse(text);
    let mut checker = Checker::new(reader);
    if let Some(root) = &root {
        let known = Section::ALL.map(Section::as_str);
        if let Some(fields) = checker.reader.object(root, &known) {
            for section in Section::ALL {
                checker
                    .reader
                    .field(&fields, section.as_str(), |_, _| Some(()));
                if let Some(value) = fields.get(section.as_str()) {
                    checker.section(section, value);
                }
            }
        }
    }
    checker.finish(Revision::default())
}

/// Builds and validates a document from the texts of its sections. The faults give the name of the
/// section as their file, and positions in its text.
///
/// # Errors
///
/// Returns the faults of all sections; a missing section is a fault.
pub fn from_sections(revision: Revision, sections: &BTreeMap<Section, String>) -> Result<Document> {
    let mut checker = Checker::new(Reader::new(Source::new("document", "")));
    for section in Section::ALL {
        let Some(text) = sections.get(&section) else {
            checker.reader.source = Source::new(section.as_str(), "");
            let start = Range { start: 0, end: 0 };
            let message = format!("the section {section} is missing");
            checker.reader.fault(start, message);
            continue;
        };
        checker.reader.source = Source::new(section.as_str(), text);
        if let Some(value) = checker.reader.parse(text) {
            checker.section(section, &value);
        }
    }
    checker.finish(revision)
}

/// Splits a whole document into the texts of its sections without validating their contents.
/// Comments before a section are moved to its text, and comments after the last section are appended
/// to the text of the last section.
///
/// # Errors
///
/// Returns a syntax error, or a fault for each unknown, duplicate or missing section.
pub fn split_sections(text: &str) -> Result<BTreeMap<Section, String>> {
    let mut reader = Reader::new(Source::new("document", text));
    let mut sections = BTreeMap::new();
    let root = reader.parse(text);
    let known = Section::ALL.map(Section::as_str);
    if let Some(root) = &root
        && let Some(fields) = reader.object(root, &known)
        && let Value::Object(object) = root
    {
        for name in known {
            reader.field(&fields, name, |_, _| Some(()));
        }
        let mut end = 0;
        let mut last = None;
        for member in &object.properties {
            let value = member.value.range();
            let before = extract_comments(&text[end..member.range.start]);
            let between = extract_comments(&text[member.name.range().end..value.start]);
            end = value.end;
            if let Ok(section) = member.name.as_str().parse::<Section>() {
                let body = &text[value.start..value.end];
                sections.insert(section, dedent(&format!("{before}{between}{body}\n")));
                last = Some(section);
            }
        }
        if let Some(last_text) = last.and_then(|last| sections.get_mut(&last)) {
            last_text.push_str(&dedent(&extract_comments(&text[end..])));
        }
    }
    if reader.faults.is_empty() {
        Ok(sections)
    } else {
        Err(reader.faults)
    }
}

/// Extracts the comments of a text between values, each terminated by a line break. The text must
/// contain only comments, punctuation and white space.
fn extract_comments(mut text: &str) -> String {
    let mut comments = String::new();
    while let Some(at) = text.find('/') {
        text = &text[at..];
        let length = match text.strip_prefix("/*") {
            // `/*/` opens a comment without closing it: the asterisk counts only once.
            Some(rest) => rest.find("*/").map_or(text.len(), |end| end + 4),
            None => text.find(['\n', '\r']).unwrap_or(text.len()),
        };
        comments.push_str(&text[..length]);
        comments.push('\n');
        text = &text[length..];
    }
    comments
}

/// Removes one level of indentation, two spaces, from each line. `parse` rejects strings with line
/// breaks, so only white space between tokens and in block comments changes.
fn dedent(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for line in text.lines() {
        out.push_str(line.strip_prefix("  ").unwrap_or(line));
        out.push('\n');
    }
    out
}
