//! What all stages came to, with means and 95 per cent confidence intervals over the sites.

use super::{Judged, Mode, Plan};
use crate::bad_day::RehearsalError;
use crate::rules::Break;
use minijinja::{Environment, context};
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// One site under one load with one way of weighing.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub seed: u64,
    pub load: f64,
    pub mode: &'static str,
    pub judged: Judged,
    /// The share of the benefit that nobody can exceed.
    pub best: f64,
    pub breaks: Vec<Break>,
}

impl Row {
    pub fn part_of_best(&self) -> f64 {
        self.judged.share / self.best.max(1e-9)
    }
}

/// All sites under one load with one way of weighing.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    pub load: f64,
    pub mode: &'static str,
    /// Part of the best: mean, half of its confidence interval, least.
    pub mean: f64,
    pub half: f64,
    pub least: f64,
    pub share: f64,
    pub best: f64,
    pub busiest: f64,
    pub new_most: f64,
    pub changes: f64,
    pub turns: f64,
    pub breaks: usize,
}

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub sites: usize,
    pub stewards: usize,
    pub lines: Vec<Line>,
    pub rows: Vec<Row>,
}

const TEXT: &str = "\
Weights on stand-in hosts: {{ r.sites }} sites, {{ r.stewards }} steward{% if r.stewards > 1 %}s{% endif %}; service as a part of the best \
that is possible, mean over the sites with its 95 % interval
{{ \"%-6s%-8s%16s%8s%8s%8s%9s%9s%9s%7s%7s\" | format(\"load\", \"weights\", \"part of best\", \"least\", \"share\", \"best\", \"busiest\", \
\"new host\", \"changes\", \"turns\", \"breaks\") }}
{% for l in r.lines -%}
{{ \"%-6.2f%-8s%9.3f +- %.3f%8.3f%8.3f%8.3f%9.2f%9.2f%9.1f%7.1f%7d\" | format(l.load, l.mode, l.mean, l.half, l.least, l.share, l.best, \
l.busiest, l.new_most, l.changes, l.turns, l.breaks) }}
{% endfor -%}
{% for row in r.rows %}{% for b in row.breaks %}site {{ row.seed }}, load {{ row.load }}, {{ row.mode }}: {{ b.rule }} broke at {{ b.at_s | round(1) }} s: {{ b.seen }}
{% endfor %}{% endfor -%}
";

/// The part of the best that solved weights are held to, and the load up to which: beyond it, what the mechanism does
/// about strain counts for more than weights, and even true weights fall short.
const BAR: f64 = 0.95;
const BAR_LOAD: f64 = 0.76;

impl Report {
    pub(super) fn of(plan: &Plan, rows: Vec<Row>) -> Report {
        let mut lines = Vec::new();
        for (&load, mode) in plan
            .loads
            .iter()
            .flat_map(|load| Mode::ALL.map(|mode| (load, mode.word())))
        {
            let of: Vec<&Row> = rows
                .iter()
                .filter(|row| row.load == load && row.mode == mode)
                .collect();
            lines.push(line(load, mode, &of));
        }
        Report {
            sites: plan.seeds.len(),
            stewards: plan.stewards,
            lines,
            rows,
        }
    }

    /// Errors: only if the template and the figures do not fit each other.
    pub fn text(&self) -> Result<String, RehearsalError> {
        Ok(Environment::new().render_str(TEXT, context! { r => self })?)
    }

    /// Solved weights reach their bar at each load that has one, and no rule broke under them.
    pub fn holds(&self) -> bool {
        let solved = self
            .lines
            .iter()
            .filter(|line| line.mode == Mode::Solved.word());
        solved
            .into_iter()
            .all(|line| line.breaks == 0 && (line.load > BAR_LOAD || line.mean >= BAR))
    }
}

fn line(load: f64, mode: &'static str, rows: &[&Row]) -> Line {
    let mean = |of: &dyn Fn(&Row) -> f64| {
        rows.iter().map(|row| of(row)).sum::<f64>() / rows.len().max(1) as f64
    };
    let most = |of: &dyn Fn(&Row) -> f64| rows.iter().map(|row| of(row)).fold(0.0, f64::max);
    let parts: Vec<f64> = rows.iter().map(|row| row.part_of_best()).collect();
    Line {
        load,
        mode,
        mean: mean(&Row::part_of_best),
        half: half_interval(&parts),
        least: parts.iter().copied().fold(f64::INFINITY, f64::min),
        share: mean(&|row| row.judged.share),
        best: mean(&|row| row.best),
        busiest: mean(&|row| row.judged.busiest),
        new_most: most(&|row| row.judged.new_most),
        changes: mean(&|row| row.judged.changes),
        turns: mean(&|row| row.judged.turns),
        breaks: rows.iter().map(|row| row.breaks.len()).sum(),
    }
}

/// Half of the 95 per cent confidence interval of the mean (Student's t).
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
    fn an_interval_is_as_in_any_table_of_t() {
        // Five values, standard deviation 1.5811, t 2.776.
        assert!((half_interval(&[1.0, 2.0, 3.0, 4.0, 5.0]) - 1.963).abs() < 1e-3);
        assert_eq!(half_interval(&[1.0]), 0.0);
    }
}
