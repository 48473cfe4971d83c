//! The `admin` module serves readiness checks, metrics and the platform adapter's own pages.

use std::rc::Rc;

use kumquat_coordination::fleet::Fingerprint;
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::ACCEPT_RETRY_DELAY;
use super::connection::{close_gracefully, read_request};
use super::render::{self, ResponseOptions};
use crate::config::RequestLimits;
use crate::errors::Result;
use crate::gateway::Response;
use crate::http::HttpConnection;
use crate::vm::Vm;

/// Path of the page with the quarantines.
const QUARANTINE_PATH: &str = "/quarantine";

/// Serves readiness checks, metrics and `pages` on a listener; never returns.
pub async fn serve_admin<P: AdminPages + 'static>(vm: Rc<Vm>, listener: TcpListener, pages: Rc<P>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let vm = Rc::clone(&vm);
        let pages = Rc::clone(&pages);
        tokio::task::spawn_local(async move {
            let mut connection = HttpConnection::new(stream);
            if let Err(error) = serve_connection(&vm, &mut connection, &*pages).await {
                slog::debug!(vm.log, "admin connection ended"; "error" => %error);
            }
        });
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

/// Serves the requests of one connection in turn until it is idle for too long, closed or malformed.
async fn serve_connection(
    vm: &Vm,
    connection: &mut HttpConnection,
    pages: &impl AdminPages,
) -> Result<()> {
    let limits = RequestLimits::default();
    loop {
        match timeout(limits.idle_timeout, connection.wait_readable()).await {
            Ok(readable) => readable?,
            Err(_elapsed) => return Ok(()),
        }
        let request = timeout(
            limits.receive_timeout,
            read_request(connection, &limits, None, None),
        )
        .await;
        let Ok(Ok((received, keeps_alive))) = request else {
            return Ok(());
        };
        let (status, body) = match received.head.target.as_str() {
            "/metrics" => (200, vm.metrics.render()),
            path if path == vm.dialect.readiness_path && vm.is_ready() => {
                (200, b"ready\n".to_vec())
            }
            path if path == vm.dialect.readiness_path => (503, b"not ready\n".to_vec()),
            target => match pages.respond(&received.head.method, target).await {
                Some(page) => page,
                None => (404, b"no such page\n".to_vec()),
            },
        };
        let options = ResponseOptions {
            keeps_alive,
            is_head: false,
            idle_timeout: limits.idle_timeout,
        };
        let bytes = render::encode_response(&Response::local(status, ""), &body, &options);
        connection.write_all(&bytes).await?;
        if !keeps_alive {
            return close_gracefully(connection).await;
        }
    }
}
