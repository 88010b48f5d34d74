//! The command line program `pondarch`: its arguments and its subcommands.
//!
//! Exit codes:
//! - 0: success.
//! - 1: a runtime command or a DNS query was rejected, a rehearsal broke a rule, a replay differed, or an event log has
//!   faults.
//! - 2: invalid settings or arguments, or an I/O error.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines)]

mod ctl;
mod plan;
mod records;
mod rehearse;
mod resolve;

use clap::{Parser, Subcommand, ValueEnum};
use pondarch_config::{Endpoint, read_hosts, read_proxy, read_site, read_site_with_json};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "pondarch",
    version,
    about = "Tells plain proxies which hosts they may send to"
)]
struct Args {
    /// How logs are written, to standard error.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, global = true)]
    log: LogFormat,
    /// Least level of logs.
    #[arg(long, value_enum, default_value_t = LogLevel::Info, global = true)]
    log_level: LogLevel,
    #[command(subcommand)]
    command: Subcommands,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogLevel {
    Error,
    Warn,
    Info,
    Debug,
}

#[derive(Subcommand)]
enum Subcommands {
    /// Runs a steward until SIGTERM or SIGINT.
    Run {
        settings: PathBuf,
        /// Seed of this run's chance; absent: from the clock.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Runs a steward on the operators' platform, as the variables RELAY_CONFIG, RELAY_LISTEN, RELAY_DISCOVERY and
    /// RELAY_NAME say, until SIGTERM or SIGINT; SIGHUP reads where the other parties are.
    Platform,
    /// Runs an obeying proxy until SIGTERM or SIGINT; SIGHUP reads the settings anew.
    Proxy { settings: PathBuf },
    /// Checks settings and the list they name; starts nothing.
    Check {
        settings: PathBuf,
        /// The settings are a proxy's.
        #[arg(long)]
        proxy: bool,
    },
    /// Weights for a described fleet: what each host should get, what is let in, what one more host would bring.
    Plan {
        settings: PathBuf,
        /// Solves by a simplex instead of an interior point method.
        #[arg(long)]
        simplex: bool,
        #[arg(long)]
        json: bool,
    },
    /// Sends runtime commands to a socket and prints the answers.
    Ctl {
        /// `unix:PATH` or `IP:PORT`.
        socket: Endpoint,
        /// The command; absent: commands are read from standard input, a line each.
        command: Vec<String>,
    },
    /// Asks a DNS front like a client: over UDP, and over TCP if the answer is cut.
    Resolve {
        /// Such as `_proof._tcp.front-1.pond.example`.
        name: String,
        /// `IP:PORT` of the server.
        #[arg(long)]
        server: std::net::SocketAddr,
        /// Type of record.
        #[arg(long = "type", value_name = "OF", default_value = "SRV")]
        record_type: String,
        #[arg(long)]
        tcp: bool,
    },
    /// What a steward recorded: shown, checked, exported, trimmed, or made a scene.
    Records {
        #[command(subcommand)]
        command: records::RecordsCommand,
    },
    /// Plays what was recorded once more through this build: 'same', or the first decision that differs. With
    /// `--against`, or a scene, plays its troubles by these settings and by others, and shows figures of both.
    Replay {
        /// A folder of records, or a scene.
        from: PathBuf,
        /// Compares from this input on, and up to that one.
        #[arg(long = "from", default_value_t = 0)]
        first: u64,
        #[arg(long = "to", default_value_t = u64::MAX)]
        last: u64,
        /// Other settings, of the same proxies.
        #[arg(long)]
        against: Option<PathBuf>,
        /// Plays a scene with so many seeds.
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// Plays troubles on loopback and checks the rules.
    Rehearse {
        #[command(subcommand)]
        scene: rehearse::Rehearsal,
    },
}

fn main() -> ExitCode {
    let args = Args::parse();
    init_logging(args.log, args.log_level);
    let mut runtime = match args.command {
        // One thread: on the platform the controller gets only part of a core.
        Subcommands::Platform => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = match runtime.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return report_error(&format!("cannot start the async runtime: {error}")),
    };
    runtime.block_on(async {
        match args.command {
            Subcommands::Run { settings, seed } => run(settings, seed).await,
            Subcommands::Platform => match pondarch_platform::run().await {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => report_error(&error.to_string()),
            },
            Subcommands::Proxy { settings } => match pondarch_proxy::run(&settings).await {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => report_error(&error.to_string()),
            },
            Subcommands::Check { settings, proxy } => check(settings, proxy),
            Subcommands::Plan {
                settings,
                simplex,
                json,
            } => plan::plan(&settings, simplex, json),
            Subcommands::Ctl { socket, command } => ctl::ctl(&socket, &command).await,
            Subcommands::Resolve {
                name,
                server,
                record_type,
                tcp,
            } => resolve::resolve(server, &name, &record_type, tcp).await,
            Subcommands::Records { command } => records::records(command),
            Subcommands::Replay {
                from,
                first,
                last,
                against,
                seeds,
            } => {
                let span = pondarch_replay::run_replay::ComparedInputs {
                    from: first,
                    to: last,
                };
                records::replay_path(&from, span, against.as_deref(), seeds.clamp(1, 1_000))
            }
            Subcommands::Rehearse { scene } => rehearse::rehearse(scene).await,
        }
    })
}

/// Prints an error message to standard error and returns the exit code for it.
fn report_error(message: &str) -> ExitCode {
    eprintln!("pondarch: {message}");
    ExitCode::from(2)
}

async fn run(settings: PathBuf, seed: Option<u64>) -> ExitCode {
    let (site, text) = match read_site_with_json(&settings) {
        Ok(read) => read,
        Err(error) => return report_error(&error.to_string()),
    };
    match pondarch_daemon::run(site, text, pondarch_daemon::Options { seed }).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&error.to_string()),
    }
}

fn check(settings: PathBuf, proxy: bool) -> ExitCode {
    let checked = if proxy {
        read_proxy(&settings).and_then(|site| {
            let list = read_hosts(&site.hosts_file, &site.zones)?;
            Ok(format!(
                "{} request kinds, {} hosts",
                site.request_classes.len(),
                list.hosts.len()
            ))
        })
    } else {
        read_site(&settings).and_then(|site| {
            let list = read_hosts(&site.hosts_file, &site.zones)?;
            let (kinds, proxies, hosts) = (
                site.request_classes.len(),
                site.proxies.len(),
                list.hosts.len(),
            );
            Ok(format!(
                "{kinds} request kinds, {proxies} proxies, {hosts} hosts"
            ))
        })
    };
    match checked {
        Ok(found) => {
            println!("{}: {found}: in order", settings.display());
            ExitCode::SUCCESS
        }
        Err(error) => report_error(&error.to_string()),
    }
}

fn init_logging(log: LogFormat, level: LogLevel) {
    let level = match level {
        LogLevel::Error => tracing_subscriber::filter::LevelFilter::ERROR,
        LogLevel::Warn => tracing_subscriber::filter::LevelFilter::WARN,
        LogLevel::Info => tracing_subscriber::filter::LevelFilter::INFO,
        LogLevel::Debug => tracing_subscriber::filter::LevelFilter::DEBUG,
    };
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_target(false);
    match log {
        LogFormat::Text => subscriber
            .with_ansi(std::io::IsTerminal::is_terminal(&std::io::stderr()))
            .init(),
        LogFormat::Json => subscriber.json().init(),
    }
}
