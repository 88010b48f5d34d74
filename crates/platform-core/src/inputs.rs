//! Passes endpoint lists, membership events and reports to the decision module.

use crate::controller::PlatformController;
use crate::membership::JoinKind;
use pondarch_controller::JoiningProxy;
use pondarch_controller::{
    AttemptOutcomes, EndpointState, HostId, HostLoad, ProxyId, RequestClassId, Time,
};
use pondarch_controller::{Endpoint, EndpointList};
use pondarch_platform_protocol::registry::RegistryList;
use pondarch_platform_protocol::relay::MembershipEvent;
use pondarch_platform_protocol::report::{MalformedMessage, Message};
use std::time::Duration;

impl PlatformController {
    pub(crate) fn apply_endpoint_list(&mut self, now: Time, list: RegistryList) {
        self.counters.endpoint_lists += 1;
        if list.complete {
            self.health_check_addresses.clear();
        }
        for entry in &list.entries {
            match entry
                .address
                .filter(|_| entry.state != EndpointState::Removed)
            {
                Some(address) => {
                    self.health_check_addresses
                        .insert(entry.host.clone(), address);
                }
                None => {
                    self.health_check_addresses.remove(&entry.host);
                }
            }
        }
        let wall_clock = &self.wall_clock;
        let endpoints = list
            .entries
            .iter()
            .map(|entry| Endpoint {
                started: wall_clock.to_monotonic(entry.started),
                ..entry.to_endpoint(&mut self.names)
            })
            .collect();
        self.controller.apply_endpoint_list(
            now,
            EndpointList {
                generation: list.generation,
                complete: list.complete,
                endpoints,
            },
        );
    }

    pub(crate) fn apply_membership_event(&mut self, now: Time, event: MembershipEvent) {
        match event {
            MembershipEvent::Joined {
                proxy,
                zone,
                usual_request_rate,
                fresh,
            } => self.on_proxy_joined(now, proxy, &zone, usual_request_rate, fresh),
            MembershipEvent::Left(proxy) => {
                if self.membership.leave(proxy) {
                    self.on_proxy_left(now, proxy);
                }
            }
            MembershipEvent::Ping => {
                for proxy in self.membership.end_list() {
                    self.on_proxy_left(now, proxy);
                }
            }
            MembershipEvent::Applied { ack, .. } => {
                self.counters.acks_received += 1;
                self.controller.on_ack(now, ack);
            }
            MembershipEvent::Unknown => {}
        }
    }

    fn on_proxy_joined(
        &mut self,
        now: Time,
        proxy: ProxyId,
        zone: &str,
        usual_request_rate: f64,
        fresh: bool,
    ) {
        let id_in_range = u64::from(proxy.0) < self.proxy_count;
        let Some(zone) = self.names.known_zone(zone).filter(|_| id_in_range) else {
            self.counters
                .count_malformed(MalformedMessage::InvalidField("site"));
            return;
        };
        match self.membership.join(proxy, zone) {
            JoinKind::New => {
                self.counters.joined += 1;
                self.controller.proxy_joined(
                    now,
                    JoiningProxy {
                        id: proxy,
                        zone,
                        newly_started: fresh,
                        usual_rate: usual_request_rate,
                    },
                );
            }
            JoinKind::Unconfirmed => {
                self.counters.unconfirmed += 1;
                self.controller.proxy_unconfirmed(now, proxy);
            }
        }
    }

    fn on_proxy_left(&mut self, now: Time, proxy: ProxyId) {
        self.counters.left += 1;
        self.controller.proxy_left(now, proxy);
    }

    /// Records a collector's message, or counts it as malformed if it names an unknown host, proxy, class or zone.
    pub(crate) fn record_message(&mut self, now: Time, message: Message) {
        let recorded = match message {
            Message::HostReport {
                zone,
                host,
                outcomes,
            } => self.record_host_report(now, &zone, &host, outcomes),
            Message::UsageReport {
                proxy,
                class,
                requests,
                period,
            } => self.record_usage_report(now, proxy, &class, requests, period),
            Message::Ping | Message::Collector { .. } => return,
        };
        match recorded {
            Ok(()) => self.counters.reports += 1,
            Err(reason) => self.counters.count_malformed(reason),
        }
    }

    fn record_host_report(
        &mut self,
        now: Time,
        zone: &str,
        host: &HostId,
        outcomes: AttemptOutcomes,
    ) -> Result<(), MalformedMessage> {
        self.names
            .known_zone(zone)
            .ok_or(MalformedMessage::InvalidField("site"))?;
        if !self.health_check_addresses.contains_key(host) {
            return Err(MalformedMessage::InvalidField("target"));
        }
        let with_load = outcomes
            .load
            .is_some_and(|load| load != HostLoad::default());
        self.counters.reports_with_load += u64::from(with_load);
        self.counters.attempts += outcomes.attempts as u64;
        self.controller.record_outcomes(now, host, outcomes);
        Ok(())
    }

    fn record_usage_report(
        &mut self,
        now: Time,
        proxy: ProxyId,
        class: &str,
        requests: f64,
        period: Duration,
    ) -> Result<(), MalformedMessage> {
        let class = self
            .names
            .request_class(class)
            .ok_or(MalformedMessage::InvalidField("lane"))?;
        if !self.membership.contains(proxy) {
            return Err(MalformedMessage::InvalidField("id"));
        }
        self.counters.requests += requests as u64;
        self.controller
            .record_arrivals(now, proxy, RequestClassId(class), requests, period);
        Ok(())
    }
}
