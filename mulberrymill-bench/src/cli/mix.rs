use std::{str::FromStr, time::Duration};

use mulberrymill::unit::{Tokens, period};

use crate::load::{Kind, Mix, Profile};

/// Replaces the value of one request kind from an offset on; written `FROM:KIND=VALUES`.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Change<T> {
    from: Duration,
    kind: Kind,
    value: T,
}

/// Relative weight of a request kind in the mix, at least 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Weight(f64);

impl FromStr for Weight {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text.parse::<f64>() {
            Ok(weight) if weight.is_finite() && weight >= 0.0 => Ok(Self(weight)),
            _ => Err("expected a weight of at least 0".to_owned()),
        }
    }
}

impl FromStr for Profile {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts: Vec<&str> = text.split(',').collect();
        let [class, prompt, output, target] = parts[..] else {
            return Err("expected CLASS,PROMPT,OUTPUT,TARGET".to_owned());
        };
        let tokens = |text: &str| text.parse().map(Tokens::new);
        Ok(Self {
            class: class.parse().map_err(|error| format!("{error}"))?,
            prompt: tokens(prompt).map_err(|error| format!("prompt tokens: {error}"))?,
            output: tokens(output).map_err(|error| format!("output tokens: {error}"))?,
            target: period::parse(target).map_err(|error| format!("target: {error}"))?,
        })
    }
}

impl<T: FromStr<Err = String>> FromStr for Change<T> {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (position, value) = text.split_once('=').ok_or("expected FROM:KIND=VALUES")?;
        let (from, kind) = position
            .split_once(':')
            .ok_or("expected FROM:KIND=VALUES")?;
        Ok(Self {
            from: period::parse(from).map_err(|error| format!("{error}"))?,
            kind: kind.parse()?,
            value: value.parse()?,
        })
    }
}

/// Applies the changes in order of their offsets, starting from the default mix. A value holds
/// until it is changed again.
pub(super) fn mixes(weights: &[Change<Weight>], profiles: &[Change<Profile>]) -> Vec<Mix> {
    let mut starts = vec![Duration::ZERO];
    starts.extend(weights.iter().map(|change| change.from));
    starts.extend(profiles.iter().map(|change| change.from));
    starts.sort_unstable();
    starts.dedup();
    let mut mix = Mix::default();
    let at = |from| {
        mix.from = from;
        for change in weights.iter().filter(|change| change.from == from) {
            mix.weights[change.kind as usize] = change.value.0;
        }
        for change in profiles.iter().filter(|change| change.from == from) {
            mix.profiles[change.kind as usize] = change.value.clone();
        }
        mix.clone()
    };
    starts.into_iter().map(at).collect()
}
