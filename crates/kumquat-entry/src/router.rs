//! The `router` module provides the way of a request from admission to its answer, including further tries.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use poem::Response;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use kumquat_coordination::routing::{Attempts, Failure, FailureCause, RetryBudget, RetryDecision};
use kumquat_protocol::wire::{self, Message, Outcome, Reason};
use kumquat_state::bundle::{PriorityClass, Service, ServiceKind};
use kumquat_state::clock::{self, Instant};
use kumquat_state::ident;
use kumquat_state::ledger::{Ledger, RoleName};

use crate::answer::Refusal;
use crate::balance::End;
use crate::body::{CallerBody, Problem};
use crate::config::Config;
use crate::gateway::refuse_body;
use crate::links::{Exchange, Head, Pool};
use crate::listener::{Answering, Caller};
use crate::metrics::Metrics;
use crate::streaming::{Streaming, respond};
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
    pub class: PriorityClass,
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
    pub budget: Mutex<RetryBudget>,
    /// Counters.
    pub metrics: Metrics,
    /// Longest pause within the body of an answer.
    pub pause: Duration,
}

/// A try that failed.
struct Failed {
    failure: Failure,
    reason: Reason,
    // What was wrong with the caller's body, if that is why the try failed.
    problem: Option<Problem>,
}

impl Failed {
    const fn new(failure: Failure, reason: Reason) -> Self {
        Self {
            failure,
            reason,
            problem: None,
        }
    }

    const fn body(problem: Problem) -> Self {
        Self {
            problem: Some(problem),
            ..Self::unknown(FailureCause::NotRetryable, Reason::Broken)
        }
    }

    const fn not_run(cause: FailureCause, reason: Reason) -> Self {
        let failure = Failure {
            cause,
            may_have_run: false,
            retry_after: None,
        };
        Self::new(failure, reason)
    }

    const fn unknown(cause: FailureCause, reason: Reason) -> Self {
        let failure = Failure {
            cause,
            may_have_run: true,
            retry_after: None,
        };
        Self::new(failure, reason)
    }
}

impl From<&wire::Refusal> for Failed {
    fn from(refusal: &wire::Refusal) -> Self {
        let cause = match refusal.reason {
            Reason::NotActing | Reason::NoOwner | Reason::Draining => FailureCause::Moved,
            Reason::QueueFull | Reason::Deadline | Reason::Unavailable => FailureCause::Busy,
            Reason::Broken | Reason::PeerLost => FailureCause::Interrupted,
            Reason::OverRate => FailureCause::NotRetryable,
        };
        Self {
            failure: Failure {
                cause,
                may_have_run: refusal.outcome == Outcome::Unknown,
                retry_after: Some(Duration::from_millis(u64::from(refusal.retry_after_ms))),
            },
            reason: refusal.reason,
            problem: None,
        }
    }
}

impl Router {
    /// Sends a request until it is answered or has to be given up.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub async fn route(
        &self,
        mut call: Call,
        caller: Option<&Arc<Caller>>,
        answering: Option<Answering>,
    ) -> Result<Response, Refusal> {
        self.lock_budget().deposit();
        let alternatives = match call.head.service.kind {
            ServiceKind::Pool => {
                u32::try_from(call.head.service.data_centres.len()).unwrap_or(1) - 1
            }
            ServiceKind::Keyed => 0,
        };
        let mut attempts = Attempts::new(call.head.idempotent, call.head.deadline, alternatives);

        loop {
            let failed = match self.attempt(&mut call).await {
                Ok((answer, exchange)) => {
                    let streaming = Streaming {
                        caller: caller.cloned(),
                        answering,
                        metrics: self.metrics.clone(),
                        pause: self.pause,
                    };
                    return Ok(respond(&answer, exchange, &call.head.method, streaming));
                }
                Err(failed) => failed,
            };
            let replayable = call.body.is_replayable();
            let next = attempts.on_failure(
                clock::now(),
                failed.failure,
                replayable,
                &mut self.lock_budget(),
            );
            match next {
                RetryDecision::Retry { after } => sleep(after).await,
                RetryDecision::GiveUp {
                    may_have_run,
                    retry_after,
                } => {
                    let refusal = Refusal::from_try(failed.reason, may_have_run, retry_after);
                    return Err(failed
                        .problem
                        .map_or(refusal, |problem| refuse_body(problem, refusal.outcome)));
                }
            }
            self.metrics.retries.inc();
        }
    }

    async fn attempt(&self, call: &mut Call) -> Result<(Box<wire::Answer>, Exchange), Failed> {
        let moved = || Failed::not_run(FailureCause::Moved, Reason::NoOwner);
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
        let role = RoleName::Group {
            service: head.service.name.clone(),
            data_centre,
        };
        let result = self.exchange(&ledger, &role, head, body).await;
        let end = match &result {
            Ok((answer, _)) => End::Load(answer.load),
            Err((_, end)) => *end,
        };
        if let Some(chosen) = chosen {
            chosen.end(end);
        }
        result.map_err(|(failed, _)| failed)
    }

    /// Sends the request to the acting holder of a role; a failure comes with what it says about the group.
    async fn exchange(
        &self,
        ledger: &Ledger,
        role: &RoleName,
        head: &CallHead,
        body: &mut CallerBody,
    ) -> Result<(Box<wire::Answer>, Exchange), (Failed, End)> {
        let moved = || {
            (
                Failed::not_run(FailureCause::Moved, Reason::NoOwner),
                End::Failed,
            )
        };
        let (rank, member) = self.memory.holder(ledger, role).ok_or_else(moved)?;
        let mut exchange = match self.open(member, role, head, body.exists()).await {
            Ok(exchange) => exchange,
            Err(failed) => {
                self.memory.failed(ledger, role, rank);
                return Err((failed, End::Failed));
            }
        };
        let left = clock::now().until(head.deadline) + GRACE;
        let outgoing = exchange.outgoing.take();
        let answer = async {
            let problem = match outgoing {
                Some(outgoing) => Some(body.send(outgoing).await),
                None => None,
            };
            tokio::select! {
                biased;
                // The problem comes first, because the dispatch process answers the cancellation that follows from it.
                // Once the body is sent, its sender is dropped and only the answer counts.
                Ok(problem) = problem_of(problem) => Err(Some(problem)),
                head = exchange.head() => head.map_err(|_closed| None),
            }
        };
        match timeout(left, answer).await {
            Ok(Ok(Head::Answer(answer))) => Ok((answer, exchange)),
            Ok(Ok(Head::Refusal(refusal))) => {
                exchange.finish();
                // A VM that does not act for the group knows nothing of its load.
                let end = if refusal.reason == Reason::NotActing {
                    self.memory.failed(ledger, role, rank);
                    End::Failed
                } else {
                    End::Load(refusal.load)
                };
                Err((Failed::from(refusal.as_ref()), end))
            }
            // The group has done nothing wrong.
            Ok(Err(Some(problem))) => Err((Failed::body(problem), End::Unknown)),
            Ok(Err(None)) => {
                self.memory.failed(ledger, role, rank);
                let failed = Failed::unknown(FailureCause::Interrupted, Reason::PeerLost);
                Err((failed, End::Failed))
            }
            Err(_) => {
                let failed = Failed::unknown(FailureCause::NotRetryable, Reason::Deadline);
                Err((failed, End::Failed))
            }
        }
    }

    /// Sends the head of the request; a failure means that it did not run.
    async fn open(
        &self,
        member: &kumquat_state::ledger::Member,
        role: &RoleName,
        call: &CallHead,
        has_body: bool,
    ) -> Result<Exchange, Failed> {
        let lost = |_| Failed::not_run(FailureCause::Moved, Reason::PeerLost);
        let connection = timeout(LINK_TIMEOUT, self.pool.connection(member))
            .await
            .map_err(|_elapsed| Failed::not_run(FailureCause::Moved, Reason::PeerLost))?
            .map_err(lost)?;
        let RoleName::Group {
            service,
            data_centre,
        } = role
        else {
            return Err(Failed::not_run(FailureCause::Moved, Reason::NoOwner));
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

    fn lock_budget(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for a problem of the body that is being sent.
async fn problem_of(
    problem: Option<oneshot::Receiver<Problem>>,
) -> Result<Problem, oneshot::error::RecvError> {
    match problem {
        Some(problem) => problem.await,
        None => std::future::pending().await,
    }
}
