//! The relay's protocol, which is JSON-RPC 2.0 with one object per line: calls that carry update batches, the answers
//! to them, and membership events.

use pondarch_controller::{AckId, Decision, ProxyId, RequestClassId};
use pondarch_deployment::retry_policy_number;
use serde::Serialize;
use serde_json::Value;

/// Maximum size of one call, in bytes.
pub const MAX_CALL_BYTES: usize = 60_000;
/// Size reserved for the part of a call around its updates, in bytes.
const CALL_ENVELOPE_BYTES: usize = 128;
/// Maximum size of a line that the relay writes, in bytes.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// A line that the relay has written.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayMessage {
    /// The answer to a call: the relay applied its first `updates` updates.
    Applied {
        /// The number of the call.
        call: u64,
        /// How many updates were applied.
        updates: u64,
    },
    /// The answer to a call of which no update was applied.
    Rejected {
        /// The number of the call.
        call: u64,
        /// The error object of the answer, as JSON text.
        reason: String,
    },
    /// The answer to the request for membership events, which follow it.
    WatchStarted,
    /// A membership event.
    Event(MembershipEvent),
}

/// An event of the membership watch: a change of the connected proxies, an acknowledgement or a keepalive ping.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A proxy is connected.
    Joined {
        /// The proxy.
        proxy: ProxyId,
        /// The name of its zone.
        zone: String,
        /// The number of requests per second that the proxy usually forwards.
        usual_request_rate: f64,
        /// Whether the proxy does not hold a table or a quota yet.
        fresh: bool,
    },
    /// A proxy is no longer connected.
    Left(ProxyId),
    /// A proxy acknowledged that it has applied a message.
    Applied {
        /// The proxy.
        proxy: ProxyId,
        /// The id of the acknowledgement request in that message.
        ack: AckId,
    },
    /// A keepalive. The first ping of a watch also ends the list of connected proxies.
    Ping,
    /// An event of an unknown type.
    Unknown,
}

/// An update in its wire format.
#[derive(Serialize)]
#[serde(tag = "verb")]
enum WireUpdate<'a> {
    #[serde(rename = "share")]
    Weight {
        #[serde(rename = "cluster")]
        table: u16,
        #[serde(rename = "target")]
        host: &'a str,
        #[serde(rename = "rps")]
        weight: f64,
    },
    #[serde(rename = "bind")]
    Binding {
        #[serde(rename = "id")]
        proxy: u16,
        #[serde(rename = "cluster")]
        table: u16,
        #[serde(rename = "routes", skip_serializing_if = "Vec::is_empty")]
        classes: Vec<&'a str>,
    },
    #[serde(rename = "admit")]
    AdmissionRate {
        #[serde(rename = "cluster")]
        table: u16,
        #[serde(rename = "routes")]
        classes: Vec<&'a str>,
        #[serde(rename = "admit")]
        quota: f64,
        #[serde(rename = "policy")]
        retry_policy: usize,
    },
    #[serde(rename = "mark")]
    AckRequest {
        #[serde(rename = "nonce_out")]
        ack: u16,
        /// 1: all connected proxies acknowledge; 0: only the proxies that the call reaches.
        #[serde(rename = "flag")]
        all_proxies: u8,
    },
}

/// Encodes a decision as an update for the relay. Returns `None` if the decision doesn't concern the relay.
#[must_use]
pub fn encode_update(decision: &Decision, class_names: &[String]) -> Option<String> {
    let name = |class: &RequestClassId| class_names.get(class.0 as usize).map(String::as_str);
    let update = match decision {
        Decision::SetWeight {
            table,
            host,
            weight,
        } => WireUpdate::Weight {
            table: table.0,
            host: &host.0,
            weight: weight.unwrap_or(0.0),
        },
        Decision::BindProxy {
            proxy,
            table,
            classes,
        } => WireUpdate::Binding {
            proxy: proxy.0,
            table: table.0,
            classes: classes.iter().filter_map(name).collect(),
        },
        Decision::SetAdmissionRate {
            table,
            class,
            quota,
            retry_policy,
        } => WireUpdate::AdmissionRate {
            table: table.0,
            classes: name(class).into_iter().collect(),
            quota: *quota,
            retry_policy: retry_policy_number(*retry_policy),
        },
        Decision::RequestAck(ack) => WireUpdate::AckRequest {
            ack: ack.0,
            all_proxies: 0,
        },
        Decision::CheckHealth(_) | Decision::WatchEndpoints | Decision::SetTimer(_) => return None,
    };
    serde_json::to_string(&update).ok()
}

/// Returns whether one more update fits into a call whose updates already take `update_bytes`.
#[must_use]
pub fn fits_in_call(update_bytes: usize, update: &str) -> bool {
    update_bytes + update.len() + 1 + CALL_ENVELOPE_BYTES <= MAX_CALL_BYTES
}

/// Encodes a call with these updates as one line.
#[must_use]
pub fn encode_call(call: u64, updates: &[String]) -> String {
    let updates = updates.join(",");
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{call},\"method\":\"relay.apply\",\"params\":{{\"changes\":[{updates}]}}}}\n"
    )
}

/// Returns the line that requests membership events.
#[must_use]
pub fn watch_request() -> &'static str {
    "{\"jsonrpc\":\"2.0\",\"id\":0,\"method\":\"relay.watch\"}\n"
}

/// Parses a line that the relay has written. Returns `None` if it is malformed.
#[must_use]
pub fn parse(line: &str) -> Option<RelayMessage> {
    let line: Value = serde_json::from_str(line).ok()?;
    if let Some(method) = line["method"].as_str() {
        return parse_event(method, &line["params"]).map(RelayMessage::Event);
    }
    let call = line["id"].as_u64()?;
    if let Some(error) = line.get("error").filter(|error| !error.is_null()) {
        return Some(RelayMessage::Rejected {
            call,
            reason: error.to_string(),
        });
    }
    match &line["result"] {
        Value::Bool(true) => Some(RelayMessage::WatchStarted),
        result => Some(RelayMessage::Applied {
            call,
            updates: result["ok_count"].as_u64()?,
        }),
    }
}

fn parse_event(method: &str, params: &Value) -> Option<MembershipEvent> {
    let proxy = || Some(ProxyId(params["id"].as_u64()?.try_into().ok()?));
    match method {
        "joined" => Some(MembershipEvent::Joined {
            proxy: proxy()?,
            zone: params["site"].as_str()?.to_string(),
            usual_request_rate: params["rps"].as_f64().unwrap_or(0.0),
            fresh: parse_flag(&params["new"]),
        }),
        "left" => Some(MembershipEvent::Left(proxy()?)),
        "applied" => Some(MembershipEvent::Applied {
            proxy: proxy()?,
            ack: AckId(params["seq"].as_u64()?.try_into().ok()?),
        }),
        "ping" => Some(MembershipEvent::Ping),
        _ => Some(MembershipEvent::Unknown),
    }
}

/// Parses a flag, which is a boolean or a number; of the numbers, only 1 means true.
fn parse_flag(value: &Value) -> bool {
    value.as_bool().unwrap_or_else(|| value.as_u64() == Some(1))
}
