//! Questions about all processes: status, explanations, the timeline and log levels.

use std::time::Duration;

use futures::future::join_all;
use guava_core::codes::Code;
use guava_core::config::Kind;
use guava_core::events::EventRecord;
use guava_core::ids::{MemberId, Role};
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
            .map(|(member, answer)| match answer {
                Ok(status) => {
                    let in_force = covers(&status, &newest);
                    json!({ "member": member.id.to_string(), "in_force": in_force, "status": status })
                }
                Err(error) => {
                    json!({ "member": member.id.to_string(), "in_force": false, "error": error.to_string() })
                }
            })
            .collect();
        let in_force = members.iter().all(|it| it["in_force"] == json!(true));
        Ok(Reply::ok(
            json!({ "newest": newest, "in_force_everywhere": in_force, "members": members }),
        ))
    }

    /// Events of all processes for one request or model, oldest first.
    pub(crate) async fn timeline(&self, req: &ApiRequest) -> Result<Reply, Failure> {
        let params = json!({ "request": req.param("request"), "model": req.param("model") });
        let answers = self
            .ask_all(&self.node.members.live(), "timeline.events", &params)
            .await;
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
        events.sort_by(|a, b| (a.wall_ms, &a.member, a.sequence).cmp(&(b.wall_ms, &b.member, b.sequence)));
        Ok(Reply::ok(json!({ "events": events, "unreachable": unreachable })))
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

/// Newest version known here, by plural kind name.
fn newest_versions(admin: &Admin) -> Value {
    let versions = Kind::CONFIG
        .into_iter()
        .map(|kind| (kind.plural().to_owned(), json!(admin.node.spread.newest(kind).sequence)));
    Value::Object(versions.collect())
}

/// Whether a member's status names versions at least as new as `newest`.
fn covers(status: &Value, newest: &Value) -> bool {
    let version = |value: &Value, kind: &str| value.get(kind).and_then(Value::as_u64).unwrap_or(0);
    let known = &status["config"];
    Kind::CONFIG
        .into_iter()
        .map(Kind::plural)
        .all(|kind| version(known, kind) >= version(newest, kind))
}
