//! The results of all runs, with means and 95 % confidence intervals over the sites.

use super::{Evaluation, Plan, WeightSource};
use crate::bad_day::RehearsalError;
use crate::rules::Violation;
use minijinja::{Environment, context};
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// One site under one load with one weight source.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub seed: u64,
    pub load: f64,
    #[serde(rename = "mode")]
    pub weight_source: &'static str,
    #[serde(rename = "judged")]
    pub evaluation: Evaluation,
    /// Upper bound of the service share.
    #[serde(rename = "best")]
    pub max_service_share: f64,
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
}

impl Row {
    /// Service share as a fraction of its upper bound.
    pub fn fraction_of_max(&self) -> f64 {
        self.evaluation.service_share / self.max_service_share.max(1e-9)
    }
}

/// All sites under one load with one weight source.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    pub load: f64,
    #[serde(rename = "mode")]
    pub weight_source: &'static str,
    /// Mean over the sites of the service share as a fraction of its upper bound.
    #[serde(rename = "mean")]
    pub mean_fraction_of_max: f64,
    /// Half of the width of the confidence interval of that mean.
    #[serde(rename = "half")]
    pub half_interval: f64,
    /// Minimum of the same fraction.
    #[serde(rename = "least")]
    pub min_fraction_of_max: f64,
    #[serde(rename = "share")]
    pub service_share: f64,
    #[serde(rename = "best")]
    pub max_service_share: f64,
    #[serde(rename = "busiest")]
    pub busiest_load: f64,
    #[serde(rename = "new_most")]
    pub new_host_max_load: f64,
    #[serde(rename = "changes")]
    pub weight_changes: f64,
    #[serde(rename = "turns")]
    pub weight_reversals: f64,
    #[serde(rename = "breaks")]
    pub violations: usize,
}

/// Results of the comparison.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub sites: usize,
    #[serde(rename = "stewards")]
    pub controllers: usize,
    #[serde(rename = "lines")]
    pub summaries: Vec<Summary>,
    pub rows: Vec<Row>,
}

const TEXT: &str = "\
Weights on simulated hosts: {{ r.sites }} sites, {{ r.stewards }} controller{% if r.stewards > 1 %}s{% endif %}; service as a fraction \
of the best possible, mean over the sites with its 95 % interval
{{ \"%-6s%-8s%16s%8s%8s%8s%9s%9s%9s%7s%7s\" | format(\"load\", \"weights\", \"part of best\", \"least\", \"share\", \"best\", \"busiest\", \
\"new host\", \"changes\", \"turns\", \"breaks\") }}
{% for l in r.lines -%}
{{ \"%-6.2f%-8s%9.3f +- %.3f%8.3f%8.3f%8.3f%9.2f%9.2f%9.1f%7.1f%7d\" | format(l.load, l.mode, l.mean, l.half, l.least, l.share, l.best, \
l.busiest, l.new_most, l.changes, l.turns, l.breaks) }}
{% endfor -%}
{% for row in r.rows %}{% for b in row.breaks %}site {{ row.seed }}, load {{ row.load }}, {{ row.mode }}: {{ b.rule }} broken at {{ b.at_s | round(1) }} s: {{ b.seen }}
{% endfor %}{% endfor -%}
";

/// Fraction of the best possible service that solved weights must reach, at loads up to `MAX_CHECKED_LOAD`.
const MIN_FRACTION_OF_MAX: f64 = 0.95;
/// Highest load at which solved weights are checked. Beyond it, the handling of overload matters more than weights,
/// and even exact weights miss the required fraction.
const MAX_CHECKED_LOAD: f64 = 0.76;

impl Report {
    pub(super) fn new(plan: &Plan, rows: Vec<Row>) -> Report {
        let mut summaries = Vec::new();
        for (&load, weight_source) in plan
            .loads
            .iter()
            .flat_map(|load| WeightSource::ALL.map(|source| (load, source.name())))
        {
            let matching: Vec<&Row> = rows
                .iter()
                .filter(|row| row.load == load && row.weight_source == weight_source)
                .collect();
            summaries.push(summarize(load, weight_source, &matching));
        }
        Report {
            sites: plan.seeds.len(),
            controllers: plan.controllers,
            summaries,
            rows,
        }
    }

    /// Renders the report as text.
    ///
    /// # Errors
    ///
    /// The template does not match the fields.
    pub fn text(&self) -> Result<String, RehearsalError> {
        Ok(Environment::new().render_str(TEXT, context! { r => self })?)
    }

    /// Whether solved weights reach the required fraction at each checked load, and no rule was violated with them.
    pub fn passed(&self) -> bool {
        let solved = self
            .summaries
            .iter()
            .filter(|summary| summary.weight_source == WeightSource::Solved.name());
        solved.into_iter().all(|summary| {
            summary.violations == 0
                && (summary.load > MAX_CHECKED_LOAD
                    || summary.mean_fraction_of_max >= MIN_FRACTION_OF_MAX)
        })
    }
}

fn summarize(load: f64, weight_source: &'static str, rows: &[&Row]) -> Summary {
    let mean = |value: &dyn Fn(&Row) -> f64| {
        rows.iter().map(|row| value(row)).sum::<f64>() / rows.len().max(1) as f64
    };
    let max = |value: &dyn Fn(&Row) -> f64| rows.iter().map(|row| value(row)).fold(0.0, f64::max);
    let fractions: Vec<f64> = rows.iter().map(|row| row.fraction_of_max()).collect();
    Summary {
        load,
        weight_source,
        mean_fraction_of_max: mean(&Row::fraction_of_max),
        half_interval: half_interval(&fractions),
        min_fraction_of_max: fractions.iter().copied().fold(f64::INFINITY, f64::min),
        service_share: mean(&|row| row.evaluation.service_share),
        max_service_share: mean(&|row| row.max_service_share),
        busiest_load: mean(&|row| row.evaluation.busiest_load),
        new_host_max_load: max(&|row| row.evaluation.new_host_max_load),
        weight_changes: mean(&|row| row.evaluation.weight_changes),
        weight_reversals: mean(&|row| row.evaluation.weight_reversals),
        violations: rows.iter().map(|row| row.violations.len()).sum(),
    }
}

/// Half of the width of the 95 % confidence interval of the mean (Student's t).
fn half_interval(values: &[f64]) -> f64 {
    let n = values.len() as f64;
    if n < 2.0 {
        return 0.0;
    }
    let mean = values.iter().sum::<f64>() / n;
    let variance = values
        .iter()
        .map(|value| (value - mean).powi(2))
        .sum::<f64>()
        / (n - 1.0);
    let t = StudentsT::new(0.0, 1.0, n - 1.0).map_or(f64::NAN, |t| t.inverse_cdf(0.975));
    t * (variance / n).sqrt()
}

#[cfg(test)]
mod tests {
    use super::half_interval;

    #[test]
    fn half_interval_matches_the_t_table() {
        // Five values, standard deviation 1.5811, t 2.776.
        assert!((half_interval(&[1.0, 2.0, 3.0, 4.0, 5.0]) - 1.963).abs() < 1e-3);
        assert_eq!(half_interval(&[1.0]), 0.0);
    }
}
