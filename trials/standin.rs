//! Stand-ins for upstreams and the platform, for tests and trials only.
//!
//! They speak the protocols of `docs/PLATFORM.md` and `docs/INTERFACE.md`; an
//! HTTP endpoint makes them fail on purpose.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;

mod standin {
    pub mod list;
    pub mod load;
    pub mod log;
    pub mod trial;
    pub mod upstream;
}

use standin::{list, load, log, trial, upstream};

/// Stand-ins for tests and trials; not part of the product.
#[derive(Debug, FromArgs)]
struct Args {
    /// stand-in to run
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Upstream(upstream::UpstreamArgs),
    Log(log::LogArgs),
    List(list::ListArgs),
    Trial(trial::TrialArgs),
    Load(load::LoadArgs),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(dispatch(args.command)),
        Err(error) => Err(error),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn dispatch(command: Command) -> std::io::Result<()> {
    match command {
        Command::Upstream(args) => upstream::run(args).await,
        Command::Log(args) => log::run(&args).await,
        Command::List(args) => list::run(&args).await,
        Command::Trial(args) => trial::run(&args).await,
        Command::Load(args) => load::run(args).await,
    }
}

/// Serves a stand-in until the process is killed.
async fn serve(address: SocketAddr, router: axum::Router) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind(address).await?;
    axum::serve(listener, router).await
}
