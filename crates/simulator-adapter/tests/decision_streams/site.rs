//! The parameters of a seeded run: the size of its fleet, its limits and its incidents, and the settings object that
//! the controller receives for it.

use serde_json::{Value, json};

/// Names of the request classes, in the order of the settings.
pub(crate) const CLASSES: [&str; 3] = ["proof", "order", "release"];
/// Names of the zones; a site with `n` zones uses the first `n`.
pub(crate) const ZONES: [&str; 4] = ["ede", "arnhem", "utrecht", "amersfoort"];
/// Names of the machine types.
pub(crate) const MACHINE_TYPES: [&str; 2] = ["single-fast", "dual-std"];
/// Time between two reports of a proxy, in microseconds.
pub(crate) const REPORT_PERIOD: u64 = 1_000_000;

/// Parameters of a simulated site.
#[derive(Clone, Copy)]
pub(crate) struct Site {
    pub seed: u64,
    pub proxies: usize,
    pub hosts: usize,
    pub zones: usize,
    /// Whether the second class is zone-local.
    pub zone_local_class: bool,
    pub admission: &'static str,
    /// Messages to one proxy within ten seconds; 0 means no limit.
    pub message_cap: u64,
    /// Updates that may wait in the update queue.
    pub update_queue_limit: u64,
    /// Updates that the relay sends per second.
    pub relay_rate: u64,
    /// Whether the endpoint list is sent only on request.
    pub list_on_request: bool,
    pub health_checks: bool,
    pub report_source: &'static str,
    /// Whether requests across zones have a price.
    pub crossing_price: bool,
    /// Whether a host that the endpoint list drops may stay in tables.
    pub removal_not_binding: bool,
    /// Whether demand triples, far above the capacity of the fleet, in the second quarter of the run.
    pub overload: bool,
    /// Percentage of the seconds in which an incident occurs.
    pub incident_percent: u64,
    /// Whether messages of the relay are delayed by seconds in the middle third of the run.
    pub slow_relay: bool,
    /// Duration of the run.
    pub seconds: u64,
}

/// A small site with few incidents, on which the tests base theirs.
pub(crate) const SMALL_SITE: Site = Site {
    seed: 1,
    proxies: 12,
    hosts: 8,
    zones: 1,
    zone_local_class: false,
    admission: "share",
    message_cap: 12,
    update_queue_limit: 9_800,
    relay_rate: 9_800,
    list_on_request: false,
    health_checks: true,
    report_source: "inline",
    crossing_price: false,
    removal_not_binding: false,
    overload: false,
    incident_percent: 30,
    slow_relay: false,
    seconds: 120,
};

impl Site {
    /// Returns the settings object, with times in microseconds.
    pub(crate) fn settings(&self) -> Value {
        let class = |index: usize, aim: u64, worth: u64| json!({"name": CLASSES[index], "aim": aim, "worth": worth});
        json!({
            "balancers": 2, "serviceType": "control", "period": 4_000, "weightKind": "nominal",
            "classes": [class(0, 1_500_000, 1), class(1, 1_000_000, 5), class(2, 800_000, 3)],
            "localities": &ZONES[..self.zones], "locality": ZONES[0], "machineTypes": MACHINE_TYPES,
            "discovery": if self.list_on_request { "on_request" } else { "pushed" },
            "limits": {"probes": self.health_checks, "peers": false},
            "prices": {"crossZone": if self.crossing_price { 0.0625 } else { 0.0 }},
            "report": {"fields": ["busy", "q", "lat_ms"], "source": self.report_source},
            "obligations": {"askWithin": 10_000_000, "cold": 18_000_000, "startCapacity": 0.25,
                "stopSendingWithin": 3_400_000, "removalNotBinding": self.removal_not_binding},
            "familyInfo": {"proxies": self.proxies, "admission": self.admission, "baseMode": 0, "partitionsN": 0,
                "channelRate": self.relay_rate, "mostWaiting": self.update_queue_limit, "perMessage": 3,
                "updateCap": self.message_cap, "updateWindow": 10_000_000, "reportEvery": REPORT_PERIOD,
                "classOwnZone": [false, self.zone_local_class, false]},
        })
    }

    /// Returns the additional delay of messages in this second, in microseconds.
    pub(crate) fn extra_delay(&self, second: u64) -> u64 {
        let is_slow = second * 3 >= self.seconds && second * 3 < self.seconds * 2;
        if self.slow_relay && is_slow {
            2_500_000
        } else {
            0
        }
    }

    /// Returns the demand in this second, as a percentage of the usual demand.
    pub(crate) fn demand_percent(&self, second: u64) -> u64 {
        let is_peak = second * 4 >= self.seconds && second * 2 < self.seconds;
        if self.overload && is_peak { 300 } else { 100 }
    }
}
