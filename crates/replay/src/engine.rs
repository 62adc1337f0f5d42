//! Model of a backend server's engine: continuous batching with slots, memory and cached tiers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use guava_core::ids::{ReplicaId, Term};
use guava_core::plan::{CacheTier, CacheView, EngineView, Presence, ReplicaView};

/// Time per token of a single request in milliseconds.
const TOKEN_MS: f64 = 15.0;
/// Growth of the time per token with each further request of the server, in milliseconds. With it 115 requests at once
/// take the 61 ms a token of the design's target.
const TOKEN_MS_PER_REQUEST: f64 = 0.4;
/// Prompt tokens that take as long as one token of the answer.
const PROMPT_TOKENS_PER_TOKEN: f64 = 150.0;
/// Bytes of checkpoints kept in memory beside the loaded replicas.
const MEMORY_TIER_BYTES: u64 = 128 << 30;
/// Time to unload an idle replica in milliseconds.
const UNLOAD_MS: u64 = 100;

/// Time to the first token on an idle server in milliseconds.
pub fn first_token_ms(prompt_tokens: u64) -> f64 {
    (prompt_tokens as f64 / PROMPT_TOKENS_PER_TOKEN + 1.0) * TOKEN_MS
}

/// A request at an engine.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Index in the trace.
    pub index: usize,
    /// Prompt tokens.
    pub prompt: u64,
    /// Tokens of the answer.
    pub output: u64,
    /// Priority; larger goes first.
    pub priority: u8,
}

#[derive(Debug)]
struct Running {
    job: Job,
    replica: ReplicaId,
    first_at: f64,
    ends_at: f64,
    has_first: bool,
}

#[derive(Debug, Clone, Copy)]
enum Unload {
    None,
    /// Ordered; requests still run.
    Ordered,
    /// Ends at this time.
    Until(u64),
}

#[derive(Debug)]
struct Held {
    name: String,
    bytes: u64,
    slots: u32,
    presence: Presence,
    running: u32,
    waiting: VecDeque<Job>,
    unload: Unload,
}

/// What happened to requests and replicas in a step.
#[derive(Debug, Default)]
pub struct Progress {
    /// Requests whose first token came.
    pub first: Vec<usize>,
    /// Requests whose answer is whole, with their replica.
    pub done: Vec<(usize, ReplicaId)>,
}

/// A backend server.
#[derive(Debug)]
pub struct Engine {
    instance: u64,
    memory_bytes: u64,
    /// Whether its VM runs.
    pub is_up: bool,
    /// Whether it has been told to leave.
    pub is_leaving: bool,
    tokens: f64,
    running: Vec<Running>,
    held: BTreeMap<ReplicaId, Held>,
    memory_tier: VecDeque<(String, u64)>,
    disk_tier: BTreeSet<String>,
}

impl Engine {
    /// An engine with checkpoints on its disk.
    pub fn new(memory_bytes: u64, disk: BTreeSet<String>) -> Self {
        Self {
            instance: 1,
            memory_bytes,
            is_up: true,
            is_leaving: false,
            tokens: 0.0,
            running: Vec::new(),
            held: BTreeMap::new(),
            memory_tier: VecDeque::new(),
            disk_tier: disk,
        }
    }

    /// Tier of a checkpoint.
    pub fn tier(&self, name: &str) -> CacheTier {
        if self.memory_tier.iter().any(|(it, _)| it == name) {
            CacheTier::Memory
        } else if self.disk_tier.contains(name) {
            CacheTier::Disk
        } else {
            CacheTier::Remote
        }
    }

    /// Takes a load order.
    pub fn load(&mut self, id: ReplicaId, name: &str, bytes: u64, slots: u32) {
        let held = Held {
            name: name.to_owned(),
            bytes,
            slots,
            presence: Presence::Loading,
            running: 0,
            waiting: VecDeque::new(),
            unload: Unload::None,
        };
        self.held.insert(id, held);
    }

    /// Takes an unload order; it waits for the replica's requests.
    pub fn unload(&mut self, id: &ReplicaId) {
        if let Some(held) = self.held.get_mut(id) {
            held.unload = Unload::Ordered;
        }
    }

    /// Ends a load.
    pub fn loaded(&mut self, id: &ReplicaId) {
        let Some(held) = self.held.get_mut(id) else { return };
        held.presence = Presence::Ready;
        let (name, bytes) = (held.name.clone(), held.bytes);
        self.disk_tier.insert(name.clone());
        self.memory_tier.retain(|(it, _)| *it != name);
        self.memory_tier.push_back((name, bytes));
        let mut total: u64 = self.memory_tier.iter().map(|(_, bytes)| bytes).sum();
        while total > MEMORY_TIER_BYTES
            && let Some((_, freed)) = self.memory_tier.pop_front()
        {
            total -= freed;
        }
    }

    /// Takes a request; beyond the replica's slots it waits. Returns whether the replica takes it.
    pub fn submit(&mut self, id: &ReplicaId, job: Job) -> bool {
        let Some(held) = self.held.get_mut(id).filter(|it| it.presence == Presence::Ready) else {
            return false;
        };
        let after = held.waiting.iter().position(|it| it.priority < job.priority);
        held.waiting.insert(after.unwrap_or(held.waiting.len()), job);
        self.admit(id);
        true
    }

    fn admit(&mut self, id: &ReplicaId) {
        let Some(held) = self.held.get_mut(id) else { return };
        while held.running < held.slots
            && let Some(job) = held.waiting.pop_front()
        {
            held.running += 1;
            let first_at = self.tokens + job.prompt as f64 / PROMPT_TOKENS_PER_TOKEN + 1.0;
            self.running.push(Running {
                job,
                replica: id.clone(),
                first_at,
                ends_at: first_at + job.output.saturating_sub(1) as f64,
                has_first: false,
            });
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: u64, ms: f64) -> Progress {
        let mut progress = Progress::default();
        let batch = self.running.len().saturating_sub(1) as f64;
        self.tokens += ms / (TOKEN_MS + TOKEN_MS_PER_REQUEST * batch);
        let tokens = self.tokens;
        for run in &mut self.running {
            if !run.has_first && run.first_at <= tokens {
                run.has_first = true;
                progress.first.push(run.job.index);
            }
        }
        let ended: Vec<Running> = self.running.extract_if(.., |it| it.ends_at <= tokens).collect();
        for run in ended {
            if let Some(held) = self.held.get_mut(&run.replica) {
                held.running -= 1;
            }
            self.admit(&run.replica);
            progress.done.push((run.job.index, run.replica));
        }
        self.advance_unloads(now);
        progress
    }

    fn advance_unloads(&mut self, now: u64) {
        for held in self.held.values_mut() {
            match held.unload {
                Unload::Ordered if held.running == 0 && held.waiting.is_empty() => {
                    held.unload = Unload::Until(now + UNLOAD_MS);
                }
                Unload::Until(at) if at <= now => held.presence = Presence::Ended,
                _ => {}
            }
        }
    }

    /// Ends the VM; returns the requests that it held, with their replicas.
    pub fn end(&mut self) -> Vec<(usize, ReplicaId)> {
        let running = self.running.drain(..).map(|it| (it.job.index, it.replica));
        let mut lost: Vec<(usize, ReplicaId)> = running.collect();
        for (id, held) in std::mem::take(&mut self.held) {
            lost.extend(held.waiting.iter().map(|it| (it.index, id.clone())));
        }
        self.memory_tier.clear();
        self.disk_tier.clear();
        self.is_up = false;
        lost
    }

    /// Brings the VM back, empty.
    pub fn start(&mut self) {
        self.instance += 1;
        self.is_up = true;
        self.is_leaving = false;
    }

    /// Whether no request runs.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Report of the engine.
    pub fn view(&self, term: Term) -> EngineView {
        let cached = |name: &str, tier| CacheView {
            name: name.to_owned(),
            version: 1,
            tier,
        };
        let memory = self.memory_tier.iter().map(|(name, _)| cached(name, CacheTier::Memory));
        let disk = self.disk_tier.iter().map(|name| cached(name, CacheTier::Disk));
        let replicas = self.held.iter().map(|(id, held)| ReplicaView {
            replica: id.clone(),
            presence: held.presence,
            running: held.running,
            waiting: held.waiting.len() as u32,
        });
        EngineView {
            instance: self.instance.to_string(),
            term,
            leaving: self.is_leaving,
            memory_bytes: self.memory_bytes,
            replicas: replicas.collect(),
            cached: memory.chain(disk).collect(),
        }
    }

    /// Forgets replicas whose end the plan has seen.
    pub fn forget_ended(&mut self) {
        self.held.retain(|_, it| it.presence != Presence::Ended);
    }
}
