//! Tests what the access log tells of requests whose response is not the one that an upstream gave.

mod fixture {
    pub mod router;
}

use std::io::Write;
use std::sync::{Arc, Mutex};

use fixture::router::{
    Router, ScriptedUpstream, UpstreamAction, configure, request, run_local_test, send_request,
    start_logging_router, status,
};
use serde_json::Value;
use slog::{Drain as _, Logger, o};

/// Log lines, one JSON object each.
#[derive(Clone, Debug, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no other panic").extend(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Lines {
    /// Returns the access log's line of the request with this id.
    fn request(&self, id: &str) -> Value {
        let bytes = self.0.lock().expect("no other panic").clone();
        let text = String::from_utf8(bytes).expect("text");
        let mut lines = text
            .lines()
            .map(|line| serde_json::from_str(line).expect("JSON"));
        let found = lines.find(|line: &Value| line["msg"] == "request" && line["id"] == id);
        found.expect("a line of the request")
    }
}

/// Starts a ready router with these upstreams, and returns it with what it logs.
fn start_logged(upstreams: &[&ScriptedUpstream]) -> (Router, Lines) {
    let lines = Lines::default();
    let json = Mutex::new(slog_json::Json::default(lines.clone()));
    let router = start_logging_router("vm-1", 1, Logger::root(json.fuse(), o!()));
    configure(&router, upstreams);
    (router, lines)
}

/// Guards against a failure of an upstream that operators can't find, because the caller got another status.
#[test]
fn the_line_of_a_replaced_failure_names_the_upstream_and_its_status() {
    run_local_test(async {
        let failure = UpstreamAction::Raw(
            "HTTP/1.1 503 X\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 0\r\n\r\n",
        );
        let upstream = ScriptedUpstream::bind(&[failure, UpstreamAction::Close]).await;
        let (router, lines) = start_logged(&[&upstream]);

        for id in ["t1", "t2"] {
            let answer = send_request(router.address, &request("POST", "/once/a", id)).await;
            assert_eq!(status(&answer), 502, "{answer}");
        }

        let (replaced, broken) = (lines.request("t1"), lines.request("t2"));
        assert_eq!(replaced["status"], 502, "{replaced}");
        assert_eq!(replaced["upstream_status"], 503, "{replaced}");
        assert_eq!(replaced["upstreams"], "u0", "{replaced}");
        let reason = "the upstream failed and may have executed the request";
        assert_eq!(replaced["reason"], reason, "{replaced}");
        assert_eq!(broken["upstream_status"], Value::Null, "{broken}");
    });
}
