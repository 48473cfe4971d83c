//! The `group` module provides the task that dispatches the requests of one group to its upstreams.
//!
//! All decisions are those of `kumquat_coordination::dispatch` and `kumquat_coordination::grant`; this task carries them
//! out. See `docs/design.md`, section 5.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use kumquat_coordination::dispatch::{Action, Arrival, Execution, Group, Options, Outcome};
use kumquat_protocol::wire::{self, Reason};
use kumquat_state::bundle::{Bundle, Service, ServiceKind};
use kumquat_state::clock::{self, Instant};
use kumquat_state::ident;
use kumquat_state::ledger::Ledger;

use crate::metrics::Metrics;
use crate::permit::Permit;

mod attempt;
mod failing;
mod ownership;
mod request;
mod upstreams;

pub use ownership::Status;
pub use request::{Closer, Payload, Pending, Responder};

use attempt::Ended;
use ownership::Ownership;
use request::Open;
use upstreams::Upstreams;

/// Commands that wait for the task.
const QUEUE: usize = 4_096;

/// Time between two looks at grants.
const TICK: Duration = Duration::from_millis(10);

/// Longest time for which a release waits for running attempts.
///
/// The next holder starts each upstream at its cold limit, so that a few attempts that still run do no harm; a longer
/// wait would keep the whole group from being served.
const RELEASE_WAIT: Duration = Duration::from_millis(200);

/// What a group task needs to know about itself.
#[derive(Clone, Debug)]
pub struct Context {
    /// The group's service.
    pub service: Service,
    /// The group's data centre.
    pub data_centre: ident::DataCentre,
    /// Permission to act for the group.
    pub permit: Arc<Permit>,
    /// Counters.
    pub metrics: Metrics,
    /// Where the state of the group's upstreams is reported.
    pub reports: mpsc::Sender<Status>,
    /// Where changes of upstreams are reported for the audit trail.
    pub changes: mpsc::Sender<Change>,
}

/// A change of an upstream's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The upstream.
    pub upstream: ident::Upstream,
    /// What changed.
    pub kind: ChangeKind,
}

/// Kind of a [`Change`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// It is an outlier and gets no requests for a while.
    Ejected,
    /// It gets requests again.
    Reinstated,
    /// It is in a cold start.
    TurnedCold,
    /// Its cold start is over.
    Warm,
}

impl ChangeKind {
    /// Returns the name used in metrics and the audit trail.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ejected => "ejected",
            Self::Reinstated => "reinstated",
            Self::TurnedCold => "turned-cold",
            Self::Warm => "warm",
        }
    }
}

/// What the task is told.
#[derive(Debug)]
pub enum Command {
    /// A request arrived.
    Arrive(Box<Pending>),
    /// The caller of a request hung up.
    Cancel(Token),
    /// Bundle or ledger changed.
    Configure(Arc<Bundle>, Arc<Ledger>),
    /// The role is to be given up: no new request is sent, and the answer says that running ones have ended.
    Release(oneshot::Sender<()>),
}

/// Identifies a request for cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Connection on which the request came.
    pub connection: u64,
    /// Stream of the request.
    pub stream: u64,
}

/// A running group task; dropping all handles ends it once its requests are answered.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
}

impl Handle {
    /// Hands a command to the task.
    ///
    /// # Errors
    ///
    /// Returns the command if the task can't take it now.
    pub fn send(&self, command: Command) -> Result<(), Command> {
        self.commands
            .try_send(command)
            .map_err(|error| match error {
                mpsc::error::TrySendError::Full(command)
                | mpsc::error::TrySendError::Closed(command) => command,
            })
    }
}

impl Handle {
    /// Hands a command to the task, waiting for room in its queue.
    pub async fn deliver(&self, command: Command) {
        // A task that has ended has answered all its requests.
        drop(self.commands.send(command).await);
    }
}

/// Starts the task of a group.
#[must_use]
pub fn spawn(context: Context, bundle: &Arc<Bundle>, ledger: &Arc<Ledger>) -> Handle {
    let (commands, receiver) = mpsc::channel(QUEUE);
    let (ended_sender, ended) = mpsc::unbounded_channel();
    let group = Group::new(context.service.kind, Options::default(), rand::random());
    let ownership = Ownership::new(&context.service);
    let mut task = Task {
        upstreams: Upstreams::new(ended_sender),
        ownership,
        group,
        open: Vec::new(),
        next_id: 0,
        queued: 0,
        release: None,
        context,
    };
    task.configure(bundle, ledger);
    tokio::spawn(task.run(receiver, ended));
    Handle { commands }
}

struct Task {
    context: Context,
    group: Group,
    upstreams: Upstreams,
    ownership: Ownership,
    // Sorted by id, which only grows.
    open: Vec<Open>,
    next_id: u64,
    // What this group adds to the service's gauge, which several groups of one process share.
    queued: u32,
    release: Option<(Instant, oneshot::Sender<()>)>,
}

impl Task {
    async fn run(
        mut self,
        mut commands: mpsc::Receiver<Command>,
        mut ended: mpsc::UnboundedReceiver<Ended>,
    ) {
        let mut closed = false;
        while !(closed && self.group.is_idle()) {
            let wakeup = self
                .group
                .next_wakeup()
                .map_or(TICK, |due| clock::now().until(due).min(TICK));
            tokio::select! {
                command = commands.recv(), if !closed => match command {
                    Some(command) => self.command(command),
                    None => closed = true,
                },
                event = ended.recv() => {
                    if let Some(event) = event {
                        self.ended(event);
                    }
                }
                () = sleep(wakeup) => {}
            }
            self.tick();
        }
        self.show_queue(0);
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Arrive(pending) => self.arrive(*pending),
            Command::Cancel(token) => self.cancel(&token),
            Command::Configure(bundle, ledger) => self.configure(&bundle, &ledger),
            Command::Release(done) => {
                self.group.stop_admission();
                self.release = Some((clock::now() + RELEASE_WAIT, done));
            }
        }
    }

    fn arrive(&mut self, pending: Pending) {
        let now = clock::now();
        if self.context.permit.until().is_none() || self.release.is_some() {
            return self.turn_away(pending, Reason::NotActing);
        }
        let target = match self.context.service.kind {
            ServiceKind::Pool => None,
            ServiceKind::Keyed => match self.ownership.target(now, &pending.request) {
                Some(upstream) => Some(upstream),
                None => return self.turn_away(pending, Reason::NoOwner),
            },
        };

        self.next_id += 1;
        let request = &pending.request;
        let arrival = Arrival {
            id: self.next_id,
            team: request.team.clone(),
            class: request.class,
            // A body that streams can't be sent twice.
            idempotent: request.idempotent && pending.payload.is_replayable(),
            deadline: pending.deadline,
            target,
        };
        self.open.push(Open::new(self.next_id, pending));
        let mut actions = Vec::new();
        self.group.on_arrival(now, arrival, &mut actions);
        self.apply(actions);
    }

    fn turn_away(&self, pending: Pending, reason: Reason) {
        self.count_refusal(reason);
        let load = self.load();
        pending.responder.refuse(
            reason,
            wire::Outcome::NotRun,
            Duration::from_millis(50),
            load,
        );
    }

    fn cancel(&mut self, token: &Token) {
        let Some(id) = self
            .open
            .iter()
            .find(|open| open.token == *token)
            .map(|open| open.id)
        else {
            return;
        };
        let mut actions = Vec::new();
        self.group.cancel(clock::now(), id, &mut actions);
        self.apply(actions);
    }

    fn configure(&mut self, bundle: &Arc<Bundle>, ledger: &Arc<Ledger>) {
        let now = clock::now();
        let (service, centre) = (&self.context.service.name, &self.context.data_centre);
        self.upstreams.configure(bundle, service, centre);
        self.ownership.configure(bundle, ledger, centre);
        let weights: Vec<_> = bundle
            .teams
            .iter()
            .map(|team| (team.name.clone(), team.weight))
            .collect();
        self.group.set_weights(&weights);
        let mut actions = Vec::new();
        self.group
            .set_upstreams(now, &self.upstreams.views(bundle), &mut actions);
        self.apply(actions);
    }

    fn ended(&mut self, event: Ended) {
        let now = clock::now();
        let mut actions = Vec::new();
        match event {
            Ended::Started { attempt, boot } => {
                self.note_boot(attempt, boot, &mut actions);
                self.group.on_response_started(now, attempt, &mut actions);
            }
            Ended::Attempt { attempt, outcome } => {
                self.count_attempt(outcome);
                self.ownership.attempt_ended(now, attempt, outcome);
                self.upstreams.remove_attempt(attempt);
                self.group
                    .on_attempt_ended(now, attempt, outcome, &mut actions);
            }
            Ended::Order { upstream, reply } => {
                if let Some(boot) = self.ownership.order_ended(now, &upstream, reply) {
                    self.group.set_boot_id(now, &upstream, boot, &mut actions);
                }
            }
        }
        self.apply(actions);
    }

    fn note_boot(&mut self, attempt: u64, boot: Option<u64>, actions: &mut Vec<Action>) {
        let upstream = self.upstreams.attempt_upstream(attempt).cloned();
        if let Some((upstream, boot)) = upstream.zip(boot) {
            self.group
                .set_boot_id(clock::now(), &upstream, boot, actions);
        }
    }

    fn tick(&mut self) {
        let now = clock::now();
        let mut actions = Vec::new();
        self.group.tick(now, &mut actions);
        for upstream in self.ownership.silent(now) {
            self.group.fail_requests_to(now, &upstream, &mut actions);
        }
        self.apply(actions);
        self.ownership
            .tick(now, &self.context.permit, &self.upstreams);
        if let Some(status) = self.ownership.status(now, &self.context) {
            // The next report replaces one that finds the queue full.
            drop(self.context.reports.try_send(status));
        }
        self.check_release(now);
        self.show_queue(self.group.queued_requests());
    }

    fn show_queue(&mut self, queued: u32) {
        if queued != self.queued {
            let name = self.context.service.name.as_str();
            let gauge = self.context.metrics.queued.with_label_values(&[name]);
            gauge.add(i64::from(queued) - i64::from(self.queued));
            self.queued = queued;
        }
    }

    /// Completes a release once nothing is running or waiting any longer does more harm than good.
    fn check_release(&mut self, now: Instant) {
        let due = self.release.as_ref().is_some_and(|(until, _)| {
            self.upstreams.running() == 0 || (now >= *until && !self.group.has_cold_attempts())
        });
        if due && let Some((_, done)) = self.release.take() {
            // Whoever asked may have been stopped itself meanwhile.
            let _asker_gone = done.send(());
        }
    }

    fn apply(&mut self, actions: Vec<Action>) {
        let mut pending = actions;
        while !pending.is_empty() {
            let mut further = Vec::new();
            for action in pending {
                self.apply_one(action, &mut further);
            }
            pending = further;
        }
    }

    fn apply_one(&mut self, action: Action, further: &mut Vec<Action>) {
        match action {
            Action::Send {
                id,
                attempt,
                upstream,
                deadline,
            } => {
                if !self.send(id, attempt, &upstream, deadline) {
                    self.context.metrics.withheld.inc();
                    let now = clock::now();
                    self.group
                        .on_attempt_ended(now, attempt, Outcome::NotConnected, further);
                }
            }
            Action::Abort { attempt } => self.upstreams.abort(attempt),
            Action::Deliver { id, attempt } => {
                let load = self.load();
                if let Some(responder) = self.take(id) {
                    self.upstreams.deliver(attempt, responder, load);
                }
            }
            Action::Refuse {
                id,
                reason,
                execution,
                retry_after,
            } => self.refuse(id, reason, execution, retry_after),
            Action::Ejected { upstream, .. } => self.changed(upstream, ChangeKind::Ejected),
            Action::Reinstated { upstream } => self.changed(upstream, ChangeKind::Reinstated),
            Action::TurnedCold { upstream } => self.changed(upstream, ChangeKind::TurnedCold),
            Action::TurnedWarm { upstream } => self.changed(upstream, ChangeKind::Warm),
        }
    }

    /// Sends an attempt and returns whether it was permitted at this moment.
    fn send(
        &mut self,
        id: u64,
        attempt: u64,
        upstream: &ident::Upstream,
        deadline: Instant,
    ) -> bool {
        let Ok(index) = self.open.binary_search_by_key(&id, |open| open.id) else {
            return false;
        };
        if self.context.permit.until().is_none() {
            return false;
        }
        let fence = self.context.permit.fence();
        let pass = match self.context.service.kind {
            ServiceKind::Pool => ownership::Pass { fence },
            ServiceKind::Keyed => {
                let open = &self.open[index];
                match self
                    .ownership
                    .begin(clock::now(), upstream, attempt, &open.request, deadline)
                {
                    Some(pass) => pass,
                    None => return false,
                }
            }
        };
        self.upstreams.send(
            &mut self.open[index],
            attempt,
            upstream,
            deadline,
            pass,
            &self.context.permit,
        )
    }

    fn refuse(
        &mut self,
        id: u64,
        reason: kumquat_coordination::dispatch::RefusalReason,
        execution: Execution,
        retry_after: Duration,
    ) {
        let reason = request::wire_reason(reason, self.context.service.kind);
        let outcome = match execution {
            Execution::NotRun => wire::Outcome::NotRun,
            Execution::Unknown => wire::Outcome::Unknown,
        };
        self.count_refusal(reason);
        let load = self.load();
        if let Some(responder) = self.take(id) {
            responder.refuse(reason, outcome, retry_after, load);
        }
    }

    fn take(&mut self, id: u64) -> Option<Responder> {
        let index = self.open.binary_search_by_key(&id, |open| open.id).ok()?;
        self.open.remove(index).responder
    }

    fn changed(&self, upstream: ident::Upstream, kind: ChangeKind) {
        self.context
            .metrics
            .upstream_changes
            .with_label_values(&[upstream.as_str(), kind.as_str()])
            .inc();
        // The audit ring is bounded as well; losing an entry under a flood of changes is better than waiting.
        drop(self.context.changes.try_send(Change { upstream, kind }));
    }

    fn load(&self) -> wire::Load {
        let load = self.group.load(clock::now());
        wire::Load {
            urgent: load.urgent,
            ordinary: load.ordinary,
            running: load.running,
            slots: load.slots,
            attempt_us: u32::try_from(load.service_time.as_micros()).unwrap_or(u32::MAX),
        }
    }

    fn count_attempt(&self, outcome: Outcome) {
        let outcome = match outcome {
            Outcome::Completed { .. } => "completed",
            Outcome::Shed => "shed",
            Outcome::NotConnected => "not-connected",
            Outcome::Broken => "broken",
            Outcome::TimedOut => "timed-out",
        };
        let labels = [self.context.service.name.as_str(), outcome];
        self.context
            .metrics
            .attempts
            .with_label_values(&labels)
            .inc();
    }

    fn count_refusal(&self, reason: Reason) {
        let labels = [
            self.context.service.name.as_str(),
            request::reason_name(reason),
        ];
        self.context
            .metrics
            .refusals
            .with_label_values(&labels)
            .inc();
    }
}
