//! One controller of the simulation: its messages to the decision module's calls.

use crate::decision_lines::line_of;
use crate::endpoint_lists::EndpointLists;
use crate::error::LineError;
use crate::row::Row;
use pondarch_controller::EndpointList;
use pondarch_controller::HealthCheckResult;
use pondarch_controller::JoiningProxy;
use pondarch_controller::{AckId, Controller, ProxyId, RequestClassId, Time};
use pondarch_deployment::DeploymentNames;

/// A controller, and the names of its deployment.
pub(crate) struct Instance {
    controller: Controller,
    names: DeploymentNames,
}

impl Instance {
    /// The controller that an `ATTACH` describes.
    pub(crate) fn attach(now: Time, row: &mut Row<'_>) -> Result<Instance, LineError> {
        let seed = row.integer("rngSeed")?;
        let settings = serde_json::from_str(row.rest("settings")?)?;
        let (config, names) = pondarch_deployment::read(&settings)?;
        Ok(Instance {
            controller: Controller::new(config, seed, now),
            names,
        })
    }

    /// Appends the lines of all decisions that are due to `text`, the first one behind the controller's id.
    pub(crate) fn write_decisions(&mut self, now: Time, id: u64, text: &mut String) {
        let mut announced = false;
        while let Some(decision) = self.controller.next_decision(now) {
            if !announced {
                announced = true;
                text.push_str(&format!("ON_BEHALF\t{id}\n"));
            }
            text.push_str(&line_of(&decision));
        }
    }

    /// Applies a message.
    pub(crate) fn apply(
        &mut self,
        now: Time,
        lists: &EndpointLists,
        mut row: Row<'_>,
    ) -> Result<(), LineError> {
        match row.name() {
            "BACKENDS_CHANGED" => return self.on_endpoints_changed(now, lists, row),
            "DEADLINE_HIT" => {
                row.text("mark")?;
                self.controller.on_timer(now);
            }
            "PROBE_DONE" => self.on_health_check_result(now, &mut row)?,
            "JOINED" => self.on_proxy_joined(now, &mut row)?,
            "LOST_STREAM" => {
                let proxy = ProxyId(row.small_integer("sidecar")?);
                self.controller.proxy_left(now, proxy);
            }
            "ROUNDUP" => {
                row.text("dc")?;
                let host = row.host()?;
                let outcomes = row.outcomes(&self.names)?;
                self.controller.record_outcomes(now, &host, outcomes);
            }
            "USAGE" => self.on_usage_report(now, &mut row)?,
            "APPLIED" => self.on_ack(now, &mut row)?,
            _ => check_unused(&mut row)?,
        }
        row.end()
    }

    fn on_endpoints_changed(
        &mut self,
        now: Time,
        lists: &EndpointLists,
        mut row: Row<'_>,
    ) -> Result<(), LineError> {
        let change = row.text("how")?;
        if change == "broken" {
            self.controller.endpoint_list_failed(now);
            return Ok(());
        }
        let generation = row.integer("rev")?;
        let endpoints = lists.endpoints(row.integer("list")?, &mut self.names)?;
        let complete = match change {
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
        row.end()
    }

    fn on_health_check_result(&mut self, now: Time, row: &mut Row<'_>) -> Result<(), LineError> {
        let healthy = row.text("result")? == "GOOD";
        let host = row.host()?;
        row.duration("took")?;
        let load = row.load(&self.names)?;
        self.controller
            .on_health_check(now, &host, HealthCheckResult { healthy, load });
        Ok(())
    }

    fn on_proxy_joined(&mut self, now: Time, row: &mut Row<'_>) -> Result<(), LineError> {
        let proxy = ProxyId(row.small_integer("sidecar")?);
        let fresh = row.flag("on")?;
        let usual_request_rate = row.number("weight")?.unwrap_or(0.0);
        let zone = self.names.zone(row.text("dc")?);
        self.controller.proxy_joined(
            now,
            JoiningProxy {
                id: proxy,
                zone,
                newly_started: fresh,
                usual_rate: usual_request_rate,
            },
        );
        Ok(())
    }

    fn on_usage_report(&mut self, now: Time, row: &mut Row<'_>) -> Result<(), LineError> {
        let requests = row.count("many")?;
        let class = self.names.request_class(row.text("grade")?);
        row.count("errors")?;
        let period = row.duration("elapsed")?;
        let proxy = ProxyId(row.small_integer("sidecar")?);
        if let Some(class) = class {
            self.controller
                .record_arrivals(now, proxy, RequestClassId(class), requests, period);
        }
        Ok(())
    }

    fn on_ack(&mut self, now: Time, row: &mut Row<'_>) -> Result<(), LineError> {
        row.small_integer("sidecar")?;
        let ack = AckId(row.small_integer("rev")?);
        row.duration("took")?;
        self.controller.on_ack(now, ack);
        Ok(())
    }
}

/// Checks the values of messages that no decision uses: those of partitioned deployments and of other controllers.
fn check_unused(row: &mut Row<'_>) -> Result<(), LineError> {
    match row.name() {
        "HOTNESS" => {
            row.count("errors")?;
            row.small_integer("routeTable")?;
            row.count("many")?;
            row.text("grade")?;
            row.duration("elapsed")?;
        }
        "GIVEN" => {
            row.flag("on")?;
            row.small_integer("routeTable")?;
        }
        "CURRENT_OWNER" => {
            row.number("weight")?;
            row.small_integer("routeTable")?;
            row.host()?;
        }
        "NEIGHBOUR_SAYS" => {
            row.integer("originPeer")?;
            row.text("content")?;
        }
        other => {
            let name = other.to_string();
            return Err(LineError::UnknownMessage { name });
        }
    }
    Ok(())
}
