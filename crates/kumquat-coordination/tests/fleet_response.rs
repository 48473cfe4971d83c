//! Tests what becomes of the responses of upstreams by what they state about the execution of the request.

use kumquat_coordination::fleet::response::{Statement, Verdict, refusal_status};

/// Statuses that tell a caller that its request was not executed and never will be.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

const NON_IDEMPOTENT: bool = false;
const IDEMPOTENT: bool = true;

/// Returns a signed response that does not state whether the request was executed.
fn signed(status: u16) -> Statement {
    Statement {
        status,
        is_not_executed: false,
        is_signed: true,
    }
}

/// Guards against a caller that sends a non-idempotent request again which an upstream may have executed.
#[test]
fn no_status_of_unexecuted_requests_is_passed_on_unless_the_upstream_states_it() {
    for status in 200..600 {
        let verdict = signed(status).verdict(NON_IDEMPOTENT);

        let expected = if NOT_EXECUTED_STATUSES.contains(&status) {
            Verdict::Replaced
        } else if status >= 500 {
            Verdict::Failure
        } else {
            Verdict::Answer
        };
        assert_eq!(verdict, expected, "{status}");
    }
}

/// Guards against idempotent requests that are not retried, or whose last response loses its signature and status.
#[test]
fn a_failure_of_an_idempotent_request_is_retried_or_passed_on() {
    for status in [408, 429, 500, 502, 503, 504] {
        assert_eq!(signed(status).verdict(IDEMPOTENT), Verdict::Failure);
    }
    for status in [200, 204, 304, 400, 404, 409, 413] {
        assert_eq!(signed(status).verdict(IDEMPOTENT), Verdict::Answer);
    }
}

/// Guards against a refusal that is taken for a failure, which would cost the caller the retry that it may have.
#[test]
fn an_upstream_that_states_it_has_not_executed_the_request_is_believed() {
    for status in [400, 408, 421, 429, 503] {
        for is_signed in [false, true] {
            let statement = Statement {
                status,
                is_not_executed: true,
                is_signed,
            };

            assert_eq!(statement.verdict(NON_IDEMPOTENT), Verdict::NotExecuted);
            assert_eq!(statement.verdict(IDEMPOTENT), Verdict::NotExecuted);
        }
    }
}

/// Guards against a response without a signature that reaches a caller as the upstream's.
#[test]
fn an_unsigned_response_is_not_genuine_whatever_its_status() {
    for status in 200..600 {
        let statement = Statement {
            is_signed: false,
            ..signed(status)
        };

        assert_eq!(statement.verdict(NON_IDEMPOTENT), Verdict::NotGenuine);
        assert_eq!(statement.verdict(IDEMPOTENT), Verdict::NotGenuine);
    }
}

/// Guards against a VM that passes on through another one what that one, of an older version, took from an upstream.
#[test]
fn a_response_through_another_vm_is_checked_if_an_upstream_has_signed_it() {
    for status in NOT_EXECUTED_STATUSES {
        let own = Statement {
            is_signed: false,
            ..signed(status)
        };
        let stated = Statement {
            is_not_executed: true,
            ..signed(status)
        };

        assert!(!signed(status).is_relayable(NON_IDEMPOTENT), "{status}");
        assert!(signed(status).is_relayable(IDEMPOTENT), "{status}");
        assert!(own.is_relayable(NON_IDEMPOTENT), "{status}");
        assert!(stated.is_relayable(NON_IDEMPOTENT), "{status}");
    }
    for status in [200, 404, 500, 502, 504] {
        assert!(signed(status).is_relayable(NON_IDEMPOTENT), "{status}");
    }
}

/// Guards against a refusal of the router's own that denies an execution which may have taken place.
#[test]
fn a_request_that_may_have_been_executed_is_never_refused_as_not_executed() {
    for has_time_left in [false, true] {
        let status = refusal_status(true, has_time_left);

        assert!(!NOT_EXECUTED_STATUSES.contains(&status), "{status}");
        assert_eq!(refusal_status(false, has_time_left), 503);
    }
}
