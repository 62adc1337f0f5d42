//! Simulated inference engine of a backend server: continuous batching with slots, and checkpoints cached in memory and
//! on disk.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use guava_core::ids::{ReplicaId, Term};
use guava_core::plan::{CacheTier, CacheView, EngineView, Presence, ReplicaView};

/// Decode time per token of a request that runs alone, in milliseconds.
const TOKEN_MS: f64 = 15.0;
/// Increase of the decode time per token for each further concurrent request, in milliseconds. It makes 115 concurrent
/// requests decode at 61 ms per token, the target in the design.
const TOKEN_MS_PER_REQUEST: f64 = 0.4;
/// Prompt tokens that are processed in the time of one decoded token.
const PROMPT_TOKENS_PER_TOKEN: f64 = 150.0;
/// Capacity of the in-memory checkpoint cache in bytes; loaded replicas do not count towards it.
const MEMORY_TIER_BYTES: u64 = 128 << 30;
/// Time to unload a replica without requests, in milliseconds.
const UNLOAD_MS: u64 = 100;

/// Time to the first token on a server without other requests, in milliseconds.
pub fn first_token_ms(prompt_tokens: u64) -> f64 {
    (prompt_tokens as f64 / PROMPT_TOKENS_PER_TOKEN + 1.0) * TOKEN_MS
}

/// A request submitted to an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineRequest {
    /// Index of the request in the trace.
    pub index: usize,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of tokens to generate.
    pub output_tokens: u64,
    /// Requests with a larger priority leave the waiting queue first.
    pub priority: u8,
}

#[derive(Debug)]
struct RunningRequest {
    request: EngineRequest,
    replica: ReplicaId,
    first_token_step: f64,
    last_token_step: f64,
    has_first_token: bool,
}

#[derive(Debug, Clone, Copy)]
enum UnloadState {
    None,
    /// Requested, but the replica still has requests.
    Requested,
    /// In progress until this time in milliseconds.
    Until(u64),
}

#[derive(Debug)]
struct HostedReplica {
    name: String,
    bytes: u64,
    slots: u32,
    presence: Presence,
    running: u32,
    waiting: VecDeque<EngineRequest>,
    unload: UnloadState,
}

/// Request events of one step of virtual time.
#[derive(Debug, Default)]
pub struct StepEvents {
    /// Trace indexes of the requests that produced their first token.
    pub first_tokens: Vec<usize>,
    /// Trace indexes of the requests that finished, with the replica that served them.
    pub finished: Vec<(usize, ReplicaId)>,
}

/// Simulated engine of one backend server.
#[derive(Debug)]
pub struct Engine {
    instance: u64,
    memory_bytes: u64,
    /// Whether the VM is running; false from the stop of a reclaimed VM to its restart.
    pub is_up: bool,
    /// Whether the VM has received its reclaim notice and is being drained.
    pub is_leaving: bool,
    /// Simulated decode steps so far, with fractions. Each running request produces one token per step.
    decode_steps: f64,
    running: Vec<RunningRequest>,
    hosted: BTreeMap<ReplicaId, HostedReplica>,
    memory_tier: VecDeque<(String, u64)>,
    disk_tier: BTreeSet<String>,
}

impl Engine {
    /// Creates a running engine without replicas; `disk` names the checkpoints cached on its disk.
    pub fn new(memory_bytes: u64, disk: BTreeSet<String>) -> Self {
        Self {
            instance: 1,
            memory_bytes,
            is_up: true,
            is_leaving: false,
            decode_steps: 0.0,
            running: Vec::new(),
            hosted: BTreeMap::new(),
            memory_tier: VecDeque::new(),
            disk_tier: disk,
        }
    }

    /// Returns the fastest local tier that caches the checkpoint, or `Remote` when neither does.
    pub fn tier(&self, name: &str) -> CacheTier {
        if self.memory_tier.iter().any(|(it, _)| it == name) {
            CacheTier::Memory
        } else if self.disk_tier.contains(name) {
            CacheTier::Disk
        } else {
            CacheTier::Remote
        }
    }

    /// Registers a replica in state `Loading`; [`Self::finish_load`] makes it ready.
    pub fn start_load(&mut self, id: ReplicaId, name: &str, bytes: u64, slots: u32) {
        let replica = HostedReplica {
            name: name.to_owned(),
            bytes,
            slots,
            presence: Presence::Loading,
            running: 0,
            waiting: VecDeque::new(),
            unload: UnloadState::None,
        };
        self.hosted.insert(id, replica);
    }

    /// Requests the unload of a replica. It starts once the replica has no running or waiting requests.
    pub fn request_unload(&mut self, id: &ReplicaId) {
        if let Some(replica) = self.hosted.get_mut(id) {
            replica.unload = UnloadState::Requested;
        }
    }

    /// Marks a replica as ready and caches its checkpoint on disk and in memory, evicting the least recently
    /// loaded checkpoints from memory.
    pub fn finish_load(&mut self, id: &ReplicaId) {
        let Some(replica) = self.hosted.get_mut(id) else { return };
        replica.presence = Presence::Ready;
        let (name, bytes) = (replica.name.clone(), replica.bytes);
        self.disk_tier.insert(name.clone());
        self.memory_tier.retain(|(it, _)| *it != name);
        self.memory_tier.push_back((name, bytes));
        let mut total: u64 = self.memory_tier.iter().map(|(_, bytes)| bytes).sum();
        while total > MEMORY_TIER_BYTES
            && let Some((_, evicted_bytes)) = self.memory_tier.pop_front()
        {
            total -= evicted_bytes;
        }
    }

    /// Submits a request, which waits while all slots of the replica are in use. Returns false, and drops the request,
    /// when the replica is not ready.
    pub fn submit(&mut self, id: &ReplicaId, request: EngineRequest) -> bool {
        let Some(replica) = self.hosted.get_mut(id).filter(|it| it.presence == Presence::Ready) else {
            return false;
        };
        let position = replica.waiting.iter().position(|it| it.priority < request.priority);
        replica
            .waiting
            .insert(position.unwrap_or(replica.waiting.len()), request);
        self.start_waiting(id);
        true
    }

    fn start_waiting(&mut self, id: &ReplicaId) {
        let Some(replica) = self.hosted.get_mut(id) else { return };
        while replica.running < replica.slots
            && let Some(request) = replica.waiting.pop_front()
        {
            replica.running += 1;
            let first_token_step = self.decode_steps + request.prompt_tokens as f64 / PROMPT_TOKENS_PER_TOKEN + 1.0;
            self.running.push(RunningRequest {
                request,
                replica: id.clone(),
                first_token_step,
                last_token_step: first_token_step + request.output_tokens.saturating_sub(1) as f64,
                has_first_token: false,
            });
        }
    }

    /// Advances the engine by `ms` milliseconds; `now` is the virtual time in milliseconds.
    pub fn advance(&mut self, now: u64, ms: f64) -> StepEvents {
        let mut events = StepEvents::default();
        let other_requests = self.running.len().saturating_sub(1) as f64;
        self.decode_steps += ms / (TOKEN_MS + TOKEN_MS_PER_REQUEST * other_requests);
        let step = self.decode_steps;
        for running in &mut self.running {
            if !running.has_first_token && running.first_token_step <= step {
                running.has_first_token = true;
                events.first_tokens.push(running.request.index);
            }
        }
        let finished: Vec<RunningRequest> = self.running.extract_if(.., |it| it.last_token_step <= step).collect();
        for running in finished {
            if let Some(replica) = self.hosted.get_mut(&running.replica) {
                replica.running -= 1;
            }
            self.start_waiting(&running.replica);
            events.finished.push((running.request.index, running.replica));
        }
        self.advance_unloads(now);
        events
    }

    fn advance_unloads(&mut self, now: u64) {
        for replica in self.hosted.values_mut() {
            match replica.unload {
                UnloadState::Requested if replica.running == 0 && replica.waiting.is_empty() => {
                    replica.unload = UnloadState::Until(now + UNLOAD_MS);
                }
                UnloadState::Until(at) if at <= now => replica.presence = Presence::Ended,
                _ => {}
            }
        }
    }

    /// Stops the VM and drops its replicas and caches. Returns the running and waiting requests that were lost, with
    /// their replicas.
    pub fn stop(&mut self) -> Vec<(usize, ReplicaId)> {
        let running = self.running.drain(..).map(|it| (it.request.index, it.replica));
        let mut lost: Vec<(usize, ReplicaId)> = running.collect();
        for (id, replica) in std::mem::take(&mut self.hosted) {
            lost.extend(replica.waiting.iter().map(|it| (it.index, id.clone())));
        }
        self.memory_tier.clear();
        self.disk_tier.clear();
        self.is_up = false;
        lost
    }

    /// Restarts the VM as a new instance without replicas or cached checkpoints.
    pub fn restart(&mut self) {
        self.instance += 1;
        self.is_up = true;
        self.is_leaving = false;
    }

    /// Returns whether no request is running.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns the status that the engine reports to the controller of the given term.
    pub fn view(&self, term: Term) -> EngineView {
        let cache_view = |name: &str, tier| CacheView {
            name: name.to_owned(),
            version: 1,
            tier,
        };
        let memory = self
            .memory_tier
            .iter()
            .map(|(name, _)| cache_view(name, CacheTier::Memory));
        let disk = self.disk_tier.iter().map(|name| cache_view(name, CacheTier::Disk));
        let replicas = self.hosted.iter().map(|(id, replica)| ReplicaView {
            replica: id.clone(),
            presence: replica.presence,
            running: replica.running,
            waiting: replica.waiting.len() as u32,
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

    /// Removes replicas whose presence is `Ended`. Called once the plan has been reconciled with a view that contains
    /// them.
    pub fn remove_ended(&mut self) {
        self.hosted.retain(|_, it| it.presence != Presence::Ended);
    }
}
