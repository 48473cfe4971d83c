//! The `explain` module provides what would become of a request now, by the functions that serve requests.

use std::rc::Rc;

use kumquat_coordination::fleet::{Obstacle, RateDecision};
use kumquat_state::clock;

use super::forward::NO_PATH;
use super::{
    ABOVE_TEAM_RATE, DEFAULT_RETRY_AFTER, QUARANTINED, ReceivedRequest, RequestFlags,
    RequestProgress, ResolvedRequest, Response, resolve, retry_delay,
};
use crate::access_log::AccessLogEntry;
use crate::explain::{Explanation, Owner, Question, Rejection, Upstream};
use crate::http::{Body, Headers, RequestHead};
use crate::vm::{Placement, Vm};

/// Attempt id of a request that states none; it has no influence on where the request goes.
const ATTEMPT_ID: &str = "explain";

/// Returns what would become of a request now; changes nothing.
pub(crate) fn explain(vm: &Rc<Vm>, question: &Question) -> Explanation {
    let mut explanation = Explanation {
        vm: vm.identity.name.clone(),
        ..Explanation::default()
    };
    let Some(config) = vm.config() else {
        let reason = "no desired state yet";
        let response = Response::with_retry_after(503, reason, DEFAULT_RETRY_AFTER);
        explanation.rejection = Some(rejection(&response, reason));
        return explanation;
    };
    explanation.desired_state_version = config.version;
    if question.body_bytes > config.limits.max_body_bytes {
        explanation.rejection = Some(Rejection {
            status: 413,
            reason: "the body is too large".to_owned(),
            ..Rejection::default()
        });
        return explanation;
    }
    let received = ReceivedRequest {
        head: request_head(vm, question),
        body: Body::default(),
        arrived_at: clock::now(),
    };
    let flags = RequestFlags::default();
    let mut entry = AccessLogEntry::default();
    let resolved = resolve(vm, &config, &received, &flags, &mut entry);
    let non_empty = |name: &str| (!name.is_empty()).then(|| name.to_owned());
    explanation.route = non_empty(entry.route);
    explanation.team = non_empty(entry.team);
    explanation.service = non_empty(&entry.service);
    explanation.key = entry.key;
    match resolved {
        Ok(mut request) => {
            let path = received.head.path();
            request.cost = vm.estimate_cost(request.route, path, question.body_bytes);
            request.explain(question, &mut explanation);
        }
        Err(response) => explanation.rejection = Some(rejection(&response, entry.reason)),
    }
    explanation.is_sent = explanation.rejection.is_none();
    explanation
}

impl ResolvedRequest<'_> {
    /// Completes the explanation of a request that has a service; the checks have the order of [`super::admit`].
    fn explain(&self, question: &Question, explanation: &mut Explanation) {
        let vm = self.vm;
        let service = &self.target.service;
        explanation.expected_work_ms = self.cost.map(|cost| cost.work_s * 1_000.0);
        explanation.is_routed_by_cost = vm.is_cost_routed(service);
        let urgency = self.queue_params();
        let placement = vm.preview_placement(&self.target, urgency);
        self.describe(&placement, explanation);

        let progress = RequestProgress::default();
        let reject = |reason, response: Response| Some(rejection(&response, reason));
        let mut quarantine_wait = None;
        if question.body_bytes == 0 {
            quarantine_wait = vm.preview_quarantine(|| self.fingerprint());
        } else {
            let note = "quarantines are not considered, because the content of the body is unknown";
            explanation.notes.push(note.to_owned());
        }
        if let Some(wait) = quarantine_wait {
            let response = Response::with_retry_after(503, QUARANTINED, wait);
            explanation.rejection = reject(QUARANTINED, response);
        } else if self.should_forward(&progress) {
            explanation.selected = None;
            explanation.expected_wait_ms = 0.0;
            explanation.forwarded_to = vm.preview_helper(service);
            if explanation.forwarded_to.is_none() {
                let response = Response::with_retry_after(503, NO_PATH, DEFAULT_RETRY_AFTER);
                explanation.rejection = reject(NO_PATH, response);
            }
        } else if let Some(team) = self.team
            && let RateDecision::Exhausted { wait_s } = vm.preview_team_rate(team)
        {
            let wait = retry_delay(wait_s);
            let response = Response::with_retry_after(429, ABOVE_TEAM_RATE, wait);
            explanation.rejection = reject(ABOVE_TEAM_RATE, response);
        } else {
            let refusal = if clock::now() > urgency.send_deadline {
                Some(self.lateness(&progress, &urgency))
            } else {
                let error = placement.error;
                error.map(|error| self.unplaced(&progress, error))
            };
            let mut entry = AccessLogEntry::default();
            explanation.rejection = refusal.map(|refusal| {
                let reason = refusal.reason;
                rejection(&refusal.into_response(&mut entry), reason)
            });
        }
        if explanation.rejection.is_some() {
            explanation.selected = None;
        }
    }

    /// Describes the owner of the request's key, the upstreams and the expected wait.
    fn describe(&self, placement: &Placement, explanation: &mut Explanation) {
        explanation.owner = placement.range.as_ref().map(|(range, has_grant)| {
            let previous = range.previous_owners.iter();
            Owner {
                name: range.owner.name.to_string(),
                incarnation: range.owner.incarnation,
                fencing_token: range.fencing_token,
                has_grant: *has_grant,
                previous_owners: previous.map(|holder| holder.name.to_string()).collect(),
            }
        });
        explanation.selected = placement.selected.as_deref().map(str::to_owned);
        explanation.queued_ahead = placement.ahead;
        explanation.expected_wait_ms = placement.wait.as_secs_f64() * 1_000.0;
        let candidates = placement.candidates.iter();
        let upstreams = candidates.map(|candidate| {
            let upstream = &candidate.upstream;
            let (obstacle, wait) = self
                .ownership_obstacle(placement, &upstream.name, upstream.incarnation)
                .map_or_else(
                    || candidate.obstacle.map(describe).unzip(),
                    |text| (Some(text), None),
                );
            Upstream {
                name: upstream.name.to_string(),
                version: upstream.version.to_string(),
                data_centre: upstream.data_centre.to_string(),
                slots: upstream.slots,
                in_flight: candidate.in_flight,
                cost: candidate.cost,
                obstacle: obstacle.map(str::to_owned),
                obstacle_ms: wait.flatten().map(|wait| wait.as_secs_f64() * 1_000.0),
            }
        });
        explanation.upstreams = upstreams.collect();
    }

    /// Returns why ownership keeps an upstream from the request, if it does.
    fn ownership_obstacle(
        &self,
        placement: &Placement,
        name: &str,
        incarnation: u64,
    ) -> Option<&'static str> {
        self.target.key?;
        match &placement.range {
            Some((range, has_grant)) if &*range.owner.name == name => {
                if range.owner.incarnation != incarnation {
                    Some("restarted since it got the key")
                } else if *has_grant {
                    None
                } else {
                    Some("a previous owner may still hold the key")
                }
            }
            Some(_) => Some("not the owner"),
            None => Some("the owner is not known"),
        }
    }
}

/// Returns the head of the request in question.
fn request_head(vm: &Vm, question: &Question) -> RequestHead {
    let mut headers = Headers::default();
    headers.append("Host", &question.host);
    for (name, value) in &question.headers {
        headers.append(name, value);
    }
    if headers.get_str(vm.dialect.attempt_id_header).is_none() {
        headers.append(vm.dialect.attempt_id_header, ATTEMPT_ID);
    }
    RequestHead {
        method: question.method.clone(),
        target: question.path.clone(),
        is_http_1_0: false,
        headers,
    }
}

/// Returns the text for an obstacle, and the time until it ends by itself, if that is known.
const fn describe(obstacle: Obstacle) -> (&'static str, Option<std::time::Duration>) {
    match obstacle {
        Obstacle::Draining => ("draining", None),
        Obstacle::BarredVersion => ("its version was rolled back", None),
        Obstacle::ClosedDataCentre => ("closed data centre", None),
        Obstacle::Full => ("full", None),
        Obstacle::Ejected { wait } => ("ejected", Some(wait)),
        Obstacle::BackingOff { wait } => ("backing off", Some(wait)),
        Obstacle::WarmupLimit { wait } => ("warm-up limit", Some(wait)),
        Obstacle::RequestLimit { wait } => ("request limit", Some(wait)),
        Obstacle::Rollout => ("left out by the rollout", None),
    }
}

/// Returns a rejection as the caller would see it.
fn rejection(response: &Response, reason: &str) -> Rejection {
    let retry_after = response.headers.get_str("Retry-After");
    Rejection {
        status: response.status,
        reason: reason.to_owned(),
        retry_after_s: retry_after.and_then(|seconds| seconds.parse().ok()),
    }
}
