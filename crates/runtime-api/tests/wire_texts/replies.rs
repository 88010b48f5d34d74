//! The text of each reply (`show info`, `show stat`, `show map`, `show servers state` and `conn`) and of the errors of
//! its reader.

use pondarch_runtime_api::AdminState;
use pondarch_runtime_api::codec::framed_reply;
use pondarch_runtime_api::info::{Info, read_map, write_map};
use pondarch_runtime_api::stat::{self, AttemptTotals, RowType, StatRow};
use pondarch_runtime_api::state::{self, ServerState};
use std::collections::BTreeMap;
use std::time::Duration;

const STAT: &str = "# pxname,svname,qcur,qmax,scur,smax,slim,stot,bin,bout,dreq,dresp,ereq,econ,eresp,wretr,wredis,\
status,weight,act,bck,chkfail,chkdown,lastchg,downtime,qlimit,pid,iid,sid,throttle,lbtot,tracked,type,rate,rate_lim,\
rate_max,check_status,check_code,check_duration,hrsp_1xx,hrsp_2xx,hrsp_3xx,hrsp_4xx,hrsp_5xx,hrsp_other,hanafail,\
req_rate,req_rate_max,req_tot,cli_abrt,srv_abrt,comp_in,comp_out,comp_byp,comp_rsp,lastsess,last_chk,last_agt,qtime,\
ctime,rtime,ttime,agent_status,agent_code,agent_duration,check_desc,agent_desc,check_rise,check_fall,check_health,\
agent_rise,agent_fall,agent_health,addr,cookie,mode,algo,conn_rate,conn_rate_max,conn_tot,intercepted,dcon,dses,\
wrew,connect,reuse,cache_lookups,cache_hits,srv_icur,src_ilim,qtime_max,ctime_max,rtime_max,ttime_max,eint,\
idle_conn_cur,safe_conn_cur,used_conn_cur,need_conn_est,uweight,pond_done,pond_errored,pond_done_ms,pond_busy,\
pond_queue,\n\
proof,a,3,,1,,,2,,,4,,,5,6,7,8,UP,9,1,0,,,,,,1,,,,2,,2,,,,,,,11,12,13,14,15,0,,,,,,,,,,,,,,,,17,,,,,,,,,,,,,\
127.0.0.1:80,,http,,,,,,,,,,,,,,,,,,,,,,,,9,18,19,20,0.250,1.500,\n\
proof,BACKEND,0,,0,,,0,,,0,,,0,0,0,0,,0,,,,,,,,1,,,,0,,1,,,,,,,0,0,0,0,0,0,,,,16,,,,,,,,,,,,0,,,,,,,,,,,,,,,http,\
,,,,,,,,,,,,,,,,,,,,,,,0,,,,,,\n";

fn rows() -> Vec<StatRow> {
    let server = StatRow {
        backend: "proof".into(),
        server: "a".into(),
        row_type: RowType::Server,
        current_sessions: 1,
        total_sessions: 2,
        queued_requests: 3,
        denied_requests: 4,
        connect_errors: 5,
        response_errors: 6,
        retries: 7,
        redispatches: 8,
        status: "UP".into(),
        weight: 9,
        responses_by_status_class: [11, 12, 13, 14, 15],
        requests: 0,
        mean_response_time: Duration::from_millis(17),
        addr: "127.0.0.1:80".into(),
        exact_totals: Some(AttemptTotals {
            succeeded: 18,
            failed: 19,
            succeeded_duration: Duration::from_millis(20),
        }),
        cpu_utilization: Some(0.25),
        queued_at_host: Some(1.5),
    };
    let (name, row_type) = ("BACKEND".into(), RowType::Backend);
    vec![
        server,
        StatRow {
            backend: "proof".into(),
            server: name,
            row_type,
            requests: 16,
            ..StatRow::default()
        },
    ]
}

#[test]
fn stat_text_with_every_column() {
    assert_eq!(stat::write(&rows()), STAT);
    assert!(stat::read(STAT).expect("a valid reply") == rows());
}

#[test]
fn stat_row_types() {
    let types = [
        RowType::Frontend,
        RowType::Backend,
        RowType::Server,
        RowType::Listener,
    ];
    for (number, row_type) in types.into_iter().enumerate() {
        let text = stat::write(&[StatRow {
            row_type,
            ..StatRow::default()
        }]);
        let mut reader = csv::Reader::from_reader(text.as_bytes());
        let type_column = reader
            .headers()
            .expect("a header")
            .iter()
            .position(|name| name == "type")
            .expect("a column");
        let row = reader.records().next().expect("a row").expect("a row");
        assert_eq!(row.get(type_column), Some(number.to_string().as_str()));
    }
}

#[test]
fn stat_json_fields() {
    let text = stat::write_json(&rows());
    let first = r#"{"field":{"name":"pxname","pos":0},"id":0,"objType":"Server","processNum":1,"proxyId":0,"value":{"type":"str","value":"proof"}}"#;
    assert!(text.starts_with(&format!("[[{first},")), "{text}");
    let last = r#"{"field":{"name":"uweight","pos":99},"id":0,"objType":"Backend","processNum":1,"proxyId":0,"value":{"type":"u64","value":0}}"#;
    assert!(text.ends_with(&format!("{last}]]\n")), "{text}");
}

#[test]
fn stat_error_texts() {
    let error = |text: &str| stat::read(text).expect_err("an invalid reply").to_string();
    assert_eq!(
        error("bogus"),
        "'show stat' answered without a header: 'bogus'"
    );
    assert_eq!(
        error("# pxname,type\n"),
        "'show stat' has no column 'svname'"
    );
    assert_eq!(error("# svname\n"), "'show stat' has no column 'pxname'");
    assert_eq!(
        error("# pxname,svname,scur\na,b,x\n"),
        "'show stat', row 1: 'x' is no counter"
    );
}

const STATE: &str = "1\n# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight \
srv_iweight srv_time_since_last_change srv_check_status srv_check_result srv_check_health srv_check_state \
srv_agent_state bk_f_forced_id srv_f_forced_id srv_fqdn srv_port srvrecord srv_use_ssl srv_check_port srv_check_addr \
srv_agent_addr srv_agent_port\n\
1 proof 1 a 127.0.0.1 2 0 7 7 9 1 0 2 0 0 0 0 - 80 - 0 0 - - 0\n\
1 proof 2 b 127.0.0.1 2 8 7 7 9 1 0 2 0 0 0 0 - 80 - 0 0 - - 0\n\
1 proof 3 c 127.0.0.1 0 1 7 7 9 1 0 2 0 0 0 0 - 80 - 0 0 - - 0\n";

fn servers(used: u64) -> Vec<ServerState> {
    let states = [
        ("a", AdminState::Ready),
        ("b", AdminState::Drain),
        ("c", AdminState::Maint),
    ];
    let server = |(server, state): (&str, AdminState)| ServerState {
        backend: "proof".into(),
        server: server.into(),
        addr: ([127, 0, 0, 1], 80).into(),
        state,
        weight: 7,
        connections_in_use: used,
        seconds_since_change: 9,
    };
    states.map(server).into()
}

#[test]
fn servers_state_text() {
    assert_eq!(state::write_state(&servers(5)), STATE);
    assert!(state::read_state(STATE).expect("a valid reply") == servers(0));
}

#[test]
fn servers_conn_text() {
    let expected = "# bkname/svname bkid/svid addr port - purge_delay used_cur used_max need_est unsafe_nb \
        safe_nb idle_lim idle_cur idle_per_thr[1]\n\
        proof/a 1/1 127.0.0.1 80 - 5000 5 5 5 0 0 -1 0 0\n";
    assert_eq!(state::write_conn(&servers(5)[..1]), expected);
}

#[test]
fn servers_state_error_texts() {
    let error = |text: &str| {
        state::read_state(text)
            .expect_err("an invalid reply")
            .to_string()
    };
    assert_eq!(
        error("2\n"),
        "'show servers state' answered in version '2', not 1"
    );
    assert_eq!(
        error("1\n# be_id\n"),
        "'show servers state' has no column 'be_name'"
    );
    let short = STATE.split_once("1 proof").expect("a line").0.to_string() + "1 proof\n";
    assert_eq!(
        error(&short),
        "'show servers state', line 3: 2 fields where 25 were due"
    );
}

#[test]
fn info_text() {
    let mut info = Info::default();
    info.push("Name", "pondarch");
    info.push("Pid", 7);
    assert_eq!(info.write(), "Name: pondarch\nPid: 7\n");
    let json = r#"[{"field":{"name":"Name","pos":0},"processNum":1,"value":{"type":"str","value":"pondarch"}},{"field":{"name":"Pid","pos":1},"processNum":1,"value":{"type":"u64","value":7}}]"#;
    assert_eq!(info.write_json(), format!("{json}\n"));
    let read = Info::read("Name: pondarch\nbogus\nPid: 7\n");
    assert_eq!(
        (read.get("Name"), read.get_u64("Pid")),
        (Some("pondarch"), Some(7))
    );
}

#[test]
fn map_text() {
    let entries =
        [("order", "75"), ("proof", "12.500/s")].map(|(k, v)| (k.to_string(), v.to_string()));
    let entries = BTreeMap::from(entries);
    let text = write_map(entries.iter());
    assert_eq!(text, "0x1000 order 75\n0x1040 proof 12.500/s\n");
    assert_eq!(read_map(&text), Some(entries));
    assert_eq!(
        read_map("Unknown map identifier. Please use #<id> or <name>.\n"),
        None
    );
}

#[test]
fn reply_frame_text() {
    assert_eq!(framed_reply("a\n\nb\n"), "a\nb\n\n");
    assert_eq!(framed_reply(""), "\n");
}
