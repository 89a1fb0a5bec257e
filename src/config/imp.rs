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

/// Result of reading a document.
pub type Result<T> = std::result::Result<T, Faults>;

/// Parses and checks a whole document. `name` is the file name in the faults.
///
/// # Errors
///
/// Returns every fault of the text; after a syntax error only that one.
pub fn parse(name: &str, text: &str) -> Result<Document> {
    let source = Source::new(name, text);
    let mut reader = Reader::new(Arc::clone(&source));
    let root = reader.syntax(text);
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

/// Assembles and checks a document out of the texts of its sections. The faults name the section
/// as their file, with positions in its text.
///
/// # Errors
///
/// Returns every fault of every section; a missing section is a fault.
pub fn assemble(revision: Revision, sections: &BTreeMap<Section, String>) -> Result<Document> {
    let mut checker = Checker::new(Reader::new(Source::new("document", "")));
    for section in Section::ALL {
        let Some(text) = sections.get(&section) else {
            checker.reader.source = Source::new(section.as_str(), "");
            let nowhere = Range { start: 0, end: 0 };
            let message = format!("the section {section} is missing");
            checker.reader.fault(nowhere, message);
            continue;
        };
        checker.reader.source = Source::new(section.as_str(), text);
        if let Some(value) = checker.reader.syntax(text) {
            checker.section(section, &value);
        }
    }
    checker.finish(revision)
}

/// Splits a whole document into the texts of its sections and keeps the comments: those before a
/// section go with it, those after the last section stay with the last one. The contents of the
/// sections are not checked.
///
/// # Errors
///
/// Fails on a syntax error and on an unknown, duplicate or missing section.
pub fn split(text: &str) -> Result<BTreeMap<Section, String>> {
    let mut reader = Reader::new(Source::new("document", text));
    let mut sections = BTreeMap::new();
    let root = reader.syntax(text);
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
            let before = comments(&text[end..member.range.start]);
            let between = comments(&text[member.name.range().end..value.start]);
            end = value.end;
            if let Ok(section) = member.name.as_str().parse::<Section>() {
                let body = &text[value.start..value.end];
                sections.insert(section, dedent(&format!("{before}{between}{body}\n")));
                last = Some(section);
            }
        }
        if let Some(text_of_last) = last.and_then(|last| sections.get_mut(&last)) {
            text_of_last.push_str(&dedent(&comments(&text[end..])));
        }
    }
    if reader.faults.is_empty() {
        Ok(sections)
    } else {
        Err(reader.faults)
    }
}

/// The comments of a text that holds nothing else but punctuation, each on its own lines.
fn comments(mut text: &str) -> String {
    let mut kept = String::new();
    while let Some(at) = text.find('/') {
        text = &text[at..];
        let length = match text.strip_prefix("/*") {
            // The asterisk of the opening does not end `/*/`.
            Some(rest) => rest.find("*/").map_or(text.len(), |end| end + 4),
            None => text.find(['\n', '\r']).unwrap_or(text.len()),
        };
        kept.push_str(&text[..length]);
        kept.push('\n');
        text = &text[length..];
    }
    kept
}

/// Takes off the indentation of one level. Strings with line breaks are refused by `parse`, so only
/// layout and block comments change.
fn dedent(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for line in text.lines() {
        out.push_str(line.strip_prefix("  ").unwrap_or(line));
        out.push('\n');
    }
    out
}
