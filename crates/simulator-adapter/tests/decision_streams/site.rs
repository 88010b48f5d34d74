//! What one seeded run is about: the size of its fleet, its limits and troubles, and the settings object that the
//! controller is handed for it.

use serde_json::{Value, json};

/// Names of the request classes, in the order of the settings.
pub(crate) const CLASSES: [&str; 3] = ["proof", "order", "release"];
/// Names of the zones; a site uses the first few.
pub(crate) const ZONES: [&str; 4] = ["ede", "arnhem", "utrecht", "amersfoort"];
/// Names of the machine types.
pub(crate) const MACHINES: [&str; 2] = ["single-fast", "dual-std"];
/// Time between two reports, in microseconds.
pub(crate) const REPORT_PERIOD: u64 = 1_000_000;

/// One simulated site.
#[derive(Clone, Copy)]
pub(crate) struct Site {
    pub seed: u64,
    pub proxies: usize,
    pub hosts: usize,
    pub zones: usize,
    /// Whether the second class may go only to hosts in the proxy's zone.
    pub own_zone: bool,
    pub admission: &'static str,
    /// Messages to one proxy within ten seconds; 0: no limit.
    pub message_cap: u64,
    /// Lines that may wait in the channel, and lines that it sends per second.
    pub most_waiting: u64,
    pub channel_rate: u64,
    pub list_on_request: bool,
    pub health_checks: bool,
    pub report_source: &'static str,
    pub crossing_price: bool,
    pub removal_not_binding: bool,
    /// Whether demand rises far above what the fleet can do in the middle of the run.
    pub overload: bool,
    /// Percent of the seconds in which something happens to a host or proxy.
    pub trouble: u64,
    /// Whether messages take seconds to arrive in the middle of the run.
    pub slow_channel: bool,
    pub seconds: u64,
}

/// A small calm site; runs change what they are about.
pub(crate) const SMALL: Site = Site {
    seed: 1,
    proxies: 12,
    hosts: 8,
    zones: 1,
    own_zone: false,
    admission: "share",
    message_cap: 12,
    most_waiting: 9_800,
    channel_rate: 9_800,
    list_on_request: false,
    health_checks: true,
    report_source: "inline",
    crossing_price: false,
    removal_not_binding: false,
    overload: false,
    trouble: 30,
    slow_channel: false,
    seconds: 120,
};

impl Site {
    /// The settings object, times in microseconds.
    pub(crate) fn settings(&self) -> Value {
        let class = |place: usize, aim: u64, worth: u64| json!({"name": CLASSES[place], "aim": aim, "worth": worth});
        json!({
            "balancers": 2, "serviceType": "control", "period": 4_000, "weightKind": "nominal",
            "classes": [class(0, 1_500_000, 1), class(1, 1_000_000, 5), class(2, 800_000, 3)],
            "localities": &ZONES[..self.zones], "locality": ZONES[0], "machineTypes": MACHINES,
            "discovery": if self.list_on_request { "on_request" } else { "pushed" },
            "limits": {"probes": self.health_checks, "peers": false},
            "prices": {"crossZone": if self.crossing_price { 0.0625 } else { 0.0 }},
            "report": {"fields": ["busy", "q", "lat_ms"], "source": self.report_source},
            "obligations": {"askWithin": 10_000_000, "cold": 18_000_000, "startCapacity": 0.25,
                "stopSendingWithin": 3_400_000, "removalNotBinding": self.removal_not_binding},
            "familyInfo": {"proxies": self.proxies, "admission": self.admission, "baseMode": 0, "partitionsN": 0,
                "channelRate": self.channel_rate, "mostWaiting": self.most_waiting, "perMessage": 3,
                "updateCap": self.message_cap, "updateWindow": 10_000_000, "reportEvery": REPORT_PERIOD,
                "classOwnZone": [false, self.own_zone, false]},
        })
    }

    /// What messages take longer in this second, in microseconds.
    pub(crate) fn extra_delay(&self, second: u64) -> u64 {
        let slow = second * 3 >= self.seconds && second * 3 < self.seconds * 2;
        if self.slow_channel && slow {
            2_500_000
        } else {
            0
        }
    }

    /// Demand in this second, in percent of the usual.
    pub(crate) fn demand_percent(&self, second: u64) -> u64 {
        let peak = second * 4 >= self.seconds && second * 2 < self.seconds;
        if self.overload && peak { 300 } else { 100 }
    }
}
