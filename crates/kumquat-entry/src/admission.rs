//! The `admission` module provides the rate limit of each team at this entry.
//!
//! Each team in use has a share of credits, kept filled by a task that asks the team's home VM. The decisions are those
//! of `kumquat_coordination::limit`.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use kumquat_coordination::limit::{self, Action, CreditCache, Ticket, Verdict};
use kumquat_protocol::wire::{Credit, CreditRequest};
use kumquat_state::clock;
use kumquat_state::ident;
use kumquat_state::ledger::RoleName;
use kumquat_transport::{Error, Result};

use crate::answer::Refusal;
use crate::config::Config;
use crate::links::Pool;
use crate::target::Memory;

/// Time between two looks at a share that is in use.
const TICK: Duration = Duration::from_millis(5);

/// Time after which a team without requests is looked at no more until its next request.
const IDLE_TICKS: u32 = 200;

/// Longest time that a request waits for a credit.
///
/// It covers the takeover of a home (1.1 s), so that a lost VM does not lead to refusals of teams within their rate.
const LONGEST_WAIT: Duration = Duration::from_millis(1_500);

/// Most requests of one team that wait for credits at once at this entry.
const WAITERS: usize = 4_096;

/// Time within which a home has to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// What admission needs of the rest of the entry.
#[derive(Clone, Debug)]
pub struct Context {
    /// Bundle and ledger in force.
    pub config: Arc<Config>,
    /// Connections to dispatch processes.
    pub pool: Arc<Pool>,
    /// Where acting homes were last found.
    pub memory: Arc<Memory>,
    /// Ends the tasks at shutdown.
    pub ended: CancellationToken,
}

/// The shares of all teams in use.
#[derive(Debug)]
pub struct Admission {
    context: Context,
    // Sorted by team.
    counters: Mutex<Vec<(ident::Team, Arc<Counter>)>>,
}

#[derive(Debug)]
struct Counter {
    state: Mutex<State>,
    wake: Notify,
}

#[derive(Debug)]
struct State {
    share: CreditCache,
    waiting: Vec<(Ticket, oneshot::Sender<Grant>)>,
    idle: u32,
}

/// What a waiting request gets: it may run, or it may be tried again later.
type Grant = std::result::Result<(), Refusal>;

/// Takes a request that was given up out of the queue for credits.
struct Waiter<'a> {
    counter: &'a Counter,
    ticket: Ticket,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut state = self.counter.lock();
        if let Some(index) = state.position(self.ticket) {
            state.waiting.swap_remove(index);
            state.share.cancel(self.ticket);
        }
    }
}

impl Admission {
    /// Creates the admission without any team in use.
    #[must_use]
    pub fn new(context: Context) -> Self {
        Self {
            context,
            counters: Mutex::new(Vec::new()),
        }
    }

    /// Spends one credit of the team, waiting for it if necessary.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the team is above its rate, or if no home issues credits in time.
    pub async fn admit(&self, team: &ident::Team) -> std::result::Result<(), Refusal> {
        let counter = self.counter(team);
        let (ticket, grant) = match counter.spend() {
            Spend::Done => return Ok(()),
            Spend::Refused(refusal) => return Err(refusal),
            Spend::Waiting(ticket, grant) => (ticket, grant),
        };
        counter.wake.notify_one();
        let _waiter = Waiter {
            counter: &counter,
            ticket,
        };
        grant.await.unwrap_or(Err(no_home(LONGEST_WAIT)))
    }

    fn counter(&self, team: &ident::Team) -> Arc<Counter> {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        match counters.binary_search_by(|(name, _)| name.cmp(team)) {
            Ok(index) => Arc::clone(&counters[index].1),
            Err(index) => {
                let counter = Arc::new(Counter::new());
                counters.insert(index, (team.clone(), Arc::clone(&counter)));
                let context = self.context.clone();
                tokio::spawn(fill(context, team.clone(), Arc::clone(&counter)));
                counter
            }
        }
    }
}

enum Spend {
    Done,
    Refused(Refusal),
    Waiting(Ticket, oneshot::Receiver<Grant>),
}

impl Counter {
    fn new() -> Self {
        let options = limit::Options {
            max_waiters: WAITERS,
            max_wait: LONGEST_WAIT,
            request_timeout: ASK_TIMEOUT,
        };
        Self {
            state: Mutex::new(State {
                share: CreditCache::new(options, clock::now()),
                waiting: Vec::new(),
                idle: 0,
            }),
            wake: Notify::new(),
        }
    }

    fn spend(&self) -> Spend {
        let mut state = self.lock();
        let was_idle = state.idle >= IDLE_TICKS;
        state.idle = 0;
        let spend = match state.share.spend(clock::now()) {
            Verdict::Spent => Spend::Done,
            Verdict::Refuse { retry_after } if state.waiting.len() >= WAITERS => {
                Spend::Refused(no_home(retry_after))
            }
            Verdict::Refuse { retry_after } => Spend::Refused(Refusal::over_rate(retry_after)),
            Verdict::Wait(ticket) => {
                let (sender, grant) = oneshot::channel();
                state.waiting.push((ticket, sender));
                Spend::Waiting(ticket, grant)
            }
        };
        drop(state);
        if was_idle {
            self.wake.notify_one();
        }
        spend
    }

    /// Carries out what the share decided and returns what has to be sent.
    /// Refusals of waiting requests are reported by `refuse`, because only the occasion tells why they are refused.
    fn apply(
        &self,
        refuse: fn(Duration) -> Refusal,
        decide: impl FnOnce(&mut CreditCache) -> Vec<Action>,
    ) -> Vec<limit::Ask> {
        let mut state = self.lock();
        let mut asks = Vec::new();
        for action in decide(&mut state.share) {
            match action {
                Action::Ask(ask) => asks.push(ask),
                Action::Admit(ticket) => state.grant(ticket, Ok(())),
                Action::Refuse {
                    ticket,
                    retry_after,
                } => state.grant(ticket, Err(refuse(retry_after))),
            }
        }
        asks
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn position(&self, ticket: Ticket) -> Option<usize> {
        self.waiting.iter().position(|(other, _)| *other == ticket)
    }

    fn grant(&mut self, ticket: Ticket, grant: Grant) {
        if let Some(index) = self.position(ticket) {
            let (_, sender) = self.waiting.swap_remove(index);
            // A caller that has hung up meanwhile leaves its credit spent, which errs on the safe side.
            let _hung_up = sender.send(grant);
        }
    }
}

/// Creates the refusal for a team whose home has issued no credit in time, which says nothing about its rate.
fn no_home(retry_after: Duration) -> Refusal {
    Refusal::later(
        "no-home",
        "the team's rate could not be checked in time",
        retry_after,
    )
}

/// Keeps the share of one team filled until the entry shuts down.
async fn fill(context: Context, team: ident::Team, counter: Arc<Counter>) {
    while !context.ended.is_cancelled() {
        let asks = counter.apply(no_home, |share| share.tick(clock::now()));
        for ask in asks {
            tokio::spawn(send(
                context.clone(),
                team.clone(),
                Arc::clone(&counter),
                ask,
            ));
        }
        let idle = {
            let mut state = counter.lock();
            state.idle = state.idle.saturating_add(1);
            state.idle >= IDLE_TICKS && state.waiting.is_empty()
        };
        tokio::select! {
            () = context.ended.cancelled() => {}
            () = counter.wake.notified() => {}
            () = sleep(TICK), if !idle => {}
        }
    }
}

/// Asks the home once and hands its answer to the share.
async fn send(context: Context, team: ident::Team, counter: Arc<Counter>, ask: limit::Ask) {
    let reply = ask_home(&context, &team, &ask).await;
    let asks = counter.apply(Refusal::over_rate, |share| {
        if let Ok(credit) = reply {
            return share.on_credit(clock::now(), &credit);
        }
        share.on_failure(clock::now(), ask.sequence);
        Vec::new()
    });
    // The share asks for more on its next tick; an answer never leads to a question at once.
    debug_assert!(asks.is_empty(), "a credit led to another ask");
    counter.wake.notify_one();
}

async fn ask_home(
    context: &Context,
    team: &ident::Team,
    ask: &limit::Ask,
) -> Result<limit::Credit> {
    let role = RoleName::Home { team: team.clone() };
    let ledger = context
        .config
        .ledger()
        .ok_or_else(|| Error::connect("no ledger yet"))?;
    let (rank, member) = context
        .memory
        .holder(&ledger, &role)
        .ok_or_else(|| Error::connect("the team has no home yet"))?;
    // A home that is paused or cut off neither answers nor refuses; its successor has to be asked as well.
    let result = timeout(ASK_TIMEOUT, exchange(context, member, team, ask))
        .await
        .unwrap_or_else(|_elapsed| Err(Error::connect("the home did not answer in time")));
    match result {
        Ok(credit) if credit.acting => Ok(limit::Credit::from(&credit)),
        Ok(_) => {
            context.memory.failed(&ledger, &role, rank);
            Err(Error::Closed)
        }
        Err(error) => {
            context.memory.failed(&ledger, &role, rank);
            Err(error)
        }
    }
}

async fn exchange(
    context: &Context,
    member: &kumquat_state::ledger::Member,
    team: &ident::Team,
    ask: &limit::Ask,
) -> Result<Credit> {
    let connection = context.pool.connection(member).await?;
    connection.credits(CreditRequest::new(team, ask)).await
}
