//! Seeded generator of traces.
//!
//! The arrivals of each organisation are a Poisson process, with an optional surge of its rate. Models are drawn from a
//! Zipf-like distribution, so that most models are idle most of the time.

use guava_core::derive_value;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::trace::TraceRequest;

derive_value! {
    /// Traffic of one organisation.
    #[serde(deny_unknown_fields)]
    pub struct Source {
        /// Name of the organisation.
        pub organisation: String,
        /// Mean arrival rate outside the surge, in requests per second.
        pub requests_per_second: f64,
        /// Factor on the rate during the surge; 1 when absent.
        #[serde(default = "one")]
        pub surge_factor: f64,
    }

    /// Workload from which a trace is generated.
    #[serde(deny_unknown_fields)]
    pub struct Mix {
        /// Seed of the random number generator.
        pub seed: u64,
        /// Length of the trace in milliseconds.
        pub duration_ms: u64,
        /// Names of models and adapters, most popular first.
        pub models: Vec<String>,
        /// Zipf exponent of the popularity of models; zero is uniform.
        pub skew: f64,
        /// Traffic sources, one per organisation.
        pub sources: Vec<Source>,
        /// Start (inclusive) and end (exclusive) of the surge, in milliseconds from the start of the trace; no surge
        /// when absent.
        #[serde(default)]
        pub surge_ms: Option<(u64, u64)>,
        /// Smallest and largest prompt length in tokens, both inclusive.
        pub prompt_tokens: (u64, u64),
        /// Smallest and largest output length in tokens, both inclusive.
        pub output_tokens: (u64, u64),
        /// Whether responses are streamed; `false` when absent.
        #[serde(default)]
        pub stream: bool,
        /// Profile that all requests name; when absent, each model's own profile applies.
        #[serde(default)]
        pub profile: Option<String>,
        /// Whether each request carries an idempotency key of its own; `false` when absent.
        #[serde(default)]
        pub idempotency_keys: bool,
    }
}

fn one() -> f64 {
    1.0
}

/// Generates the trace of a mix in order of arrival. The same mix always gives the same trace.
pub fn generate(mix: &Mix) -> Vec<TraceRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(mix.seed);
    let weights: Vec<f64> = (1..=mix.models.len())
        .map(|rank| (rank as f64).powf(-mix.skew))
        .collect();
    let mut requests: Vec<TraceRequest> = mix
        .sources
        .iter()
        .flat_map(|source| arrivals(mix, source, &weights, &mut rng))
        .collect();
    requests.sort_by_key(|it| it.at_ms);
    requests
}

fn arrivals(mix: &Mix, source: &Source, weights: &[f64], rng: &mut ChaCha8Rng) -> Vec<TraceRequest> {
    let mut requests = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let in_surge = mix
            .surge_ms
            .is_some_and(|(start, end)| (start as f64..end as f64).contains(&at_ms));
        let rate_factor = if in_surge { source.surge_factor } else { 1.0 };
        let rate_per_ms = source.requests_per_second * rate_factor / 1_000.0;
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at_ms += -uniform.ln() / rate_per_ms;
        if !at_ms.is_finite() || at_ms >= mix.duration_ms as f64 {
            return requests;
        }
        let key = mix
            .idempotency_keys
            .then(|| format!("{}-{}", source.organisation, requests.len()));
        requests.push(TraceRequest {
            at_ms: at_ms as u64,
            organisation: source.organisation.clone(),
            model: mix.models[draw_index(weights, rng)].clone(),
            profile: mix.profile.clone(),
            prompt_tokens: rng.random_range(mix.prompt_tokens.0..=mix.prompt_tokens.1),
            output_tokens: rng.random_range(mix.output_tokens.0..=mix.output_tokens.1),
            stream: mix.stream,
            idempotency_key: key,
        });
    }
}

fn draw_index(weights: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut remaining = rng.random_range(0.0..weights.iter().sum());
    for (index, weight) in weights.iter().enumerate() {
        if remaining < *weight {
            return index;
        }
        remaining -= weight;
    }
    weights.len() - 1
}
