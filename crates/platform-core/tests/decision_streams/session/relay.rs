//! Executes the controller's outputs: the simulated relay applies or rejects calls, and the simulated hosts answer
//! health checks.

use super::{Event, START, Session};
use crate::controller::Action;
use crate::fleet::{Fault, Health, thousandths};
use crate::site::{CLASSES, REPORT_PERIOD};
use serde_json::Value;

/// Time after which a call counts as unanswered, in microseconds.
const ANSWER_TIMEOUT: u64 = 50_000;

impl Session {
    /// Executes an action. Returns its text for the digest.
    pub(super) fn execute(&mut self, action: Action) -> String {
        match action {
            Action::Call { id, line } => {
                self.apply_call(id, &line);
                format!("{}\t{line}", self.now)
            }
            Action::CheckHealth { host, address } => {
                self.check_health(&host);
                format!("{}\tprobe\t{host}\t{address}\n", self.now)
            }
        }
    }

    /// Applies a call in whole, in part or not at all, and schedules the answer, if there is one.
    fn apply_call(&mut self, id: u64, line: &str) {
        self.counts.calls += 1;
        let line: Value = serde_json::from_str(line).expect("a call in JSON");
        let updates = line["params"]["changes"]
            .as_array()
            .expect("updates")
            .clone();
        let (delay, fault) = (
            self.fleet.random.between(1_000, 40_000),
            self.fleet.random.between(0, 100),
        );
        let updates_applied_at_most = if fault < 4 {
            self.fleet.random.place(updates.len())
        } else {
            updates.len()
        };
        let result = |applied: usize| {
            format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"ok_count\":{applied}}}}}")
        };
        match fault {
            0..4 => {
                self.counts.calls_applied_in_part += 1;
                let applied = self.apply_updates(&updates[..updates_applied_at_most]);
                self.schedule(delay, Event::RelayLine(result(applied)));
            }
            4..8 => {
                self.counts.calls_rejected += 1;
                let error = "{\"code\":-32000,\"message\":\"BUSY\"}";
                let text = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{error}}}");
                self.schedule(delay, Event::RelayLine(text));
            }
            8..14 => {
                self.counts.calls_unanswered += 1;
                if fault < 11 {
                    self.apply_updates(&updates);
                }
                self.schedule(ANSWER_TIMEOUT, Event::AnswerTimeout(id));
            }
            // The answer counts more updates than the call had, which is malformed.
            14 => {
                self.apply_updates(&updates);
                self.schedule(delay, Event::RelayLine(result(updates.len() + 1)));
            }
            _ => {
                let applied = self.apply_updates(&updates);
                self.schedule(delay, Event::RelayLine(result(applied)));
            }
        }
    }

    /// Applies updates up to the first one that is not valid. Returns how many were applied.
    fn apply_updates(&mut self, updates: &[Value]) -> usize {
        let mut reached = Vec::new();
        for (position, update) in updates.iter().enumerate() {
            let table = update["cluster"].as_u64().unwrap_or(0) as u16;
            let number = |name: &str| update[name].as_f64().expect("a number");
            match update["verb"].as_str().expect("a verb") {
                "share" => {
                    self.counts.lines += 1;
                    let host = update["target"].as_str().expect("a host");
                    self.fleet.set_line(table, host, thousandths(number("rps")));
                    reached.extend(self.fleet.users(table));
                }
                "bind" => {
                    let proxy = number("id") as usize;
                    if !self.fleet.proxies[proxy].joined {
                        return position;
                    }
                    self.counts.bindings += 1;
                    self.fleet
                        .hand_table(proxy, table, class_bits(&update["routes"]));
                    reached.push(proxy);
                }
                "admit" => {
                    let quota = thousandths(number("admit"));
                    self.counts.quotas_lowered += usize::from(quota < 1_000);
                    self.counts.quotas_raised +=
                        usize::from(quota >= 1_000 && self.counts.quotas_lowered > 0);
                    self.fleet
                        .set_level(table, class_bits(&update["routes"]), quota);
                    reached.extend(self.fleet.users(table));
                }
                "mark" => self.request_acks(number("nonce_out") as u64, &mut reached),
                other => panic!("unknown update: {other}"),
            }
        }
        updates.len()
    }

    /// Each proxy that the call reached acknowledges it promptly, late or never.
    fn request_acks(&mut self, ack: u64, reached: &mut Vec<usize>) {
        self.counts.ack_requests += 1;
        reached.sort_unstable();
        reached.dedup();
        let relay_delay = self.site.extra_delay((self.now - START) / REPORT_PERIOD);
        for &proxy in reached.iter() {
            if self.fleet.random.percent(8) {
                continue;
            }
            let extra_delay = if self.fleet.random.percent(5) {
                5_000_000
            } else {
                relay_delay
            };
            let delay = self.fleet.random.between(150, 900) * 1_000 + extra_delay;
            let params = format!("{{\"id\":{proxy},\"seq\":{ack},\"ms\":{}}}", delay / 1_000);
            self.schedule_relay_event(delay, "applied", &params);
        }
    }

    fn check_health(&mut self, name: &str) {
        self.counts.health_checks += 1;
        let host = self
            .fleet
            .hosts
            .iter()
            .find(|host| host.name == name)
            .expect("a host that was listed");
        let (health, fault, queue) = (host.health, host.fault, host.queue / 1_000);
        let random = &mut self.fleet.random;
        let answers = health == Health::Listed && fault != Fault::Hangs;
        let healthy = answers && (fault != Fault::Fails || random.percent(50));
        if random.percent(10) {
            return;
        }
        let body = match random.between(0, 4) {
            0 => String::new(),
            1 => "TEXT util=NaN".to_string(),
            _ => format!("TEXT inflight=7, queue={queue}, util=0.610"),
        };
        let delay = random.between(1_000, 60_000);
        self.schedule(
            delay,
            Event::HealthCheckAnswer {
                host: name.to_string(),
                healthy,
                body,
            },
        );
    }
}

/// Returns the bits of the classes that an update names; no bit means all classes.
fn class_bits(routes: &Value) -> u64 {
    let names = routes
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str);
    names
        .map(|name| {
            1 << CLASSES
                .iter()
                .position(|class| *class == name)
                .expect("a class")
        })
        .sum()
}
