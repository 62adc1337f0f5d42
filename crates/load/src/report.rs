//! The four measures, computed from a trace and its samples.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::client::Sample;
use crate::trace::TraceRequest;

/// Longest latency that the histograms tell apart, in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Rate and burst of an organisation, in tokens a second and tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Tokens a second.
    pub rate: u64,
    /// Tokens at once.
    pub burst: u64,
}

/// Latencies at the usual percentiles.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Latency {
    /// Samples.
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
    /// Percentiles of latencies.
    ///
    /// # Panics
    ///
    /// Never in practice: the bounds of the histogram are constant.
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

/// How one organisation fared.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct OrganisationReport {
    /// Tokens of requests that an ideal token bucket admits.
    pub entitled_tokens: u64,
    /// Tokens of those requests that were answered whole.
    pub served_tokens: u64,
    /// Tokens of all requests that were answered whole.
    ///
    /// Beyond the rate a system may admit other requests than the ideal bucket does. Then `served_tokens` alone
    /// understates the service.
    pub answered_tokens: u64,
    /// Requests refused although the ideal token bucket admits them.
    pub refused_within_rate: u64,
    /// Requests sent.
    pub requests: u64,
}

impl OrganisationReport {
    /// Part of the entitled tokens that was served.
    pub fn served_ratio(&self) -> f64 {
        if self.entitled_tokens == 0 {
            1.0
        } else {
            self.served_tokens as f64 / self.entitled_tokens as f64
        }
    }
}

/// Result of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// First byte of requests for which a replica had to be loaded.
    pub cold_start: Latency,
    /// First byte of all other answered requests.
    pub warm_start: Latency,
    /// Accelerator time without running requests, when the caller knows it.
    pub idle_accelerator: Option<Duration>,
    /// By organisation.
    pub organisations: BTreeMap<String, OrganisationReport>,
    /// Refusals and failures by result code; `none` counts requests without an answer.
    pub codes: BTreeMap<String, u64>,
    /// Refusals although within the rate, by result code.
    pub refused_within_rate_codes: BTreeMap<String, u64>,
    /// Answers with status 200 that were not whole.
    pub cut: u64,
}

impl Report {
    /// Computes the measures.
    pub fn new(trace: &[TraceRequest], samples: &[Sample], limits: &BTreeMap<String, Limit>) -> Self {
        let answered = || samples.iter().filter(|it| it.whole);
        let mut report = Self {
            cold_start: Latency::of(answered().filter(|it| it.cold).map(|it| it.first_byte)),
            warm_start: Latency::of(answered().filter(|it| !it.cold).map(|it| it.first_byte)),
            idle_accelerator: None,
            organisations: BTreeMap::new(),
            codes: BTreeMap::new(),
            refused_within_rate_codes: BTreeMap::new(),
            cut: samples.iter().filter(|it| it.status == 200 && !it.whole).count() as u64,
        };
        let admitted = ideal_admissions(trace, limits);
        for sample in samples {
            let req = &trace[sample.index];
            let entry = report.organisations.entry(req.organisation.clone()).or_default();
            entry.requests += 1;
            entry.answered_tokens += if sample.whole { req.tokens() } else { 0 };
            let code = sample.code.as_deref().unwrap_or("none");
            if admitted[sample.index] && sample.not_run {
                *report.refused_within_rate_codes.entry(code.to_owned()).or_default() += 1;
            }
            if admitted[sample.index] {
                entry.entitled_tokens += req.tokens();
                entry.served_tokens += if sample.whole { req.tokens() } else { 0 };
                entry.refused_within_rate += u64::from(sample.not_run);
            }
            if sample.status != 200 {
                *report.codes.entry(code.to_owned()).or_default() += 1;
            }
        }
        report
    }

    /// The organisation that got the smallest part of what it was entitled to.
    pub fn worst_served(&self) -> Option<(&str, f64)> {
        let ratios = self
            .organisations
            .iter()
            .map(|(name, it)| (name.as_str(), it.served_ratio()));
        ratios.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Requests refused although within the organisation's rate.
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
        writeln!(f, "answers cut:                   {}", self.cut)?;
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

/// For each request, whether a single token bucket per organisation admits it; without a limit all are admitted.
pub fn ideal_admissions(trace: &[TraceRequest], limits: &BTreeMap<String, Limit>) -> Vec<bool> {
    let mut levels: BTreeMap<&str, (f64, u64)> = BTreeMap::new();
    trace
        .iter()
        .map(|req| {
            let Some(limit) = limits.get(&req.organisation) else {
                return true;
            };
            let (level, last) = levels
                .entry(&req.organisation)
                .or_insert((limit.burst as f64, req.at_ms));
            let accrued = limit.rate as f64 * (req.at_ms - *last) as f64 / 1_000.0;
            *level = (*level + accrued).min(limit.burst as f64);
            *last = req.at_ms;
            let is_admitted = *level >= req.tokens() as f64;
            if is_admitted {
                *level -= req.tokens() as f64;
            }
            is_admitted
        })
        .collect()
}
