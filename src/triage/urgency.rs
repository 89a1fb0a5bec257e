use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::Request;
use crate::{
    forecast::Average,
    id::Service,
    unit::{Tokens, as_f64},
};

/// Prompt length from which a request counts as large, as a multiple of the mean of its class: about
/// the largest fifth.
const LARGE_FACTOR: f64 = 1.25;
/// Half-life of the observed prompt lengths.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Largest configured rank with which there are enough ranks at the engines, 0 to 9, for large
/// requests to have their own.
const SPLIT_RANK_MAX: u8 = 4;

/// Orders the requests in the queues of engines: by their configured rank, and within a rank the
/// large ones first.
///
/// This answers an overload in which a class is only partly served. A large prompt waits for longer
/// in a queue, is prefilled for longer, and is overtaken by more urgent ones meanwhile. Without
/// precedence the largest requests of the class would hardly be served at all.
#[derive(Debug, Default)]
pub(super) struct Urgency {
    prompts: BTreeMap<(Service, u8), Average>,
    /// Largest configured rank so far.
    largest_rank: u8,
}

impl Urgency {
    /// Records the prompt length of a new request.
    pub(super) fn record(&mut self, request: &Request<'_>, now: Instant) {
        if request.prompt > Tokens::ZERO {
            self.largest_rank = self.largest_rank.max(request.rank);
            let class = (request.service.clone(), request.rank);
            let prompts = self.prompts.entry(class);
            prompts.or_insert_with(|| Average::new(HALF_LIFE, now)).add(
                as_f64(request.prompt.get()),
                1.0,
                now,
            );
        }
    }

    /// The rank of a request at the engines; 0 is the most urgent.
    pub(super) fn rank(&self, request: &Request<'_>, now: Instant) -> u8 {
        if self.largest_rank.max(request.rank) > SPLIT_RANK_MAX {
            return request.rank;
        }
        let prompt = as_f64(request.prompt.get());
        let class = (request.service.clone(), request.rank);
        let is_large = self
            .prompts
            .get(&class)
            .is_some_and(|prompts| prompt > prompts.ratio(prompt, 1.0, now) * LARGE_FACTOR);
        request.rank * 2 + u8::from(!is_large)
    }
}
