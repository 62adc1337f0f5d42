//! Questions about all processes: status, explanations, the timeline and log levels.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use futures::future::join_all;
use guava_core::codes::Code;
use guava_core::config::Kind;
use guava_core::events::EventRecord;
use guava_core::gossip_entry::Version;
use guava_core::ids::{MemberId, Role};
use guava_node::status::Status;
use guava_node::{MemberInfo, PeerError};
use serde_json::{Value, json};

use crate::Admin;
use crate::reply::{ApiRequest, Failure, Reply};

/// Longest wait for the answer of one member.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(2);

impl Admin {
    /// Status of every member, and whether each has the newest configuration that this process knows in force.
    pub(crate) async fn status(&self) -> Result<Reply, Failure> {
        let newest = newest_versions(self);
        let answers = self.ask_all(&self.node.members.live(), "status", &json!({})).await;
        let members: Vec<_> = answers
            .into_iter()
            .map(|(member, answer)| member_line(&member, answer, &newest))
            .collect();
        let in_force = members.iter().all(|it| it["in_force"] == json!(true));
        let newest: BTreeMap<_, _> = newest.iter().map(|(kind, it)| (kind, it.sequence)).collect();
        Ok(Reply::ok(
            json!({ "newest": newest, "in_force_everywhere": in_force, "members": members }),
        ))
    }

    /// Events of all processes for one request or model, oldest first.
    ///
    /// Controllers decide per model and know no request. For a request, their events for its model from its first to
    /// its last event are shown as well.
    pub(crate) async fn timeline(&self, req: &ApiRequest) -> Result<Reply, Failure> {
        let params = json!({ "request": req.param("request"), "model": req.param("model") });
        let (mut events, mut unreachable) = self.events(&params).await;
        let (from, until) = (wall_time(events.first()), wall_time(events.last()));
        let model = events.iter().find_map(|it| it.model.clone());
        if let Some(model) = model.filter(|_| req.param("request").is_some()) {
            let (of_model, silent) = self.events(&json!({ "model": model })).await;
            let belongs = |it: &EventRecord| it.request.is_none() && (from..=until).contains(&it.wall_ms);
            events.extend(of_model.into_iter().filter(belongs));
            events.sort_by(in_order);
            unreachable.extend(silent);
            unreachable.sort();
            unreachable.dedup();
        }
        Ok(Reply::ok(json!({ "events": events, "unreachable": unreachable })))
    }

    /// Events of all processes in order, and the members that did not answer.
    async fn events(&self, params: &Value) -> (Vec<EventRecord>, Vec<String>) {
        let answers = self.ask_all(&self.node.members.live(), "timeline.events", params).await;
        let mut events: Vec<EventRecord> = Vec::new();
        let mut unreachable = Vec::new();
        for (member, answer) in answers {
            match answer
                .ok()
                .and_then(|it| serde_json::from_value::<Vec<EventRecord>>(it).ok())
            {
                Some(mut part) => events.append(&mut part),
                None => unreachable.push(member.id.to_string()),
            }
        }
        events.sort_by(in_order);
        (events, unreachable)
    }

    /// Says at one router why a request would be refused or where it would go.
    pub(crate) async fn explain(&self, req: &ApiRequest) -> Result<Reply, Failure> {
        let params = json!({
            "organisation": req.param("organisation"),
            "key": req.param("key"),
            "model": req.param("model"),
            "profile": req.param("profile"),
        });
        let routers: Vec<_> = self
            .node
            .members
            .live()
            .into_iter()
            .filter(|it| it.id.role == Role::Router)
            .collect();
        let wanted = req.param("vm");
        let router = routers
            .iter()
            .find(|it| wanted.is_none_or(|vm| it.id.vm.as_str() == vm));
        let router = router.ok_or_else(|| Failure::new(Code::UnknownMember, "no such router is up"))?;
        let answer = self.node.peers.call(router, "explain", params, MEMBER_TIMEOUT).await?;
        Ok(Reply::ok(
            json!({ "router": router.id.to_string(), "explanation": answer }),
        ))
    }

    /// Changes the log level of one member.
    pub(crate) async fn set_log_level(&self, vm: &str, role: &str, req: &ApiRequest) -> Result<Reply, Failure> {
        let role: Role = serde_json::from_value(json!(role))
            .map_err(|_error| Failure::new(Code::InvalidField, "role: router, controller or admin"))?;
        let id = MemberId::new(vm, role);
        let member = self.node.members.live().into_iter().find(|it| it.id == id);
        let member = member.ok_or_else(|| Failure::new(Code::UnknownMember, id.to_string()))?;
        let params = req.json()?;
        let answer = self
            .node
            .peers
            .call(&member, "log.level", params, MEMBER_TIMEOUT)
            .await?;
        Ok(Reply::ok(answer))
    }

    async fn ask_all(
        &self,
        members: &[MemberInfo],
        method: &str,
        params: &Value,
    ) -> Vec<(MemberInfo, Result<Value, PeerError>)> {
        let calls = members.iter().map(async |member| {
            let answer = self
                .node
                .peers
                .call(member, method, params.clone(), MEMBER_TIMEOUT)
                .await;
            (member.clone(), answer)
        });
        join_all(calls).await
    }
}

fn wall_time(event: Option<&EventRecord>) -> u64 {
    event.map_or(0, |it| it.wall_ms)
}

fn in_order(a: &EventRecord, b: &EventRecord) -> Ordering {
    (a.wall_ms, &a.member, a.sequence).cmp(&(b.wall_ms, &b.member, b.sequence))
}

/// What `status` shows of one member.
fn member_line(member: &MemberInfo, answer: Result<Value, PeerError>, newest: &BTreeMap<String, Version>) -> Value {
    let id = member.id.to_string();
    let status = answer
        .map_err(|error| error.to_string())
        .and_then(|it| serde_json::from_value::<Status>(it).map_err(|error| error.to_string()));
    match status {
        Ok(status) => {
            let outdated = status.outdated(newest);
            json!({ "member": id, "in_force": outdated.is_empty(), "outdated": outdated, "status": status })
        }
        Err(error) => json!({ "member": id, "in_force": false, "error": error }),
    }
}

/// Newest version of configuration known here, by plural kind name.
fn newest_versions(admin: &Admin) -> BTreeMap<String, Version> {
    Kind::CONFIG
        .into_iter()
        .map(|kind| (kind.plural().to_owned(), admin.node.gossip.newest(kind)))
        .collect()
}
