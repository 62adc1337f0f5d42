//! Seeded generator of traces.
//!
//! Arrivals of each organisation are a Poisson process whose rate may be raised for a while. Models are drawn from a
//! Zipf-like distribution, so that most are idle most of the time.

use guava_core::derive_value;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::trace::TraceRequest;

derive_value! {
    /// One organisation's traffic.
    #[serde(deny_unknown_fields)]
    pub struct Source {
        /// Organisation.
        pub organisation: String,
        /// Requests a second.
        pub requests_per_second: f64,
        /// Factor on the rate during the surge.
        #[serde(default = "one")]
        pub surge_factor: f64,
    }

    /// Description of a mix.
    #[serde(deny_unknown_fields)]
    pub struct Mix {
        /// Seed of the generator.
        pub seed: u64,
        /// Length in milliseconds.
        pub duration_ms: u64,
        /// Models and adapters, most used first.
        pub models: Vec<String>,
        /// Exponent of the popularity of models; zero is uniform.
        pub skew: f64,
        /// Organisations.
        pub sources: Vec<Source>,
        /// Start and end of the surge in milliseconds.
        #[serde(default)]
        pub surge_ms: Option<(u64, u64)>,
        /// Smallest and largest prompt in tokens.
        pub prompt_tokens: (u64, u64),
        /// Smallest and largest answer in tokens.
        pub output_tokens: (u64, u64),
        /// Whether answers are streamed.
        #[serde(default)]
        pub stream: bool,
        /// Profile of all requests.
        #[serde(default)]
        pub profile: Option<String>,
        /// Whether each request carries its own idempotency key.
        #[serde(default)]
        pub idempotency_keys: bool,
    }
}

fn one() -> f64 {
    1.0
}

/// Generates the trace of a mix; the same mix always gives the same trace.
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
            .is_some_and(|(from, to)| (from as f64..to as f64).contains(&at_ms));
        let factor = if in_surge { source.surge_factor } else { 1.0 };
        let per_ms = source.requests_per_second * factor / 1_000.0;
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at_ms += -uniform.ln() / per_ms;
        if !at_ms.is_finite() || at_ms >= mix.duration_ms as f64 {
            return requests;
        }
        let key = mix
            .idempotency_keys
            .then(|| format!("{}-{}", source.organisation, requests.len()));
        requests.push(TraceRequest {
            at_ms: at_ms as u64,
            organisation: source.organisation.clone(),
            model: mix.models[pick(weights, rng)].clone(),
            profile: mix.profile.clone(),
            prompt_tokens: rng.random_range(mix.prompt_tokens.0..=mix.prompt_tokens.1),
            output_tokens: rng.random_range(mix.output_tokens.0..=mix.output_tokens.1),
            stream: mix.stream,
            idempotency_key: key,
        });
    }
}

fn pick(weights: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut left = rng.random_range(0.0..weights.iter().sum());
    for (index, weight) in weights.iter().enumerate() {
        if left < *weight {
            return index;
        }
        left -= weight;
    }
    weights.len() - 1
}
