//! State charts read from files.
//!
//! A chart lists its states, its initial state and its transitions by event. [`Chart::parse`] rejects unknown and
//! unreachable states, so that a typo is found at start rather than in a rare transition.

use std::collections::{BTreeMap, BTreeSet};

use quick_error::quick_error;
use serde::Deserialize;

quick_error! {
    /// Reason why a chart file was rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    #[expect(missing_docs, reason = "quick-error variants carry their text in display")]
    pub enum ChartError {
        Malformed(message: String) {
            display("chart is malformed: {message}")
        }
        UnknownState(state: String) {
            display("chart names the unknown state {state}")
        }
        UnreachableState(state: String) {
            display("state {state} cannot be reached")
        }
        Ambiguous(from: String, event: String) {
            display("state {from} has two transitions for event {event}")
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    name: String,
    initial: String,
    states: Vec<String>,
    transitions: Vec<Transition>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Transition {
    from: String,
    event: String,
    to: String,
}

/// A validated state chart.
#[derive(Debug, Clone)]
pub struct Chart {
    name: String,
    initial: String,
    transitions: BTreeMap<(String, String), String>,
}

impl Chart {
    /// Parses and validates the text of a chart file.
    ///
    /// # Errors
    ///
    /// Returns the first error: malformed text, an unknown state, an ambiguous transition or an unreachable state.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile = toml::from_str(text).map_err(|error| ChartError::Malformed(error.to_string()))?;
        let states: BTreeSet<&str> = file.states.iter().map(String::as_str).collect();
        let referenced = file
            .transitions
            .iter()
            .flat_map(|it| [it.from.as_str(), it.to.as_str()]);
        let unknown = referenced
            .chain([file.initial.as_str()])
            .find(|state| !states.contains(state));
        if let Some(state) = unknown {
            return Err(ChartError::UnknownState(state.to_owned()));
        }
        let mut transitions = BTreeMap::new();
        for it in &file.transitions {
            let key = (it.from.clone(), it.event.clone());
            if transitions.insert(key, it.to.clone()).is_some() {
                return Err(ChartError::Ambiguous(it.from.clone(), it.event.clone()));
            }
        }
        let reachable = reachable(&file.initial, &file.transitions);
        if let Some(state) = states.iter().find(|state| !reachable.contains(*state)) {
            return Err(ChartError::UnreachableState((*state).to_owned()));
        }
        Ok(Self {
            name: file.name.clone(),
            initial: file.initial.clone(),
            transitions,
        })
    }

    /// Name that the chart file gives.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// State in which every instance starts.
    pub fn initial(&self) -> &str {
        &self.initial
    }

    /// State after `event` in `state`, or `None` when the chart has no such transition.
    pub fn next(&self, state: &str, event: &str) -> Option<&str> {
        self.transitions
            .get(&(state.to_owned(), event.to_owned()))
            .map(String::as_str)
    }
}

fn reachable<'a>(initial: &'a str, transitions: &'a [Transition]) -> BTreeSet<&'a str> {
    let mut found = BTreeSet::from([initial]);
    loop {
        let next: Vec<&str> = transitions
            .iter()
            .filter(|it| found.contains(it.from.as_str()) && !found.contains(it.to.as_str()))
            .map(|it| it.to.as_str())
            .collect();
        if next.is_empty() {
            return found;
        }
        found.extend(next);
    }
}

/// TOML text of the replica chart.
pub const REPLICA: &str = include_str!("../charts/replica.toml");
/// TOML text of the backend server chart.
pub const SERVER: &str = include_str!("../charts/server.toml");
/// TOML text of the request chart.
pub const REQUEST: &str = include_str!("../charts/request.toml");
/// TOML text of the lease chart.
pub const LEASE: &str = include_str!("../charts/lease.toml");

/// Validates all charts that the programs interpret.
///
/// # Errors
///
/// Returns the first error of the first invalid chart.
pub fn check_all() -> Result<(), ChartError> {
    [REPLICA, SERVER, REQUEST, LEASE]
        .into_iter()
        .try_for_each(|text| Chart::parse(text).map(drop))
}
