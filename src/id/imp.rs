use std::{fmt, str::FromStr};

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::Result;
use crate::text::serde_as_text;

/// Longest operator-written name, in characters.
const NAME_MAX: usize = 64;
/// Longest idempotency key, in characters.
const KEY_MAX: usize = 128;

/// A text that is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    what: &'static str,
    rule: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid {}: {}", self.what, self.rule)
    }
}

impl std::error::Error for Error {}

fn is_name(text: &str) -> bool {
    (1..=NAME_MAX).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-'))
}

fn is_key(text: &str) -> bool {
    (1..=KEY_MAX).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic() && b != b'/')
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $what:literal, $check:path, $rule:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(String);

        impl $name {
            /// The identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                if $check(text) {
                    Ok(Self(text.to_owned()))
                } else {
                    Err(Error { what: $what, rule: $rule })
                }
            }
        }

        serde_as_text!($name);
    };
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        text_id!(
            $(#[$doc])* $name, $what, is_name,
            "use 1 to 64 characters out of A-Z a-z 0-9 . _ -"
        );
    };
}

text_id!(
    /// A caller's id for one of its attempts, unique across callers.
    Call, "call id", is_key, "use 1 to 128 visible ASCII characters without a slash"
);
name_id!(
    /// A customer that sends requests.
    Caller, "caller name"
);
name_id!(
    /// An operator who edits the document.
    Editor, "editor name"
);
name_id!(
    /// A service class: requests with the same target, worth and guaranteed share.
    Class, "class name"
);
name_id!(
    /// A back end: a model engine or a plain service.
    Endpoint, "endpoint name"
);
name_id!(
    /// A set of endpoints that are changed under one lease.
    Group, "group name"
);
name_id!(
    /// A machine.
    Host, "host name"
);
name_id!(
    /// An availability zone.
    Zone, "zone name"
);
name_id!(
    /// A language model.
    Model, "model name"
);
name_id!(
    /// A plain service beside the engines.
    Service, "service name"
);
name_id!(
    /// A group of requests with the same terms.
    Route, "route name"
);
name_id!(
    /// An operation of a plain service.
    Operation, "operation name"
);
name_id!(
    /// A process of the system, as named in its settings.
    Process, "process name"
);
text_id!(
    /// An idempotency key chosen by a caller: 1 to 128 visible ASCII characters except `/`.
    Key,
    "idempotency key",
    is_key,
    "use 1 to 128 visible ASCII characters except /"
);

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(Serialize, Deserialize)]
        pub struct $name(u64);

        impl $name {
            /// Wraps a number.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                text.parse()
                    .map(Self)
                    .map_err(|_error| Error { what: $what, rule: "use a decimal number" })
            }
        }
    };
}

number_id!(
    /// A fencing number. A higher one belongs to a later holder of the lease.
    Fence, "fencing number"
);
number_id!(
    /// A revision of the configuration document. A higher one is newer; 0 means none.
    Revision, "revision"
);

macro_rules! random_id {
    ($(#[$doc:meta])* $name:ident, $what:literal, $int:ty, $width:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name($int);

        impl $name {
            /// Draws a new id.
            pub fn random(rng: &mut impl Rng) -> Self {
                Self(rng.random())
            }

            /// The id as big-endian bytes.
            #[must_use]
            pub const fn to_bytes(self) -> [u8; size_of::<$int>()] {
                self.0.to_be_bytes()
            }

            /// The id from big-endian bytes.
            #[must_use]
            pub const fn from_bytes(bytes: [u8; size_of::<$int>()]) -> Self {
                Self(<$int>::from_be_bytes(bytes))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $width, "x}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                <$int>::from_str_radix(text, 16).map(Self).map_err(|_error| Error {
                    what: $what,
                    rule: concat!("use ", $width, " hexadecimal digits"),
                })
            }
        }

        serde_as_text!($name);
    };
}

random_id!(
    /// A caller's request, unique across entries.
    Request, "request id", u128, "32"
);
random_id!(
    /// One run of a process. A restarted process has another one.
    Incarnation, "incarnation", u64, "16"
);
random_id!(
    /// An order to an endpoint.
    Order, "order id", u128, "32"
);
random_id!(
    /// One edit of a section, by which a writer recognizes its own write after a lost answer.
    Edit, "edit id", u128, "32"
);

/// One try to run a request on an endpoint. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt {
    request: Request,
    number: u16,
}

impl Attempt {
    /// The attempt with a given number.
    #[must_use]
    pub const fn new(request: Request, number: u16) -> Self {
        Self { request, number }
    }

    /// The first attempt of a request.
    #[must_use]
    pub const fn first(request: Request) -> Self {
        Self { request, number: 1 }
    }

    /// The attempt after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            request: self.request,
            number: self.number.saturating_add(1),
        }
    }

    /// The request that is tried.
    #[must_use]
    pub const fn request(self) -> Request {
        self.request
    }

    /// Counts from 1.
    #[must_use]
    pub const fn number(self) -> u16 {
        self.number
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}

impl FromStr for Attempt {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = Error {
            what: "attempt id",
            rule: "use a request id, a dot and a number",
        };
        let (request, number) = text.split_once('.').ok_or_else(|| invalid.clone())?;
        Ok(Self {
            request: request.parse()?,
            number: number.parse().map_err(|_error| invalid)?,
        })
    }
}

serde_as_text!(Attempt);
