use std::{fmt, iter::Sum, ops, str::FromStr};

use serde::{Deserialize, Serialize};

use super::Result;
use crate::text::serde_as_text;

/// Error of parsing a quantity: states the expected unit and form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    expected: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {}", self.expected)
    }
}

impl std::error::Error for Error {}

macro_rules! count {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(u64);

        impl $name {
            /// Zero, the default.
            pub const ZERO: Self = Self(0);

            /// Creates the quantity. Every number is valid.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number in the base unit, tokens or bytes.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the difference, or zero if `other` is larger.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl ops::Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl ops::AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(items: I) -> Self {
                items.fold(Self::ZERO, ops::Add::add)
            }
        }

        serde_as_text!($name);
    };
}

count!(
    /// A number of tokens, written `100 tokens`.
    Tokens
);
count!(
    /// A number of bytes, written `512B`, `64KiB` or `1MiB`.
    Bytes
);

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} tokens", self.0)
    }
}

impl FromStr for Tokens {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = Error {
            expected: "a number of tokens such as \"100 tokens\"",
        };
        let digits = text.strip_suffix("tokens").ok_or_else(|| invalid.clone())?;
        digits
            .trim_end()
            .parse()
            .map(Self)
            .map_err(|_error| invalid)
    }
}

/// Suffix and size in bytes of each unit, largest first, since `Display` uses the first unit that
/// divides the size.
const SIZES: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (suffix, factor) = SIZES
            .into_iter()
            .find(|(_, factor)| self.0 != 0 && self.0.is_multiple_of(*factor))
            .unwrap_or(("B", 1));
        write!(f, "{}{suffix}", self.0 / factor)
    }
}

impl FromStr for Bytes {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = Error {
            expected: "a size such as \"64KiB\"",
        };
        let parsed = SIZES.into_iter().find_map(|(suffix, factor)| {
            let digits = text.strip_suffix(suffix)?;
            digits.parse::<u64>().ok()?.checked_mul(factor)
        });
        parsed.map(Self).ok_or(invalid)
    }
}

/// Events per second, written `50/s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate from events per second. Negative and non-finite numbers become 0.
    #[must_use]
    pub fn new(per_second: f64) -> Self {
        Self(if per_second.is_finite() {
            per_second.max(0.0)
        } else {
            0.0
        })
    }

    /// Returns the events per second, finite and at least 0.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number = text
            .strip_suffix("/s")
            .and_then(|number| number.parse::<f64>().ok());
        match number {
            Some(number) if number.is_finite() && number >= 0.0 => Ok(Self(number)),
            _ => Err(Error {
                expected: "a rate such as \"50/s\"",
            }),
        }
    }
}

serde_as_text!(Rate);

/// A fraction from 0 to 1, written as a percentage such as `25%`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Share(f64);

impl Share {
    /// Creates a share, clamped to 0 to 1. Non-finite fractions become 0.
    #[must_use]
    pub fn new(fraction: f64) -> Self {
        Self(if fraction.is_finite() {
            fraction.clamp(0.0, 1.0)
        } else {
            0.0
        })
    }

    /// Returns the fraction, from 0 to 1.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0 * 100.0)
    }
}

impl FromStr for Share {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number = text
            .strip_suffix('%')
            .and_then(|number| number.parse::<f64>().ok());
        match number {
            Some(number) if (0.0..=100.0).contains(&number) => Ok(Self(number / 100.0)),
            _ => Err(Error {
                expected: "a share from \"0%\" to \"100%\"",
            }),
        }
    }
}

serde_as_text!(Share);

/// How long work takes compared with its usual duration, written as a percentage such as `130%`; 100% by
/// default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowdown {
    percent: u32,
}

/// Least slowdown in percent. A smaller one would promise work that takes no time.
const SLOWDOWN_MIN: u32 = 10;
/// Greatest slowdown in percent, so that times stay finite. Endpoints at such a slowdown miss every
/// deadline.
const SLOWDOWN_MAX: u32 = 10_000;

impl Slowdown {
    /// Work takes as long as usual.
    pub const NONE: Self = Self { percent: 100 };

    /// Creates a slowdown, clamped to 10% to 10,000%.
    #[must_use]
    pub const fn from_percent(percent: u32) -> Self {
        let percent = if percent < SLOWDOWN_MIN {
            SLOWDOWN_MIN
        } else if percent > SLOWDOWN_MAX {
            SLOWDOWN_MAX
        } else {
            percent
        };
        Self { percent }
    }

    /// Returns the factor by which work takes longer than usual; below 1 if it takes less time.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.percent) / 100.0
    }
}

impl Default for Slowdown {
    fn default() -> Self {
        Self::NONE
    }
}

impl fmt::Display for Slowdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.percent)
    }
}

impl FromStr for Slowdown {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let percent = text
            .strip_suffix('%')
            .and_then(|number| number.parse().ok());
        match percent {
            Some(percent) if percent > 0 => Ok(Self::from_percent(percent)),
            _ => Err(Error {
                expected: "a slowdown such as \"130%\"",
            }),
        }
    }
}

/// Value of one answer that meets its target, relative to other classes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Worth(u32);

impl Worth {
    /// Creates a value. Every number is valid.
    #[must_use]
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Returns the value as a number without a unit.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for Worth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Worth {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse().map(Self).map_err(|_error| Error {
            expected: "a whole number",
        })
    }
}

/// Text form of [`std::time::Duration`]: `250ms`, `3s` or `5min`.
///
/// For use with `#[serde(with = "unit::period")]`.
pub mod period {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer, de};

    use super::{Error, Result};

    /// Suffix and length in milliseconds of each unit of time.
    const UNITS: [(&str, u64); 3] = [("min", 60_000), ("ms", 1), ("s", 1_000)];

    /// Parses a duration.
    ///
    /// # Errors
    ///
    /// Fails if the unit is missing or unknown, or if the number is not an integer or too large.
    pub fn parse(text: &str) -> Result<Duration> {
        let millis = UNITS.into_iter().find_map(|(suffix, factor)| {
            let digits = text.strip_suffix(suffix)?;
            digits.parse::<u64>().ok()?.checked_mul(factor)
        });
        millis.map(Duration::from_millis).ok_or(Error {
            expected: "a duration such as \"250ms\", \"3s\" or \"5min\"",
        })
    }

    /// Formats a duration in seconds if it is a multiple of one second, otherwise in milliseconds.
    /// Fractions of a millisecond are truncated.
    #[must_use]
    pub fn print(period: Duration) -> String {
        let millis = period.as_millis();
        if millis.is_multiple_of(1_000) {
            format!("{}s", millis / 1_000)
        } else {
            format!("{millis}ms")
        }
    }

    /// Serializes a duration as text.
    ///
    /// # Errors
    ///
    /// Fails only if the serializer fails.
    pub fn serialize<S: Serializer>(
        period: &Duration,
        serializer: S,
    ) -> std::result::Result<S::Ok, S::Error> {
        serializer.serialize_str(&print(*period))
    }

    /// Deserializes a duration from text.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a string that [`parse`] accepts.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> std::result::Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse(&text).map_err(de::Error::custom)
    }
}

/// Converts a count to a floating-point number for estimates. Exact below 2^53.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of tokens and engines stay far below 2^52"
)]
pub(crate) fn as_f64(number: u64) -> f64 {
    number as f64
}

/// Rounds an estimate to a count. Negative estimates become 0.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
pub(crate) fn round(estimate: f64) -> u64 {
    estimate.round() as u64
}
