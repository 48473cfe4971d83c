//! The `admin` module provides the answers to questions about readiness and metrics.

use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::time::timeout;

use super::ACCEPT_PAUSE;
use super::connection::{linger, read};
use super::render::{self, Shape};
use crate::config::RequestLimits;
use crate::errors::Result;
use crate::gateway::Response;
use crate::http::HttpConnection;
use crate::vm::Vm;

/// Answers questions about readiness and metrics for as long as the process runs.
pub async fn serve_admin<P: AdminPages + 'static>(vm: Rc<Vm>, listener: TcpListener, pages: Rc<P>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let vm = Rc::clone(&vm);
        let pages = Rc::clone(&pages);
        tokio::task::spawn_local(async move {
            let mut wire = HttpConnection::new(stream);
            if let Err(error) = answer_admin(&vm, &mut wire, &*pages).await {
                slog::debug!(vm.log, "admin connection ended"; "error" => %error);
            }
        });
    }
}

/// Pages besides those for metrics and readiness.
pub trait AdminPages {
    /// Returns status and body of a page, if there is one of this target.
    fn respond(&self, target: &str) -> impl Future<Output = Option<(u16, Vec<u8>)>>;
}

impl AdminPages for () {
    async fn respond(&self, _target: &str) -> Option<(u16, Vec<u8>)> {
        None
    }
}

async fn answer_admin(vm: &Vm, wire: &mut HttpConnection, pages: &impl AdminPages) -> Result<()> {
    let limits = RequestLimits::default();
    loop {
        match timeout(limits.idle_timeout, wire.wait_readable()).await {
            Ok(readable) => readable?,
            Err(_elapsed) => return Ok(()),
        }
        let request = timeout(limits.receive_timeout, read(wire, &limits, None)).await;
        let Ok(Ok((incoming, keeps_alive))) = request else {
            return Ok(());
        };
        let (status, body) = match incoming.head.target.as_str() {
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
        let shape = Shape {
            keeps_alive,
            is_head: false,
            idle: limits.idle_timeout,
        };
        let bytes = render::whole(&Response::local(status, ""), &body, &shape);
        wire.write_all(&bytes).await?;
        if !keeps_alive {
            return linger(wire).await;
        }
    }
}
