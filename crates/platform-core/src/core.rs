//! Inputs to the module's calls, its rulings to outputs.

use crate::members::{Came, Members};
use crate::tally::Tally;
use pondarch_controller::Controller;
use pondarch_controller::EndpointList;
use pondarch_controller::HealthCheckResult;
use pondarch_controller::JoiningProxy;
use pondarch_controller::{
    Decision, EndpointState, HostId, HostLoad, RequestClassId, StatusSnapshot, Time, UpdateResult,
    ZoneId,
};
use pondarch_deployment::Names;
use pondarch_platform_protocol::config::Config;
use pondarch_platform_protocol::registry::Listed;
use pondarch_platform_protocol::relay::{self, CALL_MOST, News};
use pondarch_platform_protocol::report::{Message, Spoilt};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Bytes that one order can take, roughly, and orders of one table or bind by which the module may pass its mark: a
/// round that it is told to keep below that fits into one call.
const ORDER_BYTES: usize = 150;
const OVERSHOOT: usize = 100;

#[derive(Debug)]
pub enum Input {
    /// Nothing but that time has passed.
    Clock,
    Listed(Listed),
    ListFailed,
    /// A connection that brings news begins.
    NewsBegan,
    News(News),
    /// Whether a call can be made now.
    Relay {
        up: bool,
    },
    CallEnded {
        call: u64,
        end: CallEnd,
    },
    /// A report, of a collector or host.
    Said(Message),
    /// A message of a collector that said nothing.
    Spoilt(Spoilt),
    Probed {
        host: HostId,
        good: bool,
        load: Option<HostLoad>,
    },
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    Answered {
        orders: u64,
    },
    /// It was surely not carried out.
    Refused,
    Unknown,
}

#[derive(Debug, PartialEq)]
pub enum Output {
    Call { call: u64, line: String },
    Probe { host: HostId, at: SocketAddr },
}

pub struct Core {
    steward: Controller,
    names: Names,
    proxies: u64,
    members: Members,
    at: BTreeMap<HostId, SocketAddr>,
    relay_up: bool,
    calls: u64,
    under_way: Option<(u64, Vec<Decision>)>,
    /// A ruling that the last call had no room for.
    held_back: Option<Decision>,
    wake: Option<Time>,
    out: VecDeque<Output>,
    tally: Tally,
}

impl Core {
    pub fn open(config: Config, now: Time) -> Core {
        let mut ticket = config.ticket;
        ticket.max_batch_size = (CALL_MOST / ORDER_BYTES - OVERSHOOT) as u64;
        let mut core = Core {
            proxies: ticket.proxy_count,
            steward: Controller::new(ticket, config.seed, now),
            names: config.names,
            members: Members::default(),
            at: BTreeMap::new(),
            relay_up: false,
            calls: 0,
            under_way: None,
            held_back: None,
            wake: None,
            out: VecDeque::new(),
            tally: Tally::default(),
        };
        if let Some(known) = config.known {
            core.handle(
                now,
                Input::Listed(Listed {
                    whole: true,
                    ..known
                }),
            );
        }
        core
    }

    pub fn handle(&mut self, now: Time, input: Input) {
        if self.wake.take_if(|at| now >= *at).is_some() {
            self.steward.on_timer(now);
        }
        match input {
            Input::Clock => {}
            Input::Listed(listed) => self.listed(now, listed),
            Input::ListFailed => self.steward.endpoint_list_failed(now),
            Input::NewsBegan => self.members.listing_begins(),
            Input::News(news) => self.news(now, news),
            Input::Relay { up } => self.relay_up = up,
            Input::CallEnded { call, end } => self.call_ended(now, call, end),
            Input::Said(message) => {
                let said = self.said(now, message);
                said.unwrap_or_else(|why| self.tally.spoilt(why));
            }
            Input::Spoilt(why) => self.tally.spoilt(why),
            Input::Probed { host, good, load } => {
                self.tally.probes_good += u64::from(good);
                self.steward.on_health_check(
                    now,
                    &host,
                    HealthCheckResult {
                        healthy: good,
                        load,
                    },
                );
            }
        }
    }

    /// What is to be done now, one by one until there is nothing more.
    pub fn next_output(&mut self, now: Time) -> Option<Output> {
        if self.out.is_empty() {
            self.pull(now);
        }
        self.out.pop_front()
    }

    /// When `handle` is due at the latest.
    pub fn wake_at(&self) -> Option<Time> {
        self.wake
    }

    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// What the module believes.
    pub fn glance(&self) -> StatusSnapshot {
        self.steward.status()
    }

    pub fn joined(&self) -> usize {
        self.members.len()
    }

    pub fn knows_zone(&self, site: &str) -> Option<ZoneId> {
        self.names.known_zone(site)
    }

    fn listed(&mut self, now: Time, listed: Listed) {
        self.tally.lists += 1;
        if listed.whole {
            self.at.clear();
        }
        for found in &listed.entries {
            match found
                .at
                .filter(|_| found.standing != EndpointState::Removed)
            {
                Some(at) => drop(self.at.insert(found.host.clone(), at)),
                None => drop(self.at.remove(&found.host)),
            }
        }
        let listings = listed
            .entries
            .iter()
            .map(|found| found.listing(&mut self.names))
            .collect();
        self.steward.apply_endpoint_list(
            now,
            EndpointList {
                generation: listed.generation,
                complete: listed.whole,
                endpoints: listings,
            },
        );
    }

    fn news(&mut self, now: Time, news: News) {
        match news {
            News::Joined {
                proxy,
                site,
                usual,
                fresh,
            } => {
                let known = u64::from(proxy.0) < self.proxies;
                let Some(zone) = self.names.known_zone(&site).filter(|_| known) else {
                    return self.tally.spoilt(Spoilt::Wrong("site"));
                };
                match self.members.came(proxy, zone) {
                    Came::Anew => {
                        self.tally.joined += 1;
                        self.steward.proxy_joined(
                            now,
                            JoiningProxy {
                                id: proxy,
                                zone,
                                newly_started: fresh,
                                usual_rate: usual,
                            },
                        );
                    }
                    Came::PerhapsAnew => {
                        self.tally.unsure += 1;
                        self.steward.proxy_unconfirmed(now, proxy);
                    }
                }
            }
            News::Left(proxy) => {
                if self.members.left(proxy) {
                    self.tally.left += 1;
                    self.steward.proxy_left(now, proxy);
                }
            }
            News::Ping => {
                for proxy in self.members.listing_ends() {
                    self.tally.left += 1;
                    self.steward.proxy_left(now, proxy);
                }
            }
            News::Applied { mark, .. } => {
                self.tally.marks_applied += 1;
                self.steward.on_ack(now, mark);
            }
            News::Other => {}
        }
    }

    fn said(&mut self, now: Time, message: Message) -> Result<(), Spoilt> {
        match message {
            Message::Heard { site, host, met } => {
                self.names.known_zone(&site).ok_or(Spoilt::Wrong("site"))?;
                if !self.at.contains_key(&host) {
                    return Err(Spoilt::Wrong("target"));
                }
                self.tally.with_load +=
                    u64::from(met.load.is_some_and(|load| load != HostLoad::default()));
                self.tally.tries += met.attempts as u64;
                self.steward.record_outcomes(now, &host, met);
            }
            Message::Usage {
                proxy,
                lane,
                many,
                over,
            } => {
                let kind = self.names.kind(&lane).ok_or(Spoilt::Wrong("lane"))?;
                if !self.members.has(proxy) {
                    return Err(Spoilt::Wrong("id"));
                }
                self.tally.reqs += many as u64;
                self.steward
                    .record_arrivals(now, proxy, RequestClassId(kind), many, over);
            }
            Message::Ping | Message::Collector { .. } => return Ok(()),
        }
        self.tally.reports += 1;
        Ok(())
    }

    fn call_ended(&mut self, now: Time, call: u64, end: CallEnd) {
        let Some((_, orders)) = self.under_way.take_if(|(under_way, _)| *under_way == call) else {
            return;
        };
        let outcome = match end {
            CallEnd::Answered { orders: taken } if taken == orders.len() as u64 => {
                UpdateResult::Applied
            }
            CallEnd::Answered { orders: taken } if taken < orders.len() as u64 => {
                UpdateResult::StoppedAt(taken as usize)
            }
            // More than there were: the answer is spoilt.
            CallEnd::Answered { .. } | CallEnd::Unknown => UpdateResult::Unknown,
            CallEnd::Refused => UpdateResult::Rejected,
        };
        match outcome {
            UpdateResult::Applied => {}
            UpdateResult::StoppedAt(_) => self.tally.stopped += 1,
            UpdateResult::Rejected => self.tally.not_taken += 1,
            UpdateResult::Unknown => self.tally.unknown += 1,
        }
        self.steward.on_update_result(now, &orders, outcome);
    }

    /// One round of the module's decisions is one call. They are pulled only while a call can be made, so that none
    /// grows old on its way.
    fn pull(&mut self, now: Time) {
        if !self.relay_up || self.under_way.is_some() {
            return;
        }
        let (mut orders, mut texts, mut bytes) = (Vec::new(), Vec::new(), 0);
        while let Some(ruling) = self
            .held_back
            .take()
            .or_else(|| self.steward.next_decision(now))
        {
            match &ruling {
                Decision::SetTimer(span) => self.wake = Some(now + *span),
                // The edge follows the list all the time.
                Decision::WatchEndpoints => {}
                Decision::CheckHealth(host) => {
                    if let Some(&at) = self.at.get(host) {
                        self.tally.probes += 1;
                        self.out.push_back(Output::Probe {
                            host: host.clone(),
                            at,
                        });
                    }
                }
                _ => {
                    let Some(text) = relay::order(&ruling, self.names.kinds()) else {
                        continue;
                    };
                    if !relay::fits(bytes, &text) {
                        self.held_back = Some(ruling);
                        break;
                    }
                    bytes += text.len() + 1;
                    texts.push(text);
                    orders.push(ruling);
                }
            }
        }
        if orders.is_empty() {
            return;
        }
        self.calls += 1;
        self.tally.calls += 1;
        self.tally.orders += orders.len() as u64;
        self.out.push_back(Output::Call {
            call: self.calls,
            line: relay::call(self.calls, &texts),
        });
        self.under_way = Some((self.calls, orders));
    }
}
