//! The `router` module provides the way of a request from admission to its answer, including further tries.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::stream;
use poem::http::StatusCode;
use poem::{Body, Response};
use tokio::time::{sleep, timeout};

use kumquat_coordination::routing::{Attempts, Budget, Cause, Failure, Next};
use kumquat_protocol::wire::{self, Message, Outcome, Reason};
use kumquat_state::bundle::{Class, Kind, Service};
use kumquat_state::clock::{self, Instant};
use kumquat_state::ident;
use kumquat_state::ledger::{Ledger, Name};
use kumquat_transport::stream::Incoming;

use crate::answer::Refusal;
use crate::body::CallerBody;
use crate::caller;
use crate::config::Config;
use crate::links::{Exchange, Guard, Head, Pool};
use crate::metrics::Metrics;
use crate::target::{self, Memory};

/// Time that opening a link may take before the next holder is tried.
const LINK_TIMEOUT: Duration = Duration::from_millis(300);

/// Time beyond the deadline for which a dispatch process may take to report that it has passed.
const GRACE: Duration = Duration::from_millis(100);

/// A caller's request after authentication and admission.
#[derive(Debug)]
pub struct Call {
    /// All but the body.
    pub head: CallHead,
    /// The caller's body.
    pub body: CallerBody,
}

/// A caller's request without its body.
#[derive(Debug)]
pub struct CallHead {
    /// Id of the request.
    pub id: [u8; 16],
    /// Service that has to answer.
    pub service: Service,
    /// Team for which the request runs.
    pub team: ident::Team,
    /// Hash of the routing key.
    pub key: Option<u64>,
    /// Urgency.
    pub class: Class,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the answer has to be there.
    pub deadline: Instant,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Headers for the upstream.
    pub headers: Vec<wire::Header>,
}

/// Sends requests to dispatch processes.
#[derive(Debug)]
pub struct Router {
    /// Bundle and ledger in force.
    pub config: Arc<Config>,
    /// Connections to dispatch processes.
    pub pool: Arc<Pool>,
    /// Where acting holders were last found.
    pub memory: Arc<Memory>,
    /// Which group of a pool service takes a request.
    pub balance: crate::balance::Choice,
    /// Bound on retries.
    pub budget: Mutex<Budget>,
    /// Counters.
    pub metrics: Metrics,
}

/// A try that failed.
struct Failed {
    failure: Failure,
    reason: Reason,
}

impl Failed {
    const fn not_run(cause: Cause, reason: Reason) -> Self {
        let failure = Failure {
            cause,
            may_have_run: false,
            retry_after: None,
        };
        Self { failure, reason }
    }

    const fn unknown(cause: Cause, reason: Reason) -> Self {
        let failure = Failure {
            cause,
            may_have_run: true,
            retry_after: None,
        };
        Self { failure, reason }
    }
}

impl From<&wire::Refusal> for Failed {
    fn from(refusal: &wire::Refusal) -> Self {
        let cause = match refusal.reason {
            Reason::NotActing | Reason::NoOwner | Reason::Draining => Cause::Moved,
            Reason::QueueFull | Reason::Deadline | Reason::Unavailable => Cause::Busy,
            Reason::Broken | Reason::PeerLost => Cause::Broken,
            Reason::OverRate => Cause::Final,
        };
        Self {
            failure: Failure {
                cause,
                may_have_run: refusal.outcome == Outcome::Unknown,
                retry_after: Some(Duration::from_millis(u64::from(refusal.retry_after_ms))),
            },
            reason: refusal.reason,
        }
    }
}

impl Router {
    /// Sends a request until it is answered or has to be given up.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub async fn route(&self, mut call: Call) -> Result<Response, Refusal> {
        self.lock_budget().deposit();
        let alternatives = match call.head.service.kind {
            Kind::Pool => u32::try_from(call.head.service.data_centres.len()).unwrap_or(1) - 1,
            Kind::Keyed => 0,
        };
        let mut attempts = Attempts::new(call.head.idempotent, call.head.deadline, alternatives);

        loop {
            let failed = match self.attempt(&mut call).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            let replayable = call.body.is_replayable();
            let next = attempts.failed(
                clock::now(),
                failed.failure,
                replayable,
                &mut self.lock_budget(),
            );
            match next {
                Next::Retry { after } => sleep(after).await,
                Next::GiveUp {
                    may_have_run,
                    retry_after,
                } => return Err(Refusal::from_try(failed.reason, may_have_run, retry_after)),
            }
            self.metrics.retries.inc();
        }
    }

    async fn attempt(&self, call: &mut Call) -> Result<Response, Failed> {
        let moved = || Failed::not_run(Cause::Moved, Reason::NoOwner);
        let (bundle, ledger) = (self.config.bundle(), self.config.ledger());
        let (bundle, ledger) = bundle.zip(ledger).ok_or_else(moved)?;
        let Call { head, body } = call;
        let chosen = match head.key {
            Some(_) => None,
            None => Some(
                self.balance
                    .choose(&bundle, &head.service, head.class)
                    .ok_or_else(moved)?,
            ),
        };
        let data_centre = match (&chosen, head.key) {
            (Some(chosen), _) => chosen.data_centre().clone(),
            (None, Some(key)) => {
                target::owner_data_centre(&bundle, &ledger, &head.service, key).ok_or_else(moved)?
            }
            (None, None) => return Err(moved()),
        };
        let role = Name::Group {
            service: head.service.name.clone(),
            data_centre,
        };
        let result = self.exchange(&ledger, &role, head, body).await;
        match (&result, chosen) {
            (_, None) => {}
            (Ok((_, load)) | Err((_, Some(load))), Some(chosen)) => chosen.answered(*load),
            (Err((_, None)), Some(chosen)) => chosen.failed(),
        }
        result
            .map(|(response, _)| response)
            .map_err(|(failed, _)| failed)
    }

    /// Sends the request to the acting holder of a role; both results carry the group's load if it was told.
    async fn exchange(
        &self,
        ledger: &Ledger,
        role: &Name,
        head: &CallHead,
        body: &mut CallerBody,
    ) -> Result<(Response, wire::Load), (Failed, Option<wire::Load>)> {
        let moved = || (Failed::not_run(Cause::Moved, Reason::NoOwner), None);
        let (rank, member) = self.memory.holder(ledger, role).ok_or_else(moved)?;
        let mut exchange = match self.open(member, role, head, body.exists()).await {
            Ok(exchange) => exchange,
            Err(failed) => {
                self.memory.failed(ledger, role, rank);
                return Err((failed, None));
            }
        };
        let too_large = match exchange.outgoing.take() {
            Some(outgoing) => Some(body.send(outgoing).await),
            None => None,
        };

        let left = clock::now().until(head.deadline) + GRACE;
        let (failed, load) = match timeout(left, exchange.head()).await {
            Ok(Ok(Head::Answer(answer))) => {
                let load = answer.load;
                return Ok((respond(&answer, exchange), load));
            }
            Ok(Ok(Head::Refusal(refusal))) => {
                exchange.finish();
                // A VM that does not act for the group knows nothing of its load.
                let acting = refusal.reason != Reason::NotActing;
                if !acting {
                    self.memory.failed(ledger, role, rank);
                }
                let load = acting.then_some(refusal.load);
                (Failed::from(refusal.as_ref()), load)
            }
            Ok(Err(_)) => {
                self.memory.failed(ledger, role, rank);
                (Failed::unknown(Cause::Broken, Reason::PeerLost), None)
            }
            Err(_) => (Failed::unknown(Cause::Final, Reason::Deadline), None),
        };
        if too_large.is_some_and(|flag| flag.load(Ordering::Acquire)) {
            return Err((Failed::unknown(Cause::Final, Reason::Broken), load));
        }
        Err((failed, load))
    }

    /// Sends the head of the request; a failure means that it did not run.
    async fn open(
        &self,
        member: &kumquat_state::ledger::Member,
        role: &Name,
        call: &CallHead,
        has_body: bool,
    ) -> Result<Exchange, Failed> {
        let lost = |_| Failed::not_run(Cause::Moved, Reason::PeerLost);
        let connection = timeout(LINK_TIMEOUT, self.pool.connection(member))
            .await
            .map_err(|_elapsed| Failed::not_run(Cause::Moved, Reason::PeerLost))?
            .map_err(lost)?;
        let Name::Group {
            service,
            data_centre,
        } = role
        else {
            return Err(Failed::not_run(Cause::Moved, Reason::NoOwner));
        };
        let left = clock::now().until(call.deadline).as_millis();
        let build = |stream| {
            Message::Request(Box::new(wire::Request {
                stream,
                id: call.id,
                service: service.clone(),
                data_centre: data_centre.clone(),
                team: call.team.clone(),
                key: call.key,
                class: call.class,
                idempotent: call.idempotent,
                deadline_ms: u32::try_from(left).unwrap_or(u32::MAX),
                method: call.method.clone(),
                path: call.path.clone(),
                headers: call.headers.clone(),
                has_body,
            }))
        };
        connection.request(has_body, build).await.map_err(lost)
    }

    fn lock_budget(&self) -> std::sync::MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Creates the response whose body streams from the dispatch process.
fn respond(answer: &wire::Answer, exchange: Exchange) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::builder().status(status);
    for (name, value) in &answer.headers {
        if caller::is_returned(name) {
            response = response.header(name.as_str(), value.as_ref());
        }
    }
    let body = exchange
        .into_body()
        .map_or_else(Body::empty, |(incoming, guard)| {
            Body::from_bytes_stream(stream::unfold(Some((incoming, guard)), next_part))
        });
    response.body(body)
}

type Source = Option<(Incoming, Guard)>;

/// Takes the next part of an answer; an answer that breaks off ends in an error, so that the caller sees it is not whole.
async fn next_part(source: Source) -> Option<(std::io::Result<bytes::Bytes>, Source)> {
    let (mut incoming, mut guard) = source?;
    match incoming.next().await {
        Ok(Some(part)) => Some((Ok(part), Some((incoming, guard)))),
        Ok(None) => {
            guard.finish();
            None
        }
        Err(error) => {
            let error = std::io::Error::other(error.to_string());
            Some((Err(error), None))
        }
    }
}
