//! Membership protocol over a simulated network with packet loss, pauses and cut links.

use std::net::SocketAddr;

use guava_core::ids::{Incarnation, MemberId, Role, Zone};
use guava_core::membership::{Body, MemberEvent, MemberInfo, MemberState, Membership, Message, Output, Standing};
use guava_core::units::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const STEP_MS: u64 = 100;

fn member(index: usize, incarnation: u64) -> MemberInfo {
    MemberInfo {
        id: MemberId::new(format!("vm{index}"), Role::Router),
        incarnation: Incarnation(incarnation),
        zone: Zone::new("z1"),
        gossip_addr: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
        rpc_addr: SocketAddr::from(([127, 0, 0, 1], 2_000 + index as u16)),
    }
}

/// Simulated network that delivers each message one step after it was sent.
struct Network {
    rng: ChaCha8Rng,
    now: Millis,
    members: Vec<Membership>,
    stopped: Vec<bool>,
    inboxes: Vec<Vec<Message>>,
    is_cut: fn(usize, usize) -> bool,
    loss_probability: f64,
    events: Vec<(usize, MemberEvent)>,
}

impl Network {
    fn new(count: usize, seed: u64) -> Self {
        let mut network = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Millis(0),
            members: (0..count).map(|it| Membership::new(member(it, 1), Millis(0))).collect(),
            stopped: vec![false; count],
            inboxes: vec![Vec::new(); count],
            is_cut: |_, _| false,
            loss_probability: 0.0,
            events: Vec::new(),
        };
        for index in 1..count {
            let mut out = Output::default();
            network.members[index].ping_seed(member(0, 1).gossip_addr, &mut out);
            network.deliver(index, out);
        }
        network
    }

    fn run(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms;
        while self.now < end {
            self.now = self.now + STEP_MS;
            for index in 0..self.members.len() {
                self.step(index);
            }
        }
    }

    fn step(&mut self, index: usize) {
        if self.stopped[index] {
            return;
        }
        for message in std::mem::take(&mut self.inboxes[index]) {
            let out = self.members[index].receive(message, self.now);
            self.deliver(index, out);
        }
        let out = self.members[index].tick(false, self.now, &mut self.rng);
        self.deliver(index, out);
    }

    fn deliver(&mut self, from: usize, out: Output) {
        self.events.extend(out.events.into_iter().map(|it| (from, it)));
        for (addr, message) in out.send {
            let to = usize::from(addr.port() - 1_000);
            let is_lost = (self.is_cut)(from, to) || self.rng.random_bool(self.loss_probability);
            if !is_lost {
                self.inboxes[to].push(message);
            }
        }
    }

    fn standing(&self, observer: usize, subject: usize) -> Option<Standing> {
        self.members[observer]
            .state(&member(subject, 1).id)
            .map(|it| it.standing)
    }

    fn standings_at_others(&self, subject: usize) -> Vec<Option<Standing>> {
        let others = (0..self.members.len()).filter(|it| *it != subject && !self.stopped[*it]);
        others.map(|it| self.standing(it, subject)).collect()
    }
}

/// Guards against members that are not discovered, or are marked down by mistake, when a tenth of the datagrams is
/// lost.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn members_are_discovered_and_stay_alive_despite_packet_loss(#[case] seed: u64) {
    let mut network = Network::new(12, seed);
    network.loss_probability = 0.1;

    network.run(120_000);

    for index in 0..12 {
        assert_eq!(network.members[index].others().count(), 11);
    }
    let downs = network
        .events
        .iter()
        .filter(|(_, it)| matches!(it, MemberEvent::Down(_)));
    assert_eq!(downs.count(), 0);
}

/// Guards against a crashed member that stays alive in the views of the others.
#[test]
fn unresponsive_member_is_suspected_and_then_marked_down() {
    let mut network = Network::new(8, 5);
    network.run(20_000);
    network.stopped[3] = true;

    network.run(60_000);

    assert!(
        network
            .standings_at_others(3)
            .iter()
            .all(|it| *it == Some(Standing::Down))
    );
    let suspected = |it: &MemberEvent| matches!(it, MemberEvent::Suspected(member) if member.id.vm.as_str() == "vm3");
    assert!(network.events.iter().any(|(_, it)| suspected(it)));
}

/// Guards against a member that stays suspect or down after a pause, and against a refutation that changes its
/// incarnation, by which leases and quota shares identify their holder.
#[rstest]
#[case::suspected(6_000)]
#[case::down(40_000)]
fn paused_member_refutes_without_a_new_incarnation(#[case] pause_ms: u64) {
    let mut network = Network::new(6, 7);
    network.run(20_000);
    network.stopped[2] = true;
    network.run(pause_ms);
    assert!(network.standings_at_others(2).contains(&Some(Standing::Suspect)) || pause_ms > 6_000);
    network.stopped[2] = false;

    network.run(60_000);

    assert!(
        network
            .standings_at_others(2)
            .iter()
            .all(|it| *it == Some(Standing::Alive))
    );
    for index in [0, 1, 3, 4, 5] {
        let state = network.members[index].state(&member(2, 1).id).unwrap();
        assert_eq!(state.member.incarnation, Incarnation(1));
        assert!(state.refutation > 0);
    }
}

/// Guards against a partition that never heals because each side pings only members that are alive in its view.
#[test]
fn partition_heals() {
    let mut network = Network::new(8, 11);
    network.run(20_000);
    network.is_cut = |from, to| (from < 4) != (to < 4);
    network.run(60_000);
    assert_eq!(network.members[0].others().count(), 3);
    network.is_cut = |_, _| false;

    network.run(120_000);

    for index in 0..8 {
        assert_eq!(network.members[index].others().count(), 7);
    }
}

/// Guards against a cut link between two members that gets one of them marked down.
#[test]
fn single_cut_link_marks_no_member_down() {
    let mut network = Network::new(6, 13);
    network.run(20_000);
    network.is_cut = |from, to| (from.min(to), from.max(to)) == (0, 1);

    network.run(120_000);

    let downs = network
        .events
        .iter()
        .filter(|(_, it)| matches!(it, MemberEvent::Down(_)));
    assert_eq!(downs.count(), 0);
}

/// Guards against an outdated message that makes a member alive again after it left, or that overrides the state of a
/// restarted member by that of its earlier incarnation.
#[test]
fn later_incarnation_or_state_overrides_an_earlier_one() {
    let mut membership = Membership::new(member(0, 1), Millis(0));
    let state = |incarnation, standing| MemberState {
        member: member(1, incarnation),
        refutation: 0,
        standing,
    };
    let mut out = Output::default();
    let now = Millis(1);
    let standing = |it: &Membership| {
        let state = it.state(&member(1, 0).id).unwrap();
        (state.member.incarnation.0, state.standing)
    };

    membership.merge(vec![state(5, Standing::Alive), state(5, Standing::Down)], now, &mut out);
    membership.merge(vec![state(5, Standing::Alive)], now, &mut out);
    assert_eq!(standing(&membership), (5, Standing::Down));
    membership.merge(vec![state(6, Standing::Alive), state(5, Standing::Down)], now, &mut out);
    assert_eq!(standing(&membership), (6, Standing::Alive));
}

/// Guards against a process that marks a suspect member down right after a pause, before it reads the refutation that
/// arrived meanwhile.
#[rstest]
#[case::resumed(true, Standing::Suspect)]
#[case::without_resume(false, Standing::Down)]
fn resume_after_a_pause_restarts_suspicion_timeouts(#[case] resumes: bool, #[case] standing: Standing) {
    let mut network = Network::new(1, 17);
    let suspicion = MemberState {
        member: member(1, 1),
        refutation: 0,
        standing: Standing::Suspect,
    };
    let alive = MemberState {
        standing: Standing::Alive,
        ..suspicion.clone()
    };
    let membership = &mut network.members[0];
    membership.merge(vec![alive, suspicion], Millis(100), &mut Output::default());
    let resumed = Millis(60_000);

    if resumes {
        membership.resume(resumed);
    }
    membership.tick(false, resumed, &mut network.rng);

    assert_eq!(network.standing(0, 1), Some(standing));
}

/// Guards against a process that keeps running although a later incarnation of it exists.
#[test]
fn later_incarnation_of_this_process_is_reported() {
    let mut membership = Membership::new(member(0, 5), Millis(0));
    let later = MemberState {
        member: member(0, 6),
        refutation: 0,
        standing: Standing::Alive,
    };
    let mut out = Output::default();

    membership.merge(vec![later], Millis(1), &mut out);

    assert_eq!(out.events, [MemberEvent::Superseded(Incarnation(6))]);
}

/// Guards against a process that gossips all members that it has learned by a pull at its start. In a large fleet this
/// would delay new changes for hours.
#[test]
fn members_learned_by_a_pull_are_not_gossiped() {
    let mut membership = Membership::new(member(0, 1), Millis(0));
    let state = |index, standing| MemberState {
        member: member(index, 1),
        refutation: 0,
        standing,
    };
    let mut out = Output::default();
    let pulled = (1..100).map(|it| state(it, Standing::Alive)).collect();
    membership.merge(pulled, Millis(1), &mut out);
    assert_eq!(membership.others().count(), 99);
    let ping = Message {
        from: member(1, 1),
        refutation: 0,
        body: Body::Ping { sequence: 1 },
        changes: vec![state(100, Standing::Alive)],
    };

    membership.merge(vec![state(2, Standing::Suspect)], Millis(2), &mut out);
    let output = membership.receive(ping, Millis(3));

    let gossiped: Vec<_> = output.send.iter().flat_map(|(_, it)| &it.changes).collect();
    let expected = [state(100, Standing::Alive), state(2, Standing::Suspect)];
    assert_eq!(gossiped, expected.iter().collect::<Vec<_>>());
}
