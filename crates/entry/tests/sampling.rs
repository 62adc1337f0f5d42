//! Tests of the limit on log lines under load.

use std::collections::BTreeSet;

use guava_core::events::Event;
use guava_core::units::Millis;
use guava_entry::sampling::Sampler;

/// Requests of a burst within a second.
const BURST: usize = 10_000;
/// Lines of a kind that are always written in a window.
const UNSAMPLED: usize = 200;

fn written(sampler: &mut Sampler, event: Event) -> BTreeSet<String> {
    let ids = (0..BURST).map(|at| format!("{at:016x}"));
    ids.filter(|id| sampler.admit(event, id)).collect()
}

/// Guards against a burst of requests whose log lines take the processor time that the requests need.
#[test]
fn a_burst_is_sampled_and_suppressed_lines_are_counted() {
    let mut sampler = Sampler::default();
    sampler.roll_window(Millis(10_000));

    let sent = written(&mut sampler, Event::RequestSent).len();

    assert!(sent > UNSAMPLED && sent < BURST / 8, "{sent} of {BURST}");
    assert!(
        sampler.roll_window(Millis(10_900)).is_empty(),
        "the window has not ended"
    );
    let suppressed = sampler.roll_window(Millis(11_000));
    assert_eq!(suppressed[&Event::RequestSent], (BURST - sent) as u64);
}

/// Guards against sampled requests of which only some lines are kept.
#[test]
fn the_same_requests_are_kept_for_each_kind() {
    let mut sampler = Sampler::default();

    let sent = written(&mut sampler, Event::RequestSent);
    let finished = written(&mut sampler, Event::RequestFinished);

    assert_eq!(sent, finished);
}

/// Guards against a first failure that is suppressed because of many other lines.
#[test]
fn first_failures_are_written() {
    let mut sampler = Sampler::default();
    written(&mut sampler, Event::RequestSent);

    assert!((0..UNSAMPLED).all(|at| sampler.admit(Event::RequestFailed, &format!("failed-{at}"))));
    assert!(sampler.admit(Event::LeaseLost, "-"));
}
