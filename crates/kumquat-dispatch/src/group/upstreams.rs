//! The `upstreams` module provides the clients of a group's upstreams and the attempts that run on them.

use std::sync::Arc;

use poem::http::{HeaderMap, HeaderName, HeaderValue, Method};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use kumquat_coordination::dispatch;
use kumquat_protocol::wire;
use kumquat_state::bundle::{self, Bundle};
use kumquat_state::clock::{self, Instant};
use kumquat_state::ident;
use kumquat_transport::upstream::{Call, Client, Options};

use super::attempt::{Attempt, Delivery, Ended};
use super::ownership::Pass;
use super::request::{Open, Responder};
use crate::permit::Permit;

/// The upstreams of one group.
#[derive(Debug)]
pub struct Upstreams {
    // Sorted by name.
    known: Vec<Known>,
    // Sorted by number, which only grows.
    attempts: Vec<Running>,
    ended: mpsc::UnboundedSender<Ended>,
}

#[derive(Debug)]
struct Known {
    upstream: bundle::Upstream,
    client: Client,
}

#[derive(Debug)]
struct Running {
    number: u64,
    upstream: ident::Upstream,
    abort: CancellationToken,
    delivery: Option<oneshot::Sender<Delivery>>,
}

impl Upstreams {
    /// Creates an empty set that reports ends of attempts to `ended`.
    #[must_use]
    pub const fn new(ended: mpsc::UnboundedSender<Ended>) -> Self {
        Self {
            known: Vec::new(),
            attempts: Vec::new(),
            ended,
        }
    }

    /// Takes the group's upstreams from a bundle; pooled connections of unchanged ones are kept.
    pub fn configure(
        &mut self,
        bundle: &Bundle,
        service: &ident::Service,
        data_centre: &ident::DataCentre,
    ) {
        let upstreams = bundle.upstreams.iter().filter(|upstream| {
            upstream.service == *service && upstream.data_centre == *data_centre
        });
        let mut known = Vec::new();
        for upstream in upstreams {
            if let Some(client) = self.client_for(upstream) {
                known.push(Known {
                    upstream: upstream.clone(),
                    client,
                });
            }
        }
        self.known = known;
    }

    /// Returns the upstreams as the dispatch state machine sees them.
    #[must_use]
    pub fn views(&self, bundle: &Bundle) -> Vec<dispatch::Upstream> {
        self.known
            .iter()
            .map(|known| dispatch::Upstream {
                name: known.upstream.name.clone(),
                slots: known.upstream.slots,
                cold_slots: known.upstream.cold_slots,
                cold_step: known.upstream.cold_step,
                takes_work: bundle.takes_work(&known.upstream),
            })
            .collect()
    }

    /// Returns the client of an upstream.
    #[must_use]
    pub fn client(&self, name: &ident::Upstream) -> Option<&Client> {
        self.find(name).map(|known| &known.client)
    }

    /// Returns the number of attempts that have not ended.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the upstream on which an attempt runs.
    #[must_use]
    pub fn attempt_upstream(&self, number: u64) -> Option<&ident::Upstream> {
        let index = self.position(number).ok()?;
        Some(&self.attempts[index].upstream)
    }

    /// Starts an attempt and returns whether its body was still there.
    pub fn send(
        &mut self,
        open: &mut Open,
        number: u64,
        upstream: &ident::Upstream,
        deadline: Instant,
        pass: Pass,
        permit: &Arc<Permit>,
    ) -> bool {
        let Some(client) = self.client(upstream).cloned() else {
            return false;
        };
        let Some(call) = call(open, number, deadline, pass) else {
            return false;
        };
        let abort = CancellationToken::new();
        let (sender, delivery) = oneshot::channel();
        let attempt = Attempt {
            number,
            client,
            call,
            permit: Arc::clone(permit),
            abort: abort.clone(),
            delivery,
            ended: self.ended.clone(),
        };
        let index = self.position(number).unwrap_or_else(|index| index);
        let running = Running {
            number,
            upstream: upstream.clone(),
            abort,
            delivery: Some(sender),
        };
        self.attempts.insert(index, running);
        tokio::spawn(attempt.run());
        true
    }

    /// Cancels an attempt; its end is still reported.
    pub fn abort(&self, number: u64) {
        if let Ok(index) = self.position(number) {
            self.attempts[index].abort.cancel();
        }
    }

    /// Lets an attempt's answer go to the caller.
    pub fn deliver(&mut self, number: u64, responder: Responder, load: wire::Load) {
        if let Ok(index) = self.position(number)
            && let Some(delivery) = self.attempts[index].delivery.take()
        {
            // An attempt that has ended meanwhile reports that as broken.
            drop(delivery.send((responder, load)));
        }
    }

    /// Forgets an attempt that has ended.
    pub fn remove_attempt(&mut self, number: u64) {
        if let Ok(index) = self.position(number) {
            self.attempts.remove(index);
        }
    }

    /// Returns where ends of orders are reported.
    #[must_use]
    pub const fn ended(&self) -> &mpsc::UnboundedSender<Ended> {
        &self.ended
    }

    fn client_for(&self, upstream: &bundle::Upstream) -> Option<Client> {
        let same = self.find(&upstream.name).filter(|known| {
            known.upstream.address == upstream.address
                && known.upstream.connections == upstream.connections
        });
        if let Some(known) = same {
            return Some(known.client.clone());
        }
        let options = Options {
            connections: upstream.connections,
            ..Options::new(upstream.address)
        };
        Client::open(&options).ok()
    }

    fn find(&self, name: &ident::Upstream) -> Option<&Known> {
        let index = self
            .known
            .binary_search_by(|known| known.upstream.name.cmp(name))
            .ok()?;
        Some(&self.known[index])
    }

    fn position(&self, number: u64) -> Result<usize, usize> {
        self.attempts
            .binary_search_by_key(&number, |running| running.number)
    }
}

/// Builds the call of an attempt; none if the body has been used up by an earlier one.
fn call(open: &Open, number: u64, deadline: Instant, pass: Pass) -> Option<Call> {
    let request = &open.request;
    let method = Method::from_bytes(request.method.as_bytes()).ok()?;
    let body = open.payload.body()?;
    let id = ident::Request(u128::from_be_bytes(request.id));
    let mut headers = HeaderMap::with_capacity(request.headers.len());
    for (name, value) in &request.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }

    let mut call = Call::new(method, &request.path, id, clock::now().until(deadline));
    call.headers = headers;
    call.body = body;
    call.team = Some(request.team.clone());
    call.key = request.key;
    call.fence = pass.fence;
    call.attempt = u32::try_from(number).unwrap_or(u32::MAX);
    call.idempotent = request.idempotent;
    Some(call)
}
