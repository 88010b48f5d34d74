//! `show stat`: counters by frontend, server and backend (management guide, 9.1, "CSV format").
//!
//! Columns are found by the name in the header, as the guide asks of scripts, so that older and newer peers and
//! their further columns are read alike. Five columns after the documented ones are ours: sums that a mean over
//! the last 1,024 answers (`rtime`) cannot give back, and the host's newest word on its load. A peer without them is
//! read by the documented ones alone.

use serde_json::{Value, json};
use std::time::Duration;
use thiserror::Error;

/// The documented columns, in their order.
const COLUMNS: &str = "pxname,svname,qcur,qmax,scur,smax,slim,stot,bin,bout,dreq,dresp,ereq,econ,eresp,wretr,wredis,\
status,weight,act,bck,chkfail,chkdown,lastchg,downtime,qlimit,pid,iid,sid,throttle,lbtot,tracked,type,rate,rate_lim,\
rate_max,check_status,check_code,check_duration,hrsp_1xx,hrsp_2xx,hrsp_3xx,hrsp_4xx,hrsp_5xx,hrsp_other,hanafail,\
req_rate,req_rate_max,req_tot,cli_abrt,srv_abrt,comp_in,comp_out,comp_byp,comp_rsp,lastsess,last_chk,last_agt,qtime,\
ctime,rtime,ttime,agent_status,agent_code,agent_duration,check_desc,agent_desc,check_rise,check_fall,check_health,\
agent_rise,agent_fall,agent_health,addr,cookie,mode,algo,conn_rate,conn_rate_max,conn_tot,intercepted,dcon,dses,\
wrew,connect,reuse,cache_lookups,cache_hits,srv_icur,src_ilim,qtime_max,ctime_max,rtime_max,ttime_max,eint,\
idle_conn_cur,safe_conn_cur,used_conn_cur,need_conn_est,uweight";
const OWN_COLUMNS: &str = "pond_done,pond_errored,pond_done_ms,pond_busy,pond_queue";

/// What a row counts; the number is the documented value of `type`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RowType {
    Frontend = 0,
    Backend = 1,
    #[default]
    Server = 2,
    Listener = 3,
}

/// One row, as far as this program reads or writes it. Counters run since the process started.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatRow {
    pub backend: String,
    pub server: String,
    pub of: RowType,
    /// Sessions now, and ever.
    pub current: u64,
    pub total: u64,
    pub queued: u64,
    /// Reqs refused before any server was tried.
    pub denied: u64,
    pub connect_errors: u64,
    pub response_errors: u64,
    pub retries: u64,
    pub redispatches: u64,
    pub status: String,
    pub weight: u64,
    /// Answers by the first digit of their code: 1 to 5.
    pub answers: [u64; 5],
    /// Reqs that came (frontends and backends).
    pub reqs: u64,
    /// Mean time to the answer's head over the last 1,024, in milliseconds.
    pub mean: Duration,
    pub addr: String,
    /// The sums of our own columns, where the peer gives them.
    pub sums: Option<Sums>,
    /// The host's own word on its load: busy part of its cores, and reqs waiting there.
    pub busy: Option<f64>,
    pub waiting: Option<f64>,
}

/// Ended tries since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sums {
    pub done: u64,
    pub errored: u64,
    /// All times of those done, together.
    pub done_time: Duration,
}

#[derive(Debug, Error)]
pub enum StatError {
    #[error("'show stat' answered without a header: '{0}'")]
    NoHeader(String),
    #[error("'show stat' has no column '{0}'")]
    NoColumn(&'static str),
    #[error("'show stat', row {row}: {wrong}")]
    Row { row: usize, wrong: String },
}

impl StatRow {
    /// Tries that ended and those without a good answer, by the documented columns alone where need be.
    pub fn ended(&self) -> Sums {
        self.sums.unwrap_or_else(|| {
            let ended = self.total.saturating_sub(self.current);
            let errored = (self.connect_errors + self.response_errors + self.answers[4]).min(ended);
            let done = ended - errored;
            Sums {
                done,
                errored,
                done_time: self
                    .mean
                    .saturating_mul(done.min(u64::from(u32::MAX)) as u32),
            }
        })
    }

    fn field(&self, column: &str) -> String {
        let answers = |digit: usize| self.answers[digit - 1].to_string();
        let server = self.of == RowType::Server;
        match column {
            "pxname" => self.backend.clone(),
            "svname" => self.server.clone(),
            "qcur" => self.queued.to_string(),
            "scur" => self.current.to_string(),
            "stot" | "lbtot" => self.total.to_string(),
            "dreq" => self.denied.to_string(),
            "econ" => self.connect_errors.to_string(),
            "eresp" => self.response_errors.to_string(),
            "wretr" => self.retries.to_string(),
            "wredis" => self.redispatches.to_string(),
            "status" => self.status.clone(),
            "weight" | "uweight" => self.weight.to_string(),
            "act" if server => "1".into(),
            "bck" if server => "0".into(),
            "pid" => "1".into(),
            "type" => (self.of as u8).to_string(),
            "hrsp_1xx" => answers(1),
            "hrsp_2xx" => answers(2),
            "hrsp_3xx" => answers(3),
            "hrsp_4xx" => answers(4),
            "hrsp_5xx" => answers(5),
            "hrsp_other" => "0".into(),
            "req_tot" if !server => self.reqs.to_string(),
            "rtime" => self.mean.as_millis().to_string(),
            "addr" => self.addr.clone(),
            "mode" => "http".into(),
            "pond_done" => self.sums.map(|s| s.done.to_string()).unwrap_or_default(),
            "pond_errored" => self.sums.map(|s| s.errored.to_string()).unwrap_or_default(),
            "pond_done_ms" => self
                .sums
                .map(|s| s.done_time.as_millis().to_string())
                .unwrap_or_default(),
            "pond_busy" => self
                .busy
                .map(|busy| format!("{busy:.3}"))
                .unwrap_or_default(),
            "pond_queue" => self
                .waiting
                .map(|waiting| format!("{waiting:.3}"))
                .unwrap_or_default(),
            _ => String::new(),
        }
    }
}

/// The answer to `show stat`: a header, then a line a row.
pub fn write(rows: &[StatRow]) -> String {
    let columns: Vec<&str> = COLUMNS.split(',').chain(OWN_COLUMNS.split(',')).collect();
    let mut out = csv::WriterBuilder::new().from_writer(Vec::with_capacity(200 + rows.len() * 160));
    // Writing into memory fails only for rows of unequal length, and all have one field a column and a last empty one.
    let mut line = |fields: Vec<String>| {
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
    line(header.collect());
    for row in rows {
        line(columns.iter().map(|column| row.field(column)).collect());
    }
    out.into_inner()
        .ok()
        .and_then(|bytes| String::from_utf8(bytes).ok())
        .unwrap_or_default()
}

/// The answer to `show stat json`: for each row an array of its fields, as the guide's 9.1 lays them out.
pub fn write_json(rows: &[StatRow]) -> String {
    let names = ["Frontend", "Backend", "Server", "Listener"];
    let field = |row: &StatRow, pos: usize, name: &str| {
        let text = row.field(name);
        let value = match text.parse::<u64>() {
            Ok(number) => json!({"type": "u64", "value": number}),
            Err(_) => json!({"type": "str", "value": text}),
        };
        (!text.is_empty()).then(|| {
            json!({"objType": names[row.of as usize], "proxyId": 0, "id": 0,
                "field": {"pos": pos, "name": name}, "processNum": 1, "value": value})
        })
    };
    let columns = || COLUMNS.split(',').chain(OWN_COLUMNS.split(',')).enumerate();
    let rows = rows.iter().map(|row| {
        columns()
            .filter_map(|(pos, name)| field(row, pos, name))
            .collect()
    });
    format!("{}\n", Value::Array(rows.collect()))
}

/// Reads an answer to `show stat`. Columns that are empty or missing count as 0, but for the two names.
///
/// Errors: no header, a row of another length than the header, or a counter that is no number.
pub fn read(text: &str) -> Result<Vec<StatRow>, StatError> {
    let Some(text) = text.strip_prefix("# ") else {
        return Err(StatError::NoHeader(text.chars().take(60).collect()));
    };
    let mut csv = csv::ReaderBuilder::new()
        .flexible(false)
        .from_reader(text.as_bytes());
    let wrong = |row: usize| {
        move |e: csv::Error| StatError::Row {
            row,
            wrong: e.to_string(),
        }
    };
    let header = csv.headers().map_err(wrong(0))?.clone();
    let at = |name: &str| header.iter().position(|column| column == name);
    let place = Places {
        backend: at("pxname").ok_or(StatError::NoColumn("pxname"))?,
        server: at("svname").ok_or(StatError::NoColumn("svname"))?,
        of: at("type"),
        counters: [
            at("scur"),
            at("stot"),
            at("qcur"),
            at("dreq"),
            at("econ"),
            at("eresp"),
            at("wretr"),
            at("wredis"),
            at("weight"),
            at("hrsp_1xx"),
            at("hrsp_2xx"),
            at("hrsp_3xx"),
            at("hrsp_4xx"),
            at("hrsp_5xx"),
            at("req_tot"),
            at("rtime"),
        ],
        status: at("status"),
        addr: at("addr"),
        sums: [at("pond_done"), at("pond_errored"), at("pond_done_ms")],
        load: [at("pond_busy"), at("pond_queue")],
    };
    let mut rows = Vec::new();
    let mut record = csv::StringRecord::new();
    while csv
        .read_record(&mut record)
        .map_err(wrong(rows.len() + 1))?
    {
        let bad = |wrong| StatError::Row {
            row: rows.len() + 1,
            wrong,
        };
        rows.push(place.row(&record).map_err(bad)?);
    }
    Ok(rows)
}

struct Places {
    backend: usize,
    server: usize,
    of: Option<usize>,
    counters: [Option<usize>; 16],
    status: Option<usize>,
    addr: Option<usize>,
    sums: [Option<usize>; 3],
    load: [Option<usize>; 2],
}

impl Places {
    fn row(&self, record: &csv::StringRecord) -> Result<StatRow, String> {
        let text = |at: Option<usize>| at.and_then(|at| record.get(at)).unwrap_or("");
        let number = |at: Option<usize>| match text(at) {
            "" => Ok(0),
            digits => digits
                .parse::<u64>()
                .map_err(|_| format!("'{digits}' is no counter")),
        };
        let mut counters = [0u64; 16];
        for (value, at) in counters.iter_mut().zip(self.counters) {
            *value = number(at)?;
        }
        let [
            current,
            total,
            queued,
            denied,
            connect_errors,
            response_errors,
            retries,
            redispatches,
            weight,
            rest @ ..,
        ] = counters;
        let [one, two, three, four, five, reqs, mean] = rest;
        let own = self.sums.iter().all(|at| !text(*at).is_empty());
        let load = |at| {
            text(at)
                .parse()
                .ok()
                .filter(|part: &f64| part.is_finite() && *part >= 0.0)
        };
        let [busy, waiting] = self.load;
        let [done, errored, ms] = self.sums;
        let server = text(Some(self.server)).to_string();
        Ok(StatRow {
            backend: text(Some(self.backend)).to_string(),
            of: match (text(self.of), server.as_str()) {
                ("0", _) | ("", "FRONTEND") => RowType::Frontend,
                ("1", _) | ("", "BACKEND") => RowType::Backend,
                ("3", _) => RowType::Listener,
                _ => RowType::Server,
            },
            server,
            current,
            total,
            queued,
            denied,
            connect_errors,
            response_errors,
            retries,
            redispatches,
            status: text(self.status).to_string(),
            weight,
            answers: [one, two, three, four, five],
            reqs,
            mean: Duration::from_millis(mean),
            addr: text(self.addr).to_string(),
            busy: load(busy),
            waiting: load(waiting),
            sums: if own {
                let done_time = Duration::from_millis(number(ms)?);
                Some(Sums {
                    done: number(done)?,
                    errored: number(errored)?,
                    done_time,
                })
            } else {
                None
            },
        })
    }
}
