//! The `admin` module provides the answers of the admin endpoints that both daemons have.

use poem::Response;
use poem::http::StatusCode;

/// Answers `/live`, `/ready` and `/metrics`; none for any other path.
#[must_use]
pub fn answer(
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

/// Answers a path that a daemon does not have.
#[must_use]
pub fn unknown_path() -> Response {
    Response::builder()
        .status(StatusCode::NOT_FOUND)
        .body("unknown path\n")
}
