//! Generated traffic: nested prompts about documents of uneven popularity, and service calls.

use crate::options::Fault;
use crate::preset::{Preset, TOKEN_BYTES, TokenRange, WORKSPACE_PERCENT};
use fastrand::Rng;
use serde_json::{Value, json};
use std::time::Duration;

/// Exponent of the Zipf distribution of document popularity.
const ZIPF_EXPONENT: f64 = 1.1;
/// Percentage of service calls among all arrivals.
const SERVICE_PERCENT: u32 = 8;
/// Fraction of model requests among all arrivals; the capacity of a site counts only these.
pub const MODEL_FRACTION: f64 = 1.0 - SERVICE_PERCENT as f64 / 100.0;
/// Percentage of non-idempotent calls among the service calls.
const NON_IDEMPOTENT_PERCENT: u32 = 50;
/// Number of poison requests under [`Fault::Poison`].
const POISON_REQUESTS: usize = 3;
/// Fraction of the run after which faults start.
pub const FAULT_START_FRACTION: f64 = 0.4;
/// Text that crashes an engine when a prompt contains it.
pub const POISON_MARKER: &str = "<<poison>>";

/// Call with the time at which it is sent.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time since the start of the run.
    pub offset: Duration,
    /// Sequence number of the arrival.
    pub number: usize,
    /// Index of the caller's workspace.
    pub workspace: usize,
    /// Call to send.
    pub call: Call,
}

/// Kind and content of a call.
#[derive(Clone, Debug)]
pub enum Call {
    /// Model request.
    Model(ModelCall),
    /// Idempotent call to the plain service.
    IdempotentService,
    /// Call to the plain service that must run at most once.
    NonIdempotentService,
}

/// Model request.
#[derive(Clone, Debug)]
pub struct ModelCall {
    /// Index of the document that the question is about.
    pub document: usize,
    /// Text of the question.
    pub question: String,
    /// Number of tokens to generate.
    pub max_tokens: u32,
    /// Value of the header `x-priority`.
    pub priority: &'static str,
    /// Whether the prompt crashes the engine.
    pub is_poison: bool,
}

/// Prompt texts and arrivals of a run.
pub struct Workload {
    preambles: Vec<String>,
    documents: Vec<Vec<String>>,
    model: &'static str,
    /// Arrivals, sorted by time.
    pub arrivals: Vec<Arrival>,
}

impl Workload {
    /// Generates `requests` Poisson arrivals at a mean rate of `rate_per_s` from `seed`.
    pub fn new(
        preset: &Preset,
        seed: u64,
        requests: usize,
        rate_per_s: f64,
        faults: &[Fault],
    ) -> Self {
        let mut rng = Rng::with_seed(seed);
        let workspaces = 0..WORKSPACE_PERCENT.len();
        let preambles = workspaces
            .clone()
            .map(|workspace| {
                random_text(
                    &mut rng,
                    &format!("Rules of team {workspace}."),
                    preset.preamble_tokens,
                )
            })
            .collect();
        let documents = workspaces
            .map(|workspace| {
                let title = |document| format!("Document {document} of team {workspace}.");
                (0..preset.documents_per_workspace)
                    .map(|document| random_text(&mut rng, &title(document), preset.document_tokens))
                    .collect()
            })
            .collect();
        let arrivals = generate_arrivals(&mut rng, preset, requests, rate_per_s, faults);
        Self { preambles, documents, model: preset.model, arrivals }
    }

    /// Returns the time of the fault since the start of the run.
    pub fn fault_offset(&self) -> Duration {
        self.duration().mul_f64(FAULT_START_FRACTION)
    }

    /// Returns the time of the last arrival since the start of the run.
    pub fn duration(&self) -> Duration {
        self.arrivals.last().map_or(Duration::ZERO, |arrival| arrival.offset)
    }

    /// Returns the JSON body of a model request.
    pub fn request_body(&self, workspace: usize, call: &ModelCall) -> Value {
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

    /// Returns the prompt as an engine derives it from the body.
    pub fn prompt(&self, workspace: usize, call: &ModelCall) -> String {
        let preamble = &self.preambles[workspace];
        let document = &self.documents[workspace][call.document];
        format!("system\n{preamble}user\n{document}user\n{}", call.question)
    }

    /// Returns the model that all requests name.
    pub fn model(&self) -> &'static str {
        self.model
    }
}

fn generate_arrivals(
    rng: &mut Rng,
    preset: &Preset,
    requests: usize,
    rate_per_s: f64,
    faults: &[Fault],
) -> Vec<Arrival> {
    let popularity = popularity_weights(preset.documents_per_workspace);
    let fault_start_number = (requests as f64 * FAULT_START_FRACTION) as usize;
    let has_hot_shift = faults.contains(&Fault::HotShift);
    let has_poison = faults.contains(&Fault::Poison);
    let mut offset_s = 0.0;
    let mut arrivals = Vec::with_capacity(requests);
    for number in 0..requests {
        offset_s += -(1.0 - rng.f64()).ln() / rate_per_s;
        let workspace = weighted_index(rng, &WORKSPACE_PERCENT.map(f64::from));
        let is_poison = has_poison
            && (fault_start_number..fault_start_number + POISON_REQUESTS).contains(&number);
        let call = if !is_poison && rng.u32(0..100) < SERVICE_PERCENT {
            random_service_call(rng)
        } else {
            let rank = weighted_index(rng, &popularity);
            // The shift reverses the popularity ranks.
            let is_shifted = has_hot_shift && number >= fault_start_number;
            let document = if is_shifted { popularity.len() - 1 - rank } else { rank };
            Call::Model(random_model_call(rng, preset, number, document, is_poison))
        };
        arrivals.push(Arrival {
            offset: Duration::from_secs_f64(offset_s),
            number,
            workspace,
            call,
        });
    }
    arrivals
}

fn random_service_call(rng: &mut Rng) -> Call {
    if rng.u32(0..100) < NON_IDEMPOTENT_PERCENT {
        Call::NonIdempotentService
    } else {
        Call::IdempotentService
    }
}

fn random_model_call(
    rng: &mut Rng,
    preset: &Preset,
    number: usize,
    document: usize,
    is_poison: bool,
) -> ModelCall {
    let marker = if is_poison { POISON_MARKER } else { "" };
    let question = random_text(rng, &format!("Question {number}{marker}:"), preset.question_tokens);
    let priority = match rng.u32(0..100) {
        draw if draw < preset.interactive_percent => "interactive",
        draw if draw % 10 == 0 => "batch",
        _ => "normal",
    };
    let max_tokens = rng.u32(preset.completion_tokens.min..=preset.completion_tokens.max);
    ModelCall { document, question, max_tokens, priority, is_poison }
}

/// Returns the popularity weight of each document, by rank.
fn popularity_weights(documents: u32) -> Vec<f64> {
    (1..=documents).map(|rank| f64::from(rank).powf(-ZIPF_EXPONENT)).collect()
}

/// Returns a random index, drawn in proportion to `weights`.
fn weighted_index(rng: &mut Rng, weights: &[f64]) -> usize {
    let mut remaining = rng.f64() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

/// Returns random words after `title`, with a total length drawn from `range`.
fn random_text(rng: &mut Rng, title: &str, range: TokenRange) -> String {
    let bytes = rng.u32(range.min..=range.max) as usize * TOKEN_BYTES;
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
