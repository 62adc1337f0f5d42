//! State charts read from files.
//!
//! A chart lists its states, its initial state and its transitions by event. [`Chart::parse`] refuses a chart with an
//! unknown or an unreachable state, so that a typing error is found at start and not in a rare transition.

use std::collections::{BTreeMap, BTreeSet};

use quick_error::quick_error;
use serde::Deserialize;

quick_error! {
    /// Fault of a chart.
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

/// A checked state chart.
#[derive(Debug, Clone)]
pub struct Chart {
    name: String,
    initial: String,
    transitions: BTreeMap<(String, String), String>,
}

impl Chart {
    /// Parses and checks the text of a chart file.
    ///
    /// # Errors
    ///
    /// Returns the first fault: malformed text, an unknown state, an ambiguous transition or an unreachable state.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile = toml::from_str(text).map_err(|error| ChartError::Malformed(error.to_string()))?;
        let states: BTreeSet<&str> = file.states.iter().map(String::as_str).collect();
        let named = file
            .transitions
            .iter()
            .flat_map(|it| [it.from.as_str(), it.to.as_str()]);
        let unknown = named
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

    /// Name of the chart.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Initial state.
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

/// Text of the chart of a replica.
pub const REPLICA: &str = include_str!("../charts/replica.toml");
/// Text of the chart of a backend server.
pub const SERVER: &str = include_str!("../charts/server.toml");
/// Text of the chart of a request.
pub const REQUEST: &str = include_str!("../charts/request.toml");
/// Text of the chart of a lease.
pub const LEASE: &str = include_str!("../charts/lease.toml");

/// Checks all charts that the programs interpret.
///
/// # Errors
///
/// Returns the fault of the first chart that has one.
pub fn check_all() -> Result<(), ChartError> {
    [REPLICA, SERVER, REQUEST, LEASE]
        .into_iter()
        .try_for_each(|text| Chart::parse(text).map(drop))
}
