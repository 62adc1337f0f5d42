//! Cases of the second review. Each starts the entry processes of a small deployment against stand-ins of the platform,
//! the backend servers and the requesters, and checks one rule.
//!
//! Usage: review-cases-2 CASE RECORD, from the repository's root. Exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run. With TROUBLE=0 the disruption is left out.

mod caller;
mod entry;
mod holders;
mod http;
mod json;
mod record;
mod server;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use entry::{Entry, Net};
use record::Record;
use server::Seen;
use store::Store;

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
    /// The case could not run.
    NotRun(String),
}

/// Addresses, store and records of one case.
pub struct Case {
    pub net: Net,
    pub dir: PathBuf,
    pub record: Record,
    pub seen: Seen,
    pub store: Store,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

impl Case {
    fn new() -> std::io::Result<Self> {
        let net = Net::choose().ok_or_else(|| std::io::Error::other("no free addresses"))?;
        let dir = std::env::temp_dir().join(format!("review-cases-2-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        Ok(Self {
            net,
            dir,
            record: Record::new(),
            seen: Seen::default(),
            store: Store::start(net.at(2, 8225))?,
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        })
    }

    pub fn entries(&self, count: u8) -> Vec<Entry> {
        const ZONES: [&str; 3] = ["caerdydd", "abertawe", "wrecsam"];
        let zone = |index: u8| ZONES[usize::from(index) % ZONES.len()];
        let mut entries: Vec<Entry> =
            (0..count).map(|index| Entry::new(index, zone(index), self.net, &self.dir, &self.record)).collect();
        let seeds: Vec<_> = entries.iter().map(Entry::control).take(3).collect();
        for it in &mut entries {
            it.seeds.clone_from(&seeds);
        }
        entries
    }

    pub fn sleep_until(&self, at: f64) {
        let left = at - self.record.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }

    /// Route of the configuration.
    pub fn route(&self, path: &str, kind: &str, service: &str, timeout_ms: u32, goal_ms: u32, attempts: u32) -> String {
        let (gap, resumable) = if kind == "streaming" { (250, attempts > 1) } else { (0, false) };
        format!(
            r#"{{"name":"r-{path}","authority":"{}","pathPrefix":"/{path}/","kind":"{kind}","timeoutMs":{timeout_ms},"goalMs":{goal_ms},"priority":1,"service":"{service}","maxAttempts":{attempts},"anonymous":false,"sticky":{},"resumable":{resumable},"gapTargetMs":{gap}}}"#,
            caller::HOST,
            kind == "streaming"
        )
    }

    /// Writes the operator's configuration.
    pub fn configure(&self, version: u32, routes: &[String], services: &[String], per_s: u32, burst: u32) {
        let text = format!(
            r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{}"],"priority":1,"unit":"tokens","plainTokens":200,"perS":{per_s},"burst":{burst}}}]}}"#,
            routes.join(","),
            services.join(","),
            caller::KEY
        );
        self.record.note(format!("the operator writes version {version} of the config"));
        self.store.put("config", "main", &text);
    }
}

/// Service of model engines; `models` are names and numbers of adapters.
pub fn engine_service(name: &str, models: &[(&str, u32)]) -> String {
    let models = models.iter().map(|(model, adapters)| {
        format!(
            r#"{{"name":"{model}","mb":34300.0,"loadS":6.0,"adapters":{adapters},"adapterMb":40.0,"warmS":0.42,"diskS":0.6}}"#
        )
    });
    let models: Vec<String> = models.collect();
    format!(
        r#"{{"name":"{name}","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacity":142642,"kvTokenBytes":327680,"linkMbps":740000.0,"moves":true,"backups":true,"stride":3,"maxCount":12,"hostMb":140000.0,"diskMb":1300000.0,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{}],"mb":200000.0,"loraSlots":8,"loadsPerS":2.6}}}}"#,
        models.join(",")
    )
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: review-cases-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let case = match Case::new() {
        Ok(case) => case,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            return ExitCode::from(2);
        }
    };
    let verdict = match name.as_str() {
        "holders" => holders::run(&case),
        _ => Verdict::NotRun(format!("no case {name}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken(what) => (format!("the rule was broken: {what}"), 1),
        Verdict::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    case.record.note(text.clone());
    case.record.write(&path);
    println!("{text}");
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&case.dir);
    } else {
        println!("logs: {}", case.dir.display());
    }
    ExitCode::from(code)
}
