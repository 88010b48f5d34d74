//! Admission of each table: what the fleet's admission control admits, limited to what the table's warming hosts can
//! take.
//!
//! A weight only bounds a host's part of its table's requests. Where all hosts of a table are warming, or it has a single
//! one, that part is as large as the requests are many, so the requests must be limited too.

use crate::admission_control::{FRACTION_STEP, shed_lowest_priority_first};
use crate::config::RetryPolicy;
use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::memberships::TableMembership;
use crate::proxy::ProxyRegistry;
use crate::statistics::EPSILON;
use crate::tables::TableLayout;
use crate::time::Time;
use crate::warming_limit::WarmingLimit;

/// Ratio of what a table's proxies admit to what its warming hosts can take above which these are at risk. Measured
/// demand varies, so a limit that has just been sent may be exceeded slightly.
const MAX_EXCESS_ADMISSION: f64 = 1.2;

/// State of the fleet that the admission of the tables depends on.
pub(crate) struct TableAdmissionView<'a> {
    pub(crate) now: Time,
    pub(crate) layout: &'a TableLayout,
    pub(crate) policy: &'a HostPolicy,
    pub(crate) hosts: &'a HostRegistry,
    pub(crate) proxies: &'a ProxyRegistry,
    /// Admitted fraction of each class in the fleet.
    pub(crate) fractions: &'a [f64],
    /// Indexes of the classes in ascending order of priority.
    pub(crate) lowest_priority_first: &'a [usize],
    /// What warming hosts may be sent.
    pub(crate) warming_limit: WarmingLimit,
    /// Attempts at hosts for each admitted request.
    pub(crate) attempts_per_request: f64,
    /// How proxies retry attempts.
    pub(crate) retry_policy: RetryPolicy,
}

/// What is admitted to one table.
#[derive(Clone, Debug, Default)]
pub(crate) struct TableAdmission {
    /// Requests per second of each class at the table's proxies.
    demand: Vec<f64>,
    /// Admitted fraction of each class.
    fractions: Vec<f64>,
    /// Requests per second with which no warming host of the table gets more than it can take; `None` if it has none.
    warming_limit: Option<f64>,
    /// Whether it should have a warming host.
    has_warming_hosts: bool,
    /// How its proxies retry attempts.
    retry_policy: RetryPolicy,
}

impl TableAdmission {
    /// Returns the admitted fraction of each class.
    pub(crate) fn fractions(&self) -> &[f64] {
        &self.fractions
    }

    /// Returns how the table's proxies retry attempts.
    pub(crate) fn retry_policy(&self) -> RetryPolicy {
        self.retry_policy
    }

    /// Returns whether retries put a warming host of the table at risk.
    pub(crate) fn has_warming_hosts(&self) -> bool {
        self.has_warming_hosts
    }

    /// Returns the requests per second that are admitted.
    pub(crate) fn admitted_rate(&self) -> f64 {
        rate(&self.demand, &self.fractions)
    }

    /// Returns whether the table's proxies admit so much by the fractions that were sent that its warming hosts are at
    /// risk. A fraction that was not sent counts as one.
    pub(crate) fn is_exceeded_by(&self, sent: &[Option<f64>]) -> bool {
        let Some(warming_limit) = self.warming_limit else {
            return false;
        };
        let sent: Vec<f64> = sent.iter().map(|sent| sent.unwrap_or(1.0)).collect();
        rate(&self.demand, &sent) > warming_limit * MAX_EXCESS_ADMISSION
    }

    /// Sets what the warming hosts can take, and sheds the rest from the classes of lowest priority first.
    fn limit(&mut self, warming_limit: f64, lowest_priority_first: &[usize]) {
        self.warming_limit = Some(warming_limit);
        let excess = self.admitted_rate() - warming_limit;
        if excess <= 0.0 {
            return;
        }
        let admitted: Vec<f64> = self
            .demand
            .iter()
            .zip(&self.fractions)
            .map(|(demand, fraction)| demand * fraction)
            .collect();
        let kept = shed_lowest_priority_first(&admitted, excess, lowest_priority_first, 0.0);
        for (fraction, kept) in self.fractions.iter_mut().zip(kept) {
            if kept < 1.0 {
                *fraction = (*fraction * kept / FRACTION_STEP).floor() * FRACTION_STEP;
            }
        }
    }
}

fn rate(demand: &[f64], fractions: &[f64]) -> f64 {
    let by_class = demand.iter().zip(fractions);
    by_class.map(|(demand, fraction)| demand * fraction).sum()
}

/// Returns the admission of each table.
pub(crate) fn table_admissions(view: &TableAdmissionView<'_>) -> Vec<TableAdmission> {
    let mut tables = unlimited_admissions(view);
    for table in tables_with_warming_hosts(view) {
        tables[table].has_warming_hosts = true;
    }
    let rate_per_weight = rates_per_weight(view, &tables);
    for (table, limit) in warming_limits(view, &rate_per_weight).iter().enumerate() {
        if let Some(factor) = limit.filter(|_| tables[table].admitted_rate() > 0.0) {
            let admission = &mut tables[table];
            let warming_limit = admission.admitted_rate() * factor;
            admission.limit(warming_limit, view.lowest_priority_first);
        }
    }
    tables
}

/// Returns the admission of each table by the fleet's fractions alone.
fn unlimited_admissions(view: &TableAdmissionView<'_>) -> Vec<TableAdmission> {
    let table = TableAdmission {
        demand: vec![0.0; view.fractions.len()],
        fractions: view.fractions.to_vec(),
        warming_limit: None,
        has_warming_hosts: false,
        retry_policy: view.retry_policy,
    };
    let mut tables = vec![table; view.layout.len()];
    for proxy in view.proxies.iter() {
        for (class, rate) in proxy.rates().iter().enumerate() {
            if let Some(table) = view.layout.table_of_class(class, proxy) {
                tables[table].demand[class] += rate;
            }
        }
    }
    tables
}

/// Returns the tables that should have a warming host; a table with several is returned several times.
fn tables_with_warming_hosts(view: &TableAdmissionView<'_>) -> impl Iterator<Item = usize> {
    let is_warming = |host: &&Host| !view.policy.is_warm(host, view.now);
    let memberships = view.hosts.iter().filter(is_warming);
    let memberships = memberships.flat_map(|host| host.memberships.iter());
    memberships
        .filter(|membership| membership.target_weight() > 0.0)
        .map(TableMembership::table)
}

/// Returns the admitted requests per second and unit of target weight of each table.
fn rates_per_weight(view: &TableAdmissionView<'_>, tables: &[TableAdmission]) -> Vec<f64> {
    let mut weights = vec![0.0; tables.len()];
    for membership in view.hosts.iter().flat_map(|host| host.memberships.iter()) {
        weights[membership.table()] += membership.target_weight();
    }
    let rates = tables.iter().map(TableAdmission::admitted_rate);
    rates
        .zip(weights)
        .map(|(rate, weight)| rate / weight.max(EPSILON))
        .collect()
}

/// Returns the factor on each table's admitted rate with which none of its warming hosts gets more than it can take, or
/// `None` for a table without warming hosts.
fn warming_limits(view: &TableAdmissionView<'_>, rate_per_weight: &[f64]) -> Vec<Option<f64>> {
    let mut limits: Vec<Option<f64>> = vec![None; rate_per_weight.len()];
    let is_warming = |host: &&Host| !view.policy.is_warm(host, view.now);
    for host in view.hosts.iter().filter(is_warming) {
        let capacity = host.weight() * view.policy.warm_fraction(host, view.now);
        let max_rate = view.warming_limit.max_rate(capacity);
        let members: Vec<&TableMembership> = host
            .memberships
            .iter()
            .filter(|membership| membership.target_weight() > 0.0)
            .collect();
        let by_table = members
            .iter()
            .map(|membership| membership.target_weight() * rate_per_weight[membership.table()]);
        let attempts = by_table.sum::<f64>() * view.attempts_per_request;
        let factor = max_rate / attempts.max(EPSILON);
        for membership in members {
            let limit = &mut limits[membership.table()];
            *limit = Some(limit.map_or(factor, |lowest| lowest.min(factor)));
        }
    }
    limits
}
