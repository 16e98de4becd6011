//! Traffic of the two companies' kind: nested prompts with popular documents, and service calls.

use crate::options::Fault;
use crate::preset::{Preset, TOKEN_BYTES, TokenRange, WORKSPACE_SHARES};
use fastrand::Rng;
use serde_json::{Value, json};
use std::time::Duration;

/// Exponent of the popularity of documents by rank.
const POPULARITY_EXPONENT: f64 = 1.1;
/// Service calls in percent of all arrivals.
const SERVICE_PERCENT: u32 = 8;
/// Model requests as a share of all arrivals; the capacity is worked out for these.
pub const MODEL_SHARE: f64 = 1.0 - SERVICE_PERCENT as f64 / 100.0;
/// Non-idempotent calls in percent of the service calls.
const NON_IDEMPOTENT_PERCENT: u32 = 50;
/// Distinct poison requests under the fault.
const POISON_REQUESTS: usize = 3;
/// Share of the run after which faults start.
pub const FAULT_START_SHARE: f64 = 0.4;
/// Text in a prompt that crashes an engine.
pub const POISON_MARKER: &str = "<<poison>>";

/// Arrival of a call at the site.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time from the start of the run.
    pub at: Duration,
    /// Number of the call.
    pub number: usize,
    /// Workspace of the caller.
    pub workspace: usize,
    /// Call.
    pub call: Call,
}

/// Call of an arrival.
#[derive(Clone, Debug)]
pub enum Call {
    /// Model request.
    Model(ModelCall),
    /// Call to the plain service, which may be repeated.
    IdempotentService,
    /// Call to the plain service that may run once only.
    NonIdempotentService,
}

/// Model request.
#[derive(Clone, Debug)]
pub struct ModelCall {
    /// Document that the question is about.
    pub document: usize,
    /// Question.
    pub question: String,
    /// Tokens wanted.
    pub max_tokens: u32,
    /// Priority.
    pub priority: &'static str,
    /// Whether the prompt crashes engines.
    pub is_poison: bool,
}

/// Texts and arrivals of a run.
pub struct Workload {
    preambles: Vec<String>,
    documents: Vec<Vec<String>>,
    model: &'static str,
    /// Arrivals in order of time.
    pub arrivals: Vec<Arrival>,
}

impl Workload {
    /// Returns the workload of `seed` with `requests` arrivals at `rate_per_s` on average.
    pub fn new(
        preset: &Preset,
        seed: u64,
        requests: usize,
        rate_per_s: f64,
        faults: &[Fault],
    ) -> Self {
        let mut rng = Rng::with_seed(seed);
        let workspaces = 0..WORKSPACE_SHARES.len();
        let preambles = workspaces
            .clone()
            .map(|workspace| {
                text(&mut rng, &format!("Rules of team {workspace}."), preset.preamble)
            })
            .collect();
        let documents = workspaces
            .map(|workspace| {
                let title = |document| format!("Document {document} of team {workspace}.");
                (0..preset.documents)
                    .map(|document| text(&mut rng, &title(document), preset.document))
                    .collect()
            })
            .collect();
        let arrivals = arrivals(&mut rng, preset, requests, rate_per_s, faults);
        Self { preambles, documents, model: preset.model, arrivals }
    }

    /// Returns the time from the start at which faults begin.
    pub fn fault_at(&self) -> Duration {
        self.end().mul_f64(FAULT_START_SHARE)
    }

    /// Returns the time from the start to the last arrival.
    pub fn end(&self) -> Duration {
        self.arrivals.last().map_or(Duration::ZERO, |arrival| arrival.at)
    }

    /// Returns the body of a model request.
    pub fn body(&self, workspace: usize, call: &ModelCall) -> Value {
        json!({
            "model": self.model,
            "messages": [
                {"role": "system", "content": self.preambles[workspace]},
                {"role": "user", "content": self.documents[workspace][call.document]},
                {"role": "user", "content": call.question},
            ],
            "max_tokens": call.max_tokens,
            "stream": true,
            "stream_options": {"include_usage": true},
        })
    }

    /// Returns the prompt as an engine sees it.
    pub fn prompt(&self, workspace: usize, call: &ModelCall) -> String {
        let preamble = &self.preambles[workspace];
        let document = &self.documents[workspace][call.document];
        format!("system\n{preamble}user\n{document}user\n{}", call.question)
    }

    /// Returns the model of all requests.
    pub fn model(&self) -> &'static str {
        self.model
    }
}

fn arrivals(
    rng: &mut Rng,
    preset: &Preset,
    requests: usize,
    rate_per_s: f64,
    faults: &[Fault],
) -> Vec<Arrival> {
    let popularity = popularity(preset.documents);
    let fault_number = (requests as f64 * FAULT_START_SHARE) as usize;
    let shifts = faults.contains(&Fault::HotShift);
    let poisons = faults.contains(&Fault::Poison);
    let mut at_s = 0.0;
    let mut arrivals = Vec::with_capacity(requests);
    for number in 0..requests {
        at_s += -(1.0 - rng.f64()).ln() / rate_per_s;
        let workspace = pick(rng, &WORKSPACE_SHARES.map(f64::from));
        let is_poison = poisons && (fault_number..fault_number + POISON_REQUESTS).contains(&number);
        let call = if !is_poison && rng.u32(0..100) < SERVICE_PERCENT {
            service_call(rng)
        } else {
            let rank = pick(rng, &popularity);
            // After the shift the least popular documents are the most popular ones.
            let is_shifted = shifts && number >= fault_number;
            let document = if is_shifted { popularity.len() - 1 - rank } else { rank };
            Call::Model(model_call(rng, preset, number, document, is_poison))
        };
        arrivals.push(Arrival { at: Duration::from_secs_f64(at_s), number, workspace, call });
    }
    arrivals
}

fn service_call(rng: &mut Rng) -> Call {
    if rng.u32(0..100) < NON_IDEMPOTENT_PERCENT {
        Call::NonIdempotentService
    } else {
        Call::IdempotentService
    }
}

fn model_call(
    rng: &mut Rng,
    preset: &Preset,
    number: usize,
    document: usize,
    is_poison: bool,
) -> ModelCall {
    let marker = if is_poison { POISON_MARKER } else { "" };
    let question = text(rng, &format!("Question {number}{marker}:"), preset.question);
    let priority = match rng.u32(0..100) {
        draw if draw < preset.interactive_percent => "interactive",
        draw if draw % 10 == 0 => "batch",
        _ => "normal",
    };
    let max_tokens = rng.u32(preset.completion.least..=preset.completion.most);
    ModelCall { document, question, max_tokens, priority, is_poison }
}

/// Returns the weight of each document by rank.
fn popularity(documents: u32) -> Vec<f64> {
    (1..=documents).map(|rank| f64::from(rank).powf(-POPULARITY_EXPONENT)).collect()
}

/// Returns an index drawn by weight.
fn pick(rng: &mut Rng, weights: &[f64]) -> usize {
    let mut left = rng.f64() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

/// Returns text that starts with `title` and has as many tokens as drawn from `range`.
fn text(rng: &mut Rng, title: &str, range: TokenRange) -> String {
    let bytes = rng.u32(range.least..=range.most) as usize * TOKEN_BYTES;
    let mut text = title.to_owned();
    while text.len() < bytes {
        text.push(' ');
        for _ in 0..rng.usize(2..9) {
            text.push(rng.lowercase());
        }
    }
    text.truncate(bytes.max(title.len()));
    text
}
