use actix::Message;

use super::{Answer, Call, Result, Token};

/// Returns the term of this process, or `None` if it may not act now.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Option<Term>")]
pub struct GetTerm;

/// Shows that this process may act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// Fencing token of the calls of this term. Another term has another one.
    pub token: Token,
}

/// Makes a call if the term with this token has not ended.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Answer>")]
pub struct Perform {
    /// Token of the term in which the call was prepared.
    pub token: Token,
    /// The call.
    pub call: Call,
}

/// Stops acting and releases the lease.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Release;
