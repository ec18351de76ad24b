//! What the requests of one service cost on a usual server at its usual pace.

use std::time::Duration;
use std::time::Instant;

use crate::cost::PRIOR_OUTPUT_MS_PER_RUNNING;
use crate::cost::PRIOR_OUTPUT_MS_PER_TOKEN;
use crate::cost::PRIOR_PREFILL_MS_PER_TOKEN;
use crate::cost::PRIOR_REQUEST_MS;
use crate::cost::PRIOR_RUNNING_REQUEST_MS;
use crate::cost::PRIOR_WAITING_REQUEST_MS;
use crate::cost::SLOTS_PER_STEP;
use crate::cost::fit::DecayingMean;
use crate::cost::fit::Line;
use crate::cost::fit::LineFit;
use crate::cost::fit::LinePrior;
use crate::cost::report::MeanLoad;
use crate::cost::report::ReportedLoad;

/// Half-life of what is known of a service.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Maximum number of kinds of requests (routes) remembered per service.
const KIND_LIMIT: usize = 64;
/// Number of observations that a prior counts as.
const PRIOR_WEIGHT: f64 = 4.0;
/// Weight of an observation that may contain time in a queue.
const QUEUED_WEIGHT: f64 = 0.1;
/// Weight of an observation of a prompt of which the server may hold parts that this
/// process has not sent.
const UNKNOWN_WEIGHT: f64 = 0.1;
/// Multiple of the predicted time above which an observation probably contains time in
/// a queue that this process does not know of.
const OUTLIER_RATIO: f64 = 2.0;

const PREFILL_PRIOR: LinePrior = LinePrior {
    base: 0.0,
    slope: PRIOR_PREFILL_MS_PER_TOKEN,
    usual: 2_000.0,
    weight: 2.0,
};
const OUTPUT_PRIOR: LinePrior = LinePrior {
    base: PRIOR_OUTPUT_MS_PER_TOKEN,
    slope: PRIOR_OUTPUT_MS_PER_RUNNING,
    usual: 8.0,
    weight: 2.0,
};

/// What is known of a request when it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentWork {
    /// Kind of the request: a hash of its route.
    pub kind: u64,
    /// Prompt tokens that the server has to prefill for it; `None` for a request
    /// without a prompt.
    pub prefill_tokens: Option<f64>,
    /// Whether `prefill_tokens` is known: this process sent all shared parts of the prompt
    /// to the server before, or the prompt has none.
    pub is_known: bool,
    /// Prompt tokens of this process's earlier requests that the server has to prefill
    /// first.
    pub queued_tokens: f64,
    /// Requests expected to be in progress at the server.
    pub running: f64,
    /// Whether the server seems to have a free place and no queue.
    pub is_unqueued: bool,
    /// Multiple of the usual times that the server's reports stated.
    pub pace: f64,
    /// Predicted milliseconds to the first event, or to the whole response of a request
    /// without a prompt.
    pub first_ms: f64,
    /// Predicted milliseconds of work.
    pub work_ms: f64,
    /// Prompt and maximum output tokens, which take memory of the server.
    pub memory_tokens: u64,
}

impl SentWork {
    /// Weight of the time that is observed for the request.
    fn weight(&self) -> f64 {
        let queue = if self.is_unqueued && self.queued_tokens <= 0.0 {
            1.0
        } else {
            QUEUED_WEIGHT
        };
        if self.is_known {
            queue
        } else {
            queue * UNKNOWN_WEIGHT
        }
    }
}

/// An observed time compared with a usual server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comparison {
    /// Time that a usual server would have taken at its usual pace, in milliseconds.
    pub usual_ms: f64,
    /// Weight of the observation.
    pub weight: f64,
}

/// Average time of one kind of request.
#[derive(Clone, Copy, Debug)]
struct KindTime {
    kind: u64,
    time: DecayingMean,
}

/// Learned times of one service.
#[derive(Clone, Debug)]
pub struct ServiceCost {
    prefill: LineFit,
    output: LineFit,
    output_tokens: DecayingMean,
    /// Time that requests occupy a place.
    occupation: DecayingMean,
    /// Time of requests without a prompt.
    request: DecayingMean,
    kinds: Vec<KindTime>,
    /// Prompt and maximum output tokens of the requests.
    memory_tokens: DecayingMean,
    reported: ReportedLoad,
}

impl Default for ServiceCost {
    fn default() -> Self {
        let mean = DecayingMean::new(HALF_LIFE);
        Self {
            prefill: LineFit::new(PREFILL_PRIOR, HALF_LIFE),
            output: LineFit::new(OUTPUT_PRIOR, HALF_LIFE),
            output_tokens: mean,
            occupation: mean,
            request: mean,
            kinds: Vec::new(),
            memory_tokens: mean,
            reported: ReportedLoad::default(),
        }
    }
}

impl ServiceCost {
    /// Counts the memory that a request takes.
    pub fn note_sent(&mut self, work: &SentWork, now: Instant) {
        self.memory_tokens.add(work.memory_tokens as f64, 1.0, now);
    }

    /// Adds a report of a server that has `others` requests of other instances in
    /// progress and of which `waiting` requests wait for a slot.
    pub fn note_report(&mut self, others: f64, waiting: f64, now: Instant) {
        self.reported.note_report(others, waiting, now);
    }

    /// Adds the time to the first event of a request, or to the whole response of a
    /// request without a prompt, and returns what to compare the server's speed with.
    pub fn observe_first(&mut self, work: &SentWork, elapsed_ms: f64, now: Instant) -> Comparison {
        let usual_ms = elapsed_ms / work.pace.max(0.1);
        let weight = work.weight();
        let Some(prefill_tokens) = work.prefill_tokens else {
            let known_ms = self.kind_ms(work.kind, now);
            let weight = damped(weight, usual_ms, known_ms, self.request.weight(now));
            self.request.add(usual_ms, weight, now);
            self.add_kind(work.kind, usual_ms, weight, now);
            return Comparison {
                usual_ms: known_ms,
                weight,
            };
        };
        let tokens = prefill_tokens + work.queued_tokens;
        let known_ms = self.prefill.line(now).at(tokens);
        let weight = damped(weight, usual_ms, known_ms, self.prefill.weight(now));
        self.prefill.add(tokens, usual_ms, weight, now);
        Comparison {
            usual_ms: known_ms,
            weight,
        }
    }

    /// Adds the time in which a server wrote `tokens` output tokens after the first
    /// event while it had `running` requests, and the number of output tokens.
    pub fn observe_output(
        &mut self,
        work: &SentWork,
        tokens: u64,
        elapsed_ms: f64,
        slowdown: f64,
        now: Instant,
    ) {
        if tokens == 0 {
            return;
        }
        self.output_tokens.add(tokens as f64, 1.0, now);
        let per_token = elapsed_ms / tokens as f64 / slowdown.max(0.1);
        self.output.add(work.running, per_token, 1.0, now);
    }

    /// Adds the time that a request occupied a place at a server.
    pub fn observe_end(&mut self, elapsed_ms: f64, now: Instant) {
        self.occupation.add(elapsed_ms, 1.0, now);
    }

    /// The rates at `now` for requests of `kind`.
    pub fn rates(&self, kind: u64, now: Instant) -> CostRates {
        let prefill = self.prefill.line(now);
        let occupied = self.occupation.weight(now);
        let observations = self.prefill.weight(now) + self.request.weight(now);
        CostRates {
            prefill,
            running_ms: PRIOR_RUNNING_REQUEST_MS * prefill.slope / PRIOR_PREFILL_MS_PER_TOKEN,
            output: self.output.line(now),
            output_tokens: self.output_tokens.mean(0.0, PRIOR_WEIGHT, now),
            occupation_ms: self.occupation.mean(0.0, f64::MIN_POSITIVE, now),
            occupation_confidence: occupied / (occupied + PRIOR_WEIGHT),
            kind_ms: self.kind_ms(kind, now),
            mean_ms: self.request_ms(now),
            confidence: observations / (observations + PRIOR_WEIGHT),
            observations,
            mean_load: self.reported.mean(now),
            memory_tokens: self.memory_tokens.mean(0.0, f64::MIN_POSITIVE, now),
        }
    }

    fn request_ms(&self, now: Instant) -> f64 {
        self.request.mean(PRIOR_REQUEST_MS, PRIOR_WEIGHT, now)
    }

    fn kind_ms(&self, kind: u64, now: Instant) -> f64 {
        let mean = self.request_ms(now);
        let known = self.kinds.iter().find(|known| known.kind == kind);
        known.map_or(mean, |known| known.time.mean(mean, PRIOR_WEIGHT / 2.0, now))
    }

    fn add_kind(&mut self, kind: u64, observed_ms: f64, weight: f64, now: Instant) {
        if let Some(known) = self.kinds.iter_mut().find(|known| known.kind == kind) {
            known.time.add(observed_ms, weight, now);
            return;
        }
        let mut time = DecayingMean::new(HALF_LIFE);
        time.add(observed_ms, weight, now);
        let new = KindTime { kind, time };
        if self.kinds.len() < KIND_LIMIT {
            self.kinds.push(new);
            return;
        }
        let oldest = self
            .kinds
            .iter_mut()
            .min_by_key(|known| known.time.updated());
        if let Some(oldest) = oldest {
            *oldest = new;
        }
    }
}

/// Reduces the weight of an observation that takes much longer than predicted, once
/// there are observations that the prediction rests on.
fn damped(weight: f64, observed_ms: f64, known_ms: f64, observations: f64) -> f64 {
    if observations >= PRIOR_WEIGHT && observed_ms > OUTLIER_RATIO * known_ms {
        weight * QUEUED_WEIGHT
    } else {
        weight
    }
}

/// Times of a service on a usual server at its usual pace, for one kind of request.
#[derive(Clone, Copy, Debug)]
pub struct CostRates {
    /// Milliseconds to the first event by tokens to prefill.
    pub prefill: Line,
    /// Milliseconds to the first event that each request in progress adds at a server
    /// with few slots.
    pub running_ms: f64,
    /// Milliseconds per output token by running requests.
    pub output: Line,
    /// Mean number of output tokens.
    pub output_tokens: f64,
    /// Mean time for which a request occupies a place, in milliseconds.
    pub occupation_ms: f64,
    /// How far `occupation_ms` rests on observations, from 0 to 1.
    pub occupation_confidence: f64,
    /// Mean time of this kind of request without a prompt, in milliseconds.
    pub kind_ms: f64,
    /// Mean time of the requests without a prompt, in milliseconds.
    pub mean_ms: f64,
    /// How far the rates rest on observations, from 0 to 1.
    pub confidence: f64,
    /// Number of recent observations.
    pub observations: f64,
    /// Mean load of the servers; `None` when unknown.
    pub mean_load: Option<MeanLoad>,
    /// Mean of the prompt and maximum output tokens of a request; 0 when unknown.
    pub memory_tokens: f64,
}

impl CostRates {
    /// The rates before anything is learned.
    pub fn prior(now: Instant) -> Self {
        ServiceCost::default().rates(0, now)
    }

    /// The load that is expected of a server whose report of `load` has the given
    /// `age`.
    pub fn expected_load(&self, load: MeanLoad, age: Option<Duration>) -> MeanLoad {
        self.mean_load.map_or(load, |mean| mean.expected(load, age))
    }

    /// Milliseconds that each request that waits for one of `slots` slots adds.
    pub fn waiting_ms(&self, slots: f64) -> f64 {
        let learned = self.occupation_ms / slots.max(1.0);
        let confidence = self.occupation_confidence;
        confidence * learned + (1.0 - confidence) * PRIOR_WAITING_REQUEST_MS
    }

    /// Predicted milliseconds in which a server with `running` requests writes the
    /// output of a request with at most `limit` output tokens.
    pub fn output_ms(&self, limit: u64, running: f64, slowdown: f64) -> f64 {
        let tokens = self.output_tokens.min(limit as f64);
        self.output.at(running) * tokens * slowdown
    }

    /// Factor by which waiting counts for more than its time where requests are short,
    /// so that requests spread over the servers as much as before anything is learned.
    /// Without it, requests of 1 ms kept to the servers with open connections, and a
    /// server that had just started got none.
    pub fn spreading_factor(&self) -> f64 {
        let usual_ms = self.mean_ms.min(self.kind_ms);
        (PRIOR_REQUEST_MS / usual_ms.max(0.1)).max(1.0)
    }

    /// Milliseconds in which a server with `slots` slots does `work_ms` of work of
    /// requests without a prompt.
    pub fn shared_ms(work_ms: f64, slots: f64) -> f64 {
        work_ms / slots.max(SLOTS_PER_STEP)
    }
}
