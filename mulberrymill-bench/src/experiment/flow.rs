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
    figures::Fate,
    sim::{Event, Sim},
};
use crate::{
    engine::{self, Generate, Job},
    load::{Arrival, Kind},
};

/// Time that a call of the plain service takes, in milliseconds.
const CALL_MS: std::ops::Range<u64> = 20..60;
/// Bytes of a prefix block of an entry.
const PREFIX_BLOCK: usize = 256;
/// Most prefix blocks that an entry hashes.
const PREFIX_BLOCKS: usize = 64;

/// The way of a request through an entry.
impl<'a> Sim<'a> {
    fn arrival(&self, request: usize) -> &'a Arrival {
        &self.plan.arrivals[request].0
    }

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
            request: id(request),
            caller: caller(),
            class: demand.class,
            pool: demand.pool,
            cost: demand.cost,
            deadline: now + limit,
        };
        let entry = self.tracks[request].entry;
        match self.entries[entry].scheduler.offer(&offer, now) {
            Ok(()) => self.pump(entry),
            Err(_) => self.end(request, Fate::Refused),
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
            prefix: prefix(&arrival.prompt),
            avoid: self.tracks[request].avoid.clone(),
        }
    }

    pub(super) fn pump(&mut self, entry: usize) {
        let now = self.now();
        loop {
            let decisions = self.entries[entry].scheduler.poll(now);
            if decisions.is_empty() {
                return;
            }
            for decision in decisions {
                let request = position(decision.request);
                match decision.outcome {
                    Ok(()) => {
                        self.tracks[request].started = true;
                        self.dispatch(request);
                    }
                    Err(_) => self.end(request, Fate::Refused),
                }
            }
        }
    }

    /// Sends a request to an endpoint, or to another one if that refuses it.
    pub(super) fn dispatch(&mut self, request: usize) {
        loop {
            let demand = self.demand(request);
            let now = self.now();
            let entry = self.tracks[request].entry;
            let Ok(endpoint) = self.entries[entry].table.choose(&demand, now) else {
                return self.abort(request);
            };
            self.tracks[request].endpoint = Some((endpoint.clone(), demand.cost));
            let Some(&engine) = self.index.get(&endpoint) else {
                let period = Duration::from_millis(self.rng.random_range(CALL_MS));
                let at = self.clock.elapsed() + period;
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
            self.leave(request, ending);
            if !self.may_retry(request, endpoint) {
                return self.abort(request);
            }
        }
    }

    fn submit(&mut self, request: usize, engine: usize) -> Result<(), ErrorKind> {
        let arrival = self.arrival(request);
        let work = Generate {
            model: self.plan.deployment.model(),
            prompt: arrival.prompt.clone(),
            output: arrival.output,
            resume: Bytes::new(self.tracks[request].bytes),
            priority: self.plan.document.classes[&arrival.class].rank,
        };
        self.submitted += 1;
        let job = Job::new(self.submitted);
        let one = &mut self.engines[engine];
        let cached = one.model.export(&work.model, &work.prompt).len() as u64;
        one.model.submit(job, &work).map_err(|error| error.kind())?;
        one.in_progress += 1;
        let block = engine::Config::default().block.get();
        self.prefix.0 += cached * block;
        self.prefix.1 += engine::tokens(&work.prompt).get();
        self.jobs.insert(job, request);
        Ok(())
    }

    pub(super) fn may_retry(&mut self, request: usize, failed: Endpoint) -> bool {
        let now = self.now();
        let entry = self.tracks[request].entry;
        self.tracks[request].avoid.push(failed);
        self.entries[entry].table.may_retry(now)
    }

    /// Ends the attempt in progress.
    pub(super) fn leave(&mut self, request: usize, ending: Ending) -> Option<Endpoint> {
        let now = self.now();
        let track = &mut self.tracks[request];
        let (endpoint, cost) = track.endpoint.take()?;
        let entry = track.entry;
        let table = &mut self.entries[entry].table;
        if table.finish(&endpoint, cost, ending, now) {
            self.update_capacity(entry);
        }
        Some(endpoint)
    }

    pub(super) fn abort(&mut self, request: usize) {
        let begun = self.tracks[request].bytes > 0;
        self.end(request, if begun { Fate::Failed } else { Fate::Refused });
    }

    pub(super) fn end(&mut self, request: usize, fate: Fate) {
        let now = self.now();
        self.leave(request, Ending::Served);
        let elapsed = self.clock.elapsed();
        let track = &mut self.tracks[request];
        track.fate = Some(fate);
        track.end = elapsed;
        self.open -= 1;
        let entry = track.entry;
        if track.started {
            self.entries[entry].scheduler.finish(id(request), now);
            self.pump(entry);
        }
    }
}

fn id(request: usize) -> Request {
    Request::from_bytes((request as u128).to_be_bytes())
}

fn position(request: Request) -> usize {
    usize::try_from(u128::from_be_bytes(request.to_bytes())).unwrap_or(usize::MAX)
}

/// Hashes of the leading blocks, each over all text up to its end.
fn prefix(prompt: &str) -> Prefix {
    let mut sum = 0xcbf2_9ce4_8422_2325_u64;
    let blocks = prompt.as_bytes().chunks_exact(PREFIX_BLOCK);
    let hash = |block: &[u8]| {
        for byte in block {
            sum = (sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        sum
    };
    Prefix(blocks.take(PREFIX_BLOCKS).map(hash).collect())
}
