use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Display,
    str::FromStr,
};

use jsonc_parser::{ast::Value, common::Ranged};

use super::{
    CallerSpec, Document, EndpointSpec, OperationSpec, Section, ServiceSpec,
    fault::{Faults, SourceSpan},
    reader::Reader,
    spec::{
        agent_address, check_models_and_service, class, endpoint_kind, engine_role, key_hash,
        limits, model, positive_duration, positive_integer, positive_rate, role_change_policy,
    },
};
use crate::{
    id::{Group, Revision},
    wire::Role,
};

/// Tolerance for rounding errors in the sum of the shares.
const SHARE_SUM_TOLERANCE: f64 = 1e-9;

/// Use of a name that another section must declare.
struct Reference {
    /// What the name stands for, such as "model"; a key of [`Checker::declared`].
    kind: &'static str,
    name: String,
    span: SourceSpan,
}

/// Reads the sections, and validates each of them and the references between them.
pub(super) struct Checker {
    pub(super) reader: Reader,
    document: Document,
    references: Vec<Reference>,
    /// Declared names by what they stand for.
    declared: BTreeMap<&'static str, BTreeSet<String>>,
    sections_read: BTreeSet<Section>,
}

impl Checker {
    pub(super) fn new(reader: Reader) -> Self {
        Self {
            reader,
            document: Document::default(),
            references: Vec::new(),
            declared: BTreeMap::new(),
            sections_read: BTreeSet::new(),
        }
    }

    /// Reads one section and records the names that it declares and refers to.
    pub(super) fn section(&mut self, section: Section, value: &Value<'_>) {
        self.sections_read.insert(section);
        match section {
            Section::Models => {
                self.declare_keys("model", value);
                self.document.models = self.reader.entries(value, model);
            }
            Section::Classes => self.classes(value),
            Section::Roles => {
                self.add_key_references("group", value);
                self.document.roles = self.reader.entries(value, role_change_policy);
            }
            Section::Callers => {
                self.document.callers = self.entries(value, Self::caller);
            }
            Section::Services => {
                self.declare_keys("service", value);
                self.document.services = self.entries(value, Self::service);
            }
            Section::Endpoints => {
                self.document.endpoints = self.entries(value, Self::endpoint);
            }
            Section::Limits => {
                if let Some(limits) = limits(&mut self.reader, value) {
                    self.document.limits = limits;
                }
            }
        }
    }

    /// Resolves the references and returns the document, or all faults.
    pub(super) fn finish(mut self, revision: Revision) -> Result<Document, Faults> {
        for reference in std::mem::take(&mut self.references) {
            self.resolve(&reference);
        }
        if !self.reader.faults.is_empty() {
            return Err(self.reader.faults);
        }
        self.document.revision = revision;
        Ok(self.document)
    }

    fn resolve(&mut self, reference: &Reference) {
        let section = match reference.kind {
            "model" => Section::Models,
            "class" => Section::Classes,
            "service" => Section::Services,
            _ => Section::Endpoints,
        };
        // If the section is missing, that is reported once instead of every reference to it.
        let known = self.declared.get(reference.kind);
        let found = known.is_some_and(|known| known.contains(&reference.name));
        if found || !self.sections_read.contains(&section) {
            return;
        }
        let known = known.into_iter().flatten().map(String::as_str);
        let help = self.reader.suggestion(&reference.name, known);
        let message = format!("there is no {} {:?}", reference.kind, reference.name);
        self.reader.faults.push(&reference.span, message, help);
    }

    fn declare_keys(&mut self, kind: &'static str, value: &Value<'_>) {
        if let Value::Object(object) = value {
            let names = object.properties.iter().map(|m| m.name.as_str().to_owned());
            self.declared.entry(kind).or_default().extend(names);
        }
    }

    fn add_reference(&mut self, kind: &'static str, name: &str, value: &impl Ranged) {
        self.references.push(Reference {
            kind,
            name: name.to_owned(),
            span: self.reader.span(value.range()),
        });
    }

    fn add_key_references(&mut self, kind: &'static str, value: &Value<'_>) {
        if let Value::Object(object) = value {
            for member in &object.properties {
                self.add_reference(kind, member.name.as_str(), &member.name);
            }
        }
    }

    /// Reads a name and records the reference.
    fn reference<T: FromStr<Err: Display>>(
        &mut self,
        kind: &'static str,
        value: &Value<'_>,
    ) -> Option<T> {
        let name = self.reader.text(value)?;
        if let Value::StringLit(text) = value {
            self.add_reference(kind, &text.value, value);
        }
        Some(name)
    }

    /// Reads an array of names and records the references.
    fn references<T: FromStr<Err: Display>>(
        &mut self,
        kind: &'static str,
        value: &Value<'_>,
    ) -> Option<Vec<T>> {
        let items = self.reader.list(value, Reader::text);
        if let Value::Array(array) = value {
            for item in &array.elements {
                if let Value::StringLit(text) = item {
                    self.add_reference(kind, &text.value, item);
                }
            }
        }
        items
    }

    fn entries<K: FromStr<Err: Display> + Ord, T>(
        &mut self,
        value: &Value<'_>,
        read: fn(&mut Self, &Value<'_>) -> Option<T>,
    ) -> BTreeMap<K, T> {
        let mut entries = BTreeMap::new();
        if let Some((fields, names)) = self.reader.members(value) {
            for (name, range) in names {
                let key = name.parse::<K>();
                if let Err(error) = &key {
                    self.reader.fault(range, error.to_string());
                }
                let spec = fields.get(name).and_then(|value| read(self, value));
                if let (Ok(key), Some(spec)) = (key, spec) {
                    entries.insert(key, spec);
                }
            }
        }
        entries
    }

    fn classes(&mut self, value: &Value<'_>) {
        self.declare_keys("class", value);
        self.document.classes = self.reader.entries(value, class);
        if matches!(value, Value::Object(object) if object.properties.is_empty()) {
            self.reader
                .fault(value.range(), "at least one class is required");
        }
        let classes = self.document.classes.values();
        let sum: f64 = classes.map(|class| class.share.get()).sum();
        if sum > 1.0 + SHARE_SUM_TOLERANCE {
            let message = format!(
                "the shares add up to {:.1}%, which is more than 100%",
                sum * 100.0
            );
            self.reader.fault(value.range(), message);
        }
    }

    fn caller(&mut self, value: &Value<'_>) -> Option<CallerSpec> {
        let known = ["key_sha256", "classes", "rate", "in_progress"];
        let fields = self.reader.object(value, &known)?;
        let key = self.reader.field(&fields, "key_sha256", key_hash);
        let classes = fields.get("classes");
        let names = classes.and_then(|value| self.references("class", value));
        let r = &mut self.reader;
        r.field(&fields, "classes", |_, _| Some(()));
        if let Some(Value::Array(array)) = classes
            && array.elements.is_empty()
        {
            r.fault(array.range, "a caller requires at least one class");
        }
        let rate = r.field(&fields, "rate", positive_rate);
        let in_progress = r.field(&fields, "in_progress", positive_integer);
        Some(CallerSpec {
            key_sha256: key?,
            classes: names?,
            rate: rate?,
            in_progress: in_progress?,
        })
    }

    fn service(&mut self, value: &Value<'_>) -> Option<ServiceSpec> {
        let fields = self.reader.object(value, &["operations"])?;
        self.reader.field(&fields, "operations", |_, _| Some(()));
        let operations = fields.get("operations")?;
        if matches!(operations, Value::Object(object) if object.properties.is_empty()) {
            self.reader.fault(
                operations.range(),
                "a service requires at least one operation",
            );
        }
        let operations = self.entries(operations, Self::operation);
        Some(ServiceSpec { operations })
    }

    fn operation(&mut self, value: &Value<'_>) -> Option<OperationSpec> {
        let known = ["repeatable", "class", "timeout"];
        let fields = self.reader.object(value, &known)?;
        let repeatable = self.reader.field(&fields, "repeatable", Reader::boolean);
        self.reader.field(&fields, "class", |_, _| Some(()));
        let class = fields.get("class").and_then(|v| self.reference("class", v));
        let timeout = self.reader.field(&fields, "timeout", positive_duration);
        Some(OperationSpec {
            repeatable: repeatable?,
            class: class?,
            timeout: timeout?,
        })
    }

    fn endpoint(&mut self, value: &Value<'_>) -> Option<EndpointSpec> {
        let known = [
            "kind", "group", "host", "zone", "agent", "fenced", "models", "role", "service",
            "slots",
        ];
        let fields = self.reader.object(value, &known)?;
        let models = fields.get("models").map(|v| self.references("model", v));
        let service = fields.get("service").map(|v| self.reference("service", v));
        let r = &mut self.reader;
        let kind = r.field(&fields, "kind", endpoint_kind);
        let group = r.field(&fields, "group", Reader::text::<Group>);
        let host = r.field(&fields, "host", Reader::text);
        let zone = r.field(&fields, "zone", Reader::text);
        let agent = r.field(&fields, "agent", agent_address);
        let fenced = r.field(&fields, "fenced", Reader::boolean);
        let role = r.optional(&fields, "role", Role::default(), engine_role);
        let slots = r.field(&fields, "slots", positive_integer);
        if let Some(kind) = &kind {
            check_models_and_service(r, &fields, kind);
        }
        if let Some(group) = &group {
            let groups = self.declared.entry("group").or_default();
            groups.insert(group.to_string());
        }
        Some(EndpointSpec {
            kind: kind?,
            group: group?,
            host: host?,
            zone: zone?,
            agent: agent?,
            fenced: fenced?,
            models: models.unwrap_or(Some(Vec::new()))?,
            role: role?,
            service: match service {
                Some(service) => Some(service?),
                None => None,
            },
            slots: slots?,
        })
    }
}
