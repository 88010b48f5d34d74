//! Transitions of hosts between phases, for logs: noted from the decisions' state, and no part of any decision.

use crate::endpoint::EndpointState;
use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::ids::HostId;
use crate::outlier_detection::EjectionCause;
use crate::time::Time;
use std::collections::VecDeque;

/// Transitions that are kept until they are taken; older ones are dropped.
const MAX_PENDING: usize = 1_024;

/// What a host is to the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostPhase {
    /// It may be sent all of its work.
    Serving,
    /// It has started lately and can do only part of its work.
    WarmingUp,
    /// It is back from an ejection on a small weight.
    OnProbation,
    /// It is kept out of the tables as an outlier.
    Ejected(EjectionCause),
    /// The endpoint list says that it drains.
    Draining,
    /// The endpoint list does not name it, or says that it is gone.
    Removed,
}

/// A host has come into another phase, or has started anew.
#[derive(Clone, Debug, PartialEq)]
pub struct HostTransition {
    /// When the controller acted on it.
    pub at: Time,
    /// The host.
    pub host: HostId,
    /// Its phase before; none: it was not known.
    pub from: Option<HostPhase>,
    /// Its phase now.
    pub to: HostPhase,
    /// When it last started, as listed; unset: long ago.
    pub started: Time,
    /// Whether that start time is another one than before.
    pub restarted: bool,
}

/// What was last noted of a host.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct NotedPhase {
    phase: HostPhase,
    started: Time,
}

/// Transitions that nobody has taken yet.
#[derive(Default)]
pub(crate) struct TransitionLog {
    pending: VecDeque<HostTransition>,
}

impl TransitionLog {
    /// Notes the transitions since the last call; none for a host that serves when it becomes known.
    pub(crate) fn observe(&mut self, hosts: &mut HostRegistry, policy: &HostPolicy, now: Time) {
        for host in hosts.iter_mut() {
            let noted = NotedPhase {
                phase: phase_of(host, policy, now),
                started: host.started(),
            };
            let before = host.noted_phase.replace(noted);
            let is_known_serving = before.is_none() && noted.phase == HostPhase::Serving;
            if before == Some(noted) || is_known_serving {
                continue;
            }
            if self.pending.len() == MAX_PENDING {
                self.pending.pop_front();
            }
            self.pending.push_back(HostTransition {
                at: now,
                host: host.id().clone(),
                from: before.map(|before| before.phase),
                to: noted.phase,
                started: noted.started,
                restarted: before.is_some_and(|before| before.started != noted.started),
            });
        }
    }

    /// Takes all transitions that are pending, the oldest first.
    pub(crate) fn take(&mut self) -> Vec<HostTransition> {
        self.pending.drain(..).collect()
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
    } else {
        HostPhase::WarmingUp
    }
}
