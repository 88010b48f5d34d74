//! `show stat`: counters by frontend, server and backend (management guide, 9.1, "CSV format").
//!
//! Columns are found by their names in the header, as the guide asks of scripts, so that older and newer peers with
//! other columns can be read. Five columns of this project follow the documented ones: totals, which cannot be derived
//! from a mean over the last 1,024 responses (`rtime`), and the latest load that the host reported. If a peer lacks them,
//! the documented columns are used.

use serde_json::{Value, json};
use std::time::Duration;
use thiserror::Error;

/// The documented columns, in order.
const DOCUMENTED_COLUMNS: &str = "\
pxname,svname,qcur,qmax,scur,smax,slim,stot,bin,bout,dreq,dresp,ereq,econ,eresp,wretr,wredis,\
status,weight,act,bck,chkfail,chkdown,lastchg,downtime,qlimit,pid,iid,sid,throttle,lbtot,tracked,type,rate,rate_lim,\
rate_max,check_status,check_code,check_duration,hrsp_1xx,hrsp_2xx,hrsp_3xx,hrsp_4xx,hrsp_5xx,hrsp_other,hanafail,\
req_rate,req_rate_max,req_tot,cli_abrt,srv_abrt,comp_in,comp_out,comp_byp,comp_rsp,lastsess,last_chk,last_agt,qtime,\
ctime,rtime,ttime,agent_status,agent_code,agent_duration,check_desc,agent_desc,check_rise,check_fall,check_health,\
agent_rise,agent_fall,agent_health,addr,cookie,mode,algo,conn_rate,conn_rate_max,conn_tot,intercepted,dcon,dses,\
wrew,connect,reuse,cache_lookups,cache_hits,srv_icur,src_ilim,qtime_max,ctime_max,rtime_max,ttime_max,eint,\
idle_conn_cur,safe_conn_cur,used_conn_cur,need_conn_est,uweight";
/// The columns of this project.
const PROJECT_COLUMNS: &str = "pond_done,pond_errored,pond_done_ms,pond_busy,pond_queue";

/// What a row is about, with the documented value of the column `type`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RowType {
    /// A frontend.
    Frontend = 0,
    /// All servers of a backend together.
    Backend = 1,
    /// A server.
    #[default]
    Server = 2,
    /// A listener.
    Listener = 3,
}

/// The columns of a row that this project reads or writes. Counters start at 0 with the process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatRow {
    pub backend: String,
    /// Name of the server, or `FRONTEND` or `BACKEND`.
    pub server: String,
    pub row_type: RowType,
    /// Number of open sessions.
    pub current_sessions: u64,
    /// Number of all sessions.
    pub total_sessions: u64,
    pub queued_requests: u64,
    /// Requests that were rejected before an attempt.
    pub denied_requests: u64,
    pub connect_errors: u64,
    pub response_errors: u64,
    pub retries: u64,
    pub redispatches: u64,
    pub status: String,
    pub weight: u64,
    /// Responses by the first digit of their status code, from 1 to 5.
    pub responses_by_status_class: [u64; 5],
    /// Number of requests (of frontends and backends).
    pub requests: u64,
    /// Mean time to the head of the response over the last 1,024; written in milliseconds.
    pub mean_response_time: Duration,
    pub addr: String,
    /// The totals of the project's columns, if the peer has them.
    pub exact_totals: Option<AttemptTotals>,
    /// Busy fraction of its cores, as the host reported it.
    pub cpu_utilization: Option<f64>,
    /// Requests that wait at the host, as it reported them.
    pub queued_at_host: Option<f64>,
}

/// Completed attempts since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptTotals {
    /// Number of successful attempts.
    pub succeeded: u64,
    /// Number of failed attempts.
    pub failed: u64,
    /// Sum of the durations of the successful attempts.
    pub succeeded_duration: Duration,
}

/// Why a text is not a reply to `show stat`.
#[derive(Debug, Error)]
pub enum StatError {
    #[error("'show stat' answered without a header: '{0}'")]
    MissingHeader(String),
    #[error("'show stat' has no column '{0}'")]
    MissingColumn(&'static str),
    #[error("'show stat', row {row}: {reason}")]
    InvalidRow { row: usize, reason: String },
}

impl StatRow {
    /// Totals of the completed attempts; derived from the documented columns if the peer has no exact ones.
    pub fn attempt_totals(&self) -> AttemptTotals {
        self.exact_totals.unwrap_or_else(|| {
            let completed = self.total_sessions.saturating_sub(self.current_sessions);
            let failed =
                (self.connect_errors + self.response_errors + self.responses_by_status_class[4])
                    .min(completed);
            let succeeded = completed - failed;
            AttemptTotals {
                succeeded,
                failed,
                succeeded_duration: self
                    .mean_response_time
                    .saturating_mul(succeeded.min(u64::from(u32::MAX)) as u32),
            }
        })
    }

    /// The value of a column, as text.
    fn field(&self, column: &str) -> String {
        let responses = |digit: usize| self.responses_by_status_class[digit - 1].to_string();
        let is_server = self.row_type == RowType::Server;
        match column {
            "pxname" => self.backend.clone(),
            "svname" => self.server.clone(),
            "qcur" => self.queued_requests.to_string(),
            "scur" => self.current_sessions.to_string(),
            "stot" | "lbtot" => self.total_sessions.to_string(),
            "dreq" => self.denied_requests.to_string(),
            "econ" => self.connect_errors.to_string(),
            "eresp" => self.response_errors.to_string(),
            "wretr" => self.retries.to_string(),
            "wredis" => self.redispatches.to_string(),
            "status" => self.status.clone(),
            "weight" | "uweight" => self.weight.to_string(),
            "act" if is_server => "1".into(),
            "bck" if is_server => "0".into(),
            "pid" => "1".into(),
            "type" => (self.row_type as u8).to_string(),
            "hrsp_1xx" => responses(1),
            "hrsp_2xx" => responses(2),
            "hrsp_3xx" => responses(3),
            "hrsp_4xx" => responses(4),
            "hrsp_5xx" => responses(5),
            "hrsp_other" => "0".into(),
            "req_tot" if !is_server => self.requests.to_string(),
            "rtime" => self.mean_response_time.as_millis().to_string(),
            "addr" => self.addr.clone(),
            "mode" => "http".into(),
            "pond_done" => self
                .exact_totals
                .map(|totals| totals.succeeded.to_string())
                .unwrap_or_default(),
            "pond_errored" => self
                .exact_totals
                .map(|totals| totals.failed.to_string())
                .unwrap_or_default(),
            "pond_done_ms" => self
                .exact_totals
                .map(|totals| totals.succeeded_duration.as_millis().to_string())
                .unwrap_or_default(),
            "pond_busy" => self
                .cpu_utilization
                .map(|utilization| format!("{utilization:.3}"))
                .unwrap_or_default(),
            "pond_queue" => self
                .queued_at_host
                .map(|queued| format!("{queued:.3}"))
                .unwrap_or_default(),
            _ => String::new(),
        }
    }
}

/// The reply to `show stat`: a header, then one line for each row.
pub fn write(rows: &[StatRow]) -> String {
    let columns: Vec<&str> = DOCUMENTED_COLUMNS
        .split(',')
        .chain(PROJECT_COLUMNS.split(','))
        .collect();
    let mut out = csv::WriterBuilder::new().from_writer(Vec::with_capacity(200 + rows.len() * 160));
    // Writing to memory fails only for rows of unequal length. All rows have one field for each column and an empty last
    // one.
    let mut write_line = |fields: Vec<String>| {
        out.write_record(fields.iter().chain([&String::new()]))
            .is_ok()
    };
    let header = columns.iter().enumerate().map(|(i, c)| {
        if i == 0 {
            format!("# {c}")
        } else {
            c.to_string()
        }
    });
    write_line(header.collect());
    for row in rows {
        write_line(columns.iter().map(|column| row.field(column)).collect());
    }
    out.into_inner()
        .ok()
        .and_then(|bytes| String::from_utf8(bytes).ok())
        .unwrap_or_default()
}

/// The reply to `show stat json`: for each row an array of its fields, in the layout of the guide's chapter 9.1.
pub fn write_json(rows: &[StatRow]) -> String {
    let names = ["Frontend", "Backend", "Server", "Listener"];
    let field = |row: &StatRow, pos: usize, name: &str| {
        let text = row.field(name);
        let value = match text.parse::<u64>() {
            Ok(number) => json!({"type": "u64", "value": number}),
            Err(_) => json!({"type": "str", "value": text}),
        };
        (!text.is_empty()).then(|| {
            json!({"objType": names[row.row_type as usize], "proxyId": 0, "id": 0,
                "field": {"pos": pos, "name": name}, "processNum": 1, "value": value})
        })
    };
    let columns = || {
        DOCUMENTED_COLUMNS
            .split(',')
            .chain(PROJECT_COLUMNS.split(','))
            .enumerate()
    };
    let rows = rows.iter().map(|row| {
        columns()
            .filter_map(|(pos, name)| field(row, pos, name))
            .collect()
    });
    format!("{}\n", Value::Array(rows.collect()))
}

/// Reads a reply to `show stat`. Only the columns of the two names are required; counters that are empty or missing are 0.
///
/// # Errors
///
/// The header or a name's column is missing, a row differs from the header in length, or a counter is not a number.
pub fn read(text: &str) -> Result<Vec<StatRow>, StatError> {
    let Some(text) = text.strip_prefix("# ") else {
        return Err(StatError::MissingHeader(text.chars().take(60).collect()));
    };
    let mut csv = csv::ReaderBuilder::new()
        .flexible(false)
        .from_reader(text.as_bytes());
    let invalid_csv = |row: usize| {
        move |error: csv::Error| StatError::InvalidRow {
            row,
            reason: error.to_string(),
        }
    };
    let header = csv.headers().map_err(invalid_csv(0))?.clone();
    let index = |name: &str| header.iter().position(|column| column == name);
    let columns = ColumnIndexes {
        backend: index("pxname").ok_or(StatError::MissingColumn("pxname"))?,
        server: index("svname").ok_or(StatError::MissingColumn("svname"))?,
        row_type: index("type"),
        counters: [
            index("scur"),
            index("stot"),
            index("qcur"),
            index("dreq"),
            index("econ"),
            index("eresp"),
            index("wretr"),
            index("wredis"),
            index("weight"),
            index("hrsp_1xx"),
            index("hrsp_2xx"),
            index("hrsp_3xx"),
            index("hrsp_4xx"),
            index("hrsp_5xx"),
            index("req_tot"),
            index("rtime"),
        ],
        status: index("status"),
        addr: index("addr"),
        exact_totals: [
            index("pond_done"),
            index("pond_errored"),
            index("pond_done_ms"),
        ],
        host_load: [index("pond_busy"), index("pond_queue")],
    };
    let mut rows = Vec::new();
    let mut record = csv::StringRecord::new();
    while csv
        .read_record(&mut record)
        .map_err(invalid_csv(rows.len() + 1))?
    {
        let invalid_row = |reason| StatError::InvalidRow {
            row: rows.len() + 1,
            reason,
        };
        rows.push(columns.read_row(&record).map_err(invalid_row)?);
    }
    Ok(rows)
}

/// Index of each column that is read, if the header has it.
struct ColumnIndexes {
    backend: usize,
    server: usize,
    row_type: Option<usize>,
    counters: [Option<usize>; 16],
    status: Option<usize>,
    addr: Option<usize>,
    exact_totals: [Option<usize>; 3],
    host_load: [Option<usize>; 2],
}

impl ColumnIndexes {
    fn read_row(&self, record: &csv::StringRecord) -> Result<StatRow, String> {
        let text = |index: Option<usize>| index.and_then(|index| record.get(index)).unwrap_or("");
        let counter = |index: Option<usize>| match text(index) {
            "" => Ok(0),
            digits => digits
                .parse::<u64>()
                .map_err(|_| format!("'{digits}' is no counter")),
        };
        let mut counters = [0u64; 16];
        for (value, index) in counters.iter_mut().zip(self.counters) {
            *value = counter(index)?;
        }
        let [
            current_sessions,
            total_sessions,
            queued_requests,
            denied_requests,
            connect_errors,
            response_errors,
            retries,
            redispatches,
            weight,
            rest @ ..,
        ] = counters;
        let [
            responses_1xx,
            responses_2xx,
            responses_3xx,
            responses_4xx,
            responses_5xx,
            requests,
            mean_response_ms,
        ] = rest;
        let has_exact_totals = self
            .exact_totals
            .iter()
            .all(|index| !text(*index).is_empty());
        let load = |index| {
            text(index)
                .parse()
                .ok()
                .filter(|value: &f64| value.is_finite() && *value >= 0.0)
        };
        let [cpu_utilization, queued_at_host] = self.host_load;
        let [succeeded, failed, succeeded_ms] = self.exact_totals;
        let server = text(Some(self.server)).to_string();
        Ok(StatRow {
            backend: text(Some(self.backend)).to_string(),
            row_type: match (text(self.row_type), server.as_str()) {
                ("0", _) | ("", "FRONTEND") => RowType::Frontend,
                ("1", _) | ("", "BACKEND") => RowType::Backend,
                ("3", _) => RowType::Listener,
                _ => RowType::Server,
            },
            server,
            current_sessions,
            total_sessions,
            queued_requests,
            denied_requests,
            connect_errors,
            response_errors,
            retries,
            redispatches,
            status: text(self.status).to_string(),
            weight,
            responses_by_status_class: [
                responses_1xx,
                responses_2xx,
                responses_3xx,
                responses_4xx,
                responses_5xx,
            ],
            requests,
            mean_response_time: Duration::from_millis(mean_response_ms),
            addr: text(self.addr).to_string(),
            cpu_utilization: load(cpu_utilization),
            queued_at_host: load(queued_at_host),
            exact_totals: if has_exact_totals {
                let succeeded_duration = Duration::from_millis(counter(succeeded_ms)?);
                Some(AttemptTotals {
                    succeeded: counter(succeeded)?,
                    failed: counter(failed)?,
                    succeeded_duration,
                })
            } else {
                None
            },
        })
    }
}
