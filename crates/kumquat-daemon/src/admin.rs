//! HTTP responses of the admin endpoints that both daemons serve.

use poem::Response;
use poem::http::StatusCode;

/// Returns the response to `/live`, `/ready` or `/metrics`, or `None` for any other path.
///
/// `/ready` has status 503 while `is_ready` returns false. `metrics` returns the page in the Prometheus text format;
/// each closure is called only for its own path.
#[must_use]
pub fn shared_response(
    path: &str,
    is_ready: impl FnOnce() -> bool,
    metrics: impl FnOnce() -> String,
) -> Option<Response> {
    Some(match path {
        "/live" => Response::builder().body("live\n"),
        "/ready" if is_ready() => Response::builder().body("ready\n"),
        "/ready" => Response::builder()
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .body("not ready\n"),
        "/metrics" => Response::builder()
            .content_type("text/plain; version=0.0.4")
            .body(metrics()),
        _ => return None,
    })
}

/// Returns the 404 response to a path that the daemon does not serve.
#[must_use]
pub fn not_found() -> Response {
    Response::builder()
        .status(StatusCode::NOT_FOUND)
        .body("unknown path\n")
}
