//! Transitions of hosts between phases, for logging only: they never influence a decision.

use crate::endpoint::EndpointState;
use crate::event_buffer::EventBuffer;
use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::ids::HostId;
use crate::outlier_detection::EjectionCause;
use crate::time::Time;

/// How the controller treats a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostPhase {
    /// It gets its full weight.
    Serving,
    /// It started recently and has only a fraction of its capacity (slow start).
    WarmingUp,
    /// It started recently and is in no table yet.
    Waiting,
    /// It has returned from an ejection with a reduced weight.
    OnProbation,
    /// It is excluded from the tables as an outlier.
    Ejected(EjectionCause),
    /// It is draining according to the endpoint list.
    Draining,
    /// It is missing from the endpoint list or listed as removed.
    Removed,
}

/// A change of a host's phase or start time.
#[derive(Clone, Debug, PartialEq)]
pub struct HostTransition {
    /// When the controller observed the change.
    pub at: Time,
    /// The host.
    pub host: HostId,
    /// Its previous phase; `None` if the host was unknown.
    pub from: Option<HostPhase>,
    /// Its new phase.
    pub to: HostPhase,
    /// When it last started according to the endpoint list; unset if unknown.
    pub started: Time,
    /// Whether its start time has changed.
    pub restarted: bool,
}

/// The phase and the start time that were last observed for a host.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct ObservedPhase {
    phase: HostPhase,
    started: Time,
}

/// Transitions that have not been taken yet.
#[derive(Default)]
pub(crate) struct TransitionLog {
    pending: EventBuffer<HostTransition>,
}

impl TransitionLog {
    /// Records the transitions since the last call. A new host that is already serving produces none.
    pub(crate) fn observe(&mut self, hosts: &mut HostRegistry, policy: &HostPolicy, now: Time) {
        for host in hosts.iter_mut() {
            let observed = ObservedPhase {
                phase: phase_of(host, policy, now),
                started: host.started(),
            };
            let before = host.observed_phase.replace(observed);
            let is_new_and_serving = before.is_none() && observed.phase == HostPhase::Serving;
            if before == Some(observed) || is_new_and_serving {
                continue;
            }
            self.pending.push(HostTransition {
                at: now,
                host: host.id().clone(),
                from: before.map(|before| before.phase),
                to: observed.phase,
                started: observed.started,
                restarted: before.is_some_and(|before| before.started != observed.started),
            });
        }
    }

    /// Takes all pending transitions, oldest first.
    pub(crate) fn take(&mut self) -> Vec<HostTransition> {
        self.pending.take()
    }
}

fn phase_of(host: &Host, policy: &HostPolicy, now: Time) -> HostPhase {
    if !policy.is_ready(host, now) {
        return match host.state() {
            EndpointState::Draining => HostPhase::Draining,
            EndpointState::Ready | EndpointState::Removed => HostPhase::Removed,
        };
    }
    if let Some(cause) = host.ejection.cause() {
        HostPhase::Ejected(cause)
    } else if host.ejection.is_on_probation() {
        HostPhase::OnProbation
    } else if policy.is_warm(host, now) {
        HostPhase::Serving
    } else if host.memberships.has_target() {
        HostPhase::WarmingUp
    } else {
        HostPhase::Waiting
    }
}
