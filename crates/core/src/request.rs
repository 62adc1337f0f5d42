//! Lifecycle of a request, and the rule for retrying after a failed attempt.

use std::sync::LazyLock;

use quick_error::quick_error;

use crate::chart::{self, Chart};
use crate::codes::Run;

derive_scalar! {
    /// Whether a request may run more than once.
    pub enum Class {
        /// Running it again has no further effect.
        Idempotent,
        /// Running it again may have a further effect.
        NonIdempotent,
    }

    /// What is known about an attempt that ended without a complete answer.
    pub struct Attempt {
        /// Class of the request.
        pub class: Class,
        /// Bytes of the request that were written to the connection.
        pub bytes_sent: u64,
        /// Bytes of the answer that were read from the backend server.
        pub bytes_received: u64,
        /// Bytes of the answer that were forwarded to the caller.
        pub bytes_passed_on: u64,
    }
}

/// Consequence of a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent to another replica. When no attempt is left, `run` is reported to the caller.
    Retry {
        /// Whether the failed attempt may have run.
        run: Run,
    },
    /// The request may have run and must not be sent again.
    OutcomeUnknown,
}

impl Attempt {
    /// Decides whether the request may be retried.
    ///
    /// A request that may have run is retried only when it is idempotent and no byte of an answer has been forwarded.
    /// Received bytes count as evidence that the request was written: an answer without a written request would belong to
    /// an earlier request on the connection.
    pub fn verdict(self) -> Verdict {
        let may_have_run = self.bytes_sent > 0 || self.bytes_received > 0 || self.bytes_passed_on > 0;
        if !may_have_run {
            return Verdict::Retry { run: Run::NotRun };
        }
        match self.class {
            Class::Idempotent if self.bytes_passed_on == 0 => Verdict::Retry {
                run: Run::OutcomeUnknown,
            },
            Class::Idempotent | Class::NonIdempotent => Verdict::OutcomeUnknown,
        }
    }
}

macro_rules! named_values {
    ($($(#[$meta:meta])* $name:ident { $($(#[$item_meta:meta])* $item:ident = $text:literal,)+ })+) => {
        $(
            $(#[$meta])*
            #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
            pub enum $name {
                $($(#[$item_meta])* $item,)+
            }

            impl $name {
                /// All values in order of declaration.
                pub const ALL: &'static [Self] = &[$(Self::$item,)+];

                /// Name of the value in the chart.
                pub const fn as_str(self) -> &'static str {
                    match self { $(Self::$item => $text,)+ }
                }
            }
        )+
    };
}

named_values! {
    /// State of a request, as in `charts/request.toml`.
    RequestState {
        /// Received from the caller, not yet checked.
        Received = "received",
        /// Waiting for a replica.
        Waiting = "waiting",
        /// Sent to a replica whose answer has not begun.
        Sent = "sent",
        /// The answer is being forwarded to the caller.
        Answering = "answering",
        /// The complete answer has been forwarded.
        Finished = "finished",
        /// Refused without having run.
        Refused = "refused",
        /// Failed after it was sent.
        Failed = "failed",
    }

    /// Event in the lifecycle of a request, as in `charts/request.toml`.
    RequestEvent {
        /// The request passed its checks and its tokens were reserved.
        Admit = "admit",
        /// The request was refused.
        Refuse = "refuse",
        /// A replica was assigned.
        Send = "send",
        /// The attempt failed and the request may be retried.
        Retry = "retry",
        /// The first part of the answer was received.
        Answer = "answer",
        /// The answer is complete.
        Finish = "finish",
        /// The request failed and is not retried.
        Fail = "fail",
    }
}

quick_error! {
    /// Event that is not allowed in the present state.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum LifecycleError {
        /// The chart has no such transition.
        NotAllowed(state: RequestState, event: RequestEvent) {
            display("event {} is not allowed in state {}", event.as_str(), state.as_str())
        }
    }
}

/// The chart as a table indexed by state and event. Every request takes several steps, and the chart looks transitions
/// up by text.
static TABLE: LazyLock<Table> = LazyLock::new(|| {
    let chart = Chart::parse(chart::REQUEST).expect("charts are checked at start");
    Table::new(&chart)
});

#[derive(Debug)]
struct Table {
    initial: RequestState,
    next: Vec<Vec<Option<RequestState>>>,
}

impl Table {
    fn new(chart: &Chart) -> Self {
        let transitions_from = |state: &RequestState| {
            let next_state = |event: &RequestEvent| chart.next(state.as_str(), event.as_str()).and_then(state_named);
            RequestEvent::ALL.iter().map(next_state).collect()
        };
        Self {
            initial: state_named(chart.initial()).expect("the initial state has a name in the code"),
            next: RequestState::ALL.iter().map(transitions_from).collect(),
        }
    }
}

fn state_named(text: &str) -> Option<RequestState> {
    RequestState::ALL.iter().copied().find(|it| it.as_str() == text)
}

/// Lifecycle of one request; starts in the chart's initial state.
#[derive(Debug, Clone, Copy)]
pub struct Lifecycle {
    state: RequestState,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self { state: TABLE.initial }
    }
}

impl Lifecycle {
    /// Current state.
    pub fn state(self) -> RequestState {
        self.state
    }

    /// Changes the state by an event and returns the new state.
    ///
    /// # Errors
    ///
    /// Fails and leaves the state unchanged when the chart has no such transition.
    pub fn step(&mut self, event: RequestEvent) -> Result<RequestState, LifecycleError> {
        let next = TABLE.next[self.state as usize][event as usize];
        self.state = next.ok_or(LifecycleError::NotAllowed(self.state, event))?;
        Ok(self.state)
    }
}
