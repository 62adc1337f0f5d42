//! The scripted cases of the review: `review-scene CASE ROOT RECORD`. Exits with 1 if the rule was broken, with 0 if it
//! held and with 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod client;
mod http;
mod json;
mod record;
mod runner;
mod store;
mod system;

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use client::{Call, Outcome};
use record::Record;
use runner::{Runner, Spec};
use store::Store;
use system::{Net, System, SIGTERM};

const ENGINES: &str = "huvo11a";
const RESUMABLE: &str = "/lohu930/2f";
const PLAIN_STREAM: &str = "/pufi791/2f";
const DESK: &str = "wuno96b";
const FILING: &str = "/puxa403/2f";
const MODEL: &str = "daka510000";

struct Scene {
    net: Net,
    store: Store,
    record: Record,
    system: System,
    trouble: bool,
}

type Result<T> = std::result::Result<T, String>;

fn text<E: ToString>(e: E) -> String {
    e.to_string()
}

fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

impl Scene {
    fn new(root: &Path, record: &str) -> Result<Self> {
        let record = Record::create(record).map_err(text)?;
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        record.line(&format!("trouble {trouble}"));
        let net = Net::find().ok_or("no free ports")?;
        let store = Store::start(net.store()).map_err(text)?;
        store.put("config", "main", &config());
        let system = System::new(&net, root).map_err(text)?;
        Ok(Self { net, store, record, system, trouble })
    }

    /// An engine that holds the model, with events every 100 ms.
    fn engine(&self, number: u8) -> Spec {
        Spec {
            id: format!("i-7f3a91c{number}"),
            service: ENGINES.to_owned(),
            zone: "caerdydd".to_owned(),
            address: self.net.at(100 + number, 8080),
            slots: 6,
            queue: 2,
            event_ms: 100,
            events: 40,
            data: |event| format!("piece {event}").into_bytes(),
            pause: None,
            crash_after: None,
            drops: true,
            models: vec![MODEL],
            work_ms: None,
            fails: None,
            writes_nothing: false,
        }
    }

    /// A server of the plain service.
    fn desk(&self, number: u8) -> Spec {
        Spec {
            id: format!("i-02d9e6b{number}"),
            service: DESK.to_owned(),
            zone: system::ZONES[usize::from(number) % 6].to_owned(),
            address: self.net.at(110 + number, 8080),
            queue: 24,
            models: Vec::new(),
            work_ms: Some(60),
            ..self.engine(9)
        }
    }

    fn start_runner(&self, spec: Spec) -> Result<Arc<Runner>> {
        self.record.line(&format!("runner {} starts", spec.id));
        Runner::start(spec, &self.store, &self.record).map_err(text)
    }

    fn start_entries(&mut self) -> Result<()> {
        self.system.start_all().map_err(text)?;
        if !self.system.wait_ready(Duration::from_secs(20)) {
            return Err("the entry processes are not ready".to_owned());
        }
        self.record.line("all entry processes are ready");
        // All are in touch after stableMs.
        sleep(4_000);
        Ok(())
    }

    fn stream(&self, vm: usize, id: &str, path: &'static str, body: &str) -> Call {
        Call {
            to: self.system.vms[vm].front,
            id: id.to_owned(),
            method: "POST",
            path,
            headers: vec![
                ("X-Model", MODEL.to_owned()),
                ("X-Token-Count", "200,160".to_owned()),
                ("X-Prompt-Prefix", format!("5c1e07a2:100,{:x}:100", 0x1000 + id.len() + vm)),
                ("Content-Type", "application/json".to_owned()),
            ],
            body: body.as_bytes().to_vec(),
            deadline_ms: if path == RESUMABLE { 15_000 } else { 30_000 },
        }
    }

    fn verdict(&self, faults: &[String]) -> bool {
        for it in faults {
            self.record.line(&format!("BROKEN: {it}"));
            println!("BROKEN: {it}");
        }
        self.record.line(if faults.is_empty() { "the rule held" } else { "the rule was broken" });
        !faults.is_empty()
    }
}

fn config() -> String {
    let route = |name: &str, prefix: &str, rest: &str| {
        format!("{{\"name\":\"{name}\",\"authority\":\"{}\",\"pathPrefix\":\"{prefix}\",{rest}}}", system::HOST)
    };
    let routes = [
        route("r-nr26tta", "/lohu930/", "\"kind\":\"streaming\",\"timeoutMs\":15000,\"goalMs\":500,\"priority\":1,\"service\":\"huvo11a\",\"maxAttempts\":2,\"anonymous\":false,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":300"),
        route("r-828m82t", "/pufi791/", "\"kind\":\"streaming\",\"timeoutMs\":30000,\"goalMs\":3000,\"priority\":1,\"service\":\"huvo11a\",\"maxAttempts\":1,\"anonymous\":false,\"sticky\":true,\"resumable\":false,\"gapTargetMs\":300"),
        route("r-79spadc", "/puxa403/", "\"kind\":\"non_idempotent\",\"timeoutMs\":4000,\"goalMs\":300,\"priority\":2,\"service\":\"wuno96b\",\"maxAttempts\":1,\"anonymous\":false"),
    ];
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":6,\"kvCapacity\":142642,\"kvTokenBytes\":327680,\"linkMbps\":740000.0,\"moves\":true,\"backups\":true,\"stride\":3,\"maxCount\":12,\"hostMb\":140000.0,\"diskMb\":1300000.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"{MODEL}\",\"mb\":34300.0,\"loadS\":6.0,\"adapters\":0,\"adapterMb\":40.0,\"warmS\":0.42,\"diskS\":0.6}}],\"mb\":200000.0,\"loraSlots\":8,\"loadsPerS\":2.6}}}},{{\"name\":\"wuno96b\",\"healthPath\":\"/health\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{}\"],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,\"perS\":35260,\"burst\":35260}}]}}",
        routes.join(","),
        system::KEY
    )
}

/// LOST: a stream is taken from a runner that is silent for a while, for one that is full.
fn given_up(scene: &mut Scene) -> Result<bool> {
    let full = Spec { event_ms: 300, ..scene.engine(2) };
    scene.start_runner(full)?;
    scene.start_entries()?;
    // Work of other clients fills the second runner.
    for i in 0..8 {
        sleep(60);
        let call = scene.stream(1 + i % 5, &format!("filler-{i}"), PLAIN_STREAM, "{\"events\":70}");
        client::send(call, &scene.record);
    }
    sleep(500);
    let pause = scene.trouble.then_some((10, 2_200));
    scene.start_runner(Spec { pause, ..scene.engine(1) })?;
    sleep(2_500);
    let streams: Vec<_> = (0..3)
        .map(|i| {
            sleep(60);
            client::send(scene.stream(0, &format!("stream-{i}"), RESUMABLE, "{}"), &scene.record)
        })
        .collect();
    sleep(500);
    let terminated = scene.record.ms();
    scene.system.signal(0, SIGTERM, &scene.record);
    let outcomes: Vec<Outcome> = streams.into_iter().map(|it| it.join().unwrap_or_default()).collect();
    if outcomes.iter().any(|it| it.status != Some(200) || it.events.is_empty()) {
        return Err("a stream did not begin".to_owned());
    }
    // Until 1 s after graceS; the route's timeout is 15 s, and the runners break nothing off.
    let is_counted = |it: &&Outcome| !it.is_complete && it.ended_ms < terminated + 9_000;
    let cut = outcomes.iter().filter(is_counted);
    let faults: Vec<String> = cut
        .map(|it| {
            format!(
                "{} ends without its rest after event {:?}, {} ms after the SIGTERM of its machine",
                it.id,
                it.events.last(),
                it.ended_ms - terminated
            )
        })
        .collect();
    Ok(scene.verdict(&faults))
}

/// TWICE: a stream goes on at another runner while the one before still works on it.
fn works_on(scene: &mut Scene) -> Result<bool> {
    let pause = scene.trouble.then_some((10, 2_200));
    scene.start_runner(Spec { pause, drops: false, events: 60, ..scene.engine(1) })?;
    scene.start_entries()?;
    let streams: Vec<_> = (0..3)
        .map(|i| {
            sleep(60);
            client::send(scene.stream(i, &format!("stream-{i}"), RESUMABLE, "{}"), &scene.record)
        })
        .collect();
    sleep(300);
    scene.start_runner(Spec { events: 60, ..scene.engine(2) })?;
    for it in streams {
        let _ = it.join();
    }
    sleep(6_000);
    let lines = scene.lines()?;
    let mut faults = Vec::new();
    for i in 0..3 {
        let first = lines.iter().filter(|(_, it)| it.contains("i-7f3a91c1 works on") && it.contains(&format!("stream-{i}:")));
        let last_work = first.map(|(ms, _)| *ms).max();
        let second = lines.iter().find(|(_, it)| it.contains("i-7f3a91c2 runs") && it.contains(&format!("stream-{i} ")));
        if let (Some(last), Some((began, _))) = (last_work, second) {
            if last > began + 400 {
                faults.push(format!(
                    "stream-{i} goes on at the second runner at {began} ms, and the first works on it until {last} ms"
                ));
            }
        }
    }
    Ok(scene.verdict(&faults))
}

/// ORDER: a stream is resumed at an older event than the last one that was passed on.
fn pieces_twice(scene: &mut Scene) -> Result<bool> {
    // The text of the answer, cut into pieces of four bytes, as tokens of bytes are: a letter of two bytes may fall into
    // two pieces.
    let data = |event: u64| {
        let text = "Mae'r dŵr yn y tŷ yn oer heddiw. ".repeat(10).into_bytes();
        text[event as usize * 4..event as usize * 4 + 4].to_vec()
    };
    let ends_within_a_letter = |event: &u64| std::str::from_utf8(&data(*event)).is_err();
    let crash_after = (20..40).find(ends_within_a_letter).filter(|_| scene.trouble);
    scene.start_runner(Spec { crash_after, data, ..scene.engine(1) })?;
    scene.start_entries()?;
    let streams: Vec<_> = (0..1)
        .map(|i| client::send(scene.stream(i, &format!("stream-{i}"), RESUMABLE, "{}"), &scene.record))
        .collect();
    sleep(300);
    for number in 2..=4 {
        scene.start_runner(Spec { data, ..scene.engine(number) })?;
    }
    let outcomes: Vec<Outcome> = streams.into_iter().map(|it| it.join().unwrap_or_default()).collect();
    let mut faults = Vec::new();
    for it in &outcomes {
        if it.status != Some(200) {
            return Err("a stream did not begin".to_owned());
        }
        if let Some(pair) = it.events.windows(2).find(|pair| pair[1] != pair[0] + 1) {
            faults.push(format!("in {} event {} follows event {}", it.id, pair[1], pair[0]));
        }
    }
    Ok(scene.verdict(&faults))
}

/// REFUSED: a filing that has run is answered with a status that promises that it has not.
fn refused(scene: &mut Scene) -> Result<bool> {
    for number in 1..=7 {
        let fails = (scene.trouble && number == 1).then_some((2, 5));
        scene.start_runner(Spec { fails, ..scene.desk(number) })?;
    }
    scene.start_entries()?;
    let filings: Vec<_> = (0..210)
        .map(|i| {
            sleep(50);
            let mut call = scene.stream(i % 6, &format!("filing-{i}"), FILING, "{}");
            call.headers = vec![("Content-Type", "application/json".to_owned())];
            call.deadline_ms = 1_500;
            let record = scene.record.clone();
            // A client sends a filing once more, with an id of its own, after an answer that says that it has not run.
            std::thread::spawn(move || {
                let first = client::send(call.clone(), &record).join().unwrap_or_default();
                let again = matches!(first.status, Some(408 | 421 | 429 | 503)).then(|| {
                    client::send(Call { id: format!("{}-again", call.id), ..call }, &record).join().unwrap_or_default()
                });
                (first, again)
            })
        })
        .collect();
    let filings: Vec<_> = filings.into_iter().filter_map(|it| it.join().ok()).collect();
    sleep(500);
    let lines = scene.lines()?;
    let has_run = |id: &str| lines.iter().any(|(_, it)| it.contains(&format!("has run {id} ")));
    let mut faults = Vec::new();
    for (first, again) in &filings {
        for it in [Some(first), again.as_ref()].into_iter().flatten() {
            if matches!(it.status, Some(408 | 421 | 429 | 503)) && has_run(&it.id) {
                faults.push(format!("{} was answered {} and has run", it.id, it.status.unwrap_or(0)));
            }
        }
        if again.as_ref().is_some_and(|it| has_run(&it.id)) && has_run(&first.id) {
            scene.record.line(&format!("{} was filed twice, because its client believed the answer", first.id));
        }
    }
    Ok(scene.verdict(&faults))
}

/// DRAIN: an older entry of a runner, which the store writes late, brings back a runner that leaves.
fn late_beat(scene: &mut Scene) -> Result<bool> {
    // Streams of 2 s, and as many places as on the users' sheet.
    let wide = |spec: Spec| Spec { slots: 64, queue: 192, events: 20, ..spec };
    for number in 2..=4 {
        scene.start_runner(wide(scene.engine(number)))?;
    }
    let runner = scene.start_runner(Spec { writes_nothing: true, ..wide(scene.engine(1)) })?;
    let id = runner.spec.id.clone();
    let (store, record) = (scene.store.clone(), scene.record.clone());
    let write = move |seq: u64, state: &str, entry: &str| {
        store.put("servers", &id, entry);
        record.line(&format!("the store has accepted entry {seq} of runner {id}: {state}"));
    };
    // The runner writes its entry every 1.2 s; each entry has the next number.
    let is_leaving = Arc::new(AtomicBool::new(false));
    let has_left = Arc::new(AtomicBool::new(false));
    let is_late = Arc::new(AtomicBool::new(false));
    let beats = {
        let (runner, write) = (Arc::clone(&runner), write.clone());
        let (is_leaving, has_left, is_late) = (Arc::clone(&is_leaving), Arc::clone(&has_left), Arc::clone(&is_late));
        std::thread::spawn(move || {
            let mut seq = 0;
            let mut was_leaving = false;
            let mut next = Instant::now();
            while !has_left.load(Ordering::SeqCst) {
                let leaves = is_leaving.load(Ordering::SeqCst);
                if Instant::now() < next && leaves == was_leaving {
                    sleep(10);
                    continue;
                }
                was_leaving = leaves;
                next = Instant::now() + Duration::from_millis(1_200);
                seq += 1;
                let state = if leaves { "draining" } else { "ready" };
                let entry = runner.entry(seq, state);
                if is_late.swap(false, Ordering::SeqCst) {
                    // This write gets no answer, and the store carries it out 6 s later.
                    let write = write.clone();
                    std::thread::spawn(move || {
                        sleep(6_000);
                        write(seq, state, &entry);
                    });
                } else {
                    write(seq, state, &entry);
                }
            }
        })
    };
    scene.start_entries()?;
    sleep(500);
    is_late.store(scene.trouble, Ordering::SeqCst);
    while is_late.load(Ordering::SeqCst) {
        sleep(10);
    }
    let disturbed = scene.record.ms();
    scene.record.line("a write of the runner gets no answer");
    // The store is stable again after stableMs.
    sleep(3_000);
    let reports = {
        let fronts: Vec<_> = scene.system.vms.iter().map(|it| it.front).collect();
        let call = scene.stream(0, "", PLAIN_STREAM, "{}");
        let record = scene.record.clone();
        std::thread::spawn(move || {
            let mut calls = Vec::new();
            for i in 0..150 {
                sleep(30);
                let call = Call { to: fronts[i % 6], id: format!("report-{i}"), ..call.clone() };
                calls.push(client::send(call, &record));
            }
            calls.into_iter().filter_map(|it| it.join().ok()).collect::<Vec<Outcome>>()
        })
    };
    sleep(300);
    is_leaving.store(true, Ordering::SeqCst);
    sleep(30);
    let left = scene.record.ms();
    sleep(3_400);
    // drainMs and a little longer are over.
    has_left.store(true, Ordering::SeqCst);
    runner.end();
    scene.store.remove("servers", &runner.spec.id);
    let _ = beats.join();
    let outcomes = reports.join().unwrap_or_default();
    sleep(500);
    let lines = scene.lines()?;
    let (id, limit) = (&runner.spec.id, left + 2_000);
    let late = lines.iter().filter(|(ms, it)| *ms > limit && it.contains(&format!("runner {id} runs")));
    let late: Vec<&(u64, String)> = late.collect();
    let lost = outcomes.iter().filter(|it| it.status == Some(200) && !it.is_complete).count();
    scene.record.line(&format!("{lost} streams that had begun were cut"));
    let faults = late.iter().map(|(ms, it)| {
        let after = ms - left;
        format!("{it}: {after} ms after the store has accepted that it is draining, {} ms after the lost answer", ms - disturbed)
    });
    Ok(scene.verdict(&faults.collect::<Vec<_>>()))
}

impl Scene {
    fn lines(&self) -> Result<Vec<(u64, String)>> {
        let path = std::env::args().nth(3).unwrap_or_default();
        let text = std::fs::read_to_string(path).map_err(text)?;
        let lines = text.lines().filter_map(|it| {
            let (ms, rest) = it.trim_start().split_once(' ')?;
            Some((ms.parse().ok()?, rest.to_owned()))
        });
        Ok(lines.collect())
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &args[..] else {
        eprintln!("usage: review-scene CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let outcome = Scene::new(Path::new(root), record).and_then(|mut scene| match case.as_str() {
        "given-up" => given_up(&mut scene),
        "works-on" => works_on(&mut scene),
        "pieces-twice" => pieces_twice(&mut scene),
        "refused" => refused(&mut scene),
        "late-beat" => late_beat(&mut scene),
        _ => Err(format!("no case {case}")),
    });
    match outcome {
        Ok(is_broken) => ExitCode::from(u8::from(is_broken)),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
