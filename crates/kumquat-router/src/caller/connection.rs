//! The `connection` module provides the requests of one caller's connection, answered in the order in which they came.
//!
//! A caller may send further requests before the first is answered. Up to [`PIPELINE_LIMIT`] of them run at once, if they
//! may be repeated; see `docs/platform.md`.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use kumquat_state::clock::{self, Instant};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::render::{self, Ending, Shape};
use super::{LINGER, TAKING_PART_OF_GRACE};
use crate::config::Limits;
use crate::errors::{Error, Result};
use crate::gateway::{self, Content, Incoming, Reply, Signals};
use crate::http::{HttpConnection, RequestHead};
use crate::vm::Vm;

/// Requests of one connection that run at once; more would let one caller take the places of others.
const PIPELINE_LIMIT: usize = 4;

/// Time within which a caller has to take an answer that lies whole in the VM's memory.
///
/// Such an answer has at most 16 KB, so that only a caller that hardly reads at all needs longer.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the requests of a connection.
///
/// # Errors
///
/// Returns an error if the connection fails.
pub(super) async fn serve(vm: &Rc<Vm>, wire: HttpConnection) -> Result<()> {
    let mut connection = Connection {
        vm,
        wire,
        started: VecDeque::new(),
        grown: clock::now(),
        is_early_allowed: true,
    };
    let result = connection.run().await;
    connection.abandon().await;
    result
}

/// A request that is being served.
#[derive(Debug)]
struct Started {
    is_head: bool,
    is_http_1_0: bool,
    keeps_alive: bool,
    signals: Rc<Signals>,
    serving: JoinHandle<Reply>,
}

/// What happens next while requests are being served.
enum Event {
    Answered(Reply),
    Grown,
    Left,
}

#[derive(Debug)]
struct Connection<'a> {
    vm: &'a Rc<Vm>,
    wire: HttpConnection,
    // In the order in which they came.
    started: VecDeque<Started>,
    // When bytes were last read that may belong to a later request.
    grown: Instant,
    // Whether the request that comes next in the buffer may be one to start early.
    is_early_allowed: bool,
}

impl Connection<'_> {
    async fn run(&mut self) -> Result<()> {
        loop {
            let limits = self.vm.config().map(|config| config.limits);
            let limits = limits.unwrap_or_default();
            if self.started.is_empty() {
                let Some((incoming, keeps_alive)) = self.read(&limits).await? else {
                    return Ok(());
                };
                self.start(incoming, keeps_alive);
                self.is_early_allowed = true;
                self.start_early(&limits);
            }
            match self.event().await {
                Event::Answered(reply) => {
                    if !self.deliver(reply, &limits).await? {
                        return Ok(());
                    }
                }
                Event::Grown => self.grown = clock::now(),
                Event::Left => return Ok(()),
            }
            self.start_early(&limits);
        }
    }

    /// Waits for a request and reads it whole; returns nothing if the connection is to be closed.
    async fn read(&mut self, limits: &Limits) -> Result<Option<(Incoming, bool)>> {
        let waited = self.wire.has_unread().then_some(self.grown);
        if !wait_for_request(self.vm, &mut self.wire, limits).await? {
            return Ok(None);
        }
        let wire = &mut self.wire;
        match timeout(limits.head_timeout, read(wire, limits, waited)).await {
            Ok(Ok(read)) => {
                // What is left in the buffer came with the end of this request.
                self.grown = clock::now();
                Ok(Some(read))
            }
            Ok(Err(error)) => reject(wire, &error).await.map(|()| None),
            Err(_elapsed) => {
                let reply = Reply::own(408, "the request did not arrive in time");
                finish(wire, &reply).await.map(|()| None)
            }
        }
    }

    fn start(&mut self, incoming: Incoming, keeps_alive: bool) {
        let signals = Rc::new(Signals::default());
        let (is_head, is_http_1_0) = (incoming.head.method == "HEAD", incoming.head.is_http_1_0);
        let (vm, shared) = (Rc::clone(self.vm), Rc::clone(&signals));
        let serving =
            tokio::task::spawn_local(async move { gateway::serve(&vm, &incoming, &shared).await });
        self.started.push_back(Started {
            is_head,
            is_http_1_0,
            keeps_alive,
            signals,
            serving,
        });
    }

    /// Starts requests that have arrived behind others, as far as they may run before these are answered.
    fn start_early(&mut self, limits: &Limits) {
        while self.is_early_allowed
            && self.wire.has_unread()
            && self.may_stay()
            && (1..PIPELINE_LIMIT).contains(&self.started.len())
            // The answer to a request of HTTP/1.0 may end with its connection.
            && self.started.back().is_some_and(|last| last.keeps_alive && !last.is_http_1_0)
        {
            // What is malformed is answered when its turn comes.
            let Ok(Some(request)) = self.wire.peek_request_head(0, limits.head) else {
                return;
            };
            self.is_early_allowed =
                check(&request.head).is_ok() && gateway::may_start_early(self.vm, &request.head);
            if self.is_early_allowed {
                self.wire.consume(request.head_length);
                let keeps_alive = request.head.keeps_alive();
                let incoming = Incoming {
                    head: request.head,
                    body: Vec::new(),
                    arrived: self.grown,
                };
                self.start(incoming, keeps_alive);
            }
        }
    }

    async fn event(&mut self) -> Event {
        let Some(first) = self.started.front_mut() else {
            return Event::Grown;
        };
        tokio::select! {
            biased;
            reply = &mut first.serving => match reply {
                Ok(reply) => Event::Answered(reply),
                Err(error) => std::panic::resume_unwind(error.into_panic()),
            },
            is_there = self.wire.read_ahead() => if is_there { Event::Grown } else { Event::Left },
        }
    }

    /// Writes the answer to the first request; returns whether the connection stays open.
    async fn deliver(&mut self, reply: Reply, limits: &Limits) -> Result<bool> {
        let Some(first) = self.started.pop_front() else {
            return Ok(false);
        };
        // A request that was started must not stand behind an answer that closes the connection.
        let is_last = self.started.is_empty();
        let shape = Shape {
            keeps_alive: !is_last || (first.keeps_alive && self.may_stay()),
            is_head: first.is_head,
            idle: limits.idle_timeout,
        };
        let stays = match &reply.content {
            Content::Whole(body) => {
                let bytes = render::whole(&reply, body, &shape);
                match timeout(DELIVERY_TIMEOUT, self.wire.write_all(&bytes)).await {
                    Ok(written) => written?,
                    Err(_elapsed) => return self.give_up("the caller does not read its answer"),
                }
                shape.keeps_alive
            }
            Content::Stream(_) => self.pass_on(reply, shape, first.is_http_1_0).await?,
        };
        if !stays {
            linger(&mut self.wire).await?;
        }
        Ok(stays)
    }

    /// Returns whether further requests can be read from the connection.
    fn may_stay(&self) -> bool {
        !self.vm.is_stopping() && !self.wire.has_discarded_input()
    }

    /// Passes an answer on while it arrives; returns whether the connection stays open.
    async fn pass_on(
        &mut self,
        mut reply: Reply,
        mut shape: Shape,
        is_http_1_0: bool,
    ) -> Result<bool> {
        let content = std::mem::replace(&mut reply.content, Content::Whole(Vec::new()));
        let Content::Stream(mut stream) = content else {
            return Ok(shape.keeps_alive);
        };
        let ending = match stream.length() {
            Some(length) => Ending::Length(length),
            None if is_http_1_0 => Ending::Close,
            None => Ending::Chunked,
        };
        shape.keeps_alive &= ending != Ending::Close;
        let mut bytes = render::head(&reply, ending, &shape);
        loop {
            let part = tokio::select! {
                biased;
                part = stream.next() => part,
                () = self.wire.wait_closed() => return Ok(false),
            };
            let part = match part {
                Ok(part) => part,
                Err(error) => {
                    stream.fail(&error);
                    return self.give_up("the upstream's answer broke off");
                }
            };
            let is_end = part.is_empty();
            bytes.extend_from_slice(&render::part(part, ending));
            let left = clock::now().until(stream.deadline());
            match timeout(left, self.wire.write_all(&bytes)).await {
                Ok(written) => written?,
                Err(_elapsed) => return self.give_up("the caller reads its answer too slowly"),
            }
            if is_end {
                stream.finish();
                return Ok(shape.keeps_alive);
            }
            bytes.clear();
        }
    }

    /// Ends the connection with a reset, so that an answer that is cut does not look complete.
    fn give_up(&self, reason: &'static str) -> Result<bool> {
        self.wire.reset_on_drop()?;
        Err(Error::Aborted(reason))
    }

    /// Ends what is still being served after the caller has left.
    async fn abandon(&mut self) {
        for started in &self.started {
            started.signals.has_left.set(true);
            if !started.signals.must_finish.get() {
                started.serving.abort();
            }
        }
        // Work that must not run twice is left to finish, because breaking it off would leave its effect unknown.
        for started in self.started.drain(..) {
            if let Err(error) = started.serving.await
                && error.is_panic()
            {
                std::panic::resume_unwind(error.into_panic());
            }
        }
    }
}

/// Waits for the first bytes of a request; returns whether there are any.
async fn wait_for_request(vm: &Vm, wire: &mut HttpConnection, limits: &Limits) -> Result<bool> {
    let mut idle_until = clock::now() + limits.idle_timeout;
    let mut is_noted = false;
    loop {
        let left = clock::now().until(idle_until);
        if left.is_zero() {
            return Ok(false);
        }
        tokio::select! {
            biased;
            readable = wire.wait_readable() => return readable.map(|()| true),
            () = vm.stopping.notified(), if !is_noted => {
                is_noted = true;
                let last = clock::now() + vm.bounds.grace.mul_f64(TAKING_PART_OF_GRACE);
                idle_until = idle_until.min(last);
            }
            () = tokio::time::sleep(left) => {}
        }
    }
}

/// Reads a request; `waited` is when its first bytes came, if they came while an earlier one was served.
pub(super) async fn read(
    wire: &mut HttpConnection,
    limits: &Limits,
    waited: Option<Instant>,
) -> Result<(Incoming, bool)> {
    let head = wire.read_request_head(limits.head).await?;
    let arrived = waited.unwrap_or_else(clock::now);
    check(&head)?;
    let framing = head.framing()?;
    if head.headers.contains_token("expect", "100-continue") && !wire.has_unread() {
        wire.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let body = wire.read_body(framing, limits.body).await?;
    let keeps_alive = head.keeps_alive();
    let incoming = Incoming {
        head,
        body,
        arrived,
    };
    Ok((incoming, keeps_alive))
}

/// Checks what has to hold for any request before anything else is judged.
fn check(head: &RequestHead) -> Result<()> {
    let hosts = head.headers.get_all("host").count();
    if hosts != 1 {
        return Err(Error::Malformed("not exactly one Host"));
    }
    if !head.target.starts_with('/') {
        return Err(Error::Malformed("the target is not a path"));
    }
    Ok(())
}

async fn reject(wire: &mut HttpConnection, error: &Error) -> Result<()> {
    let (status, reason) = match error {
        Error::Malformed(reason) => (400, *reason),
        Error::TooLarge("request head") => (431, "the head is too large"),
        Error::TooLarge(_) => (413, "the body is too large"),
        Error::Closed | Error::Truncated | Error::TimedOut | Error::Aborted(_) | Error::Io(_) => {
            return Ok(());
        }
    };
    finish(wire, &Reply::own(status, reason)).await
}

/// Writes a last answer and closes the connection.
async fn finish(wire: &mut HttpConnection, reply: &Reply) -> Result<()> {
    if let Content::Whole(body) = &reply.content {
        let shape = Shape {
            keeps_alive: false,
            is_head: false,
            idle: Duration::ZERO,
        };
        wire.write_all(&render::whole(reply, body, &shape)).await?;
    }
    linger(wire).await
}

/// Closes a connection after its last answer.
pub(super) async fn linger(wire: &mut HttpConnection) -> Result<()> {
    wire.shutdown_write().await?;
    // A caller that does not close in time gets a reset.
    let _closed = timeout(LINGER, wire.discard_until_closed()).await;
    Ok(())
}
