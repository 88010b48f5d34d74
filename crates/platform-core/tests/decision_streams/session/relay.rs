//! What the controller does, carried out: calls by the relay, as far as it takes them, and health checks by the hosts.

use super::{Event, START, Session};
use crate::controller::Action;
use crate::fleet::{Fault, Health, thousandths};
use crate::site::{CLASSES, REPORT_PERIOD};
use serde_json::Value;

/// Time after which a call counts as unanswered.
const ANSWER_TIME: u64 = 50_000;

impl Session {
    /// Carries out an action and gives the text of it that is hashed.
    pub(super) fn take(&mut self, action: Action) -> String {
        match action {
            Action::Call { id, line } => {
                self.call(id, &line);
                format!("{}\t{line}", self.now)
            }
            Action::CheckHealth { host, address } => {
                self.check_health(&host);
                format!("{}\tprobe\t{host}\t{address}\n", self.now)
            }
        }
    }

    /// The relay carries a call out, in whole, in part or not at all, and answers or keeps silent.
    fn call(&mut self, id: u64, line: &str) {
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
        let most = if fault < 4 {
            self.fleet.random.place(updates.len())
        } else {
            updates.len()
        };
        let result = |taken: usize| {
            format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"ok_count\":{taken}}}}}")
        };
        match fault {
            0..4 => {
                self.counts.stopped += 1;
                let taken = self.carry_out(&updates[..most]);
                self.later(delay, Event::RelayLine(result(taken)));
            }
            4..8 => {
                self.counts.refused += 1;
                let error = "{\"code\":-32000,\"message\":\"BUSY\"}";
                let text = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{error}}}");
                self.later(delay, Event::RelayLine(text));
            }
            8..14 => {
                self.counts.unanswered += 1;
                if fault < 11 {
                    self.carry_out(&updates);
                }
                self.later(ANSWER_TIME, Event::NoAnswer(id));
            }
            // More updates than there were: the answer is malformed.
            14 => {
                self.carry_out(&updates);
                self.later(delay, Event::RelayLine(result(updates.len() + 1)));
            }
            _ => {
                let taken = self.carry_out(&updates);
                self.later(delay, Event::RelayLine(result(taken)));
            }
        }
    }

    /// Carries out updates up to the first that cannot be used; gives how many were.
    fn carry_out(&mut self, updates: &[Value]) -> usize {
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
                    self.counts.tables += 1;
                    self.fleet
                        .hand_table(proxy, table, classes(&update["routes"]));
                    reached.push(proxy);
                }
                "admit" => {
                    let share = thousandths(number("admit"));
                    self.counts.lowered += usize::from(share < 1_000);
                    self.counts.raised += usize::from(share >= 1_000 && self.counts.lowered > 0);
                    self.fleet
                        .set_level(table, classes(&update["routes"]), share);
                    reached.extend(self.fleet.users(table));
                }
                "mark" => self.request_acks(number("nonce_out") as u64, &mut reached),
                other => panic!("an update that is unknown: {other}"),
            }
        }
        updates.len()
    }

    /// Each proxy reached acknowledges: soon, late or never.
    fn request_acks(&mut self, ack: u64, reached: &mut Vec<usize>) {
        self.counts.ack_requests += 1;
        reached.sort_unstable();
        reached.dedup();
        let slow = self.site.extra_delay((self.now - START) / REPORT_PERIOD);
        for &proxy in reached.iter() {
            if self.fleet.random.percent(8) {
                continue;
            }
            let late = if self.fleet.random.percent(5) {
                5_000_000
            } else {
                slow
            };
            let took = self.fleet.random.between(150, 900) * 1_000 + late;
            let params = format!("{{\"id\":{proxy},\"seq\":{ack},\"ms\":{}}}", took / 1_000);
            self.send_event(took, "applied", &params);
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
        let up = health == Health::Listed && fault != Fault::Hangs;
        let good = up && (fault != Fault::Fails || random.percent(50));
        if random.percent(10) {
            return;
        }
        let body = match random.between(0, 4) {
            0 => String::new(),
            1 => "TEXT util=NaN".to_string(),
            _ => format!("TEXT inflight=7, queue={queue}, util=0.610"),
        };
        let took = random.between(1_000, 60_000);
        self.later(
            took,
            Event::HealthCheckAnswer {
                host: name.to_string(),
                good,
                body,
            },
        );
    }
}

/// The bits of the classes that an update names; none: it is for all.
fn classes(routes: &Value) -> u64 {
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
