//! Life of a request and the rule that decides what a failed attempt means.

use std::sync::LazyLock;

use quick_error::quick_error;

use crate::chart::{self, Chart};
use crate::codes::Run;

derive_scalar! {
    /// Whether a request may run more than once.
    pub enum Class {
        /// A repeat has no further effect.
        Idempotent,
        /// A repeat has a further effect.
        NonIdempotent,
    }

    /// What is known about an attempt that ended without a whole answer.
    pub struct Attempt {
        /// Class of the request.
        pub class: Class,
        /// Bytes of the request that were handed to the connection.
        pub bytes_sent: u64,
        /// Bytes of the answer that were read from the backend server.
        pub bytes_received: u64,
        /// Bytes of the answer that were passed on to the caller.
        pub bytes_passed_on: u64,
    }
}

/// What a failed attempt means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent to another replica; `run` tells what to report when no attempt is left.
    Retry {
        /// Whether the failed attempt can have run.
        run: Run,
    },
    /// The request may have run and must not be sent again.
    OutcomeUnknown,
}

impl Attempt {
    /// Decides what the failed attempt means.
    ///
    /// An answer without a request that was written belongs to an earlier request on the connection, so received bytes
    /// count as evidence that the request was written.
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

macro_rules! names {
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

                /// Name in the chart.
                pub const fn as_str(self) -> &'static str {
                    match self { $(Self::$item => $text,)+ }
                }
            }
        )+
    };
}

names! {
    /// State of a request in `charts/request.toml`.
    RequestState {
        /// Taken from the caller, not yet checked.
        Received = "received",
        /// Waits for a replica.
        Waiting = "waiting",
        /// Goes to a replica.
        Sent = "sent",
        /// Its answer is being passed on.
        Answering = "answering",
        /// The whole answer was passed on.
        Finished = "finished",
        /// Refused, not run.
        Refused = "refused",
        /// Failed after it was sent.
        Failed = "failed",
    }

    /// Event of a request in `charts/request.toml`.
    RequestEvent {
        /// Checks and reservation succeeded.
        Admit = "admit",
        /// The request is refused.
        Refuse = "refuse",
        /// A replica was assigned.
        Send = "send",
        /// The attempt failed and another one is allowed.
        Retry = "retry",
        /// The answer begins.
        Answer = "answer",
        /// The answer is whole.
        Finish = "finish",
        /// The request failed for good.
        Fail = "fail",
    }
}

quick_error! {
    /// Event that the chart does not allow.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum LifecycleError {
        /// The chart has no such transition.
        NotAllowed(state: RequestState, event: RequestEvent) {
            display("event {} is not allowed in state {}", event.as_str(), state.as_str())
        }
    }
}

/// The chart as a table, because a request takes several steps and the chart looks transitions up by text.
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
        let row = |state: &RequestState| {
            let cell = |event: &RequestEvent| chart.next(state.as_str(), event.as_str()).and_then(state_named);
            RequestEvent::ALL.iter().map(cell).collect()
        };
        Self {
            initial: state_named(chart.initial()).expect("the initial state has a name in the code"),
            next: RequestState::ALL.iter().map(row).collect(),
        }
    }
}

fn state_named(text: &str) -> Option<RequestState> {
    RequestState::ALL.iter().copied().find(|it| it.as_str() == text)
}

/// State of one request.
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

    /// Takes a step.
    ///
    /// # Errors
    ///
    /// Fails and keeps the state when the chart has no such transition.
    pub fn step(&mut self, event: RequestEvent) -> Result<RequestState, LifecycleError> {
        let next = TABLE.next[self.state as usize][event as usize];
        self.state = next.ok_or(LifecycleError::NotAllowed(self.state, event))?;
        Ok(self.state)
    }
}
