use std::{fmt, str::FromStr};

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::Result;
use crate::text::serde_as_text;

/// Maximum length of a name set by an operator, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Error of parsing an identifier: states the type of the identifier and the violated rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    id_type: &'static str,
    rule: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid {}: {}", self.id_type, self.rule)
    }
}

impl std::error::Error for Error {}

fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-'))
}

fn is_key(text: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&text.len())
        && text.bytes().all(|b| b.is_ascii_graphic() && b != b'/')
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $id_type:literal, $check:path, $rule:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(String);

        impl $name {
            /// Returns the identifier as text, in the form that `FromStr` accepts.
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
                    Err(Error { id_type: $id_type, rule: $rule })
                }
            }
        }

        serde_as_text!($name);
    };
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $id_type:literal) => {
        text_id!(
            $(#[$doc])* $name, $id_type, is_name,
            "use 1 to 64 characters out of A-Z a-z 0-9 . _ -"
        );
    };
}

text_id!(
    /// An id that a caller assigns to one of its attempts. It is unique across callers.
    Call, "call id", is_key, "use 1 to 128 visible ASCII characters without a slash"
);
name_id!(
    /// A client with a bearer key, limits and classes of its own.
    Caller, "caller name"
);
name_id!(
    /// An operator who edits the document.
    Editor, "editor name"
);
name_id!(
    /// A service class: requests with the same latency target, value and guaranteed share.
    Class, "class name"
);
name_id!(
    /// A backend: a model engine or a plain service.
    Endpoint, "endpoint name"
);
name_id!(
    /// A set of endpoints whose changes are protected by one lease.
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
    /// A plain HTTP service, as opposed to a model engine.
    Service, "service name"
);
name_id!(
    /// A set of requests that the gateway treats alike.
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
    ($(#[$doc:meta])* $name:ident, $id_type:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(Serialize, Deserialize)]
        pub struct $name(u64);

        impl $name {
            /// Creates the id. Every number is valid.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number.
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
                    .map_err(|_error| Error { id_type: $id_type, rule: "use a decimal number" })
            }
        }
    };
}

number_id!(
    /// A fencing number. Later holders of the lease have higher numbers.
    Fence, "fencing number"
);
number_id!(
    /// A window of usage reports: its number is the Unix time of its start divided by its length.
    Window, "usage window"
);
number_id!(
    /// A revision of the configuration document. Newer ones are higher; 0 means no document.
    Revision, "revision"
);

macro_rules! random_id {
    ($(#[$doc:meta])* $name:ident, $id_type:literal, $int:ty, $width:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name($int);

        impl $name {
            /// Generates a random id.
            pub fn random(rng: &mut impl Rng) -> Self {
                Self(rng.random())
            }

            /// Returns the id as big-endian bytes.
            #[must_use]
            pub const fn to_bytes(self) -> [u8; size_of::<$int>()] {
                self.0.to_be_bytes()
            }

            /// Creates the id from big-endian bytes.
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
                    id_type: $id_type,
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
    /// One run of a process. It changes with every restart.
    Incarnation, "incarnation", u64, "16"
);
random_id!(
    /// An order to an endpoint.
    Order, "order id", u128, "32"
);
random_id!(
    /// One edit of a section. A writer whose response was lost recognizes its own write by it.
    Edit, "edit id", u128, "32"
);

/// A part of a prompt that requests may share, as callers name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PromptPart(u128);

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PromptPart {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_error| Error {
                id_type: "prompt part",
                rule: "use 1 to 32 hexadecimal digits",
            })
    }
}

serde_as_text!(PromptPart);

/// One attempt to run a request on an endpoint. Ids of attempts are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt {
    request: Request,
    number: u16,
}

impl Attempt {
    /// Creates the id of an attempt from its number, which counts from 1.
    #[must_use]
    pub const fn new(request: Request, number: u16) -> Self {
        Self { request, number }
    }

    /// Returns the first attempt of a request.
    #[must_use]
    pub const fn first(request: Request) -> Self {
        Self { request, number: 1 }
    }

    /// Returns the next attempt of the same request.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            request: self.request,
            number: self.number.saturating_add(1),
        }
    }

    /// Returns the request that the attempt belongs to.
    #[must_use]
    pub const fn request(self) -> Request {
        self.request
    }

    /// Returns the number of the attempt, which counts from 1.
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
            id_type: "attempt id",
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
