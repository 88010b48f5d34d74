//! Proxies that join and leave, with or without a membership event to the controller, and their reports.

use super::{SimulatedFleet, ZONES};
use pondarch_controller::ProxyId;
use pondarch_platform_core::Input;
use pondarch_platform_protocol::relay::MembershipEvent;
use pondarch_platform_protocol::report;

impl SimulatedFleet {
    pub(super) fn send_event(&mut self, event: MembershipEvent) {
        self.handle(Input::Membership(event));
        self.execute_outputs();
    }

    /// Sends a join event to the controller, whether the proxy is connected or not.
    pub(crate) fn send_joined(&mut self, number: u16, fresh: bool) {
        self.send_event(MembershipEvent::Joined {
            proxy: ProxyId(number),
            zone: ZONES[number as usize % ZONES.len()].to_string(),
            usual_request_rate: 5.0,
            fresh,
        });
    }

    fn connect_to_relay(&mut self, number: u16) {
        let proxy = ProxyId(number);
        self.bindings.remove(&proxy);
        self.messages.remove(&proxy);
        self.joined.insert(proxy, self.now);
    }

    pub(crate) fn join(&mut self, number: u16, fresh: bool) {
        self.connect_to_relay(number);
        self.send_joined(number, fresh);
    }

    pub(crate) fn leave(&mut self, number: u16) {
        self.leave_without_event(number);
        self.send_event(MembershipEvent::Left(ProxyId(number)));
    }

    pub(crate) fn leave_without_event(&mut self, number: u16) {
        let proxy = ProxyId(number);
        self.bindings.remove(&proxy);
        self.joined.remove(&proxy);
        self.without_host_since.remove(&proxy);
    }

    pub(crate) fn rejoin_without_event(&mut self, number: u16) {
        self.leave_without_event(number);
        self.connect_to_relay(number);
    }

    /// Restarts the membership watch, which then lists the connected proxies.
    pub(crate) fn restart_membership_watch(&mut self) {
        self.restart_grace_period();
        self.handle(Input::MembershipWatchStarted);
        let connected: Vec<ProxyId> = self.joined.keys().copied().collect();
        for proxy in connected {
            self.send_joined(proxy.0, false);
        }
    }

    pub(crate) fn send_report(&mut self, text: &str) {
        let words: Vec<String> = text.split(' ').map(str::to_string).collect();
        let message = report::parse(&words).expect("a well-formed report");
        self.handle(Input::Report(message));
        self.execute_outputs();
    }
}
