use std::{net::SocketAddr, time::Duration};

use jsonc_parser::{ast::Value, common::Ranged};

use super::{
    ClassSpec, EndpointKind, Limits, ModelSpec, RoleSpec,
    reader::{Fields, ParsedDuration, Reader},
};
use crate::{
    unit::{Bytes, Rate, Share, Tokens, Worth},
    wire::Role,
};

/// Upper bound of the request body limit: a body and its envelope must fit in a frame of 2 MiB.
const BODY_BYTES_MAX: u64 = 1 << 20;

/// Reads `"engine"` or `"service"`.
pub(crate) fn endpoint_kind(r: &mut Reader, value: &Value<'_>) -> Option<EndpointKind> {
    let service = r.choice(value, &[("engine", false), ("service", true)])?;
    Some(if service {
        EndpointKind::Service
    } else {
        EndpointKind::Engine
    })
}

/// Checks that an engine has models and no service, and a service endpoint the reverse.
pub(super) fn check_models_and_service(
    r: &mut Reader,
    fields: &Fields<'_, '_>,
    kind: &EndpointKind,
) {
    let models = fields.get("models");
    let has_models = matches!(models, Some(Value::Array(array)) if !array.elements.is_empty());
    let at = |value: Option<&Value<'_>>| value.map_or(fields.range, Ranged::range);
    let service = fields.get("service");
    match kind {
        EndpointKind::Engine => {
            if !has_models {
                r.fault(at(models), "an engine requires at least one model");
            }
            if service.is_some() {
                r.fault(at(service), "an engine must not have a service");
            }
        }
        EndpointKind::Service => {
            if has_models {
                r.fault(at(models), "a service endpoint must not have models");
            }
            if service.is_none() {
                r.fault(fields.range, "a service endpoint requires a service");
            }
        }
    }
}

/// Returns `value`, or reports a fault if `is_zero`.
fn require_positive<T>(
    r: &mut Reader,
    v: &Value<'_>,
    value: T,
    is_zero: bool,
    what: &str,
) -> Option<T> {
    if is_zero {
        r.fault(v.range(), format!("the {what} must be above 0"));
        return None;
    }
    Some(value)
}

pub(super) fn positive_integer(r: &mut Reader, value: &Value<'_>) -> Option<u32> {
    r.integer(value, 1, u32::MAX.into())
}

pub(super) fn positive_duration(r: &mut Reader, value: &Value<'_>) -> Option<Duration> {
    let ParsedDuration(period) = r.text(value)?;
    require_positive(r, value, period, period.is_zero(), "duration")
}

fn positive_tokens(r: &mut Reader, value: &Value<'_>) -> Option<Tokens> {
    let tokens: Tokens = r.text(value)?;
    require_positive(r, value, tokens, tokens == Tokens::ZERO, "number of tokens")
}

/// Reads a key hash, which must be unique among the callers.
pub(super) fn key_hash(r: &mut Reader, value: &Value<'_>) -> Option<String> {
    let hash = r.key_hash(value)?;
    r.check_unique("key hash", hash.clone(), value.range());
    Some(hash)
}

pub(super) fn model(r: &mut Reader, value: &Value<'_>) -> Option<ModelSpec> {
    let fields = r.object(value, &["version", "context", "adapters"])?;
    let version = r.field(&fields, "version", Reader::text);
    let context = r.field(&fields, "context", positive_tokens);
    let adapters = r.optional(&fields, "adapters", Vec::new(), |r, v| {
        r.list(v, Reader::text)
    });
    Some(ModelSpec {
        version: version?,
        context: context?,
        adapters: adapters?,
    })
}

pub(super) fn class(r: &mut Reader, value: &Value<'_>) -> Option<ClassSpec> {
    let known = [
        "rank",
        "first_token",
        "between_tokens",
        "whole",
        "worth",
        "share",
    ];
    let fields = r.object(value, &known)?;
    let rank = r.field(&fields, "rank", |r, v| {
        let rank: u8 = r.integer(v, 1, u8::MAX.into())?;
        r.check_unique("rank", rank.to_string(), v.range());
        Some(rank)
    });
    let first_token = r.field(&fields, "first_token", positive_duration);
    let between_tokens = r.field(&fields, "between_tokens", positive_duration);
    let whole = r.field(&fields, "whole", positive_duration);
    let worth = r.field(&fields, "worth", |r, v| r.integer(v, 0, u32::MAX.into()));
    let share = r.field(&fields, "share", Reader::text);
    if let (Some(first), Some(whole), Some(at)) = (first_token, whole, fields.get("first_token"))
        && first > whole
    {
        r.fault(at.range(), "first_token must not be longer than whole");
    }
    Some(ClassSpec {
        rank: rank?,
        first_token: first_token?,
        between_tokens: between_tokens?,
        whole: whole?,
        worth: Worth::new(worth?),
        share: share?,
    })
}

pub(super) fn role_change_policy(r: &mut Reader, value: &Value<'_>) -> Option<RoleSpec> {
    let fields = r.object(value, &["change_cost", "pay_back", "at_once"])?;
    let change_cost = r.field(&fields, "change_cost", Reader::text::<ParsedDuration>);
    let pay_back = r.field(&fields, "pay_back", Reader::text::<ParsedDuration>);
    let at_once = r.field(&fields, "at_once", |r, v| {
        let share: Share = r.text(v)?;
        require_positive(r, v, share, share.get() <= 0.0, "share")
    });
    Some(RoleSpec {
        change_cost: change_cost?.0,
        pay_back: pay_back?.0,
        at_once: at_once?,
    })
}

pub(super) fn limits(r: &mut Reader, value: &Value<'_>) -> Option<Limits> {
    let fields = r.object(value, &["body", "max_output", "longest"])?;
    let body = r.field(&fields, "body", |r, v| {
        let body: Bytes = r.text(v)?;
        if body.get() > BODY_BYTES_MAX {
            r.fault(v.range(), "the body must be at most 1MiB");
            return None;
        }
        require_positive(r, v, body, body == Bytes::ZERO, "size")
    });
    let max_output = r.field(&fields, "max_output", positive_tokens);
    let longest = r.field(&fields, "longest", positive_duration);
    Some(Limits {
        body: body?,
        max_output: max_output?,
        longest: longest?,
    })
}

pub(super) fn positive_rate(r: &mut Reader, value: &Value<'_>) -> Option<Rate> {
    let rate: Rate = r.text(value)?;
    require_positive(r, value, rate, rate.get() <= 0.0, "rate")
}

/// Reads the address of an agent, which must be unique among the endpoints.
pub(super) fn agent_address(r: &mut Reader, value: &Value<'_>) -> Option<SocketAddr> {
    let agent = r.address(value)?;
    r.check_unique("agent address", agent.to_string(), value.range());
    Some(agent)
}

pub(super) fn engine_role(r: &mut Reader, value: &Value<'_>) -> Option<Role> {
    let roles = [
        ("mixed", Role::Mixed),
        ("prefill", Role::Prefill),
        ("decode", Role::Decode),
    ];
    r.choice(value, &roles)
}
