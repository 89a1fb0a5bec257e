use std::time::Duration;

use mulberrymill::{
    admission::Offer,
    error::Kind as ErrorKind,
    id::{Endpoint, Request},
    routing::{Cost, Demand, Ending, Pool, Prefix},
    unit::Bytes,
};
use rand::Rng as _;

use super::{
    deployment::caller,
    figures::RequestOutcome,
    sim::{Event, Sim},
};
use crate::{
    engine::{self, Generate, Job},
    load::{Arrival, Kind},
};

/// Range of the duration of a call of the plain service.
const CALL_DURATION_MS: std::ops::Range<u64> = 20..60;
/// Size of the prompt blocks that an entry hashes.
const PREFIX_BLOCK_BYTES: usize = 256;
/// Maximum number of prompt blocks that an entry hashes.
const PREFIX_BLOCKS_MAX: usize = 64;

/// Lifecycle of a request in an entry.
impl<'a> Sim<'a> {
    fn arrival(&self, request: usize) -> &'a Arrival {
        &self.plan.arrivals[request].0
    }

    /// Offers a new request to the scheduler of its entry.
    pub(super) fn arrive(&mut self, request: usize) {
        let now = self.now();
        let arrival = self.arrival(request);
        let spec = &self.plan.document.classes[&arrival.class];
        let demand = self.demand(request);
        let limit = match demand.pool {
            Pool::Model(_) => spec.first_token,
            Pool::Service(_) => spec.whole,
        };
        let offer = Offer {
            request: request_id(request),
            caller: caller(),
            class: demand.class,
            pool: demand.pool,
            cost: demand.cost,
            deadline: now + limit,
        };
        let entry = self.requests[request].entry;
        match self.entries[entry].scheduler.offer(&offer, now) {
            Ok(()) => self.poll_scheduler(entry),
            Err(_) => self.end_request(request, RequestOutcome::Refused),
        }
    }

    fn demand(&self, request: usize) -> Demand {
        let arrival = self.arrival(request);
        let is_call = arrival.kind == Kind::Print;
        let cost = Cost {
            input: engine::tokens(&arrival.prompt),
            output: arrival.output,
        };
        Demand {
            pool: if is_call {
                Pool::Service(self.plan.deployment.service())
            } else {
                Pool::Model(self.plan.deployment.model())
            },
            class: arrival.class.clone(),
            cost: if is_call { Cost::default() } else { cost },
            prefix: prefix_hashes(&arrival.prompt),
            excluded: self.requests[request].excluded.clone(),
        }
    }

    /// Applies the decisions of the scheduler of an entry until there are none.
    pub(super) fn poll_scheduler(&mut self, entry: usize) {
        let now = self.now();
        loop {
            let decisions = self.entries[entry].scheduler.poll(now);
            if decisions.is_empty() {
                return;
            }
            for decision in decisions {
                let request = request_index(decision.request);
                match decision.outcome {
                    Ok(()) => {
                        self.requests[request].admitted = true;
                        self.dispatch(request);
                    }
                    Err(_) => self.end_request(request, RequestOutcome::Refused),
                }
            }
        }
    }

    /// Sends a request to an endpoint, and retries another one after a refusal or failure.
    pub(super) fn dispatch(&mut self, request: usize) {
        loop {
            let demand = self.demand(request);
            let now = self.now();
            let entry = self.requests[request].entry;
            let Ok(endpoint) = self.entries[entry].table.choose(&demand, now) else {
                return self.abort_request(request);
            };
            self.requests[request].attempt = Some((endpoint.clone(), demand.cost));
            let Some(&engine) = self.engine_index.get(&endpoint) else {
                let duration = Duration::from_millis(self.rng.random_range(CALL_DURATION_MS));
                let at = self.clock.elapsed() + duration;
                return self.schedule(at, Event::CallEnd(request));
            };
            let Err(kind) = self.submit(request, engine) else {
                return;
            };
            let refused = kind == ErrorKind::Leaving;
            let ending = if refused {
                Ending::Refused
            } else {
                Ending::Failed
            };
            self.end_attempt(request, ending);
            if !self.may_retry(request, endpoint) {
                return self.abort_request(request);
            }
        }
    }

    fn submit(&mut self, request: usize, engine: usize) -> Result<(), ErrorKind> {
        let arrival = self.arrival(request);
        let work = Generate {
            model: self.plan.deployment.model(),
            prompt: arrival.prompt.clone(),
            output: arrival.output,
            resume: Bytes::new(self.requests[request].received_bytes),
            priority: self.plan.document.classes[&arrival.class].rank,
        };
        self.submitted += 1;
        let job = Job::new(self.submitted);
        let target = &mut self.engines[engine];
        let cached = target.model.export(&work.model, &work.prompt).len() as u64;
        target
            .model
            .submit(job, &work)
            .map_err(|error| error.kind())?;
        target.in_progress += 1;
        let block = engine::Config::default().block.get();
        self.cached_prompt_tokens += cached * block;
        self.total_prompt_tokens += engine::tokens(&work.prompt).get();
        self.jobs.insert(job, request);
        Ok(())
    }

    /// Excludes the failed endpoint and returns whether the retry budget allows another attempt.
    pub(super) fn may_retry(&mut self, request: usize, failed: Endpoint) -> bool {
        let now = self.now();
        let entry = self.requests[request].entry;
        self.requests[request].excluded.push(failed);
        self.entries[entry].table.may_retry(now)
    }

    /// Ends the attempt in progress and returns its endpoint.
    pub(super) fn end_attempt(&mut self, request: usize, ending: Ending) -> Option<Endpoint> {
        let now = self.now();
        let state = &mut self.requests[request];
        let (endpoint, cost) = state.attempt.take()?;
        let entry = state.entry;
        let table = &mut self.entries[entry].table;
        if table.finish(&endpoint, cost, ending, now) {
            self.update_capacity(entry);
        }
        Some(endpoint)
    }

    /// Ends a request without a complete answer: failed after the first byte, else refused.
    pub(super) fn abort_request(&mut self, request: usize) {
        let started = self.requests[request].received_bytes > 0;
        self.end_request(
            request,
            if started {
                RequestOutcome::Failed
            } else {
                RequestOutcome::Refused
            },
        );
    }

    /// Records the outcome of a request and releases its slot.
    pub(super) fn end_request(&mut self, request: usize, outcome: RequestOutcome) {
        let now = self.now();
        self.end_attempt(request, Ending::Served);
        let elapsed = self.clock.elapsed();
        let state = &mut self.requests[request];
        state.outcome = Some(outcome);
        state.ended_at = elapsed;
        self.unfinished -= 1;
        let entry = state.entry;
        if state.admitted {
            self.entries[entry]
                .scheduler
                .finish(request_id(request), now);
            self.poll_scheduler(entry);
        }
    }
}

fn request_id(request: usize) -> Request {
    Request::from_bytes((request as u128).to_be_bytes())
}

fn request_index(request: Request) -> usize {
    usize::try_from(u128::from_be_bytes(request.to_bytes())).unwrap_or(usize::MAX)
}

/// Chained hashes of the leading blocks, each over the whole prompt up to its end.
fn prefix_hashes(prompt: &str) -> Prefix {
    let mut chained = 0xcbf2_9ce4_8422_2325_u64;
    let blocks = prompt.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES);
    let block_hash = |block: &[u8]| {
        for byte in block {
            chained = (chained ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        chained
    };
    Prefix(blocks.take(PREFIX_BLOCKS_MAX).map(block_hash).collect())
}
