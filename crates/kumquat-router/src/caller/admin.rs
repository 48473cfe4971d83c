//! The `admin` module serves readiness checks, metrics and the platform adapter's own pages.

use std::rc::Rc;

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
    /// Returns the status and body of the page at a request target, or `None` if there is no such page.
    ///
    /// It may wait before it responds, as for a long poll.
    fn respond(&self, target: &str) -> impl Future<Output = Option<(u16, Vec<u8>)>>;
}

impl AdminPages for () {
    async fn respond(&self, _target: &str) -> Option<(u16, Vec<u8>)> {
        None
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
            read_request(connection, &limits, None),
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
            target => match pages.respond(target).await {
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
