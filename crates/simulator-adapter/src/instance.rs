//! Translates messages of the simulator to calls of one controller.

use crate::decision_lines::format_decision;
use crate::endpoint_lists::EndpointLists;
use crate::error::LineError;
use crate::message::Message;
use pondarch_controller::EndpointList;
use pondarch_controller::HealthCheckResult;
use pondarch_controller::JoiningProxy;
use pondarch_controller::{AckId, Controller, ProxyId, RequestClassId, Time};
use pondarch_deployment::DeploymentNames;

/// A controller of the simulation, and the names that its settings define.
pub(crate) struct Instance {
    controller: Controller,
    names: DeploymentNames,
}

impl Instance {
    /// Creates the controller that an `ATTACH` message describes.
    pub(crate) fn attach(now: Time, message: &mut Message<'_>) -> Result<Instance, LineError> {
        let seed = message.integer("rngSeed")?;
        let settings = serde_json::from_str(message.rest("settings")?)?;
        let (config, names) = pondarch_deployment::read(&settings)?;
        Ok(Instance {
            controller: Controller::new(config, seed, now),
            names,
        })
    }

    /// Appends the lines of all pending decisions to `text`. An `ON_BEHALF` line with the controller's ID precedes the
    /// first one.
    pub(crate) fn write_decisions(&mut self, now: Time, id: u64, text: &mut String) {
        let mut header_written = false;
        while let Some(decision) = self.controller.next_decision(now) {
            if !header_written {
                header_written = true;
                text.push_str(&format!("ON_BEHALF\t{id}\n"));
            }
            text.push_str(&format_decision(&decision));
        }
    }

    /// Applies a message to the controller.
    pub(crate) fn apply(
        &mut self,
        now: Time,
        lists: &EndpointLists,
        mut message: Message<'_>,
    ) -> Result<(), LineError> {
        match message.name() {
            "BACKENDS_CHANGED" => return self.on_endpoints_changed(now, lists, message),
            "DEADLINE_HIT" => {
                message.text("mark")?;
                self.controller.on_timer(now);
            }
            "PROBE_DONE" => self.on_health_check_result(now, &mut message)?,
            "JOINED" => self.on_proxy_joined(now, &mut message)?,
            "LOST_STREAM" => {
                let proxy = ProxyId(message.integer_16_bit("sidecar")?);
                self.controller.proxy_left(now, proxy);
            }
            "ROUNDUP" => {
                message.text("dc")?;
                let host = message.host()?;
                let outcomes = message.outcomes(&self.names)?;
                self.controller.record_outcomes(now, &host, outcomes);
            }
            "USAGE" => self.on_usage_report(now, &mut message)?,
            "APPLIED" => self.on_ack(now, &mut message)?,
            _ => check_unused(&mut message)?,
        }
        message.end()
    }

    fn on_endpoints_changed(
        &mut self,
        now: Time,
        lists: &EndpointLists,
        mut message: Message<'_>,
    ) -> Result<(), LineError> {
        let kind = message.text("how")?;
        if kind == "broken" {
            self.controller.endpoint_list_failed(now);
            return Ok(());
        }
        let generation = message.integer("rev")?;
        let endpoints = lists.endpoints(message.integer("list")?, &mut self.names)?;
        let complete = match kind {
            "patch" => false,
            "whole" | "stale_copy" => true,
            other => {
                let value = other.to_string();
                return Err(LineError::UnknownChange { value });
            }
        };
        self.controller.apply_endpoint_list(
            now,
            EndpointList {
                generation,
                complete,
                endpoints,
            },
        );
        message.end()
    }

    fn on_health_check_result(
        &mut self,
        now: Time,
        message: &mut Message<'_>,
    ) -> Result<(), LineError> {
        let healthy = message.text("result")? == "GOOD";
        let host = message.host()?;
        message.duration("took")?;
        let load = message.load(&self.names)?;
        self.controller
            .on_health_check(now, &host, HealthCheckResult { healthy, load });
        Ok(())
    }

    fn on_proxy_joined(&mut self, now: Time, message: &mut Message<'_>) -> Result<(), LineError> {
        let proxy = ProxyId(message.integer_16_bit("sidecar")?);
        let newly_started = message.flag("on")?;
        let usual_rate = message.number("weight")?.unwrap_or(0.0);
        let zone = self.names.zone(message.text("dc")?);
        self.controller.proxy_joined(
            now,
            JoiningProxy {
                id: proxy,
                zone,
                newly_started,
                usual_rate,
            },
        );
        Ok(())
    }

    fn on_usage_report(&mut self, now: Time, message: &mut Message<'_>) -> Result<(), LineError> {
        let requests = message.count("many")?;
        let class = self.names.request_class(message.text("grade")?);
        message.count("errors")?;
        let period = message.duration("elapsed")?;
        let proxy = ProxyId(message.integer_16_bit("sidecar")?);
        if let Some(class) = class {
            self.controller
                .record_arrivals(now, proxy, RequestClassId(class), requests, period);
        }
        Ok(())
    }

    fn on_ack(&mut self, now: Time, message: &mut Message<'_>) -> Result<(), LineError> {
        message.integer_16_bit("sidecar")?;
        let ack = AckId(message.integer_16_bit("rev")?);
        message.duration("took")?;
        self.controller.on_ack(now, ack);
        Ok(())
    }
}

/// Checks the values of messages that no decision uses: those about partitioned deployments and other controllers.
fn check_unused(message: &mut Message<'_>) -> Result<(), LineError> {
    match message.name() {
        "HOTNESS" => {
            message.count("errors")?;
            message.integer_16_bit("routeTable")?;
            message.count("many")?;
            message.text("grade")?;
            message.duration("elapsed")?;
        }
        "GIVEN" => {
            message.flag("on")?;
            message.integer_16_bit("routeTable")?;
        }
        "CURRENT_OWNER" => {
            message.number("weight")?;
            message.integer_16_bit("routeTable")?;
            message.host()?;
        }
        "NEIGHBOUR_SAYS" => {
            message.integer("originPeer")?;
            message.text("content")?;
        }
        other => {
            let name = other.to_string();
            return Err(LineError::UnknownMessage { name });
        }
    }
    Ok(())
}
