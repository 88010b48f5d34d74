//! The relay: JSON-RPC 2.0, one object a line. Calls with orders; their answers; news of proxies.

use pondarch_controller::{AckId, Decision, ProxyId, RequestClassId};
use pondarch_deployment::number_of_tries;
use serde::Serialize;
use serde_json::Value;

/// Bytes of orders in one call.
pub const CALL_MOST: usize = 60_000;
/// What stands around the orders of a call.
const ROUND_CALL: usize = 128;
/// Longest line that the relay writes.
pub const LINE_MOST: usize = 64 * 1024;

/// One line that the relay wrote; none if it cannot be read.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// To a call: so many orders were taken.
    Taken {
        id: u64,
        orders: u64,
    },
    /// To a call: it was not carried out.
    Refused {
        id: u64,
        why: String,
    },
    /// News are about to come.
    Watching,
    News(News),
}

#[derive(Clone, Debug, PartialEq)]
pub enum News {
    Joined {
        proxy: ProxyId,
        site: String,
        usual: f64,
        fresh: bool,
    },
    Left(ProxyId),
    /// A proxy has applied a message that carried this mark.
    Applied {
        proxy: ProxyId,
        mark: AckId,
    },
    Ping,
    Other,
}

#[derive(Serialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
enum Order<'a> {
    Share {
        cluster: u16,
        target: &'a str,
        rps: f64,
    },
    Bind {
        id: u16,
        cluster: u16,
        #[serde(skip_serializing_if = "Vec::is_empty")]
        routes: Vec<&'a str>,
    },
    Admit {
        cluster: u16,
        routes: Vec<&'a str>,
        admit: f64,
        policy: usize,
    },
    Mark {
        nonce_out: u16,
        /// 1: all joined proxies are asked; 0: those whom this call reaches.
        flag: u8,
    },
}

/// A ruling as an order to the relay; none if it is not for the relay.
pub fn order(ruling: &Decision, kinds: &[String]) -> Option<String> {
    let name = |kind: &RequestClassId| kinds.get(kind.0 as usize).map(String::as_str);
    let order = match ruling {
        Decision::SetWeight {
            table,
            host,
            weight,
        } => Order::Share {
            cluster: table.0,
            target: &host.0,
            rps: weight.unwrap_or(0.0),
        },
        Decision::BindProxy {
            proxy,
            table,
            classes: kinds,
        } => Order::Bind {
            id: proxy.0,
            cluster: table.0,
            routes: kinds.iter().filter_map(name).collect(),
        },
        Decision::SetAdmissionRate {
            table,
            class: kind,
            quota,
            retry_policy: tries,
        } => Order::Admit {
            cluster: table.0,
            routes: name(kind).into_iter().collect(),
            admit: *quota,
            policy: number_of_tries(*tries),
        },
        Decision::RequestAck(mark) => Order::Mark {
            nonce_out: mark.0,
            flag: 0,
        },
        Decision::CheckHealth(_) | Decision::WatchEndpoints | Decision::SetTimer(_) => return None,
    };
    serde_json::to_string(&order).ok()
}

/// Whether one more order fits into a call that has orders of so many bytes.
pub fn fits(bytes: usize, order: &str) -> bool {
    bytes + order.len() + 1 + ROUND_CALL <= CALL_MOST
}

/// The line of a call.
pub fn call(id: u64, orders: &[String]) -> String {
    let orders = orders.join(",");
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"relay.apply\",\"params\":{{\"changes\":[{orders}]}}}}\n"
    )
}

/// The line that asks for news.
pub fn watch() -> &'static str {
    "{\"jsonrpc\":\"2.0\",\"id\":0,\"method\":\"relay.watch\"}\n"
}

pub fn read(line: &str) -> Option<Line> {
    let line: Value = serde_json::from_str(line).ok()?;
    if let Some(method) = line["method"].as_str() {
        return news(method, &line["params"]).map(Line::News);
    }
    let id = line["id"].as_u64()?;
    if let Some(error) = line.get("error").filter(|error| !error.is_null()) {
        return Some(Line::Refused {
            id,
            why: error.to_string(),
        });
    }
    match &line["result"] {
        Value::Bool(true) => Some(Line::Watching),
        result => Some(Line::Taken {
            id,
            orders: result["ok_count"].as_u64()?,
        }),
    }
}

fn news(method: &str, params: &Value) -> Option<News> {
    let proxy = || Some(ProxyId(params["id"].as_u64()?.try_into().ok()?));
    match method {
        "joined" => Some(News::Joined {
            proxy: proxy()?,
            site: params["site"].as_str()?.to_string(),
            usual: params["rps"].as_f64().unwrap_or(0.0),
            fresh: flag(&params["new"]),
        }),
        "left" => Some(News::Left(proxy()?)),
        "applied" => Some(News::Applied {
            proxy: proxy()?,
            mark: AckId(params["seq"].as_u64()?.try_into().ok()?),
        }),
        "ping" => Some(News::Ping),
        _ => Some(News::Other),
    }
}

fn flag(value: &Value) -> bool {
    value.as_bool().unwrap_or_else(|| value.as_u64() == Some(1))
}
