//! The `connection` module serves the requests of one caller's connection, with responses in the order of the requests.
//!
//! Callers may pipeline requests. Up to [`MAX_CONCURRENT_REQUESTS`] of them are served concurrently if they are
//! idempotent; see `docs/platform.md`.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use kumquat_coordination::fleet::intake::Activity;
use kumquat_state::clock::{self, Instant};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::render::{self, Framing, ResponseOptions};
use super::{LINGER_TIMEOUT, Origin, accept_until};
use crate::config::RequestLimits;
use crate::errors::{Error, Result};
use crate::gateway::{self, ReceivedRequest, RequestFlags, Response, ResponseBody};
use crate::http::{Body, HttpConnection, RequestHead};
use crate::intake::{Account, Hold};
use crate::upstream::BUFFERED_BODY_BYTES;
use crate::vm::Vm;

/// Largest number of requests of one connection that are in flight at once.
///
/// A higher limit would let one caller take too large a share of the upstreams' slots.
const MAX_CONCURRENT_REQUESTS: usize = 4;

/// Time within which a caller has to accept a response that is completely in memory.
///
/// Such a response has at most 16 KB, so only a caller that hardly reads at all needs longer.
pub(super) const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Memory of a response that is relayed while it arrives: a part of it, and the buffer of the upstream's connection.
const STREAM_BYTES: usize = 2 * BUFFERED_BODY_BYTES;

/// `Retry-After` of a request that was rejected for lack of memory.
///
/// What stalled requests hold is released as soon as others need it, and requests that are being served end within about
/// a second.
const EXHAUSTED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves the requests of a connection until it is closed.
///
/// # Errors
///
/// Returns an error if the connection fails or is aborted.
pub(super) async fn serve(
    vm: &Rc<Vm>,
    mut http: HttpConnection,
    origin: Origin,
    account: Rc<Account>,
) -> Result<()> {
    http.set_bounds(Hold::new(Rc::clone(&account)), vm.input.meter());
    let mut connection = CallerConnection {
        vm,
        http,
        origin,
        account,
        in_flight: VecDeque::new(),
        last_read_at: clock::now(),
        may_start_next: true,
    };
    let result = connection.run().await;
    connection.cancel_in_flight().await;
    result
}

/// A request that is being served, with what is needed to write its response.
#[derive(Debug)]
struct InFlightRequest {
    is_head: bool,
    is_http_1_0: bool,
    keeps_alive: bool,
    flags: Rc<RequestFlags>,
    // The response and the memory that it takes.
    task: JoinHandle<(Response, Hold)>,
}

/// What occurred first while requests are being served.
enum Event {
    /// The oldest request in flight has a response.
    Responded(Response, Hold),
    /// More input arrived from the caller.
    InputReceived,
    /// The caller closed or reset the connection.
    Disconnected,
    /// The VM stops and gives its last answers.
    Stopping,
}

#[derive(Debug)]
struct CallerConnection<'a> {
    vm: &'a Rc<Vm>,
    http: HttpConnection,
    origin: Origin,
    account: Rc<Account>,
    // In the order of arrival.
    in_flight: VecDeque<InFlightRequest>,
    // When input was last read; the arrival time of a pipelined request that this input completes.
    last_read_at: Instant,
    // Whether the next buffered request may be served before those ahead of it have responses.
    may_start_next: bool,
}

impl CallerConnection<'_> {
    async fn run(&mut self) -> Result<()> {
        loop {
            let limits = self.vm.config().map(|config| config.limits);
            let limits = limits.unwrap_or_default();
            if self.in_flight.is_empty() {
                let Some((received, keeps_alive)) = self.next_request(&limits).await? else {
                    return Ok(());
                };
                self.account.set_activity(Activity::Serving);
                let hold = Hold::new(Rc::clone(&self.account));
                self.start(received, keeps_alive, hold);
                self.may_start_next = true;
                self.start_pipelined(&limits);
            }
            match self.next_event().await {
                Event::Responded(response, _hold) => {
                    if !self.write_response(response, &limits).await? {
                        return Ok(());
                    }
                }
                Event::InputReceived => self.last_read_at = clock::now(),
                Event::Disconnected => return Ok(()),
                Event::Stopping => return self.answer_unfinished(&limits).await,
            }
            self.start_pipelined(&limits);
        }
    }

    /// Waits for a request and reads it completely; returns `None` if the connection is to be closed.
    async fn next_request(
        &mut self,
        limits: &RequestLimits,
    ) -> Result<Option<(ReceivedRequest, bool)>> {
        let received_at = self.http.has_unread().then_some(self.last_read_at);
        self.account.set_activity(Activity::Idle);
        tokio::select! {
            biased;
            () = self.account.evicted() => return Ok(None),
            has_input = wait_for_request(self.vm, &mut self.http, limits) => if !has_input? {
                return Ok(None);
            },
        }
        let received = receive(&mut self.http, &self.account, limits, received_at).await?;
        // Remaining bytes in the buffer arrived with the end of this request.
        self.last_read_at = clock::now();
        Ok(received)
    }

    /// Starts a task that serves a request, whose response is counted by `hold`.
    fn start(&mut self, received: ReceivedRequest, keeps_alive: bool, mut hold: Hold) {
        let is_forwarded = self.origin == Origin::Peer;
        if is_forwarded {
            self.vm.metrics.helped_requests.inc();
        }
        let flags = Rc::new(RequestFlags {
            is_forwarded,
            ..RequestFlags::default()
        });
        let (is_head, is_http_1_0) = (received.head.method == "HEAD", received.head.is_http_1_0);
        let (vm, shared_flags) = (Rc::clone(self.vm), Rc::clone(&flags));
        let task = tokio::task::spawn_local(async move {
            let response = gateway::serve(&vm, &received, &shared_flags).await;
            drop(received);
            hold.set_response(match &response.body {
                ResponseBody::Buffered(body) => body.capacity(),
                ResponseBody::Streamed(_) => STREAM_BYTES,
            });
            (response, hold)
        });
        self.in_flight.push_back(InFlightRequest {
            is_head,
            is_http_1_0,
            keeps_alive,
            flags,
            task,
        });
    }

    /// Starts to serve buffered pipelined requests, as far as they may run before earlier ones have responses.
    fn start_pipelined(&mut self, limits: &RequestLimits) {
        while self.may_start_next
            && self.http.has_unread()
            && self.accepts_requests()
            && (1..MAX_CONCURRENT_REQUESTS).contains(&self.in_flight.len())
            // The response to an HTTP/1.0 request may have to end by closing the connection.
            && self.in_flight.back().is_some_and(|last| last.keeps_alive && !last.is_http_1_0)
        {
            // A malformed request gets its error response once the requests before it have theirs.
            let Ok(Some(request)) = self.http.peek_request_head(0, limits.max_head_bytes) else {
                return;
            };
            self.may_start_next = validate_head(&request.head).is_ok()
                && gateway::is_pipelinable(self.vm, &request.head);
            let mut response_hold = Hold::new(Rc::clone(&self.account));
            let request_hold = Hold::new(Rc::clone(&self.account));
            let mut body = Body::new(&request.head, Some(request_hold));
            // Responses wait for those to earlier requests, so that their memory is set aside before they are started.
            self.may_start_next &=
                response_hold.raise_if_free(STREAM_BYTES) && body.update_hold(0).is_ok();
            if self.may_start_next {
                self.http.consume(request.head_length);
                let keeps_alive = request.head.keeps_alive();
                let received = ReceivedRequest {
                    head: request.head,
                    body,
                    arrived_at: self.last_read_at,
                };
                self.start(received, keeps_alive, response_hold);
            }
        }
    }

    /// Waits for the oldest request's response, for input or for the end of the connection.
    async fn next_event(&mut self) -> Event {
        let Some(oldest) = self.in_flight.front_mut() else {
            return Event::InputReceived;
        };
        tokio::select! {
            biased;
            response = &mut oldest.task => match response {
                Ok((response, hold)) => Event::Responded(response, hold),
                Err(error) => std::panic::resume_unwind(error.into_panic()),
            },
            is_open = self.http.read_ahead() => if is_open { Event::InputReceived } else { Event::Disconnected },
            () = self.vm.last_answers_due() => Event::Stopping,
        }
    }

    /// Answers the requests that are still in flight at the end of a graceful shutdown, and closes the connection.
    ///
    /// Whether they were executed is unknown, which the status leaves open.
    async fn answer_unfinished(&mut self, limits: &RequestLimits) -> Result<()> {
        slog::info!(self.vm.log, "requests given up at the end of the stop"; "count" => self.in_flight.len());
        for request in &self.in_flight {
            request.task.abort();
        }
        while !self.in_flight.is_empty() {
            let response = Response::local(504, "the VM stops");
            self.write_response(response, limits).await?;
        }
        Ok(())
    }

    /// Writes the response to the oldest request in flight; returns whether the connection stays open.
    async fn write_response(&mut self, response: Response, limits: &RequestLimits) -> Result<bool> {
        let Some(oldest) = self.in_flight.pop_front() else {
            return Ok(false);
        };
        // The connection must stay open until the requests in flight have their responses.
        let is_last = self.in_flight.is_empty();
        let options = ResponseOptions {
            keeps_alive: !is_last || (oldest.keeps_alive && self.accepts_requests()),
            is_head: oldest.is_head,
            idle_timeout: limits.idle_timeout,
        };
        let stays_open = match &response.body {
            ResponseBody::Buffered(body) => {
                let head = render::encode_head(&response, Framing::Length(body.len()), &options);
                let body = if options.is_head { &[][..] } else { body };
                let parts = [&*head, body];
                if !self.write_part(&parts, RESPONSE_WRITE_TIMEOUT).await? {
                    return self.abort("the caller does not read its answer");
                }
                options.keeps_alive
            }
            ResponseBody::Streamed(_) => {
                self.stream_response(response, options, oldest.is_http_1_0)
                    .await?
            }
        };
        if !stays_open {
            close_gracefully(&mut self.http, &self.account).await?;
        }
        Ok(stays_open)
    }

    /// Writes a part of a response as [`write_within`] does.
    async fn write_part(&mut self, parts: &[&[u8]], limit: Duration) -> Result<bool> {
        let is_written = write_within(&mut self.http, &self.account, parts, limit).await?;
        if is_written {
            self.account.set_activity(Activity::Serving);
        }
        Ok(is_written)
    }

    /// Returns whether further requests may be read from the connection.
    fn accepts_requests(&self) -> bool {
        !self.vm.is_shutting_down() && !self.http.has_discarded_input()
    }

    /// Forwards a response while its body arrives; returns whether the connection stays open.
    async fn stream_response(
        &mut self,
        mut response: Response,
        mut options: ResponseOptions,
        is_http_1_0: bool,
    ) -> Result<bool> {
        let content = std::mem::replace(&mut response.body, ResponseBody::Buffered(Vec::new()));
        let ResponseBody::Streamed(mut stream) = content else {
            return Ok(options.keeps_alive);
        };
        let framing = match stream.content_length() {
            Some(length) => Framing::Length(length),
            None if is_http_1_0 => Framing::UntilClose,
            None => Framing::Chunked,
        };
        options.keeps_alive &= framing != Framing::UntilClose;
        let mut bytes = render::encode_head(&response, framing, &options);
        loop {
            let part = tokio::select! {
                biased;
                part = stream.next_chunk() => part,
                () = self.http.wait_closed() => return Ok(false),
                // The end of the process would close the connection, which ends a body without a length.
                () = self.vm.last_answers_due() => Err(Error::Aborted("the VM stops")),
            };
            let part = match part {
                Ok(part) => part,
                Err(error) => {
                    stream.fail(&error);
                    return self.abort("the upstream's answer broke off");
                }
            };
            let is_end = part.is_empty();
            bytes.extend_from_slice(&render::encode_body_part(part, framing));
            let remaining = clock::now().until(stream.deadline());
            if !self.write_part(&[&bytes], remaining).await? {
                return self.abort("the caller reads its answer too slowly");
            }
            if is_end {
                stream.finish();
                // Input may have been discarded since the head was written; what follows it is no request.
                let may_continue = !self.in_flight.is_empty() || !self.http.has_discarded_input();
                return Ok(options.keeps_alive && may_continue);
            }
            bytes.clear();
        }
    }

    /// Ends the connection with a reset, so that a truncated response does not look complete.
    fn abort(&self, reason: &'static str) -> Result<bool> {
        self.http.reset_on_drop()?;
        Err(Error::Aborted(reason))
    }

    /// Cancels or completes the requests that are in flight when the connection ends.
    async fn cancel_in_flight(&mut self) {
        for request in &self.in_flight {
            request.flags.is_caller_gone.set(true);
            if !request.flags.must_finish.get() {
                request.task.abort();
            }
        }
        // A non-idempotent request that was sent is completed, because cancelling it would leave its outcome unknown.
        for request in self.in_flight.drain(..) {
            if let Err(error) = request.task.await
                && error.is_panic()
            {
                std::panic::resume_unwind(error.into_panic());
            }
        }
    }
}

/// Waits for the first bytes of a request; returns false if the connection was idle for too long.
///
/// Once the VM shuts down, the idle timeout is cut to the time for which requests are still accepted.
async fn wait_for_request(
    vm: &Vm,
    http: &mut HttpConnection,
    limits: &RequestLimits,
) -> Result<bool> {
    let mut idle_deadline = clock::now() + limits.idle_timeout;
    let mut is_shutdown_observed = false;
    loop {
        let remaining = clock::now().until(idle_deadline);
        if remaining.is_zero() {
            return Ok(false);
        }
        tokio::select! {
            biased;
            readable = http.wait_readable() => return readable.map(|()| true),
            started_at = vm.shutdown_started(), if !is_shutdown_observed => {
                is_shutdown_observed = true;
                idle_deadline = idle_deadline.min(accept_until(vm, started_at));
            }
            () = tokio::time::sleep(remaining) => {}
        }
    }
}

/// Reads a complete request within the limits; returns `None` if it was rejected and the connection is to be closed.
///
/// `received_at` is as for [`read_request`].
pub(super) async fn receive(
    http: &mut HttpConnection,
    account: &Rc<Account>,
    limits: &RequestLimits,
    received_at: Option<Instant>,
) -> Result<Option<(ReceivedRequest, bool)>> {
    account.set_activity(Activity::Receiving);
    let hold = Hold::new(Rc::clone(account));
    let request = read_request(http, limits, received_at, hold);
    let received = tokio::select! {
        biased;
        () = account.evicted() => Ok(Err(Error::Exhausted)),
        received = timeout(limits.receive_timeout, request) => received,
    };
    http.end_request_input();
    match received {
        Ok(Ok(request)) => Ok(Some(request)),
        Ok(Err(error)) => reject(http, account, &error).await.map(|()| None),
        Err(_elapsed) => {
            let response = Response::local(408, "the request did not arrive in time");
            respond_and_close(http, account, &response)
                .await
                .map(|()| None)
        }
    }
}

/// Writes a part of a response within a time limit; returns false if the limit passes or the connection is evicted.
pub(super) async fn write_within(
    http: &mut HttpConnection,
    account: &Account,
    parts: &[&[u8]],
    limit: Duration,
) -> Result<bool> {
    account.set_activity(Activity::Responding);
    tokio::select! {
        biased;
        () = account.evicted() => Ok(false),
        written = timeout(limit, http.write_parts(parts)) => match written {
            Ok(written) => written.map(|()| true),
            Err(_elapsed) => Ok(false),
        },
    }
}

/// Reads a complete request; returns it and whether the caller allows the connection to stay open.
///
/// `received_at` is when its first bytes were read, if that was while an earlier request was served. Otherwise the
/// request counts as received once its head is complete. `hold` counts the memory that the request takes.
///
/// # Errors
///
/// Returns an error if the connection ends, the request is malformed or larger than `limits`, or there is no memory for it.
async fn read_request(
    http: &mut HttpConnection,
    limits: &RequestLimits,
    received_at: Option<Instant>,
    hold: Hold,
) -> Result<(ReceivedRequest, bool)> {
    let head = http.read_request_head(limits.max_head_bytes).await?;
    let arrived = received_at.unwrap_or_else(clock::now);
    validate_head(&head)?;
    let framing = head.framing()?;
    // RFC 9110, section 10.1.1: a caller of HTTP/1.0 would take an interim response for the final one.
    let expects_continue =
        !head.is_http_1_0 && head.headers.contains_token("expect", "100-continue");
    if expects_continue && !http.has_unread() {
        http.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let mut body = Body::new(&head, Some(hold));
    http.read_body_segments(framing, limits.max_body_bytes, &mut body)
        .await?;
    let keeps_alive = head.keeps_alive();
    let received = ReceivedRequest {
        head,
        body,
        arrived_at: arrived,
    };
    Ok((received, keeps_alive))
}

/// Checks what must hold for every request, before anything else about it is evaluated.
fn validate_head(head: &RequestHead) -> Result<()> {
    let hosts = head.headers.get_all("host").count();
    if hosts != 1 {
        return Err(Error::Malformed("not exactly one Host"));
    }
    if !head.target.starts_with('/') {
        return Err(Error::Malformed("the target is not a path"));
    }
    Ok(())
}

/// Responds to a request that could not be read, if the connection still allows it, and closes the connection.
async fn reject(http: &mut HttpConnection, account: &Account, error: &Error) -> Result<()> {
    let (status, reason) = match error {
        Error::Exhausted => {
            http.release_buffer();
            let reason = "no memory left for the request";
            let response = Response::with_retry_after(503, reason, EXHAUSTED_RETRY_AFTER);
            return respond_and_close(http, account, &response).await;
        }
        Error::Malformed(reason) => (400, *reason),
        Error::TooLarge("request head") => (431, "the head is too large"),
        Error::TooLarge(_) => (413, "the body is too large"),
        Error::Closed | Error::Truncated | Error::TimedOut | Error::Aborted(_) | Error::Io(_) => {
            return Ok(());
        }
    };
    respond_and_close(http, account, &Response::local(status, reason)).await
}

/// Writes a last response and closes the connection.
async fn respond_and_close(
    http: &mut HttpConnection,
    account: &Account,
    response: &Response,
) -> Result<()> {
    account.set_activity(Activity::Closing);
    if let ResponseBody::Buffered(body) = &response.body {
        let options = ResponseOptions {
            keeps_alive: false,
            is_head: false,
            idle_timeout: Duration::ZERO,
        };
        let bytes = render::encode_response(response, body, &options);
        let is_written = tokio::select! {
            biased;
            // Nothing may be left to wait for if the caller reads no responses.
            written = timeout(LINGER_TIMEOUT, http.write_all(&bytes)) => written.is_ok(),
            () = account.aborted() => false,
        };
        if !is_written {
            return Ok(());
        }
    }
    close_gracefully(http, account).await
}

/// Closes a connection after its last response, so that the caller can still read that response.
///
/// It takes less time if a new connection needs the room.
pub(super) async fn close_gracefully(http: &mut HttpConnection, account: &Account) -> Result<()> {
    account.set_activity(Activity::Closing);
    http.shutdown_write().await?;
    tokio::select! {
        biased;
        // A caller that does not close its side in time gets a reset.
        _closed = timeout(LINGER_TIMEOUT, http.discard_until_closed()) => {}
        () = account.aborted() => {}
    }
    // Requests in flight may keep the connection for longer.
    http.end_request_input();
    Ok(())
}
