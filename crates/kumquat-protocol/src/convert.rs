//! The `convert` module provides the conversions between wire messages and the types of the coordination layer.
//!
//! A message's sender is known from the handshake; only its incarnation travels in the message.

use std::time::Duration;

use kumquat_coordination::authority::{self, Echo, Verdict};
use kumquat_coordination::limit;
use kumquat_state::ident::{Incarnation, Revision, Team, Version, Vm};
use kumquat_state::ledger::Holder;

use crate::wire;

impl From<&authority::Message> for wire::Message {
    fn from(message: &authority::Message) -> Self {
        match message {
            authority::Message::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.into()),
            authority::Message::FenceRequest(request) => Self::FenceRequest(request.into()),
            authority::Message::FenceReply(reply) => Self::FenceReply(reply.into()),
        }
    }
}

impl From<&authority::Heartbeat> for wire::Heartbeat {
    fn from(heartbeat: &authority::Heartbeat) -> Self {
        Self {
            incarnation: heartbeat.from.incarnation.0,
            sequence: heartbeat.sequence,
            echo: heartbeat
                .echo
                .map(|echo| (echo.incarnation.0, echo.sequence)),
            membership: heartbeat.membership.0,
            bundle: heartbeat.bundle.0,
            ledger: heartbeat.ledger.0,
            pledges: heartbeat.pledges.iter().map(wire::Holder::from).collect(),
            leaving: false,
            coordinator: None,
        }
    }
}

impl wire::Heartbeat {
    /// Returns the heartbeat as sent by `vm`.
    #[must_use]
    pub fn into_heartbeat(self, vm: &Vm) -> authority::Heartbeat {
        authority::Heartbeat {
            from: holder(vm, self.incarnation),
            sequence: self.sequence,
            echo: self.echo.map(|(incarnation, sequence)| Echo {
                incarnation: Incarnation(incarnation),
                sequence,
            }),
            membership: Version(self.membership),
            bundle: Version(self.bundle),
            ledger: Revision(self.ledger),
            pledges: self.pledges.into_iter().map(Holder::from).collect(),
        }
    }
}

impl From<&authority::FenceRequest> for wire::FenceRequest {
    fn from(request: &authority::FenceRequest) -> Self {
        Self {
            incarnation: request.from.incarnation.0,
            target: (&request.target).into(),
            membership: request.membership.0,
            binding: request.binding,
        }
    }
}

impl wire::FenceRequest {
    /// Returns the request as sent by `vm`.
    #[must_use]
    pub fn into_request(self, vm: &Vm) -> authority::FenceRequest {
        authority::FenceRequest {
            from: holder(vm, self.incarnation),
            target: self.target.into(),
            membership: Version(self.membership),
            binding: self.binding,
        }
    }
}

impl From<&authority::FenceReply> for wire::FenceReply {
    fn from(reply: &authority::FenceReply) -> Self {
        let remaining_us = match reply.verdict {
            Verdict::Agreed { remaining } => {
                Some(u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX))
            }
            Verdict::Refused => None,
        };
        Self {
            incarnation: reply.from.incarnation.0,
            target: (&reply.target).into(),
            membership: reply.membership.0,
            binding: reply.binding,
            remaining_us,
        }
    }
}

impl wire::FenceReply {
    /// Returns the reply as sent by `vm`.
    #[must_use]
    pub fn into_reply(self, vm: &Vm) -> authority::FenceReply {
        let verdict = self.remaining_us.map_or(Verdict::Refused, |micros| {
            let remaining = Duration::from_micros(micros);
            Verdict::Agreed { remaining }
        });
        authority::FenceReply {
            from: holder(vm, self.incarnation),
            target: self.target.into(),
            membership: Version(self.membership),
            binding: self.binding,
            verdict,
        }
    }
}

impl wire::CreditRequest {
    /// Creates the message for a share's question about `team`.
    #[must_use]
    pub fn new(team: &Team, ask: &limit::Ask) -> Self {
        let report = |report: &limit::Report| (report.batch, report.spent, report.returned);
        Self {
            team: team.clone(),
            sequence: ask.sequence,
            need: ask.need,
            want: ask.want,
            reports: ask.reports.iter().map(report).collect(),
        }
    }
}

impl From<&wire::CreditRequest> for limit::Ask {
    fn from(request: &wire::CreditRequest) -> Self {
        let report = |&(batch, spent, returned): &(u64, u32, u32)| limit::Report {
            batch,
            spent,
            returned,
        };
        Self {
            sequence: request.sequence,
            need: request.need,
            want: request.want,
            reports: request.reports.iter().map(report).collect(),
        }
    }
}

impl wire::Credit {
    /// Creates the answer of the acting home of `team`.
    #[must_use]
    pub fn new(team: &Team, credit: &limit::Credit) -> Self {
        Self {
            team: team.clone(),
            sequence: credit.sequence,
            count: credit.count,
            expires_ms: u32::try_from(credit.expires_in.as_millis()).unwrap_or(u32::MAX),
            retry_after_us: credit
                .retry_after
                .map(|after| u64::try_from(after.as_micros()).unwrap_or(u64::MAX)),
            acting: true,
        }
    }

    /// Creates the answer of a VM that is not the acting home of `team`.
    #[must_use]
    pub fn not_acting(team: &Team, sequence: u64) -> Self {
        Self {
            team: team.clone(),
            sequence,
            count: 0,
            expires_ms: 0,
            retry_after_us: None,
            acting: false,
        }
    }
}

impl From<&wire::Credit> for limit::Credit {
    fn from(credit: &wire::Credit) -> Self {
        Self {
            sequence: credit.sequence,
            count: credit.count,
            expires_in: Duration::from_millis(u64::from(credit.expires_ms)),
            retry_after: credit.retry_after_us.map(Duration::from_micros),
        }
    }
}

fn holder(vm: &Vm, incarnation: u64) -> Holder {
    Holder {
        vm: vm.clone(),
        incarnation: Incarnation(incarnation),
    }
}
