//! The `show` module formats audit entries as text for operators.

use std::fmt;

use super::{Actor, Cause, Entry, Event, Value};
use crate::ledger::RoleName;

impl fmt::Display for Actor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Operator(signer) => write!(f, "operator {signer}"),
            Self::Vm(vm) => write!(f, "VM {vm}"),
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BundleAccepted => f.write_str("bundle accepted"),
            Self::BundleInForce => f.write_str("bundle in force"),
            Self::KeyGranted(key) => write!(f, "caller key {key} granted"),
            Self::KeyWithdrawn(key) => write!(f, "caller key {key} withdrawn"),
            Self::DataCentreOut(name) => write!(f, "data centre {name} out of service"),
            Self::DataCentreIn(name) => write!(f, "data centre {name} in service"),
            Self::RateChanged(team) => write!(f, "rate of team {team} changed"),
            Self::OwnerChanged {
                service,
                first,
                last,
            } => write!(f, "owner of slots {first} to {last} of {service} changed"),
            Self::KeyOwnerChanged { service, key } => {
                write!(f, "owner of key {key:016x} of {service} changed")
            }
            Self::HolderChanged(RoleName::Group {
                service,
                data_centre,
            }) => write!(f, "holder of group {service} in {data_centre} changed"),
            Self::HolderChanged(RoleName::Home { team }) => {
                write!(f, "holder of the home of team {team} changed")
            }
            Self::CoordinatorChanged => f.write_str("coordinator changed"),
            Self::MembershipChanged(vm) => write!(f, "membership of VM {vm} changed"),
            Self::Ejected(upstream) => write!(f, "upstream {upstream} ejected"),
            Self::Readmitted(upstream) => write!(f, "upstream {upstream} readmitted"),
            Self::Drained(upstream) => write!(f, "upstream {upstream} draining"),
            Self::Undrained(upstream) => write!(f, "upstream {upstream} active"),
            Self::TurnedCold(upstream) => write!(f, "upstream {upstream} turned cold"),
            Self::TurnedWarm(upstream) => write!(f, "upstream {upstream} turned warm"),
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Upstream(upstream) => write!(f, "{upstream}"),
            Self::Holder(holder) => write!(f, "{} ({})", holder.vm, holder.incarnation),
            Self::Version(version) => write!(f, "{version}"),
            Self::Rate(rate) => write!(f, "{rate}/s"),
            Self::Team(team) => write!(f, "{team}"),
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Requested(operation) => write!(f, "operation {:032x}", operation.0),
            Self::Fenced(incarnation) => write!(f, "incarnation {incarnation} was fenced"),
            Self::LeaseLapsed => f.write_str("the lease lapsed"),
            Self::Planned => f.write_str("planned by the coordinator"),
            Self::Hot => f.write_str("too hot for its owner"),
            Self::Slow => f.write_str("much slower than the other upstreams"),
            Self::Failing => f.write_str("requests failed"),
            Self::Restarted => f.write_str("restarted"),
            Self::Recovered => f.write_str("recovered"),
        }
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "version {}, {}: {}",
            self.version, self.actor, self.event
        )?;
        if let Some(from) = &self.from {
            write!(f, " from {from}")?;
        }
        if let Some(to) = &self.to {
            write!(f, " to {to}")?;
        }
        write!(f, " ({})", self.cause)
    }
}
