//! Report of a run, computed from a trace and its samples.
//!
//! Its four measures are start latency, idle accelerator time, the worst-served organisation and refusals within the
//! rate.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::client::Sample;
use crate::trace::TraceRequest;

/// Largest latency that the histograms record; longer ones are clamped to it.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Token bucket limit of an organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Refill rate in tokens per second.
    pub rate: u64,
    /// Capacity of the bucket in tokens.
    pub burst: u64,
}

/// Percentiles of a set of latencies; all zero without samples.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Latency {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50: Duration,
    /// 95th percentile.
    pub p95: Duration,
    /// 99th percentile.
    pub p99: Duration,
    /// Maximum.
    pub max: Duration,
}

impl Latency {
    /// Computes the percentiles. Values are rounded to three significant digits; latencies below 1 µs count as 1 µs.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constant and valid.
    pub fn of(latencies: impl Iterator<Item = Duration>) -> Self {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).expect("bounds are valid");
        for latency in latencies {
            histogram.saturating_record((latency.as_micros() as u64).max(1));
        }
        if histogram.is_empty() {
            return Self::default();
        }
        let at = |quantile| Duration::from_micros(histogram.value_at_quantile(quantile));
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: at(1.0),
        }
    }
}

impl fmt::Display for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            count,
            p50,
            p95,
            p99,
            max,
        } = self;
        write!(f, "n={count} p50={p50:.1?} p95={p95:.1?} p99={p99:.1?} max={max:.1?}")
    }
}

/// Service that one organisation received.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct OrganisationReport {
    /// Prompt and output tokens of the requests that an ideal token bucket admits.
    pub entitled_tokens: u64,
    /// Tokens of the entitled requests that were answered completely.
    pub served_tokens: u64,
    /// Tokens of all requests that were answered completely.
    ///
    /// Above the rate, the system may admit other requests than the ideal bucket does; `served_tokens` alone then
    /// understates the service.
    pub answered_tokens: u64,
    /// Requests refused and not run although the ideal token bucket admits them.
    pub refused_within_rate: u64,
    /// Number of requests sent.
    pub requests: u64,
}

impl OrganisationReport {
    /// Fraction of the entitled tokens that was served; 1 when the organisation was entitled to none.
    pub fn served_ratio(&self) -> f64 {
        if self.entitled_tokens == 0 {
            1.0
        } else {
            self.served_tokens as f64 / self.entitled_tokens as f64
        }
    }
}

/// Measures of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Time to first byte of completely answered requests for which a replica had to be loaded.
    pub cold_start: Latency,
    /// Time to first byte of all other completely answered requests.
    pub warm_start: Latency,
    /// Time that accelerators spent without running requests, summed over all of them. Set by the caller; `None` when
    /// it was not measured.
    pub idle_accelerator: Option<Duration>,
    /// Service by name of the organisation.
    pub organisations: BTreeMap<String, OrganisationReport>,
    /// Number of requests with a status other than 200 by result code; `none` counts those without a code, including
    /// requests that got no response.
    pub codes: BTreeMap<String, u64>,
    /// Number of refusals within the rate, by result code.
    pub refused_within_rate_codes: BTreeMap<String, u64>,
    /// Number of responses with status 200 that were truncated.
    pub truncated: u64,
}

impl Report {
    /// Computes the measures; `samples` may be in any order, and their indices must lie within `trace`.
    ///
    /// Leaves `idle_accelerator` at `None`.
    pub fn new(trace: &[TraceRequest], samples: &[Sample], limits: &BTreeMap<String, Limit>) -> Self {
        let complete_samples = || samples.iter().filter(|it| it.complete);
        let mut report = Self {
            cold_start: Latency::of(complete_samples().filter(|it| it.cold).map(|it| it.first_byte)),
            warm_start: Latency::of(complete_samples().filter(|it| !it.cold).map(|it| it.first_byte)),
            idle_accelerator: None,
            organisations: BTreeMap::new(),
            codes: BTreeMap::new(),
            refused_within_rate_codes: BTreeMap::new(),
            truncated: samples.iter().filter(|it| it.status == 200 && !it.complete).count() as u64,
        };
        let admitted = ideal_admissions(trace, limits);
        for sample in samples {
            let req = &trace[sample.index];
            let entry = report.organisations.entry(req.organisation.clone()).or_default();
            entry.requests += 1;
            entry.answered_tokens += if sample.complete { req.tokens() } else { 0 };
            let code = sample.code.as_deref().unwrap_or("none");
            if admitted[sample.index] && sample.not_run {
                *report.refused_within_rate_codes.entry(code.to_owned()).or_default() += 1;
            }
            if admitted[sample.index] {
                entry.entitled_tokens += req.tokens();
                entry.served_tokens += if sample.complete { req.tokens() } else { 0 };
                entry.refused_within_rate += u64::from(sample.not_run);
            }
            if sample.status != 200 {
                *report.codes.entry(code.to_owned()).or_default() += 1;
            }
        }
        report
    }

    /// Name and served ratio of the organisation with the smallest served ratio; `None` without samples.
    pub fn worst_served(&self) -> Option<(&str, f64)> {
        let ratios = self
            .organisations
            .iter()
            .map(|(name, it)| (name.as_str(), it.served_ratio()));
        ratios.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Number of requests of all organisations that were refused within the rate.
    pub fn refused_within_rate(&self) -> u64 {
        self.organisations.values().map(|it| it.refused_within_rate).sum()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "cold start (first byte):       {}", self.cold_start)?;
        writeln!(f, "warm start (first byte):       {}", self.warm_start)?;
        match self.idle_accelerator {
            Some(idle) => writeln!(f, "idle accelerator hours:        {:.3}", idle.as_secs_f64() / 3_600.0)?,
            None => writeln!(
                f,
                "idle accelerator hours:        not measured (name controllers with --metrics)"
            )?,
        }
        if let Some((name, ratio)) = self.worst_served() {
            writeln!(
                f,
                "worst-served organisation:     {name} {:.1} % of its entitlement",
                ratio * 100.0
            )?;
        }
        let codes = self.refused_within_rate_codes.iter();
        let codes: Vec<_> = codes.map(|(code, count)| format!(" {code}: {count}")).collect();
        let codes = codes.concat();
        writeln!(
            f,
            "refused although within rate:  {}{codes}",
            self.refused_within_rate()
        )?;
        writeln!(f, "answers cut:                   {}", self.truncated)?;
        for (code, count) in &self.codes {
            writeln!(f, "code {code}: {count}")?;
        }
        for (name, it) in &self.organisations {
            let percent = it.served_ratio() * 100.0;
            writeln!(
                f,
                "organisation {name}: requests {} entitled tokens {} served {} ({percent:.1} %) answered {} refused within rate {}",
                it.requests, it.entitled_tokens, it.served_tokens, it.answered_tokens, it.refused_within_rate
            )?;
        }
        Ok(())
    }
}

/// For each request, whether an ideal token bucket of its organisation, full at the first request, admits it.
///
/// Requests of organisations without a limit are all admitted. `trace` must be in order of arrival.
pub fn ideal_admissions(trace: &[TraceRequest], limits: &BTreeMap<String, Limit>) -> Vec<bool> {
    let mut buckets: BTreeMap<&str, (f64, u64)> = BTreeMap::new();
    trace
        .iter()
        .map(|req| {
            let Some(limit) = limits.get(&req.organisation) else {
                return true;
            };
            let (level, last_ms) = buckets
                .entry(&req.organisation)
                .or_insert((limit.burst as f64, req.at_ms));
            let refill = limit.rate as f64 * (req.at_ms - *last_ms) as f64 / 1_000.0;
            *level = (*level + refill).min(limit.burst as f64);
            *last_ms = req.at_ms;
            let is_admitted = *level >= req.tokens() as f64;
            if is_admitted {
                *level -= req.tokens() as f64;
            }
            is_admitted
        })
        .collect()
}
