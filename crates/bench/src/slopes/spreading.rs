//! Number of gossip rounds until a change has reached all members, simulated with the gossip map's own logic and seeded
//! random numbers.
//!
//! A push round takes the 5 ms for which the runtime batches changes plus the delay of a message. Members that pushes
//! missed are repaired through heartbeats: each member sends and answers one a second on average.

use guava_core::gossip::{GossipMap, choose_receivers};
use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::{Series, gossip};

const SIZES: [usize; 3] = [18, 300, 4_500];
const DESIGN_SIZE: f64 = 4_500.0;
/// Number of runs with different seeds.
const RUNS: u64 = 10;
/// Datagrams lost per thousand.
const LOSS_PER_1000: u32 = 10;

struct Outcome {
    push_rounds: f64,
    missed_percent: f64,
    heartbeat_seconds: f64,
    datagrams: f64,
    pulls: f64,
}

struct Fleet {
    maps: Vec<GossipMap>,
    members: Vec<usize>,
    rng: ChaCha8Rng,
    datagrams: usize,
    pulls: usize,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        Self {
            maps: (0..size).map(|_| GossipMap::default()).collect(),
            members: (0..size).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            datagrams: 0,
            pulls: 0,
        }
    }

    fn missing(&self) -> usize {
        self.maps.iter().filter(|it| it.is_empty()).count()
    }

    /// Delivers the queued pushes of all members; false when none arrived.
    fn push_round(&mut self) -> bool {
        let mut arriving = Vec::new();
        for from in 0..self.maps.len() {
            if !self.maps[from].has_queued() {
                continue;
            }
            for push in self.maps[from].take_pushes(usize::MAX) {
                for receiver in choose_receivers(&self.members, &mut self.rng) {
                    self.datagrams += 1;
                    if receiver != from && self.rng.random_range(0..1_000) >= LOSS_PER_1000 {
                        arriving.push((receiver, push.clone()));
                    }
                }
            }
        }
        let has_arrivals = !arriving.is_empty();
        for (receiver, push) in arriving {
            for entry in push.entries {
                self.maps[receiver].merge(std::sync::Arc::unwrap_or_clone(entry));
            }
        }
        has_arrivals
    }

    /// One second of heartbeats: a member that receives a digest other than its own pulls from the sender.
    fn heartbeat_round(&mut self) {
        let mut order = self.members.clone();
        order.shuffle(&mut self.rng);
        for from in order {
            let to = self.rng.random_range(0..self.maps.len());
            for (receiver, sender) in [(to, from), (from, to)] {
                if self.maps[receiver].digest() != self.maps[sender].digest() {
                    self.pulls += 1;
                    let buckets = self.maps[sender].differing(self.maps[receiver].digests());
                    let (entries, _) = self.maps[sender].entries_of(&buckets, usize::MAX);
                    for entry in entries {
                        self.maps[receiver].merge((*entry).clone());
                    }
                }
            }
        }
    }
}

fn simulate(size: usize, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(size, seed);
    fleet.maps[0].merge(gossip::server_entry(1, 1));
    let mut push_rounds = 0;
    while fleet.push_round() {
        push_rounds += 1;
    }
    let missed_count = fleet.missing();
    let mut seconds = 0;
    while fleet.missing() > 0 {
        seconds += 1;
        fleet.heartbeat_round();
        while fleet.push_round() {}
    }
    Outcome {
        push_rounds: f64::from(push_rounds),
        missed_percent: missed_count as f64 / size as f64 * 100.0,
        heartbeat_seconds: f64::from(seconds),
        datagrams: fleet.datagrams as f64 / size as f64,
        pulls: fleet.pulls as f64 / size as f64,
    }
}

pub(super) fn measure() -> Vec<Series> {
    let mut rounds = Series::new(
        "spreading, 1 % loss: push rounds, slowest run",
        "members",
        "rounds",
        DESIGN_SIZE,
    );
    let mut missed_percent = Series::new(
        "spreading, 1 % loss: members missed by pushes",
        "members",
        "%",
        DESIGN_SIZE,
    );
    let mut seconds = Series::new(
        "spreading, 1 % loss: heartbeat periods until all have it, slowest run",
        "members",
        "s",
        DESIGN_SIZE,
    );
    let mut datagrams = Series::new(
        "spreading: datagrams per member and change",
        "members",
        "1",
        DESIGN_SIZE,
    );
    let mut pulls = Series::new(
        "spreading, 1 % loss: pulls per member and change",
        "members",
        "1",
        DESIGN_SIZE,
    );
    for size in SIZES {
        let runs: Vec<Outcome> = (0..RUNS).map(|seed| simulate(size, seed)).collect();
        let max_of_runs = |of: fn(&Outcome) -> f64| runs.iter().map(of).fold(0.0, f64::max);
        let mean_of_runs = |of: fn(&Outcome) -> f64| runs.iter().map(of).sum::<f64>() / RUNS as f64;
        rounds.add_point(size, max_of_runs(|it| it.push_rounds));
        missed_percent.add_point(size, mean_of_runs(|it| it.missed_percent));
        seconds.add_point(size, max_of_runs(|it| it.heartbeat_seconds));
        datagrams.add_point(size, mean_of_runs(|it| it.datagrams));
        pulls.add_point(size, mean_of_runs(|it| it.pulls));
    }
    vec![rounds, missed_percent, seconds, datagrams, pulls]
}
