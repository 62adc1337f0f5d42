//! Requests, and parts of prompts, that crash backend servers, found from the crashes that all VMs observe.
//!
//! Each VM reports the attempts of its own that a crash broke off as *suspects*, and answers that ran on as *proofs* that
//! the parts of their prompts are sound. A request that comes again is recognised by its *identity*: a request that crashes
//! servers by itself is condemned by its identity (see [`requests`]), and its parts are cleared of the crashes that this
//! explains. Only a whole answer proves that a request is sound: it may crash its server at any time before. All VMs receive
//! both and decide by the same rule, so there is no owner whose loss would lose what is known. A part that only suspects and no later proof name is condemned, and requests with it
//! are refused. Parts that cannot be told apart are condemned together: only requests with all of them are refused, so
//! sound requests with some of them can still prove those.
//!
//! Ages in messages are relative to when they are sent; times are on the clock of the VM.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use guava_core::derive_value;
use guava_core::units::Millis;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

mod requests;

use requests::GuiltyRequest;

/// Time after the begin of an answer after which it proves the parts of its prompt sound: the longest pause between
/// events with which deployments count a stream as on time.
pub const PROOF_AFTER_MS: u64 = 300;
/// Crashes within this time of the first one are one episode, such as the loss of a rack.
const EPISODE_MS: u64 = 100;
/// Evidence against a part that no answer has proven in the minute before, if each episode names it.
const UNPROVEN: Threshold = Threshold {
    episodes: 3,
    requests: 2,
};
/// The same if other crashes lie between.
const UNPROVEN_AMONG_OTHERS: Threshold = Threshold {
    episodes: 5,
    requests: 3,
};
/// Evidence against a part that an answer has proven in the minute before.
const PROVEN_BEFORE: Threshold = Threshold {
    episodes: 6,
    requests: 3,
};
/// Time for which suspects and proofs are kept.
const EVIDENCE_MS: u64 = 60_000;
/// Time after the first crash before a part is condemned that was proven in the minute before. Within this time a sound
/// part that is in use is proven again; other answers must have run on, or the engines fail for another reason.
const PROOF_WAIT_MS: u64 = 2_000;
/// Time after new evidence in which conclusions from it may become due.
const CONCLUSION_MS: u64 = PROOF_WAIT_MS + 500;
/// Interval at which conclusions are drawn after that: other crashes expire.
const REVIEW_MS: u64 = 1_000;
/// Time after the first crash before any part is condemned, in which proofs of other VMs arrive.
const PROOF_SPREAD_MS: u64 = 300;
/// Least time between two proofs of a part that are sent to other VMs. Times that other VMs send count as later only if
/// they differ by more: the delay of each message adds to them.
const PROOF_INTERVAL_MS: u64 = 500;
/// Time after which a verdict that refused no request ends.
const IDLE_MS: u64 = 600_000;
/// Time before the first trial of condemned parts that are still requested.
const FIRST_TRIAL_MS: u64 = 20_000;
/// The same for a condemned request: another one with its parts is served meanwhile.
const FIRST_REPEAT_TRIAL_MS: u64 = 60_000;
/// Factor by which the time to the next trial grows.
const TRIAL_FACTOR: u64 = 8;
/// Longest time between trials.
const MAX_TRIAL_MS: u64 = 86_400_000;
/// Time, in milliseconds, within which the VMs notice the crash of one server.
const SAME_CRASH_MS: u64 = 1_000;
/// Lives of a server that its start does not tell apart, at most.
const MAX_SAME_LIVES: u64 = 64;
/// Assumed time, in milliseconds, of an attempt whose answer ran on, if the sender does not tell it.
const UNKNOWN_RUN_MS: u64 = 1_000;
/// Limit on the suspects that are kept; the oldest are dropped.
const MAX_SUSPECTS: usize = 1_024;
/// Limit on the suspects of one episode whose answers had run on. When more servers are lost at once, a request is not the
/// cause.
const MAX_RUN_ON: usize = 64;
/// Limit on the suspects that wait to be sent.
const MAX_SENT: usize = 256;
/// Limit on the suspects that are recognised; the oldest are forgotten.
const MAX_SEEN: usize = 4_096;
/// Limit on the proven parts that are kept.
const MAX_PROOFS: usize = 1_024;
/// Limit on verdicts; the one that was used least recently is dropped.
const MAX_VERDICTS: usize = 64;
/// Limit on the parts of one suspect.
pub const MAX_PARTS: usize = 32;
/// Limit on suspects, and on proofs, in an exchange of the gossip.
const MAX_EXCHANGED: usize = 64;
/// Longest id of a part or server in a message.
const MAX_ID: usize = 128;

/// Begin of the id of a whole request. Ids of prompt parts are hexadecimal.
const IDENTITY_MARK: char = '=';

/// Id of a whole request, by which it is recognised when it comes again at any VM.
pub fn identity(path: &str, caller: &str, body: &[u8]) -> String {
    let mut hash = Xxh3::new();
    for field in [path.as_bytes(), caller.as_bytes(), body] {
        hash.update(&(field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    format!("{IDENTITY_MARK}{:032x}", hash.digest128())
}

/// Whether a part is the identity of a whole request.
fn is_identity(part: &str) -> bool {
    part.starts_with(IDENTITY_MARK)
}

/// Evidence that condemns a part. A single request may meet several unrelated crashes.
#[derive(Debug, Clone, Copy)]
struct Threshold {
    /// Episodes that name the part.
    episodes: usize,
    /// Requests that name it.
    requests: usize,
}

derive_value! {
    /// Attempt that was under way at a backend server when the server crashed.
    pub struct Suspect {
        /// Id of the backend server.
        pub server: String,
        /// Wall-clock time of the server's start, which distinguishes restarts under one id.
        pub born_ms: u64,
        /// Hash by which the request is told from others; the same when it comes again.
        pub request: u64,
        /// Its identity, and the shared parts of its prompt unless its answer had run on. Empty if it only tells of the crash.
        pub parts: Vec<String>,
        /// Whether its answer had begun.
        pub has_begun: bool,
        /// Milliseconds since the crash.
        pub age_ms: u64,
        /// Milliseconds from the begin of the answer, or from the sending if it had not begun, to the crash, if known. Sent in [`FindingsExtension`].
        #[serde(skip)]
        pub ran_ms: Option<u64>,
    }

    /// Answer to a request with a part that its server survived.
    pub struct Proof {
        /// Part of the prompt.
        pub part: String,
        /// Milliseconds since the answer began.
        pub age_ms: u64,
    }

    /// Parts of which requests that contain all of them are refused.
    pub struct Verdict {
        /// Parts in ascending order.
        pub parts: Vec<String>,
        /// Milliseconds since they were condemned.
        pub age_ms: u64,
        /// Milliseconds since the last request was refused.
        pub idle_ms: u64,
        /// Requests that were let through since then to find out whether the parts are still harmful.
        pub trials: u32,
        /// Milliseconds since the last of these; since the verdict if there was none.
        pub trial_age_ms: u64,
    }

    /// What one VM sends another.
    #[derive(Default)]
    pub struct CrashFindings {
        /// Requests that ran at the server when it crashed.
        pub suspects: Vec<Suspect>,
        /// Proofs of suspected parts.
        pub proofs: Vec<Proof>,
        /// Parts and requests that are condemned.
        pub verdicts: Vec<Verdict>,
    }

    /// Extension of [`CrashFindings`].
    #[derive(Default)]
    pub struct FindingsExtension {
        /// [`Suspect::ran_ms`] of each suspect, in their order.
        pub ran_ms: Vec<Option<u64>>,
    }
}

/// Attempt that the crash of its server broke off.
#[derive(Debug, Clone, Copy)]
pub struct BrokenRun<'a> {
    /// Id of the backend server.
    pub server: &'a str,
    /// Wall-clock time of the server's start.
    pub born_ms: u64,
    /// Hash by which the request is told from others.
    pub request: u64,
    /// Identity of the request, followed by the shared parts of its prompt.
    pub clues: &'a [String],
    /// Milliseconds from the head of its answer to the crash; `None` if there was no head.
    pub begun_ms: Option<u64>,
    /// Milliseconds from its sending to the crash.
    pub waited_ms: u64,
    /// Milliseconds since the crash.
    pub age_ms: u64,
    /// Whether the server is known to have ended; otherwise it only answers no more.
    pub is_certain: bool,
}

impl Suspect {
    /// What an attempt says of its request. Parts of its prompt are suspected only if the server has certainly ended before
    /// the answer ran on.
    pub fn new(run: &BrokenRun<'_>) -> Self {
        let has_run_on = run.begun_ms.is_some_and(|it| it >= PROOF_AFTER_MS);
        let count = if has_run_on || !run.is_certain { 1 } else { MAX_PARTS };
        Self {
            server: run.server.to_owned(),
            born_ms: run.born_ms,
            request: run.request,
            parts: run.clues.iter().take(count).cloned().collect(),
            has_begun: run.begun_ms.is_some(),
            age_ms: run.age_ms,
            ran_ms: Some(run.begun_ms.unwrap_or(run.waited_ms)),
        }
    }
}

impl CrashFindings {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.proofs.is_empty() && self.verdicts.is_empty()
    }

    /// What is sent beside the findings.
    pub fn extension(&self) -> FindingsExtension {
        FindingsExtension {
            ran_ms: self.suspects.iter().map(|it| it.ran_ms).collect(),
        }
    }

    /// Adds what came beside the findings.
    pub fn complete(&mut self, extension: FindingsExtension) {
        for (suspect, ran_ms) in self.suspects.iter_mut().zip(extension.ran_ms) {
            suspect.ran_ms = ran_ms;
        }
    }
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Its parts are not condemned.
    Serve,
    /// Its parts are condemned, and it is let through once to find out whether they still are harmful.
    Try,
    /// Its parts are condemned.
    Refuse {
        /// Condemned parts.
        parts: Vec<String>,
        /// Milliseconds since they were condemned.
        age_ms: u64,
    },
}

/// What speaks for and against a request, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Crashes of servers at which it was under way.
    pub crashes: usize,
    /// Other crashes that no verdict accounts for.
    pub others: usize,
    /// Milliseconds since a proof that it is sound; `None` without one.
    pub proven_ms: Option<u64>,
}

/// Change of the verdicts, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Requests with all of these parts are refused after that.
    Condemned(Vec<String>),
    /// They are served again.
    Lifted(Vec<String>),
}

#[derive(Debug, Clone)]
struct Observed {
    /// Hash of server and start time.
    life: u64,
    /// Hash of server, start time and request.
    key: u64,
    server: String,
    born_ms: u64,
    request: u64,
    parts: Vec<String>,
    has_begun: bool,
    at: Millis,
    ran_ms: u64,
}

impl Observed {
    /// Identity of the request; `None` if the attempt only tells of the crash.
    fn identity(&self) -> Option<&str> {
        self.parts.first().map(String::as_str).filter(|it| is_identity(it))
    }

    /// Whether it may tell of parts of its prompt.
    fn names_parts(&self) -> bool {
        self.parts.iter().any(|it| !is_identity(it))
    }

    fn has(&self, part: &str) -> bool {
        self.parts.iter().any(|it| it == part)
    }

    fn to_message(&self, now: Millis) -> Suspect {
        Suspect {
            server: self.server.clone(),
            born_ms: self.born_ms,
            request: self.request,
            parts: self.parts.clone(),
            has_begun: self.has_begun,
            age_ms: now.since(self.at),
            ran_ms: Some(self.ran_ms),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct KnownProof {
    /// When the newest proving answer began.
    begun: Millis,
    /// The same for the newest one that was sent to other VMs or received from one.
    shared: Option<Millis>,
}

#[derive(Debug, Clone)]
struct KnownVerdict {
    parts: Vec<String>,
    since: Millis,
    used: Millis,
    trials: u32,
    tried: Millis,
}

impl KnownVerdict {
    fn new(parts: Vec<String>, now: Millis) -> Self {
        Self {
            parts,
            since: now,
            used: now,
            trials: 0,
            tried: now,
        }
    }

    fn is_within(&self, parts: &[String]) -> bool {
        self.parts.iter().all(|it| parts.contains(it))
    }

    fn has(&self, part: &str) -> bool {
        self.parts.iter().any(|it| it == part)
    }

    fn next_trial(&self) -> Millis {
        let factor = TRIAL_FACTOR.saturating_pow(self.trials);
        let first = if self.parts.iter().any(|it| is_identity(it)) {
            FIRST_REPEAT_TRIAL_MS
        } else {
            FIRST_TRIAL_MS
        };
        self.tried + first.saturating_mul(factor).min(MAX_TRIAL_MS)
    }

    fn to_message(&self, now: Millis) -> Verdict {
        Verdict {
            parts: self.parts.clone(),
            age_ms: now.since(self.since),
            idle_ms: now.since(self.used),
            trials: self.trials,
            trial_age_ms: now.since(self.tried),
        }
    }
}

/// Crash of one server, with the suspects that may have caused it.
struct Crash<'a> {
    at: Millis,
    /// Hash of the server and its start.
    life: u64,
    suspects: Vec<&'a Observed>,
    /// Verdicts that account for the crash.
    explained_by: Vec<&'a KnownVerdict>,
}

impl Crash<'_> {
    /// Whether the crash counts for or against a part, because no verdict on other parts accounts for it.
    fn is_open_for(&self, part: &str) -> bool {
        self.explained_by.iter().all(|it| it.has(part))
    }

    fn names(&self, part: &str) -> bool {
        self.suspects.iter().any(|it| it.has(part))
    }

    /// Suspects whose parts count: a request that waits in the server's queue has not begun to write, so it counts only if
    /// no other one has begun.
    fn part_suspects(&self) -> impl Iterator<Item = &Observed> {
        let has_any_begun = self.suspects.iter().any(|it| it.has_begun && it.names_parts());
        let counts = move |it: &&&Observed| it.names_parts() && (it.has_begun || !has_any_begun);
        self.suspects.iter().filter(counts).copied()
    }
}

/// Groups crashes, which are in the order of their times.
fn episodes<'a, 'b>(crashes: &'a [Crash<'b>]) -> Vec<&'a [Crash<'b>]> {
    let mut episodes = Vec::new();
    let mut rest = crashes;
    while let Some(first) = rest.first() {
        let count = rest.iter().take_while(|it| it.at.since(first.at) < EPISODE_MS).count();
        let (episode, later) = rest.split_at(count);
        episodes.push(episode);
        rest = later;
    }
    episodes
}

/// Suspects that name a part, in the order of the crashes.
#[derive(Default)]
struct Named<'a> {
    suspects: Vec<&'a Observed>,
    first: Option<Millis>,
    /// Number of suspects of the same crashes.
    all_suspects: usize,
    /// Number of episodes of which all crashes name the part.
    episodes: usize,
}

/// Part, or parts that cannot be told apart, to be condemned.
struct Candidate {
    parts: Vec<String>,
    was_proven: bool,
    episodes: usize,
    /// Logarithm of the probability that a sound request meets the crashes by chance; zero for parts.
    ln_chance: f64,
}

impl Candidate {
    fn is_request(&self) -> bool {
        self.parts.iter().any(|it| is_identity(it))
    }
}

/// What a VM has not sent to others yet.
#[derive(Debug, Default)]
struct Outbox {
    suspects: Vec<Observed>,
    proofs: Vec<String>,
    verdicts: Vec<Vec<String>>,
}

/// Evidence and verdicts as one VM knows them.
#[derive(Debug, Default)]
pub struct Crashes {
    suspects: Vec<Observed>,
    /// Keys of the suspects received, also of those that were dropped, and when. A copy that comes round again is not new.
    seen: HashMap<u64, Millis>,
    /// Number of suspects that name each part or identity.
    suspected: HashMap<String, usize>,
    seen_order: VecDeque<u64>,
    /// Latest crash of a suspect that is recognised no more; earlier ones are not taken for new.
    forgotten_until: Millis,
    proofs: HashMap<String, KnownProof>,
    verdicts: Vec<KnownVerdict>,
    outbox: Outbox,
    /// Number of servers, among which crashes are spread.
    servers: usize,
    /// When the newest suspect arrived.
    newest: Millis,
    /// When conclusions were drawn last.
    decided: Millis,
}

impl Crashes {
    /// Changes the number of servers that are known.
    pub fn set_servers(&mut self, count: usize) {
        self.servers = count;
    }

    /// Records an attempt of this VM that a crash broke off.
    pub fn record_suspect(&mut self, now: Millis, mut suspect: Suspect) -> Vec<Change> {
        self.expire(now);
        suspect.born_ms = self.find_life(now, &suspect);
        self.put_suspect(now, suspect);
        self.decide(now)
    }

    /// Start by which the crash of this server is told from earlier ones. Its entry may state the start of the life before, or
    /// no start at all; what crashed a while ago must have started anew since.
    fn find_life(&self, now: Millis, suspect: &Suspect) -> u64 {
        let at = now - suspect.age_ms;
        let born_ms = suspect.born_ms;
        let lives = born_ms..born_ms.saturating_add(MAX_SAME_LIVES);
        let known = self.suspects.iter();
        let known = known.filter(|it| it.server == suspect.server && lives.contains(&it.born_ms));
        let last = known.max_by_key(|it| (it.born_ms, it.at));
        match last {
            Some(last) if at.since(last.at) > SAME_CRASH_MS => (last.born_ms + 1).min(lives.end),
            Some(last) => last.born_ms,
            None => born_ms,
        }
    }

    /// Records that an answer to a request with these parts, which began at `begun`, runs on. The request itself may still
    /// crash its server.
    pub fn record_progress(&mut self, now: Millis, parts: &[String], begun: Millis) -> Vec<Change> {
        let first = parts.iter().take_while(|it| is_identity(it)).count();
        self.record_proof(now, &parts[first..], begun)
    }

    /// Records that a server survived an answer that began at `begun`.
    pub fn record_proof(&mut self, now: Millis, parts: &[String], begun: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        for part in parts {
            // Most requests never come again, and their proofs would displace those of parts.
            if is_identity(part) && !self.is_suspected(part) {
                continue;
            }
            self.put_proof(now, part, begun);
            self.offer_proof(part);
            changes.extend(self.apply_proof(part, begun));
        }
        changes
    }

    /// Merges what another VM sends. Malformed and expired findings are ignored. [`Self::check_time`] draws the conclusions,
    /// because many messages may arrive at once.
    pub fn merge(&mut self, now: Millis, findings: CrashFindings) -> Vec<Change> {
        self.expire(now);
        let mut changes = Vec::new();
        for proof in findings.proofs {
            if proof.age_ms >= EVIDENCE_MS || !is_valid_id(&proof.part) {
                continue;
            }
            let begun = now - proof.age_ms;
            let known = self.proofs.get(&proof.part);
            if known.is_some_and(|it| !is_later(begun, it.begun)) {
                continue;
            }
            self.put_proof(now, &proof.part, begun);
            self.offer_proof(&proof.part);
            changes.extend(self.apply_proof(&proof.part, begun));
        }
        for suspect in findings.suspects {
            self.put_suspect(now, suspect);
        }
        for verdict in findings.verdicts {
            changes.extend(self.merge_verdict(now, verdict));
        }
        changes
    }

    /// Ends verdicts that refused nothing for long, and condemns parts whose waiting time is over.
    pub fn check_time(&mut self, now: Millis) -> Vec<Change> {
        self.expire(now);
        let is_idle = |it: &KnownVerdict| now.since(it.used.max(it.since)) >= IDLE_MS;
        let (ended, kept) = std::mem::take(&mut self.verdicts).into_iter().partition(is_idle);
        self.verdicts = kept;
        let ended: Vec<KnownVerdict> = ended;
        let mut changes: Vec<Change> = ended.into_iter().map(|it| Change::Lifted(it.parts)).collect();
        if now.since(self.newest) < CONCLUSION_MS || now.since(self.decided) >= REVIEW_MS {
            changes.extend(self.decide(now));
        }
        changes
    }

    /// Decides on a request with these shared parts. `is_tester` states whether this VM is the one that lets requests
    /// through to find out whether a part is still harmful.
    pub fn check(&mut self, now: Millis, parts: &[String], is_tester: impl Fn(&str) -> bool) -> Decision {
        let mut decision = Decision::Serve;
        for verdict in self.verdicts.iter_mut().filter(|it| it.is_within(parts)) {
            verdict.used = now;
            if now < verdict.next_trial() || !is_tester(&verdict.parts[0]) {
                return Decision::Refuse {
                    parts: verdict.parts.clone(),
                    age_ms: now.since(verdict.since),
                };
            }
            verdict.trials += 1;
            verdict.tried = now;
            self.outbox.verdicts.push(verdict.parts.clone());
            decision = Decision::Try;
        }
        decision
    }

    /// What is known of a request by its identity.
    pub fn evidence(&self, now: Millis, identity: &str) -> Evidence {
        let crashes = self.crashes();
        let (named, others): (Vec<&Crash<'_>>, Vec<&Crash<'_>>) = crashes.iter().partition(|it| it.names(identity));
        Evidence {
            crashes: named.len(),
            others: others.iter().filter(|it| it.explained_by.is_empty()).count(),
            proven_ms: self.proofs.get(identity).map(|it| now.since(it.begun)),
        }
    }

    /// Whether there are verdicts.
    pub fn has_verdicts(&self) -> bool {
        !self.verdicts.is_empty()
    }

    /// Number of verdicts.
    pub fn verdict_count(&self) -> usize {
        self.verdicts.len()
    }

    /// All verdicts.
    pub fn verdicts(&self, now: Millis) -> Vec<Verdict> {
        self.verdicts.iter().map(|it| it.to_message(now)).collect()
    }

    /// Takes what is new since the last call and must be sent to other VMs.
    pub fn drain_updates(&mut self, now: Millis) -> CrashFindings {
        let outbox = std::mem::take(&mut self.outbox);
        for part in &outbox.proofs {
            if let Some(proof) = self.proofs.get_mut(part) {
                proof.shared = Some(proof.begun);
            }
        }
        let verdicts = self.verdicts.iter().filter(|it| outbox.verdicts.contains(&it.parts));
        CrashFindings {
            suspects: outbox.suspects.iter().map(|it| it.to_message(now)).collect(),
            proofs: self.proof_messages(now, outbox.proofs.iter().map(String::as_str)),
            verdicts: verdicts.map(|it| it.to_message(now)).collect(),
        }
    }

    /// Whether [`Self::take_news`] has anything to send.
    pub fn has_news(&self) -> bool {
        !(self.outbox.suspects.is_empty() && self.outbox.proofs.is_empty() && self.outbox.verdicts.is_empty())
    }

    /// All that another VM may lack: verdicts, and evidence that no verdict explains, first of requests that have come again.
    pub fn summary(&self, now: Millis) -> CrashFindings {
        let is_open = |it: &&Observed| !self.verdicts.iter().any(|verdict| verdict.is_within(&it.parts));
        let open = self
            .suspects
            .iter()
            .rev()
            .filter(|it| now.since(it.at) < EVIDENCE_MS)
            .filter(is_open);
        let mut open: Vec<&Observed> = open.collect();
        let is_repeated = |identity: &str| self.suspected.get(identity).is_some_and(|it| *it > 1);
        open.sort_by_cached_key(|it| !it.identity().is_some_and(is_repeated));
        open.truncate(MAX_EXCHANGED);
        let parts: BTreeSet<&str> = open.iter().flat_map(|it| it.parts.iter().map(String::as_str)).collect();
        let mut proofs = self.proof_messages(now, parts.into_iter());
        proofs.truncate(MAX_EXCHANGED);
        CrashFindings {
            proofs,
            suspects: open.into_iter().map(|it| it.to_message(now)).collect(),
            verdicts: self.verdicts(now),
        }
    }

    fn proof_messages<'a>(&self, now: Millis, parts: impl Iterator<Item = &'a str>) -> Vec<Proof> {
        let proven = parts.filter_map(|part| Some((part, self.proofs.get(part)?)));
        proven
            .map(|(part, proof)| Proof {
                part: part.to_owned(),
                age_ms: now.since(proof.begun),
            })
            .collect()
    }

    fn expire(&mut self, now: Millis) {
        if self.suspects.iter().any(|it| now.since(it.at) >= EVIDENCE_MS) {
            let suspects = std::mem::take(&mut self.suspects);
            let (kept, expired): (Vec<Observed>, Vec<Observed>) =
                suspects.into_iter().partition(|it| now.since(it.at) < EVIDENCE_MS);
            self.suspects = kept;
            for suspect in &expired {
                self.uncount(suspect);
            }
            self.seen.retain(|_, at| now.since(*at) < 2 * EVIDENCE_MS);
            self.seen_order.retain(|it| self.seen.contains_key(it));
        }
        if self.proofs.len() >= MAX_PROOFS {
            self.proofs.retain(|_, it| now.since(it.begun) < EVIDENCE_MS);
        }
    }

    /// Adds a suspect unless it is known or malformed.
    fn put_suspect(&mut self, now: Millis, suspect: Suspect) {
        let is_valid = is_valid_id(&suspect.server)
            && suspect.parts.len() <= MAX_PARTS
            && suspect.parts.iter().all(|it| is_valid_id(it))
            && suspect.age_ms < EVIDENCE_MS;
        // One attempt is enough to tell of a crash.
        let request = if suspect.parts.is_empty() { 0 } else { suspect.request };
        let has_run_on = suspect.has_begun && suspect.parts.len() == 1 && is_identity(&suspect.parts[0]);
        let assumed_ms = if has_run_on { UNKNOWN_RUN_MS } else { PROOF_AFTER_MS };
        let observed = Observed {
            ran_ms: suspect.ran_ms.unwrap_or(assumed_ms),
            life: xxh3_64_with_seed(suspect.server.as_bytes(), suspect.born_ms),
            key: xxh3_64_with_seed(suspect.server.as_bytes(), suspect.born_ms ^ request.rotate_left(32)),
            at: now - suspect.age_ms,
            server: suspect.server,
            born_ms: suspect.born_ms,
            request,
            parts: suspect.parts,
            has_begun: suspect.has_begun,
        };
        if !is_valid || observed.at <= self.forgotten_until || self.seen.contains_key(&observed.key) {
            return;
        }
        if self.seen.len() >= MAX_SEEN {
            self.forget_oldest();
        }
        self.seen.insert(observed.key, now);
        self.seen_order.push_back(observed.key);
        if has_run_on && self.is_mass_crash(observed.at) {
            return;
        }
        self.newest = now;
        if self.suspects.len() >= MAX_SUSPECTS {
            let oldest = self.suspects.remove(0);
            self.uncount(&oldest);
        }
        for part in &observed.parts {
            *self.suspected.entry(part.clone()).or_default() += 1;
            self.offer_proof(part);
        }
        if self.outbox.suspects.len() < MAX_SENT {
            self.outbox.suspects.push(observed.clone());
        }
        self.suspects.push(observed);
    }

    /// Whether so many attempts broke off at this time that requests are not the cause.
    fn is_mass_crash(&self, at: Millis) -> bool {
        let latest = self.suspects.iter().rev().take(MAX_SENT);
        let together = latest.filter(|it| !it.names_parts() && it.at.0.abs_diff(at.0) < EPISODE_MS);
        together.count() >= MAX_RUN_ON
    }

    /// Takes a suspect that is kept no more out of the counts.
    fn uncount(&mut self, suspect: &Observed) {
        for part in &suspect.parts {
            if let Some(count) = self.suspected.get_mut(part) {
                *count -= 1;
                if *count == 0 {
                    self.suspected.remove(part);
                }
            }
        }
    }

    /// Forgets the suspect that was received first. Copies of it, or of older ones, are not taken for new later on.
    fn forget_oldest(&mut self) {
        let Some(key) = self.seen_order.pop_front() else {
            return;
        };
        if let Some(received) = self.seen.remove(&key) {
            self.forgotten_until = self.forgotten_until.max(received);
        }
    }

    fn put_proof(&mut self, now: Millis, part: &str, begun: Millis) {
        if let Some(proof) = self.proofs.get_mut(part) {
            proof.begun = proof.begun.max(begun);
            return;
        }
        if self.proofs.len() >= MAX_PROOFS {
            self.proofs.retain(|_, it| now.since(it.begun) < EVIDENCE_MS);
        }
        if self.proofs.len() >= MAX_PROOFS {
            let oldest = self.proofs.iter().min_by_key(|(_, it)| it.begun);
            if let Some(oldest) = oldest.map(|(part, _)| part.clone()) {
                self.proofs.remove(&oldest);
            }
        }
        self.proofs.insert(part.to_owned(), KnownProof { begun, shared: None });
    }

    fn is_suspected(&self, part: &str) -> bool {
        self.suspected.contains_key(part) || self.verdicts.iter().any(|it| it.has(part))
    }

    /// Sends the proof of a part to other VMs if the part is suspected and they do not have one as new.
    fn offer_proof(&mut self, part: &str) {
        let is_suspected = self.is_suspected(part);
        let is_new = self.proofs.get(part).is_some_and(|it| {
            let shared = it.shared;
            shared.is_none_or(|shared| is_later(it.begun, shared))
        });
        if is_suspected && is_new && !self.outbox.proofs.iter().any(|it| it == part) {
            self.outbox.proofs.push(part.to_owned());
        }
    }

    /// Takes a proven part out of the verdicts that are older than the answer that proves it.
    fn apply_proof(&mut self, part: &str, begun: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        for verdict in self.verdicts.iter_mut().filter(|it| it.has(part) && begun > it.since) {
            changes.push(Change::Lifted(verdict.parts.clone()));
            verdict.parts.retain(|it| it != part);
            if !verdict.parts.is_empty() {
                changes.push(Change::Condemned(verdict.parts.clone()));
                self.outbox.verdicts.push(verdict.parts.clone());
            }
        }
        self.verdicts.retain(|it| !it.parts.is_empty());
        changes
    }

    fn merge_verdict(&mut self, now: Millis, received: Verdict) -> Option<Change> {
        let is_valid = !received.parts.is_empty()
            && received.parts.len() <= MAX_PARTS
            && received.parts.is_sorted()
            && received.parts.iter().all(|it| is_valid_id(it));
        let mut verdict = KnownVerdict {
            since: now - received.age_ms,
            used: now - received.idle_ms,
            trials: received.trials,
            tried: now - received.trial_age_ms,
            parts: received.parts,
        };
        let is_idle = now.since(verdict.used.max(verdict.since)) >= IDLE_MS;
        let proofs = &self.proofs;
        let since = verdict.since;
        verdict
            .parts
            .retain(|it| proofs.get(it).is_none_or(|proof| proof.begun <= since));
        if !is_valid || is_idle || verdict.parts.is_empty() {
            return None;
        }
        if let Some(known) = self.verdicts.iter_mut().find(|it| it.parts == verdict.parts) {
            for (known, reported) in [
                (&mut known.since, verdict.since),
                (&mut known.used, verdict.used),
                (&mut known.tried, verdict.tried),
            ] {
                if is_later(reported, *known) {
                    *known = reported;
                }
            }
            known.trials = known.trials.max(verdict.trials);
            return None;
        }
        self.put_verdict(verdict)
    }

    /// Adds a verdict unless one refuses more, and drops those that refuse less.
    fn put_verdict(&mut self, verdict: KnownVerdict) -> Option<Change> {
        if self.verdicts.iter().any(|it| it.is_within(&verdict.parts)) {
            return None;
        }
        self.verdicts.retain(|it| !verdict.is_within(&it.parts));
        if self.verdicts.len() >= MAX_VERDICTS {
            let oldest = self.verdicts.iter().enumerate().min_by_key(|(_, it)| it.used);
            if let Some(at) = oldest.map(|(at, _)| at) {
                self.verdicts.swap_remove(at);
            }
        }
        let parts = verdict.parts.clone();
        self.outbox.verdicts.push(parts.clone());
        self.verdicts.push(verdict);
        Some(Change::Condemned(parts))
    }

    /// Condemns parts for as long as the evidence asks for it. Each verdict explains crashes, which then count no more
    /// against the other parts of the same prompts.
    fn decide(&mut self, now: Millis) -> Vec<Change> {
        self.decided = now;
        let mut changes = Vec::new();
        // More verdicts than that would displace each other.
        while changes.len() < MAX_VERDICTS
            && let Some(candidate) = self.best_candidate(now)
        {
            let Some(change) = self.put_verdict(KnownVerdict::new(candidate.parts, now)) else {
                break;
            };
            changes.push(change);
        }
        changes
    }

    fn best_candidate(&self, now: Millis) -> Option<Candidate> {
        let recurring = self.recurring();
        if recurring.is_empty() {
            return None;
        }
        let crashes = self.crashes();
        let episodes = episodes(&crashes);
        let mut named: BTreeMap<&str, Named<'_>> = BTreeMap::new();
        for episode in &episodes {
            let suspects = episode.iter().flat_map(Crash::part_suspects);
            let parts = suspects.flat_map(|it| it.parts.iter().map(String::as_str));
            let parts: BTreeSet<&str> = parts.filter(|it| !is_identity(it) && recurring.contains(it)).collect();
            for part in parts {
                let open = || episode.iter().filter(|it| it.is_open_for(part));
                let is_proven = self.proofs.get(part).is_some_and(|it| episode[0].at <= it.begun);
                let is_named = |it: &Crash<'_>| it.part_suspects().any(|it| it.has(part));
                if is_proven || open().next().is_none() || !open().all(is_named) {
                    continue;
                }
                let named = named.entry(part).or_default();
                named.first.get_or_insert(episode[0].at);
                named.episodes += 1;
                named.all_suspects += open().map(|it| it.part_suspects().count()).sum::<usize>();
                let suspects = open().flat_map(Crash::part_suspects);
                named.suspects.extend(suspects.filter(|it| it.has(part)));
            }
        }
        let parts = named
            .iter()
            .filter_map(|(part, named)| self.candidate(part, named, &episodes, now));
        let known = requests::Known {
            crashes: &crashes,
            recurring: &recurring,
            parts: &named,
            proofs: &self.proofs,
            servers: self.servers,
            now,
        };
        let requests = known.guilty();
        let requests = requests.iter().map(|it| self.request_candidate(it, now));
        let candidates = parts.chain(requests);
        let is_new = |it: &Candidate| !self.verdicts.iter().any(|verdict| verdict.is_within(&it.parts));
        let new = candidates.filter(is_new);
        // Of a request and its parts that account for the same crashes, the request is the narrower verdict; of two requests
        // the one that is less likely to have met them by chance is the cause.
        new.min_by(|one, other| {
            let key = |it: &Candidate| (it.was_proven, Reverse(it.episodes), !it.is_request(), it.parts.len());
            let by_key = key(one).cmp(&key(other));
            by_key.then(one.ln_chance.total_cmp(&other.ln_chance))
        })
    }

    /// Parts and identities that enough suspects name for a verdict.
    fn recurring(&self) -> HashSet<&str> {
        let recurring = self.suspected.iter().filter(|(_, count)| **count >= UNPROVEN.episodes);
        recurring.map(|(part, _)| part.as_str()).collect()
    }

    fn crashes(&self) -> Vec<Crash<'_>> {
        let mut by_life: HashMap<u64, Vec<&Observed>> = HashMap::new();
        for it in &self.suspects {
            by_life.entry(it.life).or_default().push(it);
        }
        let crashes = by_life.into_values().filter_map(|suspects| {
            let at = suspects.iter().map(|it| it.at).min()?;
            let is_explained = |it: &&KnownVerdict| suspects.iter().any(|suspect| it.is_within(&suspect.parts));
            let explained_by = self.verdicts.iter().filter(is_explained).collect();
            Some(Crash {
                at,
                life: suspects.first()?.life,
                suspects,
                explained_by,
            })
        });
        let mut crashes: Vec<Crash<'_>> = crashes.collect();
        crashes.sort_by_key(|it| (it.at, it.life));
        crashes
    }

    fn candidate(&self, part: &str, named: &Named<'_>, episodes: &[&[Crash<'_>]], now: Millis) -> Option<Candidate> {
        let first = named.first?;
        if named.episodes < UNPROVEN.episodes {
            return None;
        }
        let requests: BTreeSet<u64> = named.suspects.iter().map(|it| it.request).collect();
        let meets = |it: Threshold| named.episodes >= it.episodes && requests.len() >= it.requests;
        let since_first = episodes.iter().filter(|it| it[0].at >= first);
        let open = since_first.filter(|it| it.iter().any(|crash| crash.is_open_for(part)));
        let open = open.count();
        let is_frequent = named.episodes * 4 >= open * 3;
        let was_proven = self.was_proven(part, now);
        let is_condemned = if was_proven {
            // A proof of the part itself may have been sent up to an interval earlier.
            let others_are_proven = self.is_any_proven_since(first + 2 * PROOF_INTERVAL_MS);
            let is_rare = named.suspects.len() * 2 <= named.all_suspects;
            meets(PROVEN_BEFORE) && is_frequent && (others_are_proven || is_rare)
        } else {
            meets(UNPROVEN) && named.episodes == open || meets(UNPROVEN_AMONG_OTHERS) && is_frequent
        };
        let wait_ms = if was_proven { PROOF_WAIT_MS } else { PROOF_SPREAD_MS };
        if !is_condemned || now.since(first) < wait_ms {
            return None;
        }
        let is_common = |it: &&String| named.suspects.iter().all(|suspect| suspect.has(it));
        let inseparable = named.suspects.first()?.parts.iter().filter(is_common);
        let inseparable = inseparable.filter(|it| !is_identity(it));
        let inseparable = inseparable.filter(|it| *it == part || !self.was_proven(it, now));
        let mut parts: Vec<String> = inseparable.cloned().collect();
        parts.sort();
        Some(Candidate {
            parts,
            was_proven,
            episodes: named.episodes,
            ln_chance: 0.0,
        })
    }

    /// Candidate for a request that comes again.
    fn request_candidate(&self, request: &GuiltyRequest<'_>, now: Millis) -> Candidate {
        Candidate {
            parts: vec![request.identity.to_owned()],
            was_proven: self.was_proven(request.identity, now),
            episodes: request.crashes,
            ln_chance: request.ln_chance,
        }
    }

    /// Whether an answer that began after `at` ran on.
    fn is_any_proven_since(&self, at: Millis) -> bool {
        self.proofs.values().any(|it| it.begun > at)
    }

    fn was_proven(&self, part: &str, now: Millis) -> bool {
        self.proofs
            .get(part)
            .is_some_and(|it| now.since(it.begun) < EVIDENCE_MS)
    }
}

/// Whether a time that another VM told is later than a known one, beyond the delay of messages.
fn is_later(reported: Millis, known: Millis) -> bool {
    reported > known + PROOF_INTERVAL_MS
}

fn is_valid_id(id: &str) -> bool {
    (1..=MAX_ID).contains(&id.len()) && id.bytes().all(|it| it.is_ascii_graphic())
}
