//! Endpoints that query other processes: status, timeline, explain and log level.

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

/// Time limit of a JSON-RPC call to one member.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(2);

impl Admin {
    /// Returns the status of every live member and whether it applies the newest configuration versions known to this
    /// process.
    pub(crate) async fn status(&self) -> Result<Reply, Failure> {
        let newest = newest_versions(self);
        let answers = self.call_all(&self.node.members.live(), "status", &json!({})).await;
        let members: Vec<_> = answers
            .into_iter()
            .map(|(member, answer)| member_entry(&member, answer, &newest))
            .collect();
        let in_force = members.iter().all(|it| it["in_force"] == json!(true));
        let newest: BTreeMap<_, _> = newest.iter().map(|(kind, it)| (kind, it.sequence)).collect();
        Ok(Reply::ok(
            json!({ "newest": newest, "in_force_everywhere": in_force, "members": members }),
        ))
    }

    /// Returns the events of all processes for a request or model, oldest first.
    ///
    /// Controllers act per model and record no request id. For a request, the result therefore includes the events
    /// without a request id that concern its model and lie between its first and last event.
    pub(crate) async fn timeline(&self, req: &ApiRequest) -> Result<Reply, Failure> {
        let params = json!({ "request": req.param("request"), "model": req.param("model") });
        let (mut events, mut unreachable) = self.events(&params).await;
        let (from, until) = (wall_time(events.first()), wall_time(events.last()));
        let model = events.iter().find_map(|it| it.model.clone());
        if let Some(model) = model.filter(|_| req.param("request").is_some()) {
            let (model_events, model_unreachable) = self.events(&json!({ "model": model })).await;
            let is_during_request = |it: &EventRecord| it.request.is_none() && (from..=until).contains(&it.wall_ms);
            events.extend(model_events.into_iter().filter(is_during_request));
            events.sort_by(compare_events);
            unreachable.extend(model_unreachable);
            unreachable.sort();
            unreachable.dedup();
        }
        Ok(Reply::ok(json!({ "events": events, "unreachable": unreachable })))
    }

    /// Returns the matching events of all live members, sorted, and the members without a usable answer.
    async fn events(&self, params: &Value) -> (Vec<EventRecord>, Vec<String>) {
        let answers = self
            .call_all(&self.node.members.live(), "timeline.events", params)
            .await;
        let mut events: Vec<EventRecord> = Vec::new();
        let mut unreachable = Vec::new();
        for (member, answer) in answers {
            match answer
                .ok()
                .and_then(|it| serde_json::from_value::<Vec<EventRecord>>(it).ok())
            {
                Some(mut member_events) => events.append(&mut member_events),
                None => unreachable.push(member.id.to_string()),
            }
        }
        events.sort_by(compare_events);
        (events, unreachable)
    }

    /// Asks one router whether it would admit a request and to which replicas it could route it. The parameter `vm`
    /// selects the router; by default the first live one is asked.
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
        let wanted_vm = req.param("vm");
        let router = routers
            .iter()
            .find(|it| wanted_vm.is_none_or(|vm| it.id.vm.as_str() == vm));
        let router = router.ok_or_else(|| Failure::new(Code::UnknownMember, "no such router is up"))?;
        let answer = self.node.peers.call(router, "explain", params, MEMBER_TIMEOUT).await?;
        Ok(Reply::ok(
            json!({ "router": router.id.to_string(), "explanation": answer }),
        ))
    }

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

    /// Calls `method` on all `members` concurrently.
    async fn call_all(
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

fn compare_events(a: &EventRecord, b: &EventRecord) -> Ordering {
    (a.wall_ms, &a.member, a.sequence).cmp(&(b.wall_ms, &b.member, b.sequence))
}

/// Builds the entry of a member in the answer of `status`.
fn member_entry(member: &MemberInfo, answer: Result<Value, PeerError>, newest: &BTreeMap<String, Version>) -> Value {
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

/// Returns the newest configuration version of each kind known to this process, by plural name of the kind.
fn newest_versions(admin: &Admin) -> BTreeMap<String, Version> {
    Kind::CONFIG
        .into_iter()
        .map(|kind| (kind.plural().to_owned(), admin.node.gossip.newest(kind)))
        .collect()
}
