//! The `admin` module serves readiness checks, metrics and the platform adapter's own pages.

use std::rc::Rc;

use kumquat_coordination::fleet::Fingerprint;
use kumquat_coordination::fleet::intake::{Activity, Listener};
use slog::warn;
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::ACCEPT_RETRY_DELAY;
use super::connection::{RESPONSE_WRITE_TIMEOUT, close_gracefully, receive, write_within};
use super::render::{self, ResponseOptions};
use crate::config::RequestLimits;
use crate::errors::{Error, Result};
use crate::gateway::Response;
use crate::http::HttpConnection;
use crate::intake::{Account, Hold};
use crate::vm::Vm;

/// Largest body of a request for a page; no page takes one.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// Bytes of a page of which a part has to be accepted in time, so that a large page may take longer over a slow link.
const WRITE_BYTES: usize = 64 * 1024;

/// Path of the page with the quarantines.
const QUARANTINE_PATH: &str = "/quarantine";

/// Serves readiness checks, metrics and `pages` on a socket, with the bounds of `listener`; never returns.
pub async fn serve_admin<P: AdminPages + 'static>(
    vm: Rc<Vm>,
    socket: TcpListener,
    listener: Listener,
    pages: Rc<P>,
) {
    loop {
        let stream = match socket.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(vm.log, "admin connection not accepted"; "listener" => listener.name(), "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(account) = vm.intake.get(listener).open() else {
            continue;
        };
        let vm = Rc::clone(&vm);
        let pages = Rc::clone(&pages);
        tokio::task::spawn_local(async move {
            let connection = HttpConnection::new(stream);
            if let Err(error) = serve_connection(&vm, connection, &account, &*pages).await {
                slog::debug!(vm.log, "admin connection ended"; "error" => %error);
            }
        });
        // Connections that were evicted for this one close before the next one is accepted.
        tokio::task::yield_now().await;
    }
}

/// Pages that the platform adapter adds to those for metrics and readiness.
pub trait AdminPages {
    /// Returns the status and body of the page for a method and request target, or `None` if there is no such page.
    ///
    /// It may wait before it responds, as for a long poll.
    fn respond(&self, method: &str, target: &str) -> impl Future<Output = Option<(u16, Vec<u8>)>>;
}

impl AdminPages for () {
    async fn respond(&self, _method: &str, _target: &str) -> Option<(u16, Vec<u8>)> {
        None
    }
}

/// Returns the page with the quarantines of a VM, or lifts one of them; `None` if the target is not one of its pages.
///
/// The platform adapter serves it at an address that callers can't reach.
#[must_use]
pub fn quarantine_page(vm: &Vm, method: &str, target: &str) -> Option<(u16, Vec<u8>)> {
    let rest = target.strip_prefix(QUARANTINE_PATH)?;
    match (method, rest.strip_prefix('/')) {
        ("GET", None) if rest.is_empty() => {
            let held = vm.quarantines();
            let lines = held.iter().map(|held| {
                let remaining_s = held.remaining.as_secs_f64();
                format!(
                    "{} round={} remaining_s={remaining_s:.1}\n",
                    held.fingerprint, held.round
                )
            });
            let page: String = lines.collect();
            Some((200, page.into_bytes()))
        }
        ("DELETE", Some(fingerprint)) => {
            let Ok(fingerprint) = u64::from_str_radix(fingerprint, 16) else {
                return Some((
                    400,
                    b"not a fingerprint of 16 hexadecimal digits\n".to_vec(),
                ));
            };
            if vm.lift_quarantine(Fingerprint(fingerprint)) {
                Some((200, b"lifted\n".to_vec()))
            } else {
                Some((404, b"not under suspicion\n".to_vec()))
            }
        }
        _ => None,
    }
}

/// Serves the requests of one connection in turn until it is idle for too long, evicted, closed or malformed.
async fn serve_connection(
    vm: &Vm,
    mut connection: HttpConnection,
    account: &Rc<Account>,
    pages: &impl AdminPages,
) -> Result<()> {
    connection.set_bounds(Hold::new(Rc::clone(account)), vm.input.meter());
    let limits = RequestLimits {
        max_body_bytes: MAX_BODY_BYTES,
        ..RequestLimits::default()
    };
    loop {
        account.set_activity(Activity::Idle);
        tokio::select! {
            biased;
            () = account.evicted() => return Ok(()),
            readable = timeout(limits.idle_timeout, connection.wait_readable()) => match readable {
                Ok(readable) => readable?,
                Err(_elapsed) => return Ok(()),
            },
        }
        let received = receive(&mut connection, account, &limits, None).await?;
        let Some((received, keeps_alive)) = received else {
            return Ok(());
        };
        account.set_activity(Activity::Serving);
        let target = received.head.target.as_str();
        let (status, body) = page(vm, &received.head.method, target, pages).await;
        let options = ResponseOptions {
            keeps_alive,
            is_head: false,
            idle_timeout: limits.idle_timeout,
        };
        let bytes = render::encode_response(&Response::local(status, ""), &body, &options);
        drop((received, body));
        let mut hold = Hold::new(Rc::clone(account));
        hold.set_response(bytes.capacity());
        for part in bytes.chunks(WRITE_BYTES) {
            if !write_within(&mut connection, account, &[part], RESPONSE_WRITE_TIMEOUT).await? {
                connection.reset_on_drop()?;
                return Err(Error::Aborted("the page is not read"));
            }
        }
        if !keeps_alive {
            return close_gracefully(&mut connection, account).await;
        }
    }
}

/// Returns the status and body of the page for a method and request target.
async fn page(vm: &Vm, method: &str, target: &str, pages: &impl AdminPages) -> (u16, Vec<u8>) {
    match target {
        "/metrics" => (200, vm.metrics.render()),
        path if path == vm.dialect.readiness_path && vm.is_ready() => (200, b"ready\n".to_vec()),
        path if path == vm.dialect.readiness_path => (503, b"not ready\n".to_vec()),
        target => match pages.respond(method, target).await {
            Some(page) => page,
            None => (404, b"no such page\n".to_vec()),
        },
    }
}
